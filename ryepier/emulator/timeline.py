"""The fault schedule: the steps of a world's faults, and all converter processes, including replacements.

This module is pure. The schedule depends only on the world and the seed, so every process of the emulator computes it
for itself and carries out its own steps. Times are microseconds since the run began.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ryepier.emulator import draws
from ryepier.emulator.world import Fault, FaultKind, World


class FaultAction(enum.Enum):
    """The action of a step on its target. The values are written to records and logs."""

    BEGIN = "begin"  # converter: a fault begins
    END = "end"  # converter: a fault ends; sidecar: its clocks run at the normal rate again
    DRAIN = "drain"  # converter: finish the accepted requests and reject new ones
    STOP = "stop"  # converter: end the process
    START = "start"  # converter: start the process, warming up
    KILL = "kill"  # sidecar or planner: SIGKILL
    RESTART = "restart"  # sidecar or planner: start it again
    SUSPEND = "stall"  # sidecar or planner: SIGSTOP; its connections stay open
    RESUME = "resume"  # sidecar or planner: SIGCONT
    SHIFT_WALL_CLOCK = "jump"  # sidecar: shift the wall clock forward or back
    SET_CLOCK_RATE = "drift"  # sidecar: let its clocks run faster or slower
    NOTIFY = "tell"  # discovery: send a change to the sidecar
    MUTE = "silence"  # discovery: write nothing, not even heartbeats
    FREEZE_LIST = "hold"  # discovery: hold back changes, and otherwise behave normally
    RESUME_UPDATES = "speak"  # discovery: write the changes that were held back
    DOWN = "down"  # discovery: end the open connections and refuse new ones
    UP = "up"  # discovery: accept connections again
    BREAK_WATCHES = "break"  # discovery: end the open watches


class TargetKind(enum.Enum):
    """The kind of a step's target. The values are written to records."""

    CONVERTER = "converter"
    SIDECAR = "sidecar"
    DISCOVERY = "discovery"
    PLANNER = "planner"


class ListState(enum.StrEnum):
    """A converter's state in the endpoint list. A converter never returns to an earlier state."""

    ACTIVE = "active"
    LEAVING = "leaving"  # draining
    LEFT = "left"  # removed

    @property
    def rank(self) -> int:
        """The position of the state in a converter's lifetime."""
        return list(ListState).index(self)


@dataclass(frozen=True, slots=True)
class Step:
    """One action of the schedule. Its target is identified by the kind `target` and an index."""

    at_us: int
    target: TargetKind
    index: int
    action: FaultAction
    fault: FaultKind | None = None  # the fault that the step belongs to
    factor: float = 1.0  # `Fault.factor`; for SHIFT_WALL_CLOCK, the shift in seconds
    share: float = 1.0  # share of requests that the fault affects
    uid: str = ""
    state: ListState | None = None  # for NOTIFY, the new state of the converter `uid`
    via: frozenset[int] | None = None  # the fault affects only requests from these sidecars; None = from all sidecars


@dataclass(frozen=True, slots=True)
class Instance:
    """One process of a converter, with a uid and an address of its own."""

    index: int  # position among all instances of the run
    uid: str
    machine: draws.Machine
    start_us: int | None  # None: already running and warm when the run begins


@dataclass(frozen=True, slots=True)
class Timeline:
    """All converter processes of a run, and all steps in the order of their times."""

    instances: list[Instance]
    steps: list[Step]


CONVERTER_FAULTS = frozenset(
    (
        FaultKind.HANG,
        FaultKind.REFUSE,
        FaultKind.RESET_BEFORE,
        FaultKind.RESET_AFTER,
        FaultKind.HALF_ANSWER,
        FaultKind.NO_LENGTH,
        FaultKind.NO_LENGTH_RESET,
        FaultKind.SECOND_ANSWER,
        FaultKind.SLOW,
        FaultKind.CUT,
        FaultKind.TURN_AWAY,
    )
)
INTERVAL_FAULTS: dict[FaultKind, tuple[TargetKind, FaultAction, FaultAction | None]] = {
    FaultKind.PLANNER_HANG: (TargetKind.PLANNER, FaultAction.SUSPEND, FaultAction.RESUME),
    FaultKind.SIDECAR_HANG: (TargetKind.SIDECAR, FaultAction.SUSPEND, FaultAction.RESUME),
    FaultKind.CLOCK_DRIFT: (TargetKind.SIDECAR, FaultAction.SET_CLOCK_RATE, FaultAction.END),
    FaultKind.DISCOVERY_DOWN: (TargetKind.DISCOVERY, FaultAction.DOWN, FaultAction.UP),
    FaultKind.DISCOVERY_SILENT: (TargetKind.DISCOVERY, FaultAction.MUTE, FaultAction.RESUME_UPDATES),
    FaultKind.DISCOVERY_STALE: (TargetKind.DISCOVERY, FaultAction.FREEZE_LIST, FaultAction.RESUME_UPDATES),
    FaultKind.WATCH_BREAK: (TargetKind.DISCOVERY, FaultAction.BREAK_WATCHES, None),
}
"""Faults with one action at the beginning and at most one at the end, as (target, first action, last action)."""


def to_us(seconds: float) -> int:
    """Convert seconds to whole microseconds."""
    return round(seconds * 1e6)


class _Builder:
    """Expands a world's faults into steps. Faults are expanded, and random samples taken, in the order of `at_s`."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.random = draws.stream(seed, "faults")
        self.notice_random = draws.stream(seed, "notices")
        self.steps: list[Step] = []
        self.instances = [
            Instance(machine.index, f"c-{machine.index:04x}", machine, None) for machine in draws.machines(world, seed)
        ]
        # for each converter, its processes in the order in which they start
        self.instances_by_converter = [[instance] for instance in self.instances]

    def build(self) -> Timeline:
        for fault in sorted(self.world.faults, key=lambda fault: fault.at_s):
            self.add_fault(fault)
        self.steps.sort(key=lambda step: step.at_us)
        return Timeline(self.instances, self.steps)

    def add_fault(self, fault: Fault) -> None:
        """Add a fault's steps. Surges, heavy tails and hot sidecars have none: they affect the sampled arrivals."""
        if fault.kind in CONVERTER_FAULTS:
            self.add_converter_fault(fault)
        elif fault.kind in INTERVAL_FAULTS:
            self.add_interval_fault(fault, *INTERVAL_FAULTS[fault.kind])
        elif fault.kind is FaultKind.ZONE_CUT:
            self.add_zone_partition(fault)
        elif fault.kind is FaultKind.RELEASE:
            self.add_release(fault)
        elif fault.kind is FaultKind.SIDECAR_KILL:
            self.add_kill(fault, TargetKind.SIDECAR)
        elif fault.kind is FaultKind.PLANNER_KILL:
            self.add_kill(fault, TargetKind.PLANNER)
        elif fault.kind is FaultKind.CLOCK_JUMP:
            self.add_clock_jump(fault)

    def add_step(
        self, at_us: int, target: TargetKind, index: int, action: FaultAction, fault: Fault, uid: str = ""
    ) -> None:
        via = None if fault.via is None else frozenset((fault.via,))
        self.steps.append(Step(at_us, target, index, action, fault.kind, fault.factor, fault.share, uid, via=via))

    def target_count(self, target: TargetKind) -> int:
        """Return the number of targets of a kind; each sidecar has its own discovery agent."""
        if target is TargetKind.CONVERTER:
            return self.world.converter_count
        if target is TargetKind.PLANNER:
            return self.world.planners.count
        if target is TargetKind.DISCOVERY:
            return max(1, self.world.sidecars.count)
        return self.world.sidecars.count

    def select_targets(self, target: TargetKind, fault: Fault) -> list[int]:
        """Return the indexes of the targets that a fault affects."""
        return draws.select_targets(self.target_count(target), fault, self.random)

    def add_interval_fault(self, fault: Fault, target: TargetKind, begin: FaultAction, end: FaultAction | None) -> None:
        for index in self.select_targets(target, fault):
            self.add_step(to_us(fault.at_s), target, index, begin, fault)
            if end is not None:
                self.add_step(to_us(fault.at_s + fault.for_s), target, index, end, fault)

    def add_converter_fault(self, fault: Fault) -> None:
        """Add steps for the processes that the selected converters have when the fault begins."""
        for converter in self.select_targets(TargetKind.CONVERTER, fault):
            index = self.instance_at(converter, to_us(fault.at_s)).index
            self.add_step(to_us(fault.at_s), TargetKind.CONVERTER, index, FaultAction.BEGIN, fault)
            self.add_step(to_us(fault.at_s + fault.for_s), TargetKind.CONVERTER, index, FaultAction.END, fault)

    def add_zone_partition(self, fault: Fault) -> None:
        """Partition the converters and sidecars of one zone from those of the other zones."""
        zones, sidecars = self.world.zones, range(self.world.sidecars.count)
        sidecars_inside = frozenset(index for index in sidecars if zones[self.world.sidecar_zone(index)] == fault.zone)
        sidecars_outside = frozenset(sidecars) - sidecars_inside
        for converter in range(self.world.converter_count):
            instance = self.instance_at(converter, to_us(fault.at_s))
            via = sidecars_outside if instance.machine.group.zone == fault.zone else sidecars_inside
            for at_s, action in ((fault.at_s, FaultAction.BEGIN), (fault.at_s + fault.for_s, FaultAction.END)):
                self.steps.append(Step(to_us(at_s), TargetKind.CONVERTER, instance.index, action, fault.kind, via=via))

    def instance_at(self, converter: int, at_us: int) -> Instance:
        """Return the last process of a converter that has started by `at_us`."""
        return next(
            instance
            for instance in reversed(self.instances_by_converter[converter])
            if instance.start_us is None or instance.start_us <= at_us
        )

    def add_release(self, fault: Fault) -> None:
        """Replace the selected converters in turn: each drains, stops, and gets a new process with a new uid."""
        selected_converters = self.select_targets(TargetKind.CONVERTER, fault)
        interval_us = to_us(fault.for_s) // max(1, len(selected_converters))
        for position, converter in enumerate(selected_converters):
            self.replace_process(converter, to_us(fault.at_s) + position * interval_us, fault)

    def replace_process(self, converter: int, at_us: int, fault: Fault) -> None:
        """Replace a converter's process, unless an earlier release is still replacing it."""
        old_instance = self.instances_by_converter[converter][-1]
        if old_instance.start_us is not None and old_instance.start_us > at_us:
            return
        stop_us = at_us + to_us(fault.drain_s)
        start_us = stop_us + to_us(fault.down_s)
        new_instance = Instance(len(self.instances), f"c-{len(self.instances):04x}", old_instance.machine, start_us)
        self.instances.append(new_instance)
        self.instances_by_converter[converter].append(new_instance)
        self.add_step(at_us, TargetKind.CONVERTER, old_instance.index, FaultAction.DRAIN, fault, old_instance.uid)
        self.add_step(stop_us, TargetKind.CONVERTER, old_instance.index, FaultAction.STOP, fault, old_instance.uid)
        self.add_step(start_us, TargetKind.CONVERTER, new_instance.index, FaultAction.START, fault, new_instance.uid)
        self.add_notices(fault, old_instance, ListState.LEAVING, at_us)
        self.add_notices(fault, old_instance, ListState.LEFT, stop_us)
        self.add_notices(fault, new_instance, ListState.ACTIVE, start_us)

    def add_notices(self, fault: Fault, instance: Instance, state: ListState, changed_us: int) -> None:
        """Add the steps that notify each sidecar's agent of a change, each after its own sampled delay."""
        for sidecar in range(self.world.sidecars.count):
            delay_us = int(self.notice_random.uniform(*self.world.discovery.notice_delay_ms) * 1000)
            self.steps.append(
                Step(
                    changed_us + delay_us,
                    TargetKind.DISCOVERY,
                    sidecar,
                    FaultAction.NOTIFY,
                    fault.kind,
                    uid=instance.uid,
                    state=state,
                )
            )

    def add_kill(self, fault: Fault, target: TargetKind) -> None:
        for index in self.select_targets(target, fault):
            self.add_step(to_us(fault.at_s), target, index, FaultAction.KILL, fault)
            self.add_step(to_us(fault.at_s + fault.down_s), target, index, FaultAction.RESTART, fault)

    def add_clock_jump(self, fault: Fault) -> None:
        for index in self.select_targets(TargetKind.SIDECAR, fault):
            self.steps.append(
                Step(
                    to_us(fault.at_s), TargetKind.SIDECAR, index, FaultAction.SHIFT_WALL_CLOCK, fault.kind, fault.jump_s
                )
            )


def build(world: World, seed: int) -> Timeline:
    """Return a run's complete fault schedule."""
    return _Builder(world, seed).build()
