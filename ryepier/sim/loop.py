"""An asyncio event loop whose time jumps to whatever is due next.

asyncio's own loop runs on it unchanged: only its clock, and the selector that would wait, are replaced. Options
weighed: looptime patches a running loop's clock for tests and has no network; a loop of our own would have to repeat
asyncio's scheduling, which is just what is to be run.
"""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

MOST_TURNS = 100_000  # at one instant: a loop that never ends


class NoProgressError(Exception):
    """Nothing is due any more, or one instant never ends; says where."""


class _Selector:
    """Waits for nothing: no descriptor is ever watched, so all that is left is time."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        self.loop.pass_time(timeout)
        return []

    def close(self) -> None:
        pass


class VirtualLoop(asyncio.BaseEventLoop):
    """Time is seconds from 0; it stands still while anything is to be done."""

    def __init__(self) -> None:
        super().__init__()
        self._selector = _Selector(self)
        self._clock_resolution = 1e-9
        self.now_s = 0.0
        self.turns = 0
        self.failures: list[str] = []
        self.set_exception_handler(self._failed)

    def time(self) -> float:
        return self.now_s

    def at_run_time(self, when_s: float, callback: Any, *args: Any, context: contextvars.Context) -> None:
        """By the run's own clock, whoever's code runs."""
        asyncio.BaseEventLoop.call_at(self, when_s, callback, *args, context=context)

    def pass_time(self, timeout: float | None) -> None:
        """asyncio would wait for so long. Raises NoProgressError."""
        if timeout is None:
            raise NoProgressError(f"at {self.now_s:.6f} s nothing is due any more, and the run is not over")
        if timeout <= 0:
            self.turns += 1
            if self.turns > MOST_TURNS:
                raise NoProgressError(f"the instant {self.now_s:.6f} s does not end: {self._ready_names()}")
            return
        self.turns = 0
        scheduled: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        # to the timer itself, as a sum of waits would be off by a rounding, and the timer not due
        self.now_s = max(self.now_s, scheduled[0].when()) if scheduled else self.now_s + timeout

    def _ready_names(self) -> str:
        return ", ".join(repr(handle) for handle in list(self._ready)[:3])  # type: ignore[attr-defined]

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """An exception that nobody awaits: the run has failed, and says where."""
        error = context.get("exception")
        # without an exception it is about a task of a process that was killed
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{self.now_s:.6f} s: {context.get('message')}: {error!r}")

    # What asyncio's base leaves open

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass  # there is one thread, and nothing to wake
