"""Kubernetes EndpointSlices as a source of the endpoint list.

Modules without I/O: `api_objects` (types of the Kubernetes API), `reflector` (list and watch), `endpoint_slice_merger`
(merges all slices of a service into one list) and `endpoint_listing` (turns that list into upstreams of the decision
module). Modules with I/O: `api_client` and `slice_source`.
"""
