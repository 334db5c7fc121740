"""`sim-speed`: how fast is the simulation as the fleet grows?

The steady world with 5, 50 and 500 sidecars (full scale: 3,000 too) at the same total load, one sidecar killed on the
way, on one core. Claims: no rule is broken, the service stays, and the simulated seconds per second.
"""

from __future__ import annotations

import time

import msgspec

from ryepier.emulator import simulated
from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.simulation.run_summary import summarize

FLEET_SIZES: dict[Scale, tuple[int, ...]] = {Scale.SMALL: (5, 50, 500), Scale.FULL: (5, 50, 500, 3000)}  # sidecars
DURATION_S = {Scale.SMALL: 4.0, Scale.FULL: 20.0}
RATE_PER_S = 1000.0  # of all clients
DOWN_S = 0.5  # of the killed sidecar
MIN_SPEED = {5: 0.5, 50: 0.4, 500: 0.25}  # simulated seconds per second, by fleet size
MIN_SERVICE = 0.95


def make_world(sidecars: int, duration_s: float) -> World:
    """Return the steady world with so many sidecars, one of which is killed halfway."""
    replace = msgspec.structs.replace
    world = load("steady")
    return replace(
        world,
        duration_s=duration_s,
        sidecars=replace(world.sidecars, count=sidecars),
        clients=replace(world.clients, rate_per_s=RATE_PER_S, ramp_to_per_s=0.0),
        faults=[Fault(kind=FaultKind.SIDECAR_KILL, at_s=duration_s / 2, down_s=DOWN_S, index=0)],
    )


def measure(trial: TrialConfig) -> Measurement:
    """Simulate each fleet size."""
    figures: dict[str, float] = {}
    claims = []
    for sidecars in FLEET_SIZES[trial.scale]:
        world = make_world(sidecars, DURATION_S[trial.scale])
        begun_s = time.monotonic()
        history = simulated.run_world(world, trial.seed)
        speed = world.duration_s / (time.monotonic() - begun_s)
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
