"""Experiments on the cost of each role as the fleet grows, with lightweight processes and the capacity page."""
