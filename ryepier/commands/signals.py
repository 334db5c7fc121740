"""Handles termination signals for commands that run until they are stopped."""

from __future__ import annotations

import asyncio
import signal


def make_stop_event() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets. Call it from a running event loop."""
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    return stop_event
