"""A stand-in discovery for a whole fleet: one list, and a watch for each hollow sidecar that is told of its changes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import numpy as np

from ryepier.emulator.discovery import Registry
from ryepier.emulator.process import monotonic_us
from ryepier.experiments.scale.lightweight_sidecar import KINDS, ZONES

FIRST_REVISION = 1_000_000
GENERATION = 10_000  # revisions; a discovery that comes back with nothing kept counts from so much less
HEARTBEAT_S = 2.0
BACKLOG = 4096
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
Entry = dict[str, Any]


class Listing:
    """The converters of a fleet, and what becomes of them. Pure, and drawn from the seed."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = np.random.default_rng([seed, size])
        self.last = 0
        self.revision = FIRST_REVISION
        self.registry = self._registry([self.new() for _ in range(size)])

    def _registry(self, entries: list[Entry]) -> Registry:
        return Registry({"rev": self.revision, "all": True, "targets": entries})

    def new(self) -> Entry:
        """A converter that has just come."""
        self.last += 1
        number = self.last
        return {
            "uid": f"s-{int(self.random.integers(1 << 32)):08x}{number:05x}",
            "endpoint": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9000",
            "az": ZONES[number % len(ZONES)],
            "model": KINDS[int(self.random.integers(len(KINDS)))],
            "pod_group": number // 10,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def present(self) -> list[Entry]:
        return [entry for entry in self.registry.targets.values() if entry["state"] == "active"]

    def pick(self, count: int) -> list[Entry]:
        """Some that are there, each with its turn."""
        present = self.present()
        chosen = self.random.choice(len(present), size=count, replace=False)
        return [present[int(index)] for index in chosen]

    def change(self, entries: Sequence[Entry], state: str = "") -> None:
        for entry in entries:
            self.registry.change(entry | {"state": state} if state else entry)

    def forget(self) -> None:
        """Discovery comes back with the list, and none of its revisions."""
        self.revision -= GENERATION
        self.registry = self._registry(self.present())


class Watch(asyncio.Protocol):
    """A sidecar's call for changes."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.head = b""
        self.revision = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.desk.connections.add(self)

    def data_received(self, data: bytes) -> None:
        self.head += data
        if self.head.endswith(b"\r\n\r\n"):
            self.revision = int(self.head.split(b"since=")[1].split(b" ")[0])
            self.head = b""
            self.desk.opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.desk.connections.discard(self)
        self.desk.watches.discard(self)

    def write(self, data: bytes) -> None:
        assert self.transport is not None
        self.desk.bytes += len(data)
        self.transport.write(data)


class Desk:
    """Where the watches of a fleet come to. Its counts are what it took and wrote, TCP's own headers left out."""

    def __init__(self, listing: Listing, address: tuple[str, int], keeps_revisions: bool = True) -> None:
        self.listing = listing
        self.address = address
        self.keeps_revisions = keeps_revisions  # without, whoever calls again gets the whole list
        self.connections: set[Watch] = set()
        self.watches: set[Watch] = set()
        self.bytes = 0
        self.calls_us: list[int] = []
        self.server: asyncio.Server | None = None
        self.beating: asyncio.Task[None] | None = None
        self.encoded: dict[int, bytes] = {}  # by the revision that a watch has, at the present one

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.encoded.clear()
        self.server = await loop.create_server(lambda: Watch(self), *self.address, backlog=BACKLOG)
        self.beating = loop.create_task(self.beat())

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        if self.beating is not None:
            self.beating.cancel()
        self.cut()

    def cut(self) -> None:
        """All that are open end."""
        for connection in list(self.connections):
            assert connection.transport is not None
            connection.transport.abort()

    def opened(self, watch: Watch) -> None:
        self.calls_us.append(monotonic_us())
        self.watches.add(watch)
        if not self.keeps_revisions:
            watch.revision = 0
        watch.write(HEAD)
        self.tell(watch)

    def tell(self, watch: Watch) -> None:
        if watch.revision not in self.encoded:
            self.encoded[watch.revision] = self.encode(watch.revision)
        watch.write(self.encoded[watch.revision])
        watch.revision = self.listing.registry.rev

    def encode(self, revision: int) -> bytes:
        registry = self.listing.registry
        data = json.dumps(registry.changes_since(revision)).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(data), data)

    def tell_all(self) -> int:
        """All that changed goes to all in one object; returns the revision that they then have."""
        self.encoded.clear()
        for watch in list(self.watches):
            self.tell(watch)
        return self.listing.registry.rev

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for watch in list(self.watches):
                watch.write(b"1\r\n\n\r\n")
