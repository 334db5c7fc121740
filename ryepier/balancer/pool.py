"""A group of upstreams whose admission, slow start and subset are controlled together."""

from typing import NamedTuple

from ryepier.balancer.admission import AdmissionRate
from ryepier.balancer.events import Upstream
from ryepier.balancer.rotating_set import RotatingSet
from ryepier.balancer.settings import IdempotencyScope, Settings
from ryepier.balancer.slow_start import SlowStart
from ryepier.balancer.subsetting import Subset
from ryepier.balancer.upstream import TrackedUpstream


class ScopeKey(NamedTuple):
    """Identifies a zone or a failure domain."""

    scope: IdempotencyScope
    number: int


def scope_key(scope: IdempotencyScope, entry: Upstream) -> ScopeKey:
    """Return the zone or failure domain of a list entry."""
    return ScopeKey(scope, entry.zone if scope is IdempotencyScope.ZONE else entry.failure_domain)


class UpstreamPool:
    """All upstreams or, if cross-zone traffic has a fee, those of the sidecar's zone or of all other
    zones."""

    def __init__(self, settings: Settings, now_us: int) -> None:
        """Start with full admission and no measurements at `now_us` (microseconds)."""
        self.admission = AdmissionRate(now_us)
        self.slow_start = SlowStart(settings, now_us)
        self.subset = Subset()
        self.fault_share = 0.0  # moving average of the share of attempts that were faults
        self.listed: RotatingSet[TrackedUpstream] = RotatingSet()
        # The listed upstreams by idempotency scope, for the scopes that repeats of some class are limited to
        self.listed_by_scope: dict[ScopeKey, RotatingSet[TrackedUpstream]] = {}
        scopes = {request_class.idempotency_scope for request_class in settings.classes}
        self.limited_scopes = scopes - {IdempotencyScope.ALL}

    def add(self, upstream: TrackedUpstream, now_us: int) -> None:
        """Add a listed upstream."""
        self.listed.add(upstream)
        self._join_scopes(upstream)
        self.slow_start.add(upstream, now_us)

    def remove(self, upstream: TrackedUpstream) -> None:
        """Remove an upstream that is no longer listed; it leaves the subset in `Subset.keep_listed`."""
        self.listed.discard(upstream)
        self._leave_scopes(upstream)
        self.slow_start.remove(upstream)

    def replace_entry(self, upstream: TrackedUpstream, entry: Upstream) -> None:
        """Give an upstream another list entry of the same start."""
        previous = upstream.entry
        has_moved = (entry.zone, entry.failure_domain) != (previous.zone, previous.failure_domain)
        if has_moved:
            self._leave_scopes(upstream)
        self.slow_start.replace_entry(upstream, entry)
        if has_moved:
            self._join_scopes(upstream)

    def in_scope(self, scope: IdempotencyScope, entry: Upstream) -> RotatingSet[TrackedUpstream]:
        """Return the listed upstreams in the same zone or failure domain as an entry."""
        return self.listed_by_scope.get(scope_key(scope, entry)) or RotatingSet()

    def _join_scopes(self, upstream: TrackedUpstream) -> None:
        for scope in self.limited_scopes:
            self.listed_by_scope.setdefault(scope_key(scope, upstream.entry), RotatingSet()).add(upstream)

    def _leave_scopes(self, upstream: TrackedUpstream) -> None:
        """Remove an upstream from its scopes, and drop those that are empty."""
        for scope in self.limited_scopes:
            key = scope_key(scope, upstream.entry)
            self.listed_by_scope[key].discard(upstream)
            if not self.listed_by_scope[key]:
                del self.listed_by_scope[key]
