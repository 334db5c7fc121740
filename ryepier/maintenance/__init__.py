"""Maintenance windows across regions that never breach the agreed capacity.

Capacity is counted in thousandths of a converter's size, so that sums are exact; times are in milliseconds.
"""
