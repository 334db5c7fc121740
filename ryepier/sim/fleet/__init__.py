"""A fleet of balancers and model converters in virtual time, without sockets.

`world` is the plan and the event loop, `converter` the model of a converter, `connections` the connections that
sidecars hold, and `choosers` the reference choices that a balancer is compared with.
"""
