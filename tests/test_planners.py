"""Planners and forwarders over sockets: plans arrive, hanging and dead planners are left, bad peers are refused."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from ryepier.assembly.planning import make_machine
from ryepier.balancer.interface import Outcome, PlanUpdated
from ryepier.plan import forwarder, planner_server
from ryepier.plan.messages import MAX_MESSAGE_BYTES, VERSION, FrameDecoder, Hello, Message, Rejection, Report, encode
from ryepier.plan.plan_follower import AcceptanceRules
from tests.loopback_ports import free_port
from tests.network_peers import HANG_TIMEOUT_S, wait_until

RULES = AcceptanceRules(fleet=2, min_window_ms=100)
IDENTS = {f"c{i}": i for i in range(6)}


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(3 * HANG_TIMEOUT_S):
            await test()

    asyncio.run(limited())


@asynccontextmanager
async def a_planner(
    port: int, name: str = "a", peers: dict[str, int] | None = None, most: int = 10
) -> AsyncIterator[planner_server.PlannerServer]:
    others = {peer: ("127.0.0.1", at) for peer, at in (peers or {}).items()}
    server = planner_server.PlannerServer(
        planner_server.Settings(name, ("127.0.0.1", port), others, RULES, [], [], most), make_machine(name)
    )
    stop = asyncio.Event()
    task = asyncio.create_task(server.run(stop))
    try:
        yield server
    finally:
        stop.set()
        await task


class Sidecar:
    """A forwarder that sends to six converters, of which one never answers."""

    def __init__(self, name: str, *ports: int) -> None:
        self.plans: list[PlanUpdated] = []
        self.forwarder = forwarder.Forwarder(
            forwarder.Settings(name, [("127.0.0.1", port) for port in ports], RULES, report_interval_s=0.1),
            forwarder.Sidecar(lambda: IDENTS, self.plans.append, [50_000], 1),
            make_machine(name),
        )
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.forwarder.start()
        self.task = asyncio.create_task(self.send())

    async def send(self) -> None:
        token = 0
        while True:
            for ident in IDENTS.values():
                token += 1
                self.forwarder.on_attempt_started(ident, token, 0)
                if ident != 3:
                    self.forwarder.on_attempt_ended(ident, token, Outcome.OK, 20_000)
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        self.forwarder.stop()
        if self.task is not None:
            self.task.cancel()

    def rests(self) -> set[int]:
        return {one.upstream for one in self.plans[-1].advice if one.ejected} if self.plans else set()


@asynccontextmanager
async def sidecars(*ports: int) -> AsyncIterator[list[Sidecar]]:
    made = [Sidecar(f"f{i}", *ports) for i in range(6)]
    for one in made:
        one.start()
    try:
        yield made
    finally:
        for one in made:
            one.stop()


async def command(*arguments: str) -> str:
    """What `ryepier` prints, run as a person would."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ryepier", *arguments, stdout=asyncio.subprocess.PIPE
    )
    said, _ = await process.communicate()
    assert process.returncode == 0
    return said.decode()


def test_failing_converter_is_ejected_at_all_forwarders_and_the_peer_continues_without_the_leader() -> None:
    async def test() -> None:
        ports = [free_port(), free_port()]
        async with a_planner(ports[1], "b", {"a": ports[0]}) as second:
            async with a_planner(ports[0], "a", {"b": ports[1]}), sidecars(*ports) as made:
                await wait_until(
                    lambda: sum(one.rests() == {3} for one in made) >= 3
                )  # the others try it at their turn
                assert all(one.forwarder.follower.term.planner == "a" for one in made)
                assert "c3: ejected" in await command("plan", "explain", "c3", f"127.0.0.1:{ports[0]}")
                shown = json.loads(await command("plan", "show", f"127.0.0.1:{ports[0]}", "--json"))
                assert list(shown["entries"]) == ["c3"] and shown["term"][1] == "a"
                assert not second.leadership.is_leader
            async with sidecars(*ports) as made:
                await wait_until(lambda: all(one.forwarder.follower.term.planner == "b" for one in made))
                assert second.leadership.highest_term.epoch >= 2

    run(test)


def test_hanging_planner_is_left_and_reports_do_not_accumulate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarder, "SILENCE_TIMEOUT_US", 200_000)

    async def test() -> None:
        calls = 0

        async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await asyncio.sleep(HANG_TIMEOUT_S)

        server = await asyncio.start_server(hang, "127.0.0.1", 0)
        one = Sidecar("f", server.sockets[0].getsockname()[1])
        one.start()
        await wait_until(lambda: calls >= 3)
        assert len(one.forwarder.connections) <= 1 and one.plans == []
        one.stop()
        server.close()

    run(test)


async def answers(port: int, data: bytes) -> list[Message]:
    """What a planner says to these bytes before it closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(HANG_TIMEOUT_S):
        said = FrameDecoder().feed(await reader.read())
    writer.close()
    return said


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        (MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"),
        encode(Hello(VERSION + 1, "f", 1)),
        encode(Report(1, 1, {}, {}, [], [], 0)),
        encode(Hello(VERSION, "f", 1)) * 2,
        b"\x00\x00\x00\x01\xc1",
    ],
)
def test_invalid_peer_gets_a_refusal_and_the_planner_continues(data: bytes) -> None:
    async def test() -> None:
        port = free_port()
        async with a_planner(port) as server:
            await wait_until(lambda: server.counts is not None)
            await asyncio.sleep(0.05)
            said = [message for message in await answers(port, data) if isinstance(message, Rejection)]
            assert len(said) == 1 and said[0].reason
            await wait_until(lambda: not server.connections)

    run(test)


def test_forwarder_beyond_the_limit_gets_a_retry_time() -> None:
    async def test() -> None:
        port = free_port()
        async with a_planner(port, most=0):
            await asyncio.sleep(0.05)
            said = await answers(port, encode(Hello(VERSION, "f", 1)))
            assert [message.retry_ms for message in said if isinstance(message, Rejection)] == [
                planner_server.BUSY_RETRY_MS
            ]

    run(test)
