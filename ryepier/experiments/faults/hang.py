"""Experiment `hang`: sidecars eject converters that accept requests but never answer, and restore them afterwards.

A sixth of the converters hangs for some seconds. For the second half of the hang, the claims limit the share of
attempts at hung converters and require a high service level. After the hang, they require the usual service level.
"""

from __future__ import annotations

from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.faults.scaling import scale_world

MAX_SHARE_TO_HUNG = 0.03  # share of attempts to hung converters, including probes
MIN_SERVICE_DURING = 0.90
MIN_SERVICE_AFTER = 0.95


def _world(scale: Scale) -> World:
    return scale_world(load("hang"), scale)


def _claims(run: Run) -> list[Claim]:
    hang = fault_of_kind(run.world, FaultKind.HANG)
    middle_s = hang.at_s + hang.for_s / 2
    end_s = phases.end_s(hang)
    hung_uids = phases.affected_uids(run, (FaultKind.HANG,))
    attempts_at_hung = figures.count_attempts(run.history.converter_attempts, hung_uids, middle_s, end_s)
    service_during = figures.service_level(run.operations, figures.due_between(middle_s, end_s))
    service_after = figures.service_level(run.operations, phases.after_recovery(hang, run.world))
    return [
        Claim("share of attempts to hung converters, second half", attempts_at_hung.share, "<=", MAX_SHARE_TO_HUNG),
        Claim("service in the second half of the hang", service_during, ">=", MIN_SERVICE_DURING),
        Claim("service from 2 s after the hang", service_after, ">=", MIN_SERVICE_AFTER),
    ]


EXPERIMENT = Experiment(
    name="hang",
    description="a sixth of the converters takes requests and answers none",
    world=_world,
    claims=_claims,
    seeded_faults=("blind",),
)
