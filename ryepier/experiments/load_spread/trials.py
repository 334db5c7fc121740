"""Runs simulated fleets in worker processes, and summarizes the records of their converters and clients."""

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

MAX_WORKERS = 4
US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class FleetTrial:
    """A run of a simulated fleet. Times are in microseconds from the start of the plan."""

    plan: FleetPlan
    seed: int
    balancer_name: str  # a key of `seeded_faults.FACTORIES`
    begin_us: int  # start of the measurement, which lasts until the end of the run


@dataclass(frozen=True, slots=True)
class FleetOutcome:
    """Measurements of a fleet, from the records of its converters and clients."""

    received_us: list[list[int]]  # by converter: the times at which it received requests, on the simulated clock
    begin_us: int
    end_us: int
    has_restarted: list[bool]  # by converter: whether it restarted
    rejected_share: float  # share of the requests that were rejected
    late_share: float  # share of the requests that were served, but after the latency objective
    p99_ms: float  # 99th percentile of the latency of served requests
    mean_open_connections: float  # mean over time of the open connections of all converters
    opened_connections_per_s: float  # rate of new connections
    worst_warm_up_load: float  # highest `worst_warm_up_load` of the restarted converters; above 1, a converter crashes


def run_trials(trials: Sequence[FleetTrial]) -> list[FleetOutcome]:
    """Run trials in worker processes, and return their outcomes in the same order."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(MAX_WORKERS, len(trials)), mp_context=context) as pool:
        return list(pool.map(run_trial, trials))


def run_trial(trial: FleetTrial) -> FleetOutcome:
    """Run a trial in this process."""
    world = FleetWorld(trial.plan, trial.seed, seeded_faults.FACTORIES[trial.balancer_name])
    world.run(trial.begin_us)
    begin_us, end_us = START_US + trial.begin_us, world.now_us
    requests = [request for request in world.requests if request.arrived_us >= begin_us]
    latencies_us = [request.ended_us - request.arrived_us for request in requests if request.served]
    counters = [converter.connection_counter for converter in world.converters]
    restarted_converters = [converter for converter in world.converters if converter.started_us]
    return FleetOutcome(
        received_us=[converter.arrival_times_us for converter in world.converters],
        begin_us=begin_us,
        end_us=end_us,
        has_restarted=[converter.started_us > 0 for converter in world.converters],
        rejected_share=sum(request.rejected for request in requests) / len(requests),
        late_share=sum(latency_us > trial.plan.objective_us for latency_us in latencies_us) / len(requests),
        p99_ms=float(np.percentile(latencies_us, 99)) / US_PER_MS,
        mean_open_connections=sum(counter.mean_open_count(begin_us, end_us) for counter in counters),
        opened_connections_per_s=sum(counter.opened_count for counter in counters) * SECOND_US / (end_us - begin_us),
        worst_warm_up_load=max(
            (worst_warm_up_load(trial.plan, converter) for converter in restarted_converters), default=0.0
        ),
    )


def worst_warm_up_load(plan: FleetPlan, converter: Converter) -> float:
    """Return the highest number of requests in an overload window since a converter's start, over the allowed number.

    The allowed number is the one that overloads the converter at the start of the window, plus two standard deviations
    of that number and two requests, as in the tests of slow start.
    """
    window: deque[int] = deque()
    worst_load = 0.0
    for at_us in converter.arrival_times_us:
        if at_us < converter.started_us:
            continue
        window.append(at_us)
        while window[0] <= at_us - plan.overload_window_us:
            window.popleft()
        begin_us = max(converter.started_us, at_us - plan.overload_window_us)
        worst_load = max(worst_load, len(window) / _allowed_requests(plan, begin_us - converter.started_us))
    return worst_load


def _allowed_requests(plan: FleetPlan, age_us: int) -> float:
    """Return how many requests a converter may receive in an overload window that begins `age_us` after its start."""
    capacity_per_s = plan.capacity_share(age_us) * plan.workers * SECOND_US / plan.work_us
    overload_requests = plan.overload_factor * capacity_per_s * plan.overload_window_us / SECOND_US
    allowed_requests: float = overload_requests + 2 * overload_requests**0.5 + 2
    return allowed_requests
