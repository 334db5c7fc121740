"""Adapts the limits of an upstream and of its pool to attempts that have ended."""

from ryepier.balancer import tuning
from ryepier.balancer.estimates import RequestEstimates
from ryepier.balancer.events import Outcome
from ryepier.balancer.membership import Membership
from ryepier.balancer.outlier_detection import FaultVerdict, OutlierDetector
from ryepier.balancer.upstream import ANSWERED_OUTCOMES, Attempt

# Outcomes that show the load of the pool
LOAD_OUTCOMES = (*ANSWERED_OUTCOMES, Outcome.TIMEOUT, Outcome.REJECTED)


class AttemptFeedback:
    """Adapts concurrency limits, ejections, slow start and admission to ended attempts."""

    def __init__(
        self, estimates: RequestEstimates, outliers: OutlierDetector, membership: Membership
    ) -> None:
        """Use the components of one balancer; this object has no state of its own."""
        self.estimates = estimates
        self.outliers = outliers
        self.membership = membership

    def observe(self, attempt: Attempt, elapsed_us: int, in_shortage: bool, now_us: int) -> bool:
        """Free the slot of an ended attempt and update the measurements with it.

        `in_shortage` means that the attempt was sent during a shortage of slots. Returns whether the
        concurrency limit of its upstream was adapted.
        """
        upstream = attempt.upstream
        upstream.in_flight -= int(not attempt.presumed_lost)
        earlier_attempts = upstream.outstanding_attempts[: upstream.outstanding_attempts.index(attempt)]
        upstream.outstanding_attempts.remove(attempt)
        is_answered = attempt.outcome in ANSWERED_OUTCOMES
        timed_out = attempt.outcome is Outcome.TIMEOUT
        # An attempt is lost, not slow, if later ones at its upstream were answered before. If it counted as
        # slow, an upstream that leaves some requests unanswered would lose its slots.
        is_lost = timed_out and (attempt.presumed_lost or attempt.overtake_count > 0)
        adapted = False
        if not is_lost and not self.outliers.observe_queue_headroom(attempt, elapsed_us):
            adapted = self._adapt(attempt, elapsed_us, in_shortage, now_us)
        if is_answered:
            self.outliers.on_answer(attempt, earlier_attempts)
        if is_answered or (timed_out and not is_lost):
            self.estimates.observe_latency(attempt.class_index, elapsed_us)
        return adapted

    def _adapt(self, attempt: Attempt, elapsed_us: int, in_shortage: bool, now_us: int) -> bool:
        """Adapt the limits to an ended attempt, unless it is a tolerated fault. Returns whether they were
        adapted."""
        upstream = attempt.upstream
        pool = self.membership.pool_of(upstream)
        verdict = self.outliers.assess_attempt(attempt)
        if verdict is FaultVerdict.TOLERATED:
            return False
        is_faulty = verdict is FaultVerdict.FAULTY
        load = self._load_of(attempt, elapsed_us)
        ratio = self._latency_ratio_of(attempt, elapsed_us, is_faulty)
        upstream.latency_ratio += (ratio - upstream.latency_ratio) / tuning.LATENCY_RATIO_WINDOW
        if pool.slow_start.is_warming(upstream.entry, now_us):
            pool.slow_start.adapt_overcommit(load)
        # Retries after a timeout do not count. An expensive request times out at any upstream, and each of
        # its retries would count as a slow answer.
        elif not attempt.follows_timeout and attempt.outcome in LOAD_OUTCOMES:
            pool.admission.observe(load)
        upstream.concurrency.update(load, is_faulty, in_shortage)
        if upstream.concurrency.limit < 1.0:
            self.outliers.eject(upstream, attempt.class_index, elapsed_us, now_us)
        return True

    def _load_of(self, attempt: Attempt, elapsed_us: int) -> float:
        """Return an attempt's latency relative to the slow latency of its class, at most `MAX_LOAD`."""
        if attempt.outcome not in ANSWERED_OUTCOMES:
            return tuning.MAX_LOAD
        return min(tuning.MAX_LOAD, elapsed_us / self.estimates.slow_latency_us[attempt.class_index])

    def _latency_ratio_of(self, attempt: Attempt, elapsed_us: int, is_faulty: bool) -> float:
        """Return an attempt's latency relative to the mean of its class, limited to the allowed ratios."""
        if is_faulty:
            return tuning.MAX_LATENCY_RATIO
        ratio = elapsed_us / self.estimates.mean_latency_us[attempt.class_index]
        return min(max(ratio, tuning.MIN_LATENCY_RATIO), tuning.MAX_LATENCY_RATIO)
