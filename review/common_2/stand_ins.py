"""Stand-ins for the platform around one sidecar: converters, the discovery agent, the application and the platform.

All of them run in one event loop, on loopback addresses and the real clock. Converters and clients use plain sockets,
so that a test sees exactly when a byte arrives and whether a connection is still open.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import logging
import os
import resource
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
# Loopback addresses of this process alone, so that cases that run side by side do not take each other's ports. The
# sidecar and the agent have addresses of their own, as their ports are free for a moment before they listen.
_OCTETS = f"127.{64 + (os.getpid() >> 14) % 128}.{(os.getpid() >> 6) % 256}"
LOOPBACK = f"{_OCTETS}.{(os.getpid() % 64) * 4 + 1}"
LISTENER_LOOPBACK = f"{_OCTETS}.{(os.getpid() % 64) * 4 + 2}"
READ_BYTES = 65536
READY_TIMEOUT_S = 30.0  # the platform waits this long for a sidecar
ANSWER_SLACK_S = 0.55  # an answer half a second after the client's time is still in time; sockets allow 50 ms more
HEARTBEAT_S = 2.0  # an open watch gets an empty line this often
CONVERT_FILE_SHARE = 0.65
RULE_HELD, RULE_BROKEN, CANNOT_RUN = 0, 1, 2  # exit statuses of a case
CONNECT_TIMEOUT_S = 10.0
PATIENCE_S = 0.5  # clients wait this long after the last moment at which an answer is in time
LAG_INTERVAL_S = 0.02
MAX_LAG_S = 0.4  # more would disturb the verdict


CONVERT_FILE = {
    "aim": 600_000,
    "deadline": 1_500_000,
    "effect": "at_most_once",
    "group": "all",
    "late-worth": 0.3,
    "memory-span": 5_000_000,
    "name": "convert-file",
    "stream": False,
    "worth": 3.0,
}
CONVERT_BATCH = {
    "aim": 1_000_000,
    "deadline": 2_000_000,
    "effect": "deduplicated",
    "group": "cell",
    "late-worth": 0.5,
    "memory-span": 1_200_000,
    "name": "convert-batch",
    "stream": False,
    "worth": 9.0,
}


class CannotRunError(Exception):
    """The case could not run, so it has no verdict."""


@dataclass
class Record:
    """The lines of record.txt, each with its time since the start of the case."""

    path: Path
    started_at: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line."""
        self.lines.append(f"{(time.monotonic() if at is None else at) - self.started_at:9.4f} {text}")

    def write(self) -> None:
        """Write all lines."""
        self.path.write_text("".join(f"{line}\n" for line in self.lines), encoding="utf-8")


def free_address() -> tuple[str, int]:
    """Return a loopback address with a port that is free now."""
    with socket.create_server((LISTENER_LOOPBACK, 0)) as sock:
        return LISTENER_LOOPBACK, sock.getsockname()[1]


def text_of(address: tuple[str, int]) -> str:
    """Return an address in the form host:port."""
    return f"{address[0]}:{address[1]}"


@dataclass
class HttpMessage:
    """One HTTP message with a body of known length."""

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(sock: socket.socket, buffer: bytearray) -> HttpMessage | None:
    """Read one message from a non-blocking socket; return None if the connection ends before the message does."""
    loop = asyncio.get_running_loop()
    while (end := buffer.find(b"\r\n\r\n")) < 0:
        if not (data := await loop.sock_recv(sock, READ_BYTES)):
            return None
        buffer += data
    first_line, *lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    del buffer[: end + 4]
    length = int(headers.get("content-length", "0"))
    while len(buffer) < length:
        if not (data := await loop.sock_recv(sock, READ_BYTES)):
            return None
        buffer += data
    body = bytes(buffer[:length])
    del buffer[:length]
    return HttpMessage(first_line, headers, body)


def is_open(sock: socket.socket) -> bool:
    """Return whether the peer has neither closed nor reset the connection, nor ended its sending on it."""
    try:
        return sock.recv(1, socket.MSG_PEEK) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False


@dataclass
class Attempt:
    """An attempt whose last byte has arrived at a converter."""

    request_id: str
    converter: Converter
    at: float
    told_ms: int  # the time that the sidecar said it would wait
    sock: socket.socket
    answered_at: float | None = None


class Converter:
    """A converter: serves requests after a time of work, or answers none while it hangs."""

    def __init__(self, uid: str, pod: int, on_attempt: Callable[[Attempt], None], work_s: float = 0.02) -> None:
        """Listen on a free port; `on_attempt` is called when the last byte of a request has arrived."""
        self.uid = uid
        self.pod = pod
        self.work_s = work_s
        self.on_attempt = on_attempt
        self.hangs = False
        self.sock = socket.create_server((LOOPBACK, 0), backlog=1024)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to accept connections."""
        self._spawn(self._accept())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._spawn(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        buffer = bytearray()
        with contextlib.suppress(OSError):
            while (message := await read_message(sock, buffer)) is not None:
                headers = message.headers
                attempt = Attempt(
                    headers.get("x-request-id", ""),
                    self,
                    time.monotonic(),
                    int(headers.get("x-deadline-ms", "0")),
                    sock,
                )
                self.on_attempt(attempt)
                if self.hangs:
                    await loop.sock_recv(sock, READ_BYTES)  # until the sidecar gives the attempt up
                    break
                await asyncio.sleep(self.work_s)
                body = f"{attempt.request_id} by {self.uid}".encode()
                attempt.answered_at = time.monotonic()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                await loop.sock_sendall(sock, head + body)
        sock.close()

    def entry(self, state: str = "active", boot_ms: int = 0) -> dict[str, Any]:
        """Return this converter's entry in discovery's lists."""
        return {
            "uid": self.uid,
            "endpoint": text_of(self.address),
            "az": "dc1",
            "model": "m1",
            "pod_group": self.pod,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }

    def stop(self) -> None:
        """Stop serving."""
        for task in list(self.tasks):
            task.cancel()
        self.sock.close()


class Agent:
    """The discovery agent on the sidecar's machine: answers at once with what it has, and tells each change."""

    def __init__(self, entries: Iterable[dict[str, Any]]) -> None:
        """Hold a list with these entries."""
        self.entries = {entry["uid"]: entry for entry in entries}
        self.version = 41
        self.speaks = asyncio.Event()  # cleared while discovery is down: the agent then says nothing
        self.speaks.set()
        self.server: asyncio.Server | None = None
        self.address = free_address()
        self.watches: set[asyncio.StreamWriter] = set()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.version, "all": True, "targets": list(self.entries.values())}

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await self.speaks.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._tell(writer, json.dumps(self.whole_list()))
            self.watches.add(writer)
            while not reader.at_eof():
                await asyncio.sleep(HEARTBEAT_S)
                await self.speaks.wait()
                self._tell(writer, "")
        self.watches.discard(writer)
        writer.close()

    @staticmethod
    def _tell(writer: asyncio.StreamWriter, line: str) -> None:
        data = line.encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def change(self, entries: list[dict[str, Any]]) -> None:
        """Change entries, and tell all watches at once."""
        self.version += 1
        self.entries.update((entry["uid"], entry) for entry in entries)
        for writer in self.watches:
            self._tell(writer, json.dumps({"rev": self.version, "all": False, "targets": entries}))

    def stop(self) -> None:
        """Close the listener and all watches."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.watches):
            writer.close()


@dataclass
class SentRequest:
    """A request that a client has sent, and what came back."""

    request_id: str
    class_name: str
    deadline_s: float
    sent_at: float = 0.0  # time at which the last byte was written
    status: int | None = None  # None: no answer
    answered_at: float | None = None
    closed_unread: bool = False  # the connection ended before a byte of an answer
    body: bytes = b""

    def in_time(self) -> bool:
        """Return whether the final answer came in the time that the rule allows."""
        return self.answered_at is not None and self.answered_at <= self.sent_at + self.deadline_s + ANSWER_SLACK_S


class Application:
    """The application beside one sidecar: one request at a time on a connection, which it keeps for later ones."""

    def __init__(self, address: tuple[str, int], record: Record, max_open: int, try_share: float = 1.0) -> None:
        """Send to the sidecar at `address`; at most `max_open` requests are open at a time.

        A request is given up after `try_share` of the time of its class.
        """
        self.address = address
        self.record = record
        self.max_open = max_open
        self.try_share = try_share
        self.idle: list[socket.socket] = []
        self.requests: list[SentRequest] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def send_later(self, class_settings: dict[str, Any], body: bytes = b"{}") -> None:
        """Send a request of a class in a task of its own, unless too many are open."""
        if len(self.tasks) >= self.max_open:
            return
        headers = {"X-Tenant": "tenant-a"}
        if class_settings["effect"] == "deduplicated":
            headers["Idempotency-Key"] = os.urandom(16).hex()
        deadline_s = self.try_share * class_settings["deadline"] / 1e6
        request = SentRequest(os.urandom(8).hex(), class_settings["name"], deadline_s)
        self.requests.append(request)
        task = asyncio.get_running_loop().create_task(self._send(request, headers, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self, request: SentRequest, headers: dict[str, str], body: bytes) -> None:
        loop = asyncio.get_running_loop()
        lines = [
            f"POST /{request.class_name} HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: {request.request_id}",
            f"X-Class: {request.class_name}",
            f"X-Deadline-Ms: {int(request.deadline_s * 1000)}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        while True:
            is_reused = bool(self.idle)
            sock = self.idle.pop() if is_reused else socket.socket()
            sock.setblocking(False)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    if not is_reused:
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        await loop.sock_connect(sock, self.address)
                    await loop.sock_sendall(sock, data)
                request.sent_at = time.monotonic()
                self.record.add(f"sent {request.request_id} {request.class_name}")
                async with asyncio.timeout(request.deadline_s + ANSWER_SLACK_S + PATIENCE_S):
                    answer = await read_message(sock, bytearray())
            except TimeoutError:
                waited_s = time.monotonic() - request.sent_at if request.sent_at else 0.0
                self.record.add(f"no answer {request.request_id} in {waited_s:.3f} s")
                sock.close()
                return
            except OSError as error:
                answer = None
                if error.errno == errno.ECONNREFUSED:
                    sock.close()
                    return
            if answer is None and is_reused:
                sock.close()
                continue  # the close crossed the request, which is sent once more on another connection
            break
        if answer is None:
            request.closed_unread = True
            self.record.add(f"closed without an answer {request.request_id}")
            sock.close()
            return
        request.answered_at = time.monotonic()
        request.status = int(answer.first_line.split()[1])
        request.body = answer.body
        took_ms = (request.answered_at - request.sent_at) * 1000
        self.record.add(f"answered {request.request_id} {request.status} after {took_ms:.1f} ms")
        if answer.headers.get("connection", "").lower() == "close":
            sock.close()
        else:
            self.idle.append(sock)

    async def send_steadily(self, requests_per_s: float, duration_s: float, seed: int = 1) -> None:
        """Send both classes at a steady mean rate, for a while."""
        random = Random(seed)
        end_at = time.monotonic() + duration_s
        while time.monotonic() < end_at:
            self.send_later(CONVERT_FILE if random.random() < CONVERT_FILE_SHARE else CONVERT_BATCH)
            await asyncio.sleep(random.expovariate(requests_per_s))

    def lost_requests(self) -> list[SentRequest]:
        """Return the requests that were written but got neither a final answer in time nor a close.

        A connection may be closed unread; such a request has failed and is not lost.
        """
        return [
            request
            for request in self.requests
            if request.sent_at and not request.closed_unread and not request.in_time()
        ]

    def summary(self) -> str:
        """Return how many requests ended with each status, and how many of them were late."""
        late = {request.request_id for request in self.lost_requests()}
        counts = Counter(
            f"{request.status or self._ending_without_answer(request)}"
            + (" too late" if request.status and request.request_id in late else "")
            for request in self.requests
        )
        return ", ".join(f"{name}: {count}" for name, count in sorted(counts.items()))

    @staticmethod
    def _ending_without_answer(request: SentRequest) -> str:
        if not request.sent_at:
            return "not sent"
        return "closed" if request.closed_unread else "no answer"

    async def finish(self) -> None:
        """Wait until all requests have ended."""
        if self.tasks:
            await asyncio.wait(self.tasks)
        for sock in self.idle:
            sock.close()


class Sidecar:
    """One real sidecar, started with the `run` line of the deploy file."""

    def __init__(self, folder: Path, agent: Agent, sidecar_settings: dict[str, Any], limits: dict[str, Any]) -> None:
        """Prepare the configuration; nothing runs yet."""
        self.folder = folder
        self.listen = free_address()
        self.config_path = folder / "config.json"
        self.config = {
            "name": "n1",
            "listen": text_of(self.listen),
            "discovery": text_of(agent.address),
            "seed": os.urandom(8).hex(),
            "limits": limits,
            "known": agent.whole_list(),
            "settings": sidecar_settings,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Write the configuration file."""
        self.config_path.write_text(json.dumps(self.config), encoding="utf-8")

    async def start(self) -> None:
        """Start the process and wait until it is ready. Raises CannotRunError if it is not."""
        self.write_config()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment: dict[str, str] = {
            **{name: value for name, value in os.environ.items() if name != "PYTHONPATH"},
            "BALANCER_NAME": str(self.config["name"]),
            "BALANCER_LISTEN": str(self.config["listen"]),
            "BALANCER_DISCOVERY": str(self.config["discovery"]),
            "BALANCER_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "sidecar.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        ready_by = time.monotonic() + READY_TIMEOUT_S
        while not await self._is_up():
            if self.process.poll() is not None or time.monotonic() > ready_by:
                raise CannotRunError(f"sidecar not ready: {(self.folder / 'sidecar.log').read_text()}")
            await asyncio.sleep(0.05)

    async def _is_up(self) -> bool:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock, contextlib.suppress(OSError, TimeoutError):
            sock.setblocking(False)
            async with asyncio.timeout(1):
                await loop.sock_connect(sock, self.listen)
                await loop.sock_sendall(sock, b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                message = await read_message(sock, bytearray())
                return message is not None and " 200 " in message.first_line
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def settings(classes: list[dict[str, Any]], instances: int = 3) -> dict[str, Any]:
    """Return settings like those of a small deployment in one data centre, with this number of sidecars."""
    return {
        "accounts": [{"allowance-per-s": 200.0, "name": "tenant-a", "share": 1.0}],
        "areas": ["dc1"],
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
        "granularity": 5000,
        "instances": instances,
        "invariants": {
            "answer-slack": 20_000,
            "ask-within": 10_000_000,
            "cold-share": 0.12,
            "drain-grace": 500_000,
            "fall": 3_000_000,
            "overload-factor": 4.0,
            "warm-up": 22_000_000,
        },
        "kinds": ["m1"],
        "layer": 0,
        "locality": 0,
        "over-share-worth": 0.2,
        "registry-mode": "pushed",
        "report": {"how": "answers", "names": ["rif", "q"]},
        "request-classes": classes,
        "self-index": 0,
        "tiers": ["workers"],
        "value-by": "work",
        "weights": "nominal",
    }


def has_trouble() -> bool:
    """Return whether the case has its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def allow_descriptors(count: int) -> None:
    """Raise this process's own limit on descriptors to what is allowed. Raises CannotRunError if that is too few."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= count:
        return
    if hard != resource.RLIM_INFINITY and hard < count:
        raise CannotRunError(f"{count} descriptors are needed, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


async def watch_own_lag(lags: list[float]) -> None:
    """Record how late the event loop of the stand-ins runs, as a verdict needs stand-ins that are in time."""
    while True:
        due_at = time.monotonic() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        lags.append(time.monotonic() - due_at)


async def _run(case: Callable[[Record, Path], Coroutine[Any, Any, bool]], record: Record, folder: Path) -> bool:
    task = asyncio.current_task()
    assert task is not None
    # A case that is told to end still ends the processes that it started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    lags: list[float] = []
    lag_task = asyncio.create_task(watch_own_lag(lags))
    held = await case(record, folder)
    lag_task.cancel()
    record.add(f"the stand-ins ran at most {max(lags, default=0.0):.3f} s late")
    if max(lags, default=0.0) > MAX_LAG_S:
        raise CannotRunError("the stand-ins ran late")
    return held


def run_case(case: Callable[[Record, Path], Coroutine[Any, Any, bool]], folder: Path) -> int:
    """Run a case and return its exit status: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(_run(case, record, Path(temporary)))
        record.add("verdict: the rule held" if held else "verdict: the rule was broken")
        return RULE_HELD if held else RULE_BROKEN
    except asyncio.CancelledError:
        record.add("could not run: it was told to end")
        return CANNOT_RUN
    except Exception as error:
        logging.exception("the case could not run")
        record.add(f"could not run: {error!r}")
        return CANNOT_RUN
    finally:
        record.write()
        print("\n".join(record.lines[-6:]))
