"""Common parts of the emulator's processes: the plan with its addresses, the run's clock, and the lateness meter."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from ryepier.emulator.records import Lateness, RoleRecords
from ryepier.emulator.world import World
from ryepier.sidecar import system

Address = tuple[str, int]

MAX_LATENESS_US = 60_000_000  # largest value in the histogram
LATENESS_DIGITS = 3  # significant digits of the histogram
LATENESS_TICK_S = 0.02
CPU_WAIT_THRESHOLD_US = 50_000  # shorter waits are not recorded; the judge's time limits have this much slack
CONVERTER_PORT = 9000
DISCOVERY_PORT = 8500
SIDECAR_PORT = 9000
PLANNER_PORT = 7400
HOSTS_PER_SUBNET = 250
DISCOVERY_SUBNET, SIDECAR_SUBNET, PLANNER_SUBNET = 252, 253, 254  # third octets; converters use lower values
LATE_RESPONSE_MARGIN_S = 1.0  # the run continues this long after the last deadline, to record late responses


class Plan(msgspec.Struct, frozen=True):
    """The start parameters of a process: the world, the seed, its role, and the loopback network of the run."""

    world: World
    seed: int
    network: int  # second octet of the run's addresses, 127.network.x.y
    role: str
    index: int = 0  # position among the processes of the same role
    targets: list[Address] = []  # addresses that clients send to instead of the run's own sidecars

    @property
    def end_us(self) -> int:
        """The time at which the run ends."""
        max_deadline_ms = max(request_class.deadline_ms for request_class in self.world.classes)
        return int((self.world.duration_s + max_deadline_ms / 1000 + LATE_RESPONSE_MARGIN_S) * 1e6)

    def converter_address(self, index: int) -> Address:
        """Return the address of a converter process, given its index among all converter processes."""
        return self._host(index // HOSTS_PER_SUBNET, index), CONVERTER_PORT

    def discovery_address(self, sidecar: int) -> Address:
        """Return the address of a sidecar's discovery agent, or of its API server."""
        return self._host(DISCOVERY_SUBNET, sidecar), DISCOVERY_PORT + sidecar // HOSTS_PER_SUBNET

    def sidecar_address(self, sidecar: int) -> Address:
        """Return the address at which a sidecar accepts requests."""
        return self._host(SIDECAR_SUBNET, sidecar), SIDECAR_PORT + sidecar // HOSTS_PER_SUBNET

    def planner_address(self, planner: int) -> Address:
        """Return the address of a planner."""
        return self._host(PLANNER_SUBNET, planner), PLANNER_PORT

    def _host(self, subnet: int, index: int) -> str:
        return f"127.{self.network}.{subnet}.{index % HOSTS_PER_SUBNET + 1}"


def monotonic_us() -> int:
    """Return the monotonic clock that all processes of the machine share, in microseconds."""
    return system.monotonic_ns() // 1000


class Clock:
    """Counts microseconds since the run began, which is at `run_start_us` on the machine's monotonic clock."""

    def __init__(self) -> None:
        """Start without an offset: the clock shows the machine's monotonic time until `run_start_us` is set."""
        self.run_start_us = 0

    def now_us(self) -> int:
        """Return the time since the run began."""
        return monotonic_us() - self.run_start_us

    def handle_at(self, at_us: int, callback: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """Schedule a callback for `at_us` after the beginning of the run; a time in the past means immediately."""
        loop = asyncio.get_running_loop()
        return loop.call_at((self.run_start_us + at_us) / 1e6, callback, *args)

    async def sleep_until(self, at_us: int) -> None:
        """Wait until `at_us` after the beginning of the run."""
        await asyncio.sleep(max(0.0, (at_us - self.now_us()) / 1e6))


class LatenessMeter:
    """Measures how late a process carries out its schedule. A run is invalid if the emulator was too late."""

    def __init__(self, clock: Clock) -> None:
        """Start without measurements."""
        self.clock = clock
        self._histogram = HdrHistogram(1, MAX_LATENESS_US, LATENESS_DIGITS)
        self._max_by_second_us: list[int] = []
        self._stalls: list[tuple[int, int]] = []

    def record(self, planned_us: int) -> None:
        """Record that an action planned for `planned_us` is carried out now."""
        lateness_us = max(1, self.clock.now_us() - planned_us)
        second = max(0, planned_us // 1_000_000)
        self._max_by_second_us += [0] * (second + 1 - len(self._max_by_second_us))
        self._max_by_second_us[second] = max(self._max_by_second_us[second], lateness_us)
        self._histogram.record_value(min(lateness_us, MAX_LATENESS_US))

    async def measure_event_loop(self) -> None:
        """Measure the delay of the event loop every `LATENESS_TICK_S` until cancelled."""
        while True:
            planned_us = self.clock.now_us() + int(LATENESS_TICK_S * 1e6)
            await asyncio.sleep(LATENESS_TICK_S)
            self.record(planned_us)
            if self.clock.now_us() - planned_us >= CPU_WAIT_THRESHOLD_US:
                self._stalls.append((planned_us, self.clock.now_us()))

    def result(self, role: str) -> Lateness:
        """Return the measurements so far."""
        percentile = self._histogram.get_value_at_percentile
        return Lateness(
            role,
            int(self._histogram.get_total_count()),
            int(percentile(50)),
            int(percentile(99.9)),
            max(self._max_by_second_us, default=0),
            self._max_by_second_us,
            self._stalls,
        )


def send_to_harness(message: dict[str, object]) -> None:
    """Write a line of JSON to standard output, which the harness reads."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


def save(records: RoleRecords, path: str) -> None:
    """Write the records to a file."""
    Path(path).write_bytes(msgspec.msgpack.encode(records))
