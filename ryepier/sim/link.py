"""Links between simulated hosts, and pipes, each of which is one direction of a TCP connection over a link."""

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
# Minimum time between two segments of a pipe. It keeps them in order: asyncio does not order timers that are due at the
# same time.
MIN_SEGMENT_SPACING_S = 1e-9
# An empty context: segments in transit belong to no process, so they arrive even if their sender is killed.
NETWORK_CONTEXT = contextvars.Context()
Delivery = Callable[[], None]


@dataclass(slots=True)
class Link:
    """The network path from one host to another, in one direction."""

    latency_range_s: tuple[float, float] = (0.000_05, 0.000_2)  # minimum and maximum; sampled uniformly per segment
    partitioned: bool = False
    delayed_deliveries: list[Delivery] = field(default_factory=list)  # deliveries postponed until the partition heals


class PipeNetwork(Protocol):
    """The attributes of the network that a pipe uses."""

    loop: VirtualLoop
    random: Random
    split_share: float  # share of the segments that are cut at a random length


class PipeReader(Protocol):
    """The socket that receives from a pipe."""

    closed: bool

    def on_data(self) -> None:
        """Handle the arrival of data or of the end of the stream."""


class Pipe:
    """One direction of a connection.

    Segments arrive in order, each after the link's latency. The sender buffers data that exceeds the receive window. A
    partition does not drop segments but delays them until it heals, because TCP would retransmit them.
    """

    def __init__(self, network: PipeNetwork, link: Link) -> None:
        """Create an open pipe without data. `reader` must be set before data arrives, or the data is discarded."""
        self.network = network
        self.link = link
        self.send_buffer = bytearray()  # data not sent yet because the receive window is full
        self.received_segments: deque[bytes] = deque()  # segments that the reader has not read yet
        self.reader: PipeReader | None = None
        self.eof_requested = False  # whether the end of the stream follows the buffered data
        self.has_received_eof = False  # whether the end of the stream has arrived
        self._in_flight_bytes = 0
        self._unread_bytes = 0
        self._eof_sent = False
        self._last_arrival_s = 0.0

    def write(self, data: bytes) -> None:
        """Send data, and buffer the part that exceeds the receive window."""
        self.send_buffer += data
        self.push()

    def push(self) -> None:
        """Send as much buffered data as the receive window allows, and then the end of the stream if it was requested.

        Segments have the maximum size, except that each one is cut at a random length with probability `split_share`.
        """
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
        """Call `deliver` after the link's latency, and after all earlier deliveries of this pipe."""
        loop = self.network.loop
        latency_s = self.network.random.uniform(*self.link.latency_range_s)
        arrival_s = max(self._last_arrival_s + MIN_SEGMENT_SPACING_S, loop.now_s + latency_s)
        self._last_arrival_s = arrival_s
        loop.call_at_virtual_time(arrival_s, self._deliver_or_delay, deliver, context=NETWORK_CONTEXT)

    def _deliver_or_delay(self, deliver: Delivery) -> None:
        if self.link.partitioned or self.link.delayed_deliveries:
            self.link.delayed_deliveries.append(deliver)
        else:
            deliver()

    def _receive(self, segment: bytes) -> None:
        self._in_flight_bytes -= len(segment)
        if self.reader is None or self.reader.closed:
            return
        self.received_segments.append(segment)
        self._unread_bytes += len(segment)
        self.reader.on_data()

    def _receive_eof(self) -> None:
        self.has_received_eof = True
        if self.reader is not None:
            self.reader.on_data()

    def read(self) -> bytes:
        """Return the next segment, and free its share of the receive window. `received_segments` must not be empty."""
        segment = self.received_segments.popleft()
        self._unread_bytes -= len(segment)
        self.push()
        return segment
