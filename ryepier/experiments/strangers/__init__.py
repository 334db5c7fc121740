"""A benchmark of one sidecar beside unknown peers that send improper or unfinished requests, and its seeded fault."""
