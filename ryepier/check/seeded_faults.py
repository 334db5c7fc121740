"""Mistakes put into the real code on purpose, one for each rule at least, to see that it is found.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer, WakeUp, WakeUpKind
from ryepier.balancer.outlier_detection import OutlierDetector
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.upstream import Attempt, PendingRequest
from ryepier.sidecar.dispatcher import OpenRequest, RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, FinalAnswer, FinalOutcome

HELD_BEFORE_US = 30_000  # a held refusal goes out so long before the client's time is out


def second_answer() -> None:
    """What ends after the client had its answer answers once more."""
    end = RequestDispatcher._end_attempt

    def end_and_answer(self: RequestDispatcher, opened: OpenRequest, number: int, result: AttemptResult) -> None:
        answered = opened.closed and not opened.attempts[number].ended
        end(self, opened, number, result)
        if answered and result.outcome is api.Outcome.OK:
            opened.reply(FinalAnswer(FinalOutcome.SERVED))

    RequestDispatcher._end_attempt = end_and_answer  # type: ignore[method-assign]


def lost_answer() -> None:
    """What was reset is never given up, and the host's backstop is gone."""
    finish = Balancer.finish

    def finish_most(self: Balancer, request: PendingRequest) -> None:
        if not request.attempts or request.attempts[-1].outcome is not api.Outcome.RESET:
            finish(self, request)

    Balancer.finish = finish_most  # type: ignore[method-assign]
    RequestDispatcher._on_overdue = lambda self, opened: None  # type: ignore[method-assign]


def delayed_answer() -> None:
    """A refusal waits for the client's time."""
    give = RequestDispatcher._answer

    def answer_late(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        request = self.requests.get(ident)
        if request is None or request.closed or answer.outcome is FinalOutcome.SERVED:
            give(self, ident, answer)
        else:
            self._call_at(request.due_us - HELD_BEFORE_US, give, self, ident, answer)

    RequestDispatcher._answer = answer_late  # type: ignore[method-assign]


def two_at_once() -> None:
    """A silent attempt brings a second one beside it."""
    wake = Balancer.wake

    def send_when_overdue(self: Balancer, due: WakeUp) -> None:
        wake(self, due)
        request = self.requests.get(due.request)
        if due.kind is WakeUpKind.ATTEMPT_OVERDUE and request is not None and len(request.attempts) < 2:
            attempt = request.attempts[due.attempt]
            if attempt.outcome is None:
                self.send(request, attempt.upstream)

    Balancer.wake = send_when_overdue  # type: ignore[method-assign]


def careless_resend() -> None:
    """What was reset is taken for never run."""
    never_ran = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT, api.Outcome.RESET)

    def first_not_reset(self: PendingRequest) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.outcome not in never_ran), None)

    PendingRequest.first_that_may_have_run = first_not_reset  # type: ignore[method-assign]


def any_failure_domain() -> None:
    """A keyed class is sent again anywhere."""
    RetryPolicy.in_scope = lambda self, first, upstream: True  # type: ignore[method-assign]


def long_memory() -> None:
    """A keyed class is sent again however long ago the first was."""
    may_send = RetryPolicy.may_send

    def may_send_later(self: RetryPolicy, request: PendingRequest, now_us: int) -> bool:
        kind = request.request_class
        had, kind.idempotency_window_us = kind.idempotency_window_us, kind.idempotency_window_us * 100
        try:
            return may_send(self, request, now_us)
        finally:
            kind.idempotency_window_us = had

    RetryPolicy.may_send = may_send_later  # type: ignore[method-assign]


def deaf() -> None:
    """A converter that drains stays in the module's list and in the host's."""

    def hear(self: RequestDispatcher, event: api.UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        for entry in event.upstreams:
            entry.state = api.UpstreamState.READY if entry.state is api.UpstreamState.DRAINING else entry.state
        changed(self, event, addresses)

    changed = RequestDispatcher.on_endpoints
    RequestDispatcher.on_endpoints = hear  # type: ignore[method-assign]


def freed_twice() -> None:
    """A slot that was given up on suspicion is freed again at the attempt's end."""
    presume_lost = OutlierDetector.presume_lost

    def presume_and_forget(self: OutlierDetector, attempt: Attempt) -> None:
        presume_lost(self, attempt)
        attempt.presumed_lost = False

    OutlierDetector.presume_lost = presume_and_forget  # type: ignore[method-assign]


def never_forgotten() -> None:
    """The host keeps a request whose client has gone."""
    RequestDispatcher._remove_if_done = lambda self, opened: None  # type: ignore[method-assign]


def one_more() -> None:
    """One attempt more than the settings allow."""
    may_send = RetryPolicy.may_send

    def may_send_more(self: RetryPolicy, request: PendingRequest, now_us: int) -> bool:
        self.settings.max_attempts += 1
        try:
            return may_send(self, request, now_us)
        finally:
            self.settings.max_attempts -= 1

    def send_more(self: RequestDispatcher, action: api.Send) -> None:
        self.settings.max_attempts += 1
        try:
            send(self, action)
        finally:
            self.settings.max_attempts -= 1

    send = RequestDispatcher._send
    RetryPolicy.may_send = may_send_more  # type: ignore[method-assign]
    RequestDispatcher._send = send_more  # type: ignore[method-assign]


def glib_refusal() -> None:
    """Whatever is given up is refused, as if it had never run."""
    carry_out = RequestDispatcher._execute

    def refuse(self: RequestDispatcher, action: api.Action) -> None:
        carry_out(self, api.Reject(action.request) if isinstance(action, api.Fail) else action)

    RequestDispatcher._execute = refuse  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, tuple[str, Callable[[], None]]] = {  # by name: the rule that breaks, and the mistake
    "second-answer": ("answers", second_answer),
    "lost-answer": ("in time", lost_answer),
    "held-answer": ("at once", delayed_answer),
    "two-at-once": ("together", two_at_once),
    "careless-resend": ("resend", careless_resend),
    "any-cell": ("resend", any_failure_domain),
    "long-memory": ("resend", long_memory),
    "deaf": ("drain", deaf),
    "freed-twice": ("slots", freed_twice),
    "never-forgotten": ("leak", never_forgotten),
    "one-more": ("attempts", one_more),
    "glib-refusal": ("refused", glib_refusal),
}
