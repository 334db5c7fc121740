"""The worlds of the experiments on retry storms, derived from one world file."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core.contract import Scale
from ryepier.experiments.core.worlds import load
from ryepier.experiments.storms.outage import end_of_fault_s

BASE_WORLD = "retry-storm"  # world file in which all converters stop at once and restart later
SHORT_OUTAGE_S = 5.0  # length of the outage in the world file
FULL_OUTAGE_S = 30.0  # length of the outage at full scale
AFTER_OUTAGE_S = 14.0  # time from the end of an outage to the end of the run, for outages longer than the world file's
SECOND_OUTAGE_AFTER_S = 5.0  # time between the end of the first outage and the start of the second
DISCOVERY_LEAD_S = 1.0  # time for which discovery is already down when the converters' outage starts
AFFECTED_SIDECAR = 0  # index of the only sidecar whose requests are rejected


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """The retry behaviour of a world's clients."""

    backoff: str  # a value of the world file's clients.backoff
    obedient_share: float  # share of the clients that honour Retry-After


def without_guard(world: World) -> World:
    """Return the same world with the sidecars' retry storm guards disabled."""
    return msgspec.structs.replace(world, sidecars=msgspec.structs.replace(world.sidecars, storm_guard=False))


def world_with_outage(behavior: ClientBehavior, outage_s: float) -> Callable[[Scale], World]:
    """Return a function that makes a world with an outage of all converters.

    The outage lasts `outage_s` at small scale, and `FULL_OUTAGE_S` at full scale.
    """

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
    """Return the world with a second outage of all converters, shortly after the first one."""
    base, replace = load(BASE_WORLD), msgspec.structs.replace
    first_outage = base.faults[0]
    second_outage = replace(first_outage, at_s=end_of_fault_s(first_outage) + SECOND_OUTAGE_AFTER_S)
    remaining_s = base.duration_s - end_of_fault_s(first_outage)
    return replace(base, duration_s=end_of_fault_s(second_outage) + remaining_s, faults=[first_outage, second_outage])


def outage_without_discovery(scale: Scale) -> World:
    """Return the world in which converters refuse connections while discovery is down.

    Discovery goes down before the converters, and stays down until shortly before the end of the run.
    """
    base = load(BASE_WORLD)
    outage_fault = base.faults[0]
    refusal_fault = Fault(kind=FaultKind.REFUSE, at_s=outage_fault.at_s, for_s=outage_fault.down_s)
    discovery_fault = Fault(
        kind=FaultKind.DISCOVERY_DOWN,
        at_s=outage_fault.at_s - DISCOVERY_LEAD_S,
        for_s=base.duration_s - outage_fault.at_s,
    )
    return msgspec.structs.replace(base, faults=[refusal_fault, discovery_fault])


def rejections_for_one_sidecar(scale: Scale) -> World:
    """Return the world in which converters reject all requests of `AFFECTED_SIDECAR`."""
    base = load(BASE_WORLD)
    outage_fault = base.faults[0]
    rejection_fault = Fault(
        kind=FaultKind.TURN_AWAY, at_s=outage_fault.at_s, for_s=outage_fault.down_s, via=AFFECTED_SIDECAR
    )
    return msgspec.structs.replace(base, faults=[rejection_fault])
