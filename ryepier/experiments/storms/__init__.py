"""Experiments on retry storms after an outage of the converters, and the seeded faults that they detect."""
