"""A planner that records the CPU time of its ticks and reports, for `scale-control`.

`python -m ryepier.experiments.scale.instrumented_planner FILE SEEDED_FAULT --config CONFIG` runs like
`ryepier planner` and periodically replaces FILE with a new `PlannerUsage`. From the CPU time per tick and per report,
the cores that a planner needs can be calculated even on a machine that is too busy to provide them.
"""

from __future__ import annotations

import os
import runpy
import sys
import threading
import time
from collections import Counter
from pathlib import Path

import msgspec

from ryepier.experiments import seeded_faults
from ryepier.plan.planner_server import PlannerServer

WRITE_INTERVAL_S = 0.1


class PlannerUsage(msgspec.Struct, frozen=True):
    """Totals of a planner process since its start, over all threads."""

    cpu_s: float
    tick_cpu_s: float  # the part of `cpu_s` spent in ticks: leadership, heartbeats, plans
    ticks: int
    reports: int  # accepted reports; rejecting a report that arrives too early costs next to nothing
    plans: int


def read_usage(path: Path) -> PlannerUsage:
    """Return the last usage written to a file. Raises OSError or msgspec.MsgspecError if there is none yet."""
    return msgspec.json.decode(path.read_bytes(), type=PlannerUsage)


class UsageRecorder:
    """Records the CPU time of this process and of its planner's ticks."""

    def __init__(self, path: Path) -> None:
        """Create a recorder that writes to `path` once it is installed."""
        self.path = path
        self._tick_cpu_s = 0.0
        self._ticks = 0
        self._counts: Counter[str] = Counter()

    def install(self) -> None:
        """Patch `PlannerServer.tick` to measure the ticks, and start the thread that writes the usage."""
        original_tick = PlannerServer.tick
        recorder = self

        def measured_tick(self: PlannerServer, now_us: int, tick_number: int) -> None:
            recorder._counts = self.counts
            cpu_before_s = time.thread_time()
            original_tick(self, now_us, tick_number)
            recorder._tick_cpu_s += time.thread_time() - cpu_before_s
            recorder._ticks = tick_number

        PlannerServer.tick = measured_tick  # type: ignore[method-assign]
        # a separate thread, as the planner's thread would write late whenever the planner is late
        threading.Thread(target=self._write_forever, daemon=True).start()

    def _write_forever(self) -> None:
        new_path = self.path.with_suffix(".new")
        while True:
            counts = self._counts
            usage = PlannerUsage(time.process_time(), self._tick_cpu_s, self._ticks, counts["reports"], counts["plans"])
            new_path.write_bytes(msgspec.json.encode(usage))
            os.replace(new_path, self.path)
            time.sleep(WRITE_INTERVAL_S)


def main() -> None:
    """Install the recorder and the seeded fault, if one is given, and run the planner."""
    path, seeded_fault, *arguments = sys.argv[1:]
    UsageRecorder(Path(path)).install()
    if seeded_fault:
        seeded_faults.SEEDED_FAULTS[seeded_fault]()
    sys.argv = ["ryepier", "planner", *arguments]
    runpy.run_module("ryepier", run_name="__main__")


if __name__ == "__main__":
    main()
