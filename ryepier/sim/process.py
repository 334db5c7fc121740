"""A simulated process: whose code runs, its clocks, and what it has to do after a suspension."""

from __future__ import annotations

import contextvars
from dataclasses import dataclass, field
from typing import Any

CURRENT_PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")
"""The process that the running code, and each socket, timer and task that it creates, belongs to; "" = none."""

ROUNDING_MARGIN_S = 1e-9  # so that a timer is due by its process's clock despite rounding


@dataclass(slots=True)
class Clocks:
    """The clocks of one process. Its monotonic clock may run at another rate than the run's, but never jumps; its
    wall clock may be set to anything."""

    rate: float = 1.0
    rate_set_run_s: float = 0.0  # when the present rate was set, by the run's clock
    rate_set_process_s: float = 0.0  # and by its own
    wall_offset_s: float = 0.0  # offset of the wall clock

    def process_time_s(self, run_s: float) -> float:
        """Return what the monotonic clock shows at a time of the run."""
        return self.rate_set_process_s + (run_s - self.rate_set_run_s) * self.rate

    def run_time_s(self, process_s: float) -> float:
        """Return the time of the run at which the monotonic clock shows `process_s`."""
        return self.rate_set_run_s + (process_s - self.rate_set_process_s) / self.rate + ROUNDING_MARGIN_S

    def set_rate(self, run_s: float, rate: float) -> None:
        """Change the rate from a time of the run on."""
        self.rate_set_process_s, self.rate_set_run_s, self.rate = self.process_time_s(run_s), run_s, rate


@dataclass(slots=True)
class Suspended:
    """What a suspended process has to do once it is resumed: first what was ready, in its order."""

    ready: list[Any] = field(default_factory=list)
    timers: list[Any] = field(default_factory=list)
