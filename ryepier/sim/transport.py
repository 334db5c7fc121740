"""An asyncio transport over a simulated socket."""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ryepier.sim.link import Pipe
from ryepier.sim.sockets import SimSocket

HIGH_WATER_BYTES = 64 * 1024  # send buffer size above which the protocol is paused; asyncio's default
LOW_WATER_DIVISOR = 4  # ratio of the high-water to the low-water mark; asyncio's default
DRAIN_POLL_INTERVAL_S = 0.001  # interval at which a paused transport checks its send buffer


class SimTransport(asyncio.Transport):
    """A simulated connection with the interface of an asyncio transport."""

    def __init__(self, sock: SimSocket, protocol: asyncio.BaseProtocol) -> None:
        """Attach a protocol to a connected socket. The protocol's callbacks run in the caller's context."""
        super().__init__({"socket": sock, "peername": sock.peer_address, "sockname": sock.local_address})
        self.sock = sock
        self.loop = sock.network.loop
        self.closing = False
        self.closed = False  # the socket is closed, so that nothing is read or written any more
        self._protocol = protocol
        self._high_water_bytes = HIGH_WATER_BYTES
        self._reading_paused = False
        self._writing_paused = False
        self._read_scheduled = False
        self._eof_delivered = False
        self._undelivered = b""  # read from the socket, but not passed to the protocol yet
        self._context = contextvars.copy_context()
        sock.transport = self

    def start(self) -> None:
        """Call the protocol's `connection_made`, and start to read after that, as asyncio does."""
        self._protocol.connection_made(self)
        self.schedule_read()

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        self._protocol = protocol

    @property
    def _outbound(self) -> Pipe:
        pipe = self.sock.outbound
        assert pipe is not None
        return pipe

    # Reading

    def schedule_read(self) -> None:
        """Read one segment in the loop's next iteration, unless reading is paused."""
        if not self._read_scheduled and not self._reading_paused and not self.closed:
            self._read_scheduled = True
            self.loop.call_soon(self._read, context=self._context)

    def _read(self) -> None:
        self._read_scheduled = False
        pipe, protocol = self.sock.inbound, self._protocol
        assert pipe is not None and isinstance(protocol, asyncio.Protocol | asyncio.BufferedProtocol)
        if self._reading_paused or self.closed or self.closing:
            return
        if not self._undelivered and pipe.received_segments:
            self._undelivered = pipe.read()
        if self._undelivered:
            self._deliver(protocol)
            self.schedule_read()
        elif pipe.has_received_eof and not self._eof_delivered:
            self._eof_delivered = True
            if not protocol.eof_received():
                self.close()

    def _deliver(self, protocol: asyncio.Protocol | asyncio.BufferedProtocol) -> None:
        """Pass bytes to the protocol: all that were read, or as many as its buffer takes."""
        data, self._undelivered = self._undelivered, b""
        if isinstance(protocol, asyncio.Protocol):
            protocol.data_received(data)
            return
        buffer = memoryview(protocol.get_buffer(-1))
        part = data[: len(buffer)]
        self._undelivered = data[len(buffer) :]
        buffer[: len(part)] = part
        protocol.buffer_updated(len(part))

    def is_reading(self) -> bool:
        """Return whether received data is delivered to the protocol."""
        return not self._reading_paused

    def pause_reading(self) -> None:
        """Stop delivering data to the protocol. Arriving data then fills the receive window."""
        self._reading_paused = True

    def resume_reading(self) -> None:
        """Resume delivering data to the protocol."""
        self._reading_paused = False
        self.schedule_read()

    # Writing

    def write(self, data: Any) -> None:
        """Send or buffer data, or discard it if the connection is closed. Raises RuntimeError after `write_eof`."""
        if self.closed or self.closing or not data:
            return
        if self._outbound.eof_requested:
            raise RuntimeError("write after write_eof")
        if self.sock.peer_socket is not None and self.sock.peer_socket.closed and self._has_received_eof():
            self.sock.on_reset()  # the peer answers data for a closed connection with a reset
            return
        self._outbound.write(bytes(data))
        self._pause_writing_if_full()

    def _has_received_eof(self) -> bool:
        return self.sock.inbound is not None and self.sock.inbound.has_received_eof

    def _pause_writing_if_full(self) -> None:
        if len(self._outbound.send_buffer) > self._high_water_bytes and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()
            self.loop.call_later(DRAIN_POLL_INTERVAL_S, self._resume_writing_if_drained)

    def _resume_writing_if_drained(self) -> None:
        if self.closed or not self._writing_paused:
            return
        if len(self._outbound.send_buffer) <= self._high_water_bytes // LOW_WATER_DIVISOR:
            self._writing_paused = False
            self._protocol.resume_writing()
        else:
            self.loop.call_later(DRAIN_POLL_INTERVAL_S, self._resume_writing_if_drained)

    def can_write_eof(self) -> bool:
        """Return True, because half-closing is supported."""
        return True

    def write_eof(self) -> None:
        """Half-close the connection after the data written so far has been sent."""
        if not self._outbound.eof_requested:
            self._outbound.eof_requested = True
            self._outbound.push()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that have been written but not sent."""
        return len(self.sock.outbound.send_buffer) if self.sock.outbound is not None else 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the buffer size above which writing is paused. `low` is ignored, and a quarter of `high` is used."""
        self._high_water_bytes = HIGH_WATER_BYTES if high is None else high

    # Closing

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self.closing or self.closed

    def close(self) -> None:
        """Stop reading and writing, and close the socket. Data that has already been written is still sent."""
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.lose_connection, None)

    def abort(self) -> None:
        """Close the connection, and discard buffered data that has not been sent."""
        self.closing = True
        if self.sock.outbound is not None:
            self.sock.outbound.send_buffer.clear()
        self.loop.call_soon(self.lose_connection, None)

    def lose_connection(self, error: Exception | None) -> None:
        """Close the socket, and schedule the protocol's `connection_lost` with `error`."""
        if self.closed:
            return
        self.closed = self.closing = True
        self.sock.close()
        self.loop.call_soon(self._protocol.connection_lost, error, context=self._context)
