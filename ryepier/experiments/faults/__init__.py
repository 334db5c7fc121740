"""Experiments on a fleet of sidecars under load and under single faults, and the seeded faults that they detect."""
