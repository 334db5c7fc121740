"""`load-spread`: how evenly do hundreds of sidecars that each see little of the load spread it over converters?

A simulated fleet runs at half of the converters' capacity and at a twentieth. The same seeds run with the balancer and
with the control, an earlier version whose full subsets never admit new upstreams. Claims: there are no more crowded or
empty windows than in a Poisson stream, hardly any request is rejected, and the fleet has at most a quarter more
connections than the control.
"""

from __future__ import annotations

from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.load_spread import measures
from ryepier.experiments.load_spread.trials import FleetOutcome, FleetTrial, run_trials
from ryepier.sim.fleet.world import SECOND_US, FleetPlan

CROWDED_WINDOW_US = 100_000
EXPECTED_PER_WINDOW = 12.0  # mean number of requests in a window; with so many, an empty window is rare
MAX_REJECTED_SHARE = 0.005
MAX_CONNECTIONS_RATIO = 1.25
WARM_UP_SHARE = 1 / 3  # share of the run before the measurement, in which the subsets fill up
CONTROL = "private-subsets"
PLANS: dict[Scale, dict[str, FleetPlan]] = {
    Scale.SMALL: {
        "half": FleetPlan(sidecars=150, converters=50, load=0.5, duration_us=12 * SECOND_US),
        "twentieth": FleetPlan(sidecars=200, converters=100, load=0.05, duration_us=24 * SECOND_US),
    },
    Scale.FULL: {
        "half": FleetPlan(sidecars=300, converters=100, load=0.5, duration_us=15 * SECOND_US),
        "twentieth": FleetPlan(sidecars=400, converters=200, load=0.05, duration_us=24 * SECOND_US),
    },
}


def _rare_windows_claim(name: str, windows: measures.RareWindows) -> Claim:
    return Claim(name, windows.count, "<=", windows.allowed_count)


def _claims(load_name: str, treatment: FleetOutcome, control: FleetOutcome) -> list[Claim]:
    span = (treatment.begin_us, treatment.end_us)
    crowded_windows = measures.crowded_windows(treatment.received_us, *span, CROWDED_WINDOW_US)
    empty_windows = measures.empty_windows(treatment.received_us, *span, EXPECTED_PER_WINDOW)
    connections_ratio = treatment.mean_open_connections / control.mean_open_connections
    connections_claim_name = f"{load_name}: connections over those without the mending"
    return [
        _rare_windows_claim(f"{load_name}: windows of 100 ms above the Poisson quantile", crowded_windows),
        _rare_windows_claim(f"{load_name}: windows without a request where 12 are expected", empty_windows),
        Claim(f"{load_name}: refused", treatment.rejected_share, "<=", MAX_REJECTED_SHARE),
        Claim(connections_claim_name, connections_ratio, "<=", MAX_CONNECTIONS_RATIO),
    ]


def _figures(load_name: str, outcome: FleetOutcome, sidecar_count: int) -> dict[str, float]:
    spread = measures.measure_spread(outcome.received_us, outcome.begin_us, outcome.end_us)
    return {
        f"{load_name}_variation": spread.variation,
        f"{load_name}_over_chance": spread.variation_ratio,
        f"{load_name}_most": spread.highest_to_mean,
        f"{load_name}_least": spread.lowest_to_mean,
        f"{load_name}_refused": outcome.rejected_share,
        f"{load_name}_late": outcome.late_share,
        f"{load_name}_p99_ms": outcome.p99_ms,
        f"{load_name}_connections_a_sidecar": outcome.mean_open_connections / sidecar_count,
        f"{load_name}_opened_per_s_a_sidecar": outcome.opened_connections_per_s / sidecar_count,
    }


def measure(trial: TrialConfig) -> Measurement:
    """Run each load with the balancer, which may have a seeded fault, and with the control."""
    plans = PLANS[trial.scale]
    outcomes = run_trials(
        [
            FleetTrial(plan, trial.seed, balancer_name, int(plan.duration_us * WARM_UP_SHARE))
            for plan in plans.values()
            for balancer_name in (trial.seeded_fault, CONTROL)
        ]
    )
    claims: list[Claim] = []
    figures: dict[str, float] = {}
    for (load_name, plan), treatment, control in zip(plans.items(), outcomes[::2], outcomes[1::2], strict=True):
        claims += _claims(load_name, treatment, control)
        figures |= _figures(load_name, treatment, plan.sidecars)
        figures[f"{load_name}_p99_over_before"] = treatment.p99_ms / control.p99_ms
        figures |= _figures(f"{load_name}_before", control, plan.sidecars)
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="load-spread",
    description="hundreds of sidecars that each see little of the load, in virtual time",
    measure=measure,
    seeded_faults=(CONTROL, "same-order"),
)
