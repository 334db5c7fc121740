"""`load-spread-return`: do restarted converters receive their share of the load again, without being overloaded?

In a simulated fleet at half load, a fifth of the converters goes down at 2 s and restarts at 4 s, with or without a
warm-up. Claims: in the 5 s after the slow start, the restarted converters receive on average about as much load as the
others, and a converter never receives more during its warm-up than it can handle.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.load_spread import measures
from ryepier.experiments.load_spread.trials import FleetOutcome, FleetTrial, run_trials
from ryepier.sim.fleet.world import SECOND_US, FleetPlan, Outage

MIN_LOAD_SHARE = 0.7  # least mean load of the restarted converters, divided by that of the others
MAX_LOAD_SHARE = 1 / MIN_LOAD_SHARE
MEASURED_DURATION_US = 5 * SECOND_US  # duration of the measurement, which follows the slow start
WARM_UPS_US = {"cold": 4 * SECOND_US, "warm at once": 0}
OUTAGE_SHARE = 0.2  # share of the converters that go down
OUTAGE_AT_US = 2 * SECOND_US
NOTICE_DELAY_US = SECOND_US // 2
RESTART_AT_US = 4 * SECOND_US
INITIAL_CAPACITY_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of sidecars and of converters in a fleet."""

    sidecar_count: int
    converter_count: int


SIZES: dict[Scale, FleetSize] = {Scale.SMALL: FleetSize(150, 50), Scale.FULL: FleetSize(300, 100)}


def make_plan(scale: Scale, warm_up_us: int) -> FleetPlan:
    """Return the plan of a fleet whose converters warm up for `warm_up_us`, and of which some go down and restart."""
    size = SIZES[scale]
    outage = Outage(int(OUTAGE_SHARE * size.converter_count), OUTAGE_AT_US, NOTICE_DELAY_US, RESTART_AT_US)
    return FleetPlan(
        size.sidecar_count,
        size.converter_count,
        load=0.5,
        duration_us=outage.restart_at_us + warm_up_us + MEASURED_DURATION_US,
        warm_up_us=warm_up_us,
        initial_capacity_share=INITIAL_CAPACITY_SHARE,
        outages=(outage,),
    )


def load_shares_of_restarted(outcome: FleetOutcome) -> list[float]:
    """Return the number of requests that each restarted converter received, divided by the mean of the others."""
    span_us = outcome.end_us - outcome.begin_us
    counts = measures.counts_in_windows(outcome.received_us, outcome.begin_us, outcome.end_us, span_us)[:, 0]
    has_restarted = np.asarray(outcome.has_restarted)
    return [float(share) for share in counts[has_restarted] / counts[~has_restarted].mean()]


def measure(trial: TrialConfig) -> Measurement:
    """Run the fleet with a warm-up and without, and return the claims and figures."""
    plans = {name: make_plan(trial.scale, warm_up_us) for name, warm_up_us in WARM_UPS_US.items()}
    outcomes = run_trials(
        [
            FleetTrial(plan, trial.seed, trial.seeded_fault, plan.duration_us - MEASURED_DURATION_US)
            for plan in plans.values()
        ]
    )
    claims: list[Claim] = []
    figures: dict[str, float] = {}
    for name, outcome in zip(plans, outcomes, strict=True):
        shares = load_shares_of_restarted(outcome)
        mean_share = sum(shares) / len(shares)
        warm_up_claim_name = f"{name}: most sent to one that is back, over what it may get"
        claims += [
            Claim(f"{name}: share of those back, the mean", mean_share, ">=", MIN_LOAD_SHARE),
            Claim(f"{name}: share of those back, the mean, no rush", mean_share, "<=", MAX_LOAD_SHARE),
            Claim(warm_up_claim_name, outcome.worst_warm_up_load, "<=", 1.0),
        ]
        key = name.replace(" ", "_")
        figures[f"{key}_least_share"] = min(shares)
        figures[f"{key}_most_share"] = max(shares)
        figures[f"{key}_mean_share"] = mean_share
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="load-spread-return",
    description="a fifth of the converters vanishes and comes back, cold and warm, in virtual time",
    measure=measure,
    seeded_faults=("forget-returned", "rush-returned"),
)
