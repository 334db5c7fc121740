"""EndpointSlices as the endpoint source of a sidecar, in place of the platform's discovery."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ryepier.balancer.interface import ListKind, Upstream, UpstreamState, UpstreamsUpdated
from ryepier.slices.api_client import Access, make_client
from ryepier.slices.endpoint_listing import EndpointListing, ListedEntry, ListingRules
from ryepier.slices.endpoint_slice_merger import EndpointSliceMerger, MergedEndpoint
from ryepier.slices.reflector import Apply, Delete, Replace

log = logging.getLogger(__name__)

CACHE_VERSION = 1
CACHE_INTERVAL_S = 5.0  # at least, between two writes
MAX_LOGGED_ENTRIES = 20  # entries of one change

Listener = Callable[[UpstreamsUpdated, dict[int, tuple[str, int]]], None]


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a source."""

    access: Access
    namespace: str
    service: str
    rules: ListingRules
    port: str = ""
    watch_s: int = 60
    hold_us: int = 30_000_000
    cache: Path | None = None
    pushed: bool = True  # else the module polls, and is notified of failures
    seed: int = 0


class _Cached(msgspec.Struct):
    """One endpoint of the cached list."""

    identity: str
    host: str
    port: int
    zone: str
    node: str


class _Cache(msgspec.Struct):
    version: int
    service: str
    ready: list[_Cached]


class SliceSource:
    """Follows one service's slices; see `ryepier.sidecar.components.EndpointSource`."""

    def __init__(self, settings: Settings, listener: Listener, clock_us: Callable[[], int]) -> None:
        """Prepare a source; `start` follows the slices."""
        self.settings = settings
        self.listener = listener
        self.clock_us = clock_us
        self.merger = EndpointSliceMerger(settings.port, settings.hold_us)
        self.listing = EndpointListing(settings.rules)
        self.client = make_client(
            settings.access,
            settings.namespace,
            settings.service,
            settings.watch_s,
            settings.seed,
            self.on_changes,
            self.on_failure,
            clock_us,
        )
        self.version = 0
        self.synced = False  # a complete list has arrived
        self.is_retained = False
        self.timer: asyncio.TimerHandle | None = None
        self.cache_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    # Endpoint source

    def restore_cached(self) -> None:
        """Publish the cached list: the API server may be unavailable."""
        if self.settings.cache is None:
            return
        try:
            cache = msgspec.json.decode(self.settings.cache.read_bytes(), type=_Cache)
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            log.warning("cached endpoint list is malformed: %s", error)
            return
        if cache.version != CACHE_VERSION or cache.service != self.service:
            log.warning("cached endpoint list of version %d, of %s, not used", cache.version, cache.service)
            return
        found = {
            endpoint.identity: MergedEndpoint(
                endpoint.identity,
                (endpoint.host, endpoint.port),
                endpoint.zone,
                endpoint.node,
                UpstreamState.READY,
                False,
                1,
                (),
            )
            for endpoint in cache.ready
        }
        self.merger.current = dict(found)
        self.merger.changed_identities = set(found)
        self.publish(ListKind.CACHED, self.listing.update(self.clock_us(), found))

    def start(self) -> None:
        """Follow the slices from now on."""
        self.task = asyncio.get_running_loop().create_task(self.client.run())

    def stop(self) -> None:
        """Stop following."""
        for timer in (self.timer, self.cache_timer):
            if timer is not None:
                timer.cancel()
        if self.task is not None:
            self.task.cancel()

    async def wait_for_first_list(self) -> None:
        """Return at once: the cached list is as good as any until the first one arrives."""

    def subscribe(self, active: bool) -> None:
        """Publish the complete list, or a failure without one; the slices are followed all the time."""
        if active and not self.settings.pushed:
            if self.synced:
                self.publish(ListKind.FULL, self.listing.complete_list())
            else:
                self.publish(ListKind.FAILED, [])

    def upstream_ids(self) -> Mapping[str, int]:
        """Return the number of each listed identity."""
        return self.listing.upstream_ids()

    def apply_config(self, config: object) -> None:
        """Ignore it: the platform's configuration has no settings of slices."""

    @property
    def service(self) -> str:
        """Namespace and name."""
        return f"{self.settings.namespace}/{self.settings.service}"

    # Listener of the client

    def on_changes(self, changes: list[Replace | Apply | Delete]) -> None:
        """Apply changes of the slices."""
        for endpoint in changes:
            if isinstance(endpoint, Replace):
                self.merger.replace(endpoint.slices)
                log.info("EndpointSlices of %s: %d slices listed", self.service, len(endpoint.slices))
            elif isinstance(endpoint, Apply):
                self.merger.apply(endpoint.found)
            else:
                self.merger.delete(endpoint.found)
        is_first = not self.synced and any(isinstance(endpoint, Replace) for endpoint in changes)
        self.synced |= is_first
        self.update(is_first)

    def on_failure(self) -> None:
        """Publish that a call has failed; it is retried."""
        if not self.settings.pushed:
            self.publish(ListKind.FAILED, [])

    # Publishing

    def update(self, is_first: bool = False) -> None:
        """Publish the changes, and schedule those that are due later."""
        now_us = self.clock_us()
        entries = self.listing.update(now_us, self.merger.changes(now_us))
        if is_first:
            self.publish(
                ListKind.FULL,
                [
                    endpoint
                    for endpoint in self.listing.complete_list()
                    if endpoint[0].state is not UpstreamState.REMOVED
                ],
            )
        elif entries:
            self.publish(ListKind.DELTA, entries)
        if self.merger.is_retained and not self.is_retained:
            log.error(
                "EndpointSlices of %s: all endpoints vanished at once; the last list is held for %d s",
                self.service,
                self.settings.hold_us // 1_000_000,
            )
        self.is_retained = self.merger.is_retained
        self.arm()

    def arm(self) -> None:
        """Schedule the next update."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = [at_us for at_us in (self.merger.next_us, self.listing.next_us) if at_us is not None]
        if due:
            delay_s = max(0, min(due) - self.clock_us() + 1) / 1e6
            self.timer = asyncio.get_running_loop().call_later(delay_s, self.update)

    def publish(self, kind: ListKind, entries: list[ListedEntry]) -> None:
        """Notify the listener, and schedule a write of the cached list."""
        self.version += 1
        if entries:
            names = " ".join(
                f"{entry.id}={address[0]}:{address[1]}:{entry.state.value}"
                for entry, address in entries[:MAX_LOGGED_ENTRIES]
            )
            more = f" and {len(entries) - MAX_LOGGED_ENTRIES} more" if len(entries) > MAX_LOGGED_ENTRIES else ""
            fields = {"version": self.version}
            log.info("endpoint list %d applied (%s): %s", self.version, kind.value, names + more, extra=fields)
        upstreams: list[Upstream] = [entry for entry, _ in entries]
        self.listener(
            UpstreamsUpdated(kind, upstreams, self.version), {entry.id: address for entry, address in entries}
        )
        if self.settings.cache is not None and self.synced and self.cache_timer is None:
            self.cache_timer = asyncio.get_running_loop().call_later(CACHE_INTERVAL_S, self.write_cache)

    def write_cache(self) -> None:
        """Replace the cached list atomically."""
        self.cache_timer = None
        path = self.settings.cache
        assert path is not None
        ready = [
            _Cached(v.identity, *v.address, v.zone, v.node)
            for v in self.merger.current.values()
            if v.state is UpstreamState.READY
        ]
        part = path.with_name(f"{path.name}.part")
        try:
            part.write_bytes(msgspec.json.encode(_Cache(CACHE_VERSION, self.service, ready)))
            os.replace(part, path)
        except OSError as error:
            log.warning("endpoint list not cached: %s", error)
