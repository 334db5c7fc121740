"""Weighted random selection among the upstreams that have a free slot."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from ryepier.balancer.estimates import RequestEstimates
from ryepier.balancer.membership import Membership
from ryepier.balancer.outlier_detection import OutlierDetector
from ryepier.balancer.pool import UpstreamPool
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.tuning import MAX_COST_WHILE_WARMING, REJECTION_TOLERANCE, UNANSWERED_TOLERANCE
from ryepier.balancer.upstream import PendingRequest, TrackedUpstream


class Candidate(NamedTuple):
    """An upstream that a request may be sent to, with its weight in the selection."""

    upstream: TrackedUpstream
    weight: float


@dataclass(slots=True)
class Selector:
    """Chooses the upstream of an attempt among the listed ones, by the rules of `retries`."""

    membership: Membership
    retries: RetryPolicy
    outliers: OutlierDetector
    estimates: RequestEstimates
    random: Random

    def select(self, request: PendingRequest, now_us: int) -> TrackedUpstream | None:
        """Return an upstream with a free slot, at random, or None. The subset comes first, then any other; a
        request goes to the other zones only if this one has no slot for it or does not admit it."""
        if not self.retries.may_send(request, now_us):
            return None
        listed = self.membership.by_id.values()
        ejections_apply = self.outliers.class_ejections_apply(listed, request.event.class_index, now_us)
        for pool in self.membership.pools:
            candidates = self._candidates_of_pool(pool, request, ejections_apply, now_us)
            if candidates:
                weights = [candidate.weight for candidate in candidates]
                return self.random.choices(candidates, weights)[0].upstream
        return None

    def _candidates_of_pool(
        self, pool: UpstreamPool, request: PendingRequest, ejections_apply: bool, now_us: int
    ) -> list[Candidate]:
        """Warming upstreams are candidates also outside the subset: one that no sidecar uses would be idle
        while it warms up. Their share is small, limited by their credit, and all sidecars together have to
        give it to them, so it is not thinned. An expensive request, however, would be the work of many."""
        slow_start, subset = pool.slow_start, pool.subset.members
        warming = {up: None for up in slow_start.warming if slow_start.is_warming(up.entry, now_us)}
        too_expensive = self.estimates.relative_cost(request.event) > MAX_COST_WHILE_WARMING
        barred = warming if too_expensive and len(warming) < len(self.membership.by_id) else {}
        usable = [] if barred else [*warming]
        if pool.admission.credit < 1.0:
            return self.free_slots(request, usable, ejections_apply, now_us)
        warm = [up for up in subset if up not in warming]
        found = self.free_slots(request, [*warm, *usable], ejections_apply, now_us)
        if not found or len(subset) < pool.subset.wanted_size(pool.admission.send_rate):
            # Sidecars that are connected to every upstream would exhaust the upstreams' connections.
            others = [
                up
                for up in self.membership.by_id.values()
                if self.membership.pool_of(up) is pool and up not in subset and up not in barred
            ]
            found = self.free_slots(request, others, ejections_apply, now_us) or found
        return found

    def free_slots(
        self,
        request: PendingRequest,
        upstreams: Iterable[TrackedUpstream],
        ejections_apply: bool,
        now_us: int,
    ) -> list[Candidate]:
        """Return the upstreams with a free slot for a request, weighted by their free slots, latency,
        unanswered and rejected attempts, and the plan; if there are any, only those not tried before."""
        index, bound = request.event.class_index, self.retries.bound_to(request)
        planned_ejections_apply = self.membership.planned_ejections_apply
        found = []
        for upstream in upstreams:
            slots = self.concurrency_limit(upstream, now_us) - upstream.in_flight
            if slots <= 0 or (bound is not None and not self.retries.in_scope(bound, upstream)):
                continue
            health, advice = upstream.by_class[index], upstream.advice
            ejected = ejections_apply and now_us < health.ejected_until_us
            if ejected or (planned_ejections_apply and advice.ejected):
                continue
            unanswered = 1.0 + health.unanswered_share / UNANSWERED_TOLERANCE
            weight = slots / (upstream.latency_ratio * unanswered) ** 2
            weight *= advice.weight
            found.append(Candidate(upstream, weight / (1.0 + health.rejection_share / REJECTION_TOLERANCE)))
        tried = [attempt.upstream for attempt in request.attempts]
        return [candidate for candidate in found if candidate.upstream not in tried] or found

    def concurrency_limit(self, upstream: TrackedUpstream, now_us: int) -> int:
        """Return an upstream's current limit, with ejection, slow start and the plan's cap applied."""
        if now_us < upstream.ejected_until_us:
            return 0
        limit = max(1, int(upstream.concurrency.limit))
        slow_start = self.membership.pool_of(upstream).slow_start
        if upstream.entry.started_us and slow_start.is_warming(upstream.entry, now_us):
            if upstream.slow_start_credit < 0.0:
                return 0
            limit = 1
        cap = upstream.advice.concurrency_limit
        return min(limit, cap) if cap > 0 else limit
