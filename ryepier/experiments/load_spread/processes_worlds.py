"""The fleets of real sidecars that the experiments and the tests on evenness play, and their faults."""

from __future__ import annotations

import msgspec

from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core.contract import Scale
from ryepier.experiments.core.worlds import load
from ryepier.experiments.load_spread.processes_machine import check_here

NAME = "load-spread-processes"
FULL_SIDECARS, FULL_ZONE_CONVERTERS, FULL_RATE = 200, 20, 600.0
LIGHT = 0.1  # of half load: a twentieth of what the converters can do
LIGHT_DURATION_S = 20.0
THIRD = 0.34

KILL_AT_S, DOWN_S, BACK_WITHIN_S = 3.0, 1.0, 5.0
LISTS_AT_S, LISTS_FOR_S = 2.0, 5.0
CUT_AT_S, CUT_FOR_S = 8.0, 3.0
SETTLED_S = 2.0  # after the start: windows open by then


def fleet(scale: Scale, load_factor: float = 1.0) -> World:
    """The whole fleet of a scale, without faults. Raises InsufficientResourcesError where the machine can't bear it."""
    world, replace = load(NAME), msgspec.structs.replace
    rate = world.clients.rate_per_s if scale == "small" else FULL_RATE
    world = replace(world, clients=replace(world.clients, rate_per_s=rate * load_factor))
    if scale == "full":
        world = replace(
            world,
            converters=[replace(group, count=FULL_ZONE_CONVERTERS) for group in world.converters],
            sidecars=replace(world.sidecars, count=FULL_SIDECARS),
            harness=replace(world.harness, converter_processes=3, client_processes=2),
        )
    return check_here(world)


def light(scale: Scale) -> World:
    """At a twentieth of what the converters can do; most sidecars see less than a request a second."""
    return msgspec.structs.replace(fleet(scale, LIGHT), duration_s=LIGHT_DURATION_S)


def kill(scale: Scale) -> World:
    """A third of the sidecars is killed at once, and started again together."""
    third = Fault(kind=FaultKind.SIDECAR_KILL, at_s=KILL_AT_S, target_share=THIRD, down_s=DOWN_S)
    return msgspec.structs.replace(fleet(scale), duration_s=20.0, faults=[third])


def lists(scale: Scale) -> World:
    """Half of the sidecars has an old list while converters are replaced; later a zone is cut off."""
    faults = [
        Fault(kind=FaultKind.DISCOVERY_STALE, at_s=LISTS_AT_S, for_s=LISTS_FOR_S, target_share=0.5),
        Fault(kind=FaultKind.RELEASE, at_s=LISTS_AT_S + 0.5, for_s=2.0, target_share=0.2, drain_s=1.0, down_s=0.5),
        Fault(kind=FaultKind.ZONE_CUT, at_s=CUT_AT_S, for_s=CUT_FOR_S, zone="c"),
    ]
    return msgspec.structs.replace(fleet(scale), duration_s=21.0, faults=faults)
