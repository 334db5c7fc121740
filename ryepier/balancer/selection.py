"""Selection of an upstream: a weighted random choice among those that have a free slot."""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from ryepier.balancer.estimates import RequestEstimates
from ryepier.balancer.membership import Membership
from ryepier.balancer.outlier_detection import OutlierDetector
from ryepier.balancer.pool import UpstreamPool
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.tuning import (
    MAX_COST_WHILE_WARMING,
    MAX_UPSTREAMS_PER_EVENT,
    REJECTION_TOLERANCE,
    UNANSWERED_TOLERANCE,
)
from ryepier.balancer.upstream import ClassHealth, PendingRequest, TrackedUpstream


class Candidate(NamedTuple):
    """An upstream that a request may be sent to, with its weight in the selection."""

    upstream: TrackedUpstream
    weight: float


class Selector:
    """Selects the upstream of an attempt among the listed ones that `RetryPolicy` permits."""

    def __init__(
        self,
        membership: Membership,
        retries: RetryPolicy,
        outliers: OutlierDetector,
        estimates: RequestEstimates,
        random: Random,
    ) -> None:
        """Create the selector of one balancer; all arguments must belong to that balancer."""
        self.membership = membership
        self.retries = retries
        self.outliers = outliers
        self.estimates = estimates
        self.random = random

    def select(self, request: PendingRequest, now_us: int) -> TrackedUpstream | None:
        """Return a randomly selected upstream with a free slot, or None.

        Upstreams in the subset are preferred. If cross-zone traffic has a fee, a request goes to another zone
        only if the sidecar's own zone has no slot for it or does not admit it.
        """
        if not self.retries.may_send(request, now_us):
            return None
        ejections_apply = self.outliers.class_ejections_apply(request.event.class_index, now_us)
        for pool in self.membership.pools_in_use:
            candidates = self._candidates_of_pool(pool, request, ejections_apply, now_us)
            if candidates:
                weights = [candidate.weight for candidate in candidates]
                return self.random.choices(candidates, weights)[0].upstream
        return None

    def _candidates_of_pool(
        self, pool: UpstreamPool, request: PendingRequest, ejections_apply: bool, now_us: int
    ) -> list[Candidate]:
        """Return the candidates of a pool for a request; only warming ones if the pool does not admit it.

        Warming upstreams are candidates even outside the subset. Otherwise an upstream in no sidecar's subset
        would be idle while it warms up. Admission does not apply to them, as slow-start credit limits their
        traffic, and the sidecars together have to use it up. An expensive request has the work of many
        requests, and is not sent to them unless all upstreams are warming.
        """
        slow_start = pool.slow_start
        is_expensive = self.estimates.relative_cost(request.event) > MAX_COST_WHILE_WARMING
        excludes_warming = is_expensive and not self._all_are_warming(pool, now_us)
        warming_upstreams = [] if excludes_warming else self._usable_warming(pool, request, now_us)
        if pool.admission.credit < 1.0:
            return self.candidates_with_free_slots(request, warming_upstreams, ejections_apply, now_us)
        subset = pool.subset
        warm_members = subset.warm_members(slow_start, now_us)
        candidates = self.candidates_with_free_slots(
            request, [*warm_members, *warming_upstreams], ejections_apply, now_us
        )
        if not candidates or len(subset.members) < subset.wanted_size(pool.admission.send_rate):
            # Only in this case are upstreams outside the subset considered. Sidecars that are connected to
            # every upstream would exhaust the upstreams' connections.
            outside_subset = [
                upstream
                for upstream in self._next_in_scope(pool, request)
                if upstream not in subset.members
                and not (excludes_warming and slow_start.is_warming(upstream.entry, now_us))
            ]
            candidates = (
                self.candidates_with_free_slots(request, outside_subset, ejections_apply, now_us)
                or candidates
            )
        return candidates

    def _all_are_warming(self, pool: UpstreamPool, now_us: int) -> bool:
        """Return whether all listed upstreams are in a pool and warm up."""
        slow_start = pool.slow_start
        return len(slow_start.warming) >= len(self.membership.by_id) and not slow_start.is_outdated(now_us)

    def _usable_warming(
        self, pool: UpstreamPool, request: PendingRequest, now_us: int
    ) -> list[TrackedUpstream]:
        """Return warming upstreams of a pool that may have credit for a request, in the order listed."""
        slow_start = pool.slow_start
        if self.retries.scope_attempt(request) is None:
            upstreams = slow_start.next_with_credit()
        else:
            upstreams = self._next_in_scope(pool, request)
        return [upstream for upstream in upstreams if slow_start.is_warming(upstream.entry, now_us)]

    def _next_in_scope(self, pool: UpstreamPool, request: PendingRequest) -> list[TrackedUpstream]:
        """Return the upstreams of a pool that a request may be sent to, in the order listed; if there are
        many, the next part of them."""
        scope_attempt = self.retries.scope_attempt(request)
        if scope_attempt is None:
            in_scope = pool.listed
        else:
            in_scope = pool.in_scope(request.request_class.idempotency_scope, scope_attempt.entry)
        upstreams = in_scope.next_batch(MAX_UPSTREAMS_PER_EVENT)
        return sorted(upstreams, key=lambda upstream: upstream.position)

    def candidates_with_free_slots(
        self,
        request: PendingRequest,
        upstreams: Iterable[TrackedUpstream],
        ejections_apply: bool,
        now_us: int,
    ) -> list[Candidate]:
        """Return the upstreams with a free slot for a request, each with its weight. Upstreams that the
        request was already sent to are only returned if there are no others."""
        class_index = request.event.class_index
        scope_attempt = self.retries.scope_attempt(request)
        planned_ejections_apply = self.membership.planned_ejections_apply
        candidates = []
        limit_of, weight_of = self.concurrency_limit, self._weight
        for upstream in upstreams:
            free_slots = limit_of(upstream, now_us) - upstream.in_flight
            if free_slots <= 0 or (
                scope_attempt is not None and not self.retries.in_scope(scope_attempt, upstream)
            ):
                continue
            health = upstream.by_class[class_index]
            if ejections_apply and now_us < health.ejected_until_us:
                continue
            if planned_ejections_apply and upstream.advice.ejected:
                continue
            candidates.append(Candidate(upstream, weight_of(upstream, health, free_slots)))
        tried_upstreams = [attempt.upstream for attempt in request.attempts]
        return [
            candidate for candidate in candidates if candidate.upstream not in tried_upstreams
        ] or candidates

    @staticmethod
    def _weight(upstream: TrackedUpstream, health: ClassHealth, free_slots: int) -> float:
        """Return the weight of an upstream, from its free slots, its latency, its unanswered and rejected
        attempts of the class, and the plan."""
        unanswered_penalty = 1.0 + health.unanswered_share / UNANSWERED_TOLERANCE
        rejection_penalty = 1.0 + health.rejection_share / REJECTION_TOLERANCE
        weight = free_slots / (upstream.latency_ratio * unanswered_penalty) ** 2
        return weight * upstream.advice.weight / rejection_penalty

    def concurrency_limit(self, upstream: TrackedUpstream, now_us: int) -> int:
        """Return how many attempts an upstream may have in flight now, limited by ejection, slow start and
        the plan."""
        if now_us < upstream.ejected_until_us:
            return 0
        limit = max(1, int(upstream.concurrency.limit))
        if upstream.entry.started_at_us:
            slow_start = self.membership.pool_of(upstream).slow_start
            if slow_start.is_warming(upstream.entry, now_us):
                if upstream.slow_start_credit < 0.0:
                    return 0
                limit = 1
        planned_limit = upstream.advice.concurrency_limit
        return min(limit, planned_limit) if planned_limit > 0 else limit
