"""Memory that a sidecar needs for what its peers send, beside the smallest limits that it must work with."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import time
import tracemalloc
from pathlib import Path

import pytest

from ryepier.sidecar.client_connection import ClientState
from ryepier.sidecar.request_buffers import (
    CONNECTION_BYTES,
    MIN_BUFFERED_BYTES,
    MIN_CONNECTIONS,
    max_buffered_bytes,
    max_client_connections,
)
from ryepier.sidecar.request_parsing import RequestError
from ryepier.sidecar.request_reader import MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestReader
from ryepier.sidecar.upstream_connection import ResponseReader, ResponseTooLongError
from ryepier.slices import api_client
from ryepier.slices.reflector import CallKind
from tests.limited_sidecar import DESCRIPTOR_LIMIT, LimitedSidecar, limited_sidecar
from tests.loopback_ports import free_port
from tests.network_peers import (
    OK,
    Discovery,
    Upstream,
    read_message,
    request,
    respond_after,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)
from tests.sidecar_probes import record_servers

MAX_DESCRIPTOR_LIMIT = 1024  # the largest limit that the platform sets, with any limit on memory
ERROR_LIMIT_S = 3.0  # a stranger is owed an error or a close within this time of connecting
READ_BYTES = 256 * 1024  # the most bytes that asyncio reads from a socket at a time
MAX_GROWTH_MB = 3.0  # of the memory, through half requests beside 3,200 converters
TLS_LIBRARIES = ("libssl", "libcrypto", "_ssl", "_hashlib")
LONG_BODY_BYTES = 60_000
SLOW_WRITER_BYTES = 50_000
SLOW_WRITER_PAUSE_S = 0.05
SHORT_LINE = b"ab:c\r\n"
LONG_CHUNK = b"1;" + b"n" * 100 + b"\r\nx\r\n"  # a byte with a long chunk extension
HEAD_START = b"POST /pay HTTP/1.1\r\nHost: api.internal\r\n"


def resident_memory_mb(pid: int, peak: bool = False) -> float:
    """Return a process's memory in MiB with the pages of its files, now or at its peak."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:" if peak else "VmRSS:")[1].split()[0]) / 1024


def request_with_short_lines(byte_count: int) -> bytes:
    """Return a complete request whose head has `byte_count` bytes of short header lines."""
    return request("pay", extra=(SHORT_LINE * (byte_count // len(SHORT_LINE))).decode(), body=b"x")


def partial_request(head_bytes: int) -> bytes:
    """Return a request of the longest body without its last byte; its head has one header of `head_bytes`."""
    return request("pay", extra=f"X-Note: {'x' * head_bytes}\r\n", body=b"x" * MAX_BODY_BYTES)[:-1]


STRANGER_INPUT = {
    "short lines": HEAD_START + SHORT_LINE * (READ_BYTES // len(SHORT_LINE)),
    "short lines within the limit of a head": HEAD_START + SHORT_LINE * (15_000 // len(SHORT_LINE)),
    "complete head of short lines": request_with_short_lines(120_000),
    "long header": HEAD_START + b"X-Note: " + b"x" * READ_BYTES,
    "long target": b"POST /" + b"x" * READ_BYTES,
    "longest body": partial_request(15_000),
    "body over the limit": request("pay", body=b"x" * READ_BYTES),
    "long header after a complete request": request("pay") + HEAD_START + b"X-Note: " + b"x" * READ_BYTES,
}


async def be_stranger(sidecar: LimitedSidecar, data: bytes) -> float:
    """Send bytes and stay until the end of the time for an error; return the seconds until the first answer."""
    connected_at = time.monotonic()
    reader, writer = await sidecar.connect()
    writer.write(data)
    with contextlib.suppress(ConnectionError):  # a close is an answer, too
        await reader.read(1)
    answered_after_s = time.monotonic() - connected_at
    await asyncio.sleep(ERROR_LIMIT_S - answered_after_s)
    writer.close()
    return answered_after_s


# Guards against the kill for memory: 64 peers with long heads of short lines needed more than the deployment's memory,
# and 341 partial bodies, each within its limit, too.
@pytest.mark.alone
@pytest.mark.parametrize(
    ("kind", "descriptor_limit"),
    [
        *((kind, DESCRIPTOR_LIMIT) for kind in STRANGER_INPUT),
        ("longest body", MAX_DESCRIPTOR_LIMIT),
        ("short lines", MAX_DESCRIPTOR_LIMIT),
    ],
)
def test_strangers_do_not_raise_the_memory_over_the_smallest_limit(
    kind: str, descriptor_limit: int, tmp_path: Path
) -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with limited_sidecar(tmp_path, upstream, free_port(), descriptor_limit) as sidecar:  # checks the limits
            # strangers may hold a third of the descriptors
            strangers = [
                asyncio.create_task(be_stranger(sidecar, STRANGER_INPUT[kind])) for _ in range(descriptor_limit // 3)
            ]
            for _ in range(20):
                assert b" 200 " in await sidecar.fetch()
                await asyncio.sleep(0.1)
            assert max(await asyncio.gather(*strangers)) < ERROR_LIMIT_S
        assert max(len(head) for head, _ in upstream.requests) < MAX_HEAD_BYTES

    run_async(test)


# Guards against the kill for memory: beside a long endpoint list half requests took as much as beside a short one, and
# the smallest limit was passed.
@pytest.mark.alone
def test_half_requests_beside_a_long_endpoint_list_take_little_memory(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with limited_sidecar(tmp_path, upstream, free_port(), converter_count=3200) as sidecar:
            ready_mb = resident_memory_mb(sidecar.pid)
            data = STRANGER_INPUT["longest body"]
            strangers = [asyncio.create_task(be_stranger(sidecar, data)) for _ in range(DESCRIPTOR_LIMIT // 3)]
            await asyncio.gather(*strangers)
            assert b" 200 " in await sidecar.fetch()
            assert resident_memory_mb(sidecar.pid, peak=True) - ready_mb < MAX_GROWTH_MB

    run_async(test)


# Guards against the kill for memory: OpenSSL, which the platform's sidecar never uses, took 4.7 of its 32 MB.
@pytest.mark.alone
def test_sidecar_of_the_platform_maps_no_tls_library(tmp_path: Path) -> None:
    async def test() -> None:
        async with limited_sidecar(tmp_path, Upstream(respond_in_turn(OK)), free_port()) as sidecar:
            maps = Path(f"/proc/{sidecar.pid}/maps").read_text()
            assert not [name for name in TLS_LIBRARIES if name in maps]

    run_async(test)


async def write_slowly(sidecar: LimitedSidecar, finished: asyncio.Event) -> None:
    """Send most of a long body at once and the rest slowly, again whenever the sidecar rejects it."""
    while not finished.is_set():
        reader, writer = await sidecar.connect_until_open()
        writer.write(request("pay", body=b"x" * MAX_BODY_BYTES)[:SLOW_WRITER_BYTES])
        while not reader.at_eof() and not finished.is_set():
            writer.write(b"x")
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(SLOW_WRITER_PAUSE_S):
                    await reader.read()
        writer.close()


# Guards against long requests of the application that are rejected in favour of slow strangers: the largest partial
# request was rejected, however quickly it arrived.
@pytest.mark.alone
def test_long_requests_are_served_beside_slow_writers(tmp_path: Path) -> None:
    async def test() -> None:
        finished = asyncio.Event()
        async with limited_sidecar(tmp_path, Upstream(respond_in_turn(OK)), free_port()) as sidecar:
            writers = [asyncio.create_task(write_slowly(sidecar, finished)) for _ in range(DESCRIPTOR_LIMIT // 3)]
            await asyncio.sleep(0.5)
            answers = [await sidecar.fetch(body=b"x" * LONG_BODY_BYTES) for _ in range(20)]
            finished.set()
            await asyncio.gather(*writers)
            assert set(answers) == {b"HTTP/1.1 200 OK"}

    run_async(test)


def test_requests_may_take_less_memory_where_less_is_left() -> None:
    megabyte = 1024 * 1024
    assert max_buffered_bytes(192, 20 * megabyte) == 24 * megabyte
    assert max_buffered_bytes(32, 30 * megabyte) == megabyte // 2
    assert max_buffered_bytes(32, 40 * megabyte) == MIN_BUFFERED_BYTES


# Guards against the kill for memory: beside a long list 512 connections alone took most of what was left.
def test_clients_may_have_fewer_connections_where_less_memory_is_left() -> None:
    megabyte = 1024 * 1024
    assert max_client_connections(1024, 192, 26 * megabyte) == 512
    assert max_client_connections(256, 32, 26 * megabyte) == 128
    assert max_client_connections(1024, 32, 26 * megabyte) == 3 * megabyte // CONNECTION_BYTES
    assert max_client_connections(1024, 32, 40 * megabyte) == MIN_CONNECTIONS


# Guards against limits that depend on how the bytes arrive: a long head in one read was accepted and forwarded.
@pytest.mark.parametrize("data", [request_with_short_lines(MAX_HEAD_BYTES), request("pay", extra="a:b\r\n" * 150)])
@pytest.mark.parametrize("part_bytes", [1, 1000, READ_BYTES])
def test_head_over_a_limit_is_rejected_however_it_arrives(data: bytes, part_bytes: int) -> None:
    reader = RequestReader()

    def feed_in_parts() -> None:
        for start in range(0, len(data), part_bytes):
            reader.feed(data[start : start + part_bytes])

    with pytest.raises(RequestError) as error:
        feed_in_parts()
    assert error.value.status == 431 and not reader.is_complete


# Guards against memory that outlives a rejection: collected parts, and the read bytes in a cycle with the error.
@pytest.mark.parametrize("data", STRANGER_INPUT.values(), ids=STRANGER_INPUT.keys())
def test_released_reader_keeps_nothing_of_its_input(data: bytes) -> None:
    def feed_and_release() -> RequestReader:
        reader = RequestReader()
        with contextlib.suppress(RequestError):
            reader.feed(data[:READ_BYTES])
        reader.release()
        return reader

    feed_and_release()
    gc.disable()
    tracemalloc.start()
    try:
        readers = [feed_and_release() for _ in range(20)]
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert kept_bytes / len(readers) < 1024


# Guards against limits on responses that hold only for what comes in several reads.
@pytest.mark.parametrize("part_bytes", [1000, READ_BYTES])
@pytest.mark.parametrize(
    "response",
    [
        OK.replace(b"\r\n", b"\r\nContent-Type: " + b"x" * 40_000 + b"\r\n", 1),
        OK.replace(b"\r\n", b"\r\n" + SHORT_LINE * 7_000, 1),
        b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000 + OK,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1;%b\r\nx\r\n" % (b"n" * 100) * 3_000
        + b"0\r\n\r\n",
    ],
    ids=["long header", "short lines", "interim responses", "chunk extensions"],
)
def test_response_over_a_limit_is_rejected_however_it_arrives(response: bytes, part_bytes: int) -> None:
    reader = ResponseReader()

    def feed_in_parts() -> None:
        for start in range(0, len(response), part_bytes):
            reader.feed(response[start : start + part_bytes])

    with pytest.raises(ResponseTooLongError):
        feed_in_parts()
    assert not reader.is_complete


def test_response_over_a_limit_is_not_forwarded() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK.replace(b"\r\n", b"\r\nContent-Type: " + b"x" * 40_000 + b"\r\n", 1)))
        async with sidecar(upstream) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request("pay"))) == 500

    run_async(test)


# Guards against answers that pile up: only requests for converters were refused while an answer was unread.
@pytest.mark.parametrize("data", [b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n", request("pay")])
def test_client_that_does_not_read_gets_no_further_answers(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay"))
            assert status_of(await read_message(reader)) == 200
            [client] = servers[0].clients_by_state[ClientState.IDLE]
            monkeypatch.setattr(client.transport, "get_write_buffer_size", lambda: 1)
            writer.write(data)
            response = await reader.read()
            assert response.startswith(b"HTTP/1.1 400 ") and b"Connection: close" in response
            writer.close()

    run_async(test)


# Guards against partial requests that fill the memory together, though each is within its limits.
def test_the_largest_partial_requests_are_rejected_when_all_together_take_too_much(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            [server] = servers
            server.request_buffers.max_bytes = 200_000
            slow_reader, slow_writer = await running_sidecar.connect()
            slow_request = request("pay", body=b"x" * 1_000)
            slow_writer.write(slow_request[:-1])
            strangers = [await running_sidecar.connect() for _ in range(8)]
            for _, writer in strangers:
                writer.write(partial_request(100))
            rejections = [await reader.read(12) for reader, _ in strangers[:5]]
            assert set(rejections) <= {b"HTTP/1.1 503"}
            assert 0 < server.request_buffers.total_bytes <= 200_000
            slow_writer.write(slow_request[-1:])
            assert status_of(await read_message(slow_reader)) == 200
            for _, writer in [(slow_reader, slow_writer), *strangers]:
                writer.close()
            await wait_until(lambda: server.request_buffers.total_bytes == 0)
            assert not server.request_buffers.requests

    run_async(test)


def test_open_requests_count_until_they_are_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    servers, release = record_servers(monkeypatch), asyncio.Event()

    async def test() -> None:
        upstream = Upstream(respond_after(release))
        async with sidecar(upstream) as running_sidecar:
            [server] = servers
            server.request_buffers.max_bytes = 100_000
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay", body=b"x" * 50_000))
            await wait_until(lambda: len(upstream.requests) == 1)
            assert status_of(await running_sidecar.fetch(request("pay", body=b"x" * 60_000))) == 503
            release.set()
            assert status_of(await read_message(reader)) == 200
            assert status_of(await running_sidecar.fetch(request("pay", body=b"x" * 60_000))) == 200
            writer.close()

    run_async(test)


ENDLESS_HEAD_PARTS = [b"HTTP/1.1 200 OK\r\nX-Note: ", *[b"x" * 10_000] * 8]


# Guards against a response of discovery or the API server whose head never ends and fills the memory.
def test_endless_head_ends_the_endpoint_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        discovery = Discovery()

        async def send_endless_head(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            discovery.calls.append(await reader.readuntil(b"\r\n\r\n"))
            writer.writelines(ENDLESS_HEAD_PARTS)
            await reader.read()

        monkeypatch.setattr(discovery, "serve", send_endless_head)
        async with sidecar(
            Upstream(respond_in_turn(OK)), discovery=discovery, polls_endpoints=False
        ) as running_sidecar:
            async with asyncio.timeout(2.0):  # a watch without a message would be given up after 4 s
                await wait_until(lambda: len(discovery.calls) == 2)
            assert status_of(await running_sidecar.fetch(request("pay"))) == 200

    run_async(test)


def test_endless_head_ends_the_call_to_the_api_server() -> None:
    async def test() -> None:
        response = api_client.ResponseReader(CallKind.LIST, lambda line: None, lambda: None)
        for part in ENDLESS_HEAD_PARTS:
            response.data_received(part)
        assert response.done_future.done() and isinstance(response.failure, ValueError)

    run_async(test)
