"""Errors of the emulator."""

from __future__ import annotations

from ryepier.errors import RyepierError


class HarnessError(RyepierError):
    """The emulator itself failed, so that the run allows no conclusion about the sidecar."""
