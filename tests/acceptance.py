"""Two checks of the acceptance on what applications saw, and the real processes and peers to apply them to.

`unanswered` finds requests without a final answer in time, `spans_without_service` sidecars that serve nobody while
others serve. Both read only the records of requests, so that they know nothing of how a sidecar works.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.network_peers import (
    HANG_TIMEOUT_S,
    SETTINGS,
    Discovery,
    Upstream,
    read_message,
    request,
    request_numbers,
    write_configuration,
)

ROOT = Path(__file__).resolve().parent.parent
LATEST_S = 0.5  # an answer that comes so long after the request's time, or later, is none
BARREN_S = 4.0  # a sidecar may serve nobody for less than this
BARREN_REQUESTS = 15  # a span with fewer requests says nothing
HEARTBEAT_S = 0.5  # of a discovery agent that has nothing to tell
AIM_US, DEADLINE_S = 300_000, 0.6
MEMORY_US = 500_000
SERVED = 200
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER
CLASSES: list[dict[str, Any]] = [
    {"name": "read", "effect": "idempotent"},
    {"name": "pay", "effect": "at_most_once"},
    {"name": "mark", "effect": "deduplicated", "group": "cell", "memory-span": MEMORY_US},
]
PUSHED = SETTINGS | {
    "registry-mode": "pushed",
    "request-classes": [
        {"aim": AIM_US, "deadline": int(DEADLINE_S * 1e6), "late-worth": 0.5, "worth": 1.0} | one for one in CLASSES
    ],
}
ASKED = PUSHED | {"registry-mode": "on_request"}


@dataclass
class ClientRequest:
    """One request as its application saw it; times in seconds on the loop's clock."""

    sidecar: str
    ident: str
    sent_s: float = 0.0  # its last byte
    deadline_s: float = DEADLINE_S
    ended_s: float | None = None  # the last byte of its answer; None = there was no whole one
    status: int = 0


def unanswered(requests: Iterable[ClientRequest]) -> list[ClientRequest]:
    """Those whose final answer did not come by `LATEST_S` after their time."""
    return [one for one in requests if one.ended_s is None or one.ended_s > one.sent_s + one.deadline_s + LATEST_S]


@dataclass(frozen=True)
class BarrenSpan:
    """A span in which a sidecar served nobody while others served."""

    sidecar: str
    from_s: float
    until_s: float
    requests: int


def spans_without_service(requests: Sequence[ClientRequest], from_s: float, until_s: float) -> list[BarrenSpan]:
    """The spans of `BARREN_S` or more, between two moments, in which a sidecar got `BARREN_REQUESTS` or more and
    served none of them, and some other sidecar served."""
    found = []
    for sidecar in sorted({one.sidecar for one in requests}):
        own = [one for one in requests if one.sidecar == sidecar]
        served = sorted(one.sent_s for one in own if one.status == SERVED and from_s <= one.sent_s <= until_s)
        for begin_s, end_s in zip([from_s, *served], [*served, until_s], strict=True):
            count = sum(begin_s < one.sent_s < end_s for one in own)
            others_serve = any(
                one.sidecar != sidecar and one.status == SERVED and begin_s < one.sent_s < end_s for one in requests
            )
            if end_s - begin_s >= BARREN_S and count >= BARREN_REQUESTS and others_serve:
                found.append(BarrenSpan(sidecar, begin_s, end_s, count))
    return found


@dataclass
class Agent(Discovery):
    """Discovery for one sidecar: it sends an empty line every now and then, until it falls silent."""

    silent: bool = False
    heartbeat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await super().start()
        self.heartbeat = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.writers and not self.silent:
                self.piece(b"\n")

    def stop(self) -> None:
        super().stop()
        if self.heartbeat is not None:
            self.heartbeat.cancel()


@dataclass
class Converter(Upstream):
    """An upstream that can end as a process that crashes does."""

    killed: bool = False
    accepted: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.killed:
            self.reset(writer)
            self.stop()
            return
        self.accepted.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.accepted.discard(writer)

    @staticmethod
    def reset(writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    def kill_after_accept(self) -> None:
        """Its open connections are reset, the next one right after it is accepted; then nobody listens."""
        self.killed = True
        for writer in list(self.accepted):
            self.reset(writer)

    def vanish(self) -> None:
        """Nobody listens any more, and its open connections are reset."""
        self.stop()
        for writer in list(self.accepted):
            self.reset(writer)


class SidecarProcess:
    """A sidecar in a process of its own, with a mistake of `tests/seeded_sidecar_faults.py` if one is named."""

    def __init__(
        self,
        folder: Path,
        name: str,
        agent: Discovery,
        known: dict[str, Any],
        mistake: str = "",
        settings: dict[str, Any] = PUSHED,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.name = name
        self.mistake = mistake
        self.path = write_configuration(
            folder, name=name, discovery=f"127.0.0.1:{agent.port}", known=known, settings=settings
        )
        self.port = int(json.loads(self.path.read_text())["listen"].split(":")[1])
        self.log = (folder / "log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start it and wait until it takes connections."""
        module = ["tests.seeded_sidecar_faults", self.mistake] if self.mistake else ["ryepier.sidecar"]
        self.process = subprocess.Popen(
            [sys.executable, "-B", "-m", *module],
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(self.path)},
            stderr=self.log,
        )
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                try:
                    (await asyncio.open_connection("127.0.0.1", self.port))[1].close()
                    return
                except ConnectionRefusedError:
                    assert self.process.poll() is None, f"{self.name} did not come up"
                    await asyncio.sleep(0.02)

    def reload(self, agent: Discovery) -> None:
        """Give it a new configuration, with another discovery agent."""
        changed = json.loads(self.path.read_text()) | {"discovery": f"127.0.0.1:{agent.port}"}
        self.path.write_text(json.dumps(changed))
        self.signal(signal.SIGHUP)

    def stop(self) -> None:
        """Tell it to end."""
        self.signal(signal.SIGTERM)

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self) -> int:
        """Its exit code, once it has ended."""
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait, HANG_TIMEOUT_S)

    def kill(self) -> None:
        """End it in any case."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.log.close()


@dataclass
class Exchange:
    """A request on a connection of its own, of which a part has been sent."""

    record: ClientRequest
    rest: list[bytes]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send_next(self) -> None:
        """Send the next piece."""
        self.writer.write(self.rest.pop(0))
        self.record.sent_s = asyncio.get_running_loop().time()

    async def answer(self) -> None:
        """Read the answer and record it."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.record.deadline_s + 2 * LATEST_S):
                head, _ = await read_message(self.reader)
            self.record.status, self.record.ended_s = int(head.split(b" ")[1]), loop.time()
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            pass  # the record stays without an answer
        finally:
            self.writer.close()


class Application:
    """Sends requests to sidecars and records what becomes of them."""

    def __init__(self) -> None:
        self.requests: list[ClientRequest] = []
        self.answers: list[asyncio.Task[None]] = []

    async def begin(self, sidecar: SidecarProcess, kind: str, cuts: Sequence[int] = (), body: bytes = b"") -> Exchange:
        """Send the first piece of a request that is cut at these places; all of it if there are none."""
        ident = f"{sidecar.name}-{next(request_numbers)}"
        data = request(kind, ident, body, deadline_ms=int(DEADLINE_S * 1000))
        edges = [0, *cuts, len(data)]
        pieces = [data[begin:end] for begin, end in itertools.pairwise(edges)]
        reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
        exchange = Exchange(ClientRequest(sidecar.name, ident), pieces, reader, writer)
        exchange.send_next()
        self.requests.append(exchange.record)
        return exchange

    def finish(self, exchange: Exchange) -> None:
        """Send what is left, and read the answer beside what goes on."""
        while exchange.rest:
            exchange.send_next()
        self.answers.append(asyncio.create_task(exchange.answer()))

    async def fetch(self, sidecar: SidecarProcess, kind: str) -> None:
        """Send a whole request."""
        self.finish(await self.begin(sidecar, kind))

    async def all_ended(self) -> None:
        """Until each request has its answer or is given up."""
        await asyncio.gather(*self.answers)
