"""Connections to upstreams: reuse, bounds, late connections, malformed responses."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
from functools import partial
from typing import Any

import pytest

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import AttemptEnded, Event, Idempotency, IdempotencyScope, Outcome, RequestClass
from ryepier.sidecar import connection_pool
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.requests import AttemptResult, ClientRequest
from ryepier.sidecar.system import clock_us
from ryepier.sidecar.upstream_attempt import UpstreamAttempt
from ryepier.sidecar.upstream_connection import ConnectionState, UpstreamConnection
from tests.network_peers import (
    ATTEMPT_TIMEOUT_US,
    HANG_TIMEOUT_S,
    OK,
    Discovery,
    Upstream,
    endpoint_entry,
    endpoint_list,
    never_respond,
    read_message,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)
from tests.sidecar_probes import DelayedConnections


def test_connection_is_reused_unless_surplus_bytes_arrived_or_it_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "MIN_IDLE_BEFORE_REUSE_US", 0)  # allows reuse at once

    async def test() -> None:
        surplus_response, closing_response = (
            OK + b"HTTP/1.1 200 OK\r\n",
            OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"),
        )
        upstream = Upstream(respond_in_turn(OK, surplus_response, OK, closing_response, OK))
        async with sidecar(upstream) as running_sidecar:
            for number in range(5):
                assert (await running_sidecar.fetch(request(request_id=str(number))))[1] == b"done"
        assert upstream.connection_count == 3

    run_async(test)


def test_connection_is_reused_per_upstream_and_not_per_address(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "MIN_IDLE_BEFORE_REUSE_US", 0)  # allows reuse at once

    async def test() -> None:
        release, discovery = asyncio.Event(), Discovery()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if request_index == 1:
                await release.wait()
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream, discovery=discovery) as running_sidecar:
            await discovery.wait_for_watch()
            assert status_of(await running_sidecar.fetch(request())) == 200
            reader, writer = await running_sidecar.connect()
            writer.write(request())
            await wait_until(lambda: len(upstream.requests) == 2)
            # a new upstream gets the address of the leaving one, which is removed further below
            discovery.send_list(
                endpoint_list(
                    endpoint_entry("u0", upstream.port, "leaving"),
                    endpoint_entry("new", upstream.port),
                    rev=2,
                    full=False,
                )
            )
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while len(upstream.requests) < 3:
                    await running_sidecar.fetch(request())
            assert upstream.connection_count == 2
            discovery.send_list(endpoint_list(endpoint_entry("u0", upstream.port, "left"), rev=3, full=False))
            release.set()
            assert status_of(await read_message(reader)) == 200
            for _ in range(3):  # the old upstream's connection is not reused, the new one's is kept
                assert status_of(await running_sidecar.fetch(request())) == 200
            assert upstream.connection_count == 2
            writer.close()

    run_async(test)


def test_connections_to_upstreams_are_bounded() -> None:
    async def test() -> None:
        pool, results = ConnectionPool(60_000_000, 10_000_000, max_connections=2), list[AttemptResult]()
        upstreams = [Upstream(respond_in_turn(OK)), Upstream(never_respond), Upstream(never_respond)]
        for upstream in upstreams:
            await upstream.start()
        client_request = ClientRequest(b"POST", b"/pay", [], b"", 0, 0, 1)

        def start_attempt(upstream_id: int) -> UpstreamAttempt:
            return pool.start_attempt(
                upstream_id,
                ("127.0.0.1", upstreams[upstream_id].port),
                client_request,
                ATTEMPT_TIMEOUT_US,
                results.append,
            )

        start_attempt(0)
        await wait_until(lambda: len(results) == 1)
        assert results[0].outcome is Outcome.OK and len(pool.idle_connections[0]) == 1
        blocking_attempts = [start_attempt(1), start_attempt(2)]  # the idle connection is closed to make room for these
        await wait_until(lambda: sum(len(upstream.requests) for upstream in upstreams) == 3)
        assert pool.idle_connections == {}
        start_attempt(0)
        await wait_until(lambda: len(results) == 2)
        assert results[1].outcome is Outcome.CONNECT_FAILED
        for attempt in blocking_attempts:
            attempt.cancel()
        start_attempt(0).cancel()  # cancelled before its dial begins
        await wait_until(lambda: not pool.dial_tasks and pool.connections == {})
        assert len(upstreams[0].requests) == 1
        for upstream in upstreams:
            upstream.stop()
        pool.sweep_timer.cancel()

    run_async(test)


def test_connections_are_not_reused_after_an_idle_time_at_which_others_broke() -> None:
    async def test() -> None:
        pool = ConnectionPool(60_000_000, 10_000_000, max_connections=10)
        for _ in range(30):
            assert pool.may_reuse(200_000) and pool.may_reuse(20_000)
            pool.record_reuse(200_000, broke=False)
            pool.record_reuse(20_000, broke=False)
        for _ in range(3):
            pool.record_reuse(200_000, broke=True)
        assert not pool.may_reuse(210_000) and pool.may_reuse(20_000) and pool.may_reuse(2_000_000)
        await wait_until(lambda: pool.may_reuse(200_000))  # reuse is tried again later
        pool.sweep_timer.cancel()

    async def test_over_sockets() -> None:
        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            await read_message(reader)  # the next request on the connection breaks it
            writer.transport.abort()
            raise ConnectionResetError

        def has_results(count: int) -> bool:
            return len(results) == count

        upstream, results = Upstream(script), list[AttemptResult]()
        await upstream.start()
        pool = ConnectionPool(60_000_000, 10_000_000, max_connections=10)
        client_request = ClientRequest(b"POST", b"/pay", [], b"", 0, 0, 1)
        for number in range(80):
            pool.start_attempt(1, ("127.0.0.1", upstream.port), client_request, ATTEMPT_TIMEOUT_US, results.append)
            await wait_until(partial(has_results, number + 1))
        # If idle connections were always reused, every second request would fail, as the upstream resets each
        # connection on its second request.
        assert 0 < [result.outcome for result in results].count(Outcome.RESET) < 30
        upstream.stop()
        pool.sweep_timer.cancel()

    run_async(test)
    run_async(test_over_sockets)


@pytest.mark.parametrize(
    "malformed_response",
    [
        b"\x01noise\r\n\r\n",
        b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 40_000,
        b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" * 9000,
    ],
)
def test_malformed_response_is_not_retried_and_ejects_no_upstream(malformed_response: bytes) -> None:
    async def test() -> None:
        outcomes = list[Outcome]()
        handle = Balancer.handle

        def record_outcomes(self: Balancer, now_us: int, event: Event) -> list[Any]:
            if isinstance(event, AttemptEnded):
                outcomes.append(event.outcome)
            return handle(self, now_us, event)

        upstream = Upstream(respond_in_turn(malformed_response, OK))
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Balancer, "handle", record_outcomes)
            async with sidecar(upstream) as running_sidecar:
                assert status_of(await running_sidecar.fetch(request("pay"))) == 500
                assert status_of(await running_sidecar.fetch(request("pay"))) == 200
        assert outcomes == [Outcome.MALFORMED_RESPONSE, Outcome.OK] and upstream.connection_count == 2

    run_async(test)


def test_idle_connection_is_closed_before_the_upstream_would_close_it() -> None:
    async def test() -> None:
        connection_ended = asyncio.Event()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if not await reader.read(1):
                connection_ended.set()
            raise ConnectionResetError

        async with sidecar(Upstream(script), upstream_idle_timeout_us=400_000) as running_sidecar:
            await running_sidecar.fetch(request())
            await connection_ended.wait()

    run_async(test)


@pytest.mark.parametrize("early_response", [b"", OK])
def test_incompletely_written_request_never_ran_and_its_connection_closes(early_response: bytes) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        pool, results = ConnectionPool(60_000_000, 10_000_000, max_connections=10), list[AttemptResult]()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            sock, peer = socket.socket(), None
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.connect(listener.getsockname())
            sock.setblocking(False)
            peer, _ = listener.accept()
        connection = UpstreamConnection(pool, 1, sock)
        client_request = ClientRequest(b"POST", b"/pay", [], b"x" * 1_000_000, 0, 0, 1)
        connection.attempt = UpstreamAttempt(
            client_request, ("127.0.0.1", 1), clock_us() + ATTEMPT_TIMEOUT_US, results.append
        )
        await loop.create_connection(lambda: connection, sock=sock)
        assert connection.partly_written
        if early_response:
            peer.sendall(early_response)
            await wait_until(lambda: bool(results))
        peer.close()
        await wait_until(lambda: bool(results))
        assert [result.outcome for result in results] == [
            Outcome.MALFORMED_RESPONSE if early_response else Outcome.CONNECT_FAILED
        ]
        assert pool.idle_connections == {} and pool.connections == {} and connection.state is not ConnectionState.OPEN
        pool.sweep_timer.cancel()

    run_async(test)


def test_request_is_not_written_after_its_idempotency_window_on_a_late_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    classes = [
        RequestClass(
            "mark",
            2_000_000,
            6_000_000,
            late_weight=0.5,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            idempotency_scope=IdempotencyScope.FAILURE_DOMAIN,
            idempotency_window_us=600_000,
        )
    ]
    delayed_connections = DelayedConnections()

    async def test() -> None:
        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            delayed_connections.delay(second_upstream if upstream is first_upstream else first_upstream, monkeypatch)
            writer.transport.abort()  # the request may have run, so it is retried only in the same failure domain
            raise ConnectionResetError

        first_upstream, second_upstream = Upstream(script), Upstream(script)
        async with sidecar(first_upstream, second_upstream, classes=classes, hedging=False) as running_sidecar:
            response = asyncio.create_task(running_sidecar.fetch(request("mark", deadline_ms=6_000)))
            await wait_until(lambda: delayed_connections.started_count == 1)
            await asyncio.sleep(0.7)
            delayed_connections.release.set()
            assert status_of(await response) == 500
            assert len(first_upstream.requests) + len(second_upstream.requests) == 1

    run_async(test)


def test_attempt_started_before_a_drain_is_not_sent_on_a_late_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_connections, discovery = DelayedConnections(), Discovery()

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream, discovery=discovery, polls_endpoints=False) as running_sidecar:
            await discovery.wait_for_watch()
            delayed_connections.delay(upstream, monkeypatch)
            response = asyncio.create_task(running_sidecar.fetch(request("pay")))
            await wait_until(lambda: delayed_connections.started_count == 1)
            discovery.send_list(endpoint_list(endpoint_entry("u0", upstream.port, "leaving"), rev=2, full=False))
            await asyncio.sleep(0.1)
            delayed_connections.release.set()
            assert status_of(await response) == 503
        assert upstream.requests == []

    run_async(test)


def test_attempt_started_just_before_its_upstream_is_removed_is_not_sent() -> None:
    async def test() -> None:
        upstream, results = Upstream(respond_in_turn(OK)), list[AttemptResult]()
        await upstream.start()
        pool = ConnectionPool(60_000_000, 10_000_000, max_connections=10)
        client_request = ClientRequest(b"POST", b"/pay", [], b"", 0, 0, 1)
        pool.start_attempt(1, ("127.0.0.1", upstream.port), client_request, ATTEMPT_TIMEOUT_US, results.append)
        pool.remove_upstream(1)  # before the dial task runs
        assert not results
        await wait_until(lambda: bool(results))
        assert results[0].outcome is Outcome.CONNECT_FAILED
        # the upstream is listed again
        pool.start_attempt(1, ("127.0.0.1", upstream.port), client_request, ATTEMPT_TIMEOUT_US, results.append)
        await wait_until(lambda: len(results) == 2)
        assert results[1].outcome is Outcome.OK and len(upstream.requests) == 1
        upstream.stop()
        pool.sweep_timer.cancel()

    run_async(test)


def test_late_second_response_is_not_taken_for_that_of_the_next_request() -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if request_index == 0:
                await asyncio.sleep(0.005)
                writer.write(OK.replace(b"done", b"late"))
                await reader.read()
                raise ConnectionResetError

        upstream = Upstream(script)
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            for _ in range(2):  # the second request is sent as soon as the first is answered
                writer.write(request("pay"))
                assert (await read_message(reader))[1] == b"done"
            writer.close()
        assert upstream.connection_count == 2

    run_async(test)


# Guards against a second response that its system holds back until the first is acknowledged: it reached the client of
# the next request on the connection.
def test_responses_are_acknowledged_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "MIN_IDLE_BEFORE_REUSE_US", 0)  # allows reuse at once

    async def test() -> None:
        unacknowledged_bytes: list[int] = []

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            await asyncio.sleep(0.005)  # an acknowledgement may be delayed by 40 ms
            send_queue_size = fcntl.ioctl(writer.get_extra_info("socket"), termios.TIOCOUTQ, bytes(4))
            unacknowledged_bytes.append(int.from_bytes(send_queue_size, sys.byteorder))

        upstream = Upstream(script)
        async with sidecar(upstream) as running_sidecar:
            for _ in range(60):  # at the start of a connection the system delays no acknowledgement
                assert status_of(await running_sidecar.fetch(request())) == 200
                await asyncio.sleep(0.01)
        assert upstream.connection_count == 1 and unacknowledged_bytes == [0] * 60

    run_async(test)
