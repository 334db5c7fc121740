"""`sim-speed`: measures the speed of the simulation as the fleet grows.

Runs the steady world on one core with 5, 50 and 500 sidecars, and at full scale also with 3,000. The total load is the
same for all fleet sizes, and one sidecar is killed during each run. The claims: no rule is broken, the service level
stays above a minimum, and so do the simulated seconds per second.
"""

from __future__ import annotations

import time

import msgspec

from ryepier.emulator import simulated
from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.simulation.run_summary import summarize

FLEET_SIZES: dict[Scale, tuple[int, ...]] = {
    Scale.SMALL: (5, 50, 500),
    Scale.FULL: (5, 50, 500, 3000),
}  # number of sidecars
DURATION_S = {Scale.SMALL: 4.0, Scale.FULL: 20.0}
TOTAL_RATE_PER_S = 1000.0  # requests of all clients together
DOWN_S = 0.5  # how long the killed sidecar is down
MIN_SPEED = {5: 0.5, 50: 0.4, 500: 0.25}  # simulated seconds per second, by fleet size
MIN_SERVICE = 0.95


def make_world(sidecars: int, duration_s: float) -> World:
    """Return the steady world with the given number of sidecars, one of which is killed halfway through the run."""
    replace = msgspec.structs.replace
    world = load("steady")
    return replace(
        world,
        duration_s=duration_s,
        sidecars=replace(world.sidecars, count=sidecars),
        clients=replace(world.clients, rate_per_s=TOTAL_RATE_PER_S, ramp_to_per_s=0.0),
        faults=[Fault(kind=FaultKind.SIDECAR_KILL, at_s=duration_s / 2, down_s=DOWN_S, index=0)],
    )


def measure(trial: TrialConfig) -> Measurement:
    """Run the simulation for each fleet size of the trial's scale."""
    figures: dict[str, float] = {}
    claims = []
    for sidecars in FLEET_SIZES[trial.scale]:
        world = make_world(sidecars, DURATION_S[trial.scale])
        started_s = time.monotonic()
        history = simulated.run_world(world, trial.seed)
        speed = world.duration_s / (time.monotonic() - started_s)
        summary = summarize(world, history)
        figures[f"speed_{sidecars}"] = speed
        figures |= summary.as_figures("", f"_{sidecars}")
        claims.append(Claim(f"breaches with {sidecars} sidecars", summary.breaches, "==", 0))
        claims.append(Claim(f"service with {sidecars} sidecars", summary.service, ">=", MIN_SERVICE))
        if sidecars in MIN_SPEED:
            name = f"simulated seconds a second with {sidecars} sidecars"
            claims.append(Claim(name, speed, ">=", MIN_SPEED[sidecars]))
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="sim-speed",
    description="simulated seconds a second at 5, 50 and 500 sidecars (full: 3,000 too)",
    measure=measure,
    seeded_faults=(),
)
