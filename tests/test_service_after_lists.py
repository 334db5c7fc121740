"""No sidecar serves nobody for 4 s while others serve, whatever became of its list.

A fleet of real sidecar processes, each with a discovery agent of its own, has all its converters replaced at once. One
sidecar is told of it at once; each of the others in its own way: late after a silent watch, by a whole list after one,
after SIGHUP, after a restart, of cold converters only; where lists are pushed, and where they are asked for. Beside
these play sidecars with a mistake each that one of the ways brings out.
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
    ASKED,
    BARREN_REQUESTS,
    BARREN_S,
    PUSHED,
    SERVED,
    Agent,
    Application,
    BarrenSpan,
    ClientRequest,
    Converter,
    SidecarProcess,
    spans_without_service,
)
from tests.network_peers import OK, Upstream, endpoint_entry, endpoint_list

pytestmark = pytest.mark.xdist_group("service_after_lists")  # one play serves all its tests

CONVERTERS = 3  # before and after
WORK_S = 0.02  # of a converter
REQUEST_EVERY_S = 0.1
KINDS = ("read", "pay")
BEFORE_S = 1.0  # all is well for so long
LATE_S = 0.5  # a list comes so long after its call
REPLACED_S = 4.5  # from the trouble to the end of the old converters; a silent watch is opened anew before
AFTER_S = BARREN_S + 1.5  # and so long more
START_AT_ONCE = 3  # processes that come up at the same time
PLAY_S = 60.0
HEALTHY = "told-at-once"
WAYS = {  # with the mistake that it brings out
    "late": "never_watch_again",
    "whole": "ignore_whole_lists",
    "sighup": "lose_watch_on_reload",
    "restart": "trust_known_list",
    "cold": "refuse_while_cold",
}
ASKING = "{}-asked"  # the name of a sidecar that asks for its list


async def working(upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers after some work."""
    await asyncio.sleep(WORK_S)
    writer.write(OK)


@dataclass
class Member:
    """A sidecar of the fleet, and how it is told."""

    way: str
    agent: Agent
    process: SidecarProcess


@dataclass
class Seen:
    """What the applications saw, and when, in seconds of the loop."""

    requests: list[ClientRequest]
    trouble_s: float  # the converters began to be replaced
    end_s: float

    def barren(self, sidecar: str) -> list[BarrenSpan]:
        """The spans in which this sidecar served nobody."""
        spans = spans_without_service(self.requests, self.trouble_s, self.end_s)
        return [span for span in spans if span.sidecar == sidecar]

    def served(self, sidecar: str) -> int:
        """How many requests it served."""
        return sum(one.sidecar == sidecar and one.status == SERVED for one in self.requests)


class Fleet:
    """The sidecars, their agents, the converters that are replaced and those that come."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.application = Application()
        self.old = [Converter(working) for _ in range(CONVERTERS)]
        self.new = [Converter(working) for _ in range(CONVERTERS)]
        self.members: list[Member] = []
        self.agents: list[Agent] = []
        self.paused: set[str] = set()  # sidecars that get no requests

    def first_list(self) -> dict[str, Any]:
        return endpoint_list(*(endpoint_entry(f"old-{i}", converter.port) for i, converter in enumerate(self.old)))

    def replaced(self, boot_ms: int = 0) -> dict[str, Any]:
        """The whole list after the change; it names nothing that has gone."""
        return endpoint_list(*self.fresh(boot_ms), rev=2)

    def change(self, boot_ms: int = 0) -> dict[str, Any]:
        """The change alone."""
        gone = [endpoint_entry(f"old-{i}", converter.port, "leaving") for i, converter in enumerate(self.old)]
        return endpoint_list(*gone, *self.fresh(boot_ms), rev=2, full=False)

    def fresh(self, boot_ms: int) -> list[dict[str, Any]]:
        return [endpoint_entry(f"new-{i}", converter.port, boot_ms=boot_ms) for i, converter in enumerate(self.new)]

    async def new_agent(self, first: dict[str, Any]) -> Agent:
        agent = Agent(first=first)
        self.agents.append(agent)
        await agent.start()
        return agent

    async def start(self) -> None:
        """Everything is up, and all sidecars know the old converters."""
        for converter in self.old + self.new:
            await converter.start()
        for way in (HEALTHY, *WAYS):
            await self.add(way, way)
        for way, mistake in WAYS.items():
            await self.add(ASKING.format(way), way, settings=ASKED)
            await self.add(mistake, way, mistake)
        room = asyncio.Semaphore(START_AT_ONCE)

        async def start(member: Member) -> None:
            async with room:
                await member.process.start()

        await asyncio.gather(*map(start, self.members))

    async def add(self, name: str, way: str, mistake: str = "", settings: dict[str, Any] = PUSHED) -> None:
        """A sidecar joins; it is not started yet."""
        agent = await self.new_agent(self.first_list())
        process = SidecarProcess(self.folder / name, name, agent, self.first_list(), mistake, settings)
        self.members.append(Member(way, agent, process))

    def stop(self) -> None:
        for member in self.members:
            member.process.kill()
        for agent in self.agents:
            agent.stop()
        for converter in self.old + self.new:
            converter.vanish()

    async def load(self, member: Member) -> None:
        """Send requests one after another, whatever becomes of them."""
        number = 0
        while True:
            if member.process.name not in self.paused:
                await self.application.fetch(member.process, KINDS[number % len(KINDS)])
                number += 1
            await asyncio.sleep(REQUEST_EVERY_S)

    async def replace(self, member: Member) -> None:
        """Tell one sidecar of the change, in its own way."""
        ways: dict[str, Callable[[Member], Awaitable[None]]] = {
            HEALTHY: self.tell_at_once,
            "late": self.tell_late,
            "whole": self.tell_whole,
            "sighup": self.tell_after_sighup,
            "restart": self.tell_after_restart,
            "cold": self.tell_of_cold,
        }
        await ways[member.way](member)

    async def tell_at_once(self, member: Member) -> None:
        """The change is pushed."""
        member.agent.first = self.replaced()
        member.agent.line(self.change())

    async def tell_late(self, member: Member) -> None:
        """The watch falls silent; on the next one the change comes late."""
        await self.fall_silent(member, None)
        await asyncio.sleep(LATE_S)
        member.agent.line(self.change())
        member.agent.silent = False

    async def tell_whole(self, member: Member) -> None:
        """The watch falls silent; the next one begins with the whole list."""
        await self.fall_silent(member, self.replaced())
        member.agent.silent = False

    async def fall_silent(self, member: Member, first: dict[str, Any] | None) -> None:
        """Until there is a new watch."""
        agent = member.agent
        agent.silent, agent.first = True, first
        agent.called.clear()
        await agent.watched()

    async def tell_after_sighup(self, member: Member) -> None:
        """Discovery has moved; only at its new address is the change known."""
        member.agent = await self.new_agent(self.replaced())
        member.process.reload(member.agent)

    async def tell_after_restart(self, member: Member) -> None:
        """The process is ended and started again, with the old list in its configuration."""
        self.paused.add(member.process.name)
        member.agent.first = self.replaced()
        member.process.stop()
        await member.process.ended()
        await member.process.start()
        self.paused.discard(member.process.name)

    async def tell_of_cold(self, member: Member) -> None:
        """The change is pushed, and all new converters have just started."""
        boot_ms = time.time_ns() // 1_000_000
        member.agent.first = self.replaced(boot_ms)
        member.agent.line(self.change(boot_ms))

    async def play(self) -> Seen:
        """The converters are replaced under a steady load."""
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(self.load(member)) for member in self.members]
        await asyncio.sleep(BEFORE_S)
        trouble_s = loop.time()
        tasks += [asyncio.create_task(self.replace(member)) for member in self.members]
        await asyncio.sleep(REPLACED_S)
        for converter in self.old:
            converter.vanish()
        await asyncio.sleep(AFTER_S)
        end_s = loop.time()
        for task in tasks:
            if task.done():
                task.result()  # raises what went wrong
            task.cancel()
        await self.application.all_ended()
        return Seen(self.application.requests, trouble_s, end_s)


async def play(folder: Path) -> Seen:
    """One play of the fleet; no process is left behind."""
    fleet = Fleet(folder)
    try:
        async with asyncio.timeout(PLAY_S):
            await fleet.start()
            return await fleet.play()
    finally:
        fleet.stop()


@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> Seen:
    """What the applications of one play saw."""
    return asyncio.run(play(tmp_path_factory.mktemp("fleet")))


@pytest.mark.parametrize("sidecar", [HEALTHY, *WAYS, *map(ASKING.format, WAYS)])
def test_sidecar_serves_within_four_seconds_however_its_list_arrives(sidecar: str, seen: Seen) -> None:
    assert seen.served(sidecar) >= BARREN_REQUESTS
    assert seen.barren(sidecar) == []


@pytest.mark.parametrize("mistake", WAYS.values())
def test_check_finds_a_sidecar_that_serves_nobody_by_a_seeded_fault(mistake: str, seen: Seen) -> None:
    assert seen.served(mistake)  # before the converters were replaced
    assert seen.barren(mistake)


def requests_of(sidecar: str, status: int, count: int, over_s: float) -> list[ClientRequest]:
    """Requests spread evenly over a span that begins at 0, its ends left out."""
    return [ClientRequest(sidecar, "", sent_s=over_s * (i + 1) / (count + 1), status=status) for i in range(count)]


@pytest.mark.parametrize(
    ("others", "refused", "span_s", "found"),
    [
        (SERVED, BARREN_REQUESTS, BARREN_S, True),
        (SERVED, BARREN_REQUESTS - 1, BARREN_S, False),  # too few to say anything
        (SERVED, BARREN_REQUESTS, BARREN_S - 0.1, False),  # too short
        (503, BARREN_REQUESTS, BARREN_S, False),  # nobody else serves
    ],
)
def test_span_without_service_counts_if_it_is_long_and_others_serve(
    others: int, refused: int, span_s: float, found: bool
) -> None:
    requests = requests_of("other", others, 30, span_s) + requests_of("one", 503, refused, span_s)
    spans = [span for span in spans_without_service(requests, 0.0, span_s) if span.sidecar == "one"]
    assert bool(spans) is found
