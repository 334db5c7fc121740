"""Clocks and randomness of a planner or a forwarder, passed in so that a simulation can replace them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Machine:
    """Clocks in microseconds, and a source of randomness."""

    clock_us: Callable[[], int]  # monotonic
    unix_us: Callable[[], int]  # wall clock: it may be set
    random: Random
