"""List and watch as the published API prescribes, without sockets, clocks or randomness of its own.

The results of a call go in (`on_page`, `on_event`, `on_failure`, `on_watch_end`, `on_wake`); actions come out: the next
`Call`, or a `Wait` before it, and changes (`Replace`, `Apply`, `Delete`). At most one call is in flight.

The list is requested without a resourceVersion, so that it is the newest: one from a cache may be older than what was
observed before, and list a draining converter as ready.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random
from urllib.parse import quote, urlencode

from ryepier.slices.api_objects import EventKind, Slice, SliceList, WatchEvent, list_query, watch_query

PAGE_SIZE = 50  # slices, of 100 endpoints each: about 2 MB
FIRST_BACKOFF_US = 200_000
MAX_BACKOFF_US = 10_000_000
MAX_RETRY_AFTER_US = 60_000_000  # of a Retry-After
HEALTHY_WATCH_US = 5_000_000  # the end of a watch that lasted this long is no failure
HTTP_GONE = 410


class CallKind(enum.Enum):
    """How the response to a call is read."""

    LIST = enum.auto()  # one page, complete
    WATCH = enum.auto()  # event by event, as they arrive


@dataclass(frozen=True, slots=True)
class Call:
    """A GET to send."""

    target: str
    kind: CallKind


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing before `until_us`."""

    until_us: int


@dataclass(frozen=True, slots=True)
class Replace:
    """Replace all slices: a complete list."""

    slices: list[Slice]


@dataclass(frozen=True, slots=True)
class Apply:
    """Add or change a slice."""

    found: Slice


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete a slice."""

    found: Slice


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem to log."""

    reason: str


Action = Call | Wait | Replace | Apply | Delete | Problem


@dataclass(frozen=True, slots=True)
class Failure:
    """How a call failed; `status` of the response, 0 without one."""

    reason: str
    status: int = 0
    retry_after_s: int | None = None


class Reflector:
    """Follows the slices of one service."""

    def __init__(self, namespace: str, service: str, random: Random, watch_s: int = 60) -> None:
        """Prepare to follow a service; a watch lasts `watch_s` seconds."""
        self.path = f"/apis/discovery.k8s.io/v1/namespaces/{quote(namespace, safe='')}/endpointslices"
        self.service = service
        self.random = random
        self.watch_s = watch_s
        self.version = ""  # of the next watch; empty: list first
        self.pages: list[Slice] = []
        self.uses_pages = True  # a list that takes longer than the server keeps its pages would never be complete
        self.failures = 0
        self.call_started_us = 0
        self.has_expired = False  # the last list was requested because the watch's version had been compacted

    def start(self, now_us: int) -> list[Action]:
        """Return the first call, or the next one after a wait."""
        self.call_started_us = now_us
        return [self._watch() if self.version else self._list()]

    on_wake = start

    def on_page(self, now_us: int, page: SliceList) -> list[Action]:
        """Take in a page of the list."""
        self.pages += page.items or []
        if page.metadata.more:
            self.call_started_us = now_us
            return [self._list(page.metadata.more)]
        found, self.pages = self.pages, []
        self.version, self.uses_pages = page.metadata.resource_version, True
        if not self.version:
            return [Replace(found), *self._retry(now_us, Failure("a list without a resourceVersion"))]
        self.call_started_us = now_us
        return [Replace(found), self._watch()]

    def on_event(self, now_us: int, event: WatchEvent) -> list[Action]:
        """Take in an event of the watch."""
        if event.status is not None:
            if event.status.code == HTTP_GONE:
                return self._relist_after_expiry(now_us)
            return self._retry(now_us, Failure(event.status.message or event.status.reason, event.status.code))
        self.version = event.resource_version or self.version
        if event.slice is None:
            return []
        return [Delete(event.slice) if event.kind is EventKind.DELETED else Apply(event.slice)]

    def on_watch_end(self, now_us: int) -> list[Action]:
        """Take in the regular end of a watch."""
        if now_us - self.call_started_us >= HEALTHY_WATCH_US:
            self.failures = 0
            self.call_started_us = now_us
            return [self._watch()]
        return self._retry(now_us, Failure("the watch ended at once"))

    def on_failure(self, now_us: int, failure: Failure) -> list[Action]:
        """Take in the failure of a call."""
        if failure.status == HTTP_GONE:
            return self._relist_after_expiry(now_us)
        if now_us - self.call_started_us >= HEALTHY_WATCH_US and self.version:
            self.failures = 0
        return self._retry(now_us, failure)

    def _relist_after_expiry(self, now_us: int) -> list[Action]:
        """List again, as the version of a watch or page was compacted: at once, since a drain may have been missed, but
        not repeatedly."""
        listing = bool(self.pages) or not self.version
        self.uses_pages = self.uses_pages and not listing
        self.version, self.pages = "", []
        repeatedly, self.has_expired = self.has_expired and now_us - self.call_started_us < HEALTHY_WATCH_US, True
        if repeatedly:
            return self._retry(now_us, Failure("expired repeatedly", HTTP_GONE))
        self.call_started_us = now_us
        return [Problem("version expired; listing again"), self._list()]

    def _retry(self, now_us: int, failure: Failure) -> list[Action]:
        """Return a wait with exponential backoff and jitter, as all sidecars lose a server at the same moment."""
        self.pages = []
        self.failures += 1
        max_us = min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2 ** min(self.failures - 1, 20))
        backoff_us = int(max_us * (0.5 + self.random.random() / 2))
        if failure.retry_after_s is not None:
            backoff_us += min(MAX_RETRY_AFTER_US, failure.retry_after_s * 1_000_000)
        status = f"{failure.status}: " if failure.status else ""
        return [Problem(f"{status}{failure.reason}; retry in {backoff_us / 1e6:.1f} s"), Wait(now_us + backoff_us)]

    def _list(self, more: str = "") -> Call:
        query = list_query(self.service, PAGE_SIZE if self.uses_pages else None, more)
        return Call(f"{self.path}?{urlencode(query)}", CallKind.LIST)

    def _watch(self) -> Call:
        query = watch_query(self.service, self.version, self.watch_s)
        return Call(f"{self.path}?{urlencode(query)}", CallKind.WATCH)
