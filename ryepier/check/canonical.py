"""Canonical digests of states, by which the exploration recognizes equal states.

Two states are equal if, under some permutation of interchangeable converters, everything is equal that determines which
steps can follow and what they do. Times are compared relative to the current time of each state.

The balancer's measurements (latency ratios, loads, failure shares) are omitted: they only change the probability with
which each converter is drawn, and every converter that may be drawn is explored anyway. The slots and ejections that
result from the measurements are part of a state.
"""

from __future__ import annotations

import functools
import hashlib
import itertools
from collections.abc import Callable, Iterator
from typing import Any

from ryepier.balancer import upstream
from ryepier.balancer.tuning import LOST_ATTEMPT_OVERTAKE_THRESHOLD
from ryepier.check.model import Model
from ryepier.check.observations import SentAttempt
from ryepier.check.state import ModelState
from ryepier.sidecar.open_requests import OpenRequest

Permutation = dict[int, int]  # new converter ids by converter ids
DigestFunction = Callable[[ModelState], bytes]

MAX_AGE_US = 300_000  # exceeds all deadlines and idempotency windows, so a greater age makes no difference
DIGEST_BYTES = 12


def domain_preserving_permutations(model: Model) -> Iterator[Permutation]:
    """Yield the permutations of converters that preserve which converters share a failure domain."""
    ids = range(1, model.converters + 1)
    for permuted_ids in itertools.permutations(ids):
        domain_mapping: dict[int, int] = {}
        is_consistent = all(
            domain_mapping.setdefault(model.failure_domain(old), model.failure_domain(new)) == model.failure_domain(new)
            for old, new in zip(ids, permuted_ids, strict=True)
        )
        if is_consistent and len(set(domain_mapping.values())) == len(domain_mapping):
            yield dict(zip(ids, permuted_ids, strict=True))


class _PermutedState:
    """Represents a state under one permutation of its converters as nested tuples.

    The digests in checkpoints depend on the structure of the tuples, so changing it invalidates existing checkpoints.
    """

    def __init__(self, state: ModelState, permutation: Permutation) -> None:
        self.state = state
        self.now_us = state.timers.now_us
        self.permutation = permutation

    def remaining_us(self, at_us: int) -> int:
        """Return the time from now until `at_us`, or -1 if it has passed."""
        return max(-1, at_us - self.now_us)

    def relative_time_us(self, at_us: int) -> int:
        """Return the past time `at_us` relative to now, a negative number that is at least `-MAX_AGE_US`."""
        return max(-MAX_AGE_US, at_us - self.now_us)

    def buffered_until_us(self, request: upstream.PendingRequest) -> int:
        balancer = self.state.dispatcher.balancer
        return request.arrived_at_us + balancer.estimates.slow_latency_us[request.event.class_index]

    def attempt(self, attempt: upstream.Attempt) -> tuple[Any, ...]:
        return (
            self.permutation[attempt.entry.id],
            self.relative_time_us(attempt.sent_at_us),
            min(attempt.overtake_count, LOST_ATTEMPT_OVERTAKE_THRESHOLD),
            attempt.overtaken_in_class,
            attempt.overdue,
            attempt.presumed_lost,
            attempt.outcome.value if attempt.outcome is not None else "",
        )

    def tracked_upstream(self, tracked: upstream.TrackedUpstream) -> tuple[Any, ...]:
        return (
            self.permutation[tracked.entry.id],
            tracked.entry.state.value,
            tracked.in_flight,
            int(tracked.concurrency.limit),
            tracked.concurrency.limit < 1.0,
            self.remaining_us(tracked.ejected_until_us),
            tuple(health.timeout_streak for health in tracked.by_class),
            tuple(self.remaining_us(health.ejected_until_us) for health in tracked.by_class),
            tracked.queue_headroom,
            tracked.concurrency.growing_fast,
            tracked in self.state.dispatcher.balancer.membership.pool_of(tracked).subset.members,
            len(tracked.outstanding_attempts),
        )

    def pending_request(self, request: upstream.PendingRequest) -> tuple[Any, ...]:
        return (
            request.event.request,
            self.remaining_us(request.event.due_at_us),
            self.remaining_us(self.buffered_until_us(request)),
            tuple(map(self.attempt, request.attempts)),
            request.done,
        )

    def open_request(self, request: OpenRequest) -> tuple[Any, ...]:
        return (
            request.ident,
            request.closed,
            self.remaining_us(request.due_at_us),
            tuple((self.permutation[attempt.upstream], attempt.ended) for attempt in request.attempts),
        )

    def sent_attempt(self, sent: SentAttempt) -> tuple[Any, ...]:
        return (
            sent.request,
            self.permutation[sent.upstream],
            sent.fully_written,
            sent.ended,
            sent.outcome.value if sent.outcome is not None else "",
            self.relative_time_us(sent.started_at_us),
        )

    def environment(self) -> tuple[Any, ...]:
        state = self.state
        return (
            [self.sent_attempt(sent) for sent in state.attempts],
            [
                (client.ident, client.disconnected, len(client.answers), self.remaining_us(client.due_us))
                for client in state.clients
            ],
            sorted(
                (self.remaining_us(at_us), timer.callback.__name__)
                for at_us, _, timer in state.timers.heap
                if not timer.cancelled
            ),
            state.list_change_count,
            state.client_disconnect_count,
            sorted(
                (self.permutation[ident], upstream_state.value)
                for ident, upstream_state in state.upstream_states.items()
            ),
        )

    def code_under_test(self) -> tuple[Any, ...]:
        balancer = self.state.dispatcher.balancer
        return (
            sorted(map(self.tracked_upstream, balancer.membership.by_id.values())),
            [self.pending_request(request) for _, request in sorted(balancer.requests.items())],
            [self.open_request(request) for _, request in sorted(self.state.dispatcher.requests.items())],
            balancer.buffer.event.request if balancer.buffer is not None else 0,
            sorted(
                (self.remaining_us(wake_up.at_us), wake_up.kind.value, wake_up.request, wake_up.attempt)
                for wake_up in balancer.wake_ups.pending
            ),
            self.remaining_us(balancer.wake_ups.timer_at_us),
            int(balancer.retries.budget),
            [int(2 * pool.admission.credit) for pool in balancer.membership.pools],
        )

    def text(self) -> str:
        return repr(self.environment() + self.code_under_test())


def digest(state: ModelState, permutations: list[Permutation]) -> bytes:
    """Return a digest that is the same for states that are equal under one of the permutations."""
    texts = (_PermutedState(state, permutation).text() for permutation in permutations)
    return hashlib.blake2b(min(texts).encode(), digest_size=DIGEST_BYTES).digest()


@functools.cache
def digester(model: Model) -> DigestFunction:
    """Return the function that computes the digests of a model's states."""
    permutations = list(domain_preserving_permutations(model))
    return lambda state: digest(state, permutations)
