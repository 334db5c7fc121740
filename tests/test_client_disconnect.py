"""What the sidecar still sends for a client that has disconnected, over loopback sockets, counted at the converter."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from ryepier.balancer.interface import Idempotency, RequestClass
from ryepier.sidecar import system
from tests.disconnect_testbed import (
    CLASSES,
    DISCONNECT_NOTICED_S,
    DISCONNECTS,
    DISCONNECTS_BEHIND_BYTES,
    SETTLE_S,
    Disconnect,
    Testbed,
    block_loop,
    disconnect_behind_bytes,
    manual_converter,
)
from tests.network_peers import (
    NOT_RUN,
    OK,
    Upstream,
    endpoint_entry,
    endpoint_list,
    read_message,
    request,
    respond_after,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)
from tests.sidecar_probes import DelayedConnections, record_ended_attempts, record_requests

EJECTION_S = 1.0  # longer than an upstream stays ejected after one failure
CLOSE_TIMEOUT_S = 1.0
BODY_BYTES = 64_000  # more than the buffers of a narrowed connection hold
Steps = Callable[[Testbed], Awaitable[None]]
Run = Callable[[Steps], None]


@pytest.fixture(name="run")
def run_fixture(monkeypatch: pytest.MonkeyPatch) -> Run:
    """Return a function that runs steps on a testbed whose converter holds its responses."""
    accepted = record_requests(monkeypatch)

    def run(steps: Steps) -> None:
        async def with_testbed() -> None:
            converter = manual_converter()
            async with sidecar(converter, classes=CLASSES) as running:
                await steps(Testbed(running, converter, accepted, monkeypatch))

        run_async(with_testbed)

    return run


# The event loop sees the end of the client before its request's turn comes


@pytest.mark.parametrize(("disconnect", "byte_count"), DISCONNECTS_BEHIND_BYTES)
def test_buffered_request_is_not_sent_after_its_client_disconnected(
    disconnect: Disconnect, byte_count: int, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        await testbed.occupy_only_slot()
        client = await testbed.wait_in_buffer()
        disconnect_behind_bytes(client, disconnect, byte_count)
        await asyncio.sleep(DISCONNECT_NOTICED_S)
        testbed.converter.respond(OK)
        await testbed.check_only_sent(1)
        client.close()

    run(steps)


def test_buffered_request_is_not_sent_while_reading_from_its_client_is_paused(run: Run) -> None:
    async def steps(testbed: Testbed) -> None:
        await testbed.occupy_only_slot()
        with await testbed.wait_in_buffer() as client:
            await asyncio.to_thread(client.sendall, b"x" * 500_000)
            assert client.recv(100).startswith(b"HTTP/1.1 400 ")
            testbed.converter.respond(OK)  # the client is still there; the sidecar could not see its end
            await testbed.check_only_sent(1)

    run(steps)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_request_is_not_sent_on_a_connection_established_after_its_client_disconnected(
    disconnect: Disconnect, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        delayed = DelayedConnections()
        delayed.delay(testbed.converter, testbed.monkeypatch)
        client = testbed.connect(request("pay", "2"))
        await wait_until(lambda: delayed.started == 1)
        disconnect(client)
        await asyncio.sleep(DISCONNECT_NOTICED_S)
        delayed.released.set()
        await asyncio.sleep(DISCONNECT_NOTICED_S)
        assert testbed.converter.connections == 1 and testbed.converter.started == 0
        client.close()

    run(steps)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_request_is_not_retried_after_its_client_disconnected(disconnect: Disconnect, run: Run) -> None:
    async def steps(testbed: Testbed) -> None:
        ended = record_ended_attempts(testbed.monkeypatch)
        client = testbed.connect(request("pay", "1"))
        await wait_until(lambda: len(testbed.converter.held) == 1)
        testbed.converter.respond(NOT_RUN)
        await wait_until(lambda: ended == [0])
        assert testbed.converter.started == 1  # it is ejected before the retry
        disconnect(client)
        await asyncio.sleep(EJECTION_S)
        await testbed.check_only_sent(1)
        client.close()

    run(steps)


def test_attempt_written_in_part_is_not_continued_after_its_client_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tcp_socket = system.tcp_socket

    def narrow_socket(family: int) -> socket.socket:
        sock = tcp_socket(family)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(system, "tcp_socket", narrow_socket)

    async def test() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # too small for a complete request
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            cached_list = endpoint_list(endpoint_entry("u0", listener.getsockname()[1]))
            async with sidecar(cached_list=cached_list, classes=CLASSES) as running:
                client = socket.create_connection(("127.0.0.1", running.port))
                client.sendall(request("pay", "2", body=b"x" * BODY_BYTES))
                converter = await asyncio.to_thread(lambda: listener.accept()[0])
                # Poll: the sidecar shares this loop, and could not write while it blocks.
                await wait_until(lambda: bool(select.select([converter], [], [], 0)[0]))
                client.close()
                await asyncio.sleep(DISCONNECT_NOTICED_S)
                assert 0 < await received_body_bytes(converter) < BODY_BYTES
                converter.close()

    run_async(test)


async def received_body_bytes(converter: socket.socket) -> int:
    """Read to the end of the connection, or of the body, and return how many bytes of the body arrived."""
    converter.settimeout(CLOSE_TIMEOUT_S)
    count = 0
    while count < BODY_BYTES and (data := await asyncio.to_thread(converter.recv, 65_536)):
        count += data.count(b"x")
    return count


# A late event loop: the end of the client waits to be read when its request's turn comes


@pytest.mark.parametrize(("disconnect", "byte_count"), DISCONNECTS_BEHIND_BYTES)
@pytest.mark.parametrize("slot_first", [False, True])
def test_buffered_request_is_not_sent_in_the_turn_that_brings_both_slot_and_disconnect(
    disconnect: Disconnect, byte_count: int, slot_first: bool, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        await testbed.occupy_only_slot()
        client = await testbed.wait_in_buffer()
        events = [
            lambda: disconnect_behind_bytes(client, disconnect, byte_count),
            lambda: testbed.converter.respond(OK),
        ]
        block_loop(*(events[::-1] if slot_first else events))
        await testbed.check_only_sent(1)
        client.close()

    run(steps)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("failure_first", [False, True])
def test_request_is_not_retried_in_the_turn_that_brings_both_failure_and_disconnect(
    disconnect: Disconnect, failure_first: bool
) -> None:
    async def test() -> None:
        converters = manual_converter(is_holding=False), manual_converter(is_holding=False)
        async with sidecar(*converters, classes=CLASSES) as running:
            while not all(converter.requests for converter in converters):  # each has an idle connection then
                assert status_of(await running.fetch(request("pay"))) == 200
            await asyncio.sleep(SETTLE_S)
            started_before = sum(converter.started for converter in converters)
            for converter in converters:
                converter.is_holding = True
            client = socket.create_connection(("127.0.0.1", running.port))
            client.sendall(request("pay", "1"))
            await wait_until(lambda: any(converter.held for converter in converters))
            failing = next(converter for converter in converters if converter.held)
            events = [lambda: disconnect(client), lambda: failing.respond(NOT_RUN)]
            block_loop(*(events[::-1] if failure_first else events))
            await asyncio.sleep(2 * SETTLE_S)
            assert sum(converter.started for converter in converters) == started_before + 1
            client.close()

    run_async(test)


@pytest.mark.parametrize(("disconnect", "byte_count"), DISCONNECTS_BEHIND_BYTES)
def test_request_is_not_sent_on_a_connection_established_in_the_turn_that_brings_the_disconnect(
    disconnect: Disconnect, byte_count: int, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        connect, disconnected = asyncio.SelectorEventLoop.sock_connect, asyncio.Event()

        async def connect_in_late_turn(loop: asyncio.SelectorEventLoop, sock: socket.socket, address: Any) -> None:
            if address[1] == testbed.converter.port:
                loop.call_soon(
                    block_loop, lambda: disconnect_behind_bytes(client, disconnect, byte_count), disconnected.set
                )
            await connect(loop, sock, address)

        testbed.monkeypatch.setattr(asyncio.SelectorEventLoop, "sock_connect", connect_in_late_turn)
        client = testbed.connect(request("pay", "2"))
        await disconnected.wait()
        await asyncio.sleep(2 * SETTLE_S)
        assert testbed.converter.started == 0
        client.close()

    run(steps)


@pytest.mark.parametrize(("disconnect", "byte_count"), DISCONNECTS_BEHIND_BYTES)
@pytest.mark.parametrize("accepted", [False, True])
def test_request_is_not_sent_if_its_client_disconnected_before_it_was_read(
    disconnect: Disconnect, byte_count: int, accepted: bool, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        testbed.converter.is_holding = False
        assert status_of(await testbed.sidecar.fetch(request("pay", "1"))) == 200
        client = testbed.connect()
        await asyncio.sleep(SETTLE_S if accepted else 0.0)
        behind = request("pay", "5", body=b"x" * byte_count) if byte_count else b""
        block_loop(lambda: client.sendall(request("pay", "2") + behind), lambda: disconnect(client), lambda: None)
        await testbed.check_only_sent(1)
        client.close()

    run(steps)


# Clients at the boundary: one that is still connected, and one that ends only its sending


def test_client_that_pipelines_and_stays_connected_is_served(run: Run) -> None:
    async def steps(testbed: Testbed) -> None:
        await testbed.occupy_only_slot()
        client = await testbed.wait_in_buffer()
        block_loop(lambda: client.sendall(request("pay", "3")), lambda: testbed.converter.respond(OK))
        reader, writer = await asyncio.open_connection(sock=client)
        assert status_of(await read_message(reader)) == 200
        assert status_of(await read_message(reader)) == 400  # the pipelined request is rejected
        assert await reader.read() == b""
        writer.close()
        await testbed.check_only_sent(1, 2)

    run(steps)


def test_client_that_ends_its_sending_counts_as_disconnected_and_its_connection_closes(run: Run) -> None:
    async def steps(testbed: Testbed) -> None:
        in_flight = await testbed.occupy_only_slot()
        buffered = await testbed.wait_in_buffer()
        for client in (buffered, in_flight):
            reader, writer = await asyncio.open_connection(sock=client)
            writer.write_eof()
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                assert await reader.read() == b""
            writer.close()
        testbed.converter.respond(OK)
        await testbed.check_only_sent(1)

    run(steps)


@pytest.mark.parametrize("behind", [0, 200_000])
def test_buffered_request_is_not_sent_after_its_client_left_whatever_it_pipelined(
    behind: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = record_requests(monkeypatch)

    async def test() -> None:
        let = asyncio.Event()

        upstream = Upstream(respond_after(let))  # one slot
        kinds = [RequestClass("pay", 10_000_000, 20_000_000, late_weight=0.5, idempotency=Idempotency.NON_IDEMPOTENT)]
        async with sidecar(upstream, classes=kinds) as it:
            first = asyncio.create_task(it.fetch(request("pay", "1")))
            await wait_until(lambda: len(upstream.requests) == 1)
            _, writer = await it.connect()
            writer.write(request("pay", "2"))
            await wait_until(lambda: b"2" in [call.request_id for call in calls])  # it waits for the slot
            writer.write(b"x" * behind)
            writer.write_eof()
            await asyncio.sleep(0.2)
            let.set()
            assert status_of(await first) == 200
            assert status_of(await it.fetch(request("pay", "3"))) == 200
            writer.close()
        assert [b"X-Request-Id: 2\r\n" in head for head, _ in upstream.requests] == [False, False]

    run_async(test)


def test_request_is_not_sent_if_its_client_left_while_its_connection_was_established(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = DelayedConnections()

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            held.delay(upstream, monkeypatch)
            _, writer = await it.connect()
            writer.write(request("pay", "1"))
            await wait_until(lambda: held.started == 1)
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0.1)
            held.released.set()
            assert status_of(await it.fetch(request("pay", "2"))) == 200
        assert [b"X-Request-Id: 2\r\n" in head for head, _ in upstream.requests] == [True]

    run_async(test)
