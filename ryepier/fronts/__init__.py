"""Front ends in addition to the platform's own; each passes the requests that its dialect parses to the dispatcher."""
