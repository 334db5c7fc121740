"""`load-spread-return`: converters that were away get their part, without a rush and without falling over."""

from __future__ import annotations

import numpy as np

from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.load_spread import measures
from ryepier.experiments.load_spread.plays import Played, Task, perform
from ryepier.sim.fleet.world import SECOND_US, FleetPlan, Outage

LEAST_SHARE = 0.7  # of the warm mean
MOST_SHARE = 1 / LEAST_SHARE  # more is a rush
SEEN_US = 5 * SECOND_US  # after the slow start
WARM_UPS_US = {"cold": 4 * SECOND_US, "warm at once": 0}
SIZES: dict[Scale, tuple[int, int]] = {"small": (150, 50), "full": (300, 100)}  # sidecars and converters
AWAY = 0.2  # of the converters


def plan(scale: Scale, warm_up_us: int) -> FleetPlan:
    """A fifth of the converters vanishes at 2 s and is back at 4 s."""
    sidecars, converters = SIZES[scale]
    outage = Outage(int(AWAY * converters), 2 * SECOND_US, SECOND_US // 2, 4 * SECOND_US)
    return FleetPlan(
        sidecars,
        converters,
        load=0.5,
        duration_us=outage.restart_us + warm_up_us + SEEN_US,
        warm_up_us=warm_up_us,
        initial_capacity_share=0.2,
        outages=(outage,),
    )


def shares(played: Played) -> list[float]:
    """What each converter that is back received, over the mean of those that never were away."""
    span_us = played.end_us - played.begin_us
    counts = measures.counts_in_windows(played.received_us, played.begin_us, played.end_us, span_us)[:, 0]
    returned = np.asarray(played.returned)
    return [float(share) for share in counts[returned] / counts[~returned].mean()]


def measure(trial: TrialConfig) -> Measurement:
    """With slow start and without."""
    plans = {name: plan(trial.scale, warm_up_us) for name, warm_up_us in WARM_UPS_US.items()}
    tasks = [Task(one, trial.seed, trial.seeded_fault, one.duration_us - SEEN_US) for one in plans.values()]
    claims: list[Claim] = []
    figures: dict[str, float] = {}
    for name, played in zip(plans, perform(tasks), strict=True):
        found = shares(played)
        mean = sum(found) / len(found)
        claims += [
            Claim(f"{name}: share of those back, the mean", mean, ">=", LEAST_SHARE),
            Claim(f"{name}: share of those back, the mean, no rush", mean, "<=", MOST_SHARE),
            Claim(f"{name}: most sent to one that is back, over what it may get", played.worst_cold_window, "<=", 1.0),
        ]
        key = name.replace(" ", "_")
        figures |= {f"{key}_least_share": min(found), f"{key}_most_share": max(found), f"{key}_mean_share": mean}
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    "load-spread-return",
    "a fifth of the converters vanishes and comes back, cold and warm, in virtual time",
    measure,
    ("forget-returned", "rush-returned"),
)
