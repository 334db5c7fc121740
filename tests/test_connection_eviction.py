"""Eviction of client connections: which close for new ones, and what their clients get."""

from __future__ import annotations

import asyncio
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
    it: Sidecar, servers: list[Server]
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ClientConnection]:
    """Return a connection on which a request was answered: its streams, and the sidecar's side."""
    reader, writer = await it.connect()
    writer.write(request("pay", "1"))
    assert status_of(await read_message(reader)) == 200
    await wait_until(lambda: len(servers[0].clients_by_state[ClientState.IDLE]) == 1)
    return reader, writer, next(iter(servers[0].clients_by_state[ClientState.IDLE]))


def test_connection_on_which_a_request_has_arrived_is_not_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            reader, writer, _ = await answered_connection(it, servers)
            writer.write(request("pay", "2"))
            servers[0].free_capacity()  # in the same turn: its bytes are there and were not read
            assert status_of(await read_message(reader)) == 200
            writer.close()
        assert len(upstream.requests) == 2

    run_async(test)


def test_request_that_crosses_the_close_of_its_connection_is_not_forwarded(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            reader, writer, client = await answered_connection(it, servers)
            close = client.close

            def crossed() -> None:
                writer.write(request("pay", "2"))
                close()

            client.close = crossed  # type: ignore[method-assign]
            assert servers[0].free_capacity()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            assert status_of(await it.fetch(request("pay", "2"))) == 200  # as the page has clients send it once more
        assert len(upstream.requests) == 2

    run_async(test)


def test_evicted_connection_ends_before_bytes_that_arrive_in_the_same_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as it:
            server = servers[0]
            await wait_until(lambda: server.connection_count() == 0)
            with socket.create_connection(("127.0.0.1", it.port), timeout=HANG_TIMEOUT_S) as client:
                await wait_until(
                    lambda: any(each.transport is not None for each in server.clients_by_state[ClientState.NEW])
                )
                await asyncio.sleep(FIRST_REQUEST_GRACE_S)  # from now on it may be evicted
                assert server.free_capacity()
                client.sendall(request("pay", body=b"0123456789")[:-5])  # before the loop's next turn
                await asyncio.sleep(0.05)
                assert client.recv(1) == b""  # not a reset: the end came before these bytes

    run_async(test)


def test_connection_closes_after_its_first_response_when_many_are_open() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as it:  # 200 descriptors
            first = await it.connect()
            first[1].write(request())
            assert b"Connection: close" not in (await read_message(first[0]))[0]
            silent_ones = [await it.connect() for _ in range(60)]
            assert b"Connection: close" in (await it.fetch(request()))[0]
            first[1].write(request())  # one that is in use stays
            assert b"Connection: close" not in (await read_message(first[0]))[0]
            for _, writer in (first, *silent_ones):
                writer.close()

    run_async(test)


def test_connection_used_last_is_not_evicted() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as it:  # 200 descriptors
            first = await it.connect()
            others = [await it.connect() for _ in range(90)]

            async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                assert status_of(await read_message(reader)) == 200

            for each in (*others, first):
                await use(*each)
            for _ in range(30):
                others.append(await it.connect())
                await use(*others[-1])
            assert await others[0][0].read() == b""
            await use(*first)
            for _, writer in (first, *others):
                writer.close()

    run_async(test)


def test_idle_connections_are_evicted_for_new_ones() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as it:  # 200 descriptors
            idle = [await it.connect() for _ in range(150)]
            assert status_of(await it.fetch(request())) == 200
            assert await idle[0][0].read() == b""
            for _, writer in idle:
                writer.close()

    run_async(test)
