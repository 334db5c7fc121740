"""Experiments on forwarders and planners: planners lost, killed, forgetful; and what they are worth."""

from __future__ import annotations

import itertools
import json
from collections import Counter
from collections.abc import Mapping
from datetime import datetime
from pathlib import Path

import msgspec

from ryepier.emulator import timeline
from ryepier.emulator.timeline import TargetKind
from ryepier.emulator.world import Fault, World
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import load

AVOID_STEP_S = 0.1
AVOID_WINDOW_S = 1.5  # a forwarder avoids the hung converters from when on it sends them next to nothing for so long
AVOID_MOST = 1  # attempts in it: a trial
AVOID_SHARE = 0.95  # of the forwarders
FULL_LOSS_S = 60.0
LIED_OF = 6  # one converter in so many, as in the planted liar


def without_planners(world: World) -> World:
    """The same world with sidecars that share nothing."""
    faults = [fault for fault in world.faults if not fault.kind.startswith("planner")]
    return msgspec.structs.replace(world, planners=msgspec.structs.replace(world.planners, count=0), faults=faults)


def log_lines(folder: Path, pattern: str) -> list[dict[str, object]]:
    """The lines of the processes' JSON logs; what is no JSON is left out."""
    found = []
    for path in sorted(folder.glob(pattern)):
        for line in path.read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line) | {"file": path.name})
            except ValueError:
                continue
    return found


def _logs_with(run: Run, pattern: str, text: str) -> list[dict[str, object]]:
    return [line for line in log_lines(run.folder, pattern) if text in str(line.get("message"))]


def _files_with(run: Run, text: str) -> int:
    """How many sidecars logged it."""
    return len({line["file"] for line in _logs_with(run, "sidecar-*.log", text)})


def _fault(run: Run, kind: str) -> Fault:
    return next(fault for fault in run.world.faults if fault.kind == kind)


def struck_uids(run: Run, kinds: tuple[str, ...]) -> set[str]:
    """The converters that faults of these kinds strike."""
    built = timeline.build(run.world, run.seed)
    struck = {step.index for step in built.steps if step.target is TargetKind.CONVERTER and step.fault in kinds}
    return {instance.uid for instance in built.instances if instance.index in struck}


# planner-loss: all planners away for a while, a release going on meanwhile


def _loss_world(scale: Scale) -> World:
    world = load("planner-loss")
    if scale == "small":
        return world
    replace = msgspec.structs.replace
    return replace(
        world,
        duration_s=world.duration_s - 12.0 + FULL_LOSS_S,
        faults=[
            replace(fault, down_s=FULL_LOSS_S)
            if fault.kind == "planner-kill"
            else replace(fault, for_s=FULL_LOSS_S)
            if fault.kind == "release"
            else fault
            for fault in world.faults
        ],
    )


def _loss_claims(run: Run) -> list[Claim]:
    fault = _fault(run, "planner-kill")
    before = figures.service_level(run.operations, figures.due_between(1.0, fault.at_s))
    during = figures.service_level(run.operations, figures.due_between(fault.at_s, fault.at_s + fault.down_s))
    after = figures.service_level(
        run.operations, figures.due_between(fault.at_s + fault.down_s + 2.0, run.world.duration_s)
    )
    told = sum(notice.state == "leaving" for notice in run.history.notices)
    return [
        Claim("forwarders that followed a plan", _files_with(run, "following plans"), "==", run.world.sidecars.count),
        Claim("service lost while all planners are away (points)", 100 * (before - during), "<=", 2.0),
        Claim("service lost once they are back (points)", 100 * (before - after), "<=", 2.0),
        Claim("drains told of", told, ">=", run.world.sidecars.count),
    ]


# planner-kill: the one that leads is killed in a surge


def _kill_claims(run: Run) -> list[Claim]:
    second = "following plans of planner-1"
    fault = _fault(run, "surge")
    end_s = fault.at_s + fault.for_s
    return [
        Claim(
            "forwarders that went over to the other planner",
            _files_with(run, second),
            ">=",
            0.95 * run.world.sidecars.count,
        ),
        Claim(
            "service during the surge",
            figures.service_level(run.operations, figures.due_between(fault.at_s, end_s)),
            ">=",
            0.55,
        ),
        Claim(
            "service from 2 s after the surge",
            figures.service_level(run.operations, figures.due_between(end_s + 2.0, run.world.duration_s)),
            ">=",
            0.95,
        ),
    ]


# planner-hang: the one that leads stalls, its connections open, and goes on later


def _hang_claims(run: Run) -> list[Claim]:
    fault = _fault(run, "planner-hang")
    resumed_s = fault.at_s + fault.for_s
    steps_down = _logs_with(run, "planner-0.log", "follows, epoch")
    back = _files_with(run, "following plans of planner-0, epoch 1")
    forth = _files_with(run, "following plans of planner-1, epoch 2")
    lines = _logs_with(run, "sidecar-*.log", "following plans")
    return [
        Claim("forwarders that went over to the other planner", forth, "==", run.world.sidecars.count),
        Claim("changes of planner, over two a forwarder", len(lines) - back - forth, "==", 0),
        Claim("the planner that hung stepped down", len(steps_down), ">=", 1),
        Claim(
            "service from the stall on",
            figures.service_level(run.operations, figures.due_between(fault.at_s, run.world.duration_s)),
            ">=",
            0.97,
        ),
        Claim(
            "service once it is back",
            figures.service_level(run.operations, figures.due_between(resumed_s, run.world.duration_s)),
            ">=",
            0.97,
        ),
    ]


# planner-empty: both planners die and come back with nothing in mind, while converters hang


def _empty_claims(run: Run) -> list[Claim]:
    kill = _fault(run, "planner-kill")
    begin_s, end_s = kill.at_s + kill.down_s + 1.0, run.world.duration_s
    hung, whole = figures.count_attempts(run.history.converter_attempts, struck_uids(run, ("hang",)), begin_s, end_s)
    refused = _files_with(run, "is refused: too few forwarders reported")
    taken = len(
        {
            line["file"]
            for line in _logs_with(run, "sidecar-*.log", "following plans")
            if "epoch 10000" in str(line["message"])
        }
    )
    return [
        Claim("forwarders that refused the empty plan", refused, "==", run.world.sidecars.count),
        Claim("forwarders that took it", taken, "==", 0),
        Claim("share of attempts to hung converters after it came", hung / max(1, whole), "<=", 0.02),
    ]


# planner-liar: three forwarders tell tall tales of converters that are well

LIARS = 3


def longest_gap_s(run: Run, uid: str, since_s: float) -> float:
    """Between two attempts at a converter, from a moment of the run to the end of its arrivals."""
    times = [
        since_s,
        *(
            a.received_us / 1e6
            for a in run.history.converter_attempts
            if a.uid == uid and a.received_us > since_s * 1e6
        ),
    ]
    times.append(max(times[-1], run.world.duration_s))
    return max(late - early for early, late in itertools.pairwise(times))


def _liar_claims(run: Run) -> list[Claim]:
    lied_of = {i.uid for i in timeline.build(run.world, run.seed).instances if i.index % LIED_OF == 0}
    # each gets about ten a second; one that rests by plan gets a trial now and then
    gap_s = max(longest_gap_s(run, uid, 3.0) for uid in lied_of)
    return [
        Claim("forwarders that follow a plan", _files_with(run, "following plans"), "==", run.world.sidecars.count),
        Claim("longest time that a converter lied about had no request (s)", gap_s, "<=", 1.0),
        Claim("service", figures.service_level(run.operations), ">=", 0.98),
    ]


# planner-restart: both planners die and come back at once, with their snapshots, while converters hang


def sound_again_s(run: Run) -> float:
    """Seconds from a planner's coming up again to its first plans: the least over the planners; infinite for never."""
    least = float("inf")
    for path in sorted(run.folder.glob("planner-*.log")):
        up: datetime | None = None
        lives = 0
        for line in log_lines(run.folder, path.name):
            text, at = str(line["message"]), datetime.fromisoformat(str(line["time"]))
            if text.endswith("is up"):
                up, lives = at, lives + 1
            elif text.startswith("leads") and lives > 1 and up is not None:
                least = min(least, (at - up).total_seconds())
    return least


def _restart_claims(run: Run) -> list[Claim]:
    kill = _fault(run, "planner-kill")
    begin_s, end_s = kill.at_s + kill.down_s, run.world.duration_s - 1.0
    hung, whole = figures.count_attempts(run.history.converter_attempts, struck_uids(run, ("hang",)), begin_s, end_s)
    return [
        Claim("time to sound plans after the restart (s)", sound_again_s(run), "<=", 2.0),
        Claim("share of attempts to hung converters from the restart on", hung / max(1, whole), "<=", 0.02),
        Claim("forwarders that followed again", _files_with(run, "epoch 2"), "==", run.world.sidecars.count),
    ]


# planner-gain: a sixth of the converters hangs; the same world and seed with and without planners


def avoided_after_s(run: Run, kind: str) -> float:
    """Seconds from a fault until 95% of the forwarders avoid the converters struck; its length where they never do."""
    fault, uids = _fault(run, kind), struck_uids(run, (kind,))
    sidecar_of = {item.request_id: item.sidecar for item in run.history.client_attempts}
    times: dict[int, list[float]] = {index: [] for index in range(run.world.sidecars.count)}
    for attempt in run.history.converter_attempts:
        if attempt.uid in uids and attempt.request_id in sidecar_of:
            times[sidecar_of[attempt.request_id]].append(attempt.received_us / 1e6 - fault.at_s)
    at_s = 0.0
    while at_s + AVOID_WINDOW_S <= fault.for_s:
        avoiding = sum(sum(at_s <= t < at_s + AVOID_WINDOW_S for t in seen) <= AVOID_MOST for seen in times.values())
        if avoiding >= AVOID_SHARE * run.world.sidecars.count:
            return at_s
        at_s += AVOID_STEP_S
    return fault.for_s


def _gain_figures(run: Run, kind: str = "hang") -> Mapping[str, float]:
    assert run.control is not None
    fault = _fault(run, kind)
    end_s = fault.at_s + fault.for_s
    result = {}
    for name, one in (("with", run), ("without", run.control)):
        result[f"avoided_after_s_{name}"] = avoided_after_s(one, kind)
        result[f"service_in_the_{kind}_{name}"] = figures.service_level(
            one.operations, figures.due_between(fault.at_s, end_s)
        )
        struck, _ = figures.count_attempts(one.history.converter_attempts, struck_uids(one, (kind,)), fault.at_s, end_s)
        result[f"attempts_to_struck_{name}"] = struck
    return result


def _slow_figures(run: Run) -> Mapping[str, float]:
    return _gain_figures(run, "slow")


def _slow_claims(run: Run) -> list[Claim]:
    got = _slow_figures(run)
    lost_with, lost_without = 1 - got["service_in_the_slow_with"], 1 - got["service_in_the_slow_without"]
    return [
        Claim(
            "time to avoid, with planners over without",
            got["avoided_after_s_with"] / max(AVOID_STEP_S, got["avoided_after_s_without"]),
            "<=",
            0.5,
        ),
        # each sidecar draws slow ones less by itself, so there is little left to gain
        Claim(
            "worth lost while they are slow, with planners over without", lost_with / max(1e-6, lost_without), "<=", 1.0
        ),
    ]


def _gain_claims(run: Run) -> list[Claim]:
    got = _gain_figures(run)
    lost_with, lost_without = 1 - got["service_in_the_hang_with"], 1 - got["service_in_the_hang_without"]
    return [
        Claim(
            "time to avoid, with planners over without",
            got["avoided_after_s_with"] / max(AVOID_STEP_S, got["avoided_after_s_without"]),
            "<=",
            0.5,
        ),
        Claim("worth lost in the hang, with planners over without", lost_with / max(1e-6, lost_without), "<=", 0.8),
        Claim(
            "breaches of rules without planners",
            sum(Counter(breach.rule for breach in run.control.breaches).values()) if run.control else 0,
            "==",
            0,
        ),
    ]


EXPERIMENTS = (
    Experiment(
        "planner-loss",
        "all planners away for 12 s (full: 60 s) while converters are released",
        _loss_world,
        _loss_claims,
        ("deaf",),
    ),
    Experiment(
        "planner-kill",
        "the planner that leads is killed in a surge of 2.3 times",
        lambda scale: load("planner-kill"),
        _kill_claims,
        ("lose",),
    ),
    Experiment(
        "planner-hang",
        "the planner that leads stalls for 5 s with its connections open",
        lambda scale: load("planner-hang"),
        _hang_claims,
        ("trust-none",),
    ),
    Experiment(
        "planner-empty",
        "planners come back with nothing in mind while converters hang",
        lambda scale: load("planner-empty"),
        _empty_claims,
        ("trust-any",),
        restarted_planner_fault="amnesiac",
    ),
    Experiment(
        "planner-liar",
        "three forwarders tell planners tall tales of converters that are well",
        lambda scale: load("planner-liar"),
        _liar_claims,
        ("credulous",),
        sidecar_faults=dict.fromkeys(range(LIARS), "liar"),
    ),
    Experiment(
        "planner-restart",
        "both planners die and come back with their snapshots while converters hang",
        lambda scale: load("planner-restart"),
        _restart_claims,
        ("trust-none",),
    ),
    Experiment(
        "planner-gain",
        "a sixth of the converters hangs, with planners and without",
        lambda scale: load("planner-gain"),
        _gain_claims,
        ("trust-none",),
        _gain_figures,
        control_world=without_planners,
    ),
    Experiment(
        "planner-slow",
        "a sixth of the converters is ten times as slow, with planners and without",
        lambda scale: load("planner-slow"),
        _slow_claims,
        ("trust-none",),
        _slow_figures,
        control_world=without_planners,
    ),
)
