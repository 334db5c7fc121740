"""Emulates the environment of the sidecars: converters, discovery, clients and faults, on loopback or in simulation.

A scenario is a TOML file, which `world` parses. Its random samples (`draws`) and fault schedule (`timeline`) depend
only on the file and a seed, so every process of a run computes them for itself and only needs to know when the run
begins. `harness` runs a world on sockets, `simulated` under virtual time.
"""
