"""State that the decision module keeps of an upstream, an attempt and a request."""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.balancer.concurrency import ConcurrencyLimit
from ryepier.balancer.events import Advice, Outcome, RequestArrived, Upstream
from ryepier.balancer.settings import RequestClass

NEVER_RAN_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
# Outcomes after which the work was done, so that the latency shows the load
ANSWERED_OUTCOMES = (Outcome.OK, Outcome.MALFORMED_RESPONSE)
# Outcomes that count as faults of the upstream
FAULT_OUTCOMES = (
    Outcome.REJECTED,
    Outcome.CONNECT_FAILED,
    Outcome.ERROR,
    Outcome.RESET,
    Outcome.MALFORMED_RESPONSE,
)


@dataclass(slots=True, eq=False, repr=False)
class ClassHealth:
    """Health of an upstream for one request class, as an upstream may fail some classes only."""

    unanswered_share: float = 0.0  # moving average of the share of attempts without an answer in time
    timeout_streak: int = 0  # unanswered attempts in a row
    ejected_until_us: int = 0  # time at which the ejection for the class ends; 0 = not ejected
    rejection_share: float = 0.0  # moving average of the share of rejected attempts


@dataclass(slots=True, eq=False, repr=False)
class TrackedUpstream:
    """State of one ready upstream. A new upstream has one slot and no measurements."""

    entry: Upstream
    pool_index: int  # index of its pool in `Membership.pools`
    by_class: list[ClassHealth]
    advice: Advice  # of the current plan
    in_flight: int = 0  # slots in use; an attempt that is presumed lost uses no slot
    outstanding_attempts: list[Attempt] = field(default_factory=list)  # in the order in which they were sent
    queue_headroom: int = 0  # recent fast answers, minus slow answers and rejections
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    ejected_until_us: int = 0
    slow_start_credit: float = 0.0  # requests it may get while it warms up; below 0, it gets none
    latency_ratio: float = 1.0  # moving average of its latency relative to the class means
    fault_share: float = 0.0  # moving average of the share of attempts that were faults
    logged_ejected: bool = False
    is_listed: bool = True  # False once it was removed, or replaced by its restarted successor
    position: int = 0  # listed upstreams are ordered by this
    # State of slow start at the last time that credit was given
    warming_traffic: float = 0.0  # traffic relative to that of a warm upstream of size 1
    credited_total: float = 0.0  # `SlowStart.credit_total` up to which credit was given


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request at an upstream."""

    upstream: TrackedUpstream
    entry: Upstream  # list entry of the upstream when the attempt was sent
    class_index: int
    sent_at_us: int
    follows_timeout: bool = False  # whether an earlier attempt of the same request timed out
    overtake_count: int = 0  # number of later attempts at the same upstream that were answered earlier
    overtaken_in_class: bool = False  # whether one of these later attempts was of the same class
    overdue: bool = False  # whether it was unanswered after its latency objective
    presumed_lost: bool = False  # if so, it no longer holds a slot
    outcome: Outcome | None = None  # None while in flight


@dataclass(slots=True, eq=False, repr=False)
class PendingRequest:
    """A request without a final answer, or with an attempt still in flight."""

    event: RequestArrived
    request_class: RequestClass
    arrived_at_us: int
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False

    def in_flight(self) -> int:
        """Return how many attempts of the request have not ended."""
        return sum(1 for attempt in self.attempts if attempt.outcome is None)

    def first_attempt_that_may_have_run(self) -> Attempt | None:
        """Return the first attempt that may have reached an upstream's application, or None."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN_OUTCOMES), None)
