"""`maintenance-overlap`: submits 30 overlapping requests, some of them invalid, without faults."""

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
from ryepier.maintenance.problem import Job, SchedulingProblem

MAX_UNAVAILABLE = 8
# Each region starts with an allowance of 4. With a lower minimum, the region that requests first would get most of the
# capacity.
MIN_ALLOWANCE = 3
VALID_PER_REGION = 12  # valid requests per region, each for one converter
MIN_UTILISATION = 0.8
DURATION_MS = 2_500  # window of one converter; longer than an agent needs, so that a late release still fits
LAST_SUBMISSION_S = 5.0
MAX_EARLIEST_MS = 2_000
DEADLINE_RANGE_MS = (15_000, 17_000)  # time from the submission to the deadline
TOO_SHORT_DEADLINE_MS = 3_000  # less than `DURATION_MS` plus the warm-up of a converter, 1.5 s in this world
UNKNOWN_CONVERTER = "c-none"


def draw_requests(world: World, seed: int) -> list[PlannedRequest]:
    """Draw the requests of each region: `VALID_PER_REGION` valid ones for one converter each, and 3 invalid ones."""
    random = draws.stream(seed, "maintenance requests")
    planned_requests: list[PlannedRequest] = []
    for region in REGIONS:
        converters = region_converters(world, region)
        random.shuffle(converters)
        for number, converter in enumerate(converters[:VALID_PER_REGION]):
            planned_requests.append(_draw_request(random, f"{region}-{number}", region, (converter,)))
        planned_requests += _invalid_requests(region, converters)
    return planned_requests


def _draw_request(random: np.random.Generator, name: str, region: str, converters: tuple[str, ...]) -> PlannedRequest:
    """Draw the times and the priority of a valid request."""
    return PlannedRequest(
        name=name,
        region=region,
        converters=converters,
        max_unavailable=1,
        duration_ms=DURATION_MS,
        at_s=float(random.choice([0.0, random.uniform(0.0, LAST_SUBMISSION_S)])),
        earliest_in_ms=int(random.uniform(0, MAX_EARLIEST_MS)),
        deadline_in_ms=int(random.uniform(*DEADLINE_RANGE_MS)),
        priority=Priority(int(random.integers(0, len(Priority)))),
    )


def _invalid_requests(region: str, converters: Sequence[str]) -> list[PlannedRequest]:
    """Return requests with too little time, with the same converter twice, and with an unknown converter."""
    latest_deadline_ms = DEADLINE_RANGE_MS[1]
    return [
        _invalid_request(region, "no-time", (converters[0],), TOO_SHORT_DEADLINE_MS),
        _invalid_request(region, "twice", (converters[1], converters[1]), latest_deadline_ms),
        _invalid_request(region, "unknown", (UNKNOWN_CONVERTER,), latest_deadline_ms),
    ]


def _invalid_request(region: str, name: str, converters: tuple[str, ...], deadline_ms: int) -> PlannedRequest:
    """Return an urgent request that the coordinators must reject."""
    return PlannedRequest(
        name=f"{region}-{name}",
        region=region,
        converters=converters,
        max_unavailable=1,
        duration_ms=DURATION_MS,
        at_s=LAST_SUBMISSION_S,
        earliest_in_ms=0,
        deadline_in_ms=deadline_ms,
        priority=Priority.URGENT,
        valid=False,
    )


def late_requests(outcome: Outcome) -> list[SubmittedRequest]:
    """Return the accepted requests whose converters were not all warm again by the deadline."""
    return [
        submitted_request
        for submitted_request in outcomes.accepted_requests(outcome)
        if not _met_deadline(outcome, submitted_request)
    ]


def _met_deadline(outcome: Outcome, submitted_request: SubmittedRequest) -> bool:
    """Return whether a request was done by its deadline, which is counted from its submission."""
    allowed_ms = submitted_request.request.deadline_ms - submitted_request.region_now_ms
    deadline_us = submitted_request.at_us + allowed_ms * 1000
    return outcomes.done_us(outcome, submitted_request.request.converters) <= deadline_us


def utilisation(outcome: Outcome) -> float:
    """Return the work done in time, divided by that of the best plan with all requests known from the start."""
    best_work = done_work = 0
    for region in REGIONS:
        problem = _problem(outcome, region)
        best_work += best_plan(problem, Job.work).value
        jobs = {job.request.name: job for job in problem.jobs}
        for submitted_request in outcome.record.submitted:
            if submitted_request.request.name in jobs and _met_deadline(outcome, submitted_request):
                done_work += jobs[submitted_request.request.name].work()
    return done_work / best_work


def _problem(outcome: Outcome, region: str) -> SchedulingProblem:
    """Return the problem of scheduling the region's accepted requests under its initial allowance."""
    agreement = outcome.agreement
    ledger = Ledger(agreement, region)
    jobs = []
    for submitted_request in outcomes.accepted_requests(outcome):
        request = submitted_request.request
        if request.region == region:
            length_ms = request.duration_ms + agreement.services[request.service].warm_up_ms
            jobs.append(Job(request, tuple(agreement.converters[name] for name in request.converters), length_ms))
    return SchedulingProblem(
        now_ms=0,
        jobs=tuple(jobs),
        limits=tuple(limit for service in agreement.services for limit in ledger.limits(service)),
        converters={name: converter for name, converter in agreement.converters.items() if converter.region == region},
    )


def claims(outcome: Outcome, planned_requests: Sequence[PlannedRequest]) -> list[Claim]:
    """Return the claims of the experiment for a run."""
    accepted_requests = outcomes.accepted_requests(outcome)
    return [
        *outcomes.common_claims(outcome),
        Claim("requests handed in", len(outcome.record.submitted), "==", len(planned_requests)),
        Claim("requests accepted, all that fit", len(accepted_requests), "==", VALID_PER_REGION * len(REGIONS)),
        Claim("requests that fit and were late", len(late_requests(outcome)), "==", 0),
        Claim("work done in time over the best plan's", utilisation(outcome), ">=", MIN_UTILISATION),
        *outcomes.lease_claims(outcome),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Run one trial of the experiment. Raises HarnessError."""
    world = load("maintenance")
    planned_requests = draw_requests(world, trial.seed)
    scenario = Scenario(MAX_UNAVAILABLE, MIN_ALLOWANCE, planned_requests, seeded_fault=trial.seeded_fault)
    outcome = outcomes.run(MaintenanceHarness(world, trial.seed, trial.folder, scenario))
    return Measurement(claims(outcome, planned_requests), outcomes.common_figures(outcome))


EXPERIMENT = Benchmark(
    "maintenance-overlap", "30 requests for windows that overlap, some that can't fit", perform, ("cold-counts",)
)
