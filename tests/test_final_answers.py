"""No request is left with no answer when its time is up, in whatever order a sidecar's troubles come.

Real sidecar processes, with requests open and in pieces, are given a new configuration, told of a drain, cut off by a
converter that ends right after it accepted a connection, and told to end.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import pytest

from tests.acceptance import (
    DEADLINE_S,
    LATEST_S,
    SERVED,
    Agent,
    Application,
    ClientRequest,
    Converter,
    Exchange,
    SidecarProcess,
    unanswered,
)
from tests.network_peers import OK, Upstream, endpoint_entry, endpoint_list

pytestmark = pytest.mark.alone

TROUBLES = ("reload", "drain", "kill", "pieces")
STOPPED_TROUBLES = ("reload", "drain", "kill")
BODY = b"a file in two halves"
HEAD_PIECE, BODY_PIECE = 30, 12  # the head is cut so far from its begin, the body so far from its end
STEP_S = 0.03  # between two troubles: requests are open over them
WORK_S = 0.06  # of a converter
KINDS = ("read", "pay", "mark")
AT_ONCE = 4  # sidecars
PLAY_S = 60.0
REPEATS = 4  # of a planted order: at some of its troubles a request may happen to be nowhere near
WARM_REQUESTS = 3
LEAST_REQUESTS, LEAST_SERVED = 10, 5  # of an order: with fewer the check says nothing

# A mistake of tests/seeded_sidecar_faults.py, and an order in which it leaves a request with no answer
PLANTED = [
    ("forget_open_on_reload", ("drain", "reload", "pieces", "kill")),
    ("forget_open_on_drain", ("pieces", "drain", "kill", "reload")),
    ("forget_on_reset", ("kill", "reload", "pieces", "drain")),
    ("ignore_pieces", ("drain", "kill", "reload", "pieces")),
    ("answer_late", ("reload", "drain", "kill", "pieces")),
    ("close_halves_on_stop", ("pieces", "reload", "stop", "drain", "kill")),
]


async def working(upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers after some work."""
    await asyncio.sleep(WORK_S)
    writer.write(OK)


class World:
    """Three converters, a sidecar's discovery agent and its application; troubles are methods."""

    def __init__(self) -> None:
        self.application = Application()
        self.steady, self.draining, self.dying = (Converter(working) for _ in range(3))
        self.agent = Agent()
        self.agents: list[Agent] = []
        self.revision = 1
        self.generation = 0  # of the converters that drain and die
        self.state = "active"  # of the one that is to drain
        self.in_pieces: list[Exchange] = []

    async def start(self) -> None:
        for converter in (self.steady, self.draining, self.dying):
            await converter.start()
        await self.new_agent()

    def stop(self) -> None:
        for converter in (self.steady, self.draining, self.dying):
            converter.vanish()
        for agent in self.agents:
            agent.stop()

    def endpoint_list(self) -> dict[str, Any]:
        return endpoint_list(
            endpoint_entry("steady", self.steady.port),
            endpoint_entry(f"draining-{self.generation}", self.draining.port, self.state),
            endpoint_entry(f"dying-{self.generation}", self.dying.port),
            rev=self.revision,
        )

    async def new_agent(self) -> None:
        self.agent = Agent(first=self.endpoint_list())
        self.agents.append(self.agent)
        await self.agent.start()

    async def renew(self, sidecar: SidecarProcess) -> None:
        """Begin anew with converters that are all well, and see the sidecar use each."""
        old = self.draining, self.dying
        self.draining, self.dying = Converter(working), Converter(working)
        await self.draining.start()
        await self.dying.start()
        self.generation += 1
        self.revision += 1
        self.state = "active"
        self.agent.first = self.endpoint_list()
        self.agent.line(self.agent.first)
        for converter in old:
            converter.vanish()
        await self.warm(sidecar)

    async def warm(self, sidecar: SidecarProcess) -> None:
        """Until each converter has had some requests, so that the sidecar sends several at once."""
        async with asyncio.timeout(PLAY_S):
            while min(len(self.draining.requests), len(self.dying.requests)) < WARM_REQUESTS:
                await self.application.fetch(sidecar, "read")
                await asyncio.sleep(STEP_S / 2)

    async def burst(self, sidecar: SidecarProcess) -> None:
        """A whole request of each kind, twice."""
        for kind in KINDS * 2:
            await self.application.fetch(sidecar, kind)

    async def reload(self, sidecar: SidecarProcess) -> None:
        await self.new_agent()
        sidecar.reload(self.agent)

    async def drain(self, sidecar: SidecarProcess) -> None:
        self.state = "leaving"
        self.revision += 1
        self.agent.first = self.endpoint_list()
        if self.agent.writers:  # else its first word tells it
            self.agent.line(self.agent.first)

    async def kill(self, sidecar: SidecarProcess) -> None:
        self.dying.kill_after_accept()

    async def stop_sidecar(self, sidecar: SidecarProcess) -> None:
        sidecar.stop()

    async def pieces(self, sidecar: SidecarProcess) -> None:
        """Requests of each kind of which only a part comes: one cut in the head, the others in the body too."""
        for kind in KINDS:
            body = b"" if kind == "read" else BODY
            exchange = await self.application.begin(sidecar, kind, [HEAD_PIECE], body)
            self.cut_body(exchange, len(body))
            self.in_pieces.append(exchange)

    @staticmethod
    def cut_body(exchange: Exchange, length: int) -> None:
        """Cut what is left of a request in its body, if it has one, else in its head."""
        (rest,) = exchange.rest
        edge = len(rest) - (BODY_PIECE if length else 2)
        exchange.rest = [rest[:edge], rest[edge:]]

    def next_pieces(self) -> None:
        """Of each request in pieces the next comes, but not the last."""
        for exchange in self.in_pieces:
            if len(exchange.rest) > 1:
                exchange.send_next()

    def last_pieces(self) -> None:
        """Requests in pieces come whole."""
        for exchange in self.in_pieces:
            self.application.finish(exchange)
        self.in_pieces.clear()

    async def play(self, sidecar: SidecarProcess, order: Sequence[str]) -> None:
        """The troubles in this order; requests are open over each until the sidecar is told to end."""
        trouble: dict[str, Callable[[SidecarProcess], Any]] = {
            "reload": self.reload,
            "drain": self.drain,
            "kill": self.kill,
            "pieces": self.pieces,
            "stop": self.stop_sidecar,
        }
        stopped = False
        for name in order:
            if not stopped:
                await self.burst(sidecar)
            await trouble[name](sidecar)
            stopped |= name == "stop"
            await asyncio.sleep(STEP_S)
            self.next_pieces()
        await asyncio.sleep(STEP_S)
        self.last_pieces()
        if not stopped:
            await self.burst(sidecar)


async def play_orders(folder: Path, orders: Sequence[Sequence[str]], mistake: str = "") -> list[ClientRequest]:
    """All orders one after another, with one sidecar; what its application saw. Only the last may end it."""
    world = World()
    await world.start()
    sidecar = SidecarProcess(folder, "sidecar", world.agent, world.endpoint_list(), mistake)
    try:
        await sidecar.start()
        await world.warm(sidecar)
        for number, order in enumerate(orders):
            if number:
                await world.renew(sidecar)
            await world.play(sidecar, order)
        await world.application.all_ended()
        if "stop" in orders[-1]:
            assert await sidecar.ended() == 0
    finally:
        sidecar.kill()
        world.stop()
    return world.application.requests


def stop_orders() -> list[tuple[str, ...]]:
    """Each order of the other troubles between the pieces of requests, with the stop at each place among them."""
    found = []
    for number, order in enumerate(itertools.permutations(STOPPED_TROUBLES)):
        place = number % (len(order) + 1)
        found.append(("pieces", *order[:place], "stop", *order[place:]))
    return found


def orders_from(first: str) -> list[tuple[str, ...]]:
    """The orders of all troubles but the stop that begin with this one."""
    return [order for order in itertools.permutations(TROUBLES) if order[0] == first]


async def play_all(folder: Path) -> dict[str, list[ClientRequest]]:
    """All plays by name, a few at a time, so that a busy machine keeps up; what their applications saw."""
    room = asyncio.Semaphore(AT_ONCE)

    async def play(name: str, orders: Sequence[Sequence[str]], mistake: str = "") -> tuple[str, list[ClientRequest]]:
        async with room:
            return name, await play_orders(folder / name, orders, mistake)

    plays = [play(first, orders_from(first)) for first in TROUBLES]
    plays += [play("-".join(order), [order]) for order in stop_orders()]
    plays += [play(mistake, [order] * repeats(order), mistake) for mistake, order in PLANTED]
    async with asyncio.timeout(PLAY_S):
        return dict(await asyncio.gather(*plays))


def repeats(order: Sequence[str]) -> int:
    """How often a planted order is played; a stop ends the sidecar."""
    return 1 if "stop" in order else REPEATS


@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> dict[str, list[ClientRequest]]:
    """What the applications of all plays saw."""
    return asyncio.run(play_all(tmp_path_factory.mktemp("unanswered")))


def check_amount(requests: Sequence[ClientRequest], orders: int) -> None:
    """Enough was sent and served for the check to say something."""
    assert len(requests) >= LEAST_REQUESTS * orders
    assert sum(one.status == SERVED for one in requests) >= LEAST_SERVED * orders


@pytest.mark.parametrize("first", TROUBLES)
def test_every_request_is_answered_in_time_in_each_order_of_faults(
    first: str, seen: dict[str, list[ClientRequest]]
) -> None:
    check_amount(seen[first], len(orders_from(first)))
    assert unanswered(seen[first]) == []


@pytest.mark.parametrize("order", stop_orders(), ids="-".join)
def test_every_request_is_answered_in_time_when_shutdown_comes_between_its_pieces(
    order: tuple[str, ...], seen: dict[str, list[ClientRequest]]
) -> None:
    requests = seen["-".join(order)]
    check_amount(requests, 1)
    assert unanswered(requests) == []


@pytest.mark.parametrize(("mistake", "order"), PLANTED, ids=[mistake for mistake, _ in PLANTED])
def test_check_finds_requests_left_unanswered_by_a_seeded_fault(
    mistake: str, order: tuple[str, ...], seen: dict[str, list[ClientRequest]]
) -> None:
    check_amount(seen[mistake], repeats(order))  # the rest of it works
    assert unanswered(seen[mistake])


@pytest.mark.parametrize(
    ("ended_s", "found"),
    [(None, True), (DEADLINE_S + LATEST_S + 0.01, True), (DEADLINE_S + LATEST_S - 0.01, False), (0.0, False)],
)
def test_request_counts_as_unanswered_if_its_answer_is_late_or_missing(ended_s: float | None, found: bool) -> None:
    request = ClientRequest("sidecar", "1", ended_s=ended_s)
    assert unanswered([request]) == ([request] if found else [])
