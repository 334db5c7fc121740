"""Links between simulated hosts, and pipes: one direction of a connection, with latency, segments and a window."""

from __future__ import annotations

import contextvars
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from ryepier.sim.loop import VirtualLoop

RECEIVE_WINDOW_BYTES = 64 * 1024
MAX_SEGMENT_BYTES = 1460
MIN_SEGMENT_SPACING_S = 1e-9  # between segments; asyncio's heap has no order among timers due at one instant
NETWORK_CONTEXT = contextvars.Context()  # segments in transit run outside any process's context
Delivery = Callable[[], None]


@dataclass(slots=True)
class Link:
    """The path from one host to another."""

    latency_s: tuple[float, float] = (0.000_05, 0.000_2)  # sampled uniformly for each segment
    partitioned: bool = False
    delayed: list[Delivery] = field(default_factory=list)  # segments to be delivered once the partition is healed


class SimNetwork(Protocol):
    """The network, as a pipe needs it."""

    loop: VirtualLoop
    random: Random
    split_share: float  # of the segments that are cut at a random place


class PipeReader(Protocol):
    """The receiving end of a pipe."""

    closed: bool

    def on_data(self) -> None:
        """Handle data, or the end, that can be read."""


class Pipe:
    """One direction of a connection.

    Segments arrive in order, each after the link's latency. The sender holds back what exceeds the receive window. A
    partition loses nothing, as TCP retransmits: segments are delivered once it is healed.
    """

    def __init__(self, network: SimNetwork, link: Link) -> None:
        """Start open and empty."""
        self.network = network
        self.link = link
        self.send_buffer = bytearray()  # written, and beyond the window
        self.received: deque[bytes] = deque()  # segments that have not been read
        self.reader: PipeReader | None = None
        self.eof_requested = False  # an end follows the send buffer
        self.has_received_eof = False  # the end has been received
        self._in_flight_bytes = 0
        self._unread_bytes = 0
        self._eof_sent = False
        self._last_arrival_s = 0.0

    def write(self, data: bytes) -> None:
        """Send data, or buffer what exceeds the window."""
        self.send_buffer += data
        self.push()

    def push(self) -> None:
        """Send what the window allows in segments that end at random places, and the end after all data."""
        random = self.network.random
        while self.send_buffer and self._in_flight_bytes + self._unread_bytes < RECEIVE_WINDOW_BYTES:
            window_bytes = RECEIVE_WINDOW_BYTES - self._in_flight_bytes - self._unread_bytes
            max_size = min(len(self.send_buffer), MAX_SEGMENT_BYTES, window_bytes)
            size = max_size if random.random() >= self.network.split_share else random.randint(1, max_size)
            segment = bytes(self.send_buffer[:size])
            del self.send_buffer[:size]
            self._in_flight_bytes += size
            self.send(lambda segment=segment: self._receive(segment))  # type: ignore[misc]
        if self.eof_requested and not self.send_buffer and not self._eof_sent:
            self._eof_sent = True
            self.send(self._receive_eof)

    def send(self, deliver: Delivery) -> None:
        """Call `deliver` at the other end, after everything that was sent before."""
        loop = self.network.loop
        latency_s = self.network.random.uniform(*self.link.latency_s)
        at_s = max(self._last_arrival_s + MIN_SEGMENT_SPACING_S, loop.now_s + latency_s)
        self._last_arrival_s = at_s
        loop.call_at_run_time(at_s, self._cross_link, deliver, context=NETWORK_CONTEXT)

    def _cross_link(self, deliver: Delivery) -> None:
        if self.link.partitioned or self.link.delayed:
            self.link.delayed.append(deliver)
        else:
            deliver()

    def _receive(self, segment: bytes) -> None:
        self._in_flight_bytes -= len(segment)
        if self.reader is None or self.reader.closed:
            return
        self.received.append(segment)
        self._unread_bytes += len(segment)
        self.reader.on_data()

    def _receive_eof(self) -> None:
        self.has_received_eof = True
        if self.reader is not None:
            self.reader.on_data()

    def read(self) -> bytes:
        """Return the next segment, which must be there, and let the sender use its place in the window."""
        segment = self.received.popleft()
        self._unread_bytes -= len(segment)
        self.push()
        return segment
