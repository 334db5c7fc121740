"""Responses without a length: a regular end of the connection completes them, a reset does not."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

import pytest

from ryepier.balancer.interface import Outcome
from ryepier.sidecar.read_pacer import ReadPacer
from ryepier.sidecar.requests import AttemptResult, ClientRequest
from ryepier.sidecar.response_framing import runs_until_end_of_connection
from ryepier.sidecar.system import clock_us
from ryepier.sidecar.upstream_attempt import UpstreamAttempt
from ryepier.sidecar.upstream_connection import ConnectionState, UpstreamConnection
from tests.network_peers import ATTEMPT_TIMEOUT_US, Script, Upstream, request, run_async, sidecar, status_of

LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER value with which closing a socket sends a reset
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
PAUSE_S = 0.02
LONGEST_BODY = b"x" * 65_536


def respond_and_end(*parts: bytes, pause_s: float = 0.0, resets: bool = False) -> Script:
    """Return a script that sends `parts` with pauses between and after them, then ends or resets the connection."""

    async def script(
        upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        if resets:
            sock: socket.socket = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            writer.transport.abort()
        raise ConnectionResetError  # ends the connection

    return script


COMPLETE_RESPONSES: dict[str, tuple[Script, bytes]] = {
    "one write": (respond_and_end(HEAD + b"done"), b"done"),
    "end after a pause": (respond_and_end(HEAD + b"done", pause_s=PAUSE_S), b"done"),
    "parts": (respond_and_end(HEAD[:9], HEAD[9:], b"do", b"ne", pause_s=PAUSE_S), b"done"),
    "close": (respond_and_end(HEAD.replace(b"\r\n", b"\r\nConnection: close\r\n", 1) + b"done"), b"done"),
    "keep-alive": (respond_and_end(HEAD.replace(b"\r\n", b"\r\nConnection: keep-alive\r\n", 1) + b"done"), b"done"),
    "HTTP/1.0": (respond_and_end(HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"done"), b"done"),
    "empty": (respond_and_end(HEAD), b""),
    "longest": (respond_and_end(HEAD + LONGEST_BODY), LONGEST_BODY),
    "after an interim response": (respond_and_end(b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", HEAD + b"done"), b"done"),
    "looks like a further response": (respond_and_end(HEAD + HEAD), HEAD),
}
CUT_RESPONSES = {
    "reset after all bytes": respond_and_end(HEAD + b"done", pause_s=PAUSE_S, resets=True),
    "reset at once": respond_and_end(HEAD + b"done", resets=True),
    "reset within the head": respond_and_end(HEAD[:30], pause_s=PAUSE_S, resets=True),
    "end within a length": respond_and_end(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone"),
    "end within a closing length": respond_and_end(
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\ndone"
    ),
    "end within a chunk": respond_and_end(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ndone"),
    "end before the last chunk": respond_and_end(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"),
    "end within trailers": respond_and_end(
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Note: a\r\n"
    ),
    "end of another coding": respond_and_end(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone"),
    "end within the head": respond_and_end(HEAD[:30]),
    "end after the last header": respond_and_end(HEAD[:-2]),
    "end within an interim response": respond_and_end(b"HTTP/1.1 103 Hints\r\nLink: x\r\n"),
    "end after an interim response": respond_and_end(b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"),
    "end of a body over the limit": respond_and_end(HEAD + LONGEST_BODY + b"x"),
    "end without a response": respond_and_end(),
}


# Guards against complete responses that count as reset, so that clients get 500 for work that was done.
@pytest.mark.parametrize("class_name", ["read", "pay", "mark"])
@pytest.mark.parametrize("name", COMPLETE_RESPONSES)
def test_response_without_a_length_is_forwarded_at_the_end_of_its_connection(name: str, class_name: str) -> None:
    script, body = COMPLETE_RESPONSES[name]

    async def test() -> None:
        upstream = Upstream(script)
        async with sidecar(upstream) as running_sidecar:
            for request_count in (1, 2):  # each response ends its connection
                response = await running_sidecar.fetch(request(class_name))
                assert status_of(response) == 200 and response.body == body
                assert b"Content-Length: %d\r\n" % len(body) in response.head
                assert len(upstream.requests) == upstream.connection_count == request_count

    run_async(test)


@pytest.mark.parametrize("name", CUT_RESPONSES)
def test_response_that_is_cut_is_not_forwarded_and_not_repeated(name: str) -> None:
    async def test() -> None:
        upstream = Upstream(CUT_RESPONSES[name])
        async with sidecar(upstream) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request("pay"))) == 500
        assert len(upstream.requests) == 1

    run_async(test)


@pytest.mark.parametrize(("status_line", "marked", "status"), [("503 Busy", True, 503), ("500 Error", False, 500)])
def test_other_responses_without_a_length_mean_what_their_status_says(
    status_line: str, marked: bool, status: int
) -> None:
    head = f"HTTP/1.1 {status_line}\r\n{'X-Not-Run: 1' if marked else 'X-Note: a'}\r\n\r\n".encode()

    async def test() -> None:
        async with sidecar(Upstream(respond_and_end(head))) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request("pay", deadline_ms=1_500))) == status

    run_async(test)


def test_response_without_a_length_or_an_end_times_out_at_the_deadline() -> None:
    async def test() -> None:
        upstream = Upstream(respond_and_end(HEAD + b"done", pause_s=5.0))
        async with sidecar(upstream) as running_sidecar:
            started_at = asyncio.get_running_loop().time()
            assert status_of(await running_sidecar.fetch(request("pay", deadline_ms=600))) == 500
            assert 0.5 < asyncio.get_running_loop().time() - started_at < 0.65
        assert len(upstream.requests) == 1

    run_async(test)


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [], True),
        (500, [], True),
        (204, [], False),
        (304, [], False),
        (200, [(b"content-length", b"0")], False),
        (200, [(b"Content-Length", b"5")], False),
        (200, [(b"transfer-encoding", b"chunked")], False),
        (200, [(b"Transfer-Encoding", b"gzip")], False),
    ],
)
def test_framing_of_a_response(status: int, headers: list[tuple[bytes, bytes]], expected: bool) -> None:
    assert runs_until_end_of_connection(status, headers) is expected


class RecordingPool:
    """Owner of a connection under test."""

    read_pacer: ReadPacer  # not used, as the tests pass bytes to the connection themselves

    def __init__(self) -> None:
        self.idle_count = 0
        self.broken_reuses: list[bool] = []

    def add(self, connection: UpstreamConnection) -> None:
        pass

    def put_idle(self, connection: UpstreamConnection) -> None:
        self.idle_count += 1

    def record_reuse(self, idle_us: int, broke: bool) -> None:
        self.broken_reuses.append(broke)

    def remove(self, connection: UpstreamConnection) -> None:
        pass

    def on_closing(self, connection: UpstreamConnection) -> None:
        pass

    def on_closed(self, connection: UpstreamConnection) -> None:
        pass


class ClosableTransport(asyncio.Transport):
    """Transport that discards what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.is_closed = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def write(self, data: object) -> None:
        pass

    def is_closing(self) -> bool:
        return self.is_closed

    def abort(self) -> None:
        self.is_closed = True


class Ending(enum.Enum):
    """How the connection ends."""

    REGULAR = enum.auto()
    RESET = enum.auto()


UNFRAMED = HEAD + b"done"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"
RESPONSES = {
    "no length": UNFRAMED,
    "no length, close": UNFRAMED.replace(b"\r\n", b"\r\nConnection: close\r\n", 1),
    "no length, HTTP/1.0": UNFRAMED.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "no length after an interim response": INTERIM + UNFRAMED,
    "length": FRAMED,
    "length, close": FRAMED.replace(b"\r\n", b"\r\nConnection: close\r\n", 1),
    "chunked": CHUNKED,
    "chunked after an interim response": INTERIM + CHUNKED,
}


def is_complete(response: bytes, received: bytes, ending: Ending) -> bool:
    """Return whether the bytes received before the connection ended are a complete response."""
    if b"Content-Length" in response or b"chunked" in response:
        return received == response
    head = response[: response.index(HEAD[-20:]) + 20]
    return received.startswith(head) and ending is Ending.REGULAR


# Exhaustive over the transitions of a connection: each number of bytes, at once or byte by byte, then either ending.
@pytest.mark.parametrize("byte_by_byte", [False, True])
@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("name", RESPONSES)
def test_response_is_served_only_if_it_was_complete_when_its_connection_ended(
    name: str, ending: Ending, byte_by_byte: bool
) -> None:
    response = RESPONSES[name]
    client_request = ClientRequest(b"POST", b"/pay", [], b"", 0, 0, 1)
    with socket.socket() as sock:
        for length in range(len(response) + 1):
            received, pool, results = response[:length], RecordingPool(), list[AttemptResult]()
            connection = UpstreamConnection(pool, 1, sock)
            connection.attempt = UpstreamAttempt(
                client_request, ("127.0.0.1", 1), clock_us() + ATTEMPT_TIMEOUT_US, results.append
            )
            connection.connection_made(ClosableTransport())
            connection.idle_us = 1  # counts as reused
            for part in [received[i : i + 1] for i in range(length)] if byte_by_byte else [received][: min(length, 1)]:
                connection.data_received(part)
            if ending is Ending.REGULAR:
                connection.eof_received()
            connection.connection_lost(ConnectionResetError() if ending is Ending.RESET else None)
            is_served = is_complete(response, received, ending)
            assert [result.outcome for result in results] == [Outcome.OK if is_served else Outcome.RESET], received
            assert pool.broken_reuses == [not is_served and not received]
            assert connection.state is ConnectionState.CLOSED
