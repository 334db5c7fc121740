"""Model checker: explores the real dispatcher and balancer under all orders of events in small environments.

`model` defines models, steps and rules, `state` runs the code under test in its environment, `invariants` checks the
rules, `canonical` decides which states are equal, and `explore` searches the state space.
"""
