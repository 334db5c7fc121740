"""Replacements for the random number generator and the event loop of the code under test, controlled by a path."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeVar

T = TypeVar("T")

EPOCH_US = 1_000_000_000  # time of the clock at the start of each path


class UndecidedDraw(BaseException):
    """The code under test made a random draw for which the path has no result.

    This is a `BaseException`, because the dispatcher catches each `Exception` and continues.
    """

    def __init__(self, choice_count: int) -> None:
        """Create the error; `choice_count` is the number of possible results of the draw."""
        super().__init__(choice_count)
        self.choice_count = choice_count


class ScriptedRandom:
    """Replaces the balancer's random number generator.

    The exploration branches on each choice of a converter. Random times are fixed, mostly to the middle of their range,
    because they only shift events in time, and all orders of events are explored anyway.
    """

    def __init__(self) -> None:
        """Create a generator without scripted results; the caller must set `draws` before each step."""
        self.draws: Iterator[int] = iter(())

    def choices(self, population: Sequence[T], weights: Sequence[float]) -> list[T]:
        """Return the item that the next scripted result selects. Raises UndecidedDraw if there is no result left."""
        if len(population) == 1:
            return [population[0]]
        draw = next(self.draws, None)
        if draw is None:
            raise UndecidedDraw(len(population))
        return [population[draw]]

    def random(self) -> float:
        """Return 0.5, the middle of the range of `random.random`."""
        return 0.5

    def uniform(self, low: float, high: float) -> float:
        """Return the middle of the range from `low` to `high`."""
        return (low + high) / 2

    def randint(self, low: int, high: int) -> int:
        """Return `low`."""
        return low


class Timer:
    """A scheduled callback, with the part of `asyncio.TimerHandle` that the dispatcher uses."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Create a timer that calls `callback` with `args` when it fires, unless it is cancelled."""
        self.callback = callback
        self.args = args
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the timer, so that the callback is not called."""
        self.cancelled = True


class Timers:
    """The clock of a path and its timers, with the part of the event loop's interface that the dispatcher uses."""

    def __init__(self) -> None:
        """Start the clock at `EPOCH_US`, without timers."""
        self.now_us = EPOCH_US
        self.heap: list[tuple[int, int, Timer]] = []  # (due time in us, sequence number, timer)
        self._count = itertools.count()

    def call_later(self, delay: float, callback: Callable[..., None], *args: object) -> Any:
        """Schedule a callback `delay` seconds from now, and return its timer."""
        timer = Timer(callback, args)
        heapq.heappush(self.heap, (self.now_us + round(delay * 1e6), next(self._count), timer))
        return timer

    def next_due_us(self) -> int | None:
        """Return the due time of the next timer in microseconds, or None if no timer is scheduled."""
        while self.heap and self.heap[0][2].cancelled:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def fire(self) -> None:
        """Remove the next timer and call its callback, even if it is not due yet."""
        timer = heapq.heappop(self.heap)[2]
        timer.callback(*timer.args)
