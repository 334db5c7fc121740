"""Connections to upstreams: reuse, bounds, late connections, malformed responses."""

from __future__ import annotations

import asyncio
import socket
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


def test_connection_is_reused_unless_it_brought_surplus_bytes_or_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "LATE_RESPONSE_US", 0)  # requests come one right after the other

    async def test() -> None:
        more, closing = OK + b"HTTP/1.1 200 OK\r\n", OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
        upstream = Upstream(respond_in_turn(OK, more, OK, closing, OK))
        async with sidecar(upstream) as it:
            for number in range(5):
                assert (await it.fetch(request(ident=str(number))))[1] == b"done"
        assert upstream.connections == 3

    run_async(test)


def test_connection_is_reused_by_upstream_and_not_by_address(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "LATE_RESPONSE_US", 0)  # requests come one right after the other

    async def test() -> None:
        held, discovery = asyncio.Event(), Discovery()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if number == 1:
                await held.wait()
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream, discovery=discovery) as it:
            await discovery.watched()
            assert status_of(await it.fetch(request())) == 200
            reader, writer = await it.connect()
            writer.write(request())
            await wait_until(lambda: len(upstream.requests) == 2)
            # another comes to the address of the one that leaves, and then the old one has gone
            discovery.line(
                endpoint_list(
                    endpoint_entry("u0", upstream.port, "leaving"),
                    endpoint_entry("new", upstream.port),
                    rev=2,
                    full=False,
                )
            )
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while len(upstream.requests) < 3:
                    await it.fetch(request())
            assert upstream.connections == 2
            discovery.line(endpoint_list(endpoint_entry("u0", upstream.port, "left"), rev=3, full=False))
            held.set()
            assert status_of(await read_message(reader)) == 200
            for _ in range(3):  # the old one's connection does not come back, the new one's stays
                assert status_of(await it.fetch(request())) == 200
            assert upstream.connections == 2
            writer.close()

    run_async(test)


def test_connections_to_upstreams_are_bounded() -> None:
    async def test() -> None:
        pool, results = ConnectionPool(60_000_000, 10_000_000, max_connections=2), list[AttemptResult]()
        upstreams = [Upstream(respond_in_turn(OK)), Upstream(never_respond), Upstream(never_respond)]
        for upstream in upstreams:
            await upstream.start()
        call = ClientRequest(b"POST", b"/pay", [], b"", 0, 0, 1)

        def begin(number: int) -> UpstreamAttempt:
            return pool.start(number, ("127.0.0.1", upstreams[number].port), call, ATTEMPT_TIMEOUT_US, results.append)

        begin(0)
        await wait_until(lambda: len(results) == 1)
        assert results[0].outcome is Outcome.OK and len(pool.idle[0]) == 1
        open_ones = [begin(1), begin(2)]  # the idle one makes room
        await wait_until(lambda: sum(len(upstream.requests) for upstream in upstreams) == 3)
        assert pool.idle == {}
        begin(0)
        await wait_until(lambda: len(results) == 2)
        assert results[1].outcome is Outcome.CONNECT_FAILED
        for attempt in open_ones:
            attempt.cancel()
        begin(0).cancel()  # before its dial began
        await wait_until(lambda: not pool.dials and pool.connections == {})
        assert len(upstreams[0].requests) == 1
        for upstream in upstreams:
            upstream.stop()
        pool.sweeper.cancel()

    run_async(test)


def test_connections_idle_for_as_long_as_broken_ones_are_not_reused() -> None:
    async def test() -> None:
        pool = ConnectionPool(60_000_000, 10_000_000, max_connections=10)
        for _ in range(30):
            assert pool.is_trusted(200_000) and pool.is_trusted(20_000)
            pool.observe_reuse(200_000, broke=False)
            pool.observe_reuse(20_000, broke=False)
        for _ in range(3):
            pool.observe_reuse(200_000, broke=True)
        assert not pool.is_trusted(210_000) and pool.is_trusted(20_000) and pool.is_trusted(2_000_000)
        await wait_until(lambda: pool.is_trusted(200_000))  # they are tried again in time
        pool.sweeper.cancel()

    async def over_sockets() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            await read_message(reader)  # whatever comes next on it breaks it
            writer.transport.abort()
            raise ConnectionResetError

        def ended(count: int) -> bool:
            return len(results) == count

        upstream, results = Upstream(script), list[AttemptResult]()
        await upstream.start()
        pool = ConnectionPool(60_000_000, 10_000_000, max_connections=10)
        call = ClientRequest(b"POST", b"/pay", [], b"", 0, 0, 1)
        for number in range(80):
            pool.start(1, ("127.0.0.1", upstream.port), call, ATTEMPT_TIMEOUT_US, results.append)
            await wait_until(partial(ended, number + 1))
        assert 0 < [result.outcome for result in results].count(Outcome.RESET) < 30  # else each second one
        upstream.stop()
        pool.sweeper.cancel()

    run_async(test)
    run_async(over_sockets)


@pytest.mark.parametrize(
    "first",
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
def test_malformed_response_may_have_run_and_ejects_nothing(first: bytes) -> None:
    async def test() -> None:
        outcomes = list[Outcome]()
        handle = Balancer.handle

        def watched(self: Balancer, now_us: int, event: Event) -> list[Any]:
            if isinstance(event, AttemptEnded):
                outcomes.append(event.outcome)
            return handle(self, now_us, event)

        upstream = Upstream(respond_in_turn(first, OK))
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Balancer, "handle", watched)
            async with sidecar(upstream) as it:
                assert status_of(await it.fetch(request("pay"))) == 500
                assert status_of(await it.fetch(request("pay"))) == 200
        assert outcomes == [Outcome.MALFORMED_RESPONSE, Outcome.OK] and upstream.connections == 2

    run_async(test)


def test_idle_connection_is_closed_before_the_upstream_would_close_it() -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if not await reader.read(1):
                ended.set()
            raise ConnectionResetError

        async with sidecar(Upstream(script), upstream_idle_timeout_us=400_000) as it:
            await it.fetch(request())
            await ended.wait()

    run_async(test)


@pytest.mark.parametrize("early", [b"", OK])
def test_request_not_written_completely_never_ran_and_its_connection_closes(early: bytes) -> None:
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
        call = ClientRequest(b"POST", b"/pay", [], b"x" * 1_000_000, 0, 0, 1)
        connection.attempt = UpstreamAttempt(call, ("127.0.0.1", 1), clock_us() + ATTEMPT_TIMEOUT_US, results.append)
        await loop.create_connection(lambda: connection, sock=sock)
        assert connection.partly_written
        if early:
            peer.sendall(early)
            await wait_until(lambda: bool(results))
        peer.close()
        await wait_until(lambda: bool(results))
        assert [result.outcome for result in results] == [
            Outcome.MALFORMED_RESPONSE if early else Outcome.CONNECT_FAILED
        ]
        assert pool.idle == {} and pool.connections == {} and connection.state is not ConnectionState.OPEN
        pool.sweeper.cancel()

    run_async(test)


def test_request_with_an_idempotency_key_is_not_written_after_its_window_on_a_late_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    kinds = [
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
    held = DelayedConnections()

    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            held.delay(other if upstream is one else one, monkeypatch)
            writer.transport.abort()  # it may have run, and goes again in its group
            raise ConnectionResetError

        one, other = Upstream(script), Upstream(script)
        async with sidecar(one, other, classes=kinds, hedging=False) as it:
            answer = asyncio.create_task(it.fetch(request("mark", deadline_ms=6_000)))
            await wait_until(lambda: held.started == 1)
            await asyncio.sleep(0.7)
            held.released.set()
            assert status_of(await answer) == 500
            assert len(one.requests) + len(other.requests) == 1

    run_async(test)


def test_attempt_started_before_a_drain_is_not_sent_on_a_late_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held, discovery = DelayedConnections(), Discovery()

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream, discovery=discovery, polls_endpoints=False) as it:
            await discovery.watched()
            held.delay(upstream, monkeypatch)
            answer = asyncio.create_task(it.fetch(request("pay")))
            await wait_until(lambda: held.started == 1)
            discovery.line(endpoint_list(endpoint_entry("u0", upstream.port, "leaving"), rev=2, full=False))
            await asyncio.sleep(0.1)
            held.released.set()
            assert status_of(await answer) == 503
        assert upstream.requests == []

    run_async(test)


def test_attempt_started_in_the_turn_of_a_drain_is_not_sent() -> None:
    async def test() -> None:
        upstream, results = Upstream(respond_in_turn(OK)), list[AttemptResult]()
        await upstream.start()
        pool = ConnectionPool(60_000_000, 10_000_000, max_connections=10)
        call = ClientRequest(b"POST", b"/pay", [], b"", 0, 0, 1)
        pool.start(1, ("127.0.0.1", upstream.port), call, ATTEMPT_TIMEOUT_US, results.append)
        pool.remove_upstream(1)  # before the dial's own first step
        assert not results
        await wait_until(lambda: bool(results))
        assert results[0].outcome is Outcome.CONNECT_FAILED
        pool.start(1, ("127.0.0.1", upstream.port), call, ATTEMPT_TIMEOUT_US, results.append)  # it is listed again
        await wait_until(lambda: len(results) == 2)
        assert results[1].outcome is Outcome.OK and len(upstream.requests) == 1
        upstream.stop()
        pool.sweeper.cancel()

    run_async(test)


def test_second_response_some_milliseconds_late_is_not_taken_for_that_of_the_next_request() -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if number == 0:
                await asyncio.sleep(0.005)
                writer.write(OK.replace(b"done", b"late"))
                await reader.read()
                raise ConnectionResetError

        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            for _ in range(2):  # the second sets out the moment the first is answered
                writer.write(request("pay"))
                assert (await read_message(reader))[1] == b"done"
            writer.close()
        assert upstream.connections == 2

    run_async(test)
