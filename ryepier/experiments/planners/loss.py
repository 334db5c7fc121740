"""Experiment `planner-loss`: a fleet without any planner loses almost no service.

All planners are down for 12 s (full scale: 60 s) during a release of converters. The claims require that every
forwarder followed a plan, that sidecars are still notified of drains, and that almost no service is lost while the
planners are down or after their restart.
"""

from __future__ import annotations

from ryepier.emulator.timeline import ListState
from ryepier.emulator.world import FaultKind
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run
from ryepier.experiments.core.worlds import fault_of_kind
from ryepier.experiments.planners import worlds
from ryepier.experiments.planners.followers import count_followers

MEASURED_FROM_S = 1.0  # time of the run; operations planned before it are excluded
MAX_LOST_POINTS = 2.0  # percentage points of the service level


def _claims(run: Run) -> list[Claim]:
    kill = fault_of_kind(run.world, FaultKind.PLANNER_KILL)
    restarted_at_s = kill.at_s + kill.down_s
    service_before = figures.service_level(run.operations, figures.due_between(MEASURED_FROM_S, kill.at_s))
    service_during = figures.service_level(run.operations, figures.due_between(kill.at_s, restarted_at_s))
    service_after = figures.service_level(
        run.operations, phases.from_time(restarted_at_s + phases.RECOVERY_S, run.world)
    )
    drain_notice_count = sum(notice.state == ListState.LEAVING for notice in run.history.notices)
    sidecar_count = run.world.sidecars.count
    return [
        Claim("forwarders that followed a plan", count_followers(run), "==", sidecar_count),
        Claim(
            "service lost while all planners are away (points)",
            100 * (service_before - service_during),
            "<=",
            MAX_LOST_POINTS,
        ),
        Claim(
            "service lost once they are back (points)", 100 * (service_before - service_after), "<=", MAX_LOST_POINTS
        ),
        Claim("drains told of", drain_notice_count, ">=", sidecar_count),
    ]


EXPERIMENT = Experiment(
    name="planner-loss",
    description="all planners away for 12 s (full: 60 s) while converters are released",
    world=worlds.loss,
    claims=_claims,
    seeded_faults=("deaf",),
)
