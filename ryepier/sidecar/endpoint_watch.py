"""A watch of the endpoint list: one long-lived HTTP call to discovery, which counts as failed when it ends."""

from __future__ import annotations

import asyncio
import enum
import http
import logging
from typing import Any, Protocol

import httptools

from ryepier.sidecar.endpoint_registry import watch_request
from ryepier.sidecar.json_stream import JsonStreamDecoder
from ryepier.sidecar.requests import Address

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 64 * 1024  # checked after each read


class WatchState(enum.Enum):
    """State of a watch: CONNECTING -> WAITING -> STREAMING; any state -> FAILED."""

    CONNECTING = enum.auto()
    WAITING = enum.auto()  # the request was sent; no message has arrived yet
    STREAMING = enum.auto()  # the first message, an object or an empty line, has arrived
    FAILED = enum.auto()


class WatchClient(Protocol):
    """The client that owns a watch and is notified of its progress."""

    address: Address  # address of discovery
    version: int  # version of the last endpoint list; 0 = no list yet

    def is_current(self, watch: EndpointWatch) -> bool:
        """Return whether this is the current watch, not one that was replaced."""

    def on_data(self) -> None:
        """Record that bytes have arrived."""

    def on_complete_message(self) -> None:
        """Record that a message is complete."""

    def on_unchanged(self) -> None:
        """Record that the current version is the newest."""

    def on_list(self, message: Any) -> None:
        """Apply a list or changes. Raises EndpointListError if the message is malformed."""

    def on_malformed(self) -> None:
        """Record that the watch received malformed data; `on_watch_ended` follows."""

    def on_watch_ended(self, watch: EndpointWatch) -> None:
        """Record that a watch has failed."""


class EndpointWatch(asyncio.Protocol):
    """Sends the watch request and passes the messages of the response to its client."""

    def __init__(self, client: WatchClient) -> None:
        """Prepare a watch in state CONNECTING; the client opens its connection."""
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.decoder = JsonStreamDecoder()
        self.state = WatchState.CONNECTING
        self.received_bytes = 0
        self.head_complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the watch request, unless the watch was replaced meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.client.is_current(self):  # replaced while the connection was being established
            transport.abort()
            return
        self.state = WatchState.WAITING
        version = self.client.version
        log.info("endpoint watch opened for changes since version %d", version, extra={"version": version})
        transport.write(watch_request(self.client.address, self.client.version))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; fail the watch if they are malformed."""
        self.client.on_data()
        try:
            self.parser.feed_data(data)
        # The parser raises these errors also if a callback below fails. The last valid list stays in use, and a new
        # watch is opened.
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail_as_malformed(error.__context__ or error)
            return
        self.received_bytes += len(data)
        if not self.head_complete and self.received_bytes > MAX_HEAD_BYTES:
            self.fail_as_malformed("the head is too long")

    # Callbacks of the HTTP parser

    def on_headers_complete(self) -> None:
        """Fail on any status but 200, as the body of such a response has no list and may be endless."""
        if self.state is WatchState.FAILED:  # these bytes follow the end of the response
            return
        self.head_complete = True
        status = self.parser.get_status_code()
        if status != http.HTTPStatus.OK:
            log.info("endpoint watch rejected with status %d", status)
            self.fail()

    def on_body(self, data: bytes) -> None:
        """Apply the messages that these bytes complete."""
        if self.state is WatchState.FAILED:
            return
        for message in self.decoder.feed(data):
            self.state = WatchState.STREAMING
            self.client.on_list(message)
        if not self.decoder.pending:
            self.client.on_complete_message()
            if self.state is WatchState.WAITING:
                # The decision module waits for a result of its poll. Without one it would poll again, which closes this
                # working watch.
                self.state = WatchState.STREAMING
                self.client.on_unchanged()

    def on_message_complete(self) -> None:
        """Fail, as the response to a watch request must not end."""
        self.fail()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail, as the connection is lost."""
        self.fail()

    def fail_as_malformed(self, reason: BaseException | str) -> None:
        """Log what is wrong with the received data, and fail."""
        log.warning("endpoint watch received malformed data: %r", reason)
        self.client.on_malformed()
        self.fail()

    def fail(self) -> None:
        """Close the connection and notify the client that the watch has ended."""
        self.state = WatchState.FAILED
        if self.transport is not None:
            self.transport.abort()
        self.client.on_watch_ended(self)
