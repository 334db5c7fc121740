"""EndpointSlices as the source of a sidecar's list, in place of the platform's discovery."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ryepier.balancer.interface import ListKind, Upstream, UpstreamState, UpstreamsUpdated
from ryepier.slices.client import Access, make_client
from ryepier.slices.listing import Entries, Listing, Rules
from ryepier.slices.merge import Merger, Verdict
from ryepier.slices.reflect import Apply, Delete, Replace

log = logging.getLogger(__name__)

CACHE_VERSION = 1
CACHE_EVERY_S = 5.0  # the list is written down at most so often
LOGGED = 20  # entries of one change that the log names

Listener = Callable[[UpstreamsUpdated, dict[int, tuple[str, int]]], None]


@dataclass(frozen=True, slots=True)
class Settings:
    """What a source is told."""

    access: Access
    namespace: str
    service: str
    rules: Rules
    port: str = ""
    watch_s: int = 60
    hold_us: int = 30_000_000
    cache: Path | None = None
    pushed: bool = True  # the module does not ask; where it does it is told of failures
    seed: int = 0


class _Cached(msgspec.Struct):
    """One converter of the list as it was written down."""

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
    """Follows one service's slices and tells the host; see `ryepier.sidecar.components.EndpointSource`."""

    def __init__(self, settings: Settings, listener: Listener, clock_us: Callable[[], int]) -> None:
        self.settings = settings
        self.listener = listener
        self.clock_us = clock_us
        self.merger = Merger(settings.port, settings.hold_us)
        self.listing = Listing(settings.rules)
        self.client = make_client(
            settings.access,
            settings.namespace,
            settings.service,
            settings.watch_s,
            settings.seed,
            self.take,
            self.lost,
            clock_us,
        )
        self.version = 0
        self.synced = False  # a whole list has been had
        self.alarmed = False
        self.timer: asyncio.TimerHandle | None = None
        self.writing: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    # As a source

    def restore_cached(self) -> None:
        """The list as it was last written down; the API server may be away just now."""
        if self.settings.cache is None:
            return
        try:
            cache = msgspec.json.decode(self.settings.cache.read_bytes(), type=_Cache)
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            log.warning("the list as last written down can't be read: %s", error)
            return
        if cache.version != CACHE_VERSION or cache.service != self.service:
            log.warning(
                "the list as last written down is of version %d, of %s, and not used", cache.version, cache.service
            )
            return
        found = {
            one.identity: Verdict(
                one.identity, (one.host, one.port), one.zone, one.node, UpstreamState.READY, False, 1, ()
            )
            for one in cache.ready
        }
        self.merger.told = dict(found)
        self.merger.dirty = set(found)
        self.tell(ListKind.CACHED, self.listing.update(self.clock_us(), found))

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.client.run())

    def stop(self) -> None:
        """Follow no more."""
        for timer in (self.timer, self.writing):
            if timer is not None:
                timer.cancel()
        if self.task is not None:
            self.task.cancel()

    async def wait_for_first_list(self) -> None:
        """Nothing is told before this source itself has asked for it."""

    def subscribe(self, active: bool) -> None:
        """It follows all the time; one who asks is told what is known, or that nothing is."""
        if active and not self.settings.pushed:
            if self.synced:
                self.tell(ListKind.FULL, self.listing.whole())
            else:
                self.tell(ListKind.FAILED, [])

    def upstream_ids(self) -> Mapping[str, int]:
        return self.listing.idents()

    def apply_config(self, config: object) -> None:
        """The platform's configuration says nothing of slices."""

    @property
    def service(self) -> str:
        return f"{self.settings.namespace}/{self.settings.service}"

    # As the client's listener

    def take(self, news: list[Replace | Apply | Delete]) -> None:
        for one in news:
            if isinstance(one, Replace):
                self.merger.replace(one.slices)
                log.info("EndpointSlices of %s: %d slices listed", self.service, len(one.slices))
            elif isinstance(one, Apply):
                self.merger.apply(one.found)
            else:
                self.merger.delete(one.found)
        first = not self.synced and any(isinstance(one, Replace) for one in news)
        self.synced |= first
        self.update(first)

    def lost(self) -> None:
        """A call has failed and is made again later."""
        if not self.settings.pushed:
            self.tell(ListKind.FAILED, [])

    # As the host's source of the list

    def update(self, first: bool = False) -> None:
        """Tell of what changed, and see to it that what comes due by time is told, too."""
        now_us = self.clock_us()
        entries = self.listing.update(now_us, self.merger.changes(now_us))
        if first:
            self.tell(ListKind.FULL, [one for one in self.listing.whole() if one[0].state is not UpstreamState.REMOVED])
        elif entries:
            self.tell(ListKind.DELTA, entries)
        if self.merger.alarmed and not self.alarmed:
            log.error(
                "EndpointSlices of %s: all are gone at once; the last list is held for %d s",
                self.service,
                self.settings.hold_us // 1_000_000,
            )
        self.alarmed = self.merger.alarmed
        self.arm()

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = [at_us for at_us in (self.merger.next_us, self.listing.next_us) if at_us is not None]
        if due:
            left_s = max(0, min(due) - self.clock_us() + 1) / 1e6
            self.timer = asyncio.get_running_loop().call_later(left_s, self.update)

    def tell(self, kind: ListKind, entries: Entries) -> None:
        self.version += 1
        if entries:
            names = " ".join(
                f"{entry.id}={address[0]}:{address[1]}:{entry.state.value}" for entry, address in entries[:LOGGED]
            )
            more = f" and {len(entries) - LOGGED} more" if len(entries) > LOGGED else ""
            log.info("list %d, %s: %s%s", self.version, kind.value, names, more)
        upstreams: list[Upstream] = [entry for entry, _ in entries]
        self.listener(
            UpstreamsUpdated(kind, upstreams, self.version), {entry.id: address for entry, address in entries}
        )
        if self.settings.cache is not None and self.synced and self.writing is None:
            self.writing = asyncio.get_running_loop().call_later(CACHE_EVERY_S, self.write_cache)

    def write_cache(self) -> None:
        """Replaced whole, so that a reader finds the old one or the new one."""
        self.writing = None
        path = self.settings.cache
        assert path is not None
        ready = [
            _Cached(v.identity, *v.address, v.zone, v.node)
            for v in self.merger.told.values()
            if v.state is UpstreamState.READY
        ]
        part = path.with_name(f"{path.name}.part")
        try:
            part.write_bytes(msgspec.json.encode(_Cache(CACHE_VERSION, self.service, ready)))
            os.replace(part, path)
        except OSError as error:
            log.warning("the list can't be written down: %s", error)
