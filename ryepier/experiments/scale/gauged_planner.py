"""A planner that notes what its ticks and its reports cost it, for `scale-control`.

`python -m ryepier.experiments.scale.gauged_planner GAUGE PLANT --config FILE` is one like `ryepier planner` that keeps
writing its `Gauge` over the file GAUGE. Its CPU a tick and a report tell what it needs also where the machine is too
busy to give it that.
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

WRITE_S = 0.1


class Gauge(msgspec.Struct, frozen=True):
    """What a planner has done so far, all threads."""

    cpu_s: float
    tick_cpu_s: float  # of it, in ticks: who leads, beats, plans
    ticks: int
    reports: int  # that it counted; those that came too soon cost next to nothing
    plans: int


def read(path: Path) -> Gauge:
    """As last written. Raises OSError or msgspec.MsgspecError where there is none yet."""
    return msgspec.json.decode(path.read_bytes(), type=Gauge)


class Gauging:
    """Notes what every planner of this process spends in its ticks."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.tick_cpu_s = 0.0
        self.ticks = 0
        self.counts: Counter[str] = Counter()

    def install(self) -> None:
        usual, gauging = PlannerServer.tick, self

        def tick_gauged(self: PlannerServer, now_us: int, tick: int) -> None:
            gauging.counts = self.counts
            begun_s = time.thread_time()
            usual(self, now_us, tick)
            gauging.tick_cpu_s += time.thread_time() - begun_s
            gauging.ticks = tick

        PlannerServer.tick = tick_gauged  # type: ignore[method-assign]
        # a thread of its own: a planner that is late tells how late only if something else speaks for it
        threading.Thread(target=self.write, daemon=True).start()

    def write(self) -> None:
        """Over and over, for as long as the process lives."""
        new = self.path.with_suffix(".new")
        while True:
            counts = self.counts
            gauge = Gauge(time.process_time(), self.tick_cpu_s, self.ticks, counts["reports"], counts["plans"])
            new.write_bytes(msgspec.json.encode(gauge))
            os.replace(new, self.path)
            time.sleep(WRITE_S)


def main() -> None:
    path, plant, *arguments = sys.argv[1:]
    Gauging(Path(path)).install()
    if plant:
        seeded_faults.SEEDED_FAULTS[plant]()
    sys.argv = ["ryepier", "planner", *arguments]
    runpy.run_module("ryepier", run_name="__main__")


if __name__ == "__main__":
    main()
