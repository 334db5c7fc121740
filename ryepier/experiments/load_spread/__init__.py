"""Experiments on how evenly sidecars spread their load over converters when each of them sees little of it."""
