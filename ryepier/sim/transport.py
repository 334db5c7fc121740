"""An asyncio transport over a simulated socket."""

from __future__ import annotations

import asyncio
import contextvars
from typing import Any

from ryepier.sim.link import Pipe
from ryepier.sim.sockets import SimSocket

HIGH_WATER_BYTES = 64 * 1024  # asyncio's default
LOW_WATER_DIVISOR = 4  # asyncio's default ratio of high to low water
DRAIN_POLL_S = 0.001


class SimTransport(asyncio.Transport):
    """A connection as asyncio presents it to a protocol."""

    def __init__(self, sock: SimSocket, protocol: asyncio.BaseProtocol) -> None:
        """Connect a protocol to a socket; its callbacks run in the context of the caller."""
        super().__init__({"socket": sock, "peername": sock.peer_address, "sockname": sock.local_address})
        self.sock = sock
        self.loop = sock.network.loop
        self.closing = False
        self.lost = False
        self._protocol = protocol
        self._high_water_bytes = HIGH_WATER_BYTES
        self._reading_paused = False
        self._writing_paused = False
        self._read_scheduled = False
        self._eof_delivered = False
        self._context = contextvars.copy_context()
        sock.transport = self

    def start(self) -> None:
        """Call the protocol's `connection_made`, and then read, in asyncio's order."""
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
        """Read at the loop's next turn."""
        if not self._read_scheduled and not self._reading_paused and not self.lost:
            self._read_scheduled = True
            self.loop.call_soon(self._read, context=self._context)

    def _read(self) -> None:
        self._read_scheduled = False
        pipe, protocol = self.sock.inbound, self._protocol
        assert pipe is not None and isinstance(protocol, asyncio.Protocol)
        if self._reading_paused or self.lost or self.closing:
            return
        if pipe.received:
            protocol.data_received(pipe.read())
            self.schedule_read()
        elif pipe.ended and not self._eof_delivered:
            self._eof_delivered = True
            if not protocol.eof_received():
                self.close()

    def is_reading(self) -> bool:
        """Return whether data is delivered to the protocol."""
        return not self._reading_paused

    def pause_reading(self) -> None:
        """Stop delivering data, so that the receive window fills up."""
        self._reading_paused = True

    def resume_reading(self) -> None:
        """Deliver data again."""
        self._reading_paused = False
        self.schedule_read()

    # Writing

    def write(self, data: Any) -> None:
        """Send data. Raises RuntimeError after `write_eof`."""
        if self.lost or self.closing or not data:
            return
        if self._outbound.ending:
            raise RuntimeError("write after the end")
        if self.sock.peer_socket is not None and self.sock.peer_socket.closed and self._has_received_end():
            self.sock.on_reset()  # the other end answers data for a closed connection with a reset
            return
        self._outbound.write(bytes(data))
        self._pause_writing_if_full()

    def _has_received_end(self) -> bool:
        return self.sock.inbound is not None and self.sock.inbound.ended

    def _pause_writing_if_full(self) -> None:
        if len(self._outbound.send_buffer) > self._high_water_bytes and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()
            self.loop.call_later(DRAIN_POLL_S, self._resume_writing_if_drained)

    def _resume_writing_if_drained(self) -> None:
        if self.lost or not self._writing_paused:
            return
        if len(self._outbound.send_buffer) <= self._high_water_bytes // LOW_WATER_DIVISOR:
            self._writing_paused = False
            self._protocol.resume_writing()
        else:
            self.loop.call_later(DRAIN_POLL_S, self._resume_writing_if_drained)

    def can_write_eof(self) -> bool:
        """Return that half-closing is supported."""
        return True

    def write_eof(self) -> None:
        """Half-close the connection after the data written so far."""
        if not self._outbound.ending:
            self._outbound.ending = True
            self._outbound.push()

    def get_write_buffer_size(self) -> int:
        """Return how many bytes have been written and not been sent."""
        return len(self.sock.outbound.send_buffer) if self.sock.outbound is not None else 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the size of the write buffer from which the protocol is paused."""
        self._high_water_bytes = HIGH_WATER_BYTES if high is None else high

    # The end

    def is_closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self.closing or self.lost

    def close(self) -> None:
        """Close after the data written so far has been sent."""
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.lose_connection, None)

    def abort(self) -> None:
        """Close at once, and discard the data that has not been sent."""
        self.closing = True
        if self.sock.outbound is not None:
            self.sock.outbound.send_buffer.clear()
        self.loop.call_soon(self.lose_connection, None)

    def lose_connection(self, error: Exception | None) -> None:
        """Close the socket, and call the protocol's `connection_lost`."""
        if self.lost:
            return
        self.lost = self.closing = True
        self.sock.close()
        self.loop.call_soon(self._protocol.connection_lost, error, context=self._context)
