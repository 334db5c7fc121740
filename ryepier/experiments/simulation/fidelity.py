"""What simulation is worth: its figures beside those on sockets, and how fast it is as the fleet grows."""

from __future__ import annotations

import time

import msgspec

from ryepier.emulator import harness, simulated
from ryepier.emulator.records import History
from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import figures, judge
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.experiments.core.worlds import load

ALIKE = ("steady", "release", "hang", "surge", "sidecar-kill")  # breaking-point measures CPU, of which there is none
SERVICE_POINTS = 1.5
SURGE_POINTS = 3.0  # more than the fleet can do: who is refused hangs on single moments
LATENCY_RATIO = {"p50": 1.10, "p99": 1.25}
TRIES_RATIO = 1.05
SIDECARS = (5, 50, 500)
QUIET = 3000  # instances that hardly do anything
RATE_PER_S = 1000.0
LASTS_S = {"small": 4.0, "full": 20.0}
LEAST_SPEED = {5: 0.5, 50: 0.4, 500: 0.25}  # simulated seconds a second, on one core: half of what was measured


def seen(world: World, history: History) -> dict[str, float]:
    """What is compared of a run."""
    orders = figures.operations(world, history.client_attempts)
    latencies = figures.latency_histogram(orders)
    return {
        "service": figures.service_level(orders),
        "p50_ms": latencies.get_value_at_percentile(50) / 1000,
        "p99_ms": latencies.get_value_at_percentile(99) / 1000,
        "attempts_per_try": len(history.converter_attempts) / max(1, len(history.client_attempts)),
        "tries": len(history.client_attempts),
        "breaches": len(judge.judge(world, history)),
    }


def _ratio(one: float, other: float) -> float:
    low, high = sorted((one, other))
    return high / low if low else float("inf")


def compare(trial: TrialConfig) -> Measurement:
    """Each world on both backends, on the same seed."""
    found: dict[str, float] = {}
    claims = []
    for name in ALIKE:
        world = load(name)
        real = seen(world, harness.play(world, trial.seed, trial.folder / name))
        if trial.seeded_fault:
            seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
        virtual = seen(world, simulated.play(world, trial.seed))
        found |= {f"{name}_{key}_sockets": value for key, value in real.items()}
        found |= {f"{name}_{key}_sim": value for key, value in virtual.items()}
        points = SURGE_POINTS if name == "surge" else SERVICE_POINTS
        claims += [
            Claim(f"{name}: service apart (points)", 100 * abs(real["service"] - virtual["service"]), "<=", points),
            Claim(f"{name}: p50 apart (ratio)", _ratio(real["p50_ms"], virtual["p50_ms"]), "<=", LATENCY_RATIO["p50"]),
            Claim(f"{name}: p99 apart (ratio)", _ratio(real["p99_ms"], virtual["p99_ms"]), "<=", LATENCY_RATIO["p99"]),
            Claim(
                f"{name}: attempts a try apart (ratio)",
                _ratio(real["attempts_per_try"], virtual["attempts_per_try"]),
                "<=",
                TRIES_RATIO,
            ),
            Claim(f"{name}: breaches, both", real["breaches"] + virtual["breaches"], "==", 0),
        ]
    return Measurement(claims, found)


def speed_world(sidecars: int, lasts_s: float) -> World:
    """The steady world with so many sidecars, all the traffic spread over them; one of them is killed."""
    replace, world = msgspec.structs.replace, load("steady")
    faults = [Fault(kind=FaultKind.SIDECAR_KILL, at_s=lasts_s / 2, down_s=0.5, index=0)]
    return replace(
        world,
        duration_s=lasts_s,
        sidecars=replace(world.sidecars, count=sidecars),
        clients=replace(world.clients, rate_per_s=RATE_PER_S, ramp_to_per_s=0.0),
        faults=faults,
    )


def measure_speed(trial: TrialConfig) -> Measurement:
    """Simulated seconds a second on one core, at each size of the fleet."""
    found: dict[str, float] = {}
    claims = []
    for sidecars in (*SIDECARS, QUIET) if trial.scale == "full" else SIDECARS:
        world = speed_world(sidecars, LASTS_S[trial.scale])
        begun = time.monotonic()
        history = simulated.play(world, trial.seed)
        speed = world.duration_s / (time.monotonic() - begun)
        got = seen(world, history)
        found |= {f"speed_{sidecars}": speed, **{f"{key}_{sidecars}": value for key, value in got.items()}}
        claims += [
            Claim(f"breaches with {sidecars} sidecars", got["breaches"], "==", 0),
            Claim(f"service with {sidecars} sidecars", got["service"], ">=", 0.95),
        ]
        if sidecars in LEAST_SPEED:
            claims.append(
                Claim(f"simulated seconds a second with {sidecars} sidecars", speed, ">=", LEAST_SPEED[sidecars])
            )
    return Measurement(claims, found)


EXPERIMENTS = (
    Benchmark(
        "sim-agreement",
        "five worlds on sockets and in simulation, figures beside each other",
        compare,
        ("blind", "hold"),
    ),
    Benchmark("sim-speed", "simulated seconds a second at 5, 50 and 500 sidecars (full: 3,000 too)", measure_speed, ()),
)
