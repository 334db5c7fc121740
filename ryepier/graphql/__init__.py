"""GraphQL over HTTP: parses requests and determines whether they may be retried.

The modules perform no I/O. `request` parses HTTP requests, `document` parses GraphQL documents with graphql-core,
`classify` applies the operators' table, `persisted` caches documents by their hash, and `answers` builds the bodies of
the sidecar's own responses.
"""
