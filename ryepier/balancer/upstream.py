"""State that the decision module keeps of an upstream, an attempt and a request."""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.balancer.concurrency import ConcurrencyLimit
from ryepier.balancer.events import Advice, Outcome, RequestArrived, Upstream
from ryepier.balancer.settings import RequestClass

NEVER_RAN_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
ANSWERED_OUTCOMES = (
    Outcome.OK,
    Outcome.MALFORMED_RESPONSE,
)  # the work was done, and the latency shows the load
FAULT_OUTCOMES = (
    Outcome.REJECTED,
    Outcome.CONNECT_FAILED,
    Outcome.ERROR,
    Outcome.RESET,
    Outcome.MALFORMED_RESPONSE,
)


@dataclass(slots=True, eq=False, repr=False)
class ClassHealth:
    """Health of an upstream for one request class; an upstream may fail some classes only."""

    unanswered_share: float = 0.0  # moving average of the share of attempts without an answer in time
    timeout_streak: int = 0  # unanswered attempts in a row
    ejected_until_us: int = 0
    rejection_share: float = 0.0  # moving average of the share of rejected attempts


@dataclass(slots=True, eq=False, repr=False)
class TrackedUpstream:
    """What this sidecar knows of one ready upstream; a new one has one slot and no measurements."""

    entry: Upstream
    pool_index: int  # in `Membership.pools`
    by_class: list[ClassHealth]
    advice: Advice  # from the current plan
    in_flight: int = 0  # slots in use; an attempt that is presumed lost uses none
    outstanding_attempts: list[Attempt] = field(
        default_factory=list
    )  # attempts not ended yet, in the order sent
    queue_headroom: int = 0  # recent fast answers, minus slow answers and rejections
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    ejected_until_us: int = 0
    slow_start_credit: float = 0.0  # requests that it may get while warming up; below 0 it waits
    latency_ratio: float = 1.0  # moving average of its latency relative to the class means
    fault_share: float = 0.0  # moving average of the share of attempts that were faults
    logged_ejected: bool = False


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request at an upstream."""

    upstream: TrackedUpstream
    entry: Upstream  # list entry of the upstream when the attempt was sent
    class_index: int
    sent_at_us: int
    follows_timeout: bool = False  # an earlier attempt of its request timed out
    overtake_count: int = 0  # later attempts at the same upstream that were answered earlier
    overtaken_in_class: bool = False  # at least one of these was of the same class
    overdue: bool = False  # unanswered after its latency objective
    presumed_lost: bool = False  # no longer holds a slot
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
        """Return how many of its attempts have not ended."""
        return sum(1 for attempt in self.attempts if attempt.outcome is None)

    def first_attempt_that_may_have_run(self) -> Attempt | None:
        """Return the first attempt that may have reached an upstream's application, or None."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN_OUTCOMES), None)
