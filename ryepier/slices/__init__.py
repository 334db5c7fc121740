"""Kubernetes EndpointSlices as a source of the endpoint list.

Pure: `api_objects` (the API's types), `reflector` (list and watch), `endpoint_slice_merger` (many slices into one list)
and `endpoint_listing` (the module's entries). I/O: `api_client` and `slice_source`.
"""
