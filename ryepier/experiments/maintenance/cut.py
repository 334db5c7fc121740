"""`maintenance-cut`: partitions the regions for 20 s during transfers, and delays, duplicates and reorders frames."""

from __future__ import annotations

import itertools
from dataclasses import replace

import msgspec

from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.maintenance import outcome as outcomes
from ryepier.experiments.maintenance.agreement_text import NORTH, REGIONS, SOUTH
from ryepier.experiments.maintenance.maintenance_harness import MaintenanceHarness, PlannedRequest, Scenario
from ryepier.experiments.maintenance.outcome import Outcome
from ryepier.experiments.maintenance.overlap import VALID_PER_REGION, draw_requests

MAX_UNAVAILABLE = 8
MIN_ALLOWANCE = 1  # low, so that a region can give most of its allowance to the other region
DEADLINE_MS = 60_000
DURATION_S = 32.0
# at first, only the north region needs more than its allowance; later both regions do
SUBMIT_FROM_S = {NORTH: 0.0, SOUTH: 3.0}
SUBMISSION_SPREAD_S = 1.0
SUBMIT_DURING_PARTITION_S = 9.0
PARTITIONED_AT_S, HEALED_AT_S = 5.0, 25.0
MAX_GRANT_TO_START_S = 1.0  # windows that start this soon after the partition began may have been granted before it
MIN_ALLOWANCE_CHANGES = 2


def reschedule(planned_request: PlannedRequest) -> PlannedRequest:
    """Return a request with this experiment's times. Requests with odd numbers are submitted during the partition."""
    submit_from_s = SUBMIT_FROM_S[planned_request.region]
    if int(planned_request.name.rpartition("-")[2]) % 2:
        submit_from_s = SUBMIT_DURING_PARTITION_S
    at_s = submit_from_s + SUBMISSION_SPREAD_S * (planned_request.at_s % 1.0)
    return replace(planned_request, at_s=at_s, earliest_in_ms=0, deadline_in_ms=DEADLINE_MS)


async def partition_and_heal(harness: MaintenanceHarness) -> None:
    """Partition the regions at `PARTITIONED_AT_S` and heal the partition at `HEALED_AT_S`."""
    await harness.wait_until(PARTITIONED_AT_S)
    for relay in harness.relays:
        relay.partition()
    await harness.wait_until(HEALED_AT_S)
    for relay in harness.relays:
        relay.heal()


def windows_during_partition(outcome: Outcome, region: str) -> int:
    """Return the number of windows that a region both granted and started during the partition."""
    counted_from_us = outcome.run_start_us + int((PARTITIONED_AT_S + MAX_GRANT_TO_START_S) * 1e6)
    counted_until_us = outcome.run_start_us + int(HEALED_AT_S * 1e6)
    return sum(counted_from_us < at_us < counted_until_us for at_us in outcomes.window_starts_us(outcome, region))


def allowances(outcome: Outcome, region: str) -> list[int]:
    """Return the allowance of a region in each poll, in thousandths."""
    return [poll.status.capacities[0].allowance for poll in outcome.record.polls if poll.region == region]


def allowance_changes(outcome: Outcome) -> int:
    """Return how often the allowance of a region differed between two successive polls, summed over the regions."""
    return sum(
        before != after for region in REGIONS for before, after in itertools.pairwise(allowances(outcome, region))
    )


def claims(outcome: Outcome) -> list[Claim]:
    """Return the claims of the experiment for a run."""
    accepted_requests = outcomes.accepted_requests(outcome)
    final_total = sum(allowances(outcome, region)[-1] for region in REGIONS)
    agreed_total = outcome.agreement.max_unavailable(accepted_requests[0].request.service)
    done_requests = outcomes.done_requests(outcome)
    return [
        *outcomes.common_claims(outcome),
        Claim("changes of an allowance seen", allowance_changes(outcome), ">=", MIN_ALLOWANCE_CHANGES),
        *(
            Claim(f"windows that {region} began while cut off", windows_during_partition(outcome, region), ">=", 1)
            for region in REGIONS
        ),
        Claim("allowances at the end (thousandths), the whole", final_total, "==", agreed_total),
        *outcomes.lease_claims(outcome),
        Claim("requests done by the end", len(done_requests), "==", VALID_PER_REGION * len(REGIONS)),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Run one trial of the experiment. Raises HarnessError."""
    world = msgspec.structs.replace(load("maintenance"), duration_s=DURATION_S)
    planned_requests = [reschedule(request) for request in draw_requests(world, trial.seed) if request.valid]
    scenario = Scenario(
        MAX_UNAVAILABLE, MIN_ALLOWANCE, planned_requests, partition_and_heal, trial.seeded_fault, uses_relays=True
    )
    harness = MaintenanceHarness(world, trial.seed, trial.folder, scenario)
    outcome = outcomes.run(harness)
    extra_figures = {
        "frames_doubled": float(sum(relay.duplicated_frames for relay in harness.relays)),
        "allowance_changes_seen": float(allowance_changes(outcome)),
    }
    return Measurement(claims(outcome), outcomes.common_figures(outcome) | extra_figures)


EXPERIMENT = Benchmark(
    "maintenance-cut",
    "regions cut off from each other in the middle of transfers, frames late and doubled",
    perform,
    ("double-credit", "borrow"),
)
