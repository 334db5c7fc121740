"""Deterministic simulation of the sidecar's network code: an event loop with virtual time and an in-memory network.

A run depends only on its seed. `loop` implements virtual time; `link`, `sockets`, `transport` and `network` implement
the network; `process` describes a simulated process; `run` replaces the machine's clocks and network with them.
"""
