"""Planners and forwarders over sockets: delivery of plans, failover, hung planners, and rejection of invalid peers."""

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

RULES = AcceptanceRules(fleet_size=2, min_window_ms=100)
UPSTREAM_IDS = {f"c{i}": i for i in range(6)}


def run_bounded(test: Callable[[], Awaitable[None]]) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(3 * HANG_TIMEOUT_S):
            await test()

    asyncio.run(run_with_timeout())


@asynccontextmanager
async def run_planner(
    port: int, name: str = "a", peers: dict[str, int] | None = None, max_forwarders: int = 10
) -> AsyncIterator[planner_server.PlannerServer]:
    peer_addresses = {peer: ("127.0.0.1", peer_port) for peer, peer_port in (peers or {}).items()}
    server = planner_server.PlannerServer(
        planner_server.Settings(name, ("127.0.0.1", port), peer_addresses, RULES, [], [], max_forwarders),
        make_machine(name),
    )
    stop = asyncio.Event()
    task = asyncio.create_task(server.run(stop))
    try:
        yield server
    finally:
        stop.set()
        await task


class ForwarderTestbed:
    """A forwarder to which attempts at six converters are reported; converter 3 never answers.

    `plans` are the events that the forwarder has published.
    """

    def __init__(self, name: str, *ports: int) -> None:
        self.plans: list[PlanUpdated] = []
        self.forwarder = forwarder.Forwarder(
            forwarder.Settings(name, [("127.0.0.1", port) for port in ports], RULES, report_interval_s=0.1),
            forwarder.SidecarInterface(lambda: UPSTREAM_IDS, self.plans.append, [50_000], 1),
            make_machine(name),
        )
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.forwarder.start()
        self.task = asyncio.create_task(self.simulate_attempts())

    async def simulate_attempts(self) -> None:
        token = 0
        while True:
            for upstream_id in UPSTREAM_IDS.values():
                token += 1
                self.forwarder.on_attempt_started(upstream_id, token, 0)
                if upstream_id != 3:
                    self.forwarder.on_attempt_ended(upstream_id, token, Outcome.OK, 20_000)
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        self.forwarder.stop()
        if self.task is not None:
            self.task.cancel()

    def ejected_upstreams(self) -> set[int]:
        return {advice.upstream for advice in self.plans[-1].advice if advice.ejected} if self.plans else set()


@asynccontextmanager
async def run_forwarder_testbeds(*ports: int) -> AsyncIterator[list[ForwarderTestbed]]:
    testbeds = [ForwarderTestbed(f"f{i}", *ports) for i in range(6)]
    for testbed in testbeds:
        testbed.start()
    try:
        yield testbeds
    finally:
        for testbed in testbeds:
            testbed.stop()


async def run_command(*arguments: str) -> str:
    """Run `ryepier` as a subprocess and return its output; fails on an error status."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ryepier", *arguments, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    return output.decode()


def test_failing_converter_is_ejected_and_the_peer_takes_over_from_the_leader() -> None:
    async def test() -> None:
        ports = [free_port(), free_port()]
        async with run_planner(ports[1], "b", {"a": ports[0]}) as standby:
            async with run_planner(ports[0], "a", {"b": ports[1]}), run_forwarder_testbeds(*ports) as testbeds:
                # three of six are enough, as the other forwarders may be sending trial requests
                await wait_until(lambda: sum(testbed.ejected_upstreams() == {3} for testbed in testbeds) >= 3)
                assert all(testbed.forwarder.plan_follower.term.planner == "a" for testbed in testbeds)
                assert "c3: ejected" in await run_command("plan", "explain", "c3", f"127.0.0.1:{ports[0]}")
                plan = json.loads(await run_command("plan", "show", f"127.0.0.1:{ports[0]}", "--json"))
                assert list(plan["entries"]) == ["c3"] and plan["term"][1] == "a"
                assert not standby.leadership.is_leader
            async with run_forwarder_testbeds(*ports) as testbeds:
                await wait_until(
                    lambda: all(testbed.forwarder.plan_follower.term.planner == "b" for testbed in testbeds)
                )
                assert standby.leadership.highest_term.epoch >= 2

    run_bounded(test)


def test_connection_to_a_hung_planner_is_closed_and_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarder, "SILENCE_TIMEOUT_US", 200_000)

    async def test() -> None:
        connection_count = 0

        async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connection_count
            connection_count += 1
            await asyncio.sleep(HANG_TIMEOUT_S)

        server = await asyncio.start_server(hang, "127.0.0.1", 0)
        testbed = ForwarderTestbed("f", server.sockets[0].getsockname()[1])
        testbed.start()
        await wait_until(lambda: connection_count >= 3)
        assert len(testbed.forwarder.connections) <= 1 and testbed.plans == []
        testbed.stop()
        server.close()

    run_bounded(test)


async def exchange(port: int, data: bytes) -> list[Message]:
    """Send bytes to a planner and return the messages that it sends before it closes the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(HANG_TIMEOUT_S):
        replies = FrameDecoder().feed(await reader.read())
    writer.close()
    return replies


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        (MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"),
        encode(Hello(VERSION + 1, "f", 1)),
        encode(Report(1, 1, {}, {}, [], [], 0)),  # a report without a hello before it
        encode(Hello(VERSION, "f", 1)) * 2,
        b"\x00\x00\x00\x01\xc1",  # not valid MessagePack
    ],
)
def test_invalid_peer_is_rejected_and_the_planner_continues(data: bytes) -> None:
    async def test() -> None:
        port = free_port()
        async with run_planner(port) as server:
            await wait_until(lambda: server.counts is not None)
            await asyncio.sleep(0.05)
            replies = [message for message in await exchange(port, data) if isinstance(message, Rejection)]
            assert len(replies) == 1 and replies[0].reason
            await wait_until(lambda: not server.connections)

    run_bounded(test)


def test_forwarder_beyond_the_limit_gets_a_retry_time() -> None:
    async def test() -> None:
        port = free_port()
        async with run_planner(port, max_forwarders=0):
            await asyncio.sleep(0.05)
            replies = await exchange(port, encode(Hello(VERSION, "f", 1)))
            assert [message.retry_ms for message in replies if isinstance(message, Rejection)] == [
                planner_server.BUSY_RETRY_MS
            ]

    run_bounded(test)
