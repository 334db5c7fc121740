"""What a planner or a forwarder takes from its machine, handed in so that a simulation can stand in."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Machine:
    """Clocks in microseconds, and chance."""

    clock_us: Callable[[], int]  # steady: it only goes on
    unix_us: Callable[[], int]  # by the calendar: it may be set
    random: Random
