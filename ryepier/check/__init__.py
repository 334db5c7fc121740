"""Exhaustive exploration of small models: the real dispatcher and balancer against every order of events.

`model` is what is explored, `state` the code under test and its environment, `invariants` the rules, `canonical` when
two states are equal, and `explore` the search.
"""
