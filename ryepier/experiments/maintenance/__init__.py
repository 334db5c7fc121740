"""Experiments on maintenance windows: real coordinators, agents, sidecars and converters, with faults between them."""
