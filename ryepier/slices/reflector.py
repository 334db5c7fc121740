"""List and watch as the Kubernetes API prescribes, without sockets, clocks or a random source of its own.

The caller reports the results of a call (`on_page`, `on_event`, `on_failure`, `on_watch_end`, `on_wake`). Each method
returns actions to execute: the next `Call`, or a `Wait` before it, and changes (`Replace`, `Apply`, `Delete`). At most
one call is in flight.

Lists are requested without a resourceVersion to get the newest state. A list from the server's cache may be older than
the state observed before, and show a draining converter as ready.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random
from urllib.parse import quote, urlencode

from ryepier.slices.api_objects import EventKind, Slice, SliceList, WatchEvent, list_query, watch_query

PAGE_SIZE = 50  # slices; with 100 endpoints each, a page has about 2 MB
FIRST_BACKOFF_US = 200_000
MAX_BACKOFF_US = 10_000_000
MAX_RETRY_AFTER_US = 60_000_000  # a longer Retry-After is reduced to this
HEALTHY_WATCH_US = 5_000_000  # a watch that lasted at least this long counts as successful: its end resets the backoff
HTTP_GONE = 410


class CallKind(enum.Enum):
    """Determines how the response to a call is read."""

    LIST = enum.auto()  # one page, read completely
    WATCH = enum.auto()  # events, read one by one as they arrive


@dataclass(frozen=True, slots=True)
class Call:
    """Send a GET request."""

    target: str
    kind: CallKind


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing before `until_us`."""

    until_us: int


@dataclass(frozen=True, slots=True)
class Replace:
    """Replace all slices by a complete list."""

    slices: list[Slice]


@dataclass(frozen=True, slots=True)
class Apply:
    """Add or change a slice."""

    endpoint_slice: Slice


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete a slice."""

    endpoint_slice: Slice


@dataclass(frozen=True, slots=True)
class Problem:
    """Log a problem."""

    reason: str


Action = Call | Wait | Replace | Apply | Delete | Problem


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a call failed. `status` is the HTTP status, or 0 if there was no response."""

    reason: str
    status: int = 0
    retry_after_s: int | None = None


class Reflector:
    """Follows the slices of one service by list and watch."""

    def __init__(self, namespace: str, service: str, random: Random, watch_s: int = 60) -> None:
        """Start without a resource version, so that the first call is a list; each watch lasts `watch_s` seconds."""
        self.path = f"/apis/discovery.k8s.io/v1/namespaces/{quote(namespace, safe='')}/endpointslices"
        self.service = service
        self.random = random
        self.watch_s = watch_s
        self.resource_version = ""  # version from which the next watch starts; if empty, a list comes first
        self.received_slices: list[Slice] = []  # slices of the pages received so far
        # Turned off when a page expires: a paged list never completes if it takes longer than the server keeps pages.
        self.uses_paging = True
        self.consecutive_failure_count = 0
        self.call_started_at_us = 0
        self.has_expired_before = False  # whether a resource version has expired before

    def start(self, now_us: int) -> list[Action]:
        """Return the first call, or the next call after a wait."""
        self.call_started_at_us = now_us
        return [self._watch() if self.resource_version else self._list()]

    on_wake = start

    def on_page(self, now_us: int, page: SliceList) -> list[Action]:
        """Handle a page of the list: request the next page, or replace all slices and start a watch."""
        self.received_slices += page.items or []
        if page.metadata.continue_token:
            self.call_started_at_us = now_us
            return [self._list(page.metadata.continue_token)]
        listed_slices, self.received_slices = self.received_slices, []
        self.resource_version, self.uses_paging = page.metadata.resource_version, True
        if not self.resource_version:
            return [Replace(listed_slices), *self._retry(now_us, Failure("list has no resourceVersion"))]
        self.call_started_at_us = now_us
        return [Replace(listed_slices), self._watch()]

    def on_event(self, now_us: int, event: WatchEvent) -> list[Action]:
        """Handle an event of the watch. An error event ends the watch."""
        if event.status is not None:
            if event.status.code == HTTP_GONE:
                return self._relist_after_expiry(now_us)
            return self._retry(now_us, Failure(event.status.message or event.status.reason, event.status.code))
        self.resource_version = event.resource_version or self.resource_version
        if event.slice is None:
            return []
        return [Delete(event.slice) if event.kind is EventKind.DELETED else Apply(event.slice)]

    def on_watch_end(self, now_us: int) -> list[Action]:
        """Handle the regular end of a watch."""
        if now_us - self.call_started_at_us >= HEALTHY_WATCH_US:
            self.consecutive_failure_count = 0
            self.call_started_at_us = now_us
            return [self._watch()]
        return self._retry(now_us, Failure("watch ended too early"))

    def on_failure(self, now_us: int, failure: Failure) -> list[Action]:
        """Handle the failure of a call."""
        if failure.status == HTTP_GONE:
            return self._relist_after_expiry(now_us)
        if now_us - self.call_started_at_us >= HEALTHY_WATCH_US and self.resource_version:
            self.consecutive_failure_count = 0
        return self._retry(now_us, failure)

    def _relist_after_expiry(self, now_us: int) -> list[Action]:
        """List again, as the server has compacted the resource version of the watch or page. This happens at once,
        since a drain may have been missed, but with backoff if the version expires again shortly after."""
        was_listing = bool(self.received_slices) or not self.resource_version
        self.uses_paging = self.uses_paging and not was_listing
        self.resource_version, self.received_slices = "", []
        expired_again, self.has_expired_before = (
            self.has_expired_before and now_us - self.call_started_at_us < HEALTHY_WATCH_US,
            True,
        )
        if expired_again:
            return self._retry(now_us, Failure("resource version expired again", HTTP_GONE))
        self.call_started_at_us = now_us
        return [Problem("resource version expired; listing again"), self._list()]

    def _retry(self, now_us: int, failure: Failure) -> list[Action]:
        """Return a wait with exponential backoff. The jitter spreads the retries of all sidecars, which lose a server
        at the same moment."""
        self.received_slices = []
        self.consecutive_failure_count += 1
        max_backoff_us = min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2 ** min(self.consecutive_failure_count - 1, 20))
        backoff_us = int(max_backoff_us * (0.5 + self.random.random() / 2))
        if failure.retry_after_s is not None:
            backoff_us += min(MAX_RETRY_AFTER_US, failure.retry_after_s * 1_000_000)
        status = f"{failure.status}: " if failure.status else ""
        return [Problem(f"{status}{failure.reason}; retry in {backoff_us / 1e6:.1f} s"), Wait(now_us + backoff_us)]

    def _list(self, continue_token: str = "") -> Call:
        query = list_query(self.service, PAGE_SIZE if self.uses_paging else None, continue_token)
        return Call(f"{self.path}?{urlencode(query)}", CallKind.LIST)

    def _watch(self) -> Call:
        query = watch_query(self.service, self.resource_version, self.watch_s)
        return Call(f"{self.path}?{urlencode(query)}", CallKind.WATCH)
