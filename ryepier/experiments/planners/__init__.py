"""Experiments on planners and the forwarders that follow them, and their planted mistakes."""
