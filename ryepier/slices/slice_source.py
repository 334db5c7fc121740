"""Endpoint source of a sidecar that follows EndpointSlices, in place of the platform's discovery."""

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
CACHE_INTERVAL_S = 5.0  # least time between two writes of the cached list
MAX_LOGGED_ENTRIES = 20  # entries per log line

Listener = Callable[[UpstreamsUpdated, dict[int, tuple[str, int]]], None]


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a slice source: the service to follow, how to reach its API server, and how to merge the slices."""

    access: Access
    namespace: str
    service: str
    rules: ListingRules
    port_name: str = ""
    watch_s: int = 60  # duration of a watch
    hold_us: int = 30_000_000  # time for which the last list is kept when all endpoints vanish at once
    cache_file: Path | None = None  # where the endpoint list is cached; None disables the cache
    is_pushed: bool = True  # false: the decision module polls, each poll gets the list, and failures are published
    seed: int = 0


class _CachedEndpoint(msgspec.Struct):
    """One ready endpoint in the cached list."""

    identity: str
    host: str
    port: int
    zone: str
    node: str


class _CachedList(msgspec.Struct):
    version: int
    service: str
    ready: list[_CachedEndpoint]


class SliceSource:
    """Follows the slices of one service; implements `ryepier.sidecar.components.EndpointSource`."""

    def __init__(self, settings: Settings, listener: Listener, clock_us: Callable[[], int]) -> None:
        """Start without endpoints. `start` begins to follow the slices; updates of the list go to `listener`."""
        self.settings = settings
        self.listener = listener
        self.clock_us = clock_us
        self.merger = EndpointSliceMerger(settings.port_name, settings.hold_us)
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
        self.has_complete_list = False  # whether a complete list has arrived from the API server
        self.was_list_retained = False  # whether the merger retained its last list at the last update
        self.update_timer: asyncio.TimerHandle | None = None
        self.cache_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    # Interface of EndpointSource

    def restore_cached_list(self) -> None:
        """Publish the cached list, if there is a valid one, so that the sidecar can serve without the API server."""
        if self.settings.cache_file is None:
            return
        try:
            cached_list = msgspec.json.decode(self.settings.cache_file.read_bytes(), type=_CachedList)
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            log.warning("cached endpoint list is malformed: %s", error)
            return
        if cached_list.version != CACHE_VERSION or cached_list.service != self.service:
            log.warning(
                "cached endpoint list ignored: it has version %d and is of %s", cached_list.version, cached_list.service
            )
            return
        endpoints = {
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
            for endpoint in cached_list.ready
        }
        self.merger.current_endpoints = dict(endpoints)
        self.merger.changed_identities = set(endpoints)
        self.publish(ListKind.CACHED, self.listing.update(self.clock_us(), endpoints))

    def start(self) -> None:
        """Start the task that follows the slices."""
        self.task = asyncio.get_running_loop().create_task(self.client.run())

    def stop(self) -> None:
        """Stop following the slices and cancel the timers."""
        for timer in (self.update_timer, self.cache_timer):
            if timer is not None:
                timer.cancel()
        if self.task is not None:
            self.task.cancel()

    async def wait_for_first_list(self) -> None:
        """Return at once, as the cached list can be used until the first list arrives."""

    def subscribe(self, active: bool) -> None:
        """Answer a poll with the complete list, or with a failure if none has arrived. The slices are followed all the
        time, so there is nothing to start or stop."""
        if active and not self.settings.is_pushed:
            if self.has_complete_list:
                self.publish(ListKind.FULL, self.listing.take_complete_list())
            else:
                self.publish(ListKind.FAILED, [])

    def upstream_ids(self) -> Mapping[str, int]:
        """Return the upstream ids of the listed endpoints by identity."""
        return self.listing.upstream_ids()

    def apply_config(self, config: object) -> None:
        """Do nothing, as the platform's configuration has no settings of slices."""

    @property
    def service(self) -> str:
        """Namespace and name of the service, as in `namespace/name`."""
        return f"{self.settings.namespace}/{self.settings.service}"

    # Callbacks of the API client

    def on_changes(self, changes: list[Replace | Apply | Delete]) -> None:
        """Apply changes of the slices and publish the resulting changes of the endpoint list."""
        for change in changes:
            if isinstance(change, Replace):
                self.merger.replace(change.slices)
                log.info("EndpointSlices of %s: %d slices listed", self.service, len(change.slices))
            elif isinstance(change, Apply):
                self.merger.apply(change.endpoint_slice)
            else:
                self.merger.delete(change.endpoint_slice)
        is_first = not self.has_complete_list and any(isinstance(change, Replace) for change in changes)
        self.has_complete_list |= is_first
        self.update(is_first)

    def on_failure(self) -> None:
        """Publish that a call has failed, if the decision module polls; the client retries the call."""
        if not self.settings.is_pushed:
            self.publish(ListKind.FAILED, [])

    # Publishing

    def update(self, is_first: bool = False) -> None:
        """Publish the changes that are due (the complete list if `is_first`), and schedule the next update."""
        now_us = self.clock_us()
        entries = self.listing.update(now_us, self.merger.changes(now_us))
        if is_first:
            self.publish(
                ListKind.FULL,
                [entry for entry in self.listing.take_complete_list() if entry[0].state is not UpstreamState.REMOVED],
            )
        elif entries:
            self.publish(ListKind.DELTA, entries)
        if self.merger.is_list_retained and not self.was_list_retained:
            log.error(
                "EndpointSlices of %s: all endpoints vanished at once; keeping the last list for %d s",
                self.service,
                self.settings.hold_us // 1_000_000,
            )
        self.was_list_retained = self.merger.is_list_retained
        self.schedule_update()

    def schedule_update(self) -> None:
        """Set the timer for the next update, if any change is due later."""
        if self.update_timer is not None:
            self.update_timer.cancel()
            self.update_timer = None
        due_times_us = [
            at_us for at_us in (self.merger.next_due_at_us, self.listing.next_due_at_us) if at_us is not None
        ]
        if due_times_us:
            delay_s = max(0, min(due_times_us) - self.clock_us() + 1) / 1e6
            self.update_timer = asyncio.get_running_loop().call_later(delay_s, self.update)

    def publish(self, kind: ListKind, entries: list[ListedEntry]) -> None:
        """Pass an update to the listener, log it, and schedule a write of the cached list."""
        self.version += 1
        if entries:
            entry_texts = " ".join(
                f"{upstream.id}={address[0]}:{address[1]}:{upstream.state.value}"
                for upstream, address in entries[:MAX_LOGGED_ENTRIES]
            )
            suffix = f" and {len(entries) - MAX_LOGGED_ENTRIES} more" if len(entries) > MAX_LOGGED_ENTRIES else ""
            fields = {"version": self.version}
            log.info("endpoint list %d applied (%s): %s", self.version, kind.value, entry_texts + suffix, extra=fields)
        upstreams: list[Upstream] = [upstream for upstream, _ in entries]
        self.listener(
            UpstreamsUpdated(kind, upstreams, self.version), {upstream.id: address for upstream, address in entries}
        )
        if self.settings.cache_file is not None and self.has_complete_list and self.cache_timer is None:
            self.cache_timer = asyncio.get_running_loop().call_later(CACHE_INTERVAL_S, self.write_cache)

    def write_cache(self) -> None:
        """Replace the file with the cached list atomically."""
        self.cache_timer = None
        path = self.settings.cache_file
        assert path is not None
        ready_endpoints = [
            _CachedEndpoint(endpoint.identity, *endpoint.address, endpoint.zone, endpoint.node)
            for endpoint in self.merger.current_endpoints.values()
            if endpoint.state is UpstreamState.READY
        ]
        temporary_path = path.with_name(f"{path.name}.part")
        try:
            temporary_path.write_bytes(msgspec.json.encode(_CachedList(CACHE_VERSION, self.service, ready_endpoints)))
            os.replace(temporary_path, path)
        except OSError as error:
            log.warning("could not write the cached endpoint list: %s", error)
