"""`maintenance-overlap`: 30 requests that overlap, some that can't fit, and no faults."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np

from ryepier.emulator import draws
from ryepier.emulator.world import World
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.maintenance import outcome as outcomes
from ryepier.experiments.maintenance.agreement_text import REGIONS, region_converters
from ryepier.experiments.maintenance.best_plan import best_plan
from ryepier.experiments.maintenance.maintenance_harness import (
    MaintenanceHarness,
    PlannedRequest,
    Scenario,
    SubmittedRequest,
)
from ryepier.experiments.maintenance.outcome import Outcome
from ryepier.maintenance.commands import Priority
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.problem import Job, Problem
from ryepier.maintenance.results import Accepted

MAX_UNAVAILABLE = 8
MIN_ALLOWANCE = 3  # of 4: with less, the region that asks first would get most
VALID_PER_REGION = 12  # requests a region, of one converter each
MIN_UTILISATION = 0.8
DURATION_MS = 2_500  # of one converter; what an agent needs is less, so that its report may be a little late
LAST_SUBMISSION_S = 5.0
DEADLINE_RANGE_MS = (15_000, 17_000)  # from the earliest start on
NEAR_DEADLINE_MS = 3_000  # less than one window takes


def draw_requests(world: World, seed: int) -> list[PlannedRequest]:
    """Of each region: one for each converter, and three that can't be done."""
    random = draws.stream(seed, "maintenance requests")
    planned: list[PlannedRequest] = []
    for region in REGIONS:
        converters = region_converters(world, region)
        random.shuffle(converters)
        for number, converter in enumerate(converters[:VALID_PER_REGION]):
            planned.append(_draw_request(random, f"{region}-{number}", region, (converter,)))
        planned += _invalid_requests(region, converters)
    return planned


def _draw_request(random: np.random.Generator, name: str, region: str, converters: tuple[str, ...]) -> PlannedRequest:
    """A request that fits."""
    return PlannedRequest(
        name=name,
        region=region,
        converters=converters,
        max_unavailable=1,
        duration_ms=DURATION_MS,
        at_s=float(random.choice([0.0, random.uniform(0.0, LAST_SUBMISSION_S)])),
        earliest_in_ms=int(random.uniform(0, 2_000)),
        deadline_in_ms=int(random.uniform(*DEADLINE_RANGE_MS)),
        priority=Priority(int(random.integers(0, len(Priority)))),
    )


def _invalid_requests(region: str, converters: Sequence[str]) -> list[PlannedRequest]:
    """Requests that have to be refused: too little time, a converter of another request, an unknown one."""

    def invalid_request(name: str, named: tuple[str, ...], deadline_ms: int) -> PlannedRequest:
        at_s = LAST_SUBMISSION_S
        return PlannedRequest(
            f"{region}-{name}", region, named, 1, DURATION_MS, at_s, 0, deadline_ms, Priority.URGENT, valid=False
        )

    return [
        invalid_request("no-time", (converters[0],), NEAR_DEADLINE_MS),
        invalid_request("twice", (converters[1], converters[1]), DEADLINE_RANGE_MS[1]),
        invalid_request("unknown", ("c-none",), DEADLINE_RANGE_MS[1]),
    ]


def late_requests(outcome: Outcome) -> list[SubmittedRequest]:
    """Accepted requests whose converters were not all warm again by the deadline."""
    return [
        one for one in outcome.record.submitted if isinstance(one.result, Accepted) and not _met_deadline(outcome, one)
    ]


def _met_deadline(outcome: Outcome, one: SubmittedRequest) -> bool:
    """Whether it was done by its deadline, which counts from when it was handed in."""
    deadline_us = one.at_us + (one.request.deadline_ms - one.region_now_ms) * 1000
    return outcomes.done_us(outcome, one.request.converters) <= deadline_us


def utilisation(outcome: Outcome) -> float:
    """Work done by the deadlines, over that of the best plan for requests known from the beginning."""
    best = done = 0
    for region in REGIONS:
        problem = _problem(outcome, region)
        best += best_plan(problem, Job.work).value
        jobs = {job.request.name: job for job in problem.jobs}
        for one in outcome.record.submitted:
            if one.request.name in jobs and _met_deadline(outcome, one):
                done += jobs[one.request.name].work()
    return done / best


def _problem(outcome: Outcome, region: str) -> Problem:
    """The region's accepted requests under its first allowance."""
    ledger = Ledger(outcome.agreement, region)
    everything = outcome.agreement.converters
    jobs = []
    for one in outcome.record.submitted:
        if one.request.region == region and isinstance(one.result, Accepted):
            length_ms = one.request.duration_ms + outcome.agreement.services[one.request.service].warm_up_ms
            jobs.append(Job(one.request, tuple(everything[name] for name in one.request.converters), length_ms))
    return Problem(
        now_ms=0,
        jobs=tuple(jobs),
        limits=tuple(limit for service in outcome.agreement.services for limit in ledger.limits(service)),
        converters={name: one for name, one in everything.items() if one.region == region},
    )


def claims(outcome: Outcome, planned: Sequence[PlannedRequest]) -> list[Claim]:
    """What is claimed beyond the one rule."""
    accepted = [one for one in outcome.record.submitted if isinstance(one.result, Accepted)]
    return [
        *outcomes.common_claims(outcome),
        Claim("requests handed in", len(outcome.record.submitted), "==", len(planned)),
        Claim("requests accepted, all that fit", len(accepted), "==", VALID_PER_REGION * len(REGIONS)),
        Claim("requests that fit and were late", len(late_requests(outcome)), "==", 0),
        Claim("work done in time over the best plan's", utilisation(outcome), ">=", MIN_UTILISATION),
        Claim(
            "polls in which a converter that was out was under no lease",
            len(outcomes.unleased_outages(outcome)),
            "==",
            0,
        ),
        Claim("converters that two leases had at once", len(outcomes.doubly_leased_outages(outcome)), "==", 0),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Play it once. Raises HarnessError."""
    world = load("maintenance")
    planned = draw_requests(world, trial.seed)
    outcome = outcomes.play(
        MaintenanceHarness(
            world,
            trial.seed,
            trial.folder,
            Scenario(MAX_UNAVAILABLE, MIN_ALLOWANCE, planned, seeded_fault=trial.seeded_fault),
        )
    )
    return Measurement(claims(outcome, planned), outcomes.common_figures(outcome))


EXPERIMENT = Benchmark(
    "maintenance-overlap", "30 requests for windows that overlap, some that can't fit", perform, ("cold-counts",)
)
