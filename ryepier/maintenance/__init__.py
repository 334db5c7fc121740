"""Schedules maintenance windows across regions without breaching the agreed capacity.

Capacity is an integer in thousandths of a unit of capacity, so that sums are exact. Times are in milliseconds.
"""
