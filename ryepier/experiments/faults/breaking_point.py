"""Experiment `breaking-point`: the request rate that one sidecar sustains on one core.

The load on a single sidecar rises until its service level is too low in two consecutive windows: the breaking point.
The claims bound the request rate at this point, and the CPU time per request up to it, and require that all answers up
to it are in time. The safety rules have to hold beyond the breaking point as well.
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import numpy as np

from ryepier.emulator import draws
from ryepier.emulator.world import World
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import load
from ryepier.experiments.faults.scaling import FULL_DURATION_FACTOR

WINDOW_S = 1.0
MIN_SERVICE = 0.95  # a window with a lower service level counts as overloaded
MEASURED_FROM_S = 1.0  # time of the run from which CPU time is counted
MIN_REQUESTS_PER_S = 2000
MAX_CPU_US_PER_REQUEST = 450
US_PER_S = 1e6
TIMELINESS_RULES = ("unanswered", "held-up", "broken")
# rules that a sidecar has to keep even when overload prevents it from answering in time
SAFETY_RULES = (
    "second-answer",
    "forged",
    "invented",
    "run-twice",
    "refused-after-run",
    "unsafe-resend",
    "together",
    "drain",
    "cold",
    "crash",
)


@dataclass(frozen=True, slots=True)
class Window:
    """The offered rate and the service level in one window of the run."""

    begin_s: float
    offered_per_s: float
    service: float

    @property
    def is_overloaded(self) -> bool:
        """Return whether the service level is below `MIN_SERVICE`."""
        return self.service < MIN_SERVICE


@dataclass(frozen=True, slots=True)
class BreakingPoint:
    """The offered rate and the end time of the last window before the overload."""

    offered_per_s: float
    end_s: float


def _world(scale: Scale) -> World:
    world = load("breaking-point")
    if scale is Scale.SMALL:
        return world
    return msgspec.structs.replace(world, duration_s=world.duration_s * FULL_DURATION_FACTOR)


def split_into_windows(run: Run) -> list[Window]:
    """Return the offered rate and the service level of each window of the run."""
    windows = []
    for begin_s in np.arange(0.0, run.world.duration_s, WINDOW_S).tolist():
        is_inside = figures.due_between(begin_s, begin_s + WINDOW_S)
        window_operations = [operation for operation in run.operations if is_inside(operation.first_attempt)]
        windows.append(Window(begin_s, len(window_operations) / WINDOW_S, figures.service_level(window_operations)))
    return windows


def find_breaking_point(run: Run) -> BreakingPoint:
    """Return the last window before the first two consecutive overloaded windows.

    Without two such windows, return the last window of the run.
    """
    windows = split_into_windows(run)
    for window, (next_window, second_next_window) in zip(windows, itertools.pairwise(windows[1:]), strict=False):
        if next_window.is_overloaded and second_next_window.is_overloaded:
            return BreakingPoint(window.offered_per_s, window.begin_s + WINDOW_S)
    return BreakingPoint(windows[-1].offered_per_s, run.world.duration_s)


def cpu_us_per_request(run: Run, end_s: float) -> float:
    """Return the sidecar's CPU time per request from `MEASURED_FROM_S` to `end_s`; infinite without samples."""
    cpu_us = figures.cpu_us_per_request(run.history, 0, MEASURED_FROM_S, end_s)
    return float("inf") if cpu_us is None else cpu_us


def _figures(run: Run) -> Mapping[str, float]:
    breaking_point = find_breaking_point(run)
    end_us = np.array([int(breaking_point.end_s * US_PER_S)], dtype=np.int64)
    return {
        "breaking_point_per_s": breaking_point.offered_per_s,
        "breaking_point_at_s": breaking_point.end_s,
        "planned_rate_there_per_s": float(draws.offered_per_s(run.world, end_us)[0]),
        "cpu_us_a_request": cpu_us_per_request(run, breaking_point.end_s),
    }


def _claims(run: Run) -> list[Claim]:
    breaking_point = find_breaking_point(run)
    timeliness_breach_count = sum(
        breach.at_us < breaking_point.end_s * US_PER_S for breach in run.breaches if breach.rule in TIMELINESS_RULES
    )
    cpu_us = cpu_us_per_request(run, breaking_point.end_s)
    return [
        Claim("requests a second for one sidecar core", breaking_point.offered_per_s, ">=", MIN_REQUESTS_PER_S),
        Claim("CPU a request up to there (us)", cpu_us, "<=", MAX_CPU_US_PER_REQUEST),
        Claim("breaches of answers in time before it", timeliness_breach_count, "==", 0),
    ]


EXPERIMENT = Experiment(
    name="breaking-point",
    description="load raised until one sidecar's core is not enough",
    world=_world,
    claims=_claims,
    seeded_faults=("spin",),
    extra_figures=_figures,
    rules=SAFETY_RULES,
    valid_until_s=lambda run: find_breaking_point(run).end_s,
    measures_cpu=True,
)
