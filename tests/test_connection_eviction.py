"""Eviction of client connections: which ones are closed for new ones, and how their clients are answered."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from ryepier.sidecar.client_connection import ClientConnection, ClientState
from ryepier.sidecar.server import FIRST_REQUEST_GRACE_S, Server
from tests.network_peers import (
    HANG_TIMEOUT_S,
    OK,
    Sidecar,
    Upstream,
    read_message,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)
from tests.sidecar_probes import record_servers


async def answered_connection(
    running_sidecar: Sidecar, servers: list[Server]
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ClientConnection]:
    """Return a connection on which a request was answered: the client's streams and the sidecar's connection."""
    reader, writer = await running_sidecar.connect()
    writer.write(request("pay", "1"))
    assert status_of(await read_message(reader)) == 200
    await wait_until(lambda: len(servers[0].clients_by_state[ClientState.IDLE]) == 1)
    return reader, writer, next(iter(servers[0].clients_by_state[ClientState.IDLE]))


def test_connection_with_an_unread_request_is_not_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer, _ = await answered_connection(running_sidecar, servers)
            writer.write(request("pay", "2"))
            servers[0].free_capacity()  # the request has arrived but was not read yet
            assert status_of(await read_message(reader)) == 200
            writer.close()
        assert len(upstream.requests) == 2

    run_async(test)


def test_request_sent_while_its_connection_is_evicted_is_not_forwarded(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer, client = await answered_connection(running_sidecar, servers)
            close = client.close

            def send_then_close() -> None:
                writer.write(request("pay", "2"))
                close()

            client.close = send_then_close  # type: ignore[method-assign]
            assert servers[0].free_capacity()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            # clients resend such a request once, on another connection
            assert status_of(await running_sidecar.fetch(request("pay", "2"))) == 200
        assert len(upstream.requests) == 2

    run_async(test)


def test_bytes_sent_just_after_an_eviction_do_not_cause_a_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            server = servers[0]
            await wait_until(lambda: server.connection_count() == 0)
            with socket.create_connection(("127.0.0.1", running_sidecar.port), timeout=HANG_TIMEOUT_S) as client:
                await wait_until(
                    lambda: any(
                        connection.transport is not None for connection in server.clients_by_state[ClientState.NEW]
                    )
                )
                await asyncio.sleep(FIRST_REQUEST_GRACE_S)  # after this the connection may be evicted
                assert server.free_capacity()
                # sent before the next iteration of the event loop
                client.sendall(request("pay", body=b"0123456789")[:-5])
                await asyncio.sleep(0.05)
                assert client.recv(1) == b""  # end of stream instead of a reset

    run_async(test)


def test_connection_closes_after_its_first_response_when_many_are_open() -> None:
    async def test() -> None:
        # the sidecar accepts 100 clients, as it may use 200 descriptors
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            first_connection = await running_sidecar.connect()
            first_connection[1].write(request())
            assert b"Connection: close" not in (await read_message(first_connection[0]))[0]
            silent_connections = [await running_sidecar.connect() for _ in range(60)]
            assert b"Connection: close" in (await running_sidecar.fetch(request()))[0]
            first_connection[1].write(request())  # a connection in use stays open
            assert b"Connection: close" not in (await read_message(first_connection[0]))[0]
            for _, writer in (first_connection, *silent_connections):
                writer.close()

    run_async(test)


def test_most_recently_used_connection_is_not_evicted() -> None:
    async def test() -> None:
        # the sidecar accepts 100 clients, as it may use 200 descriptors
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            first_connection = await running_sidecar.connect()
            other_connections = [await running_sidecar.connect() for _ in range(90)]

            async def send_readiness_probe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                assert status_of(await read_message(reader)) == 200

            for connection in (*other_connections, first_connection):
                await send_readiness_probe(*connection)
            for _ in range(30):
                other_connections.append(await running_sidecar.connect())
                await send_readiness_probe(*other_connections[-1])
            assert await other_connections[0][0].read() == b""
            await send_readiness_probe(*first_connection)
            for _, writer in (first_connection, *other_connections):
                writer.close()

    run_async(test)


def test_idle_connections_are_evicted_for_new_ones() -> None:
    async def test() -> None:
        # the sidecar accepts 100 clients, as it may use 200 descriptors
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            idle_connections = [await running_sidecar.connect() for _ in range(150)]
            assert status_of(await running_sidecar.fetch(request())) == 200
            assert await idle_connections[0][0].read() == b""
            for _, writer in idle_connections:
                writer.close()

    run_async(test)


def test_idle_connection_is_evicted_if_no_descriptor_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without this, a sidecar without descriptors would accept no connection until one of its own ends."""
    servers = record_servers(monkeypatch)

    def fail(listener: socket.socket) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            _, writer, _ = await answered_connection(running_sidecar, servers)
            [server] = servers
            await wait_until(lambda: server.connection_count() == 1)
            with monkeypatch.context() as patch:
                patch.setattr(socket.socket, "accept", fail)
                waiting_client = socket.create_connection(("127.0.0.1", running_sidecar.port))
                server.listener.accept()
            assert server.connection_count() == 0
            waiting_client.close()
            writer.close()

    run_async(test)
