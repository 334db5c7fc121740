"""A client's HTTP/1.1 connection to the sidecar, which carries one request at a time."""

from __future__ import annotations

import asyncio
import enum
import http
import logging
import socket
from typing import Protocol

from ryepier.sidecar import system
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.read_pacer import REQUEST_WORK, PacedProtocol, ReadPacer
from ryepier.sidecar.request_parsing import READINESS_PATH, Dialect, RequestError, Response, retry_after_line
from ryepier.sidecar.request_reader import RequestReader
from ryepier.sidecar.requests import ClientRequest, FinalAnswer

log = logging.getLogger(__name__)

MAX_DISCARDED_BYTES = 64 * 1024  # limit of the bytes received after the last request; beyond it, reading is paused
READ_TIMEOUT_S = 2.4  # time to send a request: the first one from the connect, a later one from its first byte
SLOW_READ_TIMEOUT_S = 6.0  # time to send a later request whose bytes keep arriving
READ_STALL_S = 0.8  # a request has stalled if none of its bytes arrives for this long
IDLE_TIMEOUT_S = 60.0
LINGER_TIMEOUT_S = 1.0  # time for the client to read the last response and close the connection
FLUSH_TIMEOUT_S = 5.0  # added to a state's timeout while part of a response is in the write buffer
SUPPORTED_HTTP_VERSIONS = ("1.0", "1.1")
REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}
PIPELINING_REJECTION = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


def render_rejection(retry_after_us: int) -> bytes:
    """Return the bytes of a 503 after which the connection closes."""
    head = b"HTTP/1.1 503 Service Unavailable\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n"
    return head % retry_after_line(retry_after_us)


class ClientState(enum.Enum):
    """State of a client connection.

    NEW -> PROCESSING when the first request is complete; PROCESSING -> IDLE when its response is written; IDLE ->
    READING -> PROCESSING for each further request. Any state -> CLOSING when the last response is written or the
    connection is closed.
    """

    NEW = enum.auto()  # no complete request has arrived yet
    IDLE = enum.auto()  # between requests
    READING = enum.auto()  # part of a further request has arrived
    PROCESSING = enum.auto()  # a request was accepted and has no answer yet
    CLOSING = enum.auto()  # the last response is written


# How long a connection may stay in a state. PROCESSING has no entry, as a request has its own deadline.
STATE_TIMEOUTS_S = {
    ClientState.NEW: READ_TIMEOUT_S,
    ClientState.IDLE: IDLE_TIMEOUT_S,
    ClientState.READING: READ_TIMEOUT_S,
    ClientState.CLOSING: LINGER_TIMEOUT_S,
}


class ClientConnectionOwner(Protocol):
    """The part of the server that its connections use."""

    dialect: Dialect
    dispatcher: RequestDispatcher
    partial_retry_after_us: int  # Retry-After of rejected partial requests; 0 = no such header
    read_pacer: ReadPacer
    is_stopping: bool  # the server shuts down: each response is the last of its connection

    @property
    def is_ready(self) -> bool:
        """Whether the sidecar accepts requests and has upstreams to send them to."""

    def has_many_connections(self) -> bool:
        """Return whether so many connections are open that new ones should close after their first response."""

    def change_state(self, client: ClientConnection, state: ClientState) -> None:
        """Set a connection's state and restart its state timeout. Does nothing if the connection was removed."""

    def account_for_request(self, client: ClientConnection) -> bool:
        """Account for the memory of the connection's request; return False if it was rejected to save memory."""

    def release_request(self, client: ClientConnection) -> None:
        """Record that the connection's request needs no more memory."""

    def remove(self, client: ClientConnection) -> None:
        """Stop tracking a connection; its later state changes are ignored."""


class ClientConnection(PacedProtocol):
    """A client connection: reads requests, passes them to the dispatcher, and writes the responses."""

    def __init__(self, server: ClientConnectionOwner, sock: socket.socket) -> None:
        """Create the connection of an accepted socket, in state NEW. It reads once `connection_made` is called."""
        super().__init__()
        self.server = server
        self.sock = sock
        self.state = ClientState.NEW
        self.state_since = system.monotonic()
        self.last_received_at = 0.0  # time of the current request's last bytes; 0 = none yet
        self.reader = RequestReader()
        self.request: ClientRequest | None = None  # the request being processed
        self.request_ident = 0  # the ident that the dispatcher assigned to `request`
        self.has_pipelined_bytes = False  # bytes have arrived after the request that is being processed
        self.closes_after_response = False
        self.discarded_bytes = 0
        self.response_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, or abort it if the connection has been evicted meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state is ClientState.CLOSING:  # evicted while the transport was being created
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the server and close its open request."""
        self.server.remove(self)
        self.reader.release()
        self.request = None
        if self.state is ClientState.PROCESSING:
            self.server.dispatcher.on_client_disconnected(self.request_ident)

    # Reading

    @property
    def read_pacer(self) -> ReadPacer:
        """The pacer of the server's connections."""
        return self.server.read_pacer

    def data_received(self, data: bytes) -> None:
        """Read received bytes; hand the request to the dispatcher once it is complete."""
        if self.state in (ClientState.CLOSING, ClientState.PROCESSING):
            self._discard(data)
            return
        if self.state is ClientState.IDLE:
            self.server.change_state(self, ClientState.READING)
        self.last_received_at = system.monotonic()
        try:
            self._feed(data)
            self.has_pipelined_bytes = self.reader.has_pipelined_bytes
            if self.server.account_for_request(self) and self.reader.is_complete:
                self._accept_request()
        except RequestError as error:
            self._log_rejection(error.status, str(error))
            response = self.server.dialect.render_error(self.reader.target, error)
            self.write(response, last=not error.keeps_connection)
        except Exception:  # an error in one request must affect neither the process nor other requests
            log.exception("request could not be read")
            self.write(Response(500), last=True)

    def _feed(self, data: bytes) -> None:
        callbacks_before = self.reader.callback_count
        try:
            self.reader.feed(data)
        finally:
            self.parse_work += self.reader.callback_count - callbacks_before

    def _log_rejection(self, status: int, reason: str) -> None:
        part = "body" if self.reader.head_complete else "head"
        log.info("request not accepted, status %d: %s (%s, %d bytes)", status, reason, part, self.reader.received_bytes)

    def _discard(self, data: bytes) -> None:
        """Discard bytes that follow the last accepted request.

        The connection closes once that request is answered. If too many bytes arrive, the request is rejected.
        """
        self.has_pipelined_bytes = True
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            if self.state is ClientState.PROCESSING:
                # While reading is paused a disconnect goes unnoticed, and the request would be forwarded although
                # nobody waits for it.
                self.server.dispatcher.on_client_disconnected(self.request_ident)
                self.write(Response(400), last=True)
            self.transport.pause_reading()

    def _accept_request(self) -> None:
        """Hand the complete request to the dispatcher. Raises RequestError if it is not acceptable."""
        reader = self.reader
        assert self.transport is not None
        if not self.is_flushed:  # responses that the client does not read would fill the memory
            raise RequestError(400, "the last answer was not read")
        if reader.http_version not in SUPPORTED_HTTP_VERSIONS:
            raise RequestError(400, "not HTTP/1.1")
        if not reader.keeps_alive:
            self.closes_after_response = True
        if reader.target == READINESS_PATH and reader.method == b"GET":
            self.write(Response(200 if self.server.is_ready else 503))
            return
        request = self.server.dialect.parse(reader.method, reader.target, reader.headers, bytes(reader.body))
        if not self.server.dispatcher.recent_ids.add(request.request_id):
            # An upstream that is working on the same id would reject this request, and the response to one client's
            # request might reach the other client.
            raise RequestError(409, "this X-Request-Id has been used")
        reader.release()
        self.request = request
        if self.received_at:
            # The client's time began when the request arrived, not when it was read.
            request.arrived_at_us = min(request.arrived_at_us, int(self.received_at * 1e6))
        self.read_pacer.turn_work += REQUEST_WORK
        self.server.change_state(self, ClientState.PROCESSING)
        request.client_disconnected = self.client_disconnected
        self.request_ident = self.server.dispatcher.on_request(request, self.respond)

    def client_disconnected(self) -> bool:
        """Return whether the client of the open request has disconnected.

        Checks the socket directly, as the event loop may not have read it yet. Bytes before the end of the stream are
        discarded, as they are in `data_received`. A client that only closes its sending direction can't be told from
        one that closes the connection, so it counts as disconnected.
        """
        assert self.transport is not None
        while not self.transport.is_closing():
            discardable_bytes = MAX_DISCARDED_BYTES - self.discarded_bytes
            try:
                if not self.sock.recv(1, socket.MSG_PEEK) or not discardable_bytes:
                    return True  # end of stream, or too many bytes: reading either would close the request
                self.discarded_bytes += len(self.sock.recv(discardable_bytes))
            except BlockingIOError:
                return False
            except OSError:  # the connection was reset
                return True
            self.has_pipelined_bytes = True
        return True

    # Writing

    def respond(self, answer: FinalAnswer) -> None:
        """Write the final answer of the open request."""
        if self.state is ClientState.PROCESSING and self.request is not None:
            self.write(self.server.dialect.render(self.request, answer))

    def reject_partial(self, reason: str) -> None:
        """Reject a request that has arrived only in part, and close the connection."""
        self._log_rejection(503, reason)
        self.write(Response(503, b"", retry_after_line(self.server.partial_retry_after_us)), last=True)

    def write(self, response: Response, last: bool = False) -> None:
        """Write a response; with `last` the connection closes after it."""
        assert self.transport is not None
        if self.transport.is_closing():
            return
        # Client connections are limited, and clients that send one request and stay connected would block others.
        closes_for_capacity = (
            self.state is ClientState.PROCESSING and self.response_count == 0 and self.server.has_many_connections()
        )
        last = last or self.closes_after_response or self.server.is_stopping or closes_for_capacity
        self.response_count += 1
        headers = response.headers + b"Connection: close\r\n" if last else response.headers
        head_fields = (response.status, REASON_PHRASES[response.status], headers, len(response.body))
        data = b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" % head_fields + response.body
        if self.has_pipelined_bytes and not last:
            data += PIPELINING_REJECTION
        self.transport.write(data)
        self.reader.release()
        self.server.release_request(self)
        self.request = None
        if last or self.has_pipelined_bytes:
            # Closing a socket with unread bytes resets the connection, and the client might lose its response. So only
            # the sending direction is closed.
            self.server.change_state(self, ClientState.CLOSING)
            self.transport.write_eof()
        else:
            self.reader = RequestReader()
            self.last_received_at = 0.0
            self.server.change_state(self, ClientState.IDLE)

    # Closing

    @property
    def is_flushed(self) -> bool:
        """Whether the write buffer is empty; closing the connection would drop its contents."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def has_no_unread_bytes(self) -> bool:
        """Return whether there are no received bytes that were not parsed yet."""
        if self.unparsed_bytes:
            return False
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:  # no bytes have arrived, or the connection is broken
            return True

    def close(self) -> None:
        """Close the connection at once. It must have no open request."""
        self.server.change_state(self, ClientState.CLOSING)
        if self.transport is not None:
            self.transport.abort()
            # The transport would close the socket only in the next iteration of the event loop, and a request that
            # arrives before that would cause a reset.
            self.sock.close()

    def on_state_timeout(self) -> None:
        """Handle a state that has lasted longer than its timeout: reject a slow request, or close the connection."""
        now = system.monotonic()
        if self.state in (ClientState.NEW, ClientState.READING) and self.reader.received_bytes:
            # A connection without a complete first request must end within 3 s, however slowly bytes arrive. So only
            # later requests get the longer timeout.
            timeout_s = READ_TIMEOUT_S if self.state is ClientState.NEW else SLOW_READ_TIMEOUT_S
            ends_at = self.state_since + timeout_s
            if self.unparsed_bytes:
                reason = "it takes too much work to parse"
            else:
                reason = "it arrives too slowly"
                ends_at = min(ends_at, self.last_received_at + READ_STALL_S)
            if now > ends_at:
                self._log_rejection(408, reason)
                self.write(Response(408), last=True)
            return
        may_still_flush = now < self.state_since + STATE_TIMEOUTS_S[self.state] + FLUSH_TIMEOUT_S
        is_lingering = self.state is ClientState.CLOSING
        if (self.is_flushed or not may_still_flush) and (is_lingering or self.has_no_unread_bytes()):
            self.close()
