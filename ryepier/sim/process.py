"""A simulated process: whose code runs, its clocks, and whether it stands still."""

from __future__ import annotations

import contextvars
from dataclasses import dataclass, field
from typing import Any

# whose code runs: the process that a socket, a timer or a task belongs to, as a kill takes all of one away
OWNER: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")
SURE_S = 1e-9  # a timer is due by its process's clock for certain, whatever was rounded


@dataclass(slots=True)
class Clocks:
    """Those of one process. Its steady clock may go faster or slower than the run's, but never jumps; the calendar
    may be set to anything."""

    rate: float = 1.0
    run_s: float = 0.0  # since when it goes at this rate, by the run
    own_s: float = 0.0  # and by itself
    calendar_s: float = 0.0  # by what the calendar is off

    def own(self, run_s: float) -> float:
        """What it shows at a moment of the run."""
        return self.own_s + (run_s - self.run_s) * self.rate

    def when(self, own_s: float) -> float:
        """The moment of the run at which it shows this."""
        return self.run_s + (own_s - self.own_s) / self.rate + SURE_S

    def set_rate(self, run_s: float, rate: float) -> None:
        self.own_s, self.run_s, self.rate = self.own(run_s), run_s, rate


@dataclass(slots=True)
class Frozen:
    """What a process that stands still has to do once it goes on: first what was ready, in its order."""

    ready: list[Any] = field(default_factory=list)
    timers: list[Any] = field(default_factory=list)
