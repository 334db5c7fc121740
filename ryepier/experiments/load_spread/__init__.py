"""Experiments on how evenly many sidecars spread the load over converters when each sees only a small part of it."""
