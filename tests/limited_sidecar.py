"""A sidecar process with the smallest deployment's limits, and an endpoint list of 100 converters at one address."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from tests.loopback_ports import free_port
from tests.network_peers import (
    HANG_TIMEOUT_S,
    SETTINGS,
    Json,
    Streams,
    Upstream,
    endpoint_entry,
    endpoint_list,
    read_message,
    request,
    write_configuration,
)

ROOT = Path(__file__).resolve().parent.parent
DESCRIPTOR_LIMIT = 256  # the smallest limit that a sidecar must work with
CONVERTER_COUNT = 100
MEMORY_LIMIT_MB = 32  # the smallest limit that a sidecar must work with
SAMPLE_INTERVAL_S = 0.002


def was_closed(writer: asyncio.StreamWriter) -> bool:
    """Return whether the sidecar has closed this connection without sending anything on it."""
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as sock:
        try:
            return sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False


def anonymous_memory_mb(pid: int) -> float:
    """Return a process's memory in MiB without the pages of its files; 0 if the process has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


@dataclass
class LimitedSidecar:
    """A sidecar process, and the highest number of open descriptors and the most memory seen in it."""

    pid: int
    port: int
    max_descriptors: int = 0
    max_memory_mb: float = 0.0

    async def sample_usage(self) -> None:
        """Update `max_descriptors` and `max_memory_mb` until cancelled."""
        while True:
            self.max_descriptors = max(self.max_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
            self.max_memory_mb = max(self.max_memory_mb, anonymous_memory_mb(self.pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def connect(self) -> Streams:
        """Open a connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def wait_until_listening(self) -> None:
        """Wait until the sidecar accepts connections."""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                try:
                    _, writer = await self.connect()
                except ConnectionRefusedError:
                    await asyncio.sleep(0.02)
                else:
                    writer.close()
                    return

    async def connect_until_open(self) -> Streams:
        """Return a connection that the sidecar has not closed yet; connect again as long as it closes new ones at once.

        The sidecar evicts connections that have sent nothing. On a busy machine that can affect a client that is
        delayed between connecting and writing.
        """
        while True:
            reader, writer = await self.connect()
            if not was_closed(writer):
                return reader, writer
            writer.close()

    async def fetch(self, body: bytes = b"") -> bytes:
        """Send a request on a new connection and return the first line of the response."""
        reader, writer = await self.connect_until_open()
        writer.write(request("pay", body=body))
        response = await read_message(reader)
        writer.close()
        return response.head.partition(b"\r\n")[0]


def converter_list(upstream: Upstream, rev: int, count: int = CONVERTER_COUNT) -> Json:
    """Return an endpoint list of `count` entries that all have the upstream's address."""
    return endpoint_list(*(endpoint_entry(f"u{number}", upstream.port) for number in range(count)), rev=rev)


def write_sidecar_configuration(
    directory: Path, port: int, upstream: Upstream, discovery_port: int, descriptor_limit: int, converter_count: int
) -> Path:
    """Write the configuration file of a sidecar with MEMORY_LIMIT_MB and return its path.

    The latency objective is long, so that responses that a test delays do not count as slow. Otherwise the sidecar
    would reject requests.
    """
    pay = {"name": "pay", "aim": 15_000_000, "deadline": 15_000_000, "effect": "at_most_once", "worth": 10.0}
    invariants = SETTINGS["invariants"] | {"ask-within": 5_000_000}
    bounds = SETTINGS["bounds"] | {"conn-idle": 30_000_000}
    return write_configuration(
        directory,
        listen=f"127.0.0.1:{port}",
        discovery=f"127.0.0.1:{discovery_port}",
        known=converter_list(upstream, 1, converter_count),
        settings=SETTINGS | {"request-classes": [pay], "invariants": invariants, "bounds": bounds},
        limits={"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": descriptor_limit},
    )


async def start_process(configuration: Path, log_path: Path, descriptor_limit: int) -> asyncio.subprocess.Process:
    """Start the sidecar process with a limit on its open descriptors."""
    limits = (descriptor_limit, descriptor_limit)
    with log_path.open("wb") as log_file:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ryepier.sidecar",
            cwd=ROOT,
            stderr=log_file,
            stdin=asyncio.subprocess.DEVNULL,
            env=os.environ | {"BALANCER_CONFIG": str(configuration)},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
        )


@asynccontextmanager
async def limited_sidecar(
    directory: Path,
    upstream: Upstream,
    discovery_port: int,
    descriptor_limit: int = DESCRIPTOR_LIMIT,
    converter_count: int = CONVERTER_COUNT,
) -> AsyncIterator[LimitedSidecar]:
    """Run the sidecar, and check at the end that it still runs and never reached its limits."""
    await upstream.start()
    port, log_path = free_port(), directory / "log"
    configuration = write_sidecar_configuration(
        directory, port, upstream, discovery_port, descriptor_limit, converter_count
    )
    process = await start_process(configuration, log_path, descriptor_limit)
    sidecar = LimitedSidecar(process.pid, port)
    watch_task = asyncio.create_task(sidecar.sample_usage())
    try:
        await sidecar.wait_until_listening()
        yield sidecar
        assert process.returncode is None
        assert "connection not accepted" not in log_path.read_text()
        assert sidecar.max_descriptors < descriptor_limit
        assert sidecar.max_memory_mb < MEMORY_LIMIT_MB
    finally:
        watch_task.cancel()
        if process.returncode is None:
            process.kill()
        await process.wait()
        upstream.stop()
