"""Kubernetes EndpointSlices as a source of the list of converters.

Pure: `objects` (the API's types, as far as they matter here) and `merge` (many slices into one list).
"""
