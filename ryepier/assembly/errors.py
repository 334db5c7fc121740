"""The error for invalid combinations of settings."""

from __future__ import annotations


class AssemblyError(ValueError):
    """Raised if a sidecar or planner cannot be created from its settings; the message names the key."""
