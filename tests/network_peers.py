"""Peers for the real sidecar over loopback sockets: upstreams, discovery and a client that do as told."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ryepier.balancer.interface import Idempotency, IdempotencyScope, RequestClass, Settings
from ryepier.sidecar.config import Config
from ryepier.sidecar.serving import serve

HANG_TIMEOUT_S = 20.0  # no test waits for a time-out on purpose; this only ends one that hangs
ATTEMPT_TIMEOUT_US = 60_000_000  # longer than any test takes
FIRST_PORT = 10_000
PORTS_PER_WORKER = 700
MAX_WORKERS = 32
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

Script = Callable[["Upstream", int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def request_classes() -> list[RequestClass]:
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


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Head and body of one message that has a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return head, await reader.readexactly(length)


@dataclass
class Upstream:
    """Answers its requests as `script` says, which is told the number of each; keeps what it has seen."""

    script: Script
    requests: list[tuple[bytes, bytes]] = field(default_factory=list)
    connections: int = 0
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        if self.server is not None:
            self.server.close()


def respond_in_turn(*answers: bytes) -> Script:
    """Gives these answers in turn, the last one ever after; an empty one breaks the connection."""

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
    await reader.read()
    raise ConnectionResetError


def respond_after(released: asyncio.Event) -> Script:
    """Answers once it is let."""

    async def script(
        upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await released.wait()
        writer.write(OK)

    return script


def endpoint_entry(uid: str, port: int, state: str = "active", boot_ms: int = 0) -> dict[str, Any]:
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


def endpoint_list(*entries: dict[str, Any], rev: int = 1, full: bool = True) -> dict[str, Any]:
    return {"rev": rev, "all": full, "targets": list(entries)}


@dataclass
class Discovery:
    """Holds watches open; `line` puts a list on the newest. Each begins with `first`, if there is one."""

    first: dict[str, Any] | None = None
    calls: list[bytes] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    called: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head, _ = await read_message(reader)
        self.calls.append(head)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        if self.first is not None:
            self.line(self.first)
        self.called.set()
        await reader.read()

    async def watched(self) -> None:
        """Until there is a new watch."""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await self.called.wait()
        self.called.clear()

    def line(self, lines: object) -> None:
        self.piece(json.dumps(lines).encode() + b"\n")

    def piece(self, data: bytes) -> None:
        """Bytes as they are, in a chunk of their own."""
        self.writers[-1].write(b"%x\r\n%s\r\n" % (len(data), data))

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def worker_ports() -> Iterator[int]:
    """Yield the ports of this test process in turn, from a range that no other worker of the run has.

    The ranges lie below the system's ephemeral ports, which outgoing connections take.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    first = FIRST_PORT + int(worker) % MAX_WORKERS * PORTS_PER_WORKER
    for offset in itertools.count(os.getpid()):
        yield first + offset % PORTS_PER_WORKER


PORTS = worker_ports()


def free_port() -> int:
    """Return a loopback port that nothing listens on and that no other worker hands out."""
    for port in itertools.islice(PORTS, PORTS_PER_WORKER):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port in this worker's range")


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
    path = folder / "config.json"
    whole = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": endpoint_list(endpoint_entry("u", 1)),
    }
    path.write_text(json.dumps(whole | changes))
    return path


request_numbers = itertools.count(1000)


def request(
    kind: str = "read", ident: str | None = None, body: bytes = b"", deadline_ms: object = 15_000, extra: str = ""
) -> bytes:
    """A request as the application sends it, with an id of its own if none is given."""
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

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def fetch(self, data: bytes) -> tuple[bytes, bytes]:
        """One request on a connection of its own; head and body of the answer."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            async with asyncio.timeout(HANG_TIMEOUT_S):
                return await read_message(reader)
        finally:
            writer.close()


@asynccontextmanager
async def sidecar(
    *upstreams: Upstream,
    discovery: Discovery | None = None,
    idle_us: int = 60_000_000,
    known: dict[str, Any] | None = None,
    path: str = "",
    **changes: Any,
) -> AsyncIterator[Sidecar]:
    """A sidecar whose known list holds these upstreams."""
    for upstream in upstreams:
        await upstream.start()
    agent = None if discovery is not None else Discovery(first=endpoint_list(rev=1, full=False))
    for each in (discovery, agent):
        if each is not None:
            await each.start()
    values: dict[str, Any] = {
        "classes": request_classes(),
        "max_attempts": 4,
        "connect_timeout_us": 10_000_000,
        "max_retry_after_us": 1_000_000,
        "polls_endpoints": discovery is not None,
        "max_poll_interval_us": 10_000_000,
    }
    known = known or endpoint_list(*(endpoint_entry(f"u{i}", upstream.port) for i, upstream in enumerate(upstreams)))
    port, stop, reload = free_port(), asyncio.Event(), asyncio.Event()
    config = Config(
        listen=("127.0.0.1", port),
        discovery=("127.0.0.1", (discovery or agent or Discovery()).port),
        seed=1,
        sockets=200,
        settings=Settings(**(values | changes)),
        zones=["a"],
        kinds=["m"],
        idle_us=idle_us,
        known=known,
        path=path,
    )
    task = asyncio.create_task(serve(config, stop, reload))
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                except ConnectionRefusedError:
                    assert not task.done()
                    await asyncio.sleep(0.01)
        yield Sidecar(port, stop, reload, task)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for upstream in upstreams:
            upstream.stop()
        for each in (discovery, agent):
            if each is not None:
                each.stop()


def status_of(answer: tuple[bytes, bytes]) -> int:
    return int(answer[0].split(b" ")[1])


def run_async(test: Callable[[], Awaitable[None]]) -> None:
    """One test, with a bound on its time."""

    async def limited() -> None:
        async with asyncio.timeout(3 * HANG_TIMEOUT_S):
            await test()

    asyncio.run(limited())


async def check_rejected(data: bytes, expected: int) -> None:
    """Check that such bytes get an error of this status and the end of their connection, that nothing of them goes on,
    and that the sidecar serves after it."""
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
    """Wait until it holds."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)
