"""Computes the tables of the capacity page from kept results and the planned fleet size."""
