"""A sidecar with a converter that can hold back its responses, and ways in which clients disconnect."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from ryepier.balancer.interface import Idempotency, RequestClass
from ryepier.sidecar.requests import ClientRequest
from tests.network_peers import OK, Message, Sidecar, Upstream, read_message, request, status_of, wait_until
from tests.sidecar_probes import DelayedConnections

DISCONNECT_DETECTION_S = 0.15  # the sidecar must start no attempt later than 0.1 s after the disconnect
SETTLE_S = 0.05  # time for messages to arrive over loopback
LOOP_BLOCK_S = 0.3  # how long `block_event_loop` blocks the loop in total
CLASSES = [
    RequestClass("pay", 10_000_000, 20_000_000, late_weight=0.5, idempotency=Idempotency.NON_IDEMPOTENT),
    RequestClass("read", 10_000_000, 20_000_000, late_weight=0.5),
]

# Ways to disconnect

Disconnect = Callable[[socket.socket], None]


def close(sock: socket.socket) -> None:
    """Close the connection."""
    sock.close()


def reset(sock: socket.socket) -> None:
    """Reset the connection: with a linger time of 0, closing the socket sends RST instead of FIN."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def half_close(sock: socket.socket) -> None:
    """Close the sending direction only."""
    sock.shutdown(socket.SHUT_WR)


DISCONNECTS = [close, reset, half_close]
# Each way to disconnect with the number of bytes that the client sends first; the sidecar discards up to 65,536 bytes.
DISCONNECTS_AFTER_BYTES = [
    (close, 0),
    (reset, 0),
    (half_close, 0),
    (close, 1),
    (reset, 60_000),
    (close, 65_536),
    (close, 65_537),
    (half_close, 200_000),
]


def disconnect_after_bytes(sock: socket.socket, disconnect: Disconnect, byte_count: int) -> None:
    """Send bytes that are not a request, then disconnect."""
    sock.sendall(b"x" * byte_count)
    disconnect(sock)


def block_event_loop(*steps: Callable[[], object]) -> None:
    """Run the steps while blocking the event loop, so that its next iteration sees the effects of all of them."""
    for step in steps:
        step()
        time.sleep(LOOP_BLOCK_S / len(steps))


# The sidecar and its converter


@dataclass
class ManualConverter(Upstream):
    """Holds back its responses while `holds_responses` is set, and counts attempts by their first byte."""

    holds_responses: bool = True
    started_attempt_count: int = 0
    held_responses: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the requests of one connection, and count each at its first byte."""
        self.connection_count += 1
        try:
            while byte := await reader.read(1):
                self.started_attempt_count += 1
                head, body = await read_message(reader)
                self.requests.append(Message(byte + head, body))
                await self.script(self, len(self.requests) - 1, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def respond(self, data: bytes) -> None:
        """Respond to the last held request, even while the event loop is blocked, and hold back no further response."""
        self.holds_responses = False
        os.write(self.held_responses.pop().get_extra_info("socket").fileno(), data)

    def request_ids(self) -> list[int]:
        """Return the ids of the requests in the order of their arrival."""
        return [int(head.partition(b"X-Request-Id: ")[2].split()[0]) for head, _ in self.requests]


async def hold_or_respond(
    upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Script that responds at once, or holds the response for `ManualConverter.respond`."""
    assert isinstance(upstream, ManualConverter)
    if upstream.holds_responses:
        upstream.held_responses.append(writer)
    else:
        writer.write(OK)


def manual_converter(holds_responses: bool = True) -> ManualConverter:
    """Return a converter that holds back its responses or responds at once."""
    return ManualConverter(hold_or_respond, holds_responses=holds_responses)


@dataclass
class Testbed:
    """A sidecar with one converter.

    Tests use request ids below 99, as `check_only_forwarded` sends a request with id 99.
    """

    __test__ = False

    sidecar: Sidecar
    converter: ManualConverter
    accepted_requests: list[ClientRequest]
    """The requests that the sidecar has accepted."""
    monkeypatch: pytest.MonkeyPatch

    def connect(self, data: bytes = b"") -> socket.socket:
        """Connect a client that sends these bytes."""
        sock = socket.create_connection(("127.0.0.1", self.sidecar.port))
        sock.sendall(data)
        return sock

    async def occupy_only_slot(self) -> socket.socket:
        """Send request 1, whose response the converter holds back, and return its client.

        The sidecar then also has an idle connection, on which it can send its next attempt at once. That connection was
        opened for a client that disconnected before the connection was established.
        """
        delayed_connections = DelayedConnections()
        with self.monkeypatch.context() as patch:
            delayed_connections.delay(self.converter, patch)
            disconnecting_client = self.connect(request("pay", "0"))
            await wait_until(lambda: delayed_connections.started_count == 1)
            disconnecting_client.close()
            await asyncio.sleep(SETTLE_S)
            client = self.connect(request("pay", "1"))
            await wait_until(lambda: delayed_connections.started_count == 2)
            delayed_connections.release.set()
            await wait_until(lambda: len(self.converter.held_responses) == 1)
        client.setblocking(False)
        await asyncio.sleep(SETTLE_S)  # the sidecar does not reuse a connection that has just become idle
        assert self.converter.connection_count == 2
        return client

    async def send_buffered_request(self) -> socket.socket:
        """Send request 2, which waits in the buffer as request 1 occupies the only slot, and return its client."""
        client = self.connect(request("pay", "2"))
        await wait_until(lambda: b"2" in [accepted_request.request_id for accepted_request in self.accepted_requests])
        assert self.converter.request_ids() == [1]
        return client

    async def check_only_forwarded(self, *request_ids: int) -> None:
        """Check that the converter got attempts for exactly these requests, and that a further request is served."""
        await asyncio.sleep(SETTLE_S)
        assert status_of(await self.sidecar.fetch(request("pay", "99"))) == 200
        await asyncio.sleep(SETTLE_S)
        assert self.converter.request_ids() == [*request_ids, 99]
        assert self.converter.started_attempt_count == len(request_ids) + 1
