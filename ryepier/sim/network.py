"""A network in memory that behaves as TCP does towards asyncio: order, windows, half-closes, resets, backlogs, silence.

One direction of a connection is a `Pipe`: what is written leaves in segments, cut anywhere, each later by the link's
latency and never before the one ahead of it. A receiver's window holds back the sender. A cut link loses nothing, as
TCP sends again: it is silent until it is healed.
"""

from __future__ import annotations

import asyncio
import contextvars
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ryepier.sim.loop import VirtualLoop
from ryepier.sim.process import OWNER

Address = tuple[str, int]
RECEIVE_WINDOW_BYTES = 64 * 1024
HIGH_WATER = 64 * 1024  # asyncio's own
SEGMENT = 1460
APART_S = 1e-9
FIRST_PORT = 40_000
WIRE = contextvars.Context()  # what is under way belongs to nobody
Factory = Callable[[], asyncio.BaseProtocol]


@dataclass(slots=True)
class Link:
    """How things are between two hosts, one way."""

    latency_s: tuple[float, float] = (0.000_05, 0.000_2)
    cut: bool = False
    held: list[Callable[[], None]] = field(default_factory=list)


class Pipe:
    """One direction of a connection."""

    def __init__(self, network: Network, link: Link) -> None:
        self.network = network
        self.link = link
        self.waiting = bytearray()  # written, and not in the window yet
        self.flying = 0
        self.arrived: deque[bytes] = deque()
        self.unread = 0
        self.last_s = 0.0  # when the segment that left last arrives
        self.ending = False  # an end follows what waits
        self.end_sent = False
        self.ended = False  # and has arrived
        self.reader: SimSocket | None = None

    def write(self, data: bytes) -> None:
        self.waiting += data
        self.push()

    def push(self) -> None:
        """Send what the window allows, in segments that end anywhere."""
        random = self.network.random
        while self.waiting and self.flying + self.unread < RECEIVE_WINDOW_BYTES:
            most = min(len(self.waiting), SEGMENT, RECEIVE_WINDOW_BYTES - self.flying - self.unread)
            size = most if random.random() >= self.network.split else random.randint(1, most)
            segment = bytes(self.waiting[:size])
            del self.waiting[:size]
            self.flying += size
            self.send(lambda segment=segment: self.arrive(segment))  # type: ignore[misc]
        if self.ending and not self.waiting and not self.end_sent:
            self.end_sent = True
            self.send(self.arrive_end)

    def send(self, deliver: Callable[[], None]) -> None:
        loop = self.network.loop
        # hazard: of timers due at one instant asyncio's heap may take the later first
        at_s = max(self.last_s + APART_S, loop.now_s + self.network.random.uniform(*self.link.latency_s))
        self.last_s = at_s
        loop.at_run_time(at_s, self.pass_link, deliver, context=WIRE)

    def pass_link(self, deliver: Callable[[], None]) -> None:
        if self.link.cut or self.link.held:
            self.link.held.append(deliver)
        else:
            deliver()

    def arrive(self, segment: bytes) -> None:
        self.flying -= len(segment)
        if self.reader is None or self.reader.closed:
            return
        self.arrived.append(segment)
        self.unread += len(segment)
        self.reader.readable()

    def arrive_end(self) -> None:
        self.ended = True
        if self.reader is not None:
            self.reader.readable()

    def take(self) -> bytes:
        segment = self.arrived.popleft()
        self.unread -= len(segment)
        self.push()
        return segment


class SimSocket:
    """As much of a socket as the sidecar and asyncio's streams use."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = 0

    def __init__(self, network: Network) -> None:
        self.network = network
        self.owner = OWNER.get()
        self.local: Address = ("", 0)
        self.peer: Address = ("", 0)
        self.inbound: Pipe | None = None
        self.outbound: Pipe | None = None
        self.other: SimSocket | None = None
        self.transport: SimTransport | None = None
        self.closed = False
        self.reset = False
        self.resets = False  # it ends with a reset, whatever was read
        self.listening = False
        self.backlog = 0
        self.pending: deque[SimSocket] = deque()
        self.on_readable: Callable[[], None] | None = None
        self.context: contextvars.Context | None = None  # that of who reads it by hand
        network.sockets.append(self)

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Only to linger for no time matters here: the end is a reset then."""
        self.resets |= (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER)

    def getsockname(self) -> Address:
        return self.local

    def getpeername(self) -> Address:
        return self.peer

    def fileno(self) -> int:
        return -1

    def readable(self) -> None:
        if self.transport is not None:
            self.transport.schedule_read()
        elif self.on_readable is not None:
            self.network.loop.call_soon(self.on_readable, context=self.context)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Only a look at what has come."""
        if not flags & socket.MSG_PEEK:
            raise OSError("only peeking is simulated")
        if self.reset:
            raise ConnectionResetError
        assert self.inbound is not None
        if self.inbound.arrived:
            return self.inbound.arrived[0][:size]
        if self.inbound.ended:
            return b""
        raise BlockingIOError

    def accept(self) -> tuple[SimSocket, Address]:
        if not self.pending:
            raise BlockingIOError
        sock = self.pending.popleft()
        return sock, sock.peer

    def close(self) -> None:
        """With bytes unread, or none that the other end could still want, the other end sees a reset."""
        if self.closed:
            return
        self.closed = True
        self.network.sockets.remove(self)
        if self.listening:
            self.network.listeners.pop(self.local, None)
            for waiting in self.pending:
                waiting.close()
            return
        if self.outbound is None or self.inbound is None:
            return
        if self.inbound.arrived or self.resets:
            self.send_reset()
        else:
            self.outbound.ending = True
            self.outbound.push()

    def send_reset(self) -> None:
        assert self.outbound is not None
        other = self.other
        if other is not None:
            self.outbound.send(other.take_reset)

    def take_reset(self) -> None:
        if self.closed or self.reset:
            return
        self.reset = True
        if self.transport is not None:
            self.transport.lose(ConnectionResetError("reset by peer"))


class SimTransport(asyncio.Transport):
    """A connection as asyncio shows it."""

    def __init__(self, sock: SimSocket, protocol: asyncio.BaseProtocol) -> None:
        super().__init__({"socket": sock, "peername": sock.peer, "sockname": sock.local})
        self.sock = sock
        self.loop = sock.network.loop
        self.protocol = protocol
        self.high = HIGH_WATER
        self.closing = self.lost = self.paused = self.full = self.scheduled = False
        self.eof_told = False
        self.context = contextvars.copy_context()  # what comes is handled by whoever made it
        sock.transport = self

    def start(self) -> None:
        """In the order that asyncio has: first it is made, then it may read."""
        self.protocol.connection_made(self)
        self.schedule_read()

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    # Reading

    def schedule_read(self) -> None:
        if not self.scheduled and not self.paused and not self.lost:
            self.scheduled = True
            self.loop.call_soon(self.read, context=self.context)

    def read(self) -> None:
        self.scheduled = False
        pipe, protocol = self.sock.inbound, self.protocol
        assert pipe is not None and isinstance(protocol, asyncio.Protocol)
        if self.paused or self.lost or self.closing:
            return
        if pipe.arrived:
            protocol.data_received(pipe.take())
            self.schedule_read()
        elif pipe.ended and not self.eof_told:
            self.eof_told = True
            if not protocol.eof_received():
                self.close()

    def is_reading(self) -> bool:
        return not self.paused

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        self.schedule_read()

    # Writing

    def write(self, data: Any) -> None:
        pipe = self.sock.outbound
        assert pipe is not None
        if self.lost or self.closing or not data:
            return
        if pipe.ending:
            raise RuntimeError("write after the end")
        if self.sock.other is not None and self.sock.other.closed and self.heard_of_close():
            self.sock.take_reset()  # nobody is there any more: the answer to this would be a reset
            return
        pipe.write(bytes(data))
        self.check_room()

    def heard_of_close(self) -> bool:
        return self.sock.inbound is not None and self.sock.inbound.ended

    def check_room(self) -> None:
        pipe = self.sock.outbound
        assert pipe is not None
        if len(pipe.waiting) > self.high and not self.full:
            self.full = True
            self.protocol.pause_writing()
            self.loop.call_later(0.001, self.check_drained)

    def check_drained(self) -> None:
        pipe = self.sock.outbound
        assert pipe is not None
        if self.lost or not self.full:
            return
        if len(pipe.waiting) <= self.high // 4:
            self.full = False
            self.protocol.resume_writing()
        else:
            self.loop.call_later(0.001, self.check_drained)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        pipe = self.sock.outbound
        assert pipe is not None
        if not pipe.ending:
            pipe.ending = True
            pipe.push()

    def get_write_buffer_size(self) -> int:
        return len(self.sock.outbound.waiting) if self.sock.outbound is not None else 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = HIGH_WATER if high is None else high

    # The end

    def is_closing(self) -> bool:
        return self.closing or self.lost

    def close(self) -> None:
        """What is written still goes out."""
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.lose, None)

    def abort(self) -> None:
        self.closing = True
        if self.sock.outbound is not None:
            self.sock.outbound.waiting.clear()
        self.loop.call_soon(self.lose, None)

    def lose(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.lost = self.closing = True
        self.sock.close()
        self.loop.call_soon(self.protocol.connection_lost, error, context=self.context)


def settle(done: asyncio.Future[None], error: Exception | None = None) -> None:
    """Unless whoever waited has gone."""
    if done.done():
        return
    if error is None:
        done.set_result(None)
    else:
        done.set_exception(error)


class SimServer:
    """What `create_server` gives."""

    def __init__(self, sock: SimSocket) -> None:
        self.sockets = [sock]

    def close(self) -> None:
        self.sockets[0].close()

    def is_serving(self) -> bool:
        return not self.sockets[0].closed

    async def wait_closed(self) -> None:
        """It closes at once."""


class Network:
    """All hosts and connections of a run."""

    def __init__(self, loop: VirtualLoop, seed: int, split: float = 0.1) -> None:
        self.loop = loop
        self.random = Random(seed)
        self.split = split  # of the segments are cut somewhere
        self.listeners: dict[Address, SimSocket] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.last_port = FIRST_PORT
        self.sockets: list[SimSocket] = []  # that are open

    def kill(self, owner: str) -> None:
        """A process ends: its sockets close as the kernel closes them, and nobody there hears of it."""
        for sock in [sock for sock in self.sockets if sock.owner == owner]:
            if sock.transport is not None:
                sock.transport.lost = sock.transport.closing = True
                if sock.outbound is not None:
                    sock.outbound.waiting.clear()
            sock.close()

    def link(self, source: str, target: str) -> Link:
        return self.links.setdefault((source, target), Link())

    def partition(self, source: str, target: str) -> None:
        """Nothing passes from one host to the other until it is healed."""
        self.link(source, target).cut = True

    def heal(self, source: str, target: str) -> None:
        link = self.link(source, target)
        link.cut = False
        held, link.held = link.held, []
        for deliver in held:
            deliver()

    def listen(self, address: Address, backlog: int) -> SimSocket:
        """Raises OSError where somebody listens there."""
        if address in self.listeners:
            raise OSError(f"in use: {address}")
        if address[1] == 0:
            self.last_port += 1
            address = address[0], self.last_port
        sock = SimSocket(self)
        sock.local, sock.listening, sock.backlog = address, True, backlog
        self.listeners[address] = sock
        return sock

    async def connect(self, sock: SimSocket, address: Address, source: str = "127.0.0.1") -> None:
        """Raises ConnectionRefusedError; waits for ever where the backlog is full or the link is cut."""
        there, back = self.link(source, address[0]), self.link(address[0], source)
        done: asyncio.Future[None] = self.loop.create_future()
        self.last_port += 1
        sock.local, sock.peer = (source, self.last_port), address
        first = Pipe(self, there)
        first.send(lambda: self._knock(sock, address, there, back, done))
        await done

    def _knock(self, sock: SimSocket, address: Address, there: Link, back: Link, done: asyncio.Future[None]) -> None:
        listener, answer = self.listeners.get(address), Pipe(self, back)
        if listener is None:
            answer.send(lambda: settle(done, ConnectionRefusedError(f"refused by {address}")))
            return
        if len(listener.pending) >= listener.backlog or sock.closed:
            return  # dropped without a word
        other = SimSocket(self)
        other.owner = listener.owner
        other.local, other.peer = address, sock.local
        sock.other, other.other = other, sock
        sock.outbound = other.inbound = Pipe(self, there)
        sock.inbound = other.outbound = Pipe(self, back)
        sock.inbound.reader, other.inbound.reader = sock, other
        listener.pending.append(other)
        listener.readable()
        answer.send(lambda: settle(done))
