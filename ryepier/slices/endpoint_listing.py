"""Turns merged endpoints into upstreams of the decision module: assigns ids, damps flapping, tracks restarts.

Draining is published at once; only the return to readiness is delayed. Times are whole microseconds on the caller's
clock. No I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ryepier.balancer.interface import Upstream, UpstreamState
from ryepier.conf.operator_settings import FailureDomainScope
from ryepier.slices.endpoint_slice_merger import MergedEndpoint, is_address

READY, DRAINING, REMOVED = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.REMOVED

MAX_DELAY_DOUBLINGS = 5  # the delay doubles with each flap, up to this many times
FLAP_RESET_US = 60_000_000  # time since the last return to readiness after which earlier flaps no longer count
MIN_RESTART_US = 2_000_000  # least time that a container needs to restart; being unready for less is no restart
MAX_REMEMBERED_IDENTITIES = 20_000  # removed pods that are remembered, so that a move between slices is no restart


class ListedEntry(NamedTuple):
    """An upstream to publish, with its address."""

    upstream: Upstream
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class ListingRules:
    """How one sidecar derives its upstreams from endpoints."""

    zones: list[str]  # an upstream's zone is an index into this list, or its length if the zone is not in it
    unknown_kind: int  # index of the kind given to all upstreams, as slices don't contain it
    failure_domain_scope: FailureDomainScope = FailureDomainScope.ENDPOINT
    settle_us: int = 3_000_000  # how long an endpoint must be ready again before it is published as ready


@dataclass(slots=True)
class _ListedEndpoint:
    """Publication state of an endpoint that is or was listed."""

    upstream_id: int
    endpoint: MergedEndpoint
    published_state: UpstreamState
    started_at_us: int  # when its process started; 0 = long ago
    unready_since_us: int = 0  # 0 while it is published as ready
    ready_since_us: int = 0  # when the slices last reported it as ready again
    flap_count: int = 0  # recent returns to readiness; each one after the first doubles the delay

    def publish_at_us(self, settle_us: int) -> int:
        """Return the time at which an endpoint that is ready again may be published as ready."""
        return self.ready_since_us + (settle_us << min(self.flap_count - 1, MAX_DELAY_DOUBLINGS))


class EndpointListing:
    """The endpoints and the states in which they were last published."""

    def __init__(self, rules: ListingRules) -> None:
        """Start without endpoints; those added before `take_complete_list` count as started long ago."""
        self.rules = rules
        self.endpoints: dict[str, _ListedEndpoint] = {}
        self.removed_endpoints: OrderedDict[str, _ListedEndpoint] = OrderedDict()
        self.settling_identities: set[str] = set()  # identities that are ready again but not yet published as ready
        self.failure_domains: dict[str, int] = {}
        self.last_upstream_id = 0
        self.has_complete_list = False  # whether a complete list has been published

    def update(self, now_us: int, changes: Mapping[str, MergedEndpoint | None]) -> list[ListedEntry]:
        """Apply changes of the merger, where None removes an endpoint. Returns the entries to publish."""
        entries = []
        for identity, endpoint in changes.items():
            entry = self._remove(identity) if endpoint is None else self._change(now_us, identity, endpoint)
            if entry is not None:
                entries.append(entry)
        return entries + self._publish_settled(now_us)

    def take_complete_list(self) -> list[ListedEntry]:
        """Return all entries. From now on, new endpoints count as started when they are added."""
        self.has_complete_list = True
        return [self._make_entry(listed_endpoint) for listed_endpoint in self.endpoints.values()]

    @property
    def next_due_at_us(self) -> int | None:
        """When the next endpoint that is ready again is due to be published; None if there is none."""
        return min(
            (self.endpoints[identity].publish_at_us(self.rules.settle_us) for identity in self.settling_identities),
            default=None,
        )

    def upstream_ids(self) -> dict[str, int]:
        """Return the upstream ids of the listed endpoints by identity."""
        return {identity: listed_endpoint.upstream_id for identity, listed_endpoint in self.endpoints.items()}

    def _remove(self, identity: str) -> ListedEntry | None:
        listed_endpoint = self.endpoints.pop(identity, None)
        self.settling_identities.discard(identity)
        if listed_endpoint is None:
            return None
        listed_endpoint.published_state = REMOVED
        if not is_address(identity):  # another process may reuse an address, but never a pod's uid
            self.removed_endpoints[identity] = listed_endpoint
        while len(self.removed_endpoints) > MAX_REMEMBERED_IDENTITIES:
            self.removed_endpoints.popitem(last=False)
        return self._make_entry(listed_endpoint)

    def _change(self, now_us: int, identity: str, endpoint: MergedEndpoint) -> ListedEntry | None:
        listed_endpoint = self.endpoints.get(identity)
        if listed_endpoint is None:
            return self._add(now_us, identity, endpoint)
        address_changed = listed_endpoint.endpoint.address != endpoint.address
        previous_state, listed_endpoint.endpoint = listed_endpoint.endpoint.state, endpoint
        if endpoint.state is DRAINING:
            self.settling_identities.discard(identity)
            listed_endpoint.unready_since_us = listed_endpoint.unready_since_us or now_us
            if listed_endpoint.published_state is DRAINING and not address_changed:
                return None
            listed_endpoint.published_state = DRAINING
            return self._make_entry(listed_endpoint)
        if previous_state is DRAINING:
            self._on_ready_again(now_us, identity, listed_endpoint)
            return None
        return self._make_entry(listed_endpoint) if listed_endpoint.published_state is READY else None

    def _add(self, now_us: int, identity: str, endpoint: MergedEndpoint) -> ListedEntry:
        listed_endpoint = self.removed_endpoints.pop(identity, None)
        if listed_endpoint is None:
            self.last_upstream_id += 1
            # endpoints of the first complete list are assumed to have started long ago, later ones when they appear
            listed_endpoint = _ListedEndpoint(
                self.last_upstream_id, endpoint, endpoint.state, now_us if self.has_complete_list else 0
            )
        was_draining = listed_endpoint.endpoint.state is DRAINING
        listed_endpoint.endpoint, listed_endpoint.published_state = endpoint, endpoint.state
        self.endpoints[identity] = listed_endpoint
        if endpoint.state is DRAINING:
            listed_endpoint.unready_since_us = listed_endpoint.unready_since_us or now_us
        elif was_draining:
            listed_endpoint.published_state = DRAINING
            self._on_ready_again(now_us, identity, listed_endpoint)
        return self._make_entry(listed_endpoint)

    def _on_ready_again(self, now_us: int, identity: str, listed_endpoint: _ListedEndpoint) -> None:
        """Record that an endpoint is ready again; it is published as ready only after the settle time."""
        if listed_endpoint.ready_since_us and now_us - listed_endpoint.ready_since_us > FLAP_RESET_US:
            listed_endpoint.flap_count = 0
        listed_endpoint.flap_count += 1
        listed_endpoint.ready_since_us = now_us
        if now_us - listed_endpoint.unready_since_us >= MIN_RESTART_US:
            listed_endpoint.started_at_us = now_us
        self.settling_identities.add(identity)

    def _publish_settled(self, now_us: int) -> list[ListedEntry]:
        settled_entries = []
        for identity in [
            candidate
            for candidate in sorted(self.settling_identities)
            if self.endpoints[candidate].publish_at_us(self.rules.settle_us) <= now_us
        ]:
            self.settling_identities.discard(identity)
            listed_endpoint = self.endpoints[identity]
            listed_endpoint.published_state, listed_endpoint.unready_since_us = READY, 0
            settled_entries.append(self._make_entry(listed_endpoint))
        return settled_entries

    def _make_entry(self, listed_endpoint: _ListedEndpoint) -> ListedEntry:
        zones = self.rules.zones
        endpoint = listed_endpoint.endpoint
        zone = zones.index(endpoint.zone) if endpoint.zone in zones else len(zones)
        upstream = Upstream(
            id=listed_endpoint.upstream_id,
            state=listed_endpoint.published_state,
            zone=zone,
            kind=self.rules.unknown_kind,
            failure_domain=self._failure_domain(listed_endpoint),
            started_at_us=listed_endpoint.started_at_us,
        )
        return ListedEntry(upstream, endpoint.address)

    def _failure_domain(self, listed_endpoint: _ListedEndpoint) -> int:
        """Return the number of an endpoint's failure domain.

        If two converters shared a domain by mistake, a request could be executed twice. So a converter without a known
        node gets a domain of its own, with a negative number, which no node has.
        """
        node = listed_endpoint.endpoint.node
        if self.rules.failure_domain_scope is FailureDomainScope.ENDPOINT or not node:
            return -listed_endpoint.upstream_id
        return self.failure_domains.setdefault(node, len(self.failure_domains))
