"""Experiments `planner-empty` and `planner-restart`: forwarders stay safe when planners restart.

Both planners are killed while converters hang. In `planner-restart` they restart with their snapshots. In
`planner-empty` they restart without any state, and with a seeded fault that makes them publish plans at once. The
claims require that no forwarder follows a plan without evidence, that valid plans are published again within two
seconds, and that few attempts go to the hung converters.
"""

from __future__ import annotations

from datetime import datetime

from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.logs import PLANNER_LOGS, SIDECAR_LOGS, lines_containing, log_lines
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.planners.followers import FOLLOWING_MESSAGE, count_sidecars_that_logged
from ryepier.plan.plan_follower import PlanRejection

REJECTED_MESSAGE = f"rejected: {PlanRejection.FEW_REPORTERS}"  # in a sidecar's log
EMPTY_PLANNER_EPOCH = "epoch 10000"  # in log lines: prefix of the epochs of planners with the seeded fault `amnesiac`
PLAN_ARRIVAL_S = 1.0  # time from the planners' restart until their empty plans have arrived
END_MARGIN_S = 1.0  # attempts in this last part of the run are excluded from the share of attempts to hung converters
MAX_SHARE_TO_HUNG = 0.02
MAX_RESTART_S = 2.0


def _empty_world(scale: Scale) -> World:
    return load("planner-empty")


def _restart_world(scale: Scale) -> World:
    return load("planner-restart")


def _share_to_hung(run: Run, begin_s: float, end_s: float) -> float:
    hung_uids = phases.affected_uids(run, (FaultKind.HANG,))
    return figures.count_attempts(run.history.converter_attempts, hung_uids, begin_s, end_s).share


def _count_followers_of_empty_plan(run: Run) -> int:
    lines = lines_containing(run.folder, SIDECAR_LOGS, FOLLOWING_MESSAGE)
    return len({line["file"] for line in lines if EMPTY_PLANNER_EPOCH in str(line["message"])})


def _empty_claims(run: Run) -> list[Claim]:
    kill = fault_of_kind(run.world, FaultKind.PLANNER_KILL)
    plan_arrived_at_s = kill.at_s + kill.down_s + PLAN_ARRIVAL_S
    rejected_count = count_sidecars_that_logged(run, REJECTED_MESSAGE)
    share_to_hung = _share_to_hung(run, plan_arrived_at_s, run.world.duration_s)
    return [
        Claim("forwarders that refused the empty plan", rejected_count, "==", run.world.sidecars.count),
        Claim("forwarders that took it", _count_followers_of_empty_plan(run), "==", 0),
        Claim("share of attempts to hung converters after it came", share_to_hung, "<=", MAX_SHARE_TO_HUNG),
    ]


def restart_to_leadership_s(run: Run) -> float:
    """Return the shortest time from a planner's restart until it leads; infinite if no restarted planner leads."""
    shortest_s = float("inf")
    for path in sorted(run.folder.glob(PLANNER_LOGS)):
        started_at: datetime | None = None
        start_count = 0
        for line in log_lines(run.folder, path.name):
            message, logged_at = str(line["message"]), datetime.fromisoformat(str(line["time"]))
            if message.endswith("is up"):
                started_at = logged_at
                start_count += 1
            elif message.startswith("leads") and start_count > 1 and started_at is not None:
                shortest_s = min(shortest_s, (logged_at - started_at).total_seconds())
    return shortest_s


def _restart_claims(run: Run) -> list[Claim]:
    kill = fault_of_kind(run.world, FaultKind.PLANNER_KILL)
    restarted_at_s = kill.at_s + kill.down_s
    share_to_hung = _share_to_hung(run, restarted_at_s, run.world.duration_s - END_MARGIN_S)
    followed_again_count = count_sidecars_that_logged(run, "epoch 2")
    return [
        Claim("time to sound plans after the restart (s)", restart_to_leadership_s(run), "<=", MAX_RESTART_S),
        Claim("share of attempts to hung converters from the restart on", share_to_hung, "<=", MAX_SHARE_TO_HUNG),
        Claim("forwarders that followed again", followed_again_count, "==", run.world.sidecars.count),
    ]


EXPERIMENTS = (
    Experiment(
        name="planner-empty",
        description="planners come back with nothing in mind while converters hang",
        world=_empty_world,
        claims=_empty_claims,
        seeded_faults=("trust-any",),
        restarted_planner_fault="amnesiac",
    ),
    Experiment(
        name="planner-restart",
        description="both planners die and come back with their snapshots while converters hang",
        world=_restart_world,
        claims=_restart_claims,
        seeded_faults=("trust-none",),
    ),
)
