"""Experiments `planner-kill` and `planner-hang`: forwarders fail over to the second planner, and only if needed.

The leading planner is killed during a surge, or hangs for 5 s with its connections open. The claims require that
forwarders change to the second planner and do not change again, that the hung planner steps down when it resumes, and a
high service level.
"""

from __future__ import annotations

from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.logs import lines_containing
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.faults.surge import surge_claims
from ryepier.experiments.planners.followers import count_changes_of_planner, count_followers_of

FIRST_PLANNER_LOG = "planner-0.log"
STEPPED_DOWN_MESSAGE = "follows, epoch"  # in a planner's log
MIN_CHANGED_SHARE = 0.95  # share of the forwarders that have to follow the second planner after the first is killed
MIN_SERVICE = 0.97


def _kill_world(scale: Scale) -> World:
    return load("planner-kill")


def _hang_world(scale: Scale) -> World:
    return load("planner-hang")


def _kill_claims(run: Run) -> list[Claim]:
    changed_count = count_followers_of(run, "planner-1")
    min_changed = MIN_CHANGED_SHARE * run.world.sidecars.count
    return [
        Claim("forwarders that went over to the other planner", changed_count, ">=", min_changed),
        *surge_claims(run),
    ]


def _hang_claims(run: Run) -> list[Claim]:
    hang = fault_of_kind(run.world, FaultKind.PLANNER_HANG)
    first_follower_count = count_followers_of(run, "planner-0, epoch 1")
    second_follower_count = count_followers_of(run, "planner-1, epoch 2")
    further_change_count = count_changes_of_planner(run) - first_follower_count - second_follower_count
    stepped_down_count = len(lines_containing(run.folder, FIRST_PLANNER_LOG, STEPPED_DOWN_MESSAGE))
    service_from_hang = figures.service_level(run.operations, phases.from_time(hang.at_s, run.world))
    service_from_resumption = figures.service_level(run.operations, phases.from_time(phases.end_s(hang), run.world))
    return [
        Claim("forwarders that went over to the other planner", second_follower_count, "==", run.world.sidecars.count),
        Claim("changes of planner, over two a forwarder", further_change_count, "==", 0),
        Claim("the planner that hung stepped down", stepped_down_count, ">=", 1),
        Claim("service from the stall on", service_from_hang, ">=", MIN_SERVICE),
        Claim("service once it is back", service_from_resumption, ">=", MIN_SERVICE),
    ]


EXPERIMENTS = (
    Experiment(
        name="planner-kill",
        description="the planner that leads is killed in a surge of 2.3 times",
        world=_kill_world,
        claims=_kill_claims,
        seeded_faults=("lose",),
    ),
    Experiment(
        name="planner-hang",
        description="the planner that leads stalls for 5 s with its connections open",
        world=_hang_world,
        claims=_hang_claims,
        seeded_faults=("trust-none",),
    ),
)
