"""Graceful shutdown: answers every open request, and those that still arrive, before the process is killed."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ryepier.sidecar.client_connection import LINGER_TIMEOUT_S
from ryepier.sidecar.components import FrontEnd
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.system import clock_us

ARRIVAL_WINDOW_S = 0.5  # keep listening this long: clients still connect for up to 0.4 s after SIGTERM
# The time from SIGTERM to SIGKILL is at least the longest deadline of all classes, capped at MAX_COUNTED_DEADLINE_S,
# plus MIN_KILL_DELAY_S.
MAX_COUNTED_DEADLINE_S = 3.0
MIN_KILL_DELAY_S = 0.7
KILL_MARGIN_S = 0.1  # time left between the last answers and SIGKILL
POLL_INTERVAL_S = 0.01


async def shut_down(dispatcher: RequestDispatcher, front_ends: Sequence[FrontEnd]) -> None:
    """Answer all open requests and those that still arrive, then return.

    The process must not exit before this function returns, as the open requests would be dropped.
    """
    loop = asyncio.get_running_loop()
    max_deadline_s = max(request_class.deadline_us for request_class in dispatcher.settings.classes) / 1e6
    remaining_s = min(max_deadline_s, MAX_COUNTED_DEADLINE_S) + MIN_KILL_DELAY_S - KILL_MARGIN_S
    answers_due_at = loop.time() + remaining_s
    dispatcher.set_shutdown_time(clock_us() + int(1e6 * remaining_s))
    listening_until = loop.time() + ARRIVAL_WINDOW_S
    while loop.time() < listening_until:
        await close_idle_and_wait(front_ends)
    for front_end in front_ends:
        front_end.stop_listening()
    while has_connections(front_ends) and loop.time() < answers_due_at:
        await close_idle_and_wait(front_ends)
    for front_end in front_ends:
        front_end.reject_partial_requests()
    linger_until = answers_due_at + LINGER_TIMEOUT_S
    while dispatcher.has_open_requests or (has_connections(front_ends) and loop.time() < linger_until):
        await asyncio.sleep(POLL_INTERVAL_S)


async def close_idle_and_wait(front_ends: Sequence[FrontEnd]) -> None:
    """Close the connections that have become idle, then wait for POLL_INTERVAL_S."""
    for front_end in front_ends:
        front_end.close_idle()
    await asyncio.sleep(POLL_INTERVAL_S)


def has_connections(front_ends: Sequence[FrontEnd]) -> bool:
    """Return whether any front end has an open connection."""
    return any(front_end.connection_count() for front_end in front_ends)
