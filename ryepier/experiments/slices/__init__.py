"""Experiments with EndpointSlices as the source of the upstream list, and the seeded faults that they detect."""
