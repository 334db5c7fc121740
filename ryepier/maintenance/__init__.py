"""Maintenance windows across regions: drains that overlap never take more capacity than was agreed."""
