"""Experiments on planners and forwarders: loss and restart of planners, false reports, scale, and benefit."""
