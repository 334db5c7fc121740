"""State of a simulated process: its name, its clocks, and the callbacks held back while it is suspended."""

from __future__ import annotations

import contextvars
from dataclasses import dataclass, field
from typing import Any

CURRENT_PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")
"""Name of the process whose code is running; "" for code outside any process.

Sockets, timers and tasks belong to the process whose code creates them."""

ROUNDING_MARGIN_S = 1e-9  # added to due times, so that rounding errors cannot fire a timer early


@dataclass(slots=True)
class Clocks:
    """The clocks of one process.

    The monotonic clock may run at another rate than the run's clock, but never jumps. The wall clock runs at the same
    rate as the monotonic clock, and may also be set to any time.
    """

    rate: float = 1.0  # rate of the monotonic clock, relative to the run's clock
    rate_change_run_s: float = 0.0  # time of the run's clock when the rate was last set
    rate_change_process_s: float = 0.0  # time of the monotonic clock when the rate was last set
    wall_offset_s: float = 0.0  # wall clock minus monotonic clock, both since the start of the run

    def process_time_s(self, run_s: float) -> float:
        """Return the time of the monotonic clock when the run's clock shows `run_s`."""
        return self.rate_change_process_s + (run_s - self.rate_change_run_s) * self.rate

    def run_time_s(self, process_s: float) -> float:
        """Return the time of the run's clock when the monotonic clock shows `process_s`."""
        return self.rate_change_run_s + (process_s - self.rate_change_process_s) / self.rate + ROUNDING_MARGIN_S

    def set_rate(self, run_s: float, rate: float) -> None:
        """Set the rate of the monotonic clock from `run_s` of the run's clock on."""
        self.rate_change_process_s, self.rate_change_run_s, self.rate = self.process_time_s(run_s), run_s, rate


@dataclass(slots=True)
class SuspendedCallbacks:
    """Callbacks that a process runs once it is resumed: first the ready ones in their order, then due timers."""

    ready_handles: list[Any] = field(default_factory=list)
    timer_handles: list[Any] = field(default_factory=list)
