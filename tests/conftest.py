"""Configures the test run: lets the tests of KNOWN-RED.txt fail, and no others."""

from __future__ import annotations

import pytest

from tests import known_red_plugin


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin for KNOWN-RED.txt."""
    known_red_plugin.register(config)
