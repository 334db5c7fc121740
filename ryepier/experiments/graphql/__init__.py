"""Experiments on the GraphQL front, and the seeded faults that they detect."""
