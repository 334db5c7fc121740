"""The work that bytes of peers cause in one iteration of the event loop, in callbacks of the HTTP parser."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest

from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.read_pacer import MAX_WAITING_BYTES, READ_BYTES, SHORT_READ_BYTES
from ryepier.sidecar.request_reader import RequestReader
from ryepier.sidecar.requests import ClientRequest, FinalAnswer
from ryepier.sidecar.upstream_connection import ResponseReader
from tests.network_peers import OK, Upstream, read_message, request, respond_in_turn, run_async, sidecar, status_of
from tests.sidecar_probes import record_servers

MAX_TURN_CALLBACKS = 20_000  # some milliseconds
MAX_CONNECTION_CALLBACKS = 5_000  # of one connection
PEERS = 60
CHUNK = b"1\r\nx\r\n"
CHUNKED_HEAD = request("pay", body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


class TurnProbe:
    """Counts a reader's calls of `on_body` in each iteration of the event loop."""

    def __init__(self, reader_class: type[RequestReader] | type[ResponseReader], patch: pytest.MonkeyPatch) -> None:
        self.callbacks = 0
        self.total = 0
        self.max_turn_callbacks = 0
        on_body = reader_class.on_body

        def count_and_append(reader: RequestReader | ResponseReader, data: bytes) -> None:
            self.callbacks += 1
            on_body(reader, data)  # type: ignore[arg-type]

        patch.setattr(reader_class, "on_body", count_and_append)

    async def watch(self) -> None:
        """Look at the count once in each iteration, until cancelled."""
        while True:
            await asyncio.sleep(0)
            self.max_turn_callbacks = max(self.max_turn_callbacks, self.callbacks)
            self.total += self.callbacks
            self.callbacks = 0


@contextlib.asynccontextmanager
async def watched(probe: TurnProbe) -> AsyncIterator[None]:
    """Let a probe watch the event loop during the context."""
    task = asyncio.create_task(probe.watch())
    try:
        yield
    finally:
        task.cancel()


# Guards against requests that are read too late: peers with bodies in one-byte chunks were parsed without a limit, and
# one iteration of the event loop took seconds.
def test_bodies_in_small_chunks_do_not_keep_the_event_loop_from_other_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    probe = TurnProbe(RequestReader, monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar, watched(probe):
            peers = [await running_sidecar.connect() for _ in range(PEERS)]
            for _, writer in peers:
                writer.write(CHUNKED_HEAD + 40_000 * CHUNK)
            for _ in range(20):
                assert status_of(await running_sidecar.fetch(request("pay"))) == 200
            for reader, writer in peers:
                with contextlib.suppress(ConnectionError):
                    await reader.read(1)  # an error or a close
                writer.close()

    run_async(test)
    assert probe.total > MAX_TURN_CALLBACKS > probe.max_turn_callbacks


# Guards against requests that wait for each peer's first chunks: until these were parsed every peer counted as light.
def test_request_does_not_wait_for_the_first_chunks_of_each_peer(monkeypatch: pytest.MonkeyPatch) -> None:
    probe = TurnProbe(RequestReader, monkeypatch)
    callbacks_before: list[int] = []
    on_request = RequestDispatcher.on_request

    def count_and_accept(
        dispatcher: RequestDispatcher, client_request: ClientRequest, reply: Callable[[FinalAnswer], None]
    ) -> int:
        callbacks_before.append(probe.total + probe.callbacks)
        return on_request(dispatcher, client_request, reply)

    monkeypatch.setattr(RequestDispatcher, "on_request", count_and_accept)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar, watched(probe):
            connections = [await running_sidecar.connect() for _ in range(PEERS + 1)]
            reader, writer = connections.pop()
            for _, peer_writer in connections:
                peer_writer.write(CHUNKED_HEAD + 4_000 * CHUNK)
            await asyncio.sleep(0)
            writer.write(request("pay"))
            assert status_of(await read_message(reader)) == 200
            for _, open_writer in [*connections, (reader, writer)]:
                open_writer.close()

    run_async(test)
    assert callbacks_before[0] < MAX_TURN_CALLBACKS


# Guards against the kill for memory: what was read and had to wait took 8 KiB of each connection.
def test_bytes_that_wait_to_be_parsed_take_little_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)
    max_waiting_bytes = 0

    async def test() -> None:
        nonlocal max_waiting_bytes
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            peers = [await running_sidecar.connect() for _ in range(PEERS)]
            for _, writer in peers:
                writer.write(CHUNKED_HEAD + 4_000 * CHUNK)
            for _ in range(100):
                await asyncio.sleep(0)
                clients = [client for group in servers[0].clients_by_state.values() for client in group]
                max_waiting_bytes = max(max_waiting_bytes, sum(len(client.unparsed_bytes) for client in clients))
            for _, writer in peers:
                writer.close()

    run_async(test)
    assert 0 < max_waiting_bytes <= MAX_WAITING_BYTES + READ_BYTES + PEERS * SHORT_READ_BYTES


# The same cause at converters: their responses in one-byte chunks were parsed without a limit, too.
def test_responses_in_small_chunks_do_not_keep_the_event_loop_from_other_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    probe = TurnProbe(ResponseReader, monkeypatch)
    response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + 40_000 * CHUNK + b"0\r\n\r\n"

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(response))) as running_sidecar, watched(probe):
            await asyncio.gather(*(running_sidecar.fetch(request("pay")) for _ in range(4)))

    run_async(test)
    assert probe.total > MAX_CONNECTION_CALLBACKS > probe.max_turn_callbacks


def test_longest_body_in_chunks_of_a_byte_is_served() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(CHUNKED_HEAD + 65_536 * CHUNK + b"0\r\n\r\n")
            assert status_of(await read_message(reader)) == 200
            writer.close()
        assert upstream.requests[0][1] == b"x" * 65_536

    run_async(test)
