"""A small deployment on loopback addresses: one real sidecar, and stand-ins for everything that it talks to."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
# Exit statuses of a case. Python itself exits with 1 after an error, so a broken rule has another one (see run.sh).
HELD, NOT_RUN, BROKEN = 0, 2, 10
RUN_LIMIT_S = 100.0  # a case that takes longer did not run
READY_LIMIT_S = 30.0
KEEPALIVE_LINE_S = 2.0  # discovery sends an empty line this often
LOOPBACK = "127.0.0.1"
HTTP_OK = 200
# What ends a stand-in's connection; the event loop cancels those that are open at the end of a case.
CONNECTION_ENDS = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
NON_IDEMPOTENT_CLASS, KEYED_CLASS = "convert-file", "convert-batch"
DEADLINES_MS = {NON_IDEMPOTENT_CLASS: 1500, KEYED_CLASS: 2000}

# The platform's settings of a sidecar, with the names and units of the simulator's first message
SETTINGS: dict[str, Any] = {
    "accounts": [
        {"name": "tayside-lettings", "share": 0.5, "allowance-per-s": 100.0},
        {"name": "braemar-books", "share": 0.5, "allowance-per-s": 100.0},
    ],
    "areas": ["perth-dc1"],
    "bounds": {
        "cancel": True,
        "conn-idle": 5_000_000,
        "cpu-us-per-request": 0.0,
        "cpu-us-per-s": 13_333,
        "dial-timeout": 250_000,
        "max-open": 33_333,
        "max-retry-after": 2_000_000,
        "most-tries": 4,
        "multiplex": 1,
        "peers": False,
        "probes": True,
        "retry-after": True,
        "second-copies": False,
    },
    "client-habits": {"marks-retry": False},
    "family": "mesh",
    "fees": {"cross-zone": 0.0},
    "granularity": 5000,
    "instances": 3,
    "invariants": {
        "answer-slack": 20_000,
        "ask-within": 10_000_000,
        "cold-share": 0.12,
        "drain-grace": 500_000,
        "fall": 3_000_000,
        "overload-factor": 4.0,
        "warm-up": 22_000_000,
    },
    "kinds": ["mid-3core"],
    "layer": 0,
    "locality": 0,
    "over-share-worth": 0.2,
    "registry-mode": "pushed",
    "report": {"how": "answers", "names": ["rif", "q"]},
    "request-classes": [
        {
            "name": NON_IDEMPOTENT_CLASS,
            "aim": 600_000,
            "deadline": 1000 * DEADLINES_MS[NON_IDEMPOTENT_CLASS],
            "effect": "at_most_once",
            "group": "all",
            "late-worth": 0.3,
            "memory-span": 5_000_000,
            "stream": False,
            "worth": 3.0,
        },
        {
            "name": KEYED_CLASS,
            "aim": 1_000_000,
            "deadline": 1000 * DEADLINES_MS[KEYED_CLASS],
            "effect": "deduplicated",
            "group": "cell",
            "late-worth": 0.5,
            "memory-span": 1_200_000,
            "stream": False,
            "worth": 9.0,
        },
    ],
    "self-index": 0,
    "specifics": {"warm-keys": False},
    "tiers": ["convert-workers"],
    "value-by": "work",
    "weights": "nominal",
}


class CaseError(Exception):
    """The case could not run."""


class Message(NamedTuple):
    """An HTTP request or response; the head includes its empty line."""

    head: bytes
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.head.split(b" ", 2)[1])

    @property
    def start_line(self) -> str:
        """The request line, or the status line."""
        return self.head.partition(b"\r\n")[0].decode("latin-1")

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty text."""
        for line in self.head.split(b"\r\n")[1:]:
            line_name, _, value = line.partition(b":")
            if line_name.decode("latin-1").lower() == name.lower():
                return value.strip().decode("latin-1")
        return ""


Answer = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]
"""Answers one request at a converter; returns whether the connection stays open."""


class Record:
    """The file record.txt: what was sent, answered and run, with the time in milliseconds."""

    def __init__(self, path: Path) -> None:
        """Replace the file."""
        self.started_at = time.monotonic()
        self.file = path.open("w", buffering=1)

    def write(self, text: str) -> None:
        """Append a line."""
        self.file.write(f"{1000 * (time.monotonic() - self.started_at):9.1f} {text}\n")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose length is in Content-Length. Raises IncompleteReadError if the connection ends."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = Message(head, b"").header("Content-Length")
    return Message(head, await reader.readexactly(int(length or 0)))


def request_bytes(request_id: str, class_name: str = NON_IDEMPOTENT_CLASS, method: str = "POST") -> bytes:
    """Return a request as the application sends it; one whose method is not POST has no body."""
    body = b"the document" if method == "POST" else b""
    lines = [
        f"{method} /{class_name} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name}",
        "X-Tenant: tayside-lettings",
        f"X-Deadline-Ms: {DEADLINES_MS[class_name]}",
    ]
    if class_name == KEYED_CLASS:
        lines.append(f"Idempotency-Key: key-{request_id}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def with_length(body: bytes) -> bytes:
    """Return a converter's answer with its length."""
    return b"HTTP/1.1 200 OK\r\nX-Load: inflight=1,queue=0\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@dataclass
class Converter:
    """A converter that takes `work_s` for a request, and keeps what it ran."""

    record: Record
    uid: str
    work_s: float = 0.1
    answer: Answer | None = None  # replaces the usual answer with the request's id
    sets_no_delay: bool = True  # False: the system may hold back small writes, as it does by default
    requests: list[Message] = field(default_factory=list)
    port: int = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        connection: socket.socket = writer.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, self.sets_no_delay)
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                self.record.write(f"{self.uid} runs {request.header('X-Request-Id')}: {request.start_line}")
                await asyncio.sleep(self.work_s)
                if self.answer is not None:
                    if not await self.answer(request, writer):
                        break
                else:
                    writer.write(with_length(request.header("X-Request-Id").encode()))
        writer.close()


class Discovery:
    """The agent of discovery: answers a watch with the whole list, then sends an empty line every 2 s."""

    def __init__(self, converters: list[Converter]) -> None:
        """Prepare to serve a list of these converters, which must have started."""
        targets = [
            {
                "uid": converter.uid,
                "endpoint": f"{LOOPBACK}:{converter.port}",
                "az": "perth-dc1",
                "model": "mid-3core",
                "pod_group": index // 3,
                "state": "active",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for index, converter in enumerate(converters)
        ]
        self.list: dict[str, Any] = {"rev": 41, "all": True, "targets": targets}
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one watch until its connection ends."""
        with contextlib.suppress(*CONNECTION_ENDS):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.list).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(KEEPALIVE_LINE_S)
                line = b"\n"
        writer.close()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


class Sidecar:
    """The real sidecar, started by the deploy file's `run` command."""

    def __init__(self, name: str, memory_mb: int, sockets: int) -> None:
        """Set the name and the limits that the configuration states."""
        self.name = name
        self.memory_mb = memory_mb
        self.sockets = sockets
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, discovery: Discovery, folder: Path) -> None:
        """Start the process and wait until it is ready. Raises CaseError."""
        configuration = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": discovery.list,
            "settings": SETTINGS,
        }
        path = folder / "config.json"
        path.write_text(json.dumps(configuration))
        private_folder = folder / "tmp"
        private_folder.mkdir()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {name: value for name, value in os.environ.items() if not name.startswith(("PYTHON", "VIRTUAL"))}
        environment |= {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": configuration["listen"],
            "BALANCER_DISCOVERY": configuration["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(private_folder),
        }
        with (folder / "log").open("wb") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
            )
        give_up_at = time.monotonic() + READY_LIMIT_S
        while not await self.is_ready():
            if time.monotonic() > give_up_at or self.process.returncode is not None:
                raise CaseError("the sidecar did not become ready")
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether GET /up answers 200."""
        try:
            reader, writer = await self.connect()
            writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
            response = await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return response.status == HTTP_OK

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the sidecar."""
        return await asyncio.open_connection(LOOPBACK, self.port)

    def anonymous_memory_mb(self) -> float:
        """Return the process's memory without the pages of its files; 0 if it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


@dataclass
class Application:
    """The application: sends requests on kept connections, one at a time on each."""

    record: Record
    sidecar: Sidecar
    answers: dict[str, Message | None] = field(default_factory=dict)  # by request id; None = no answer

    async def send_requests(self, name: str, class_name: str, count: int, pause_range_s: tuple[float, float]) -> None:
        """Send requests one after another, with a random pause after each answer. Stop once the sidecar is gone."""
        pauses = random.Random(name)
        reader, writer = await self.sidecar.connect()
        for number in range(count):
            request_id = f"{name}-{number}"
            try:
                answer = await self.send_request(request_id, class_name, reader, writer)
                if answer is None or answer.header("Connection").lower() == "close":
                    writer.close()
                    reader, writer = await self.sidecar.connect()
            except OSError:
                break
            await asyncio.sleep(pauses.uniform(*pause_range_s))
        writer.close()

    async def send_request(
        self, request_id: str, class_name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Message | None:
        """Send a request and return its answer, or None if there is none half a second after its time."""
        self.record.write(f"application sends {request_id}")
        self.answers[request_id] = None
        writer.write(request_bytes(request_id, class_name))
        try:
            async with asyncio.timeout(DEADLINES_MS[class_name] / 1000 + 0.55):
                answer = await read_message(reader)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            self.record.write(f"application gets no answer to {request_id}: {type(error).__name__}")
            return None
        self.answers[request_id] = answer
        self.record.write(f"application gets {answer.status} for {request_id}")
        return answer

    def count(self, status: int) -> int:
        """Return how many requests were answered with a status."""
        return sum(answer is not None and answer.status == status for answer in self.answers.values())


@contextlib.asynccontextmanager
async def running_sidecars(
    converters: list[Converter], count: int = 1, memory_mb: int = 64, sockets: int = 256
) -> AsyncIterator[list[Sidecar]]:
    """Start the converters, discovery and the sidecars; kill the sidecars at the end."""
    for converter in converters:
        await converter.start()
    discovery = Discovery(converters)
    await discovery.start()
    sidecars = [Sidecar(f"n{number}", memory_mb, sockets) for number in range(count)]
    with tempfile.TemporaryDirectory() as folder:
        try:
            for sidecar in sidecars:
                sidecar_folder = Path(folder) / sidecar.name
                sidecar_folder.mkdir()
                await sidecar.start(discovery, sidecar_folder)
            yield sidecars
        finally:
            for sidecar in sidecars:
                await sidecar.stop()


def has_trouble() -> bool:
    """Return whether the case runs with its disruption, which TROUBLE=0 omits."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its status."""
    record = Record(folder / "record.txt")

    async def run() -> int:
        async with asyncio.timeout(RUN_LIMIT_S):
            return await case(record)

    try:
        status = asyncio.run(run())
    except (CaseError, OSError, TimeoutError) as error:
        record.write(f"the case could not run: {error!r}")
        status = NOT_RUN
    text = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[status]
    record.write(text)
    print(text)
    sys.exit(status)
