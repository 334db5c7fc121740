"""Experiments on the simulation: the search for rule violations, its agreement with socket runs, and its speed."""
