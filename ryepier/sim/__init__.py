"""Deterministic simulation of the sidecar's network code: an event loop with virtual time and an in-memory network.

A run depends only on its seed. `loop` implements virtual time; `link`, `sockets`, `transport` and `network` implement
the network; `process` holds the state of a simulated process; `run` runs a coroutine with them in place of the
machine's clocks and network.
"""
