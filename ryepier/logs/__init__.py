"""The sidecar's log: plain or JSON lines, with a rate limit."""
