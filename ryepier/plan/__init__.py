"""Planners gather what many forwarders see and hand out plans; forwarders follow the last sound one, and fade from it.

Pure: `messages` (the wire's types), `report` and `follow` (a forwarder's part), `merge`, `compute` and `lead` (a
planner's). I/O: `forwarder`, `planner`, `snapshot`.
"""
