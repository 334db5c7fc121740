"""Sockets of the simulated network, with the part of the socket interface that the sidecar and asyncio use."""

from __future__ import annotations

import contextvars
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from ryepier.sim.link import Pipe
from ryepier.sim.loop import VirtualLoop
from ryepier.sim.process import CURRENT_PROCESS

Address = tuple[str, int]


class SocketNetwork(Protocol):
    """The attributes of the network that a socket uses."""

    loop: VirtualLoop
    listeners: dict[Address, SimSocket]
    sockets: list[SimSocket]  # all open sockets


class SocketTransport(Protocol):
    """The methods of a transport that its socket calls."""

    def schedule_read(self) -> None:
        """Read received data in the loop's next iteration."""

    def lose_connection(self, error: Exception | None) -> None:
        """Close the socket and report the loss of the connection to the protocol."""


class SimSocket:
    """A TCP socket on a simulated host."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = 0

    def __init__(self, network: SocketNetwork) -> None:
        """Create an unconnected socket that belongs to the running process."""
        self.network = network
        self.process = CURRENT_PROCESS.get()
        self.local_address: Address = ("", 0)
        self.peer_address: Address = ("", 0)
        self.inbound: Pipe | None = None
        self.outbound: Pipe | None = None
        self.peer_socket: SimSocket | None = None  # the socket at the other end of the connection
        self.transport: SocketTransport | None = None
        self.closed = False
        self.was_reset = False
        self.listening = False
        self.backlog = 0
        self.pending_connections: deque[SimSocket] = deque()  # established, but not accepted yet
        self.on_readable: Callable[[], None] | None = None
        self.context: contextvars.Context | None = None  # the context in which `on_readable` runs
        self._resets_on_close = False
        network.sockets.append(self)

    def setblocking(self, flag: bool) -> None:
        """Do nothing: a simulated socket never blocks."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Set an option. Only SO_LINGER has an effect: the sidecar sets it to close connections with a reset."""
        self._resets_on_close |= (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER)

    def getsockname(self) -> Address:
        """Return the local address."""
        return self.local_address

    def getpeername(self) -> Address:
        """Return the address of the peer."""
        return self.peer_address

    def fileno(self) -> int:
        """Return -1, because there is no file descriptor."""
        return -1

    def on_data(self) -> None:
        """Notify the transport or the `on_readable` callback that there is something to read."""
        if self.transport is not None:
            self.transport.schedule_read()
        elif self.on_readable is not None:
            self.network.loop.call_soon(self.on_readable, context=self.context)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return received data without consuming it.

        Returns b"" at the end of the stream. Raises BlockingIOError if no data has arrived, ConnectionResetError after
        a reset, and OSError if `flags` lack MSG_PEEK.
        """
        if not flags & socket.MSG_PEEK:
            raise OSError("the simulated recv supports only MSG_PEEK")
        if self.was_reset:
            raise ConnectionResetError
        assert self.inbound is not None
        if self.inbound.received_segments:
            return self.inbound.received_segments[0][:size]
        if self.inbound.has_received_eof:
            return b""
        raise BlockingIOError

    def accept(self) -> tuple[SimSocket, Address]:
        """Return the socket and the peer's address of a pending connection. Raises BlockingIOError if there is none."""
        if not self.pending_connections:
            raise BlockingIOError
        sock = self.pending_connections.popleft()
        return sock, sock.peer_address

    def close(self) -> None:
        """Close the socket as a kernel does.

        Sends a reset if received data is unread or SO_LINGER is set, and otherwise the end of the stream.
        """
        if self.closed:
            return
        self.closed = True
        self.network.sockets.remove(self)
        if self.listening:
            self._close_listener()
        elif self.inbound is not None and self.outbound is not None:
            if self.inbound.received_segments or self._resets_on_close:
                self._send_reset(self.outbound)
            else:
                self.outbound.eof_requested = True
                self.outbound.push()

    def _close_listener(self) -> None:
        self.network.listeners.pop(self.local_address, None)
        for connection in self.pending_connections:
            connection.close()

    def _send_reset(self, outbound: Pipe) -> None:
        if self.peer_socket is not None:
            outbound.send(self.peer_socket.on_reset)

    def on_reset(self) -> None:
        """Handle a reset by the peer."""
        if self.closed or self.was_reset:
            return
        self.was_reset = True
        if self.transport is not None:
            self.transport.lose_connection(ConnectionResetError("reset by peer"))
