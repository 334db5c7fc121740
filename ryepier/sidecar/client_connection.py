"""One connection of the application; it carries one request at a time."""

from __future__ import annotations

import asyncio
import enum
import http
import logging
import socket
from typing import Protocol

import httptools

from ryepier.sidecar import system
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.request_ids import RecentRequestIds
from ryepier.sidecar.request_parsing import READINESS_PATH, Dialect, RequestError, Response, retry_after
from ryepier.sidecar.requests import ClientRequest, FinalAnswer, Header

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_CHUNKED_BYTES = 8 * MAX_BODY_BYTES  # of a chunked message: chunks of one byte take six each
MAX_DISCARDED_BYTES = 64 * 1024  # behind the last request; then reading stops
READ_TIMEOUT_S = 2.4  # from the connection to its first request, and to send a later one
SLOW_READ_TIMEOUT_S = 6.0  # to send a later request whose bytes keep arriving
READ_STALL_S = 0.8  # without a byte, from which the bytes of a request do not keep arriving
IDLE_TIMEOUT_S = 60.0
LINGER_TIMEOUT_S = 1.0  # for the client to read the last response
FLUSH_TIMEOUT_S = 5.0  # in addition, while part of a response waits in the process
SUPPORTED_VERSIONS = ("1.0", "1.1")
REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
PIPELINING_REJECTION = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class ClientState(enum.Enum):
    """State of a connection of the application.

    NEW -> PROCESSING on a first request; PROCESSING -> IDLE with its response; IDLE -> READING -> PROCESSING on each
    further one. Each of them -> CLOSING with the last response, or when the connection is of no more use.
    """

    NEW = enum.auto()  # no complete request has arrived yet
    IDLE = enum.auto()  # between requests
    READING = enum.auto()  # part of a further request has arrived
    PROCESSING = enum.auto()  # a request has been accepted and not answered
    CLOSING = enum.auto()  # has its last response


# How long a connection may stay in a state; a request in process has its own deadline.
STATE_TIMEOUTS_S = {
    ClientState.NEW: READ_TIMEOUT_S,
    ClientState.IDLE: IDLE_TIMEOUT_S,
    ClientState.READING: READ_TIMEOUT_S,
    ClientState.CLOSING: LINGER_TIMEOUT_S,
}


class RequestReader:
    """Collects one request from the parser's callbacks."""

    __slots__ = ("body", "chunked", "head_complete", "headers", "is_complete", "received_bytes", "target")

    def __init__(self) -> None:
        """Start before the first byte."""
        self.is_complete = False
        self.head_complete = False
        self.chunked = False
        self.target = b""
        self.headers: list[Header] = []
        self.received_bytes = 0
        self.body = bytearray()

    @property
    def is_partial(self) -> bool:
        """Whether part of a request has arrived, and not all of it."""
        return self.received_bytes > 0 and not self.is_complete

    def add_header(self, name: bytes, value: bytes) -> None:
        """Read a header. Raises RequestError."""
        lower_name = name.lower()
        if lower_name == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise RequestError(400, "a transfer coding other than chunked")
            self.chunked = True
        if lower_name == b"content-length" and int(value) > MAX_BODY_BYTES:
            raise RequestError(413, "the body is too long")
        self.headers.append((name, value))

    def add_body(self, data: bytes) -> None:
        """Read part of the body. Raises RequestError if it is too long: a chunked one has no length in its head."""
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise RequestError(413, "the body is too long")

    def check_length(self) -> None:
        """Raise RequestError if the head, or the chunks with their extensions and trailers, are too long."""
        if not self.head_complete and self.received_bytes > MAX_HEAD_BYTES:
            raise RequestError(413, "the head is too long")
        if self.chunked and not self.is_complete and self.received_bytes > MAX_CHUNKED_BYTES:
            raise RequestError(413, "the chunks are too long")


class ClientConnectionOwner(Protocol):
    """The server that a connection belongs to, as far as the connection needs it."""

    dialect: Dialect
    dispatcher: RequestDispatcher
    recent_ids: RecentRequestIds
    partial_retry_after_us: int  # for a rejected request that has arrived in part; 0 = no Retry-After
    is_stopping: bool  # each response is the last of its connection

    @property
    def is_ready(self) -> bool:
        """Whether requests are accepted and there are upstreams for them."""

    def has_many_connections(self) -> bool:
        """Return whether new connections should close after their first response."""

    def change_state(self, client: ClientConnection, state: ClientState) -> None:
        """Move a connection to another state."""

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection."""


class ClientConnection(asyncio.Protocol):
    """A connection of the application."""

    def __init__(self, server: ClientConnectionOwner, sock: socket.socket) -> None:
        """Start before the first request."""
        self.server = server
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.state = ClientState.NEW
        self.state_since = system.monotonic()
        self.last_received_at = 0.0  # when the last bytes of the current request arrived
        self.reader = RequestReader()
        self.request: ClientRequest | None = None  # in process
        self.request_number = 0  # the dispatcher's number of that
        self.pipelined = False  # bytes arrived behind the request in process
        self.closes_after_response = False
        self.discarded_bytes = 0
        self.responses = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state is ClientState.CLOSING:  # closed to free capacity while it came up
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Leave the server and close the request in process."""
        self.server.remove(self)
        # The parser and this object refer to each other, and would wait for a rare full garbage collection.
        self.parser = self.request = None
        if self.state is ClientState.PROCESSING:
            self.server.dispatcher.on_client_disconnected(self.request_number)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Note a request behind a complete one."""
        if self.reader.is_complete:
            self.pipelined = True

    def on_url(self, url: bytes) -> None:
        """Read part of the target."""
        if not self.reader.is_complete:
            self.reader.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header; trailers are ignored, as they could contradict the head."""
        if not self.reader.is_complete and not self.reader.head_complete:
            self.reader.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        assert self.parser is not None
        if self.reader.is_complete:
            return
        # A server of 1.0 before this one would have gone by the length, and seen the next request begin elsewhere.
        if self.reader.chunked and self.parser.get_http_version() != "1.1":
            raise RequestError(400, "a transfer coding, but not HTTP/1.1")
        self.reader.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Read part of the body."""
        if not self.reader.is_complete:
            self.reader.add_body(data)

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self.reader.is_complete = True

    # Reading

    def data_received(self, data: bytes) -> None:
        """Read bytes of a request."""
        if self.state in (ClientState.CLOSING, ClientState.PROCESSING):
            self._discard(data)
            return
        if self.state is ClientState.IDLE:
            self.server.change_state(self, ClientState.READING)
        self.reader.received_bytes += len(data)
        self.last_received_at = system.monotonic()
        try:
            self._feed(data)
            if self.reader.is_complete:
                self._accept_request()
        except RequestError as error:
            response = self.server.dialect.render_error(self.reader.target, error)
            self.write(response, last=not error.keeps_connection)
        except Exception:  # a fault with one request must end neither the process nor other requests
            log.exception("request could not be read")
            self.write(Response(500), last=True)

    def _discard(self, data: bytes) -> None:
        """Drop bytes behind the last request: the request in process is answered, then the connection closes."""
        self.pipelined = True
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            if self.state is ClientState.PROCESSING:
                # Once reading is paused a disconnect goes unnoticed, and the request would be forwarded in vain.
                self.server.dispatcher.on_client_disconnected(self.request_number)
                self.write(Response(400), last=True)
            self.transport.pause_reading()

    def _feed(self, data: bytes) -> None:
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, RequestError) else error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Bytes behind a complete request that are no request show that its length was wrong.
            raise RequestError(400, "malformed request") from None
        self.reader.check_length()

    def _accept_request(self) -> None:
        """Hand a complete request to the dispatcher. Raises RequestError."""
        assert self.transport is not None and self.parser is not None
        reader, method = self.reader, self.parser.get_method()
        if self.parser.get_http_version() not in SUPPORTED_VERSIONS:
            raise RequestError(400, "not HTTP/1.1")
        if not self.parser.should_keep_alive():
            self.closes_after_response = True
        if reader.target == READINESS_PATH and method == b"GET":
            self.write(Response(200 if self.server.is_ready else 503))
            return
        request = self.server.dialect.parse(method, reader.target, reader.headers, bytes(reader.body))
        self.request = request
        if not self.server.recent_ids.add(request.request_id):
            # An upstream that has it already would reject it, and its response might go to the wrong client.
            raise RequestError(409, "this X-Request-Id has been used")
        if self.transport.get_write_buffer_size() > 0:  # unread responses would fill the memory
            raise RequestError(400, "the last answer was not read")
        self.server.change_state(self, ClientState.PROCESSING)
        request.client_disconnected = self.client_disconnected
        self.request_number = self.server.dispatcher.on_request(request, self.respond)

    def client_disconnected(self) -> bool:
        """Return whether the client of the request in process has disconnected. Bytes that arrived before its end are
        discarded, as they would be when read. An end of its sending alone looks like a close, and counts as one."""
        assert self.transport is not None
        while not self.transport.is_closing():
            discardable_bytes = MAX_DISCARDED_BYTES - self.discarded_bytes
            try:
                if not self.sock.recv(1, socket.MSG_PEEK) or not discardable_bytes:
                    return True  # its end, or too much: its request would be closed when that is read
                self.discarded_bytes += len(self.sock.recv(discardable_bytes))
            except BlockingIOError:
                return False
            except OSError:  # it was reset
                return True
            self.pipelined = True
        return True

    # Writing

    def respond(self, answer: FinalAnswer) -> None:
        """Answer the request in process."""
        if self.state is ClientState.PROCESSING and self.request is not None:
            self.write(self.server.dialect.render(self.request, answer))

    def reject_partial(self) -> None:
        """Answer a request that has arrived in part only, and close its connection."""
        self.write(Response(503, b"", retry_after(self.server.partial_retry_after_us)), last=True)

    def write(self, response: Response, last: bool = False) -> None:
        """Write a response; the connection closes after it if it is the last one."""
        assert self.transport is not None
        if self.transport.is_closing():
            return
        # Clients have a bound of their own; those that send one request and stay keep the others out.
        closes_for_capacity = (
            self.state is ClientState.PROCESSING and self.responses == 0 and self.server.has_many_connections()
        )
        last = last or self.closes_after_response or self.server.is_stopping or closes_for_capacity
        self.responses += 1
        headers = response.headers + b"Connection: close\r\n" if last else response.headers
        head_fields = (response.status, REASONS[response.status], headers, len(response.body))
        data = b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" % head_fields + response.body
        if self.pipelined and not last:
            data += PIPELINING_REJECTION
        self.transport.write(data)
        if last or self.pipelined:
            # Closing with bytes unread would reset the connection, and the client might lose its response.
            self.server.change_state(self, ClientState.CLOSING)
            self.transport.write_eof()
        else:
            self.reader = RequestReader()
            self.last_received_at = 0.0
            self.request = None
            self.server.change_state(self, ClientState.IDLE)

    # Closing

    @property
    def is_flushed(self) -> bool:
        """Whether all that was written has left the process; the rest would be lost with the connection."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def has_nothing_unread(self) -> bool:
        """Return whether no bytes have arrived that were not read yet."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:  # nothing has arrived, or the connection has broken
            return True

    def close(self) -> None:
        """Close the connection at once; only where no request is in process."""
        self.server.change_state(self, ClientState.CLOSING)
        if self.transport is not None:
            self.transport.abort()
            # The transport closes the socket in the loop's next turn; a request that arrives until then would be reset.
            self.sock.close()

    def on_state_timeout(self) -> None:
        """End a state that has lasted too long."""
        now = system.monotonic()
        if self.state in (ClientState.NEW, ClientState.READING) and self.reader.received_bytes:
            # A client that has never sent a complete request gets its end within 3 s, however slowly bytes arrive.
            timeout_s = READ_TIMEOUT_S if self.state is ClientState.NEW else SLOW_READ_TIMEOUT_S
            if now > min(self.last_received_at + READ_STALL_S, self.state_since + timeout_s):
                self.write(Response(408), last=True)
            return
        may_still_flush = now < self.state_since + STATE_TIMEOUTS_S[self.state] + FLUSH_TIMEOUT_S
        is_lingering = self.state is ClientState.CLOSING
        if (self.is_flushed or not may_still_flush) and (is_lingering or self.has_nothing_unread()):
            self.close()
