"""Planners collect the reports of many forwarders and send plans; forwarders follow the last accepted one, which fades.

Pure: `messages` (the protocol), `reporter` and `plan_follower` (of a forwarder), `evidence`, `plan_computation` and
`leadership` (of a planner). I/O: `forwarder`, `planner_server`, `snapshot`.
"""
