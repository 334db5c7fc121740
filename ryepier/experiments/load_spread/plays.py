"""Plays of a fleet in worker processes, and what is counted of each at its converters."""

from __future__ import annotations

import multiprocessing
from collections import deque
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import numpy as np

from ryepier.experiments.load_spread import seeded_faults
from ryepier.sim.fleet.converter import Converter
from ryepier.sim.fleet.world import SECOND_US, START_US, FleetPlan, FleetWorld

WORKERS = 4


@dataclass(frozen=True, slots=True)
class Task:
    """One play. Times are in microseconds from the plan's start."""

    plan: FleetPlan
    seed: int
    plant: str
    begin_us: int  # what comes from here to the end is counted


@dataclass(frozen=True, slots=True)
class Played:
    """What came of it."""

    received_us: list[list[int]]  # by converter, on the world's clock
    begin_us: int
    end_us: int
    returned: list[bool]  # by converter: whether it has been away
    refused: float  # share of what came to the sidecars
    late: float  # share of what came that was answered after the aim
    p99_ms: float  # of what was answered
    connections: float  # open at converters, the mean over time
    opened_per_s: float
    worst_cold_window: float  # over what a cold converter may be sent: above 1 it falls over


def perform(tasks: Sequence[Task]) -> list[Played]:
    """Play all, a process each and a few at a time, in the order of the tasks."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(WORKERS, len(tasks)), mp_context=context) as pool:
        return list(pool.map(play, tasks))


def play(task: Task) -> Played:
    """Play one in this process."""
    world = FleetWorld(task.plan, task.seed, seeded_faults.FACTORIES[task.plant])
    world.play(task.begin_us)
    begin_us, end_us = START_US + task.begin_us, world.now_us
    came = [request for request in world.requests if request.arrived_us >= begin_us]
    times_us = [request.ended_us - request.arrived_us for request in came if request.served]
    counters = [converter.connections for converter in world.converters]
    return Played(
        [converter.received_us for converter in world.converters],
        begin_us,
        end_us,
        [converter.started_us > 0 for converter in world.converters],
        sum(request.rejected for request in came) / len(came),
        sum(time_us > task.plan.objective_us for time_us in times_us) / len(came),
        float(np.percentile(times_us, 99)) / 1000,
        sum(counter.mean_open(begin_us, end_us) for counter in counters),
        sum(counter.opened for counter in counters) * SECOND_US / (end_us - begin_us),
        max((worst_cold_window(task.plan, one) for one in world.converters if one.started_us), default=0.0),
    )


def worst_cold_window(plan: FleetPlan, converter: Converter) -> float:
    """The most requests sent in any window of the settings' length since a converter's start, over those allowed.

    Allowed is what pushes it over at the window's start, with the margin for chance that the cold tests have: N and 2
    times the root of N and 2.
    """
    window: deque[int] = deque()
    worst = 0.0
    for at_us in converter.received_us:
        if at_us < converter.started_us:
            continue
        window.append(at_us)
        while window[0] <= at_us - plan.overload_window_us:
            window.popleft()
        start_us = max(converter.started_us, at_us - plan.overload_window_us)
        capacity = plan.warmth(start_us - converter.started_us) * plan.places * SECOND_US / plan.work_us
        allowed = plan.overload_factor * capacity * plan.overload_window_us / SECOND_US
        worst = max(worst, len(window) / (allowed + 2 * allowed**0.5 + 2))
    return worst
