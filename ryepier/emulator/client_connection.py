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
    """A response that has been received in full."""

    status: int
    retry_after_us: int
    body: bytes


class ConnectionUser(Protocol):
    """The request that a connection carries."""

    attempt: ClientAttempt
    closes_connection: bool
    ended: bool

    def send(self, connection: ClientConnection) -> None:
        """Write the request to a connection that has been established for it."""

    def on_response(self, response: Response) -> None:
        """Handle the response."""

    def on_connection_lost(self, may_be_unread: bool) -> None:
        """Handle the end of the connection; on a reused one the request may not have been read at all."""

    def end(self, outcome: RequestOutcome) -> None:
        """End the request without a response."""


class Target:
    """An address that clients send to, a sidecar or a converter, with the idle connections to it."""

    def __init__(self, address: Address) -> None:
        """Start without connections."""
        self.address = address
        self.idle: list[ClientConnection] = []
        self.host = b"%s:%d" % (address[0].encode(), address[1])

    def take_idle(self) -> ClientConnection | None:
        """Return the connection that became idle last and is still open, if there is one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None


class ClientConnection(asyncio.Protocol):
    """One connection of a client; it carries one request at a time."""

    def __init__(self, target: Target, user: ConnectionUser | None) -> None:
        """Established for one request, which is sent as soon as the connection is up."""
        self.target = target
        self.user = user
        self.transport: asyncio.Transport | None = None
        self.last_attempt: ClientAttempt | None = None  # answered on this connection, with none in flight since
        self._response_count = 0
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._retry_after_us = 0
        self._body = b""
        self._complete = self._keep_alive = False
        self._receiving = False

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request that the connection was opened for, unless it has ended meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.user is None or self.user.ended:
            self.target.idle.append(self)
        else:
            self.user.send(self)

    def data_received(self, data: bytes) -> None:
        """Parse; bytes without a request in flight are counted, and the connection is closed."""
        if self.user is None:
            if self.last_attempt is not None:
                self.last_attempt.trailing_bytes += len(data)
            self.close()
            return
        self._receiving = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._end(RequestOutcome.BROKEN)
            return
        if self._complete:
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Leave the pool, and end the request in flight."""
        if self in self.target.idle:
            self.target.idle.remove(self)
        user, self.user = self.user, None
        if user is not None:
            user.on_connection_lost(may_be_unread=not self._receiving and self._response_count > 0)

    # The parser's callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the value of Retry-After."""
        if name.lower() == b"retry-after":
            self._retry_after_us = int(float(value) * 1e6)

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Note whether the connection can be reused, which the parser answers only now."""
        self._complete = True
        self._keep_alive = self._parser.should_keep_alive()

    def _finish(self) -> None:
        """Make the connection available again, or close it, and pass the response on."""
        user = self.user
        assert user is not None
        response = Response(self._parser.get_status_code(), self._retry_after_us, self._body)
        is_reusable = self._keep_alive and not user.closes_connection
        self.user = None
        self.last_attempt = user.attempt
        self._response_count += 1
        self._reset_parser()
        if is_reusable:
            self.target.idle.append(self)
        else:
            self.close()
        user.on_response(response)

    def _end(self, outcome: RequestOutcome) -> None:
        user, self.user = self.user, None
        self.close()
        if user is not None:
            user.end(outcome)

    def close(self) -> None:
        """Leave the pool and close at once."""
        if self in self.target.idle:
            self.target.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()
