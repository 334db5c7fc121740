"""What an ended attempt shows of its upstream and of the pool."""

from dataclasses import dataclass

from ryepier.balancer import tuning
from ryepier.balancer.estimates import RequestEstimates
from ryepier.balancer.events import Outcome
from ryepier.balancer.membership import Membership
from ryepier.balancer.outlier_detection import FaultVerdict, OutlierDetector
from ryepier.balancer.upstream import ANSWERED, Attempt

SHOWS_LOAD = (*ANSWERED, Outcome.TIMEOUT, Outcome.REJECTED)


@dataclass(slots=True)
class AttemptFeedback:
    """Adapts concurrency limits, ejections, slow start and admission to ended attempts."""

    estimates: RequestEstimates
    outliers: OutlierDetector
    membership: Membership

    def observe(self, attempt: Attempt, elapsed_us: int, slots_needed: bool, now_us: int) -> bool:
        """Free the slot of an attempt and learn from it; `slots_needed` if it was sent in a shortage. Returns
        whether the upstream's limit was adapted."""
        upstream = attempt.upstream
        upstream.in_flight -= int(not attempt.presumed_lost)
        earlier = upstream.outstanding[: upstream.outstanding.index(attempt)]
        upstream.outstanding.remove(attempt)
        timed_out = attempt.outcome is Outcome.TIMEOUT
        # Judged by what others overtook, one that leaves some requests unanswered would lose its slots.
        lost = timed_out and (attempt.presumed_lost or attempt.overtaken > 0)
        counts = not lost and not self.outliers.rejected_with_headroom(attempt, elapsed_us)
        adapted = counts and self._adapt(attempt, elapsed_us, slots_needed, now_us)
        if attempt.outcome in ANSWERED:
            self.outliers.on_answer(attempt, earlier)
        if attempt.outcome in ANSWERED or (timed_out and not lost):
            self.estimates.observe_latency(attempt.class_index, elapsed_us)
        return adapted

    def _adapt(self, attempt: Attempt, elapsed_us: int, slots_needed: bool, now_us: int) -> bool:
        upstream, index = attempt.upstream, attempt.class_index
        pool = self.membership.pool_of(upstream)
        verdict = self.outliers.observe_fault(attempt)
        if verdict is FaultVerdict.TOLERATED:
            return False
        faulty, answered = verdict is FaultVerdict.FAULTY, attempt.outcome in ANSWERED
        max_load, max_ratio = tuning.MAX_LOAD, tuning.MAX_LATENCY_RATIO
        load = min(max_load, elapsed_us / self.estimates.slow_us[index]) if answered else max_load
        ratio = max_ratio if faulty else elapsed_us / self.estimates.mean_latency_us[index]
        ratio = min(max(ratio, 0.1), max_ratio)
        upstream.latency_ratio += (ratio - upstream.latency_ratio) / tuning.LATENCY_RATIO_MEMORY
        if pool.slow_start.is_warming(upstream.entry, now_us):
            pool.slow_start.adapt_overcommit(load)
        # An expensive request times out wherever it goes; each retry would count as one more slow answer.
        elif not attempt.follows_timeout and attempt.outcome in SHOWS_LOAD:
            pool.admission.observe(load)
        upstream.concurrency.update(load, faulty, slots_needed)
        if upstream.concurrency.limit < 1.0:
            self.outliers.eject(upstream, index, elapsed_us, now_us)
        return True
