"""The sidecar's log: plain lines or JSON objects, at most a few a second."""
