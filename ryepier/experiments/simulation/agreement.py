"""`sim-agreement`: do simulated runs give the same figures as runs on sockets?

Five worlds run on both backends with the same seed. Claims for each: service, median and 99th percentile of latency and
attempts per request agree within bounds, and neither run breaks a rule. breaking-point is not among the worlds: it
measures CPU time, which virtual time does not have.
"""

from __future__ import annotations

from ryepier.emulator import harness, simulated
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.simulation.run_summary import RunSummary, summarize

WORLDS = ("steady", "release", "hang", "surge", "sidecar-kill")
MAX_SERVICE_POINTS = 1.5
MAX_SERVICE_POINTS_OF_SURGE = 3.0  # in an overload, single moments decide which requests are rejected
MAX_P50_RATIO = 1.10
MAX_P99_RATIO = 1.25
MAX_ATTEMPTS_RATIO = 1.05


def _ratio(first: float, second: float) -> float:
    """Return the larger over the smaller value; infinite if the smaller is zero."""
    low, high = sorted((first, second))
    return high / low if low else float("inf")


def _claims(name: str, real: RunSummary, simulated_run: RunSummary) -> list[Claim]:
    service_points = 100 * abs(real.service - simulated_run.service)
    max_points = MAX_SERVICE_POINTS_OF_SURGE if name == "surge" else MAX_SERVICE_POINTS
    p50_ratio = _ratio(real.p50_ms, simulated_run.p50_ms)
    p99_ratio = _ratio(real.p99_ms, simulated_run.p99_ms)
    attempts_ratio = _ratio(real.attempts_per_request, simulated_run.attempts_per_request)
    return [
        Claim(f"{name}: service apart (points)", service_points, "<=", max_points),
        Claim(f"{name}: p50 apart (ratio)", p50_ratio, "<=", MAX_P50_RATIO),
        Claim(f"{name}: p99 apart (ratio)", p99_ratio, "<=", MAX_P99_RATIO),
        Claim(f"{name}: attempts a try apart (ratio)", attempts_ratio, "<=", MAX_ATTEMPTS_RATIO),
        Claim(f"{name}: breaches, both", real.breaches + simulated_run.breaches, "==", 0),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Run each world on both backends; a seeded fault is in the simulated run."""
    figures: dict[str, float] = {}
    claims = []
    for name in WORLDS:
        world = load(name)
        real = summarize(world, harness.run_world(world, trial.seed, trial.folder / name))
        if trial.seeded_fault:
            seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
        simulated_run = summarize(world, simulated.run_world(world, trial.seed))
        figures |= real.as_figures(f"{name}_", "_sockets")
        figures |= simulated_run.as_figures(f"{name}_", "_sim")
        claims += _claims(name, real, simulated_run)
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="sim-agreement",
    description="five worlds on sockets and in simulation, figures beside each other",
    measure=measure,
    seeded_faults=("blind", "hold"),
)
