"""An open-loop HTTP client that records the latency of each call to one address."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import numpy as np

from ryepier.emulator.process import monotonic_us
from ryepier.sidecar.system import Address

MAX_CONNECTIONS = 400  # most open connections per target
LATE_CALLS_PER_YIELD = 8  # calls that a client behind schedule sends before it yields to the event loop


def make_request_template(class_name: str) -> bytes:
    """Return a GET request of a request class, with `%d` in place of the request's number."""
    return (
        f"GET /{class_name}/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: r-%d\r\nX-Class: {class_name}\r\n"
        "X-Tenant: north\r\nX-Deadline-Ms: 1000\r\n\r\n"
    ).encode()


REQUEST = make_request_template("convert-file")


def body_length(head: bytes) -> int:
    """Return the Content-Length from the head of a response, or 0 if there is none."""
    _, separator, rest = head.lower().partition(b"content-length:")
    return int(rest.split(b"\r\n")[0]) if separator else 0


class CallConnection(asyncio.Protocol):
    """A client connection that carries one call at a time."""

    def __init__(self, target: Target, start_us: int) -> None:
        """Prepare a connection whose first call, timed from `start_us`, is sent once it is established."""
        self.target = target
        self.start_us = start_us
        self.transport: asyncio.Transport | None = None
        self.data = b""
        self.awaits_response = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first call."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.target.connection_count += 1
        self.send(self.start_us)

    def send(self, start_us: int) -> None:
        """Send a call, timed from `start_us`."""
        assert self.transport is not None
        self.start_us = start_us
        self.awaits_response = True
        self.target.last_request_number += 1
        self.transport.write(self.target.request % self.target.last_request_number)

    def data_received(self, data: bytes) -> None:
        """Record the call once its response is complete."""
        self.data += data
        head, separator, body = self.data.partition(b"\r\n\r\n")
        if not separator or len(body) < body_length(head):
            return
        self.data = b""
        self.awaits_response = False
        self.target.record(self.start_us, served=head[9:12] == b"200")
        self.target.idle_connections.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from its target."""
        self.target.connection_count -= 1
        if self in self.target.idle_connections:
            self.target.idle_connections.remove(self)
        if self.awaits_response and not self.data and self.target.resends:
            self.target.place(self.start_us)


@dataclass(slots=True)
class Target:
    """An address and the open-loop calls to it: each is sent when it is due, without waiting for earlier answers."""

    address: Address
    request: bytes
    idle_connections: list[CallConnection] = field(default_factory=list)
    connection_count: int = 0
    resends: bool = False  # whether a call whose connection ends without a response is sent once more on another
    last_request_number: int = 0
    due_count: int = 0  # calls that were due in this phase
    served_count: int = 0  # calls answered with status 200 in this phase
    latencies_us: list[int] = field(default_factory=list)
    connect_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def record(self, start_us: int, served: bool) -> None:
        """Record the latency of an answered call, and whether it was served."""
        self.served_count += served
        self.latencies_us.append(monotonic_us() - start_us)

    def reset(self) -> None:
        """Discard the measurements of the previous phase."""
        self.due_count = self.served_count = 0
        self.latencies_us = []

    def call(self, start_us: int) -> None:
        """Count a call, and send it on an idle connection, or on a new one while there are fewer than
        `MAX_CONNECTIONS`."""
        self.due_count += 1
        self.place(start_us)

    def place(self, start_us: int) -> None:
        """Send a call that was due at `start_us`, now or once a new connection is established."""
        if self.idle_connections:
            self.idle_connections.pop().send(start_us)
        elif self.connection_count + len(self.connect_tasks) < MAX_CONNECTIONS:
            task = asyncio.get_running_loop().create_task(self._connect(start_us))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)

    async def _connect(self, start_us: int) -> None:
        with contextlib.suppress(OSError):  # without a connection, the call stays unanswered
            await asyncio.get_running_loop().create_connection(lambda: CallConnection(self, start_us), *self.address)

    async def run(self, rate_per_s: float, duration_s: float, random: np.random.Generator) -> None:
        """Send calls as a Poisson process for `duration_s`.

        The latency of a call counts from its write, not from when it was due, as a sleep of the event loop may end up
        to 1 ms late.
        """
        due_us = float(monotonic_us())
        end_us = due_us + duration_s * 1e6
        while (due_us := due_us + random.exponential(1e6 / rate_per_s)) < end_us:
            delay_s = (due_us - monotonic_us()) / 1e6
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            elif self.due_count % LATE_CALLS_PER_YIELD == 0:
                await asyncio.sleep(0)  # lets a client that is behind schedule read responses
            self.call(monotonic_us())
