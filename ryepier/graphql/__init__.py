"""Parses requests in GraphQL over HTTP, and determines their class and whether they may be retried.

The modules perform no I/O. `request` parses HTTP requests, `document` parses GraphQL documents with graphql-core,
`classify` applies the operators' classification table, `persisted` caches documents by their hash, and `answers` builds
the bodies of the sidecar's own responses.
"""
