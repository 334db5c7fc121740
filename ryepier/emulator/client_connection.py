"""A connection of an emulated client: response parsing, and the pool of idle connections to one address."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

import httptools

from ryepier.emulator.process import Address
from ryepier.emulator.records import ClientAttempt, RequestOutcome


@dataclass(frozen=True, slots=True)
class Response:
    """A response that has been received completely."""

    status: int
    retry_after_us: int
    body: bytes


class OutgoingRequest(Protocol):
    """The request that a connection currently carries."""

    attempt: ClientAttempt
    closes_connection: bool
    has_ended: bool

    def send(self, connection: ClientConnection) -> None:
        """Write the request to a connection that has been established."""

    def on_response(self, response: Response) -> None:
        """Record the response, and end the request."""

    def on_connection_lost(self, may_be_unread: bool) -> None:
        """Handle the end of the connection; with `may_be_unread`, the peer may not have read the request."""

    def end(self, outcome: RequestOutcome) -> None:
        """End the request without a response."""


class Target:
    """The address of a sidecar or converter that clients send to, with the idle connections to it."""

    def __init__(self, address: Address) -> None:
        """Start without connections."""
        self.address = address
        self.idle_connections: list[ClientConnection] = []
        self.host = b"%s:%d" % (address[0].encode(), address[1])

    def take_idle_connection(self) -> ClientConnection | None:
        """Remove and return the most recently used idle connection that is still open; None if there is none."""
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None


class ClientConnection(asyncio.Protocol):
    """One connection of a client; it carries one request at a time."""

    def __init__(self, target: Target, request: OutgoingRequest | None) -> None:
        """Wait for the connection to be established, and then send `request` on it."""
        self.target = target
        self.request = request
        self.transport: asyncio.Transport | None = None
        self.last_attempt: ClientAttempt | None = None  # the last answered attempt; None during a request
        self._response_count = 0
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._retry_after_us = 0
        self._body = b""
        self._message_complete = self._keep_alive = False
        self._status = 0
        self._has_second_response = False  # another response began in the same read
        self._response_started = False

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request that the connection was opened for, unless it has ended meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.request is None or self.request.has_ended:
            self.target.idle_connections.append(self)
        else:
            self.request.send(self)

    def data_received(self, data: bytes) -> None:
        """Parse a response. If no request is in flight, count the bytes and close the connection."""
        if self.request is None:
            if self.last_attempt is not None:
                self.last_attempt.trailing_bytes += len(data)
            self.close()
            return
        self._response_started = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(RequestOutcome.BROKEN)
            return
        if self._message_complete:
            self._complete_response()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the pool, and notify the request in flight."""
        if self in self.target.idle_connections:
            self.target.idle_connections.remove(self)
        request, self.request = self.request, None
        if request is not None:
            request.on_connection_lost(may_be_unread=not self._response_started and self._response_count > 0)

    # The parser's callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the value of Retry-After; other headers are ignored."""
        if self._message_complete:
            return
        if name.lower() == b"retry-after":
            self._retry_after_us = int(float(value) * 1e6)

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        if not self._message_complete:
            self._body += data

    def on_message_begin(self) -> None:
        """Record that another response follows the complete one."""
        self._has_second_response = self._message_complete

    def on_message_complete(self) -> None:
        """Record the status and whether the connection can be reused, which the parser knows only at this point."""
        if self._message_complete:
            return
        self._message_complete = True
        self._status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()

    def _complete_response(self) -> None:
        """Return the connection to the pool or close it, and pass the response to the request."""
        request = self.request
        assert request is not None
        response = Response(self._status, self._retry_after_us, self._body)
        is_reusable = self._keep_alive and not request.closes_connection and not self._has_second_response
        self.request = None
        self.last_attempt = request.attempt
        self.last_attempt.trailing_bytes += self._has_second_response  # at least one; their number is not known
        self._response_count += 1
        self._reset_parser()
        if is_reusable:
            self.target.idle_connections.append(self)
        else:
            self.close()
        request.on_response(response)

    def _fail(self, outcome: RequestOutcome) -> None:
        request, self.request = self.request, None
        self.close()
        if request is not None:
            request.end(outcome)

    def close(self) -> None:
        """Remove the connection from the pool, and abort it."""
        if self in self.target.idle_connections:
            self.target.idle_connections.remove(self)
        if self.transport is not None:
            self.transport.abort()
