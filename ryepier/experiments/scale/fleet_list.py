"""An emulated discovery for a fleet of lightweight sidecars: one endpoint list, and a watch for each sidecar."""

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
LOST_REVISION_COUNT = 10_000  # a discovery that lost its revisions restarts this far below its last revision
HEARTBEAT_INTERVAL_S = 2.0
BACKLOG = 4096
POD_SIZE = 10  # converters per pod group
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
END_OF_HEAD = b"\r\n\r\n"
Entry = dict[str, Any]  # an entry of the endpoint list, in discovery's format


class Listing:
    """The endpoint list of a fleet, with operations to change it. Its entries are drawn from a seed. No I/O."""

    def __init__(self, size: int, seed: int) -> None:
        """Create a list of `size` active converters."""
        self.random = np.random.default_rng([seed, size])
        self.last_number = 0
        self.revision = FIRST_REVISION
        self.registry = self._make_registry([self.new_entry() for _ in range(size)])

    def new_entry(self) -> Entry:
        """Return an entry for a new converter, without adding it to the list."""
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
        """Return the entries that are neither draining nor removed."""
        return [entry for entry in self.registry.targets.values() if entry["state"] == "active"]

    def pick_active(self, count: int) -> list[Entry]:
        """Return `count` distinct active entries, drawn at random."""
        candidates = self.active_entries()
        chosen_indices = self.random.choice(len(candidates), size=count, replace=False)
        return [candidates[int(index)] for index in chosen_indices]

    def change(self, entries: Sequence[Entry], state: str = "") -> None:
        """Add or update entries in the list, each as its own revision. A `state` replaces the state of each entry."""
        for entry in entries:
            self.registry.apply_change(entry | {"state": state} if state else entry)

    def lose_revisions(self) -> None:
        """Reset the list to its active entries and a lower revision, so that watches cannot resume from theirs."""
        self.revision -= LOST_REVISION_COUNT
        self.registry = self._make_registry(self.active_entries())

    def _make_registry(self, entries: list[Entry]) -> Registry:
        return Registry({"rev": self.revision, "all": True, "targets": entries})


class Watch(asyncio.Protocol):
    """The server's side of a connection on which a sidecar watches the list."""

    def __init__(self, server: WatchServer) -> None:
        """Create a watch without a connection. It starts once its connection has sent a complete request."""
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
        """Unregister the connection and its watch."""
        self.server.connections.discard(self)
        self.server.watches.discard(self)

    def write(self, data: bytes) -> None:
        """Write data to the sidecar, and add its length to the server's `bytes_sent`."""
        assert self.transport is not None
        self.server.bytes_sent += len(data)
        self.transport.write(data)


class WatchServer:
    """Serves the watches of a fleet, and records their requests and the bytes sent, without TCP and IP headers."""

    def __init__(self, listing: Listing, address: tuple[str, int], keeps_revisions: bool = True) -> None:
        """Create a server that listens once `open` is called.

        Without `keeps_revisions`, each watch starts with the full list, even if it asks for changes since a revision.
        """
        self.listing = listing
        self.address = address
        self.keeps_revisions = keeps_revisions
        self.connections: set[Watch] = set()
        self.watches: set[Watch] = set()
        self.bytes_sent = 0
        self.call_times_us: list[int] = []  # times at which watches were requested
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._cached_messages: dict[int, bytes] = {}  # encoded changes since a revision, by that revision

    async def open(self) -> None:
        """Start listening and sending heartbeats."""
        loop = asyncio.get_running_loop()
        self.clear_cached_messages()
        self._server = await loop.create_server(lambda: Watch(self), *self.address, backlog=BACKLOG)
        self._heartbeat_task = loop.create_task(self._send_heartbeats())

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self.abort_all()

    def abort_all(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            assert connection.transport is not None
            connection.transport.abort()

    def on_watch(self, watch: Watch) -> None:
        """Answer a new watch with the changes since its revision."""
        self.call_times_us.append(monotonic_us())
        self.watches.add(watch)
        if not self.keeps_revisions:
            watch.revision = 0
        watch.write(RESPONSE_HEAD)
        self._send_changes(watch)

    def clear_cached_messages(self) -> None:
        """Discard the cached messages; call this after each change of the list."""
        self._cached_messages.clear()

    def send_changes_to_all(self) -> int:
        """Send each watch all changes since its revision in one message, and return the new revision."""
        self.clear_cached_messages()
        for watch in list(self.watches):
            self._send_changes(watch)
        return self.listing.registry.rev

    def _send_changes(self, watch: Watch) -> None:
        if watch.revision not in self._cached_messages:
            self._cached_messages[watch.revision] = self._encode_changes(watch.revision)
        watch.write(self._cached_messages[watch.revision])
        watch.revision = self.listing.registry.rev

    def _encode_changes(self, revision: int) -> bytes:
        line = json.dumps(self.listing.registry.changes_since(revision)).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(line), line)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for watch in list(self.watches):
                watch.write(HEARTBEAT)
