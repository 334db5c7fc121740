"""Sidecar process: sockets, HTTP and discovery; the balancing decisions are made in ryepier.balancer."""
