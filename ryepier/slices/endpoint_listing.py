"""Turns merged endpoints into the module's entries: numbers, damped readiness, and the start of a warm-up.

Pure. Draining is published at once; only becoming ready again is delayed. Times are whole microseconds on the caller's
clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ryepier.balancer.interface import Upstream, UpstreamState
from ryepier.conf.operator_settings import FailureDomainBy
from ryepier.slices.endpoint_slice_merger import MergedEndpoint, is_address

READY, DRAINING, REMOVED = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.REMOVED

MAX_DELAY_DOUBLINGS = 5  # one for each flap
FLAP_RESET_US = 60_000_000  # of readiness, after which earlier flaps do not count
MIN_RESTART_US = 2_000_000  # a container that was not ready for less can't have restarted
MAX_REMEMBERED_IDENTITIES = 20_000  # identities remembered, so that a move between slices is no restart


class ListedEntry(NamedTuple):
    """An entry of the list to publish, with its address."""

    upstream: Upstream
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class ListingRules:
    """How the list is read for one sidecar."""

    zones: list[str]
    unknown_kind: int  # slices don't have a converter's kind
    failure_domain_by: FailureDomainBy = FailureDomainBy.ENDPOINT
    settle_us: int = 3_000_000  # of readiness, before an endpoint that was not ready is published


@dataclass(slots=True)
class _ListedEndpoint:
    """One identity that is or was listed."""

    upstream_id: int
    endpoint: MergedEndpoint
    published: UpstreamState
    started_us: int  # 0 = long ago
    unready_since_us: int = 0  # 0 = it is ready
    ready_since_us: int = 0  # by the slices
    flaps: int = 0

    def publish_at_us(self, settle_us: int) -> int:
        """Return when an endpoint that is ready again may be published."""
        return self.ready_since_us + (settle_us << min(self.flaps - 1, MAX_DELAY_DOUBLINGS))


class EndpointListing:
    """The endpoints as they were published."""

    def __init__(self, rules: ListingRules) -> None:
        """Start empty."""
        self.rules = rules
        self.known: dict[str, _ListedEndpoint] = {}
        self.removed: OrderedDict[str, _ListedEndpoint] = OrderedDict()
        self.waiting: set[str] = set()  # ready again, not published yet
        self.failure_domains: dict[str, int] = {}
        self.last_id = 0
        self.listed = False  # a complete list has been published

    def update(self, now_us: int, changes: Mapping[str, MergedEndpoint | None]) -> list[ListedEntry]:
        """Apply changes of the merger. Returns the entries to publish."""
        entries = []
        for identity, endpoint in changes.items():
            entry = self._remove(identity) if endpoint is None else self._change(now_us, identity, endpoint)
            if entry is not None:
                entries.append(entry)
        return entries + self._settled(now_us)

    def complete_list(self) -> list[ListedEntry]:
        """Return all entries. From now on, a new endpoint counts as started just now."""
        self.listed = True
        return [self._entry(known) for known in self.known.values()]

    @property
    def next_us(self) -> int | None:
        """When the next endpoint is to be published."""
        return min(
            (self.known[identity].publish_at_us(self.rules.settle_us) for identity in self.waiting), default=None
        )

    def upstream_ids(self) -> dict[str, int]:
        """Return the number of each listed identity."""
        return {identity: known.upstream_id for identity, known in self.known.items()}

    def _remove(self, identity: str) -> ListedEntry | None:
        known = self.known.pop(identity, None)
        self.waiting.discard(identity)
        if known is None:
            return None
        known.published = REMOVED
        if not is_address(identity):  # an address may be reused by another process, a pod's uid never
            self.removed[identity] = known
        while len(self.removed) > MAX_REMEMBERED_IDENTITIES:
            self.removed.popitem(last=False)
        return self._entry(known)

    def _change(self, now_us: int, identity: str, endpoint: MergedEndpoint) -> ListedEntry | None:
        known = self.known.get(identity)
        if known is None:
            return self._add(now_us, identity, endpoint)
        moved = known.endpoint.address != endpoint.address
        previous, known.endpoint = known.endpoint.state, endpoint
        if endpoint.state is DRAINING:
            self.waiting.discard(identity)
            known.unready_since_us = known.unready_since_us or now_us
            if known.published is DRAINING and not moved:
                return None
            known.published = DRAINING
            return self._entry(known)
        if previous is DRAINING:
            self._on_ready_again(now_us, identity, known)
            return None
        return self._entry(known) if known.published is READY else None

    def _add(self, now_us: int, identity: str, endpoint: MergedEndpoint) -> ListedEntry:
        known = self.removed.pop(identity, None)
        if known is None:
            self.last_id += 1
            # endpoints of the first complete list are assumed to have started long ago, later ones just now
            known = _ListedEndpoint(self.last_id, endpoint, endpoint.state, now_us if self.listed else 0)
        was_draining = known.endpoint.state is DRAINING
        known.endpoint, known.published = endpoint, endpoint.state
        self.known[identity] = known
        if endpoint.state is DRAINING:
            known.unready_since_us = known.unready_since_us or now_us
        elif was_draining:
            known.published = DRAINING
            self._on_ready_again(now_us, identity, known)
        return self._entry(known)

    def _on_ready_again(self, now_us: int, identity: str, known: _ListedEndpoint) -> None:
        """Note an endpoint that is ready again: it has to last before it is published."""
        if known.ready_since_us and now_us - known.ready_since_us > FLAP_RESET_US:
            known.flaps = 0
        known.flaps += 1
        known.ready_since_us = now_us
        if now_us - known.unready_since_us >= MIN_RESTART_US:
            known.started_us = now_us
        self.waiting.add(identity)

    def _settled(self, now_us: int) -> list[ListedEntry]:
        settled = []
        for identity in [
            one for one in sorted(self.waiting) if self.known[one].publish_at_us(self.rules.settle_us) <= now_us
        ]:
            self.waiting.discard(identity)
            known = self.known[identity]
            known.published, known.unready_since_us = READY, 0
            settled.append(self._entry(known))
        return settled

    def _entry(self, known: _ListedEndpoint) -> ListedEntry:
        zones = self.rules.zones
        endpoint = known.endpoint
        zone = zones.index(endpoint.zone) if endpoint.zone in zones else len(zones)
        upstream = Upstream(
            id=known.upstream_id,
            state=known.published,
            zone=zone,
            kind=self.rules.unknown_kind,
            failure_domain=self._failure_domain(known),
            started_us=known.started_us,
        )
        return ListedEntry(upstream, endpoint.address)

    def _failure_domain(self, known: _ListedEndpoint) -> int:
        """Return the failure domain. Two converters wrongly in one would let a request run twice: without a node each
        has its own, with a number that no node has."""
        node = known.endpoint.node
        if self.rules.failure_domain_by is FailureDomainBy.ENDPOINT or not node:
            return -known.upstream_id
        return self.failure_domains.setdefault(node, len(self.failure_domains))
