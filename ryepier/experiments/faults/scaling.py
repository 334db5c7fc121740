"""Makes the worlds of this package larger and longer for full scale."""

from __future__ import annotations

import msgspec

from ryepier.emulator.world import Fault, World
from ryepier.experiments.core.contract import Scale

FULL_FLEET_FACTOR = 3  # converters, sidecars and traffic at full scale, relative to small scale
FULL_DURATION_FACTOR = 2  # duration and fault times at full scale, relative to small scale


def scale_world(world: World, scale: Scale) -> World:
    """Return the world itself at small scale, and a larger and longer one at full scale."""
    if scale is Scale.SMALL:
        return world
    replace = msgspec.structs.replace
    return replace(
        world,
        duration_s=world.duration_s * FULL_DURATION_FACTOR,
        converters=[replace(group, count=group.count * FULL_FLEET_FACTOR) for group in world.converters],
        sidecars=replace(world.sidecars, count=world.sidecars.count * FULL_FLEET_FACTOR),
        clients=replace(world.clients, rate_per_s=world.clients.rate_per_s * FULL_FLEET_FACTOR),
        faults=[_lengthen_fault(fault) for fault in world.faults],
        harness=replace(world.harness, client_processes=2, converter_processes=3),
    )


def _lengthen_fault(fault: Fault) -> Fault:
    at_s = fault.at_s * FULL_DURATION_FACTOR
    for_s = fault.for_s * FULL_DURATION_FACTOR
    return msgspec.structs.replace(fault, at_s=at_s, for_s=for_s)
