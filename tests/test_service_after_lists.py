"""No sidecar fails to serve for 4 s while others serve, in whatever way its endpoint list arrives.

All converters of a fleet of sidecar processes, each with a separate discovery agent, are replaced at once. One sidecar
is notified at once. The others are notified in one of these ways, with pushed or polled lists: late after a silent
watch, by a complete list after a silent watch, after SIGHUP, after a restart, or of converters that are all warming up.
Further sidecars each have a seeded fault that one of these ways reveals.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from tests.acceptance import (
    MIN_OUTAGE_REQUESTS,
    MIN_OUTAGE_S,
    POLLED_SETTINGS,
    PUSHED_SETTINGS,
    SERVED_STATUS,
    Agent,
    Converter,
    Outage,
    RecordingClient,
    RequestRecord,
    SidecarProcess,
    find_outages,
)
from tests.network_peers import OK, Upstream, endpoint_entry, endpoint_list

pytestmark = pytest.mark.xdist_group("service_after_lists")  # all tests share one run

CONVERTER_COUNT = 3  # both before and after the replacement
WORK_S = 0.02  # time in which a converter handles a request
REQUEST_INTERVAL_S = 0.1
CLASS_NAMES = ("read", "pay")
RUN_BEFORE_REPLACEMENT_S = 1.0  # time under load before the replacement
LIST_DELAY_S = 0.5  # time from the start of a new watch to its first list
# Time from the replacement until the old converters stop; sidecars reopen a silent watch before that.
OLD_CONVERTERS_LIFETIME_S = 4.5
RUN_AFTER_CRASH_S = MIN_OUTAGE_S + 1.5  # time under load after the old converters have stopped
CONCURRENT_STARTS = 3
RUN_TIMEOUT_S = 60.0
AT_ONCE_MODE = "told-at-once"
SEEDED_FAULT_BY_MODE = {  # the fault that each mode of notification reveals
    "late": "never_watch_again",
    "whole": "ignore_complete_lists",
    "sighup": "lose_watch_on_reload",
    "restart": "keep_configured_list",
    "cold": "reject_while_warming_up",
}
POLLING_NAME_FORMAT = "{}-asked"  # format of the names of the sidecars that poll


async def respond_after_work(
    upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Script that responds after WORK_S."""
    await asyncio.sleep(WORK_S)
    writer.write(OK)


@dataclass
class FleetSidecar:
    """A sidecar of the fleet, and the way in which it is notified."""

    notification_mode: str
    agent: Agent
    process: SidecarProcess


@dataclass
class Observation:
    """The requests of one run; times are in seconds on the event loop's clock.

    Only outages between `replacement_started_at`, when the replacement of the converters starts, and `ended_at`, when
    the run ends, are counted.
    """

    requests: list[RequestRecord]
    replacement_started_at: float
    ended_at: float

    def outages(self, sidecar: str) -> list[Outage]:
        """Return the outages of this sidecar."""
        outages = find_outages(self.requests, self.replacement_started_at, self.ended_at)
        return [outage for outage in outages if outage.sidecar == sidecar]

    def served_count(self, sidecar: str) -> int:
        """Return how many requests this sidecar served."""
        return sum(request.sidecar == sidecar and request.status == SERVED_STATUS for request in self.requests)


class Fleet:
    """The sidecars, their agents, and the old and new converters."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.client = RecordingClient()
        self.old_converters = [Converter(respond_after_work) for _ in range(CONVERTER_COUNT)]
        self.new_converters = [Converter(respond_after_work) for _ in range(CONVERTER_COUNT)]
        self.fleet_sidecars: list[FleetSidecar] = []
        self.agents: list[Agent] = []
        self.paused_sidecars: set[str] = set()  # names of the sidecars that get no requests at the moment

    def old_list(self) -> dict[str, Any]:
        return endpoint_list(
            *(endpoint_entry(f"old-{index}", converter.port) for index, converter in enumerate(self.old_converters))
        )

    def complete_list(self, boot_ms: int = 0) -> dict[str, Any]:
        """Return the complete list after the replacement, without the removed converters."""
        return endpoint_list(*self.new_entries(boot_ms), rev=2)

    def changes(self, boot_ms: int = 0) -> dict[str, Any]:
        """Return the replacement as a change of the list."""
        removed_entries = [
            endpoint_entry(f"old-{index}", converter.port, "leaving")
            for index, converter in enumerate(self.old_converters)
        ]
        return endpoint_list(*removed_entries, *self.new_entries(boot_ms), rev=2, full=False)

    def new_entries(self, boot_ms: int) -> list[dict[str, Any]]:
        return [
            endpoint_entry(f"new-{index}", converter.port, boot_ms=boot_ms)
            for index, converter in enumerate(self.new_converters)
        ]

    async def start_new_agent(self, initial_list: dict[str, Any]) -> Agent:
        agent = Agent(initial_list=initial_list)
        self.agents.append(agent)
        await agent.start()
        return agent

    async def start(self) -> None:
        """Start everything, with the old converters in the lists of all sidecars."""
        for converter in self.old_converters + self.new_converters:
            await converter.start()
        for notification_mode in (AT_ONCE_MODE, *SEEDED_FAULT_BY_MODE):
            await self.add_sidecar(notification_mode, notification_mode)
        for notification_mode, seeded_fault in SEEDED_FAULT_BY_MODE.items():
            await self.add_sidecar(
                POLLING_NAME_FORMAT.format(notification_mode), notification_mode, settings=POLLED_SETTINGS
            )
            await self.add_sidecar(seeded_fault, notification_mode, seeded_fault)
        semaphore = asyncio.Semaphore(CONCURRENT_STARTS)

        async def start(fleet_sidecar: FleetSidecar) -> None:
            async with semaphore:
                await fleet_sidecar.process.start()

        await asyncio.gather(*map(start, self.fleet_sidecars))

    async def add_sidecar(
        self, name: str, notification_mode: str, seeded_fault: str = "", settings: dict[str, Any] = PUSHED_SETTINGS
    ) -> None:
        """Add a sidecar without starting it."""
        agent = await self.start_new_agent(self.old_list())
        process = SidecarProcess(self.directory / name, name, agent, self.old_list(), seeded_fault, settings)
        self.fleet_sidecars.append(FleetSidecar(notification_mode, agent, process))

    def stop(self) -> None:
        for fleet_sidecar in self.fleet_sidecars:
            fleet_sidecar.process.kill()
        for agent in self.agents:
            agent.stop()
        for converter in self.old_converters + self.new_converters:
            converter.crash()

    async def send_requests(self, fleet_sidecar: FleetSidecar) -> None:
        """Send requests at a constant rate."""
        number = 0
        while True:
            if fleet_sidecar.process.name not in self.paused_sidecars:
                await self.client.fetch(fleet_sidecar.process, CLASS_NAMES[number % len(CLASS_NAMES)])
                number += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def notify(self, fleet_sidecar: FleetSidecar) -> None:
        """Notify a sidecar of the replacement in the way given by its `notification_mode`."""
        notifiers: dict[str, Callable[[FleetSidecar], Awaitable[None]]] = {
            AT_ONCE_MODE: self.notify_at_once,
            "late": self.notify_late,
            "whole": self.notify_by_complete_list,
            "sighup": self.notify_after_sighup,
            "restart": self.notify_after_restart,
            "cold": self.notify_of_converters_warming_up,
        }
        await notifiers[fleet_sidecar.notification_mode](fleet_sidecar)

    async def notify_at_once(self, fleet_sidecar: FleetSidecar) -> None:
        """Push the change on the open watch."""
        fleet_sidecar.agent.initial_list = self.complete_list()
        fleet_sidecar.agent.send_list(self.changes())

    async def notify_late(self, fleet_sidecar: FleetSidecar) -> None:
        """Let the watch fall silent, and send the change on the next watch after a delay."""
        await self.silence_until_next_watch(fleet_sidecar, None)
        await asyncio.sleep(LIST_DELAY_S)
        fleet_sidecar.agent.send_list(self.changes())
        fleet_sidecar.agent.silent = False

    async def notify_by_complete_list(self, fleet_sidecar: FleetSidecar) -> None:
        """Let the watch fall silent, and begin the next watch with the complete list."""
        await self.silence_until_next_watch(fleet_sidecar, self.complete_list())
        fleet_sidecar.agent.silent = False

    async def silence_until_next_watch(self, fleet_sidecar: FleetSidecar, initial_list: dict[str, Any] | None) -> None:
        """Keep the watch silent until the sidecar opens a new one, which begins with `initial_list`."""
        agent = fleet_sidecar.agent
        agent.silent, agent.initial_list = True, initial_list
        agent.watch_opened.clear()
        await agent.wait_for_watch()

    async def notify_after_sighup(self, fleet_sidecar: FleetSidecar) -> None:
        """Reload the configuration with the address of a new agent; only that agent has the change."""
        fleet_sidecar.agent = await self.start_new_agent(self.complete_list())
        fleet_sidecar.process.reload(fleet_sidecar.agent)

    async def notify_after_restart(self, fleet_sidecar: FleetSidecar) -> None:
        """Restart the process with the old list in its configuration."""
        self.paused_sidecars.add(fleet_sidecar.process.name)
        fleet_sidecar.agent.initial_list = self.complete_list()
        fleet_sidecar.process.stop()
        await fleet_sidecar.process.wait_until_ended()
        await fleet_sidecar.process.start()
        self.paused_sidecars.discard(fleet_sidecar.process.name)

    async def notify_of_converters_warming_up(self, fleet_sidecar: FleetSidecar) -> None:
        """Push the change, with new converters that have all just started."""
        boot_ms = time.time_ns() // 1_000_000
        fleet_sidecar.agent.initial_list = self.complete_list(boot_ms)
        fleet_sidecar.agent.send_list(self.changes(boot_ms))

    async def run(self) -> Observation:
        """Replace the converters under a constant load."""
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(self.send_requests(fleet_sidecar)) for fleet_sidecar in self.fleet_sidecars]
        await asyncio.sleep(RUN_BEFORE_REPLACEMENT_S)
        replacement_started_at = loop.time()
        tasks += [asyncio.create_task(self.notify(fleet_sidecar)) for fleet_sidecar in self.fleet_sidecars]
        await asyncio.sleep(OLD_CONVERTERS_LIFETIME_S)
        for converter in self.old_converters:
            converter.crash()
        await asyncio.sleep(RUN_AFTER_CRASH_S)
        ended_at = loop.time()
        for task in tasks:
            if task.done():
                task.result()  # raises the exception of a failed task
            task.cancel()
        await self.client.wait_until_ended()
        return Observation(self.client.requests, replacement_started_at, ended_at)


async def run(directory: Path) -> Observation:
    """Run the fleet once and stop all its processes."""
    fleet = Fleet(directory)
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            await fleet.start()
            return await fleet.run()
    finally:
        fleet.stop()


@pytest.fixture(scope="module")
def observation(tmp_path_factory: pytest.TempPathFactory) -> Observation:
    """Return the requests of one run."""
    return asyncio.run(run(tmp_path_factory.mktemp("fleet")))


@pytest.mark.parametrize(
    "sidecar", [AT_ONCE_MODE, *SEEDED_FAULT_BY_MODE, *map(POLLING_NAME_FORMAT.format, SEEDED_FAULT_BY_MODE)]
)
def test_sidecar_serves_within_four_seconds_for_every_kind_of_list_update(
    sidecar: str, observation: Observation
) -> None:
    assert observation.served_count(sidecar) >= MIN_OUTAGE_REQUESTS
    assert observation.outages(sidecar) == []


@pytest.mark.parametrize("seeded_fault", SEEDED_FAULT_BY_MODE.values())
def test_check_finds_an_outage_caused_by_a_seeded_fault(seeded_fault: str, observation: Observation) -> None:
    assert observation.served_count(seeded_fault)  # the sidecar served requests before the replacement
    assert observation.outages(seeded_fault)


def evenly_spaced_requests(sidecar: str, status: int, request_count: int, duration_s: float) -> list[RequestRecord]:
    """Return requests spaced evenly between 0 and `duration_s`, with none at either end."""
    return [
        RequestRecord(sidecar, "", sent_at=duration_s * (index + 1) / (request_count + 1), status=status)
        for index in range(request_count)
    ]


@pytest.mark.parametrize(
    ("other_status", "request_count", "duration_s", "is_found"),
    [
        (SERVED_STATUS, MIN_OUTAGE_REQUESTS, MIN_OUTAGE_S, True),
        (SERVED_STATUS, MIN_OUTAGE_REQUESTS - 1, MIN_OUTAGE_S, False),  # too few requests
        (SERVED_STATUS, MIN_OUTAGE_REQUESTS, MIN_OUTAGE_S - 0.1, False),  # too short
        (503, MIN_OUTAGE_REQUESTS, MIN_OUTAGE_S, False),  # no other sidecar serves
    ],
)
def test_outage_counts_only_if_it_is_long_and_others_serve(
    other_status: int, request_count: int, duration_s: float, is_found: bool
) -> None:
    requests = evenly_spaced_requests("other", other_status, 30, duration_s) + evenly_spaced_requests(
        "one", 503, request_count, duration_s
    )
    outages = [outage for outage in find_outages(requests, 0.0, duration_s) if outage.sidecar == "one"]
    assert bool(outages) is is_found
