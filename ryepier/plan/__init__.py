"""Planners collect the reports of many forwarders and send them plans.

A forwarder follows the last plan that it accepted; its advice fades out if no newer plan arrives.

Modules without I/O: `messages` (the protocol), `reporter` and `plan_follower` (used by a forwarder), `evidence`,
`plan_computation` and `leadership` (used by a planner). Modules with I/O: `forwarder`, `planner_server`, `snapshot`.
"""
