"""Selection: a weighted random choice among the upstreams that have a free slot."""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from ryepier.balancer.estimates import RequestEstimates
from ryepier.balancer.membership import Membership
from ryepier.balancer.outlier_detection import OutlierDetector
from ryepier.balancer.pool import UpstreamPool
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.tuning import MAX_COST_WHILE_WARMING, REJECTION_TOLERANCE, UNANSWERED_TOLERANCE
from ryepier.balancer.upstream import ClassHealth, PendingRequest, TrackedUpstream


class Candidate(NamedTuple):
    """An upstream that a request may be sent to, with its weight in the selection."""

    upstream: TrackedUpstream
    weight: float


class Selector:
    """Chooses the upstream of an attempt among the listed ones, by the rules of `retries`."""

    def __init__(
        self,
        membership: Membership,
        retries: RetryPolicy,
        outliers: OutlierDetector,
        estimates: RequestEstimates,
        random: Random,
    ) -> None:
        """Select by the parts of one balancer, and draw from its generator."""
        self.membership = membership
        self.retries = retries
        self.outliers = outliers
        self.estimates = estimates
        self.random = random

    def select(self, request: PendingRequest, now_us: int) -> TrackedUpstream | None:
        """Return an upstream with a free slot, at random, or None.

        The subset comes first, then any other upstream. A request goes to the other zones only if this one
        has no slot for it or does not admit it.
        """
        if not self.retries.may_send(request, now_us):
            return None
        listed = self.membership.by_id.values()
        ejections_apply = self.outliers.class_ejections_apply(listed, request.event.class_index, now_us)
        for pool in self.membership.pools_in_use:
            candidates = self._candidates_of_pool(pool, request, ejections_apply, now_us)
            if candidates:
                weights = [candidate.weight for candidate in candidates]
                return self.random.choices(candidates, weights)[0].upstream
        return None

    def _candidates_of_pool(
        self, pool: UpstreamPool, request: PendingRequest, ejections_apply: bool, now_us: int
    ) -> list[Candidate]:
        """Return the upstreams of a pool with a free slot for a request, as far as the pool admits it.

        Warming upstreams are candidates also outside the subset, as one that no sidecar uses would be idle
        while it warms up. Their traffic is limited by their credit, which all sidecars together have to use
        up, so it is not subject to admission. An expensive request, however, would be the work of many.
        """
        slow_start = pool.slow_start
        subset = pool.subset.members
        warming = {up: None for up in slow_start.warming if slow_start.is_warming(up.entry, now_us)}
        is_expensive = self.estimates.relative_cost(request.event) > MAX_COST_WHILE_WARMING
        all_are_warming = len(warming) >= len(self.membership.by_id)
        excluded = warming if is_expensive and not all_are_warming else {}
        usable_warming = [] if excluded else [*warming]
        if pool.admission.credit < 1.0:
            return self.candidates_with_free_slots(request, usable_warming, ejections_apply, now_us)
        warm_members = [up for up in subset if up not in warming]
        found = self.candidates_with_free_slots(
            request, [*warm_members, *usable_warming], ejections_apply, now_us
        )
        if not found or len(subset) < pool.subset.wanted_size(pool.admission.send_rate):
            # Sidecars that are connected to every upstream would exhaust the upstreams' connections.
            pools = self.membership.pools
            others = [
                upstream
                for upstream in self.membership.by_id.values()
                if pools[upstream.pool_index] is pool and upstream not in subset and upstream not in excluded
            ]
            found = self.candidates_with_free_slots(request, others, ejections_apply, now_us) or found
        return found

    def candidates_with_free_slots(
        self,
        request: PendingRequest,
        upstreams: Iterable[TrackedUpstream],
        ejections_apply: bool,
        now_us: int,
    ) -> list[Candidate]:
        """Return the upstreams with a free slot for a request, each with its weight; if there are any that
        the request has not tried before, only those."""
        class_index = request.event.class_index
        bound = self.retries.bound_to(request)
        planned_ejections_apply = self.membership.planned_ejections_apply
        found = []
        limit_of, weigh = self.concurrency_limit, self._weight
        for upstream in upstreams:
            slots = limit_of(upstream, now_us) - upstream.in_flight
            if slots <= 0 or (bound is not None and not self.retries.in_scope(bound, upstream)):
                continue
            health = upstream.by_class[class_index]
            if ejections_apply and now_us < health.ejected_until_us:
                continue
            if planned_ejections_apply and upstream.advice.ejected:
                continue
            found.append(Candidate(upstream, weigh(upstream, health, slots)))
        tried = [attempt.upstream for attempt in request.attempts]
        return [candidate for candidate in found if candidate.upstream not in tried] or found

    @staticmethod
    def _weight(upstream: TrackedUpstream, health: ClassHealth, slots: int) -> float:
        """Return the weight of an upstream by its free slots, latency, unanswered and rejected attempts of
        the class, and the plan."""
        unanswered = 1.0 + health.unanswered_share / UNANSWERED_TOLERANCE
        rejections = 1.0 + health.rejection_share / REJECTION_TOLERANCE
        weight = slots / (upstream.latency_ratio * unanswered) ** 2
        return weight * upstream.advice.weight / rejections

    def concurrency_limit(self, upstream: TrackedUpstream, now_us: int) -> int:
        """Return how many attempts an upstream may have in flight now, with ejection, slow start and the
        plan's cap applied."""
        if now_us < upstream.ejected_until_us:
            return 0
        limit = max(1, int(upstream.concurrency.limit))
        if upstream.entry.started_us:
            slow_start = self.membership.pool_of(upstream).slow_start
            if slow_start.is_warming(upstream.entry, now_us):
                if upstream.slow_start_credit < 0.0:
                    return 0
                limit = 1
        cap = upstream.advice.concurrency_limit
        return min(limit, cap) if cap > 0 else limit
