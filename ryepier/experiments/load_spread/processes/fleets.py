"""The worlds of the experiments on fleets of real sidecar processes."""

from __future__ import annotations

import msgspec

from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core.contract import Scale
from ryepier.experiments.core.worlds import load
from ryepier.experiments.load_spread.processes.memory import require_memory

BASE_WORLD = "load-spread-processes"
FULL_SIDECAR_COUNT = 200
FULL_CONVERTERS_PER_ZONE = 20
FULL_RATE_PER_S = 600.0
SETTLED_AT_S = 2.0  # time at which the sidecars have opened their connections
RECOVERY_S = 5.0  # time after the end of a fault until the load must be even again

LIGHT_LOAD_FACTOR = 0.1  # a tenth of half load, which is a twentieth of the converters' capacity
LIGHT_DURATION_S = 20.0

KILL_AT_S = 3.0
KILL_DOWN_S = 1.0
KILL_DURATION_S = 20.0
KILLED_SHARE = 0.34

STALE_AT_S = 2.0
STALE_DURATION_S = 5.0
STALE_SHARE = 0.5
RELEASE = Fault(kind=FaultKind.RELEASE, at_s=STALE_AT_S + 0.5, for_s=2.0, target_share=0.2, drain_s=1.0, down_s=0.5)
CUT_AT_S = 8.0
CUT_DURATION_S = 3.0
CUT_END_S = CUT_AT_S + CUT_DURATION_S
CUT_ZONE = "c"
LISTS_DURATION_S = 21.0


def fleet(scale: Scale, load_factor: float = 1.0) -> World:
    """Return the fleet for a scale, without faults. Raises InsufficientResourcesError if there is too little memory."""
    world, replace = load(BASE_WORLD), msgspec.structs.replace
    rate_per_s = world.clients.rate_per_s if scale is Scale.SMALL else FULL_RATE_PER_S
    world = replace(world, clients=replace(world.clients, rate_per_s=rate_per_s * load_factor))
    if scale is Scale.FULL:
        world = replace(
            world,
            converters=[replace(group, count=FULL_CONVERTERS_PER_ZONE) for group in world.converters],
            sidecars=replace(world.sidecars, count=FULL_SIDECAR_COUNT),
            harness=replace(world.harness, converter_processes=3, client_processes=2),
        )
    return require_memory(world)


def lightly_loaded_fleet(scale: Scale) -> World:
    """Return the fleet at a twentieth of its capacity, at which most sidecars get less than one request per second."""
    return msgspec.structs.replace(fleet(scale, LIGHT_LOAD_FACTOR), duration_s=LIGHT_DURATION_S)


def fleet_with_kill(scale: Scale) -> World:
    """Return the fleet with a third of its sidecars killed at once and restarted together."""
    kill_fault = Fault(kind=FaultKind.SIDECAR_KILL, at_s=KILL_AT_S, target_share=KILLED_SHARE, down_s=KILL_DOWN_S)
    return msgspec.structs.replace(fleet(scale), duration_s=KILL_DURATION_S, faults=[kill_fault])


def fleet_with_differing_lists(scale: Scale) -> World:
    """Return the fleet with stale lists at half of its sidecars during a release, and with a zone cut off later."""
    stale_fault = Fault(
        kind=FaultKind.DISCOVERY_STALE, at_s=STALE_AT_S, for_s=STALE_DURATION_S, target_share=STALE_SHARE
    )
    cut_fault = Fault(kind=FaultKind.ZONE_CUT, at_s=CUT_AT_S, for_s=CUT_DURATION_S, zone=CUT_ZONE)
    return msgspec.structs.replace(fleet(scale), duration_s=LISTS_DURATION_S, faults=[stale_fault, RELEASE, cut_fault])
