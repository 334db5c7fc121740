"""An in-memory network that models TCP: ordered delivery, receive windows, half-closes, resets and backlogs."""

from __future__ import annotations

import asyncio
from random import Random

from ryepier.sim.link import Link, Pipe
from ryepier.sim.loop import VirtualLoop
from ryepier.sim.sockets import Address, SimSocket
from ryepier.sim.transport import SimTransport

EPHEMERAL_PORT_BASE = 40_000  # ephemeral ports are assigned upwards from 40001
DEFAULT_SPLIT_SHARE = 0.1  # share of the segments that are cut at a random length


def _complete(future: asyncio.Future[None], error: Exception | None = None) -> None:
    """Complete a future with None or with an error, unless it is already done, e.g. cancelled."""
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)


class SimServer:
    """A server on a listening socket, with the methods of asyncio's `Server` that the callers use."""

    def __init__(self, sock: SimSocket) -> None:
        """Create a server on a socket that is already listening."""
        self.sockets = [sock]

    def close(self) -> None:
        """Stop listening."""
        self.sockets[0].close()

    def is_serving(self) -> bool:
        """Return whether connections are accepted."""
        return not self.sockets[0].closed

    async def wait_closed(self) -> None:
        """Return at once, because closing a simulated socket takes no time."""


class Network:
    """All hosts, links, listeners and sockets of a run. Hosts are identified by their addresses."""

    def __init__(self, loop: VirtualLoop, seed: int, split_share: float = DEFAULT_SPLIT_SHARE) -> None:
        """Create a network without sockets. `seed` determines latencies and segment lengths.

        `split_share` is the share of the segments that are cut at a random length.
        """
        self.loop = loop
        self.random = Random(seed)
        self.split_share = split_share
        self.listeners: dict[Address, SimSocket] = {}
        self.links: dict[tuple[str, str], Link] = {}  # by source and target host
        self.sockets: list[SimSocket] = []  # all open sockets
        self._last_port = EPHEMERAL_PORT_BASE

    def kill(self, process: str) -> None:
        """Close the sockets of a process without calling the process's code, as the kernel does after SIGKILL."""
        for sock in [sock for sock in self.sockets if sock.process == process]:
            if isinstance(sock.transport, SimTransport):
                sock.transport.closed = sock.transport.closing = True
                if sock.outbound is not None:
                    sock.outbound.send_buffer.clear()
            sock.close()

    def link(self, source: str, target: str) -> Link:
        """Return the link from the host `source` to the host `target`, and create it on first use."""
        return self.links.setdefault((source, target), Link())

    def partition(self, source: str, target: str) -> None:
        """Delay all segments from `source` to `target` until `heal` is called. The other direction is not affected."""
        self.link(source, target).partitioned = True

    def heal(self, source: str, target: str) -> None:
        """End a partition, and deliver the delayed segments."""
        link = self.link(source, target)
        link.partitioned = False
        delayed_deliveries, link.delayed_deliveries = link.delayed_deliveries, []
        for deliver in delayed_deliveries:
            deliver()

    def listen(self, address: Address, backlog: int) -> SimSocket:
        """Return a listening socket. Port 0 selects a free port. Raises OSError if the address is in use."""
        if address in self.listeners:
            raise OSError(f"address already in use: {address}")
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
        """Connect a socket from the host `source`.

        Raises ConnectionRefusedError if no socket listens on the address. Does not return while a link between the
        hosts is partitioned, and never returns if the listener's backlog is full, so callers need a timeout.
        """
        forward_link, reverse_link = self.link(source, address[0]), self.link(address[0], source)
        connected_future: asyncio.Future[None] = self.loop.create_future()
        sock.local_address, sock.peer_address = (source, self._next_port()), address
        Pipe(self, forward_link).send(lambda: self._on_syn(sock, address, forward_link, reverse_link, connected_future))
        await connected_future

    def _on_syn(
        self,
        sock: SimSocket,
        address: Address,
        forward_link: Link,
        reverse_link: Link,
        connected_future: asyncio.Future[None],
    ) -> None:
        """Handle a connection request at the target host.

        Refuses it if no socket listens, and ignores it if the backlog is full or the connecting socket is closed.
        """
        listener, reply_pipe = self.listeners.get(address), Pipe(self, reverse_link)
        if listener is None:
            reply_pipe.send(
                lambda: _complete(connected_future, ConnectionRefusedError(f"connection refused by {address}"))
            )
            return
        if len(listener.pending_connections) >= listener.backlog or sock.closed:
            return
        accepted_sock = SimSocket(self)
        accepted_sock.process = listener.process
        accepted_sock.local_address, accepted_sock.peer_address = address, sock.local_address
        sock.peer_socket, accepted_sock.peer_socket = accepted_sock, sock
        sock.outbound = accepted_sock.inbound = Pipe(self, forward_link)
        sock.inbound = accepted_sock.outbound = Pipe(self, reverse_link)
        sock.inbound.reader, accepted_sock.inbound.reader = sock, accepted_sock
        listener.pending_connections.append(accepted_sock)
        listener.on_data()
        reply_pipe.send(lambda: _complete(connected_future))
