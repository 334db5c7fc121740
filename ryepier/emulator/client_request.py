"""One attempt of an emulated client: connects or reuses a connection, sends, and waits for the response."""

from __future__ import annotations

import asyncio
import http
import socket
from collections.abc import Coroutine
from typing import Any, Protocol

import msgspec

from ryepier.emulator.client_connection import ClientConnection, Response, Target
from ryepier.emulator.client_messages import MessageCodec
from ryepier.emulator.client_retries import may_retry
from ryepier.emulator.process import Clock
from ryepier.emulator.records import NEVER, ClientAttempt, RequestOutcome
from ryepier.emulator.world import World
from ryepier.sidecar import system

REFUSAL_STATUSES = (http.HTTPStatus.TOO_MANY_REQUESTS, http.HTTPStatus.SERVICE_UNAVAILABLE)


class RequestOwner(Protocol):
    """The parts of a client process that its requests use."""

    clock: Clock
    world: World
    codec: MessageCodec

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""

    def read_timeout_us(self, attempt: ClientAttempt) -> int:
        """Return how long the client waits for a response to the attempt after sending it."""

    def on_ended(self, attempt: ClientAttempt, outcome: RequestOutcome) -> None:
        """Record how an attempt ended, and schedule a retry if one is allowed. Called once for each attempt."""


class ClientRequest:
    """One attempt in flight.

    If a reused connection ends before the response and a repeat is harmless, the attempt is sent once more.
    """

    def __init__(self, owner: RequestOwner, target: Target, attempt: ClientAttempt, closes_connection: bool) -> None:
        """Prepare the attempt; `start` sends it. The connection is closed after the response if `closes_connection`."""
        self.owner = owner
        self.target = target
        self.attempt = attempt
        self.closes_connection = closes_connection
        self.has_ended = False
        self._was_resent = False
        self._connection: ClientConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send the attempt on an idle connection, or open a new connection for it."""
        connection = self.target.take_idle_connection()
        if connection is None:
            self.owner.spawn(self._connect())
            return
        connection.request = self
        self.send(connection)

    async def _connect(self) -> None:
        """Open a connection, which then sends the request."""
        loop = asyncio.get_running_loop()
        sock = system.tcp_socket(socket.AF_INET)
        try:
            sock.setblocking(False)
            # The timeout covers only connecting. If it also covered sending, it could expire in the same iteration of
            # the event loop in which the request is sent; the request would count as unreachable and be sent again.
            async with asyncio.timeout(self.attempt.deadline_us / 1e6):
                await loop.sock_connect(sock, self.target.address)
            await loop.create_connection(lambda: ClientConnection(self.target, self), sock=sock)
        except OSError:  # includes TimeoutError
            sock.close()
            self.end(RequestOutcome.UNREACHABLE)

    def send(self, connection: ClientConnection) -> None:
        """Write the request. The timeout starts when the request is written for the first time."""
        assert connection.transport is not None
        self._connection = connection
        connection.last_attempt = None
        now_us = self.owner.clock.now_us()
        if self.attempt.sent_us == NEVER:
            self.attempt.sent_us = now_us
            timeout_at_us = now_us + self.owner.read_timeout_us(self.attempt)
            self._timer = self.owner.clock.handle_at(timeout_at_us, self._on_timeout)
        connection.transport.write(
            self.owner.codec.encode_request(self.attempt, self.target.host, self.owner.clock.now_us())
        )

    def _on_timeout(self) -> None:
        connection = self._connection
        if connection is not None and connection.request is self:
            connection.request = None
            connection.close()
        is_early = self.owner.clock.now_us() < self.attempt.sent_us + self.attempt.deadline_us
        self.end(RequestOutcome.LEFT if is_early else RequestOutcome.TIMEOUT)

    def on_response(self, response: Response) -> None:
        """Record the response, and end the attempt."""
        attempt = self.attempt
        attempt.status, attempt.retry_after_us = response.status, response.retry_after_us
        if response.status == http.HTTPStatus.OK:
            self._record_body(response)
            self.end(RequestOutcome.SERVED)
        elif response.status in REFUSAL_STATUSES:
            self.end(RequestOutcome.REFUSED)
        else:
            self.end(RequestOutcome.FAILED)

    def _record_body(self, response: Response) -> None:
        """Record the ids in the body. If the body cannot be decoded, the ids stay empty, which the judge reports."""
        try:
            body = self.owner.codec.decode_response(response.body)
        except msgspec.DecodeError:
            return
        self.attempt.response_request_id, self.attempt.responder_uid = body.request_id, body.uid

    def on_connection_lost(self, may_be_unread: bool) -> None:
        """Send again on a new connection if the request may not have been read and a repeat is harmless."""
        attempt = self.attempt
        attempt.may_be_unread = may_be_unread
        request_class = self.owner.world.classes[attempt.request_class]
        may_repeat = may_retry(request_class, RequestOutcome.BROKEN, attempt.sent_us, self.owner.clock.now_us())
        if may_be_unread and not self._was_resent and may_repeat:
            self._was_resent = True
            self.owner.spawn(self._connect())
        else:
            self.end(RequestOutcome.BROKEN)

    def end(self, outcome: RequestOutcome) -> None:
        """End the attempt; further calls have no effect."""
        if self.has_ended:
            return
        self.has_ended = True
        if self._timer is not None:
            self._timer.cancel()
        self.owner.on_ended(self.attempt, outcome)
