"""Experiment `real-surge`: the retry storm guard does not mistake a surge of first attempts for a retry storm.

The clients send more first attempts for a time, and there is no outage that would cause retries. The world is run with
and without the sidecars' retry storm guards, with the same seed. The claims require that no guard detects a storm, and
that the guards cost almost no service.
"""

from __future__ import annotations

from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.storms import measures, worlds

MAX_LOST_POINTS = 2.0  # percentage points of the service level


def _world(scale: Scale) -> World:
    return load("real-surge")


def _claims(run: Run) -> list[Claim]:
    assert run.control is not None
    is_in_surge = phases.during(fault_of_kind(run.world, FaultKind.SURGE))
    service_in_surge = figures.service_level(run.operations, is_in_surge)
    lost_points_in_surge = 100 * (figures.service_level(run.control.operations, is_in_surge) - service_in_surge)
    overall_service_level = figures.service_level(run.operations)
    lost_points_overall = 100 * (figures.service_level(run.control.operations) - overall_service_level)
    return [
        Claim("times that a guard took the surge for a storm", measures.count_detections(run), "==", 0),
        Claim("service in the surge lost to the guard (points)", lost_points_in_surge, "<=", MAX_LOST_POINTS),
        Claim("service lost to the guard (points)", lost_points_overall, "<=", MAX_LOST_POINTS),
    ]


EXPERIMENT = Experiment(
    name="real-surge",
    description="first tries in a surge are not damped as a storm",
    world=_world,
    claims=_claims,
    seeded_faults=("jumpy",),
    control_world=worlds.without_guard,
)
