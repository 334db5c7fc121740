"""List and watch, as the published API asks of its clients, without sockets, clocks or randomness of its own.

What happened to a call goes in (`page`, `event`, `failed`, `ended`, `woken`), and what is to be done comes out: the
next `Call`, or a `Wait` before one, and what the call brought (`Replace`, `Apply`, `Delete`). Never more than one call
is out.

The list is asked for without a resourceVersion, so that it is the newest there is: one out of a cache may be older than
what was seen before, and show a converter that drains as ready.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Literal
from urllib.parse import quote, urlencode

from ryepier.slices.objects import Slice, SliceList, WatchEvent

SERVICE_LABEL = "kubernetes.io/service-name"
PAGE = 50  # slices: of 100 endpoints each, about 2 MB
FIRST_BACKOFF_US = 200_000
LONGEST_BACKOFF_US = 10_000_000
LONGEST_ADVICE_US = 60_000_000  # a Retry-After beyond is not believed
STEADY_US = 5_000_000  # a watch that lasted for so long was well, and its end is no failure
GONE = 410


@dataclass(frozen=True, slots=True)
class Call:
    """A GET that is to be made; `kind` says how its answer is to be read."""

    target: str
    kind: Literal["list", "watch"]


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be done before this."""

    until_us: int


@dataclass(frozen=True, slots=True)
class Replace:
    """The whole list."""

    slices: list[Slice]


@dataclass(frozen=True, slots=True)
class Apply:
    found: Slice


@dataclass(frozen=True, slots=True)
class Delete:
    found: Slice


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that whoever watches the cluster should hear of."""

    why: str


Action = Call | Wait | Replace | Apply | Delete | Trouble


@dataclass(frozen=True, slots=True)
class Failure:
    """How a call failed: `status` of the answer, 0 where there was none."""

    why: str
    status: int = 0
    retry_after_s: int | None = None


class Reflector:
    """Follows the slices of one service."""

    def __init__(self, namespace: str, service: str, random: Random, watch_s: int = 60) -> None:
        self.path = f"/apis/discovery.k8s.io/v1/namespaces/{quote(namespace, safe='')}/endpointslices"
        self.selector = f"{SERVICE_LABEL}={service}"
        self.random = random
        self.watch_s = watch_s
        self.version = ""  # where the next watch begins; empty: list first
        self.pages: list[Slice] = []
        self.paged = True  # hazard: a list longer than the server keeps its pages for would never come whole
        self.failures = 0
        self.called_us = 0
        self.expired = False  # the last list was asked for because the watch's place had been compacted away

    def begin(self, now_us: int) -> list[Action]:
        """The first call, or the next after a wait."""
        self.called_us = now_us
        return [self._watch() if self.version else self._list()]

    woken = begin

    def page(self, now_us: int, page: SliceList) -> list[Action]:
        """A page of the list has come whole."""
        self.pages += page.items or []
        if page.metadata.more:
            self.called_us = now_us
            return [self._list(page.metadata.more)]
        found, self.pages = self.pages, []
        self.version, self.paged = page.metadata.resource_version, True
        if not self.version:
            return [Replace(found), *self._again(now_us, Failure("a list without a resourceVersion"))]
        self.called_us = now_us
        return [Replace(found), self._watch()]

    def event(self, now_us: int, event: WatchEvent) -> list[Action]:
        """A line of the watch."""
        if event.status is not None:
            if event.status.code == GONE:
                return self._expired(now_us)
            return self._again(now_us, Failure(event.status.message or event.status.reason, event.status.code))
        self.version = event.resource_version or self.version
        if event.slice is None:
            return []
        return [Delete(event.slice) if event.kind == "DELETED" else Apply(event.slice)]

    def ended(self, now_us: int) -> list[Action]:
        """The watch has ended as the API ends it, when its time is out."""
        if now_us - self.called_us >= STEADY_US:
            self.failures = 0
            self.called_us = now_us
            return [self._watch()]
        return self._again(now_us, Failure("the watch ended at once"))

    def failed(self, now_us: int, failure: Failure) -> list[Action]:
        """The call brought nothing, or broke off."""
        if failure.status == GONE:
            return self._expired(now_us)
        if now_us - self.called_us >= STEADY_US and self.version:
            self.failures = 0
        return self._again(now_us, failure)

    def _expired(self, now_us: int) -> list[Action]:
        """The place of a watch, or of the next page, is not kept any more: the list is to be had anew. At once, as
        what was missed may be the drain of a converter; but not again and again."""
        listing = bool(self.pages) or not self.version
        self.paged = self.paged and not listing
        self.version, self.pages = "", []
        again, self.expired = self.expired and now_us - self.called_us < STEADY_US, True
        if again:
            return self._again(now_us, Failure("expired once more", GONE))
        self.called_us = now_us
        return [Trouble("what was to be read is not kept any more; the list is asked for anew"), self._list()]

    def _again(self, now_us: int, failure: Failure) -> list[Action]:
        """After a while that doubles and is drawn, as all sidecars lose a server at one moment."""
        self.pages = []
        self.failures += 1
        bound_us = min(LONGEST_BACKOFF_US, FIRST_BACKOFF_US * 2 ** min(self.failures - 1, 20))
        wait_us = int(bound_us * (0.5 + self.random.random() / 2))
        if failure.retry_after_s is not None:
            wait_us += min(LONGEST_ADVICE_US, failure.retry_after_s * 1_000_000)
        status = f"{failure.status}: " if failure.status else ""
        return [Trouble(f"{status}{failure.why}; again in {wait_us / 1e6:.1f} s"), Wait(now_us + wait_us)]

    def _list(self, more: str = "") -> Call:
        query = {"labelSelector": self.selector}
        if self.paged:
            query["limit"] = str(PAGE)
        if more:
            query["continue"] = more
        return Call(f"{self.path}?{urlencode(query)}", "list")

    def _watch(self) -> Call:
        query = {
            "labelSelector": self.selector,
            "watch": "true",
            "allowWatchBookmarks": "true",
            "resourceVersion": self.version,
            "timeoutSeconds": str(self.watch_s),
        }
        return Call(f"{self.path}?{urlencode(query)}", "watch")
