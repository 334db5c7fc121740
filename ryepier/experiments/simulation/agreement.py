"""`sim-agreement`: checks that simulated runs give the same figures as runs on sockets.

Five worlds run on both backends with the same seed. The claims for each world: service level, median latency, 99th
percentile latency and attempts per request agree within bounds, and neither run breaks a rule. The breaking-point
experiment is excluded because it measures CPU time, which does not exist in virtual time.
"""

from __future__ import annotations

from ryepier.emulator import harness, simulated
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.simulation.run_summary import RunSummary, summarize

WORLDS = ("steady", "release", "hang", "surge", "sidecar-kill")
MAX_SERVICE_DIFFERENCE_POINTS = 1.5
MAX_SURGE_SERVICE_DIFFERENCE_POINTS = 3.0  # in an overload, small timing differences decide which requests are rejected
MAX_P50_RATIO = 1.10
MAX_P99_RATIO = 1.25
MAX_ATTEMPTS_RATIO = 1.05


def _ratio(first: float, second: float) -> float:
    """Return the larger value divided by the smaller one, or infinity if the smaller one is zero."""
    low, high = sorted((first, second))
    return high / low if low else float("inf")


def _claims(name: str, socket_run: RunSummary, simulated_run: RunSummary) -> list[Claim]:
    service_difference_points = 100 * abs(socket_run.service - simulated_run.service)
    max_difference_points = MAX_SURGE_SERVICE_DIFFERENCE_POINTS if name == "surge" else MAX_SERVICE_DIFFERENCE_POINTS
    p50_ratio = _ratio(socket_run.p50_ms, simulated_run.p50_ms)
    p99_ratio = _ratio(socket_run.p99_ms, simulated_run.p99_ms)
    attempts_ratio = _ratio(socket_run.attempts_per_request, simulated_run.attempts_per_request)
    return [
        Claim(f"{name}: service apart (points)", service_difference_points, "<=", max_difference_points),
        Claim(f"{name}: p50 apart (ratio)", p50_ratio, "<=", MAX_P50_RATIO),
        Claim(f"{name}: p99 apart (ratio)", p99_ratio, "<=", MAX_P99_RATIO),
        Claim(f"{name}: attempts a try apart (ratio)", attempts_ratio, "<=", MAX_ATTEMPTS_RATIO),
        Claim(f"{name}: breaches, both", socket_run.breaches + simulated_run.breaches, "==", 0),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Run each world on both backends. A seeded fault is installed for the simulated runs only."""
    figures: dict[str, float] = {}
    claims = []
    for name in WORLDS:
        world = load(name)
        socket_run = summarize(world, harness.run_world(world, trial.seed, trial.folder / name))
        if trial.seeded_fault:
            seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
        simulated_run = summarize(world, simulated.run_world(world, trial.seed))
        figures |= socket_run.as_figures(f"{name}_", "_sockets")
        figures |= simulated_run.as_figures(f"{name}_", "_sim")
        claims += _claims(name, socket_run, simulated_run)
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="sim-agreement",
    description="five worlds on sockets and in simulation, figures beside each other",
    measure=measure,
    seeded_faults=("blind", "hold"),
)
