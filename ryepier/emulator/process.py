"""What every process of the emulator has: its place in the run, the run's clock, and a measure of its lateness."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

import msgspec
from hdrh.histogram import HdrHistogram

from ryepier.emulator.records import Lateness, RoleRecords
from ryepier.emulator.world import World
from ryepier.sidecar import system

LONGEST_LATE_US = 60_000_000
TICK_S = 0.02
CPU_WAIT_THRESHOLD_US = 50_000  # a process that is late by so much was held up: every time limit has as much slack
CONVERTER_PORT = 9000
DISCOVERY_PORT = 8500
SIDECAR_PORT = 9000
PLANNER_PORT = 7400
TAIL_S = 1.0  # after the last deadline, for what comes late


class Plan(msgspec.Struct, frozen=True):
    """What a process is told: the world, the seed, and which loopback network is the run's own."""

    world: World
    seed: int
    network: int  # the second number of its addresses, 127.network.x.y
    role: str
    index: int = 0
    targets: list[tuple[str, int]] = []  # clients: whom to load, in place of the run's own sidecars

    @property
    def end_us(self) -> int:
        """When all is over."""
        longest_ms = max(kind.deadline_ms for kind in self.world.classes)
        return int((self.world.duration_s + longest_ms / 1000 + TAIL_S) * 1e6)

    def converter_address(self, index: int) -> tuple[str, int]:
        return f"127.{self.network}.{index // 250}.{index % 250 + 1}", CONVERTER_PORT

    def discovery_address(self, sidecar: int) -> tuple[str, int]:
        return f"127.{self.network}.252.{sidecar % 250 + 1}", DISCOVERY_PORT + sidecar // 250

    def sidecar_address(self, sidecar: int) -> tuple[str, int]:
        return f"127.{self.network}.253.{sidecar % 250 + 1}", SIDECAR_PORT + sidecar // 250

    def planner_address(self, planner: int) -> tuple[str, int]:
        return f"127.{self.network}.254.{planner + 1}", PLANNER_PORT


def monotonic_us() -> int:
    """The clock that all processes of the machine share."""
    return system.monotonic_ns() // 1000


class Clock:
    """Microseconds from the run's beginning, once that is known."""

    def __init__(self) -> None:
        self.zero_us = 0

    def now_us(self) -> int:
        return monotonic_us() - self.zero_us

    def handle_at(self, at_us: int, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """Do something at a moment of the run, or at once if that is over."""
        loop = asyncio.get_running_loop()
        return loop.call_at((self.zero_us + at_us) / 1e6, what, *args)


class LatenessMeter:
    """How late the process did what it had planned; the rig voids a run whose emulator could not keep up."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.histogram = HdrHistogram(1, LONGEST_LATE_US, 3)
        self.most_by_second_us: list[int] = []
        self.held: list[tuple[int, int]] = []

    def note(self, planned_us: int) -> None:
        late_us = max(1, self.clock.now_us() - planned_us)
        second = max(0, planned_us // 1_000_000)
        self.most_by_second_us += [0] * (second + 1 - len(self.most_by_second_us))
        self.most_by_second_us[second] = max(self.most_by_second_us[second], late_us)
        self.histogram.record_value(min(late_us, LONGEST_LATE_US))

    async def tick(self) -> None:
        """Measure the event loop itself, for as long as it runs."""
        while True:
            planned_us = self.clock.now_us() + int(TICK_S * 1e6)
            await asyncio.sleep(TICK_S)
            self.note(planned_us)
            if self.clock.now_us() - planned_us >= CPU_WAIT_THRESHOLD_US:
                self.held.append((planned_us, self.clock.now_us()))

    def result(self, role: str) -> Lateness:
        at = self.histogram.get_value_at_percentile
        return Lateness(
            role,
            int(self.histogram.get_total_count()),
            int(at(50)),
            int(at(99.9)),
            max(self.most_by_second_us, default=0),
            self.most_by_second_us,
            self.held,
        )


def say(message: dict[str, object]) -> None:
    """A line to the rig."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


def save(records: RoleRecords, path: str) -> None:
    with open(path, "wb") as file:
        file.write(msgspec.msgpack.encode(records))
