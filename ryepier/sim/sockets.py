"""Sockets of the simulated network: as much of a socket as the sidecar and asyncio's streams use."""

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
    """The network, as a socket needs it."""

    loop: VirtualLoop
    listeners: dict[Address, SimSocket]
    sockets: list[SimSocket]  # that are open


class SocketTransport(Protocol):
    """The transport that reads from a socket."""

    def schedule_read(self) -> None:
        """Read at the loop's next turn."""

    def lose_connection(self, error: Exception | None) -> None:
        """End the connection."""


class SimSocket:
    """A TCP socket on a simulated host."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = 0

    def __init__(self, network: SocketNetwork) -> None:
        """Open a socket of the process whose code runs."""
        self.network = network
        self.process = CURRENT_PROCESS.get()
        self.local_address: Address = ("", 0)
        self.peer_address: Address = ("", 0)
        self.inbound: Pipe | None = None
        self.outbound: Pipe | None = None
        self.peer_socket: SimSocket | None = None  # the other end of the connection
        self.transport: SocketTransport | None = None
        self.closed = False
        self.was_reset = False
        self.listening = False
        self.backlog = 0
        self.pending: deque[SimSocket] = deque()  # established connections that have not been accepted
        self.on_readable: Callable[[], None] | None = None
        self.context: contextvars.Context | None = None  # in which `on_readable` is called
        self._resets_on_close = False
        network.sockets.append(self)

    def setblocking(self, flag: bool) -> None:
        """Do nothing: a simulated socket never blocks."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Set an option; only SO_LINGER, which the code uses to close with a reset, has an effect."""
        self._resets_on_close |= (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER)

    def getsockname(self) -> Address:
        """Return the local address."""
        return self.local_address

    def getpeername(self) -> Address:
        """Return the address of the other end."""
        return self.peer_address

    def fileno(self) -> int:
        """Return -1, as there is no descriptor."""
        return -1

    def on_data(self) -> None:
        """Let the owner read."""
        if self.transport is not None:
            self.transport.schedule_read()
        elif self.on_readable is not None:
            self.network.loop.call_soon(self.on_readable, context=self.context)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return data without consuming it. Raises as a non-blocking socket does, and OSError without MSG_PEEK."""
        if not flags & socket.MSG_PEEK:
            raise OSError("only peeking is simulated")
        if self.was_reset:
            raise ConnectionResetError
        assert self.inbound is not None
        if self.inbound.received:
            return self.inbound.received[0][:size]
        if self.inbound.ended:
            return b""
        raise BlockingIOError

    def accept(self) -> tuple[SimSocket, Address]:
        """Accept a pending connection. Raises BlockingIOError if there is none."""
        if not self.pending:
            raise BlockingIOError
        sock = self.pending.popleft()
        return sock, sock.peer_address

    def close(self) -> None:
        """Close as a kernel does: with unread data, the other end sees a reset."""
        if self.closed:
            return
        self.closed = True
        self.network.sockets.remove(self)
        if self.listening:
            self._close_listener()
        elif self.inbound is not None and self.outbound is not None:
            if self.inbound.received or self._resets_on_close:
                self._send_reset(self.outbound)
            else:
                self.outbound.ending = True
                self.outbound.push()

    def _close_listener(self) -> None:
        self.network.listeners.pop(self.local_address, None)
        for waiting in self.pending:
            waiting.close()

    def _send_reset(self, outbound: Pipe) -> None:
        if self.peer_socket is not None:
            outbound.send(self.peer_socket.on_reset)

    def on_reset(self) -> None:
        """Handle a reset from the other end."""
        if self.closed or self.was_reset:
            return
        self.was_reset = True
        if self.transport is not None:
            self.transport.lose_connection(ConnectionResetError("reset by peer"))
