"""The sidecar's own network code under virtual time: an event loop and a network in memory. Each seed gives one run.

`loop` is the clock, `link`, `sockets`, `transport` and `network` are the network, `process` a simulated process, and
`run` puts them in place of the machine's.
"""
