"""The worlds of the experiments on planners that are derived from world files."""

from __future__ import annotations

import msgspec

from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core.contract import Scale
from ryepier.experiments.core.worlds import fault_of_kind, load

FULL_LOSS_S = 60.0  # time without planners at full scale


def without_planners(world: World) -> World:
    """Return the same world without planners and without the faults that affect planners."""
    faults = [fault for fault in world.faults if not fault.kind.startswith("planner")]
    return msgspec.structs.replace(world, planners=msgspec.structs.replace(world.planners, count=0), faults=faults)


def loss(scale: Scale) -> World:
    """Return the world in which all planners are down for a time, which is `FULL_LOSS_S` at full scale."""
    world = load("planner-loss")
    if scale is Scale.SMALL:
        return world
    small_loss_s = fault_of_kind(world, FaultKind.PLANNER_KILL).down_s
    return msgspec.structs.replace(
        world,
        duration_s=world.duration_s - small_loss_s + FULL_LOSS_S,
        faults=[_lengthen_fault(fault) for fault in world.faults],
    )


def _lengthen_fault(fault: Fault) -> Fault:
    if fault.kind is FaultKind.PLANNER_KILL:
        return msgspec.structs.replace(fault, down_s=FULL_LOSS_S)
    if fault.kind is FaultKind.RELEASE:
        return msgspec.structs.replace(fault, for_s=FULL_LOSS_S)
    return fault
