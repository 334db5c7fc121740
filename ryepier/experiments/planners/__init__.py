"""Experiments on forwarders and planners: planners lost, killed or without a memory, and what planners gain."""
