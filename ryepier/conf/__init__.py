"""Reads and validates TOML configuration files; every error is reported with its key and line."""
