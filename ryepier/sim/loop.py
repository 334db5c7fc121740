"""An asyncio event loop with virtual time, which advances to the next timer instead of waiting for it.

It reuses asyncio's base event loop and replaces only the clock and the selector.
"""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ryepier.errors import RyepierError

MAX_ITERATIONS_PER_INSTANT = 100_000  # loop iterations at the same virtual time, above which the run fails
CLOCK_RESOLUTION_S = 1e-9
MAX_HANDLES_IN_ERROR = 3  # number of ready callbacks that an error message lists


class NoProgressError(RyepierError):
    """The run cannot end: nothing is scheduled, or callbacks keep running while the virtual time does not advance."""


class _VirtualSelector:
    """A selector without file descriptors, which advances the virtual time instead of waiting."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        self.loop.advance(timeout)
        return []

    def close(self) -> None:
        pass


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop with virtual time in seconds, which advances only when no callback is ready."""

    def __init__(self) -> None:
        """Start at virtual time 0 with nothing scheduled."""
        super().__init__()
        self._selector = _VirtualSelector(self)
        self._clock_resolution = CLOCK_RESOLUTION_S
        self.now_s = 0.0
        self.failures: list[str] = []  # descriptions of unhandled exceptions in callbacks and tasks
        self._iterations = 0
        self.set_exception_handler(self._record_failure)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    def call_at_virtual_time(self, when_s: float, callback: Any, *args: Any, context: contextvars.Context) -> None:
        """Schedule a callback at the virtual time `when_s`, regardless of the clock rate of the running process."""
        asyncio.BaseEventLoop.call_at(self, when_s, callback, *args, context=context)

    def advance(self, timeout: float | None) -> None:
        """Advance the virtual time to the next timer instead of waiting for `timeout` seconds.

        If `timeout` is 0, a callback is ready or a timer is due, and the time does not advance. If it is None, nothing
        is scheduled. Raises NoProgressError if nothing is scheduled, or after `MAX_ITERATIONS_PER_INSTANT` iterations
        at the same virtual time.
        """
        if timeout is None:
            raise NoProgressError(f"at {self.now_s:.6f} s nothing is due, but the run has not ended")
        if timeout <= 0:
            self._iterations += 1
            if self._iterations > MAX_ITERATIONS_PER_INSTANT:
                raise NoProgressError(
                    f"time does not advance beyond {self.now_s:.6f} s; ready callbacks: {self._ready_callbacks()}"
                )
            return
        self._iterations = 0
        scheduled_timers: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        # Use the time of the next timer, because adding up timeouts would accumulate rounding errors.
        self.now_s = max(self.now_s, scheduled_timers[0].when()) if scheduled_timers else self.now_s + timeout

    def _ready_callbacks(self) -> str:
        ready_handles = list(self._ready)[:MAX_HANDLES_IN_ERROR]  # type: ignore[attr-defined]
        return ", ".join(repr(handle) for handle in ready_handles)

    def _record_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an unhandled exception, for which `simulate` fails the run."""
        error = context.get("exception")
        # asyncio calls this without an exception when a pending task is garbage-collected, which happens only to the
        # tasks of killed processes.
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{self.now_s:.6f} s: {context.get('message')}: {error!r}")

    # Abstract methods of asyncio.BaseEventLoop

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass  # only one thread uses the loop, so there is no selector to wake up
