"""An open-loop client of one address, which records how long each call took."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import numpy as np

from ryepier.emulator.process import monotonic_us
from ryepier.sidecar.system import Address

MAX_CONNECTIONS = 400  # of a client to one target
LATE_CALLS = 8  # that go out at once where the client is late


def request_text(name: str) -> bytes:
    """Return a request of a class; its number is formatted into it."""
    return (
        f"GET /{name}/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: r-%d\r\nX-Class: {name}\r\n"
        "X-Tenant: north\r\nX-Deadline-Ms: 1000\r\n\r\n"
    ).encode()


REQUEST = request_text("convert-file")


def body_length(head: bytes) -> int:
    """Return the Content-Length of a response; 0 without one."""
    _, found, values = head.lower().partition(b"content-length:")
    return int(values.split(b"\r\n")[0]) if found else 0


class CallConnection(asyncio.Protocol):
    """A connection of the client, with one call at a time."""

    def __init__(self, target: Target, begun_us: int) -> None:
        """Send a call that begins at `begun_us` once the connection is established."""
        self.target = target
        self.begun_us = begun_us
        self.transport: asyncio.Transport | None = None
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first call."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.target.connection_count += 1
        self.send(self.begun_us)

    def send(self, begun_us: int) -> None:
        """Send a call."""
        assert self.transport is not None
        self.begun_us = begun_us
        self.target.number += 1
        self.transport.write(self.target.request % self.target.number)

    def data_received(self, data: bytes) -> None:
        """Record the call once its response is complete."""
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end or len(body) < body_length(head):
            return
        self.data = b""
        self.target.record(self.begun_us, served=head[9:12] == b"200")
        self.target.idle.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Leave the target."""
        self.target.connection_count -= 1
        if self in self.target.idle:
            self.target.idle.remove(self)


@dataclass(slots=True)
class Target:
    """An address and the open-loop calls to it: each is sent when it is due, whatever became of the ones before."""

    address: Address
    request: bytes
    idle: list[CallConnection] = field(default_factory=list)
    connection_count: int = 0
    number: int = 0
    due: int = 0  # calls of this phase
    served: int = 0
    took_us: list[int] = field(default_factory=list)
    connecting: set[asyncio.Task[None]] = field(default_factory=set)

    def record(self, begun_us: int, served: bool) -> None:
        """Record a call that was answered."""
        self.served += served
        self.took_us.append(monotonic_us() - begun_us)

    def reset(self) -> None:
        """Discard the measurements before a phase."""
        self.due = self.served = 0
        self.took_us = []

    def call(self, begun_us: int) -> None:
        """Send a call on an idle connection, or on a new one while there are fewer than `MAX_CONNECTIONS`."""
        self.due += 1
        if self.idle:
            self.idle.pop().send(begun_us)
        elif self.connection_count + len(self.connecting) < MAX_CONNECTIONS:
            task = asyncio.get_running_loop().create_task(self._connect(begun_us))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)

    async def _connect(self, begun_us: int) -> None:
        with contextlib.suppress(OSError):  # it counts as not served
            await asyncio.get_running_loop().create_connection(lambda: CallConnection(self, begun_us), *self.address)

    async def run(self, rate_per_s: float, duration_s: float, random: np.random.Generator) -> None:
        """Send calls as a Poisson process, each timed from its write: a sleep of the loop ends up to 1 ms late."""
        at_us = float(monotonic_us())
        until_us = at_us + duration_s * 1e6
        while (at_us := at_us + random.exponential(1e6 / rate_per_s)) < until_us:
            delay_s = (at_us - monotonic_us()) / 1e6
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            elif self.due % LATE_CALLS == 0:
                await asyncio.sleep(0)  # a client that is late must still read the responses
            self.call(monotonic_us())
