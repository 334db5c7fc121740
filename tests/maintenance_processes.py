"""Runs the coordinators of one region as processes, with a stub of discovery."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from ryepier.maintenance import agreement_file
from ryepier.maintenance.api import ClientKind, StatusReply
from ryepier.maintenance.client import RegionClient
from ryepier.maintenance.commands import (
    Command,
    Request,
    SubmitRequest,
)
from ryepier.maintenance.replication import storage
from ryepier.maintenance.results import Granted, Result
from ryepier.maintenance.settings import replica_addresses
from tests.loopback_ports import free_port
from tests.maintenance_world import SERVICE_TEXT, converters_text

HANG_TIMEOUT_S = 30.0  # ends a test that hangs; no test reaches it otherwise
REPLICAS = ("north-0", "north-1", "north-2")


def agreement_text(ports: list[int]) -> str:
    lines = []
    for region_number, region in enumerate(("north", "south")):
        lines.append(f'[[regions]]\nname = "{region}"')
        for i in range(3):
            port = ports[3 * region_number + i]
            lines.append(f'[[regions.replicas]]\nname = "{region}-{i}"\naddress = "127.0.0.1:{port}"')
    return SERVICE_TEXT + "\n".join(lines) + "\n" + converters_text()


@dataclass
class StubDiscovery:
    """A stub of discovery that lists converters as ready; `uids` maps each converter to the uid of its incarnation."""

    port: int
    uids: dict[str, str] = field(default_factory=dict)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            targets = [{"uid": uid, "state": "active"} for uid in self.uids.values()]
            body = json.dumps({"rev": 1, "all": True, "targets": targets}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


class Coordinators:
    """The coordinator processes of region north; the coordinators of region south are not started."""

    def __init__(self, folder: Path) -> None:
        ports = [free_port() for _ in range(7)]
        self.folder = folder
        self.agreement_path = folder / "agreement.toml"
        self.agreement_path.write_text(agreement_text(ports))
        self.agreement = agreement_file.parse(self.agreement_path.read_bytes())
        self.addresses = replica_addresses(self.agreement, "north")
        self.discovery = StubDiscovery(ports[6], {name: name for name in ("n00", "n01", "n02", "n10", "n11", "n12")})
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.clients: list[RegionClient] = []

    def start(self, replica: str, *options: str) -> subprocess.Popen[bytes]:
        argv = [sys.executable, "-B", "-m", "ryepier", "maintenance", "serve", "--agreement", str(self.agreement_path)]
        argv += ["--region", "north", "--replica", replica, "--folder", str(self.folder / replica)]
        argv += ["--discovery", f"127.0.0.1:{self.discovery.port}", *options]
        with self.log_path(replica).open("ab") as log_file:
            process = self.processes[replica] = subprocess.Popen(argv, stdout=log_file, stderr=log_file)
        return process

    def start_all(self, *options: str) -> None:
        for replica in REPLICAS:
            self.start(replica, *options)

    def log_path(self, replica: str) -> Path:
        return self.folder / f"{replica}.log"

    def storage_path(self, replica: str) -> Path:
        return self.folder / replica / storage.FILE_NAME

    def kill(self, *replicas: str) -> None:
        for replica in replicas:
            self.processes[replica].kill()
            self.processes[replica].wait()

    def send_signal(self, replica: str, signal_number: signal.Signals) -> None:
        self.processes[replica].send_signal(signal_number)

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def client(self, *replicas: str, kind: ClientKind = ClientKind.AGENT) -> RegionClient:
        addresses = {name: self.addresses[name] for name in replicas or REPLICAS}
        client = RegionClient("north", addresses, "agent-1", kind)
        self.clients.append(client)
        return client

    async def command(self, command: Command, kind: ClientKind = ClientKind.AGENT) -> Result:
        return await self.client(kind=kind).command(command, HANG_TIMEOUT_S)

    async def status(self) -> StatusReply:
        return await self.client().status(HANG_TIMEOUT_S)

    async def leader(self) -> str:
        return (await self.status()).leader

    async def submit(self, new_request: Request) -> Result:
        return await self.command(SubmitRequest(new_request), kind=ClientKind.OPERATOR)

    async def grant(self, lease: str) -> Granted:
        """Request a lease repeatedly until it is granted."""
        client = self.client()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                result = await client.acquire_lease(lease, HANG_TIMEOUT_S)
                if isinstance(result, Granted):
                    return result
                await asyncio.sleep(0.1)

    async def wait_for_status(self, condition: Callable[[StatusReply], bool]) -> StatusReply:
        client = self.client()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not condition(status := await client.status(HANG_TIMEOUT_S)):
                await asyncio.sleep(0.1)
        return status
