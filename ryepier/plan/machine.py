"""Clocks and random source of a planner or a forwarder, passed in so that a simulation can replace them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Machine:
    """Clocks of the host, in microseconds, and a source of randomness."""

    clock_us: Callable[[], int]  # monotonic clock
    unix_us: Callable[[], int]  # wall clock; may jump when the system time is set
    random: Random
