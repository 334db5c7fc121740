"""Seeded faults (mutants) of the code under test, at least one for each rule, to verify that the checker finds them.

Each function installs the fault that its docstring describes by patching classes. Patches are not undone, so use a
separate process for each fault.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.balancer.outlier_detection import OutlierDetector
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.upstream import Attempt, PendingRequest
from ryepier.balancer.wake_ups import WakeUp, WakeUpKind
from ryepier.check.model import Rule
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.open_requests import OpenRequest
from ryepier.sidecar.requests import AttemptResult, FinalAnswer, FinalOutcome

DELAYED_ANSWER_LEAD_US = 30_000  # how long before the deadline delayed answers are given


def second_answer() -> None:
    """Answer a request if an attempt succeeds after the request was answered or its client disconnected."""
    end_attempt = RequestDispatcher._end_attempt

    def end_and_answer(
        self: RequestDispatcher, open_request: OpenRequest, attempt_index: int, result: AttemptResult
    ) -> None:
        was_answered = open_request.closed and not open_request.attempts[attempt_index].ended
        end_attempt(self, open_request, attempt_index, result)
        if was_answered and result.outcome is api.Outcome.OK:
            open_request.reply(FinalAnswer(FinalOutcome.SERVED))

    RequestDispatcher._end_attempt = end_and_answer  # type: ignore[method-assign]


def lost_answer() -> None:
    """Never answer a request whose last attempt was reset, and disable the dispatcher's deadline check."""
    reject_or_fail = Balancer.reject_or_fail

    def reject_or_fail_unless_reset(self: Balancer, request: PendingRequest) -> None:
        if not request.attempts or request.attempts[-1].outcome is not api.Outcome.RESET:
            reject_or_fail(self, request)

    Balancer.reject_or_fail = reject_or_fail_unless_reset  # type: ignore[method-assign]
    RequestDispatcher._on_overdue = lambda self, open_request: None  # type: ignore[method-assign]


def delayed_answer() -> None:
    """Delay rejections and failures until shortly before the deadline."""
    answer_now = RequestDispatcher._answer

    def answer_late(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        request = self.requests.get(ident)
        if request is None or request.closed or answer.outcome is FinalOutcome.SERVED:
            answer_now(self, ident, answer)
        else:
            self._call_at(request.due_at_us - DELAYED_ANSWER_LEAD_US, answer_now, self, ident, answer)

    RequestDispatcher._answer = answer_late  # type: ignore[method-assign]


def concurrent_attempts() -> None:
    """Send a second attempt while an overdue attempt is still in flight."""
    on_wake_up = Balancer.on_wake_up

    def send_when_overdue(self: Balancer, wake_up: WakeUp) -> None:
        on_wake_up(self, wake_up)
        request = self.requests.get(wake_up.request)
        if wake_up.kind is WakeUpKind.ATTEMPT_OVERDUE and request is not None and len(request.attempts) < 2:
            attempt = request.attempts[wake_up.attempt]
            if attempt.outcome is None:
                self.send(request, attempt.upstream)

    Balancer.on_wake_up = send_when_overdue  # type: ignore[method-assign]


def unsafe_retry_after_reset() -> None:
    """Treat a request as not executed by the converter if its attempt was reset."""
    not_executed_outcomes = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT, api.Outcome.RESET)

    def first_attempt_treated_as_executed(self: PendingRequest) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.outcome not in not_executed_outcomes), None)

    PendingRequest.first_attempt_that_may_have_run = first_attempt_treated_as_executed  # type: ignore[method-assign]


def any_failure_domain() -> None:
    """Retry requests with an idempotency key in any failure domain, even one where the key is unknown."""
    RetryPolicy.scope_attempt = lambda self, request: None  # type: ignore[method-assign]


def long_idempotency_window() -> None:
    """Retry requests with an idempotency key long after the idempotency window has ended."""
    may_send = RetryPolicy.may_send

    def may_send_later(self: RetryPolicy, request: PendingRequest, now_us: int) -> bool:
        request_class = request.request_class
        original_window_us, request_class.idempotency_window_us = (
            request_class.idempotency_window_us,
            request_class.idempotency_window_us * 100,
        )
        try:
            return may_send(self, request, now_us)
        finally:
            request_class.idempotency_window_us = original_window_us

    RetryPolicy.may_send = may_send_later  # type: ignore[method-assign]


def ignored_drain() -> None:
    """Treat draining converters as ready."""

    def on_endpoints(
        self: RequestDispatcher, event: api.UpstreamsUpdated, addresses: dict[int, tuple[str, int]]
    ) -> None:
        for entry in event.upstreams:
            entry.state = api.UpstreamState.READY if entry.state is api.UpstreamState.DRAINING else entry.state
        original_on_endpoints(self, event, addresses)

    original_on_endpoints = RequestDispatcher.on_endpoints
    RequestDispatcher.on_endpoints = on_endpoints  # type: ignore[method-assign]


def slot_released_twice() -> None:
    """Release the slot of an attempt twice: when it is presumed lost, and again when it ends."""
    presume_lost = OutlierDetector.presume_lost

    def presume_lost_without_flag(self: OutlierDetector, attempt: Attempt) -> None:
        presume_lost(self, attempt)
        attempt.presumed_lost = False

    OutlierDetector.presume_lost = presume_lost_without_flag  # type: ignore[method-assign]


def requests_never_removed() -> None:
    """Never remove requests that have ended from the dispatcher."""
    RequestDispatcher._remove_if_done = lambda self, open_request: None  # type: ignore[method-assign]


def one_attempt_too_many() -> None:
    """Allow one attempt more than `max_attempts`."""
    may_send = RetryPolicy.may_send

    def may_send_one_more(self: RetryPolicy, request: PendingRequest, now_us: int) -> bool:
        self.settings.max_attempts += 1
        try:
            return may_send(self, request, now_us)
        finally:
            self.settings.max_attempts -= 1

    def send_one_more(self: RequestDispatcher, action: api.Send) -> None:
        self.settings.max_attempts += 1
        try:
            send(self, action)
        finally:
            self.settings.max_attempts -= 1

    send = RequestDispatcher._send
    RetryPolicy.may_send = may_send_one_more  # type: ignore[method-assign]
    RequestDispatcher._send = send_one_more  # type: ignore[method-assign]


def failures_reported_as_rejections() -> None:
    """Answer failed requests as rejected, even if a converter may have executed them."""
    execute = RequestDispatcher._execute

    def reject_instead_of_fail(self: RequestDispatcher, action: api.Action) -> None:
        execute(self, api.Reject(action.request) if isinstance(action, api.Fail) else action)

    RequestDispatcher._execute = reject_instead_of_fail  # type: ignore[method-assign]


@dataclass(frozen=True, slots=True)
class SeededFault:
    """A function that installs a seeded fault, and the rule that the fault violates."""

    rule: Rule
    install: Callable[[], None]


SEEDED_FAULTS = {
    "second-answer": SeededFault(Rule.ANSWERS, second_answer),
    "lost-answer": SeededFault(Rule.IN_TIME, lost_answer),
    "held-answer": SeededFault(Rule.AT_ONCE, delayed_answer),
    "two-at-once": SeededFault(Rule.TOGETHER, concurrent_attempts),
    "careless-resend": SeededFault(Rule.RESEND, unsafe_retry_after_reset),
    "any-cell": SeededFault(Rule.RESEND, any_failure_domain),
    "long-memory": SeededFault(Rule.RESEND, long_idempotency_window),
    "deaf": SeededFault(Rule.DRAIN, ignored_drain),
    "freed-twice": SeededFault(Rule.SLOTS, slot_released_twice),
    "never-forgotten": SeededFault(Rule.LEAK, requests_never_removed),
    "one-more": SeededFault(Rule.ATTEMPTS, one_attempt_too_many),
    "glib-refusal": SeededFault(Rule.REFUSED, failures_reported_as_rejections),
}
"""Seeded faults by the names that are used on the command line and in files."""
