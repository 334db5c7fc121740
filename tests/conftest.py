"""Configures pytest: only the tests that KNOWN-RED.txt lists may fail."""

from __future__ import annotations

import pytest

from tests import known_red_plugin


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin that applies KNOWN-RED.txt."""
    known_red_plugin.register(config)
