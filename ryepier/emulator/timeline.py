"""What happens when in a world: the faults as steps, each with its end, and who is told of what.

Pure: follows from the world and the seed alone, so each process works it out for itself and does its own part.
Times are microseconds from the run's beginning; `Step`s are in the order of their times.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ryepier.emulator import draws
from ryepier.emulator.world import Fault, World


class FaultAction(enum.Enum):
    """What is done to one converter, sidecar or discovery agent."""

    BEGIN = "begin"  # a converter: a fault sets in
    END = "end"  # and is over
    DRAIN = "drain"  # a converter: finish the work and take nothing new
    STOP = "stop"  # a converter's process ends
    START = "start"  # a converter's process comes up, cold
    KILL = "kill"  # a sidecar or planner: SIGKILL
    RESTART = "restart"  # it is started again
    SUSPEND = "stall"  # a sidecar or planner: it stands still, its connections open
    RESUME = "resume"
    SET_CALENDAR = "jump"  # a sidecar: its calendar is set forward or back
    SET_CLOCK_RATE = "drift"  # its clocks go faster or slower
    NOTIFY = "tell"  # an agent writes a change to its sidecar
    MUTE = "silence"  # an agent says nothing, not even heartbeats
    FREEZE_LIST = "hold"  # an agent keeps changes back, and goes on as if there were none
    RESUME_UPDATES = "speak"
    DOWN = "down"  # an agent refuses connections and ends the open ones
    UP = "up"
    BREAK_WATCHES = "break"  # an agent ends the open watches


class TargetKind(enum.Enum):
    CONVERTER = "converter"
    SIDECAR = "sidecar"
    DISCOVERY = "discovery"
    PLANNER = "planner"


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that is done, to the `index`-th of its kind."""

    at_us: int
    target: TargetKind
    index: int
    action: FaultAction
    fault: str = ""  # the kind of fault that brings it about
    factor: float = 1.0  # JUMP: seconds
    share: float = 1.0
    uid: str = ""
    state: str = ""  # TELL: what the list says of the uid from now on
    via: frozenset[int] | None = None  # only what comes by these sidecars


@dataclass(frozen=True, slots=True)
class Instance:
    """One process life of a converter: a uid of its own, at an address of its own."""

    index: int  # among all instances of the run
    uid: str
    machine: draws.Machine
    start_us: int | None  # None: it ran, warm, before the run began


@dataclass(frozen=True, slots=True)
class Timeline:
    instances: list[Instance]
    steps: list[Step]


CONVERTER_FAULTS = ("hang", "refuse", "reset-before", "reset-after", "half-answer", "slow", "cut", "turn-away")


def us(seconds: float) -> int:
    return round(seconds * 1e6)


class _Builder:
    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.seed = seed
        self.random = draws.stream(seed, "faults")
        self.notices = draws.stream(seed, "notices")
        self.steps: list[Step] = []
        self.instances = [Instance(m.index, f"c-{m.index:04x}", m, None) for m in draws.machines(world, seed)]
        self.places = [[instance] for instance in self.instances]  # who follows whom

    def step(self, at_us: int, who: TargetKind, index: int, verb: FaultAction, fault: Fault, uid: str = "") -> None:
        via = None if fault.via is None else frozenset((fault.via,))
        self.steps.append(Step(at_us, who, index, verb, fault.kind, fault.factor, fault.share, uid, via=via))

    def build(self) -> Timeline:
        for fault in sorted(self.world.faults, key=lambda fault: fault.at_s):
            if fault.kind in CONVERTER_FAULTS:
                self.strike_converters(fault)
            elif fault.kind == "zone-cut":
                self.cut_zone(fault)
            elif fault.kind == "release":
                self.release(fault)
            elif fault.kind == "sidecar-kill":
                self.kill(fault, TargetKind.SIDECAR, self.world.sidecars.count)
            elif fault.kind == "planner-kill":
                self.kill(fault, TargetKind.PLANNER, self.world.planners.count)
            elif fault.kind == "planner-hang":
                self.span(fault, TargetKind.PLANNER, self.world.planners.count, FaultAction.SUSPEND, FaultAction.RESUME)
            elif fault.kind == "sidecar-hang":
                self.span(fault, TargetKind.SIDECAR, self.world.sidecars.count, FaultAction.SUSPEND, FaultAction.RESUME)
            elif fault.kind == "clock-drift":
                self.span(
                    fault, TargetKind.SIDECAR, self.world.sidecars.count, FaultAction.SET_CLOCK_RATE, FaultAction.END
                )
            elif fault.kind == "clock-jump":
                for index in draws.struck(self.world.sidecars.count, fault, self.random):
                    self.steps.append(
                        Step(
                            us(fault.at_s),
                            TargetKind.SIDECAR,
                            index,
                            FaultAction.SET_CALENDAR,
                            fault.kind,
                            fault.jump_s,
                        )
                    )
            elif fault.kind in ("discovery-down", "discovery-silent", "discovery-stale", "watch-break"):
                self.strike_discovery(fault)
            # surges and tails are in the arrivals as drawn
        self.steps.sort(key=lambda step: step.at_us)
        return Timeline(self.instances, self.steps)

    def span(self, fault: Fault, who: TargetKind, count: int, begin: FaultAction, end: FaultAction) -> None:
        for index in draws.struck(count, fault, self.random):
            self.step(us(fault.at_s), who, index, begin, fault)
            self.step(us(fault.at_s + fault.for_s), who, index, end, fault)

    def strike_converters(self, fault: Fault) -> None:
        """Whoever is there then in the places that are drawn."""
        for place in draws.struck(self.world.converter_count, fault, self.random):
            index = self.at_place(place, us(fault.at_s)).index
            self.step(us(fault.at_s), TargetKind.CONVERTER, index, FaultAction.BEGIN, fault)
            self.step(us(fault.at_s + fault.for_s), TargetKind.CONVERTER, index, FaultAction.END, fault)

    def cut_zone(self, fault: Fault) -> None:
        """Converters and sidecars of one zone, and those of the others, do not reach each other."""
        zones, sidecars = self.world.zones, range(self.world.sidecars.count)
        inside = frozenset(i for i in sidecars if zones[self.world.sidecar_zone(i)] == fault.zone)
        for place in range(self.world.converter_count):
            instance = self.at_place(place, us(fault.at_s))
            via = frozenset(sidecars) - inside if instance.machine.group.zone == fault.zone else inside
            for at_s, verb in ((fault.at_s, FaultAction.BEGIN), (fault.at_s + fault.for_s, FaultAction.END)):
                self.steps.append(Step(us(at_s), TargetKind.CONVERTER, instance.index, verb, fault.kind, via=via))

    def at_place(self, place: int, at_us: int) -> Instance:
        """The last that came up there by then."""
        return next(one for one in reversed(self.places[place]) if one.start_us is None or one.start_us <= at_us)

    def release(self, fault: Fault) -> None:
        """A rolling one: each converter drains, ends, and is replaced by a cold one under a new uid."""
        chosen = draws.struck(self.world.converter_count, fault, self.random)
        apart_us = us(fault.for_s) // max(1, len(chosen))
        for turn, place in enumerate(chosen):
            old = self.places[place][-1]
            at_us = us(fault.at_s) + turn * apart_us
            if old.start_us is not None and old.start_us > at_us:
                continue  # it is being replaced already
            stop_us = at_us + us(fault.drain_s)
            start_us = stop_us + us(fault.down_s)
            new = Instance(len(self.instances), f"c-{len(self.instances):04x}", old.machine, start_us)
            self.instances.append(new)
            self.places[place].append(new)
            self.step(at_us, TargetKind.CONVERTER, old.index, FaultAction.DRAIN, fault, old.uid)
            self.step(stop_us, TargetKind.CONVERTER, old.index, FaultAction.STOP, fault, old.uid)
            self.step(start_us, TargetKind.CONVERTER, new.index, FaultAction.START, fault, new.uid)
            self.tell(fault, old, "leaving", at_us)
            self.tell(fault, old, "left", stop_us)
            self.tell(fault, new, "active", start_us)

    def tell(self, fault: Fault, instance: Instance, state: str, since_us: int) -> None:
        """Each sidecar's agent hears of it at a time of its own."""
        for sidecar in range(self.world.sidecars.count):
            late_us = int(self.notices.uniform(*self.world.discovery.late_ms) * 1000)
            self.steps.append(
                Step(
                    since_us + late_us,
                    TargetKind.DISCOVERY,
                    sidecar,
                    FaultAction.NOTIFY,
                    fault.kind,
                    uid=instance.uid,
                    state=state,
                )
            )

    def kill(self, fault: Fault, who: TargetKind, count: int) -> None:
        for index in draws.struck(count, fault, self.random):
            self.step(us(fault.at_s), who, index, FaultAction.KILL, fault)
            self.step(us(fault.at_s + fault.down_s), who, index, FaultAction.RESTART, fault)

    def strike_discovery(self, fault: Fault) -> None:
        verbs = {
            "discovery-down": (FaultAction.DOWN, FaultAction.UP),
            "discovery-silent": (FaultAction.MUTE, FaultAction.RESUME_UPDATES),
            "discovery-stale": (FaultAction.FREEZE_LIST, FaultAction.RESUME_UPDATES),
            "watch-break": (FaultAction.BREAK_WATCHES, None),
        }[fault.kind]
        for index in draws.struck(max(1, self.world.sidecars.count), fault, self.random):
            self.step(us(fault.at_s), TargetKind.DISCOVERY, index, verbs[0], fault)
            if verbs[1] is not None:
                self.step(us(fault.at_s + fault.for_s), TargetKind.DISCOVERY, index, verbs[1], fault)


def build(world: World, seed: int) -> Timeline:
    """The whole run's instances and steps."""
    return _Builder(world, seed).build()
