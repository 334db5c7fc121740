"""Experiments on how evenly a fleet of sidecars spreads its load over converters."""
