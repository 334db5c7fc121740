"""Outlier detection: ejects upstreams that fail, hang or reject a request class."""

import enum
from collections.abc import Iterable
from random import Random

from ryepier.balancer import tuning
from ryepier.balancer.estimates import RequestEstimates
from ryepier.balancer.events import Outcome
from ryepier.balancer.membership import Membership
from ryepier.balancer.settings import Settings
from ryepier.balancer.upstream import ANSWERED_OUTCOMES, FAULT_OUTCOMES, Attempt, TrackedUpstream


class FaultVerdict(enum.Enum):
    """Whether an ended attempt counts as a fault of its upstream."""

    NORMAL = enum.auto()  # no fault, or a tolerated malformed response; the latency counts
    TOLERATED = enum.auto()  # a fault within the tolerated share; the latency is ignored
    FAULTY = enum.auto()  # a rejection, or a fault beyond the tolerated share


class OutlierDetector:
    """Detects and ejects upstreams that fail, hang or reject a class; keeps its state in the upstreams."""

    def __init__(
        self, settings: Settings, estimates: RequestEstimates, membership: Membership, random: Random
    ) -> None:
        """Start without ejections, with the components and the random generator of one balancer."""
        self.settings = settings
        self.estimates = estimates
        self.membership = membership
        self.random = random

    def assess_attempt(self, attempt: Attempt) -> FaultVerdict:
        """Update the fault shares with an ended attempt (see `FAULT_OUTCOMES`), and return how to treat it.

        Faults that affect all upstreams equally must not eject them, so an upstream's share of faults is
        compared with that of its pool. A rejection shows the state of the upstream itself, so a single
        rejection counts.
        """
        upstream = attempt.upstream
        outcome = attempt.outcome
        pool = self.membership.pool_of(upstream)
        is_fault = outcome in FAULT_OUTCOMES
        upstream.fault_share += (float(is_fault) - upstream.fault_share) / tuning.FAULT_WINDOW
        pool.fault_share += (float(is_fault) - pool.fault_share) / tuning.POOL_FAULT_WINDOW
        pool_allowance = min(tuning.POOL_FAULT_FACTOR * pool.fault_share, tuning.MAX_POOL_FAULT_ALLOWANCE)
        exceeds_tolerance = is_fault and upstream.fault_share > tuning.MAX_FAULT_SHARE + pool_allowance
        if outcome is Outcome.REJECTED or exceeds_tolerance:
            return FaultVerdict.FAULTY
        if is_fault and outcome is not Outcome.MALFORMED_RESPONSE:
            return FaultVerdict.TOLERATED
        return FaultVerdict.NORMAL

    def eject(self, upstream: TrackedUpstream, class_index: int, elapsed_us: int, now_us: int) -> None:
        """Eject an upstream whose concurrency limit is below 1; the lower the limit, the longer the
        ejection."""
        slow_latency_us = self.estimates.slow_latency_us[class_index]
        # The latency of the attempt counts too: if answers take seconds, short ejections would not relieve
        # an overloaded upstream.
        mean_us = min(self.estimates.mean_latency_us[class_index], slow_latency_us)
        latency_us = max(mean_us, min(elapsed_us, 2 * slow_latency_us))
        latency_multiple = 1.0 / upstream.concurrency.limit - 1.0
        ejection_us = latency_us * latency_multiple * self._jitter()
        upstream.ejected_until_us = now_us + int(ejection_us)
        self.membership.ejections.on_upstream_ejected(upstream, now_us)

    def _jitter(self) -> float:
        """Return a random factor from 0.5 to 1.5, so that sidecars do not all retry an upstream at once."""
        return 0.5 + self.random.random()

    def on_overdue(self, attempt: Attempt, now_us: int) -> None:
        """Count an attempt that is unanswered after its latency objective.

        After a shorter time, attempts that are only slowed down by an overload would be presumed lost. An
        upstream may leave some or all requests of a class unanswered and serve the other classes well. So it
        is selected less often for that class, and ejected for it after several unanswered attempts in a row.

        Known limitation: late answers count as unanswered, so requests of a rare class that is always slow
        are moved to other upstreams too.
        """
        request_class = self.settings.classes[attempt.class_index]
        if attempt.outcome is not None or request_class.stream:
            return
        attempt.overdue = True
        health = attempt.upstream.by_class[attempt.class_index]
        health.unanswered_share += (1.0 - health.unanswered_share) / tuning.UNANSWERED_WINDOW
        if not attempt.overtaken_in_class:
            self._extend_timeout_streak(attempt, request_class.latency_objective_us, now_us)
        self.presume_lost(attempt)

    def _extend_timeout_streak(self, attempt: Attempt, latency_objective_us: int, now_us: int) -> None:
        """Count one more unanswered attempt in a row. A streak of `EJECTION_TIMEOUT_STREAK` ejects the
        upstream for the class, and each further attempt, up to `MAX_TIMEOUT_STREAK`, doubles the duration."""
        health = attempt.upstream.by_class[attempt.class_index]
        health.timeout_streak = min(health.timeout_streak + 1, tuning.MAX_TIMEOUT_STREAK)
        if health.timeout_streak < tuning.EJECTION_TIMEOUT_STREAK:
            return
        base_ejection_us = latency_objective_us * self._jitter()
        ejection_us = int(base_ejection_us * 2 ** (health.timeout_streak - 1))
        health.ejected_until_us = now_us + ejection_us
        if attempt.upstream.is_listed:
            class_ejections = self.membership.ejections.by_class[attempt.class_index]
            class_ejections.on_class_ejected(attempt.upstream, now_us)

    def presume_lost(self, attempt: Attempt) -> None:
        """Free the slot of an overdue attempt if it is presumed lost.

        Otherwise requests that are never answered would hold all slots. The attempt stays in flight, as its
        answer may still be useful. It is presumed lost if its upstream has answered enough later attempts. If
        the upstream has only one slot, there are no later attempts, so one attempt per upstream is also
        presumed lost while the pool answers fast.

        Known limitation: an upstream that serves by priority may still be working on the attempt, and then
        gets up to twice as many attempts as it has slots.
        """
        upstream = attempt.upstream
        lost_attempts = [other for other in upstream.outstanding_attempts if other.presumed_lost]
        max_lost_attempts = max(1, int(upstream.concurrency.limit))
        if not attempt.overdue or len(lost_attempts) >= max_lost_attempts:
            return
        pool_is_fast = self.membership.pool_of(upstream).admission.load < tuning.TARGET_LOAD
        may_be_lost = pool_is_fast and all(map(self._is_overtaken, lost_attempts))
        if self._is_overtaken(attempt) or may_be_lost:
            attempt.presumed_lost = True
            upstream.in_flight -= 1

    @staticmethod
    def _is_overtaken(attempt: Attempt) -> bool:
        """Return whether enough later attempts were answered to presume that an attempt is lost, not
        queued."""
        return attempt.overtake_count >= tuning.LOST_ATTEMPT_OVERTAKE_THRESHOLD

    def on_answer(self, attempt: Attempt, earlier_attempts: Iterable[Attempt]) -> None:
        """Record that an attempt was answered before `earlier_attempts`, which its upstream got earlier."""
        class_index = attempt.class_index
        health = attempt.upstream.by_class[class_index]
        health.unanswered_share -= health.unanswered_share / tuning.UNANSWERED_WINDOW
        health.timeout_streak = health.ejected_until_us = 0
        self.membership.ejections.by_class[class_index].on_class_restored(attempt.upstream)
        for other in earlier_attempts:
            other.overtake_count += 1
            other.overtaken_in_class |= other.class_index == class_index
            if not other.presumed_lost:
                self.presume_lost(other)

    def observe_queue_headroom(self, attempt: Attempt, elapsed_us: int) -> bool:
        """Record an attempt's outcome. Returns whether an upstream with headroom in its queue rejected it.

        Requests that a full upstream accepts wait in its queue, so its answers are slow. An upstream that
        rejects one class and answers the others fast has headroom in its queue. It keeps its slots, and is
        only selected less often for that class. An upstream with more rejections than fast answers counts as
        full.
        """
        upstream = attempt.upstream
        health = upstream.by_class[attempt.class_index]
        if attempt.outcome in ANSWERED_OUTCOMES:
            is_fast = elapsed_us < tuning.TARGET_LOAD * self.estimates.slow_latency_us[attempt.class_index]
            headroom = upstream.queue_headroom + (1 if is_fast else -1)
            upstream.queue_headroom = min(max(headroom, 0), tuning.MAX_QUEUE_HEADROOM)
            health.rejection_share -= health.rejection_share / tuning.FAULT_WINDOW
        if attempt.outcome is not Outcome.REJECTED:
            return False
        health.rejection_share += (1.0 - health.rejection_share) / tuning.FAULT_WINDOW
        has_headroom = upstream.queue_headroom > 0
        upstream.queue_headroom = max(upstream.queue_headroom - 1, 0)
        return has_headroom

    def next_restoration_us(self, class_index: int, now_us: int) -> int | None:
        """Return the earliest end (us) of the current ejections that affect a class, or None."""
        return self.membership.ejections.by_class[class_index].next_restoration_us(now_us)

    def class_ejections_apply(self, class_index: int, now_us: int) -> bool:
        """Return whether the ejections for a class apply. They are ignored if most upstreams are ejected."""
        ejected_count = self.membership.ejections.by_class[class_index].count_for_class(now_us)
        return ejected_count <= tuning.MAX_EJECTED_SHARE * len(self.membership.by_id)
