"""Peers for the real sidecar over loopback sockets: scripted upstreams, discovery and clients."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from ryepier.balancer.interface import Idempotency, IdempotencyScope, RequestClass, Settings
from ryepier.sidecar.config import Config
from ryepier.sidecar.serving import serve
from tests.loopback_ports import free_port

HANG_TIMEOUT_S = 20.0  # no test waits for a time-out on purpose; this only ends one that hangs
ATTEMPT_TIMEOUT_US = 60_000_000  # longer than any test takes
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

Script = Callable[["Upstream", int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""What an upstream does with a request, whose number it gets; the number counts all its requests."""
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Json = dict[str, Any]


class Message(NamedTuple):
    """An HTTP request or response."""

    head: bytes
    """With the empty line at its end."""
    body: bytes


def request_classes() -> list[RequestClass]:
    """Return a class of each kind: idempotent, non-idempotent, and with an idempotency key."""
    return [
        RequestClass("read", latency_objective_us=1_000_000, deadline_us=20_000_000, late_weight=0.5),
        RequestClass(
            "pay",
            latency_objective_us=1_000_000,
            deadline_us=20_000_000,
            late_weight=0.5,
            idempotency=Idempotency.NON_IDEMPOTENT,
        ),
        RequestClass(
            "mark",
            latency_objective_us=1_000_000,
            deadline_us=20_000_000,
            late_weight=0.5,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            idempotency_scope=IdempotencyScope.FAILURE_DOMAIN,
            idempotency_window_us=20_000_000,
        ),
    ]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a Content-Length. Raises IncompleteReadError if the connection ends in it."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return Message(head, await reader.readexactly(length))


@dataclass
class Upstream:
    """Handles each request by its script, and keeps all of them."""

    script: Script
    requests: list[Message] = field(default_factory=list)
    connections: int = 0
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle the requests of one connection."""
        self.connections += 1
        try:
            while True:
                self.requests.append(await read_message(reader))
                await self.script(self, len(self.requests) - 1, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        """Stop listening; connections stay."""
        if self.server is not None:
            self.server.close()


def respond_in_turn(*answers: bytes) -> Script:
    """Return a script that gives these answers in turn and repeats the last; an empty one aborts the connection."""

    async def script(
        upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        answer = answers[min(number, len(answers) - 1)]
        if not answer:
            writer.transport.abort()
            raise ConnectionResetError
        writer.write(answer)
        await writer.drain()

    return script


async def never_respond(
    upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Script that waits for the end of the connection."""
    await reader.read()
    raise ConnectionResetError


def respond_after(released: asyncio.Event) -> Script:
    """Return a script that answers once the event is set."""

    async def script(
        upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await released.wait()
        writer.write(OK)

    return script


def endpoint_entry(uid: str, port: int, state: str = "active", boot_ms: int = 0) -> Json:
    """Return an endpoint as the list has it."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "a",
        "model": "m",
        "pod_group": 1,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


def endpoint_list(*entries: Json, rev: int = 1, full: bool = True) -> Json:
    """Return an endpoint list of revision `rev`: the complete one, or a change."""
    return {"rev": rev, "all": full, "targets": list(entries)}


@dataclass
class Discovery:
    """Keeps watches open, and sends each the list `first` if there is one; `line` sends a list to the newest."""

    first: Json | None = None
    calls: list[bytes] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    called: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Keep one watch open."""
        head, _ = await read_message(reader)
        self.calls.append(head)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        if self.first is not None:
            self.line(self.first)
        self.called.set()
        await reader.read()

    async def watched(self) -> None:
        """Wait for a new watch."""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await self.called.wait()
        self.called.clear()

    def line(self, lines: object) -> None:
        """Send a list to the newest watch."""
        self.piece(json.dumps(lines).encode() + b"\n")

    def piece(self, data: bytes) -> None:
        """Send bytes to the newest watch, in a chunk of their own."""
        self.writers[-1].write(b"%x\r\n%s\r\n" % (len(data), data))

    def stop(self) -> None:
        """Stop listening, and abort all watches."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


SETTINGS: dict[str, Any] = {
    "accounts": [],
    "areas": ["a", "b"],
    "granularity": 5000,
    "bounds": {
        "conn-idle": 5000000,
        "dial-timeout": 200000,
        "most-tries": 4,
        "cancel": True,
        "probes": True,
        "retry-after": True,
        "second-copies": True,
    },
    "instances": 3,
    "invariants": {
        "ask-within": 10000000,
        "cold-share": 0.32,
        "fall": 2000000,
        "overload-factor": 2.5,
        "warm-up": 8900000,
    },
    "kinds": ["m"],
    "locality": 1,
    "registry-mode": "on_request",
    "report": {"how": "probe", "names": ["rif", "q"]},
    "weights": "nominal",
    "request-classes": [{"name": "pay", "aim": 400000, "deadline": 1200000, "effect": "at_most_once", "worth": 10.0}],
}


def write_configuration(folder: Path, **changes: Any) -> Path:
    """Write the configuration of one sidecar, with some keys changed, and return its path."""
    path = folder / "config.json"
    values = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": endpoint_list(endpoint_entry("u", 1)),
    }
    path.write_text(json.dumps(values | changes))
    return path


request_numbers = itertools.count(1000)


def request(
    kind: str = "read", ident: str | None = None, body: bytes = b"", deadline_ms: object = 15_000, extra: str = ""
) -> bytes:
    """Return a request as the application sends it, with an id of its own if none is given."""
    method = "GET" if kind == "read" else "POST"
    ident = str(next(request_numbers)) if ident is None else ident
    key = "Idempotency-Key: k\r\n" if kind == "mark" else ""
    length = "" if kind == "read" else f"Content-Length: {len(body)}\r\n"
    return (
        f"{method} /{kind}/it?x=1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {ident}\r\n"
        f"X-Class: {kind}\r\nX-Deadline-Ms: {deadline_ms}\r\n{key}{length}{extra}\r\n"
    ).encode() + body


@dataclass
class Sidecar:
    """A running sidecar as its application sees it."""

    port: int
    stop: asyncio.Event
    reload: asyncio.Event
    task: asyncio.Task[None]

    async def connect(self) -> Streams:
        """Open a connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def fetch(self, data: bytes) -> Message:
        """Send one request on a connection of its own, and return the response."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            async with asyncio.timeout(HANG_TIMEOUT_S):
                return await read_message(reader)
        finally:
            writer.close()


def sidecar_config(port: int, discovery_port: int, cached_list: Json, **changes: Any) -> Config:
    """Return a configuration; changes may be of Config's fields or of Settings'."""
    settings: dict[str, Any] = {
        "classes": request_classes(),
        "max_attempts": 4,
        "connect_timeout_us": 10_000_000,
        "max_retry_after_us": 1_000_000,
        "max_poll_interval_us": 10_000_000,
    }
    values: dict[str, Any] = {"upstream_idle_timeout_us": 60_000_000, "path": ""}
    for name, value in changes.items():
        (values if name in values else settings)[name] = value
    return Config(
        listen=("127.0.0.1", port),
        discovery=("127.0.0.1", discovery_port),
        seed=1,
        max_descriptors=200,
        settings=Settings(**settings),
        zones=["a"],
        kinds=["m"],
        cached_list=cached_list,
        **values,
    )


async def wait_until_listening(port: int, task: asyncio.Task[None]) -> None:
    """Wait until a sidecar accepts connections; it must not end before."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except ConnectionRefusedError:
                assert not task.done()
                await asyncio.sleep(0.01)
            else:
                writer.close()
                return


@asynccontextmanager
async def sidecar(
    *upstreams: Upstream, discovery: Discovery | None = None, cached_list: Json | None = None, **changes: Any
) -> AsyncIterator[Sidecar]:
    """Run a sidecar in this process whose configured list has these upstreams.

    It polls the discovery that is given; without one it watches an agent that has nothing to send. `changes` are as in
    `sidecar_config`.
    """
    agent = discovery or Discovery(first=endpoint_list(rev=1, full=False))
    peers: list[Upstream | Discovery] = [*upstreams, agent]
    for peer in peers:
        await peer.start()
    cached_list = cached_list or endpoint_list(
        *(endpoint_entry(f"u{i}", upstream.port) for i, upstream in enumerate(upstreams))
    )
    port, stop, reload = free_port(), asyncio.Event(), asyncio.Event()
    changes = {"polls_endpoints": discovery is not None} | changes
    config = sidecar_config(port, agent.port, cached_list, **changes)
    task = asyncio.create_task(serve(config, stop, reload))
    try:
        await wait_until_listening(port, task)
        yield Sidecar(port, stop, reload, task)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for peer in peers:
            peer.stop()


def status_of(response: Message) -> int:
    """Return the status of a response."""
    return int(response.head.split(b" ")[1])


def run_async(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in an event loop, with a bound on its time."""

    async def limited() -> None:
        async with asyncio.timeout(3 * HANG_TIMEOUT_S):
            await test()

    asyncio.run(limited())


async def check_rejected(data: bytes, expected: int) -> None:
    """Check that bytes get an error of this status and the end of their connection, that nothing of them is forwarded,
    and that the sidecar serves the next request."""
    upstream = Upstream(respond_in_turn(OK))
    async with sidecar(upstream) as it:
        reader, writer = await it.connect()
        writer.write(data)
        answer = await reader.read()
        writer.close()
        assert int(answer.split(b" ")[1]) == expected and b"Connection: close" in answer
        assert upstream.requests == []
        assert status_of(await it.fetch(request())) == 200


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)
