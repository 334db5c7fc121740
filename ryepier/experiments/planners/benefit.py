"""`planner-gain` and `planner-slow`: how much sooner does a fleet with planners avoid bad converters?

A sixth of the converters hangs, or becomes ten times as slow; the same seed runs with planners and without. Claims, as
ratios of with to without: the time until nearly all forwarders avoid those converters, and the service lost meanwhile.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from ryepier.emulator.world import World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.planners.worlds import without_planners

STEP_S = 0.1
WINDOW_S = 1.5  # in which a forwarder that avoids the struck converters sends them next to nothing
MAX_PROBES = 1  # attempts at them in a window
AVOIDING_SHARE = 0.95  # of the forwarders
MAX_TIME_RATIO = 0.5
MAX_LOST_RATIO_OF_HANG = 0.8
MAX_LOST_RATIO_OF_SLOW = 1.0  # a sidecar by itself sends slow ones less, so little is left to gain
MIN_LOST = 1e-6  # in place of zero as a divisor
US_PER_S = 1e6


def _world_of_hang(scale: Scale) -> World:
    return load("planner-gain")


def _world_of_slow(scale: Scale) -> World:
    return load("planner-slow")


def avoided_after_s(run: Run, kind: str) -> float:
    """Return the time from a fault until 95% of the forwarders avoid the struck converters; its length if never."""
    fault = fault_of_kind(run.world, kind)
    times_s = _attempts_at_struck(run, kind)
    sidecars = range(run.world.sidecars.count)
    at_s = 0.0
    while at_s + WINDOW_S <= fault.for_s:
        avoiding = sum(_count_between(times_s[index], at_s, at_s + WINDOW_S) <= MAX_PROBES for index in sidecars)
        if avoiding >= AVOIDING_SHARE * len(sidecars):
            return at_s
        at_s += STEP_S
    return fault.for_s


def _attempts_at_struck(run: Run, kind: str) -> dict[int, list[float]]:
    """Return by sidecar when its attempts reached the struck converters, in seconds from the fault."""
    fault = fault_of_kind(run.world, kind)
    struck = phases.struck_uids(run, (kind,))
    sidecar_of = {item.request_id: item.sidecar for item in run.history.client_attempts}
    times_s: dict[int, list[float]] = defaultdict(list)
    for attempt in run.history.converter_attempts:
        if attempt.uid in struck and attempt.request_id in sidecar_of:
            times_s[sidecar_of[attempt.request_id]].append(attempt.received_us / US_PER_S - fault.at_s)
    return times_s


def _count_between(times_s: list[float], begin_s: float, end_s: float) -> int:
    return sum(begin_s <= time_s < end_s for time_s in times_s)


def _figures(run: Run, kind: str) -> dict[str, float]:
    assert run.control is not None
    return _figures_of_one(run, kind, "with") | _figures_of_one(run.control, kind, "without")


def _figures_of_one(run: Run, kind: str, planners: str) -> dict[str, float]:
    fault = fault_of_kind(run.world, kind)
    struck = phases.struck_uids(run, (kind,))
    attempts = figures.count_attempts(run.history.converter_attempts, struck, fault.at_s, phases.end_s(fault))
    return {
        f"avoided_after_s_{planners}": avoided_after_s(run, kind),
        f"service_in_the_{kind}_{planners}": figures.service_level(run.operations, phases.during(fault)),
        f"attempts_to_struck_{planners}": attempts.at_selected,
    }


def _time_claim(measured: Mapping[str, float]) -> Claim:
    ratio = measured["avoided_after_s_with"] / max(STEP_S, measured["avoided_after_s_without"])
    return Claim("time to avoid, with planners over without", ratio, "<=", MAX_TIME_RATIO)


def _lost_ratio(measured: Mapping[str, float], kind: str) -> float:
    lost_with = 1 - measured[f"service_in_the_{kind}_with"]
    lost_without = 1 - measured[f"service_in_the_{kind}_without"]
    return lost_with / max(MIN_LOST, lost_without)


def _claims_of_hang(run: Run) -> list[Claim]:
    assert run.control is not None
    measured = _figures(run, "hang")
    lost = _lost_ratio(measured, "hang")
    return [
        _time_claim(measured),
        Claim("worth lost in the hang, with planners over without", lost, "<=", MAX_LOST_RATIO_OF_HANG),
        Claim("breaches of rules without planners", len(run.control.breaches), "==", 0),
    ]


def _claims_of_slow(run: Run) -> list[Claim]:
    measured = _figures(run, "slow")
    lost = _lost_ratio(measured, "slow")
    return [
        _time_claim(measured),
        Claim("worth lost while they are slow, with planners over without", lost, "<=", MAX_LOST_RATIO_OF_SLOW),
    ]


EXPERIMENTS = (
    Experiment(
        name="planner-gain",
        question="a sixth of the converters hangs, with planners and without",
        world=_world_of_hang,
        claims=_claims_of_hang,
        seeded_faults=("trust-none",),
        extra_figures=lambda run: _figures(run, "hang"),
        control_world=without_planners,
    ),
    Experiment(
        name="planner-slow",
        question="a sixth of the converters is ten times as slow, with planners and without",
        world=_world_of_slow,
        claims=_claims_of_slow,
        seeded_faults=("trust-none",),
        extra_figures=lambda run: _figures(run, "slow"),
        control_world=without_planners,
    ),
)
