"""The sidecar must not forward requests of disconnected clients; attempts are counted at the converter."""

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
    DISCONNECT_DETECTION_S,
    DISCONNECTS,
    DISCONNECTS_AFTER_BYTES,
    SETTLE_S,
    Disconnect,
    Testbed,
    block_event_loop,
    disconnect_after_bytes,
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
from tests.sidecar_probes import DelayedConnections, record_ended_attempt_indexes, record_requests

EJECTION_WAIT_S = 1.0  # longer than an upstream is ejected after a single failure
CLOSE_TIMEOUT_S = 1.0
BODY_BYTES = 64_000  # more than the connection's buffers hold; the test reduces their sizes
Steps = Callable[[Testbed], Awaitable[None]]
Run = Callable[[Steps], None]


@pytest.fixture(name="run")
def run_fixture(monkeypatch: pytest.MonkeyPatch) -> Run:
    """Return a function that runs steps on a testbed whose converter holds back its responses."""
    accepted_requests = record_requests(monkeypatch)

    def run(steps: Steps) -> None:
        async def run_on_testbed() -> None:
            converter = manual_converter()
            async with sidecar(converter, classes=CLASSES) as running_sidecar:
                await steps(Testbed(running_sidecar, converter, accepted_requests, monkeypatch))

        run_async(run_on_testbed)

    return run


# The event loop reads the disconnect before the request could be sent


@pytest.mark.parametrize(("disconnect", "byte_count"), DISCONNECTS_AFTER_BYTES)
def test_buffered_request_is_not_sent_after_its_client_disconnected(
    disconnect: Disconnect, byte_count: int, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        await testbed.occupy_only_slot()
        client = await testbed.send_buffered_request()
        disconnect_after_bytes(client, disconnect, byte_count)
        await asyncio.sleep(DISCONNECT_DETECTION_S)
        testbed.converter.respond(OK)
        await testbed.check_only_forwarded(1)
        client.close()

    run(steps)


def test_buffered_request_is_not_sent_while_reading_from_its_client_is_paused(run: Run) -> None:
    async def steps(testbed: Testbed) -> None:
        await testbed.occupy_only_slot()
        with await testbed.send_buffered_request() as client:
            await asyncio.to_thread(client.sendall, b"x" * 500_000)
            answer = await asyncio.to_thread(client.recv, 100)  # not in the event loop, which the sidecar needs
            assert answer.startswith(b"HTTP/1.1 400 ")
            # the client is still connected, but a disconnect would go unnoticed while reading is paused
            testbed.converter.respond(OK)
            await testbed.check_only_forwarded(1)

    run(steps)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_request_is_not_sent_on_a_connection_established_after_its_client_disconnected(
    disconnect: Disconnect, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        delayed_connections = DelayedConnections()
        delayed_connections.delay(testbed.converter, testbed.monkeypatch)
        client = testbed.connect(request("pay", "2"))
        await wait_until(lambda: delayed_connections.started_count == 1)
        disconnect(client)
        await asyncio.sleep(DISCONNECT_DETECTION_S)
        delayed_connections.release.set()
        await asyncio.sleep(DISCONNECT_DETECTION_S)
        assert testbed.converter.connection_count == 1 and testbed.converter.started_attempt_count == 0
        client.close()

    run(steps)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_request_is_not_retried_after_its_client_disconnected(disconnect: Disconnect, run: Run) -> None:
    async def steps(testbed: Testbed) -> None:
        ended_attempt_indexes = record_ended_attempt_indexes(testbed.monkeypatch)
        client = testbed.connect(request("pay", "1"))
        await wait_until(lambda: len(testbed.converter.held_responses) == 1)
        testbed.converter.respond(NOT_RUN)
        await wait_until(lambda: ended_attempt_indexes == [0])
        assert testbed.converter.started_attempt_count == 1  # the retry waits, as the converter is ejected
        disconnect(client)
        await asyncio.sleep(EJECTION_WAIT_S)
        await testbed.check_only_forwarded(1)
        client.close()

    run(steps)


def test_attempt_written_in_part_is_not_continued_after_its_client_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tcp_socket = system.tcp_socket

    def socket_with_small_buffer(family: int) -> socket.socket:
        sock = tcp_socket(family)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(system, "tcp_socket", socket_with_small_buffer)

    async def test() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # smaller than the request
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            cached_list = endpoint_list(endpoint_entry("u0", listener.getsockname()[1]))
            async with sidecar(cached_list=cached_list, classes=CLASSES) as running_sidecar:
                client = socket.create_connection(("127.0.0.1", running_sidecar.port))
                client.sendall(request("pay", "2", body=b"x" * BODY_BYTES))
                converter = await asyncio.to_thread(lambda: listener.accept()[0])
                # Poll instead of blocking: the sidecar runs in the same event loop.
                await wait_until(lambda: bool(select.select([converter], [], [], 0)[0]))
                client.close()
                await asyncio.sleep(DISCONNECT_DETECTION_S)
                assert 0 < await received_body_bytes(converter) < BODY_BYTES
                converter.close()

    run_async(test)


async def received_body_bytes(converter: socket.socket) -> int:
    """Read until the connection or the body ends, and return how many bytes of the body arrived."""
    converter.settimeout(CLOSE_TIMEOUT_S)
    received_bytes = 0
    while received_bytes < BODY_BYTES and (data := await asyncio.to_thread(converter.recv, 65_536)):
        received_bytes += data.count(b"x")
    return received_bytes


# The event loop is delayed: it has not read the disconnect yet when the request could be sent


@pytest.mark.parametrize(("disconnect", "byte_count"), DISCONNECTS_AFTER_BYTES)
@pytest.mark.parametrize("slot_first", [False, True])
def test_buffered_request_is_not_sent_if_slot_and_disconnect_arrive_in_one_loop_iteration(
    disconnect: Disconnect, byte_count: int, slot_first: bool, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        await testbed.occupy_only_slot()
        client = await testbed.send_buffered_request()
        events = [
            lambda: disconnect_after_bytes(client, disconnect, byte_count),
            lambda: testbed.converter.respond(OK),
        ]
        block_event_loop(*(events[::-1] if slot_first else events))
        await testbed.check_only_forwarded(1)
        client.close()

    run(steps)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("failure_first", [False, True])
def test_request_is_not_retried_if_failure_and_disconnect_arrive_in_one_loop_iteration(
    disconnect: Disconnect, failure_first: bool
) -> None:
    async def test() -> None:
        converters = manual_converter(holds_responses=False), manual_converter(holds_responses=False)
        async with sidecar(*converters, classes=CLASSES) as running_sidecar:
            while not all(converter.requests for converter in converters):  # until each has an idle connection
                assert status_of(await running_sidecar.fetch(request("pay"))) == 200
            await asyncio.sleep(SETTLE_S)
            attempt_count_before = sum(converter.started_attempt_count for converter in converters)
            for converter in converters:
                converter.holds_responses = True
            client = socket.create_connection(("127.0.0.1", running_sidecar.port))
            client.sendall(request("pay", "1"))
            await wait_until(lambda: any(converter.held_responses for converter in converters))
            failing_converter = next(converter for converter in converters if converter.held_responses)
            events = [lambda: disconnect(client), lambda: failing_converter.respond(NOT_RUN)]
            block_event_loop(*(events[::-1] if failure_first else events))
            await asyncio.sleep(2 * SETTLE_S)
            assert sum(converter.started_attempt_count for converter in converters) == attempt_count_before + 1
            client.close()

    run_async(test)


@pytest.mark.parametrize(("disconnect", "byte_count"), DISCONNECTS_AFTER_BYTES)
def test_request_is_not_sent_if_connection_and_disconnect_arrive_in_one_loop_iteration(
    disconnect: Disconnect, byte_count: int, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        connect, client_disconnected = asyncio.SelectorEventLoop.sock_connect, asyncio.Event()

        async def connect_and_block_loop(loop: asyncio.SelectorEventLoop, sock: socket.socket, address: Any) -> None:
            if address[1] == testbed.converter.port:
                loop.call_soon(
                    block_event_loop,
                    lambda: disconnect_after_bytes(client, disconnect, byte_count),
                    client_disconnected.set,
                )
            await connect(loop, sock, address)

        testbed.monkeypatch.setattr(asyncio.SelectorEventLoop, "sock_connect", connect_and_block_loop)
        client = testbed.connect(request("pay", "2"))
        await client_disconnected.wait()
        await asyncio.sleep(2 * SETTLE_S)
        assert testbed.converter.started_attempt_count == 0
        client.close()

    run(steps)


@pytest.mark.parametrize(("disconnect", "byte_count"), DISCONNECTS_AFTER_BYTES)
@pytest.mark.parametrize("wait_until_accepted", [False, True])
def test_request_is_not_sent_if_its_client_disconnected_before_it_was_read(
    disconnect: Disconnect, byte_count: int, wait_until_accepted: bool, run: Run
) -> None:
    async def steps(testbed: Testbed) -> None:
        testbed.converter.holds_responses = False
        assert status_of(await testbed.sidecar.fetch(request("pay", "1"))) == 200
        client = testbed.connect()
        await asyncio.sleep(SETTLE_S if wait_until_accepted else 0.0)
        pipelined_data = request("pay", "5", body=b"x" * byte_count) if byte_count else b""
        block_event_loop(
            lambda: client.sendall(request("pay", "2") + pipelined_data), lambda: disconnect(client), lambda: None
        )
        await testbed.check_only_forwarded(1)
        client.close()

    run(steps)


# Edge cases: a client that is still connected, and clients that close only their sending direction


def test_client_that_pipelines_and_stays_connected_is_served(run: Run) -> None:
    async def steps(testbed: Testbed) -> None:
        await testbed.occupy_only_slot()
        client = await testbed.send_buffered_request()
        block_event_loop(lambda: client.sendall(request("pay", "3")), lambda: testbed.converter.respond(OK))
        reader, writer = await asyncio.open_connection(sock=client)
        assert status_of(await read_message(reader)) == 200
        assert status_of(await read_message(reader)) == 400  # the pipelined request is rejected
        assert await reader.read() == b""
        writer.close()
        await testbed.check_only_forwarded(1, 2)

    run(steps)


def test_client_that_closes_its_sending_direction_counts_as_disconnected(run: Run) -> None:
    async def steps(testbed: Testbed) -> None:
        in_flight_client = await testbed.occupy_only_slot()
        buffered_client = await testbed.send_buffered_request()
        for client in (buffered_client, in_flight_client):
            reader, writer = await asyncio.open_connection(sock=client)
            writer.write_eof()
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                assert await reader.read() == b""
            writer.close()
        testbed.converter.respond(OK)
        await testbed.check_only_forwarded(1)

    run(steps)


@pytest.mark.parametrize("pipelined_bytes", [0, 200_000])
def test_buffered_request_is_not_sent_after_its_client_pipelined_bytes_and_disconnected(
    pipelined_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    accepted_requests = record_requests(monkeypatch)

    async def test() -> None:
        release = asyncio.Event()

        upstream = Upstream(respond_after(release))  # request 1 occupies the upstream's only slot
        classes = [RequestClass("pay", 10_000_000, 20_000_000, late_weight=0.5, idempotency=Idempotency.NON_IDEMPOTENT)]
        async with sidecar(upstream, classes=classes) as running_sidecar:
            first_response = asyncio.create_task(running_sidecar.fetch(request("pay", "1")))
            await wait_until(lambda: len(upstream.requests) == 1)
            _, writer = await running_sidecar.connect()
            writer.write(request("pay", "2"))
            # request 2 is accepted, and waits for the slot
            await wait_until(lambda: b"2" in [accepted_request.request_id for accepted_request in accepted_requests])
            writer.write(b"x" * pipelined_bytes)
            writer.write_eof()
            await asyncio.sleep(0.2)
            release.set()
            assert status_of(await first_response) == 200
            assert status_of(await running_sidecar.fetch(request("pay", "3"))) == 200
            writer.close()
        assert [b"X-Request-Id: 2\r\n" in head for head, _ in upstream.requests] == [False, False]

    run_async(test)


def test_request_is_not_sent_if_its_client_disconnects_during_upstream_connection_setup(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_connections = DelayedConnections()

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            delayed_connections.delay(upstream, monkeypatch)
            _, writer = await running_sidecar.connect()
            writer.write(request("pay", "1"))
            await wait_until(lambda: delayed_connections.started_count == 1)
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0.1)
            delayed_connections.release.set()
            assert status_of(await running_sidecar.fetch(request("pay", "2"))) == 200
        assert [b"X-Request-Id: 2\r\n" in head for head, _ in upstream.requests] == [True]

    run_async(test)
