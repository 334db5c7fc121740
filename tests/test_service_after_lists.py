"""No sidecar is without service for 4 s while others serve, however its list arrives.

A fleet of real sidecar processes, each with its own discovery agent, has all its converters replaced at once. One
sidecar is notified at once; each of the others in another way: late after a silent watch, by a complete list after one,
after SIGHUP, after a restart, of converters that warm up only; with pushed and with polled lists. Further sidecars have
a seeded fault each, which one of the ways shows.
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
    POLLED,
    PUSHED,
    SERVED,
    Agent,
    Application,
    ClientRequest,
    Converter,
    Outage,
    SidecarProcess,
    find_outages,
)
from tests.network_peers import OK, Upstream, endpoint_entry, endpoint_list

pytestmark = pytest.mark.xdist_group("service_after_lists")  # one run serves all its tests

CONVERTERS = 3  # before and after
WORK_S = 0.02  # of a converter
REQUEST_INTERVAL_S = 0.1
CLASSES = ("read", "pay")
BEFORE_S = 1.0  # without faults
LIST_DELAY_S = 0.5  # from a call to its list
OLD_CONVERTERS_S = 4.5  # from the replacement to the end of the old converters; a silent watch is opened again before
AFTER_S = MIN_OUTAGE_S + 1.5
CONCURRENT_STARTS = 3
RUN_TIMEOUT_S = 60.0
AT_ONCE = "told-at-once"
SEEDED_FAULT_BY_WAY = {  # the fault that each way shows
    "late": "never_watch_again",
    "whole": "ignore_complete_lists",
    "sighup": "lose_watch_on_reload",
    "restart": "keep_configured_list",
    "cold": "reject_while_warming_up",
}
POLLING_NAME = "{}-asked"  # the name of a sidecar that polls


async def respond_after_work(
    upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Script that responds after some work."""
    await asyncio.sleep(WORK_S)
    writer.write(OK)


@dataclass
class Member:
    """A sidecar of the fleet, and how it is notified."""

    way: str
    agent: Agent
    process: SidecarProcess


@dataclass
class Observation:
    """The requests of one run, with times in seconds of the event loop."""

    requests: list[ClientRequest]
    replaced_s: float  # the converters began to be replaced
    end_s: float

    def outages(self, sidecar: str) -> list[Outage]:
        """Return the times in which this sidecar served no request."""
        spans = find_outages(self.requests, self.replaced_s, self.end_s)
        return [span for span in spans if span.sidecar == sidecar]

    def served(self, sidecar: str) -> int:
        """Return how many requests it served."""
        return sum(each.sidecar == sidecar and each.status == SERVED for each in self.requests)


class Fleet:
    """The sidecars, their agents, the converters that are replaced and the new ones."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.application = Application()
        self.old = [Converter(respond_after_work) for _ in range(CONVERTERS)]
        self.new = [Converter(respond_after_work) for _ in range(CONVERTERS)]
        self.members: list[Member] = []
        self.agents: list[Agent] = []
        self.paused: set[str] = set()  # sidecars that get no requests

    def first_list(self) -> dict[str, Any]:
        return endpoint_list(*(endpoint_entry(f"old-{i}", converter.port) for i, converter in enumerate(self.old)))

    def complete_list(self, boot_ms: int = 0) -> dict[str, Any]:
        """Return the complete list after the replacement, without the removed converters."""
        return endpoint_list(*self.new_entries(boot_ms), rev=2)

    def changes(self, boot_ms: int = 0) -> dict[str, Any]:
        """Return the replacement as a change of the list."""
        gone = [endpoint_entry(f"old-{i}", converter.port, "leaving") for i, converter in enumerate(self.old)]
        return endpoint_list(*gone, *self.new_entries(boot_ms), rev=2, full=False)

    def new_entries(self, boot_ms: int) -> list[dict[str, Any]]:
        return [endpoint_entry(f"new-{i}", converter.port, boot_ms=boot_ms) for i, converter in enumerate(self.new)]

    async def new_agent(self, first: dict[str, Any]) -> Agent:
        agent = Agent(first=first)
        self.agents.append(agent)
        await agent.start()
        return agent

    async def start(self) -> None:
        """Start everything; all sidecars know the old converters."""
        for converter in self.old + self.new:
            await converter.start()
        for way in (AT_ONCE, *SEEDED_FAULT_BY_WAY):
            await self.add(way, way)
        for way, seeded_fault in SEEDED_FAULT_BY_WAY.items():
            await self.add(POLLING_NAME.format(way), way, settings=POLLED)
            await self.add(seeded_fault, way, seeded_fault)
        semaphore = asyncio.Semaphore(CONCURRENT_STARTS)

        async def start(member: Member) -> None:
            async with semaphore:
                await member.process.start()

        await asyncio.gather(*map(start, self.members))

    async def add(self, name: str, way: str, seeded_fault: str = "", settings: dict[str, Any] = PUSHED) -> None:
        """Add a sidecar that is not started yet."""
        agent = await self.new_agent(self.first_list())
        process = SidecarProcess(self.folder / name, name, agent, self.first_list(), seeded_fault, settings)
        self.members.append(Member(way, agent, process))

    def stop(self) -> None:
        for member in self.members:
            member.process.kill()
        for agent in self.agents:
            agent.stop()
        for converter in self.old + self.new:
            converter.vanish()

    async def load(self, member: Member) -> None:
        """Send requests at a constant rate."""
        number = 0
        while True:
            if member.process.name not in self.paused:
                await self.application.fetch(member.process, CLASSES[number % len(CLASSES)])
                number += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def replace(self, member: Member) -> None:
        """Notify one sidecar of the replacement, in its way."""
        ways: dict[str, Callable[[Member], Awaitable[None]]] = {
            AT_ONCE: self.notify_at_once,
            "late": self.notify_late,
            "whole": self.notify_by_complete_list,
            "sighup": self.notify_after_sighup,
            "restart": self.notify_after_restart,
            "cold": self.notify_of_warming_converters,
        }
        await ways[member.way](member)

    async def notify_at_once(self, member: Member) -> None:
        """Push the change."""
        member.agent.first = self.complete_list()
        member.agent.line(self.changes())

    async def notify_late(self, member: Member) -> None:
        """Let the watch fall silent, and send the change late on the next one."""
        await self.silence_until_next_watch(member, None)
        await asyncio.sleep(LIST_DELAY_S)
        member.agent.line(self.changes())
        member.agent.silent = False

    async def notify_by_complete_list(self, member: Member) -> None:
        """Let the watch fall silent, and begin the next one with the complete list."""
        await self.silence_until_next_watch(member, self.complete_list())
        member.agent.silent = False

    async def silence_until_next_watch(self, member: Member, first: dict[str, Any] | None) -> None:
        """Keep the watch silent until there is a new one."""
        agent = member.agent
        agent.silent, agent.first = True, first
        agent.called.clear()
        await agent.watched()

    async def notify_after_sighup(self, member: Member) -> None:
        """Move discovery: only its new address has the change."""
        member.agent = await self.new_agent(self.complete_list())
        member.process.reload(member.agent)

    async def notify_after_restart(self, member: Member) -> None:
        """Restart the process with the old list in its configuration."""
        self.paused.add(member.process.name)
        member.agent.first = self.complete_list()
        member.process.stop()
        await member.process.ended()
        await member.process.start()
        self.paused.discard(member.process.name)

    async def notify_of_warming_converters(self, member: Member) -> None:
        """Push the change; all new converters have just started."""
        boot_ms = time.time_ns() // 1_000_000
        member.agent.first = self.complete_list(boot_ms)
        member.agent.line(self.changes(boot_ms))

    async def run(self) -> Observation:
        """Replace the converters under a constant load."""
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(self.load(member)) for member in self.members]
        await asyncio.sleep(BEFORE_S)
        replaced_s = loop.time()
        tasks += [asyncio.create_task(self.replace(member)) for member in self.members]
        await asyncio.sleep(OLD_CONVERTERS_S)
        for converter in self.old:
            converter.vanish()
        await asyncio.sleep(AFTER_S)
        end_s = loop.time()
        for task in tasks:
            if task.done():
                task.result()  # raise its error
            task.cancel()
        await self.application.wait_until_ended()
        return Observation(self.application.requests, replaced_s, end_s)


async def run(folder: Path) -> Observation:
    """Run the fleet once, and leave no process behind."""
    fleet = Fleet(folder)
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


@pytest.mark.parametrize("sidecar", [AT_ONCE, *SEEDED_FAULT_BY_WAY, *map(POLLING_NAME.format, SEEDED_FAULT_BY_WAY)])
def test_sidecar_serves_within_four_seconds_however_its_list_arrives(sidecar: str, observation: Observation) -> None:
    assert observation.served(sidecar) >= MIN_OUTAGE_REQUESTS
    assert observation.outages(sidecar) == []


@pytest.mark.parametrize("seeded_fault", SEEDED_FAULT_BY_WAY.values())
def test_check_finds_a_sidecar_that_serves_nobody_by_a_seeded_fault(
    seeded_fault: str, observation: Observation
) -> None:
    assert observation.served(seeded_fault)  # before the converters were replaced
    assert observation.outages(seeded_fault)


def requests_of(sidecar: str, status: int, count: int, over_s: float) -> list[ClientRequest]:
    """Return requests spread evenly over a time that begins at 0, without its ends."""
    return [ClientRequest(sidecar, "", sent_s=over_s * (i + 1) / (count + 1), status=status) for i in range(count)]


@pytest.mark.parametrize(
    ("others", "rejected", "span_s", "is_found"),
    [
        (SERVED, MIN_OUTAGE_REQUESTS, MIN_OUTAGE_S, True),
        (SERVED, MIN_OUTAGE_REQUESTS - 1, MIN_OUTAGE_S, False),  # too few requests
        (SERVED, MIN_OUTAGE_REQUESTS, MIN_OUTAGE_S - 0.1, False),  # too short
        (503, MIN_OUTAGE_REQUESTS, MIN_OUTAGE_S, False),  # no other sidecar serves
    ],
)
def test_span_without_service_counts_if_it_is_long_and_others_serve(
    others: int, rejected: int, span_s: float, is_found: bool
) -> None:
    requests = requests_of("other", others, 30, span_s) + requests_of("one", 503, rejected, span_s)
    spans = [span for span in find_outages(requests, 0.0, span_s) if span.sidecar == "one"]
    assert bool(spans) is is_found
