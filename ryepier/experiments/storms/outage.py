"""Finds the outage of a world's converters, and computes the service level after it."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Run

OUTAGE_KINDS = ("release", "refuse", "turn-away")


@dataclass(frozen=True, slots=True)
class Outage:
    """The time from the start of the first fault that takes converters down to the end of the last such fault."""

    begin_s: float
    end_s: float

    @property
    def duration_s(self) -> float:
        """Return how long the outage lasts."""
        return self.end_s - self.begin_s


def end_of_fault_s(fault: Fault) -> float:
    """Return the time of the run at which the converters that a fault affected are available again."""
    until_restart_s = fault.drain_s + fault.down_s if fault.kind is FaultKind.RELEASE else 0.0
    return phases.end_s(fault) + until_restart_s


def find_outage(world: World) -> Outage:
    """Return the outage of a world. Raises ValueError if it has none."""
    faults = [fault for fault in world.faults if fault.kind in OUTAGE_KINDS]
    return Outage(min(fault.at_s for fault in faults), max(map(end_of_fault_s, faults)))


def service_after(run: Run) -> float:
    """Return the service level from the outage's end to the end of the run."""
    outage = find_outage(run.world)
    return figures.service_level(run.operations, phases.from_time(outage.end_s, run.world))
