"""An asyncio event loop under virtual time, which advances to whatever is due next.

asyncio's own loop runs on it unchanged; only its clock, and the selector that would wait, are replaced.
"""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ryepier.errors import RyepierError

MAX_ITERATIONS_PER_INSTANT = 100_000  # of the loop at one instant
CLOCK_RESOLUTION_S = 1e-9
MAX_HANDLES_IN_ERROR = 3  # in an error


class NoProgressError(RyepierError):
    """Nothing is scheduled any more although the run is not over, or one instant never ends."""


class _VirtualSelector:
    """A selector without descriptors: waiting advances the virtual time."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        self.loop.advance(timeout)
        return []

    def close(self) -> None:
        pass


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop whose time, in seconds from 0, stands still while anything can run."""

    def __init__(self) -> None:
        """Start at 0."""
        super().__init__()
        self._selector = _VirtualSelector(self)
        self._clock_resolution = CLOCK_RESOLUTION_S
        self.now_s = 0.0
        self.failures: list[str] = []  # exceptions that no code handled
        self._iterations = 0
        self.set_exception_handler(self._record_failure)

    def time(self) -> float:
        """Return the virtual time."""
        return self.now_s

    def call_at_run_time(self, when_s: float, callback: Any, *args: Any, context: contextvars.Context) -> None:
        """Schedule a callback by the run's own clock, whatever clock the running process has."""
        asyncio.BaseEventLoop.call_at(self, when_s, callback, *args, context=context)

    def advance(self, timeout: float | None) -> None:
        """Advance the time in place of waiting for `timeout` seconds. Raises NoProgressError."""
        if timeout is None:
            raise NoProgressError(f"at {self.now_s:.6f} s nothing is due any more, and the run is not over")
        if timeout <= 0:
            self._iterations += 1
            if self._iterations > MAX_ITERATIONS_PER_INSTANT:
                raise NoProgressError(f"the instant {self.now_s:.6f} s does not end: {self._ready_callbacks()}")
            return
        self._iterations = 0
        scheduled: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        # take the timer's own time, as a sum of timeouts would be off by a rounding error
        self.now_s = max(self.now_s, scheduled[0].when()) if scheduled else self.now_s + timeout

    def _ready_callbacks(self) -> str:
        ready = list(self._ready)[:MAX_HANDLES_IN_ERROR]  # type: ignore[attr-defined]
        return ", ".join(repr(handle) for handle in ready)

    def _record_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an exception that no code awaits, which fails the run."""
        error = context.get("exception")
        # a context without an exception is about a task of a killed process
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{self.now_s:.6f} s: {context.get('message')}: {error!r}")

    # What asyncio's base class leaves to its subclasses

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass  # one thread, with no selector to wake
