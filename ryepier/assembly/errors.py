"""The error of settings that contradict each other."""

from __future__ import annotations


class AssemblyError(ValueError):
    """Raised where the settings of operators and platform contradict each other; the text names the key."""
