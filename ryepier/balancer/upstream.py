"""State of one upstream, of one attempt and of one request, as the decisions keep it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.balancer.concurrency import ConcurrencyLimit
from ryepier.balancer.events import Advice, Outcome, RequestArrived, Upstream
from ryepier.balancer.settings import RequestClass

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
ANSWERED = (Outcome.OK, Outcome.MALFORMED_RESPONSE)  # did the work, and their latency shows the load
FAULTS = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET, Outcome.MALFORMED_RESPONSE)


@dataclass(slots=True, eq=False, repr=False)
class ClassHealth:
    """How an upstream treats one request class: it may be healthy for all classes but some."""

    unanswered_share: float = 0.0  # moving average of the attempts without an answer in time
    timeout_streak: int = 0  # unanswered attempts in a row
    ejected_until_us: int = 0
    rejection_share: float = 0.0  # moving average of the rejected attempts


@dataclass(slots=True, eq=False, repr=False)
class TrackedUpstream:
    """What this sidecar knows of one ready upstream; new ones have one open slot and no measurements."""

    entry: Upstream
    pool_index: int  # of its pool in the membership
    by_class: list[ClassHealth]
    advice: Advice  # of the current plan
    in_flight: int = 0  # slots taken by attempts; one that is presumed lost takes none
    outstanding: list[Attempt] = field(default_factory=list)  # not ended, in the order sent
    queue_headroom: int = 0  # recent quick answers, less slow answers and rejections
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    ejected_until_us: int = 0
    slow_start_credit: float = 0.0  # requests that it may get while warming up; below 0 it waits
    latency_ratio: float = 1.0  # moving average of its latency relative to the class means
    fault_share: float = 0.0  # moving average of attempts that failed at once or had malformed responses
    logged_ejected: bool = False


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request at an upstream."""

    upstream: TrackedUpstream
    entry: Upstream  # as it was listed then
    class_index: int
    sent_us: int
    follows_timeout: bool = False  # an earlier attempt of its request timed out
    overtake_count: int = 0  # later attempts at the same upstream that were answered earlier
    overtaken_in_class: bool = False  # one of these was of the same class
    overdue: bool = False  # unanswered for longer than an answer takes
    presumed_lost: bool = False  # holds no slot any more
    outcome: Outcome | None = None  # None while in flight


@dataclass(slots=True, eq=False, repr=False)
class PendingRequest:
    """A request without a final answer, or with an attempt still in flight."""

    event: RequestArrived
    request_class: RequestClass
    arrived_us: int
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False

    def in_flight(self) -> int:
        """Return how many of its attempts have not ended."""
        return sum(1 for attempt in self.attempts if attempt.outcome is None)

    def first_that_may_have_run(self) -> Attempt | None:
        """Return the first attempt that may have reached an upstream's application, or None."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)
