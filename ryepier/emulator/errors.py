"""Errors of the emulator."""

from __future__ import annotations

from ryepier.errors import RyepierError


class HarnessError(RyepierError):
    """The emulator itself could not do its part; says nothing about the sidecar."""
