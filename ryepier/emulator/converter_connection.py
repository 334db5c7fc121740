"""A connection to an emulated converter: HTTP/1.1 parsing, one request at a time, and response encoding."""

from __future__ import annotations

import asyncio
import http
import socket
import struct
from dataclasses import dataclass
from typing import Protocol

import httptools

from ryepier.emulator.process import Clock
from ryepier.emulator.records import NEVER, AttemptOutcome, ConnectionRecord, ConverterAttempt

LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER value with which closing a socket sends a reset
PROBE_TARGETS = (b"/alive", b"/metrics/load")


def encode_response(
    status: http.HTTPStatus, body: bytes, load_report: str, not_run: bool = False, has_length: bool = True
) -> bytes:
    """Return a complete response; `not_run` marks the request as certainly not executed.

    Without `has_length` the response is complete only once its connection has ended.
    """
    head = b"HTTP/1.1 %d %s\r\n" % (status, status.phrase.encode())
    if load_report:
        head += b"X-Load: %s\r\n" % load_report.encode()
    if not_run:
        head += b"X-Not-Run: 1\r\n"
    if has_length:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that has been received completely."""

    headers: dict[bytes, bytes]  # keys are lower-case names
    body: bytes
    first_byte_us: int


class ConnectionOwner(Protocol):
    """The parts of a converter that its connections use."""

    clock: Clock

    @property
    def uid(self) -> str:
        """The converter's uid."""

    @property
    def drops_output(self) -> bool:
        """Whether a fault discards everything that is written."""

    def on_connected(self, connection: ConverterConnection) -> None:
        """Register a new connection, and account for its handshake."""

    def on_closed(self, connection: ConverterConnection) -> None:
        """Remove a connection that has ended."""

    def resets_before_request(self, request_id: bytes) -> bool:
        """Return whether a fault resets the connection once a request's headers have been received."""

    def on_probe(self, connection: ConverterConnection, target: bytes) -> None:
        """Answer a health check or a request for the load report."""

    def on_request(self, connection: ConverterConnection, request: ReceivedRequest) -> None:
        """Process or reject a request that has been received completely."""


class ConverterConnection(asyncio.Protocol):
    """One connection to a converter; it carries one request at a time."""

    def __init__(self, owner: ConnectionOwner, over_limit: bool) -> None:
        """Start without a transport. `over_limit` means that the converter rejects all requests on this connection."""
        self.owner = owner
        self.over_limit = over_limit
        self.transport: asyncio.Transport | None = None
        self.attempt: ConverterAttempt | None = None  # the attempt in flight
        self.last_data_us = 0
        self.is_partitioned = False  # a zone partition dropped a request or response on this connection
        self.record = ConnectionRecord(owner.uid, NEVER)
        self._parser = httptools.HttpRequestParser(self)
        self._reset_request()

    def _reset_request(self) -> None:
        self._first_byte_us = NEVER
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = b""

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the converter."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.last_data_us = self.record.opened_us = self.owner.clock.now_us()
        self.owner.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Parse a request. Bytes that are not HTTP are answered with 400, and the connection is closed."""
        self.last_data_us = self.owner.clock.now_us()
        if self._first_byte_us == NEVER:
            self._first_byte_us = self.last_data_us
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.is_closing():
                self.write(encode_response(http.HTTPStatus.BAD_REQUEST, b"", ""))
                self.close()

    def eof_received(self) -> None:
        """End the attempt in flight."""
        self.end_attempt(AttemptOutcome.CLOSED)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the converter, and end the attempt in flight."""
        self.record.closed_us = self.owner.clock.now_us()
        self.owner.on_closed(self)
        self.end_attempt(AttemptOutcome.CLOSED)

    # The parser's callbacks

    def on_url(self, url: bytes) -> None:
        """Collect the request's target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self._body += data

    def on_headers_complete(self) -> None:
        """Reset the connection if a fault requires it."""
        if self.owner.resets_before_request(self._headers.get(b"x-request-id", b"")):
            self.abort()

    def on_message_complete(self) -> None:
        """Pass the complete request to the converter."""
        if self.is_closing():
            return
        method, target = self._parser.get_method(), self._target
        request = ReceivedRequest(self._headers, self._body, self._first_byte_us)
        self._reset_request()
        if method == b"GET" and target in PROBE_TARGETS:
            self.owner.on_probe(self, target)
        elif b"x-request-id" not in request.headers:
            self.write(encode_response(http.HTTPStatus.NOT_FOUND, b"", ""))
        else:
            self.owner.on_request(self, request)

    # Output and closing

    def is_closing(self) -> bool:
        """Return whether the connection no longer accepts output."""
        return self.transport is None or self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write a response, unless a fault drops it."""
        if self.owner.drops_output:
            return
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def use_nagle_algorithm(self) -> None:
        """Let the system delay small writes until earlier ones are acknowledged, as it does by default."""
        if self.transport is not None:
            sock: socket.socket = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)

    def close(self) -> None:
        """Close the connection once all pending output has been written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection with a reset, which emulates the end of the process."""
        if self.transport is None or self.transport.is_closing():
            return
        sock: socket.socket = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.transport.abort()

    def end_attempt(self, outcome: AttemptOutcome, status: int = 0, not_run: bool = False) -> None:
        """Record the end of the attempt in flight, if there is one."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.ended_us = self.owner.clock.now_us()
            attempt.outcome, attempt.status, attempt.not_run = outcome, status, not_run
