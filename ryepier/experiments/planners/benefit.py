"""Experiments `planner-gain` and `planner-slow`: with planners, a fleet avoids faulty converters sooner.

A sixth of the converters hangs, or becomes ten times as slow. Each world is run with and without planners, with the
same seed. The claims bound the time until nearly all forwarders avoid the faulty converters, and the service lost
during the fault, both as a ratio of the run with planners to the run without.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from ryepier.emulator.world import World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.planners.worlds import without_planners

STEP_S = 0.1  # resolution at which `avoided_after_s` is determined
WINDOW_S = 1.5  # a forwarder avoids the affected converters if it sends at most `MAX_PROBES` in this time
MAX_PROBES = 1  # attempts at the affected converters that a window may contain, as probes
MIN_AVOIDING_SHARE = 0.95  # share of the forwarders that have to avoid the affected converters
MAX_TIME_RATIO = 0.5
MAX_LOST_RATIO_HANG = 0.8
MAX_LOST_RATIO_SLOW = 1.0  # planners improve little, as sidecars avoid slow converters even without planners
MIN_LOST_SHARE = 1e-6  # minimum divisor, to avoid a division by zero
US_PER_S = 1e6


def _hang_world(scale: Scale) -> World:
    return load("planner-gain")


def _slow_world(scale: Scale) -> World:
    return load("planner-slow")


def avoided_after_s(run: Run, kind: str) -> float:
    """Return the time from the start of a fault until 95% of the forwarders avoid the affected converters.

    The result is at most the duration of the fault.
    """
    fault = fault_of_kind(run.world, kind)
    attempt_times_s = _attempt_times_at_affected(run, kind)
    sidecar_indices = range(run.world.sidecars.count)
    at_s = 0.0
    while at_s + WINDOW_S <= fault.for_s:
        avoiding_count = sum(
            _count_between(attempt_times_s[index], at_s, at_s + WINDOW_S) <= MAX_PROBES for index in sidecar_indices
        )
        if avoiding_count >= MIN_AVOIDING_SHARE * len(sidecar_indices):
            return at_s
        at_s += STEP_S
    return fault.for_s


def _attempt_times_at_affected(run: Run, kind: str) -> dict[int, list[float]]:
    """Return when attempts arrived at the affected converters, by sidecar, in seconds since the start of the fault."""
    fault = fault_of_kind(run.world, kind)
    affected_uids = phases.affected_uids(run, (kind,))
    sidecar_by_request = {attempt.request_id: attempt.sidecar for attempt in run.history.client_attempts}
    attempt_times_s: dict[int, list[float]] = defaultdict(list)
    for attempt in run.history.converter_attempts:
        if attempt.uid in affected_uids and attempt.request_id in sidecar_by_request:
            attempt_times_s[sidecar_by_request[attempt.request_id]].append(attempt.received_us / US_PER_S - fault.at_s)
    return attempt_times_s


def _count_between(attempt_times_s: list[float], begin_s: float, end_s: float) -> int:
    return sum(begin_s <= time_s < end_s for time_s in attempt_times_s)


def _figures(run: Run, kind: str) -> dict[str, float]:
    assert run.control is not None
    return _figures_of_run(run, kind, "with") | _figures_of_run(run.control, kind, "without")


def _figures_of_run(run: Run, kind: str, variant: str) -> dict[str, float]:
    fault = fault_of_kind(run.world, kind)
    affected_uids = phases.affected_uids(run, (kind,))
    attempts = figures.count_attempts(run.history.converter_attempts, affected_uids, fault.at_s, phases.end_s(fault))
    return {
        f"avoided_after_s_{variant}": avoided_after_s(run, kind),
        f"service_in_the_{kind}_{variant}": figures.service_level(run.operations, phases.during(fault)),
        f"attempts_to_struck_{variant}": attempts.at_selected,
    }


def _time_claim(run_figures: Mapping[str, float]) -> Claim:
    ratio = run_figures["avoided_after_s_with"] / max(STEP_S, run_figures["avoided_after_s_without"])
    return Claim("time to avoid, with planners over without", ratio, "<=", MAX_TIME_RATIO)


def _lost_ratio(run_figures: Mapping[str, float], kind: str) -> float:
    lost_share_with = 1 - run_figures[f"service_in_the_{kind}_with"]
    lost_share_without = 1 - run_figures[f"service_in_the_{kind}_without"]
    return lost_share_with / max(MIN_LOST_SHARE, lost_share_without)


def _hang_claims(run: Run) -> list[Claim]:
    assert run.control is not None
    run_figures = _figures(run, "hang")
    lost_ratio = _lost_ratio(run_figures, "hang")
    return [
        _time_claim(run_figures),
        Claim("worth lost in the hang, with planners over without", lost_ratio, "<=", MAX_LOST_RATIO_HANG),
        Claim("breaches of rules without planners", len(run.control.breaches), "==", 0),
    ]


def _slow_claims(run: Run) -> list[Claim]:
    run_figures = _figures(run, "slow")
    lost_ratio = _lost_ratio(run_figures, "slow")
    return [
        _time_claim(run_figures),
        Claim("worth lost while they are slow, with planners over without", lost_ratio, "<=", MAX_LOST_RATIO_SLOW),
    ]


EXPERIMENTS = (
    Experiment(
        name="planner-gain",
        description="a sixth of the converters hangs, with planners and without",
        world=_hang_world,
        claims=_hang_claims,
        seeded_faults=("trust-none",),
        extra_figures=lambda run: _figures(run, "hang"),
        control_world=without_planners,
    ),
    Experiment(
        name="planner-slow",
        description="a sixth of the converters is ten times as slow, with planners and without",
        world=_slow_world,
        claims=_slow_claims,
        seeded_faults=("trust-none",),
        extra_figures=lambda run: _figures(run, "slow"),
        control_world=without_planners,
    ),
)
