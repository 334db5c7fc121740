"""Discrete-event simulation of a fleet of balancers and converters, without sockets.

`world` has the fleet's parameters and the event loop, `converter` the model of a converter, and `connections` the model
of the sidecars' connections. `choosers` has the load-balancing policies: the balancer, and reference policies with
which it is compared.
"""
