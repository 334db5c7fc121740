"""Experiment `steady`: service level and overhead of a fleet without faults.

The fleet handles a constant load of about half its capacity. The claims require that nearly all operations are served
within their latency objective, that retries are rare, and that converters waste almost no work.
"""

from __future__ import annotations

from ryepier.emulator.world import World
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import load
from ryepier.experiments.faults.scaling import scale_world

MIN_SERVICE = 0.98
MAX_ATTEMPTS_PER_REQUEST = 1.01
MAX_WASTED_SHARE = 0.01


def _world(scale: Scale) -> World:
    return scale_world(load("steady"), scale)


def _claims(run: Run) -> list[Claim]:
    request_count = len(run.history.client_attempts)
    attempt_count = len(run.history.converter_attempts)
    return [
        Claim("service", figures.service_level(run.operations), ">=", MIN_SERVICE),
        Claim("attempts a try", attempt_count / max(1, request_count), "<=", MAX_ATTEMPTS_PER_REQUEST),
        Claim("waste", figures.wasted_work_share(run.history), "<=", MAX_WASTED_SHARE),
    ]


EXPERIMENT = Experiment(
    name="steady",
    description="a fleet in which nothing goes wrong",
    world=_world,
    claims=_claims,
    seeded_faults=("twice", "lose"),
)
