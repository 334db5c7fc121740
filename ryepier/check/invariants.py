"""The invariants: functions that yield the violations caused by an attempt or an answer, or present in a state."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.check.model import Model, Rule, Violation
from ryepier.check.observations import ClientRequestState, SentAttempt
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.open_requests import OpenRequest
from ryepier.sidecar.requests import FinalAnswer, FinalOutcome

ANSWER_SLACK_US = 20_000  # time after the deadline from which an answer counts as missing


def violations_of_send(
    model: Model,
    upstream_states: Mapping[int, api.UpstreamState],
    client: ClientRequestState,
    sent: SentAttempt,
) -> Iterator[Violation]:
    """Yield the violations caused by sending an attempt; `client.attempts` must not contain the attempt yet."""
    for earlier in client.attempts:
        if not earlier.ended:
            yield Violation(Rule.TOGETHER, f"attempt {sent.number} while attempt {earlier.number} is in flight")
        elif earlier.may_have_run() and not _may_repeat(model, client.request_class, earlier, sent):
            yield Violation(Rule.RESEND, f"attempt {sent.number} after {earlier.number}, which may have run")
    if len(client.attempts) >= model.max_attempts:
        yield Violation(Rule.ATTEMPTS, f"attempt {len(client.attempts) + 1} exceeds the limit of {model.max_attempts}")
    if client.disconnected or client.answers:
        yield Violation(Rule.RESEND, f"attempt {sent.number} of a request that has already ended")
    # This is stricter than the protocol, which allows 500 ms until attempts must stop.
    if upstream_states[sent.upstream] is not api.UpstreamState.READY:
        text = f"attempt {sent.number} to converter {sent.upstream}, which is not ready"
        yield Violation(Rule.DRAIN, text)


def _may_repeat(model: Model, request_class: api.RequestClass, earlier: SentAttempt, later: SentAttempt) -> bool:
    """Return whether attempt `later` is allowed although attempt `earlier` may have executed the request."""
    if request_class.idempotency == api.Idempotency.IDEMPOTENT:
        return True
    if (
        request_class.idempotency == api.Idempotency.NON_IDEMPOTENT
        or later.started_at_us - earlier.started_at_us >= request_class.idempotency_window_us
    ):
        return False
    if request_class.idempotency_scope == api.IdempotencyScope.ALL:
        return True
    return model.failure_domain(earlier.upstream) == model.failure_domain(later.upstream)


def violations_of_answer(number: int, client: ClientRequestState, answer: FinalAnswer) -> Iterator[Violation]:
    """Yield the violations caused by an answer; `client.answers` must not contain the answer yet."""
    if client.answers:
        yield Violation(Rule.ANSWERS, f"request {number} has a second answer")
    if client.disconnected:
        yield Violation(Rule.ANSWERS, f"request {number} is answered after its client disconnected")
    may_have_run = any(attempt.may_have_run() for attempt in client.attempts)
    if answer.outcome is FinalOutcome.REJECTED and may_have_run and not _is_always_repeatable(client.request_class):
        yield Violation(Rule.REFUSED, f"request {number} is rejected although an attempt may have run")
    was_served = any(attempt.outcome is api.Outcome.OK for attempt in client.attempts)
    if answer.outcome is FinalOutcome.SERVED and not was_served:
        yield Violation(Rule.ANSWERS, f"request {number} is answered as served, but no attempt succeeded")


def _is_always_repeatable(request_class: api.RequestClass) -> bool:
    """Return whether a client may safely repeat a request even if a converter has executed it."""
    return request_class.idempotency == api.Idempotency.IDEMPOTENT or (
        request_class.idempotency_scope == api.IdempotencyScope.ALL
        and request_class.idempotency == api.Idempotency.IDEMPOTENCY_KEY
    )


def violations_of_state(
    dispatcher: RequestDispatcher, clients: Sequence[ClientRequestState], now_us: int
) -> Iterator[Violation]:
    """Yield the violations present in the state after a step."""
    yield from _violations_of_slots(dispatcher.balancer)
    for number, client in enumerate(clients):
        open_request = dispatcher.requests.get(client.ident)
        yield from _violations_of_request(dispatcher.balancer, open_request, number, client, now_us)


def _violations_of_slots(balancer: Balancer) -> Iterator[Violation]:
    for upstream in balancer.membership.by_id.values():
        in_flight = sum(not attempt.presumed_lost for attempt in upstream.outstanding_attempts)
        if upstream.in_flight != in_flight:
            text = f"converter {upstream.entry.id}: {upstream.in_flight} slots in use, {in_flight} attempts in flight"
            yield Violation(Rule.SLOTS, text)


def _violations_of_request(
    balancer: Balancer, open_request: OpenRequest | None, number: int, client: ClientRequestState, now_us: int
) -> Iterator[Violation]:
    if client.waiting and now_us > client.due_us + ANSWER_SLACK_US:
        yield Violation(Rule.IN_TIME, f"request {number} has no answer although its deadline has passed")
    is_given_up = client.ident not in balancer.requests or balancer.requests[client.ident].done
    if client.waiting and is_given_up:
        yield Violation(Rule.AT_ONCE, f"request {number} was given up without an answer to its client")
    if open_request is None and any(not attempt.ended for attempt in client.attempts):
        yield Violation(Rule.LEAK, f"request {number} was removed while an attempt is in flight")


def violations_of_end(dispatcher: RequestDispatcher) -> Iterator[Violation]:
    """Yield the violations after all requests have ended and all timers have fired, i.e. anything not released."""
    balancer = dispatcher.balancer
    contents = {
        "the host's requests": dispatcher.requests,
        "the module's requests": balancer.requests,
        "the module's buffer": balancer.buffer,
        "slots": sum(upstream.in_flight for upstream in balancer.membership.by_id.values()),
        "timers": balancer.wake_ups.pending,
    }
    unreleased = [name for name, content in contents.items() if content]
    if unreleased:
        yield Violation(Rule.LEAK, f"not released after all requests have ended: {', '.join(unreleased)}")
