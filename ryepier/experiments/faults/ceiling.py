"""Experiment `ceiling`: the request rate that the emulator itself can offer and serve.

Clients send requests directly to the emulated converters, without a sidecar, on four cores. The claim requires a higher
rate than any experiment uses, so that no experiment measures the limits of the emulator.
"""

from __future__ import annotations

from collections.abc import Mapping

from ryepier.emulator.records import RequestOutcome
from ryepier.emulator.world import World
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import load

CORES = 4
MIN_SERVED_PER_S = 5000


def _world(scale: Scale) -> World:
    return load("ceiling")


def _served_per_s(run: Run) -> float:
    served_count = sum(attempt.outcome is RequestOutcome.SERVED for attempt in run.history.client_attempts)
    return served_count / run.world.duration_s


def _figures(run: Run) -> Mapping[str, float]:
    return {"served_per_s": _served_per_s(run)}


def _claims(run: Run) -> list[Claim]:
    return [Claim("requests served a second without a sidecar", _served_per_s(run), ">=", MIN_SERVED_PER_S)]


EXPERIMENT = Experiment(
    name="ceiling",
    description="what the emulator offers and serves by itself, on four cores",
    world=_world,
    claims=_claims,
    seeded_faults=(),
    extra_figures=_figures,
    rules=("invented", "forged", "run-twice"),
    cores=CORES,
    measures_cpu=True,
)
