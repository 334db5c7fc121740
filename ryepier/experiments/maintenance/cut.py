"""`maintenance-cut`: regions lose each other for 20 s in the middle of transfers; frames late, doubled, reordered."""

from __future__ import annotations

import itertools
from dataclasses import replace

import msgspec

from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.maintenance import outcome as outcomes
from ryepier.experiments.maintenance.agreement_text import REGIONS
from ryepier.experiments.maintenance.maintenance_harness import MaintenanceHarness, PlannedRequest, Scenario
from ryepier.experiments.maintenance.outcome import FOREVER_US, Outcome
from ryepier.experiments.maintenance.overlap import VALID_PER_REGION, draw_requests
from ryepier.maintenance.results import Accepted

MAX_UNAVAILABLE = 8
MIN_ALLOWANCE = 1  # so that much is lent
DEADLINE_MS = 60_000
DURATION_S = 32.0
NORTH_FROM_S, SOUTH_FROM_S = 0.0, 3.0  # north wants more than its part at first, then both do
SUBMISSION_SPREAD_S = 1.0
SUBMIT_DURING_PARTITION_S = 9.0
PARTITIONED_AT_S, HEALED_AT_S = 5.0, 25.0
MIN_ALLOWANCE_CHANGES = 2  # changes of an allowance that polls saw


def reschedule(planned: PlannedRequest) -> PlannedRequest:
    """The same request, handed in when its region's turn is; every second one while the regions are cut off."""
    from_s = NORTH_FROM_S if planned.region == "north" else SOUTH_FROM_S
    if int(planned.name.rpartition("-")[2]) % 2:
        from_s = SUBMIT_DURING_PARTITION_S
    at_s = from_s + SUBMISSION_SPREAD_S * (planned.at_s % 1.0)
    return replace(planned, at_s=at_s, earliest_in_ms=0, deadline_in_ms=DEADLINE_MS)


async def partition_and_heal(harness: MaintenanceHarness) -> None:
    """The regions lose each other, and find each other again."""
    await harness.until(PARTITIONED_AT_S)
    for relay in harness.relays:
        relay.partition()
    await harness.until(HEALED_AT_S)
    for relay in harness.relays:
        relay.heal()


def windows_during_partition(outcome: Outcome, region: str) -> int:
    """Windows that a region began while it was cut off, but for the first second, when some were granted before."""
    begins_us = outcome.zero_us + int((PARTITIONED_AT_S + 1.0) * 1e6)
    ends_us = outcome.zero_us + int(HEALED_AT_S * 1e6)
    return sum(begins_us < at_us < ends_us for at_us in outcomes.window_starts_us(outcome, region))


def allowances(outcome: Outcome, region: str) -> list[int]:
    """A region's allowance in each poll, in thousandths."""
    return [poll.status.capacities[0].allowance for poll in outcome.record.polls if poll.region == region]


def allowance_changes(outcome: Outcome) -> int:
    """How often polls saw an allowance change."""
    seen = [allowances(outcome, region) for region in REGIONS]
    return sum(before != after for one in seen for before, after in itertools.pairwise(one))


def claims(outcome: Outcome) -> list[Claim]:
    """What is claimed beyond the one rule."""
    accepted = [one for one in outcome.record.submitted if isinstance(one.result, Accepted)]
    done = [one for one in accepted if outcomes.done_us(outcome, one.request.converters) < FOREVER_US]
    last = sum(allowances(outcome, region)[-1] for region in REGIONS)
    whole = outcome.agreement.max_unavailable(accepted[0].request.service)
    return [
        *outcomes.common_claims(outcome),
        Claim("changes of an allowance seen", allowance_changes(outcome), ">=", MIN_ALLOWANCE_CHANGES),
        *(
            Claim(f"windows that {region} began while cut off", windows_during_partition(outcome, region), ">=", 1)
            for region in REGIONS
        ),
        Claim("allowances at the end (thousandths), the whole", last, "==", whole),
        Claim(
            "polls in which a converter that was out was under no lease",
            len(outcomes.unleased_outages(outcome)),
            "==",
            0,
        ),
        Claim("converters that two leases had at once", len(outcomes.doubly_leased_outages(outcome)), "==", 0),
        Claim("requests done by the end", len(done), "==", VALID_PER_REGION * len(REGIONS)),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Play it once. Raises HarnessError."""
    world = msgspec.structs.replace(load("maintenance"), duration_s=DURATION_S)
    planned = [reschedule(one) for one in draw_requests(world, trial.seed) if one.valid]
    scenario = Scenario(MAX_UNAVAILABLE, MIN_ALLOWANCE, planned, partition_and_heal, trial.seeded_fault, relayed=True)
    harness = MaintenanceHarness(world, trial.seed, trial.folder, scenario)
    outcome = outcomes.play(harness)
    return Measurement(
        claims(outcome),
        outcomes.common_figures(outcome)
        | {
            "frames_doubled": float(sum(relay.duplicated for relay in harness.relays)),
            "allowance_changes_seen": float(allowance_changes(outcome)),
        },
    )


EXPERIMENT = Benchmark(
    "maintenance-cut",
    "regions cut off from each other in the middle of transfers, frames late and doubled",
    perform,
    ("double-credit", "borrow"),
)
