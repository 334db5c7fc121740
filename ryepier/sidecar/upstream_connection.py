"""An HTTP/1.1 connection to an upstream, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import enum
import http
import logging
import socket
from typing import Protocol

import httptools

from ryepier.balancer.interface import Outcome
from ryepier.errors import RyepierError
from ryepier.sidecar import system
from ryepier.sidecar.read_pacer import PacedProtocol, ReadPacer
from ryepier.sidecar.request_parsing import NOT_RUN_HEADER
from ryepier.sidecar.requests import AttemptResult, Header
from ryepier.sidecar.response_framing import FRAMING_HEADERS, runs_until_end_of_connection
from ryepier.sidecar.segments import MAX_SEGMENT_BYTES, split_into_segments
from ryepier.sidecar.upstream_attempt import UpstreamAttempt

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 256 * 1024  # including its head, preceding interim responses, and chunk framing
MAX_HEAD_BYTES = 32 * 1024
CALLBACKS_PER_MESSAGE = 4  # begin, status, end of the head, end of the message
FIRST_FINAL_STATUS = 200  # a response with a lower status is an interim one
NOT_RUN_STATUSES = frozenset((503, 504))  # with X-Not-Run: 1, the upstream rejected the request before running it
RETRYABLE_STATUSES = frozenset((408, 425, 429))  # the 4xx statuses that don't depend on the request itself


class ResponseTooLongError(RyepierError):
    """A response exceeds a limit on its size; reading on might take hours or fill the memory."""


class ConnectionState(enum.Enum):
    """Whether a connection can carry another attempt."""

    OPEN = enum.auto()
    UNUSABLE = enum.auto()  # closes after the current response
    CLOSING = enum.auto()  # closed by the sidecar, but its descriptor is not free yet
    CLOSED = enum.auto()


class ResponseReader:
    """Collects one response from the callbacks of the HTTP parser."""

    def __init__(self) -> None:
        """Start before the first byte of a response."""
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.is_complete = False
        self.keeps_alive = True  # the connection may carry another request after this response
        self.status = 0
        self.marked_not_run = False
        self.content_type = b""
        self.framing_headers: list[Header] = []
        self.body = bytearray()
        self.received_bytes = 0
        self.head_complete = False
        self.callback_count = 0  # calls of the parser, the cost of parsing

    def feed(self, data: bytes) -> None:
        """Parse bytes of the response.

        Raises HttpParserError or HttpParserUpgrade on malformed input, ResponseTooLongError if it exceeds a limit.
        """
        assert self.parser is not None
        for segment in split_into_segments(data, self._bytes_until_limit):
            self.received_bytes += len(segment)
            self.parser.feed_data(segment)
            if not self.is_complete and self._bytes_until_limit() <= 0:
                raise ResponseTooLongError

    def finish(self) -> None:
        """Record the regular end of the connection, which completes a response without a length and chunks."""
        if self.head_complete and not self.is_complete:
            self.keeps_alive = False
            self.is_complete = runs_until_end_of_connection(self.status, self.framing_headers)

    def _bytes_until_limit(self) -> int:
        if self.is_complete:
            return MAX_SEGMENT_BYTES
        return (MAX_RESPONSE_BYTES if self.head_complete else MAX_HEAD_BYTES) - self.received_bytes

    def release(self) -> None:
        """Break the reference cycle with the parser, which only a rare full garbage collection would end."""
        self.parser = None

    # Callbacks of the HTTP parser

    def on_message_begin(self) -> None:
        """Record that a second response has begun, after which the connection can't be reused."""
        self.callback_count += CALLBACKS_PER_MESSAGE
        if self.is_complete:
            self.keeps_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluate a header. Raises ResponseTooLongError if Content-Length exceeds MAX_BODY_BYTES."""
        self.callback_count += 1
        if self.is_complete:
            return
        name = name.lower()
        if name == b"content-length" and int(value) > MAX_BODY_BYTES:
            raise ResponseTooLongError
        if name in FRAMING_HEADERS and not self.head_complete:
            self.framing_headers.append((name, value))
        if name == NOT_RUN_HEADER:
            self.marked_not_run = value.strip() == b"1"
        elif name == b"content-type":
            self.content_type = value

    def on_headers_complete(self) -> None:
        """Record the status and the end of the head."""
        assert self.parser is not None
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        self.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body. Raises ResponseTooLongError if the body exceeds MAX_BODY_BYTES."""
        self.callback_count += 1
        if not self.is_complete:
            self.body += data
            if len(self.body) > MAX_BODY_BYTES:
                raise ResponseTooLongError

    def on_message_complete(self) -> None:
        """Record the end of the response; an interim response is discarded."""
        assert self.parser is not None
        if self.is_complete:
            return
        if self.status < FIRST_FINAL_STATUS:
            self.marked_not_run = self.head_complete = False
            self.content_type = b""
            self.framing_headers = []
            return
        self.is_complete = True
        self.keeps_alive = self.parser.should_keep_alive()


class ConnectionOwner(Protocol):
    """The part of the pool that its connections use."""

    read_pacer: ReadPacer

    def add(self, connection: UpstreamConnection) -> None:
        """Add a connection that is about to be dialled."""

    def put_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for later attempts."""

    def record_reuse(self, idle_us: int, broke: bool) -> None:
        """Record whether a reused connection, which had been idle for `idle_us`, broke at its next request."""

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the pool."""

    def on_closing(self, connection: UpstreamConnection) -> None:
        """Record that a connection is closing; it keeps its descriptor until `on_closed`."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection whose descriptor is freed before the next iteration of the event loop."""


class UpstreamConnection(PacedProtocol):
    """A connection to an upstream: writes an attempt, reads its response, and reports the outcome."""

    def __init__(self, pool: ConnectionOwner, upstream: int, sock: socket.socket) -> None:
        """Add the connection to the pool, in state OPEN; the pool dials its socket afterwards."""
        super().__init__()
        self.pool = pool
        self.upstream = upstream
        self.upstream_removed = False  # the upstream is no longer listed or has another address
        self.sock = sock
        self.state = ConnectionState.OPEN
        self.attempt: UpstreamAttempt | None = None
        self.response: ResponseReader | None = None
        self.partly_written = False  # a part of the request is still in the write buffer
        self.idle_since_us = 0
        self.idle_us = 0  # idle time before the current attempt; 0 for the first attempt
        pool.add(self)

    @property
    def read_pacer(self) -> ReadPacer:
        """The pacer of the pool's connections."""
        return self.pool.read_pacer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that waits for this connection, if it may still be sent."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # pause_writing and resume_writing tell whether all was written
        attempt, self.attempt = self.attempt, None
        outcome = Outcome.CONNECT_FAILED
        if self.upstream_removed:  # a removed upstream must not get new requests, even for earlier attempts
            self.close()
        elif attempt is None or attempt.is_expired():
            self.pool.put_idle(self)
        elif attempt.request.client_disconnected():
            self.pool.put_idle(self)
            outcome = Outcome.NOT_SENT
        else:
            self.send(attempt)
            return
        if attempt is not None:
            attempt.end(AttemptResult(outcome))

    def pause_writing(self) -> None:
        """Record that a part of the request is still in the write buffer."""
        self.partly_written = True

    def resume_writing(self) -> None:
        """Record that the whole request was written to the network."""
        self.partly_written = False

    def is_usable(self) -> bool:
        """Return whether another attempt can be sent.

        Checks the socket directly: the upstream may have closed the connection or sent surplus bytes that were not read
        yet, and a request sent on such a connection would fail.
        """
        if self.state is not ConnectionState.OPEN or self.transport is None or self.transport.is_closing():
            return False
        return self.has_no_unread_bytes()

    def has_no_unread_bytes(self) -> bool:
        """Return whether there are no received bytes that were not parsed yet, and no end of the connection."""
        if self.unparsed_bytes:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, attempt: UpstreamAttempt) -> None:
        """Write an attempt and prepare to read its response."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        attempt.write_started = True
        self.response = ResponseReader()
        self.transport.write(attempt.render())
        if self.transport.is_closing():  # the write failed, as the connection was already broken
            self.partly_written = True

    def data_received(self, data: bytes) -> None:
        """Read bytes of the response.

        They are acknowledged at once, so that a surplus response arrives while the connection rests and not only with
        the next request, to which it would then seem to be the response.
        """
        system.acknowledge_received(self.sock)
        response = self.response
        if self.attempt is None or response is None:
            self.close()  # surplus bytes, without a request
            return
        malformed = False
        callbacks_before = response.callback_count
        try:
            response.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ResponseTooLongError):
            malformed = True  # the bytes that follow could be taken for the next response
        self.parse_work += response.callback_count - callbacks_before
        if malformed or not response.keeps_alive:
            self._mark_unusable()
        if response.is_complete:
            self._finish_complete(response)
        elif malformed:
            self.close()
            self._finish(Outcome.MALFORMED_RESPONSE)

    def _finish_complete(self, response: ResponseReader) -> None:
        if self.state is not ConnectionState.OPEN or self.partly_written:
            # If a part of this request is still unwritten, the upstream would take it for the next request.
            self.close()
        forwards_errors = self.attempt is not None and self.attempt.request.forwards_client_errors
        is_final_error = 400 <= response.status < 500 and response.status not in RETRYABLE_STATUSES
        if response.status == http.HTTPStatus.OK or (forwards_errors and is_final_error):
            # A response that is complete before the request was written can't be the response to it.
            self._finish(Outcome.MALFORMED_RESPONSE if self.partly_written else Outcome.OK)
        elif response.status in NOT_RUN_STATUSES and response.marked_not_run:
            self._finish(Outcome.REJECTED)
        else:
            self._finish(Outcome.ERROR)

    def _finish(self, outcome: Outcome) -> None:
        """End the attempt, and make the connection idle if it can be reused."""
        attempt, self.attempt = self.attempt, None
        response, self.response = self.response, None
        received_bytes = response.received_bytes if response is not None else 0
        if self.idle_us > 0:
            self.pool.record_reuse(self.idle_us, broke=outcome is Outcome.RESET and received_bytes == 0)
        if outcome is Outcome.RESET and attempt is not None:
            self._log_reset(attempt, received_bytes)
        result = AttemptResult(outcome)
        if outcome is Outcome.OK and response is not None:
            result = AttemptResult(outcome, bytes(response.body), response.content_type, response.status)
        if response is not None:
            response.release()
        if self.state is ConnectionState.OPEN:
            if self.upstream_removed:
                self.close()
            else:
                self.pool.put_idle(self)
        if attempt is not None:
            attempt.end(result)

    def _log_reset(self, attempt: UpstreamAttempt, received_bytes: int) -> None:
        request_id = attempt.request.request_id.decode()
        log.info(
            "request %s: connection to upstream %d reset, idle for %d ms before, %d bytes received",
            request_id,
            self.upstream,
            self.idle_us // 1000,
            received_bytes,
            extra={"request": request_id, "upstream": self.upstream},
        )

    def eof_received(self) -> None:
        """Stop using the connection, as the upstream closes it; that completes a response without a length.

        A reset does not get here: it only ends the connection, and an attempt without a complete response with it.
        """
        self._mark_unusable()
        if self.attempt is not None and self.response is not None:
            self.response.finish()
            if self.response.is_complete:
                self._finish_complete(self.response)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the pool and end its attempt."""
        self.state = ConnectionState.CLOSED
        self.pool.on_closed(self)
        if self.attempt is not None:
            # The upstream may have run a request that was written completely, but not one that was written in part.
            self._finish(Outcome.CONNECT_FAILED if self.partly_written else Outcome.RESET)
        elif self.response is not None:
            self.response.release()

    def close(self) -> None:
        """Close the connection at once. If it still has an attempt, that ends in `connection_lost`."""
        self.pool.remove(self)
        if self.transport is not None:
            if self.state is not ConnectionState.CLOSED:
                self.state = ConnectionState.CLOSING
                self.pool.on_closing(self)
            self.transport.abort()
        else:
            self.state = ConnectionState.CLOSED

    def _mark_unusable(self) -> None:
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.UNUSABLE
