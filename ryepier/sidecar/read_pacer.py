"""Shares the event loop among connections, so that bytes of one peer that take long to parse do not delay the others.

Work is counted in units, not in time, so that the same bytes are treated alike on every machine: a unit is about one
callback of the HTTP parser.
"""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections import deque

from ryepier.sidecar import system

READ_BYTES = 8 * 1024  # the most bytes that are read and parsed at a time
MAX_WAITING_BYTES = 256 * 1024  # bytes of all connections that are read but not parsed; beyond it reads are short
SHORT_READ_BYTES = 512
BYTES_PER_UNIT = 64  # bytes within a header, chunk or body cost little
REQUEST_WORK = 1_500  # units of handing a request to the dispatcher
MAX_TURN_WORK = 12_000  # units in one iteration of the event loop; the last part that is parsed may exceed it
MAX_HEAVY_TURN_WORK = 3_000  # units of connections that are heavy, which leaves time for the others
LIGHT_WORK = 4_000  # units within WINDOW_S; a connection with more is heavy
LINE_END = b"\r\n"
MAX_LIGHT_LINES = 110  # in one read; a proper head has fewer, and more separate chunks or requests
WINDOW_S = 0.5


class PacedProtocol(asyncio.BufferedProtocol):
    """A protocol whose received bytes are parsed when the event loop has time for them.

    `data_received` gets them in parts of up to READ_BYTES.
    """

    def __init__(self) -> None:
        """Start without received bytes."""
        self.transport: asyncio.Transport | None = None
        self.parse_work = 0  # units in the current window
        self.window_ends_at = 0.0
        self.unparsed_bytes = b""  # read but not parsed yet; nothing more is read meanwhile
        # Time since which received bytes may lie unread in the socket; None: they are read when they arrive
        self.unread_since: float | None = None
        self.received_at = 0.0  # earliest time at which the last bytes that were read may have arrived

    @property
    @abstractmethod
    def read_pacer(self) -> ReadPacer:
        """The pacer that this connection shares with others."""

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and add the work to `parse_work`."""

    @abstractmethod
    def has_no_unread_bytes(self) -> bool:
        """Return whether there are no received bytes that were not parsed yet."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, which all connections share."""
        return self.read_pacer.next_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer, now or in a later iteration of the event loop."""
        now = system.monotonic()
        self.received_at = now if self.unread_since is None else self.unread_since
        self.unread_since = None
        self.read_pacer.on_bytes(self, bytes(self.read_pacer.buffer[:nbytes]))


class ReadPacer:
    """Bounds the parsing in one iteration of the event loop.

    Bytes of a connection that needed little work recently are parsed at once, up to MAX_TURN_WORK in one iteration;
    beyond that they wait for the next ones. Bytes of heavy connections, and those with many lines, always wait, behind
    the others.
    """

    def __init__(self) -> None:
        """Start with the whole work of an iteration available."""
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.turn_work = 0
        self.waiting_bytes = 0  # total length of `PacedProtocol.unparsed_bytes`
        self.light_connections: deque[PacedProtocol] = deque()
        self.heavy_connections: deque[PacedProtocol] = deque()
        self.is_turn_scheduled = False

    def next_buffer(self) -> memoryview:
        """Return the buffer for the next bytes of a connection."""
        return self.buffer[:SHORT_READ_BYTES] if self.waiting_bytes >= MAX_WAITING_BYTES else self.buffer

    def on_bytes(self, connection: PacedProtocol, data: bytes) -> None:
        """Parse bytes now if the connection is light and the iteration has time; otherwise queue the connection."""
        # Counting the lines costs next to nothing, so the work is known before the bytes are parsed.
        is_heavy = data.count(LINE_END) > MAX_LIGHT_LINES or self._is_heavy(connection)
        if is_heavy or self.turn_work >= MAX_TURN_WORK:
            assert connection.transport is not None
            connection.unparsed_bytes = data
            self.waiting_bytes += len(data)
            connection.unread_since = system.monotonic()
            connection.transport.pause_reading()
            (self.heavy_connections if is_heavy else self.light_connections).append(connection)
        else:
            self._parse(connection, data)
        self._schedule_turn()

    def count_unparsed(self, byte_count: int) -> None:
        """Count bytes that were read in this iteration but not parsed."""
        self.turn_work += byte_count // BYTES_PER_UNIT
        self._schedule_turn()

    @staticmethod
    def _is_heavy(connection: PacedProtocol) -> bool:
        now = system.monotonic()
        if now >= connection.window_ends_at:
            connection.window_ends_at = now + WINDOW_S
            connection.parse_work = 0
        return connection.parse_work > LIGHT_WORK

    def _parse(self, connection: PacedProtocol, data: bytes) -> None:
        work_before = connection.parse_work
        connection.data_received(data)
        self.turn_work += connection.parse_work - work_before + len(data) // BYTES_PER_UNIT + 1

    def _schedule_turn(self) -> None:
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        """Parse what waits, in the next iteration of the event loop and before it reads from sockets again."""
        self.is_turn_scheduled = False
        self.turn_work = 0
        self._parse_queued(self.light_connections, MAX_TURN_WORK)
        self._parse_queued(self.heavy_connections, self.turn_work + MAX_HEAVY_TURN_WORK)
        if self.turn_work:
            self._schedule_turn()

    def _parse_queued(self, connections: deque[PacedProtocol], max_work: int) -> None:
        for _ in range(len(connections)):
            if self.turn_work >= max_work:
                return
            connection = connections.popleft()
            data, connection.unparsed_bytes = connection.unparsed_bytes, b""
            self.waiting_bytes -= len(data)
            transport = connection.transport
            if transport is None or transport.is_closing():
                continue
            if connection.has_no_unread_bytes():
                connection.unread_since = None
            transport.resume_reading()  # before the bytes are parsed, as the connection may pause again
            self._parse(connection, data)
