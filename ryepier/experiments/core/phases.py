"""Selects the requests before, during or after a fault of a run, and the converters that faults affect or start."""

from __future__ import annotations

from collections.abc import Callable

from ryepier.emulator import timeline
from ryepier.emulator.records import ClientAttempt
from ryepier.emulator.timeline import FaultAction, TargetKind
from ryepier.emulator.world import Fault, World
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Run

RECOVERY_S = 2.0  # time after a fault's end that is excluded from the service level after the fault


def end_s(fault: Fault) -> float:
    """Return the time of the run at which a fault ends."""
    return fault.at_s + fault.for_s


def during(fault: Fault) -> Callable[[ClientAttempt], bool]:
    """Return a filter for first attempts planned while a fault lasts."""
    return figures.due_between(fault.at_s, end_s(fault))


def from_time(begin_s: float, world: World) -> Callable[[ClientAttempt], bool]:
    """Return a filter for first attempts planned between a time and the end of the run."""
    return figures.due_between(begin_s, world.duration_s)


def after_recovery(fault: Fault, world: World) -> Callable[[ClientAttempt], bool]:
    """Return a filter for first attempts planned at least `RECOVERY_S` after the end of a fault."""
    return from_time(end_s(fault) + RECOVERY_S, world)


def affected_uids(run: Run, kinds: tuple[str, ...]) -> set[str]:
    """Return the uids of the converters that faults of these kinds affect."""
    world_timeline = timeline.build(run.world, run.seed)
    indices = {
        step.index for step in world_timeline.steps if step.target is TargetKind.CONVERTER and step.fault in kinds
    }
    return {instance.uid for instance in world_timeline.instances if instance.index in indices}


def started_uids(run: Run, until_us: float = float("inf")) -> set[str]:
    """Return the uids of the converters that start during the run, before `until_us`."""
    steps = timeline.build(run.world, run.seed).steps
    return {step.uid for step in steps if step.action is FaultAction.START and step.at_us < until_us}
