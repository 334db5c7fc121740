"""Graceful shutdown: open requests and those that still arrive are answered.

The tests force orders of events that are rare otherwise, by scripts of the upstreams or by patches of the sidecar.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from ryepier.balancer.interface import Idempotency, RequestClass
from ryepier.sidecar import system
from ryepier.sidecar.client_connection import ClientConnection
from ryepier.sidecar.server import Server
from tests.network_peers import (
    OK,
    Upstream,
    never_respond,
    read_message,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)

SHORT_DEADLINE_CLASSES = [
    RequestClass("pay", latency_objective_us=200_000, deadline_us=400_000, idempotency=Idempotency.NON_IDEMPOTENT)
]


def test_shutdown_serves_open_requests_and_new_ones() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            writer.write(OK)

        upstreams = [Upstream(script), Upstream(script)]  # the sidecar has one slot for each

        def forwarded_request_count() -> int:
            return sum(len(upstream.requests) for upstream in upstreams)

        async with sidecar(*upstreams) as running_sidecar:
            # once this probe is answered, the connection is idle
            idle_reader, idle_writer = await running_sidecar.connect()
            idle_writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            await read_message(idle_reader)
            reader, writer = await running_sidecar.connect()
            writer.write(request(request_id="1"))
            await wait_until(lambda: forwarded_request_count() == 1)
            running_sidecar.stop.set()
            assert await idle_reader.read() == b""
            late_reader, late_writer = await running_sidecar.connect()
            late_writer.write(request(request_id="2"))
            await wait_until(lambda: forwarded_request_count() == 2)
            release.set()
            for response_reader in (reader, late_reader):
                head, body = await read_response(response_reader)
                assert body == b"done" and b"Connection: close" in head
            for client in (idle_writer, writer, late_writer):
                client.close()
            await running_sidecar.task

    async def read_response(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
        response = await reader.read()
        head, _, body = response.partition(b"\r\n\r\n")
        return head, body

    run_async(test)


def test_shutdown_answers_open_requests_with_a_later_deadline() -> None:
    async def test() -> None:
        upstream = Upstream(never_respond)
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay", deadline_ms=20_000))
            await wait_until(lambda: len(upstream.requests) == 1)
            running_sidecar.stop.set()
            response = await read_message(reader)
            assert status_of(response) == 500 and b"Connection: close" in response.head
            assert not running_sidecar.task.done()  # the process must not end before the request is answered
            writer.close()
            await running_sidecar.task

    run_async(test)


def test_request_completed_during_shutdown_is_answered_before_the_kill() -> None:
    async def test() -> None:
        upstream = Upstream(never_respond)
        classes = [RequestClass("pay", 1_000_000, 2_000_000, late_weight=0.5, idempotency=Idempotency.NON_IDEMPOTENT)]
        async with sidecar(upstream, classes=classes) as running_sidecar:
            complete_request = request("pay", body=b"ab", deadline_ms=2_000)
            reader, writer = await running_sidecar.connect()
            writer.write(complete_request[:-1])
            loop = asyncio.get_running_loop()
            running_sidecar.stop.set()
            stopped_at = loop.time()
            await asyncio.sleep(1.5)  # the request's deadline is then 0.8 s after the earliest possible kill
            writer.write(complete_request[-1:])
            head, _ = await read_message(reader)
            assert b"Connection: close" in head and loop.time() - stopped_at < 3.2
            writer.close()
            await running_sidecar.task

    run_async(test)


def test_request_that_stays_partial_during_shutdown_is_rejected() -> None:
    async def test() -> None:
        async with sidecar(Upstream(never_respond), classes=SHORT_DEADLINE_CLASSES) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay", body=b"ab")[:-1])
            running_sidecar.stop.set()
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503 ")
            writer.close()
            await running_sidecar.task

    run_async(test)


def test_request_on_a_connection_in_the_listeners_queue_at_shutdown_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    late_connections: list[socket.socket] = []
    stop_listening = Server.stop_listening

    def connect_then_stop_listening(self: Server) -> None:
        for _ in range(40):  # more than the server accepts in one iteration of the event loop
            late_connections.append(socket.create_connection(self.listener.address))
            late_connections[-1].sendall(request())
        stop_listening(self)

    monkeypatch.setattr(Server, "stop_listening", connect_then_stop_listening)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            running_sidecar.stop.set()
            await running_sidecar.task
        for sock in late_connections:
            assert sock.recv(100).startswith(b"HTTP/1.1 ")
            sock.close()

    run_async(test)


def test_connection_established_just_before_shutdown_may_send_its_first_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    idle_connections_closed = asyncio.Event()
    close_idle = Server.close_idle

    def close_idle_and_notify(self: Server) -> None:
        close_idle(self)
        idle_connections_closed.set()

    monkeypatch.setattr(Server, "close_idle", close_idle_and_notify)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            # until the grace period is over for the connection with which `sidecar` waited for the listener
            await asyncio.sleep(0.3)
            client_count = len(clients)
            reader, writer = await running_sidecar.connect()
            await wait_until(lambda: len(clients) > client_count)
            running_sidecar.stop.set()
            await idle_connections_closed.wait()
            writer.write(request())
            assert status_of(await read_message(reader)) == 200
            writer.close()
            await running_sidecar.task

    clients: list[ClientConnection] = []
    connection_made = ClientConnection.connection_made

    def record_client(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
        clients.append(self)

    monkeypatch.setattr(ClientConnection, "connection_made", record_client)
    run_async(test)


def test_shutdown_does_not_truncate_a_response_that_is_read_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    listen = system.listen

    def listen_with_small_buffer(address: tuple[str, int], backlog: int) -> socket.socket:
        sock = listen(address, backlog)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(system, "listen", listen_with_small_buffer)
    body_length = 60_000

    async def test() -> None:
        loop = asyncio.get_running_loop()
        upstream = Upstream(
            respond_in_turn(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_length + b"x" * body_length)
        )
        async with sidecar(upstream) as running_sidecar:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                await loop.sock_connect(sock, ("127.0.0.1", running_sidecar.port))
                await loop.sock_sendall(sock, request())
                await wait_until(lambda: len(upstream.requests) == 1)
                await asyncio.sleep(0.3)  # a part of the response now fills the buffers
                running_sidecar.stop.set()
                await asyncio.sleep(0.7)
                received_data = b""
                while data := await loop.sock_recv(sock, 65_536):
                    received_data += data
            assert len(received_data.partition(b"\r\n\r\n")[2]) == body_length
            await running_sidecar.task

    run_async(test)
