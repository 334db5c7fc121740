"""Experiments on EndpointSlices as the source of the upstream list, and their planted mistakes."""
