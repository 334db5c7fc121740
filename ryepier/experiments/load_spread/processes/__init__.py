"""Experiments on how evenly a fleet of real sidecar processes spreads its load."""
