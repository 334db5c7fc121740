"""The worlds of the experiments on retry storms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core.contract import Scale
from ryepier.experiments.core.worlds import load
from ryepier.experiments.storms.outage import end_of_fault_s

BASE_WORLD = "retry-storm"  # all converters end at once, and start again after a while
SHORT_OUTAGE_S = 5.0  # of the world file
FULL_OUTAGE_S = 30.0  # at full scale
AFTER_OUTAGE_S = 14.0  # to the end of a longer world
SECOND_OUTAGE_AFTER_S = 5.0
DISCOVERY_LEAD_S = 1.0  # discovery goes away this long before the converters
AFFECTED_SIDECAR = 0


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """How clients of a world retry."""

    backoff: str  # a value of the world file's clients.backoff
    obedient_share: float  # of the clients, which wait as Retry-After says


def without_guard(world: World) -> World:
    """Return the same world with the sidecars' storm guards switched off."""
    return msgspec.structs.replace(world, sidecars=msgspec.structs.replace(world.sidecars, storm=False))


def outage(behavior: ClientBehavior, outage_s: float) -> Callable[[Scale], World]:
    """Return the world in which all converters are out for a time, at full scale for `FULL_OUTAGE_S`."""

    def make_world(scale: Scale) -> World:
        base, replace = load(BASE_WORLD), msgspec.structs.replace
        fields = msgspec.to_builtins(base.clients)
        fields |= {"backoff": behavior.backoff, "obedient": behavior.obedient_share}
        base = replace(base, clients=msgspec.convert(fields, type(base.clients)))
        scaled_outage_s = outage_s if scale is Scale.SMALL else FULL_OUTAGE_S
        if scaled_outage_s == SHORT_OUTAGE_S:
            return base
        fault = base.faults[0]
        duration_s = fault.at_s + scaled_outage_s + AFTER_OUTAGE_S
        return replace(base, duration_s=duration_s, faults=[replace(fault, down_s=scaled_outage_s)])

    return make_world


def two_outages(scale: Scale) -> World:
    """Return the world in which all converters are out a second time, soon after they are back."""
    base, replace = load(BASE_WORLD), msgspec.structs.replace
    first = base.faults[0]
    second = replace(first, at_s=end_of_fault_s(first) + SECOND_OUTAGE_AFTER_S)
    remaining_s = base.duration_s - end_of_fault_s(first)
    return replace(base, duration_s=end_of_fault_s(second) + remaining_s, faults=[first, second])


def outage_without_discovery(scale: Scale) -> World:
    """Return the world in which converters refuse connections, and discovery is away from before that to the end."""
    base = load(BASE_WORLD)
    first = base.faults[0]
    refuse = Fault(kind=FaultKind.REFUSE, at_s=first.at_s, for_s=first.down_s)
    discovery_down = Fault(
        kind=FaultKind.DISCOVERY_DOWN, at_s=first.at_s - DISCOVERY_LEAD_S, for_s=base.duration_s - first.at_s
    )
    return msgspec.structs.replace(base, faults=[refuse, discovery_down])


def rejections_for_one_sidecar(scale: Scale) -> World:
    """Return the world in which converters reject what `STRUCK_SIDECAR` forwards."""
    base = load(BASE_WORLD)
    first = base.faults[0]
    fault = Fault(kind=FaultKind.TURN_AWAY, at_s=first.at_s, for_s=first.down_s, via=AFFECTED_SIDECAR)
    return msgspec.structs.replace(base, faults=[fault])
