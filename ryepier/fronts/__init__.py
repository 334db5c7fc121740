"""Front ends for protocols other than the platform's own, implemented as dialects of the sidecar's HTTP server."""
