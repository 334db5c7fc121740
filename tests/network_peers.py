"""Scripted upstreams, discovery and clients that talk to a real sidecar over loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

from ryepier.balancer.interface import Idempotency, IdempotencyScope, RequestClass, Settings
from ryepier.sidecar import discovery as discovery_module
from ryepier.sidecar import system
from ryepier.sidecar.config import Config
from ryepier.sidecar.discovery import AGENT_CONNECT_TIMEOUT_S
from ryepier.sidecar.serving import serve
from tests.loopback_ports import free_port

HANG_TIMEOUT_S = 20.0  # ends a test that hangs; no test waits for it on purpose
ATTEMPT_TIMEOUT_US = 60_000_000  # longer than any test takes
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

Script = Callable[["Upstream", int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Handles one request of an upstream; the integer is the index of the request among all requests to it."""
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Json = dict[str, Any]


class Message(NamedTuple):
    """An HTTP request or response."""

    head: bytes
    """Includes the empty line at its end."""
    body: bytes


def request_classes() -> list[RequestClass]:
    """Return an idempotent class, a non-idempotent one, and one with idempotency keys."""
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
    """Read one message with a Content-Length body. Raises IncompleteReadError if the connection ends too early."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return Message(head, await reader.readexactly(length))


@dataclass
class Upstream:
    """An upstream that handles each request with its script and records all requests."""

    script: Script
    requests: list[Message] = field(default_factory=list)
    connection_count: int = 0
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle the requests of one connection."""
        self.connection_count += 1
        try:
            while True:
                self.requests.append(await read_message(reader))
                await self.script(self, len(self.requests) - 1, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        """Stop listening; open connections stay open."""
        if self.server is not None:
            self.server.close()


def respond_in_turn(*responses: bytes) -> Script:
    """Return a script that sends these responses in turn and then repeats the last one.

    For an empty response it aborts the connection.
    """

    async def script(
        upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        response = responses[min(request_index, len(responses) - 1)]
        if not response:
            writer.transport.abort()
            raise ConnectionResetError
        writer.write(response)
        await writer.drain()

    return script


async def never_respond(
    upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Script that never responds and waits for the end of the connection."""
    await reader.read()
    raise ConnectionResetError


def respond_after(release: asyncio.Event) -> Script:
    """Return a script that responds once the event is set."""

    async def script(
        upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(OK)

    return script


def endpoint_entry(uid: str, port: int, state: str = "active", boot_ms: int = 0) -> Json:
    """Return an entry of the endpoint list."""
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
    """Return a message with revision `rev` of the endpoint list: a complete list, or with `full` False a change."""
    return {"rev": rev, "all": full, "targets": list(entries)}


@dataclass
class Discovery:
    """A discovery agent that keeps watches open; each new watch gets `initial_list` if it is set."""

    initial_list: Json | None = None
    calls: list[bytes] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    watch_opened: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the initial list on a new watch and keep it open."""
        head, _ = await read_message(reader)
        self.calls.append(head)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        if self.initial_list is not None:
            self.send_list(self.initial_list)
        self.watch_opened.set()
        await reader.read()

    async def wait_for_watch(self) -> None:
        """Wait until a new watch is opened."""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await self.watch_opened.wait()
        self.watch_opened.clear()

    def send_list(self, message: object) -> None:
        """Send a list to the newest watch, as one line."""
        self.send_bytes(json.dumps(message).encode() + b"\n")

    def send_bytes(self, data: bytes) -> None:
        """Send bytes to the newest watch, as one HTTP chunk."""
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


def write_configuration(directory: Path, **changes: Any) -> Path:
    """Write a sidecar's configuration file, with `changes` applied to its top-level keys, and return its path."""
    path = directory / "config.json"
    document = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": endpoint_list(endpoint_entry("u", 1)),
    }
    path.write_text(json.dumps(document | changes))
    return path


request_numbers = itertools.count(1000)


def request(
    class_name: str = "read",
    request_id: str | None = None,
    body: bytes = b"",
    deadline_ms: object = 15_000,
    extra: str = "",
) -> bytes:
    """Return the bytes of a client's request.

    Without `request_id` it gets a new id. `extra` holds further header lines, each with its line end.
    """
    method = "GET" if class_name == "read" else "POST"
    request_id = str(next(request_numbers)) if request_id is None else request_id
    key = "Idempotency-Key: k\r\n" if class_name == "mark" else ""
    length = "" if class_name == "read" else f"Content-Length: {len(body)}\r\n"
    return (
        f"{method} /{class_name}/it?x=1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {request_id}\r\n"
        f"X-Class: {class_name}\r\nX-Deadline-Ms: {deadline_ms}\r\n{key}{length}{extra}\r\n"
    ).encode() + body


@dataclass
class Sidecar:
    """A sidecar that runs in this process; setting the events `stop` and `reload` shuts it down or reloads it."""

    port: int
    stop: asyncio.Event
    reload: asyncio.Event
    task: asyncio.Task[None]

    async def connect(self) -> Streams:
        """Open a connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def fetch(self, data: bytes) -> Message:
        """Send one request on a new connection and return the response."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            async with asyncio.timeout(HANG_TIMEOUT_S):
                return await read_message(reader)
        finally:
            writer.close()


def sidecar_config(port: int, discovery_port: int, cached_list: Json, **changes: Any) -> Config:
    """Return a configuration; `changes` are fields of Config or of its Settings."""
    settings_fields: dict[str, Any] = {
        "classes": request_classes(),
        "max_attempts": 4,
        "connect_timeout_us": 10_000_000,
        "max_retry_after_us": 1_000_000,
        "max_poll_interval_us": 10_000_000,
    }
    config_fields: dict[str, Any] = {"upstream_idle_timeout_us": 60_000_000, "path": ""}
    for name, value in changes.items():
        (config_fields if name in config_fields else settings_fields)[name] = value
    return Config(
        listen=("127.0.0.1", port),
        discovery=("127.0.0.1", discovery_port),
        seed=1,
        max_descriptors=200,
        settings=Settings(**settings_fields),
        zones=["a"],
        kinds=["m"],
        cached_list=cached_list,
        **config_fields,
    )


async def wait_until_listening(port: int, task: asyncio.Task[None]) -> None:
    """Wait until a sidecar accepts connections; fail if its task ends before that."""
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
    *upstreams: Upstream,
    discovery: Discovery | None = None,
    cached_list: Json | None = None,
    first_list_timeout_s: float = AGENT_CONNECT_TIMEOUT_S,
    **changes: Any,
) -> AsyncIterator[Sidecar]:
    """Run a sidecar in this process whose cached endpoint list has these upstreams.

    It waits for the first list of a silent agent for `first_list_timeout_s`, which is shorter than the product's.

    It polls `discovery` if that is given. Otherwise it watches an agent that sends only an empty change. `changes` are
    passed to `sidecar_config`.
    """
    agent = discovery or Discovery(initial_list=endpoint_list(rev=1, full=False))
    peers: list[Upstream | Discovery] = [*upstreams, agent]
    for peer in peers:
        await peer.start()
    cached_list = cached_list or endpoint_list(
        *(endpoint_entry(f"u{index}", upstream.port) for index, upstream in enumerate(upstreams))
    )
    port, stop, reload = free_port(), asyncio.Event(), asyncio.Event()
    changes = {"polls_endpoints": discovery is not None} | changes
    config = sidecar_config(port, agent.port, cached_list, **changes)
    task = asyncio.create_task(serve(config, stop, reload))
    try:
        with (
            mock.patch.object(discovery_module, "FIRST_LIST_TIMEOUT_S", first_list_timeout_s),
            mock.patch.object(
                system, "resident_bytes", return_value=0
            ),  # that of the test process is not the sidecar's
        ):
            await wait_until_listening(port, task)
        yield Sidecar(port, stop, reload, task)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for peer in peers:
            peer.stop()


def status_of(response: Message) -> int:
    """Return the status code of a response."""
    return int(response.head.split(b" ")[1])


def run_async(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in an event loop, with a time limit."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(3 * HANG_TIMEOUT_S):
            await test()

    asyncio.run(run_with_timeout())


async def check_rejected(data: bytes, expected_status: int) -> None:
    """Check that the sidecar rejects these bytes with a status, closes their connection and forwards nothing.

    Afterwards it must serve a valid request.
    """
    upstream = Upstream(respond_in_turn(OK))
    async with sidecar(upstream) as running_sidecar:
        reader, writer = await running_sidecar.connect()
        writer.write(data)
        response = await reader.read()
        writer.close()
        assert int(response.split(b" ")[1]) == expected_status and b"Connection: close" in response
        assert upstream.requests == []
        assert status_of(await running_sidecar.fetch(request())) == 200


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds, for at most HANG_TIMEOUT_S."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)
