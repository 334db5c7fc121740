"""Experiments on a fleet of sidecars under load and single faults, and the mistakes of a sidecar that they find."""
