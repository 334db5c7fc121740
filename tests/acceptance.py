"""Two acceptance checks on clients' requests, and the sidecar processes, converters and agents to run them with.

`unanswered_requests` finds requests without a final answer in time. `find_outages` finds sidecars that serve no request
while others do. Both use only the records of requests, and do not depend on how a sidecar works.
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
ANSWER_TOLERANCE_S = 0.5  # an answer that arrives later than this after the deadline counts as missing
MIN_OUTAGE_S = 4.0  # shorter periods without a served request are tolerated
MIN_OUTAGE_REQUESTS = 15  # a period in which the sidecar got fewer requests is ignored
HEARTBEAT_S = 0.5  # interval at which an agent sends empty lines
LATENCY_OBJECTIVE_US, DEADLINE_S = 300_000, 0.6
IDEMPOTENCY_WINDOW_US = 500_000
SERVED_STATUS = 200
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which closing a socket resets the connection
CLASSES: list[dict[str, Any]] = [
    {"name": "read", "effect": "idempotent"},
    {"name": "pay", "effect": "at_most_once"},
    {"name": "mark", "effect": "deduplicated", "group": "cell", "memory-span": IDEMPOTENCY_WINDOW_US},
]
PUSHED_SETTINGS = SETTINGS | {
    "registry-mode": "pushed",
    "request-classes": [
        {"aim": LATENCY_OBJECTIVE_US, "deadline": int(DEADLINE_S * 1e6), "late-worth": 0.5, "worth": 1.0}
        | request_class
        for request_class in CLASSES
    ],
}
POLLED_SETTINGS = PUSHED_SETTINGS | {"registry-mode": "on_request"}


@dataclass
class RequestRecord:
    """A client's request and its answer; times are in seconds on the event loop's clock."""

    sidecar: str
    request_id: str
    sent_at: float = 0.0  # time of the last byte sent
    deadline_s: float = DEADLINE_S
    ended_at: float | None = None  # time of the answer's last byte; None = no complete answer
    status: int = 0


def unanswered_requests(requests: Iterable[RequestRecord]) -> list[RequestRecord]:
    """Return the requests without a final answer by ANSWER_TOLERANCE_S after their deadline."""
    return [
        record
        for record in requests
        if record.ended_at is None or record.ended_at > record.sent_at + record.deadline_s + ANSWER_TOLERANCE_S
    ]


@dataclass(frozen=True)
class Outage:
    """A period in which a sidecar served no request while others did."""

    sidecar: str
    start_at: float
    end_at: float
    request_count: int


def find_outages(requests: Sequence[RequestRecord], start_at: float, end_at: float) -> list[Outage]:
    """Return the outages of all sidecars between `start_at` and `end_at`.

    In an outage, which lasts at least MIN_OUTAGE_S, a sidecar gets at least MIN_OUTAGE_REQUESTS and serves none of
    them, while another sidecar serves at least one.
    """
    outages = []
    for sidecar in sorted({record.sidecar for record in requests}):
        sidecar_requests = [record for record in requests if record.sidecar == sidecar]
        served_times = sorted(
            record.sent_at
            for record in sidecar_requests
            if record.status == SERVED_STATUS and start_at <= record.sent_at <= end_at
        )
        for gap_start_at, gap_end_at in zip([start_at, *served_times], [*served_times, end_at], strict=True):
            request_count = sum(gap_start_at < record.sent_at < gap_end_at for record in sidecar_requests)
            another_sidecar_serves = any(
                record.sidecar != sidecar
                and record.status == SERVED_STATUS
                and gap_start_at < record.sent_at < gap_end_at
                for record in requests
            )
            if (
                gap_end_at - gap_start_at >= MIN_OUTAGE_S
                and request_count >= MIN_OUTAGE_REQUESTS
                and another_sidecar_serves
            ):
                outages.append(Outage(sidecar, gap_start_at, gap_end_at, request_count))
    return outages


@dataclass
class Agent(Discovery):
    """Discovery agent of one sidecar; sends empty lines as heartbeats unless `silent` is set."""

    silent: bool = False
    heartbeat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await super().start()
        self.heartbeat = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.writers and not self.silent:
                self.send_bytes(b"\n")

    def stop(self) -> None:
        super().stop()
        if self.heartbeat is not None:
            self.heartbeat.cancel()


@dataclass
class Converter(Upstream):
    """An upstream that can behave like a crashed process."""

    is_killed: bool = False
    open_writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_killed:
            self.reset(writer)
            self.stop()
            return
        self.open_writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.open_writers.discard(writer)

    @staticmethod
    def reset(writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    def kill_at_next_connection(self) -> None:
        """Reset the open connections, reset the next one when it is accepted, and then stop listening."""
        self.is_killed = True
        for writer in list(self.open_writers):
            self.reset(writer)

    def crash(self) -> None:
        """Stop listening and reset the open connections."""
        self.stop()
        for writer in list(self.open_writers):
            self.reset(writer)


class SidecarProcess:
    """A sidecar in a separate process, optionally with a fault from `tests/seeded_sidecar_faults.py`."""

    def __init__(
        self,
        directory: Path,
        name: str,
        agent: Discovery,
        cached_list: dict[str, Any],
        seeded_fault: str = "",
        settings: dict[str, Any] = PUSHED_SETTINGS,
    ) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        self.name = name
        self.seeded_fault = seeded_fault
        self.config_path = write_configuration(
            directory, name=name, discovery=f"127.0.0.1:{agent.port}", known=cached_list, settings=settings
        )
        self.port = int(json.loads(self.config_path.read_text())["listen"].split(":")[1])
        self.log_file = (directory / "log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process and wait until it accepts connections."""
        module_arguments = (
            ["tests.seeded_sidecar_faults", self.seeded_fault] if self.seeded_fault else ["ryepier.sidecar"]
        )
        self.process = subprocess.Popen(
            [sys.executable, "-B", "-m", *module_arguments],
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(self.config_path)},
            stderr=self.log_file,
        )
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                try:
                    (await asyncio.open_connection("127.0.0.1", self.port))[1].close()
                    return
                except ConnectionRefusedError:
                    assert self.process.poll() is None, f"{self.name} ended before it accepted connections"
                    await asyncio.sleep(0.02)

    def reload(self, agent: Discovery) -> None:
        """Change the discovery address to another agent and send SIGHUP."""
        configuration = json.loads(self.config_path.read_text()) | {"discovery": f"127.0.0.1:{agent.port}"}
        self.config_path.write_text(json.dumps(configuration))
        self.signal(signal.SIGHUP)

    def stop(self) -> None:
        """Send SIGTERM."""
        self.signal(signal.SIGTERM)

    def signal(self, signal_number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(signal_number)

    async def wait_until_ended(self) -> int:
        """Wait until the process ends and return its exit code."""
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait, HANG_TIMEOUT_S)

    def kill(self) -> None:
        """Kill the process, if it is still running."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.log_file.close()


@dataclass
class Exchange:
    """A request on a separate connection, with the pieces of it that are not sent yet."""

    record: RequestRecord
    unsent: list[bytes]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send_next(self) -> None:
        """Send the next piece and record the time."""
        self.writer.write(self.unsent.pop(0))
        self.record.sent_at = asyncio.get_running_loop().time()

    async def read_answer(self) -> None:
        """Read the answer and record its status and time."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.record.deadline_s + 2 * ANSWER_TOLERANCE_S):
                head, _ = await read_message(self.reader)
            self.record.status, self.record.ended_at = int(head.split(b" ")[1]), loop.time()
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            pass  # the record then has no answer
        finally:
            self.writer.close()


class RecordingClient:
    """A client of several sidecars that records its requests and their answers."""

    def __init__(self) -> None:
        self.requests: list[RequestRecord] = []
        self.answer_tasks: list[asyncio.Task[None]] = []

    async def send_first_piece(
        self, sidecar: SidecarProcess, class_name: str, split_offsets: Sequence[int] = (), body: bytes = b""
    ) -> Exchange:
        """Send the first piece of a request split at `split_offsets`, or the whole request if there are none."""
        request_id = f"{sidecar.name}-{next(request_numbers)}"
        data = request(class_name, request_id, body, deadline_ms=int(DEADLINE_S * 1000))
        offsets = [0, *split_offsets, len(data)]
        pieces = [data[start:end] for start, end in itertools.pairwise(offsets)]
        reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
        exchange = Exchange(RequestRecord(sidecar.name, request_id), pieces, reader, writer)
        exchange.send_next()
        self.requests.append(exchange.record)
        return exchange

    def finish(self, exchange: Exchange) -> None:
        """Send the remaining pieces and read the answer in the background."""
        while exchange.unsent:
            exchange.send_next()
        self.answer_tasks.append(asyncio.create_task(exchange.read_answer()))

    async def fetch(self, sidecar: SidecarProcess, class_name: str) -> None:
        """Send a complete request and read the answer in the background."""
        self.finish(await self.send_first_piece(sidecar, class_name))

    async def wait_until_ended(self) -> None:
        """Wait until each request has its answer or its read has timed out."""
        await asyncio.gather(*self.answer_tasks)
