"""Selection of an upstream: a weighted random choice among those that have a free slot."""

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
        listed_upstreams = self.membership.by_id.values()
        ejections_apply = self.outliers.class_ejections_apply(
            listed_upstreams, request.event.class_index, now_us
        )
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
        subset_members = pool.subset.members
        warming_upstreams = {
            upstream: None
            for upstream in slow_start.warming_upstreams
            if slow_start.is_warming(upstream.entry, now_us)
        }
        is_expensive = self.estimates.relative_cost(request.event) > MAX_COST_WHILE_WARMING
        all_are_warming = len(warming_upstreams) >= len(self.membership.by_id)
        excluded_upstreams = warming_upstreams if is_expensive and not all_are_warming else {}
        usable_warming_upstreams = [] if excluded_upstreams else [*warming_upstreams]
        if pool.admission.credit < 1.0:
            return self.candidates_with_free_slots(request, usable_warming_upstreams, ejections_apply, now_us)
        warm_members = [upstream for upstream in subset_members if upstream not in warming_upstreams]
        candidates = self.candidates_with_free_slots(
            request, [*warm_members, *usable_warming_upstreams], ejections_apply, now_us
        )
        if not candidates or len(subset_members) < pool.subset.wanted_size(pool.admission.send_rate):
            # Only in this case are upstreams outside the subset considered. Sidecars that are connected to
            # every upstream would exhaust the upstreams' connections.
            pools = self.membership.pools
            outside_subset = [
                upstream
                for upstream in self.membership.by_id.values()
                if pools[upstream.pool_index] is pool
                and upstream not in subset_members
                and upstream not in excluded_upstreams
            ]
            candidates = (
                self.candidates_with_free_slots(request, outside_subset, ejections_apply, now_us)
                or candidates
            )
        return candidates

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
