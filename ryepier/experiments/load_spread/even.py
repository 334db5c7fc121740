"""`load-spread`: a fleet at half load and at a twentieth, beside the draw without its mending."""

from __future__ import annotations

from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.load_spread import measures
from ryepier.experiments.load_spread.plays import Played, Task, perform
from ryepier.sim.fleet.world import SECOND_US, FleetPlan

HERD_WINDOW_US = 100_000
EXPECTED = 12.0  # requests in a window in which no converter may stay without one
MOST_REFUSED = 0.005
MOST_CONNECTIONS = 1.25
COUNTED_FROM = 1 / 3  # of the play; the subsets have filled by then
BEFORE = "private-subsets"
PLANS: dict[Scale, dict[str, FleetPlan]] = {
    "small": {
        "half": FleetPlan(sidecars=150, converters=50, load=0.5, duration_us=12 * SECOND_US),
        "twentieth": FleetPlan(sidecars=200, converters=100, load=0.05, duration_us=24 * SECOND_US),
    },
    "full": {
        "half": FleetPlan(sidecars=300, converters=100, load=0.5, duration_us=15 * SECOND_US),
        "twentieth": FleetPlan(sidecars=400, converters=200, load=0.05, duration_us=24 * SECOND_US),
    },
}


def _windows(name: str, found: measures.RareWindows) -> Claim:
    return Claim(name, found.found, "<=", found.allowed)


def _claims(load: str, now: Played, before: Played) -> list[Claim]:
    """What is claimed of one load."""
    crowded = measures.crowded_windows(now.received_us, now.begin_us, now.end_us, HERD_WINDOW_US)
    empty = measures.empty_windows(now.received_us, now.begin_us, now.end_us, EXPECTED)
    return [
        _windows(f"{load}: windows of 100 ms above the Poisson quantile", crowded),
        _windows(f"{load}: windows without a request where 12 are expected", empty),
        Claim(f"{load}: refused", now.refused, "<=", MOST_REFUSED),
        Claim(
            f"{load}: connections over those without the mending",
            now.connections / before.connections,
            "<=",
            MOST_CONNECTIONS,
        ),
    ]


def _figures(load: str, played: Played, sidecars: int) -> dict[str, float]:
    found = measures.spread(played.received_us, played.begin_us, played.end_us)
    return {
        f"{load}_variation": found.variation,
        f"{load}_over_chance": found.over_chance,
        f"{load}_most": found.most,
        f"{load}_least": found.least,
        f"{load}_refused": played.refused,
        f"{load}_late": played.late,
        f"{load}_p99_ms": played.p99_ms,
        f"{load}_connections_a_sidecar": played.connections / sidecars,
        f"{load}_opened_per_s_a_sidecar": played.opened_per_s / sidecars,
    }


def measure(trial: TrialConfig) -> Measurement:
    """Each load with the balancer, or the planted mistake, and with the draw as it was."""
    tasks = [
        Task(plan, trial.seed, how, int(plan.duration_us * COUNTED_FROM))
        for plan in PLANS[trial.scale].values()
        for how in (trial.seeded_fault, BEFORE)
    ]
    played = perform(tasks)
    claims: list[Claim] = []
    figures: dict[str, float] = {}
    for number, (load, plan) in enumerate(PLANS[trial.scale].items()):
        now, before = played[2 * number], played[2 * number + 1]
        claims += _claims(load, now, before)
        figures |= _figures(load, now, plan.sidecars)
        figures[f"{load}_p99_over_before"] = now.p99_ms / before.p99_ms
        figures |= _figures(f"{load}_before", before, plan.sidecars)
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    "load-spread",
    "hundreds of sidecars that each see little of the load, in virtual time",
    measure,
    (BEFORE, "same-order"),
)
