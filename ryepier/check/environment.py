"""What replaces the machine in a state: scripted random numbers and timers under a path's own clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeVar

T = TypeVar("T")

EPOCH_US = 1_000_000_000  # when each path begins


class UndecidedDraw(BaseException):
    """The code under test makes a random draw whose result the path does not contain.

    Not an `Exception`, as the dispatcher continues after those.
    """

    def __init__(self, choices: int) -> None:
        """`choices` is the number of possible results."""
        super().__init__(choices)
        self.choices = choices


class ScriptedRandom:
    """Replaces the balancer's random numbers.

    The choice of a converter is a branch of the state space. A random time is the middle of its range: it only moves
    when something happens, and all orders of events are explored anyway.
    """

    def __init__(self) -> None:
        """Start without scripted results."""
        self.draws: Iterator[int] = iter(())

    def choices(self, population: Sequence[T], weights: Sequence[float]) -> list[T]:
        """Return the scripted choice. Raises UndecidedDraw if there is none."""
        if len(population) == 1:
            return [population[0]]
        draw = next(self.draws, None)
        if draw is None:
            raise UndecidedDraw(len(population))
        return [population[draw]]

    def random(self) -> float:
        """Return the middle of the range."""
        return 0.5

    def uniform(self, low: float, high: float) -> float:
        """Return the middle of the range."""
        return (low + high) / 2

    def randint(self, low: int, high: int) -> int:
        """Return the lowest number."""
        return low


class Timer:
    """A scheduled callback."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Wrap a callback."""
        self.callback = callback
        self.args = args
        self.cancelled = False

    def cancel(self) -> None:
        """Keep the callback from being called."""
        self.cancelled = True


class Timers:
    """What the dispatcher uses of an event loop, by the path's own clock."""

    def __init__(self) -> None:
        """Start at `EPOCH_US` without timers."""
        self.now_us = EPOCH_US
        self.heap: list[tuple[int, int, Timer]] = []  # (at_us, number, timer)
        self._count = itertools.count()

    def call_later(self, delay: float, callback: Callable[..., None], *args: object) -> Any:
        """Schedule a callback in `delay` seconds, and return its timer."""
        timer = Timer(callback, args)
        heapq.heappush(self.heap, (self.now_us + round(delay * 1e6), next(self._count), timer))
        return timer

    def next_us(self) -> int | None:
        """Return when the next timer is due; None if there is none."""
        while self.heap and self.heap[0][2].cancelled:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def fire(self) -> None:
        """Call the next timer's callback."""
        timer = heapq.heappop(self.heap)[2]
        timer.callback(*timer.args)
