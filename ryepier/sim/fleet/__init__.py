"""Discrete-event simulation of a fleet of balancers and model converters, without sockets.

`world` has the fleet's parameters and the event loop, `converter` the model of a converter, `connections` the model of
the sidecars' connections, and `choosers` the reference policies that the balancer is compared with.
"""
