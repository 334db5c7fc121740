"""One call to discovery for changes of the endpoint list: it lasts until its connection ends, and then has failed."""

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


class WatchState(enum.Enum):
    """State of a watch: CONNECTING -> WAITING -> STREAMING, and each of them -> FAILED."""

    CONNECTING = enum.auto()
    WAITING = enum.auto()  # for the first message
    STREAMING = enum.auto()  # an object has arrived, or an empty line in place of the first
    FAILED = enum.auto()


class WatchClient(Protocol):
    """The client that keeps a watch and is notified of its progress."""

    address: Address  # of discovery
    version: int  # of the endpoint list; 0 = none yet

    def is_current(self, watch: EndpointWatch) -> bool:
        """Return whether a watch was not replaced by another."""

    def on_data(self) -> None:
        """Record that bytes have arrived."""

    def on_complete_message(self) -> None:
        """Record that a message is complete."""

    def on_unchanged(self) -> None:
        """Record that there is nothing newer than the current version."""

    def on_list(self, message: Any) -> None:
        """Apply a list or changes. Raises EndpointListError."""

    def on_malformed(self) -> None:
        """Record that what arrived could not be read; `on_watch_ended` follows."""

    def on_watch_ended(self, watch: EndpointWatch) -> None:
        """Record that a watch has failed."""


class EndpointWatch(asyncio.Protocol):
    """A watch of the endpoint list."""

    def __init__(self, client: WatchClient) -> None:
        """Prepare a watch; its connection is opened by the client."""
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.decoder = JsonStreamDecoder()
        self.state = WatchState.CONNECTING

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the call."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.client.is_current(self):  # it was replaced while its connection came up
            transport.abort()
            return
        self.state = WatchState.WAITING
        version = self.client.version
        log.info("endpoint watch opened since version %d", version, extra={"version": version})
        transport.write(watch_request(self.client.address, self.client.version))

    def data_received(self, data: bytes) -> None:
        """Read bytes of the stream."""
        self.client.on_data()
        try:
            self.parser.feed_data(data)
        # Also for an error of a callback below: the last valid list stays, and a new watch is opened.
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            log.warning("endpoint watch is malformed: %r", error.__context__ or error)
            self.client.on_malformed()
            self.fail()

    # Callbacks of the parser

    def on_headers_complete(self) -> None:
        """Fail on any status but 200: its body has no list, and may not end."""
        status = self.parser.get_status_code()
        if status != http.HTTPStatus.OK:
            log.info("endpoint watch rejected with status %d", status)
            self.fail()

    def on_body(self, data: bytes) -> None:
        """Apply the messages that are complete."""
        if self.parser.get_status_code() != http.HTTPStatus.OK:
            return
        for message in self.decoder.feed(data):
            self.state = WatchState.STREAMING
            self.client.on_list(message)
        if not self.decoder.pending:
            self.client.on_complete_message()
            if self.state is WatchState.WAITING:
                # The module waits for an answer to its poll, and would poll again and cut a working watch.
                self.state = WatchState.STREAMING
                self.client.on_unchanged()

    def on_message_complete(self) -> None:
        """Fail: a watch has no end."""
        self.fail()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail."""
        self.fail()

    def fail(self) -> None:
        """Close the connection and notify the client."""
        self.state = WatchState.FAILED
        if self.transport is not None:
            self.transport.abort()
        self.client.on_watch_ended(self)
