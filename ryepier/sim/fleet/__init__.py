"""A fleet of balancers before model converters, in virtual time and without sockets.

`world` has the plan and the event loop, `converter` the model of a converter and its journal, `connections` the
connections that sidecars keep, and `choosers` the reference choices to compare a balancer with.
"""
