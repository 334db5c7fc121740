"""A network in memory that behaves as TCP does towards asyncio: order, windows, half-closes, resets and backlogs."""

from __future__ import annotations

import asyncio
from random import Random

from ryepier.sim.link import Link, Pipe
from ryepier.sim.loop import VirtualLoop
from ryepier.sim.sockets import Address, SimSocket
from ryepier.sim.transport import SimTransport

EPHEMERAL_PORT = 40_000  # the first one is the next
DEFAULT_SPLIT_SHARE = 0.1


def _complete(future: asyncio.Future[None], error: Exception | None = None) -> None:
    """Set the result of a future, unless its waiter has been cancelled."""
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)


class SimServer:
    """What `create_server` returns."""

    def __init__(self, sock: SimSocket) -> None:
        """Stand for a listening socket."""
        self.sockets = [sock]

    def close(self) -> None:
        """Stop listening."""
        self.sockets[0].close()

    def is_serving(self) -> bool:
        """Return whether connections are accepted."""
        return not self.sockets[0].closed

    async def wait_closed(self) -> None:
        """Do nothing: closing takes no time."""


class Network:
    """All hosts and connections of a run."""

    def __init__(self, loop: VirtualLoop, seed: int, split_share: float = DEFAULT_SPLIT_SHARE) -> None:
        """Start without connections."""
        self.loop = loop
        self.random = Random(seed)
        self.split_share = split_share
        self.listeners: dict[Address, SimSocket] = {}
        self.links: dict[tuple[str, str], Link] = {}  # by source and target host
        self.sockets: list[SimSocket] = []  # that are open
        self._last_port = EPHEMERAL_PORT

    def kill(self, process: str) -> None:
        """Close the sockets of a process as its kernel does, without telling its code."""
        for sock in [sock for sock in self.sockets if sock.process == process]:
            if isinstance(sock.transport, SimTransport):
                sock.transport.lost = sock.transport.closing = True
                if sock.outbound is not None:
                    sock.outbound.send_buffer.clear()
            sock.close()

    def link(self, source: str, target: str) -> Link:
        """Return the link from one host to another."""
        return self.links.setdefault((source, target), Link())

    def partition(self, source: str, target: str) -> None:
        """Deliver nothing from one host to the other until `heal`."""
        self.link(source, target).partitioned = True

    def heal(self, source: str, target: str) -> None:
        """End a partition, and deliver what it delayed."""
        link = self.link(source, target)
        link.partitioned = False
        delayed, link.delayed = link.delayed, []
        for deliver in delayed:
            deliver()

    def listen(self, address: Address, backlog: int) -> SimSocket:
        """Return a listening socket. Raises OSError if the address is in use."""
        if address in self.listeners:
            raise OSError(f"in use: {address}")
        if address[1] == 0:
            address = address[0], self._next_port()
        sock = SimSocket(self)
        sock.local_address, sock.listening, sock.backlog = address, True, backlog
        self.listeners[address] = sock
        return sock

    def _next_port(self) -> int:
        self._last_port += 1
        return self._last_port

    async def connect(self, sock: SimSocket, address: Address, source: str = "127.0.0.1") -> None:
        """Connect a socket. Raises ConnectionRefusedError; never returns if the backlog is full or the link
        partitioned."""
        outward, back = self.link(source, address[0]), self.link(address[0], source)
        connected: asyncio.Future[None] = self.loop.create_future()
        sock.local_address, sock.peer_address = (source, self._next_port()), address
        Pipe(self, outward).send(lambda: self._on_syn(sock, address, outward, back, connected))
        await connected

    def _on_syn(
        self, sock: SimSocket, address: Address, outward: Link, back: Link, connected: asyncio.Future[None]
    ) -> None:
        """Handle a connection request at its target: establish, refuse, or drop it."""
        listener, reply = self.listeners.get(address), Pipe(self, back)
        if listener is None:
            reply.send(lambda: _complete(connected, ConnectionRefusedError(f"refused by {address}")))
            return
        if len(listener.pending) >= listener.backlog or sock.closed:
            return
        other = SimSocket(self)
        other.process = listener.process
        other.local_address, other.peer_address = address, sock.local_address
        sock.peer_socket, other.peer_socket = other, sock
        sock.outbound = other.inbound = Pipe(self, outward)
        sock.inbound = other.outbound = Pipe(self, back)
        sock.inbound.reader, other.inbound.reader = sock, other
        listener.pending.append(other)
        listener.on_data()
        reply.send(lambda: _complete(connected))
