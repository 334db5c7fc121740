"""Experiments on a fleet of sidecars under load and single faults, and the seeded faults that they detect."""
