"""An emulated discovery for a whole fleet: one endpoint list, and a watch for each lightweight sidecar."""

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
REVISIONS_LOST = 10_000  # by which a discovery that restarted without its revisions counts from less
HEARTBEAT_INTERVAL_S = 2.0
BACKLOG = 4096
POD_SIZE = 10  # converters
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
END_OF_HEAD = b"\r\n\r\n"
Entry = dict[str, Any]  # of the list, in discovery's format


class Listing:
    """The converters of a fleet and the changes of their states. Pure, and drawn from the seed."""

    def __init__(self, size: int, seed: int) -> None:
        """List so many converters."""
        self.random = np.random.default_rng([seed, size])
        self.last_number = 0
        self.revision = FIRST_REVISION
        self.registry = self._make_registry([self.new_entry() for _ in range(size)])

    def new_entry(self) -> Entry:
        """Return the entry of a new converter."""
        self.last_number += 1
        number = self.last_number
        return {
            "uid": f"s-{int(self.random.integers(1 << 32)):08x}{number:05x}",
            "endpoint": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9000",
            "az": ZONES[number % len(ZONES)],
            "model": KINDS[int(self.random.integers(len(KINDS)))],
            "pod_group": number // POD_SIZE,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def active_entries(self) -> list[Entry]:
        """Return the entries that neither drain nor are gone."""
        return [entry for entry in self.registry.targets.values() if entry["state"] == "active"]

    def pick(self, count: int) -> list[Entry]:
        """Return different active entries, drawn at random."""
        active = self.active_entries()
        chosen = self.random.choice(len(active), size=count, replace=False)
        return [active[int(index)] for index in chosen]

    def change(self, entries: Sequence[Entry], state: str = "") -> None:
        """Change entries to a state, or as they are, each in a revision of its own."""
        for entry in entries:
            self.registry.change(entry | {"state": state} if state else entry)

    def lose_revisions(self) -> None:
        """Restart discovery with the list, without its revisions."""
        self.revision -= REVISIONS_LOST
        self.registry = self._make_registry(self.active_entries())

    def _make_registry(self, entries: list[Entry]) -> Registry:
        return Registry({"rev": self.revision, "all": True, "targets": entries})


class Watch(asyncio.Protocol):
    """A sidecar's connection, on which it waits for changes."""

    def __init__(self, server: WatchServer) -> None:
        """Start without a request."""
        self.server = server
        self.revision = 0
        self.transport: asyncio.Transport | None = None
        self._head = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Start the watch once its request is complete."""
        self._head += data
        if self._head.endswith(END_OF_HEAD):
            self.revision = int(self._head.split(b"since=")[1].split(b" ")[0])
            self._head = b""
            self.server.on_watch(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection."""
        self.server.connections.discard(self)
        self.server.watches.discard(self)

    def write(self, data: bytes) -> None:
        """Write, and count the bytes."""
        assert self.transport is not None
        self.server.bytes_sent += len(data)
        self.transport.write(data)


class WatchServer:
    """Serves the watches of a fleet, and counts calls and bytes, without TCP's own headers."""

    def __init__(self, listing: Listing, address: tuple[str, int], keeps_revisions: bool = True) -> None:
        """Prepare the server; without `keeps_revisions` each watch begins with the whole list."""
        self.listing = listing
        self.address = address
        self.keeps_revisions = keeps_revisions
        self.connections: set[Watch] = set()
        self.watches: set[Watch] = set()
        self.bytes_sent = 0
        self.call_times_us: list[int] = []
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._cached_messages: dict[int, bytes] = {}  # changes until now, by the revision that a watch has

    async def open(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.clear_cached_messages()
        self._server = await loop.create_server(lambda: Watch(self), *self.address, backlog=BACKLOG)
        self._heartbeats = loop.create_task(self._send_heartbeats())

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self.abort_all()

    def abort_all(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            assert connection.transport is not None
            connection.transport.abort()

    def on_watch(self, watch: Watch) -> None:
        """Answer a new watch with what changed since its revision."""
        self.call_times_us.append(monotonic_us())
        self.watches.add(watch)
        if not self.keeps_revisions:
            watch.revision = 0
        watch.write(RESPONSE_HEAD)
        self._send_changes(watch)

    def clear_cached_messages(self) -> None:
        """Encode changes again, after the list was replaced."""
        self._cached_messages.clear()

    def send_changes_to_all(self) -> int:
        """Send each watch all changes in one message, and return the revision that they then have."""
        self.clear_cached_messages()
        for watch in list(self.watches):
            self._send_changes(watch)
        return self.listing.registry.rev

    def _send_changes(self, watch: Watch) -> None:
        if watch.revision not in self._cached_messages:
            self._cached_messages[watch.revision] = self._encode(watch.revision)
        watch.write(self._cached_messages[watch.revision])
        watch.revision = self.listing.registry.rev

    def _encode(self, revision: int) -> bytes:
        line = json.dumps(self.listing.registry.changes_since(revision)).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(line), line)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for watch in list(self.watches):
                watch.write(HEARTBEAT)
