"""The invariants, as functions that return what a send, an answer, a state or an end violates."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.check.model import Model, Rule, Violation
from ryepier.check.observations import ClientRequestState, SentAttempt
from ryepier.sidecar.dispatcher import OpenRequest, RequestDispatcher
from ryepier.sidecar.requests import FinalAnswer, FinalOutcome

ANSWER_SLACK_US = 20_000  # from a request's deadline until its answer counts as missing


def violations_of_send(
    model: Model,
    states: Mapping[int, api.UpstreamState],
    client: ClientRequestState,
    sent: SentAttempt,
) -> Iterator[Violation]:
    """Yield what an attempt violates that has just been sent, and is not among the client's yet."""
    for earlier in client.attempts:
        if not earlier.over:
            yield Violation(Rule.TOGETHER, f"attempt {sent.number} while {earlier.number} is out")
        elif earlier.may_have_run() and not _may_repeat(model, client.kind, earlier, sent):
            yield Violation(Rule.RESEND, f"attempt {sent.number} after {earlier.number}, which may have run")
    if len(client.attempts) >= model.max_attempts:
        yield Violation(Rule.ATTEMPTS, f"attempt {len(client.attempts) + 1} of at most {model.max_attempts}")
    if client.disconnected or client.answers:
        yield Violation(Rule.RESEND, f"attempt {sent.number} of a request that is over")
    if states[sent.upstream] is not api.UpstreamState.READY:  # stricter than the protocol, which allows 500 ms
        text = f"attempt {sent.number} to converter {sent.upstream}, which is to get nothing new"
        yield Violation(Rule.DRAIN, text)


def _may_repeat(model: Model, kind: api.RequestClass, earlier: SentAttempt, later: SentAttempt) -> bool:
    """Return whether an attempt may follow one that may have run."""
    if kind.idempotency == api.Idempotency.IDEMPOTENT:
        return True
    if kind.idempotency == api.Idempotency.NON_IDEMPOTENT or later.at_us - earlier.at_us >= kind.idempotency_window_us:
        return False
    if kind.idempotency_scope == api.IdempotencyScope.ALL:
        return True
    return model.failure_domain(earlier.upstream) == model.failure_domain(later.upstream)


def violations_of_answer(number: int, client: ClientRequestState, answer: FinalAnswer) -> Iterator[Violation]:
    """Yield what an answer violates that has just been given, and is not among the client's yet."""
    if client.answers:
        yield Violation(Rule.ANSWERS, f"request {number} has a second answer")
    if client.disconnected:
        yield Violation(Rule.ANSWERS, f"request {number} is answered though its client has gone")
    may_have_run = any(attempt.may_have_run() for attempt in client.attempts)
    if answer.outcome is FinalOutcome.REJECTED and may_have_run and not _is_harmless_anywhere(client.kind):
        yield Violation(Rule.REFUSED, f"request {number} is refused, and an attempt may have run")
    was_served = any(attempt.outcome is api.Outcome.OK for attempt in client.attempts)
    if answer.outcome is FinalOutcome.SERVED and not was_served:
        yield Violation(Rule.ANSWERS, f"request {number} is served, and no converter did it")


def _is_harmless_anywhere(kind: api.RequestClass) -> bool:
    """Return whether a client may repeat a request whatever became of it."""
    return kind.idempotency == api.Idempotency.IDEMPOTENT or (
        kind.idempotency_scope == api.IdempotencyScope.ALL and kind.idempotency == api.Idempotency.IDEMPOTENCY_KEY
    )


def violations_of_state(
    dispatcher: RequestDispatcher, clients: Sequence[ClientRequestState], now_us: int
) -> Iterator[Violation]:
    """Yield what a state violates."""
    yield from _violations_of_slots(dispatcher.balancer)
    for number, client in enumerate(clients):
        opened = dispatcher.requests.get(client.ident)
        yield from _violations_of_request(dispatcher.balancer, opened, number, client, now_us)


def _violations_of_slots(balancer: Balancer) -> Iterator[Violation]:
    for upstream in balancer.membership.by_id.values():
        in_flight = sum(not attempt.presumed_lost for attempt in upstream.outstanding_attempts)
        if upstream.in_flight != in_flight:
            text = f"converter {upstream.entry.id}: {upstream.in_flight} slots taken, {in_flight} attempts out"
            yield Violation(Rule.SLOTS, text)


def _violations_of_request(
    balancer: Balancer, opened: OpenRequest | None, number: int, client: ClientRequestState, now_us: int
) -> Iterator[Violation]:
    if client.waiting and now_us > client.due_us + ANSWER_SLACK_US:
        yield Violation(Rule.IN_TIME, f"request {number} has no answer, and its time is out")
    given_up = client.ident not in balancer.requests or balancer.requests[client.ident].done
    if client.waiting and given_up:
        yield Violation(Rule.AT_ONCE, f"request {number} was given up, and its client was told nothing")
    if opened is None and any(not attempt.over for attempt in client.attempts):
        yield Violation(Rule.LEAK, f"request {number} is forgotten with an attempt out")


def violations_of_end(dispatcher: RequestDispatcher) -> Iterator[Violation]:
    """Yield what is still held once everything has ended and all timers have fired."""
    balancer = dispatcher.balancer
    contents = {
        "the host's requests": dispatcher.requests,
        "the module's requests": balancer.requests,
        "the module's buffer": balancer.buffer,
        "slots": sum(upstream.in_flight for upstream in balancer.membership.by_id.values()),
        "timers": balancer.wake_ups.pending,
    }
    remaining = [name for name, content in contents.items() if content]
    if remaining:
        yield Violation(Rule.LEAK, f"left once all is over: {', '.join(remaining)}")
