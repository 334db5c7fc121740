"""Seeded faults of a sidecar that the experiments of this package detect.

Each function installs its fault in the whole process for good, so call it in a process of its own.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from ryepier.balancer import interface as api
from ryepier.balancer.feedback import AttemptFeedback
from ryepier.balancer.outlier_detection import OutlierDetector
from ryepier.balancer.selection import Candidate, Selector
from ryepier.balancer.upstream import Attempt as SentAttempt
from ryepier.balancer.upstream import PendingRequest, TrackedUpstream
from ryepier.check.seeded_faults import delayed_answer
from ryepier.sidecar import endpoint_registry
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, ClientRequest, FinalAnswer
from ryepier.sidecar.system import clock_us
from ryepier.sidecar.upstream_attempt import UpstreamAttempt

DUPLICATION_INTERVAL = 40  # requests; the last of so many goes to a second converter too
LOSS_INTERVAL = 150  # answers; the last of so many is never written
SPIN_US = 400  # more than a request usually costs
START_DELAY_S = 5.0


def send_twice() -> None:
    """Send one request in many to two converters at once."""
    start = ConnectionPool.start_attempt
    count = 0

    def start_twice(
        self: ConnectionPool,
        upstream: int,
        address: tuple[str, int],
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_us: int = 0,
    ) -> UpstreamAttempt:
        nonlocal count
        count += 1
        others = [known for known in self.connections if known != upstream]
        if count % DUPLICATION_INTERVAL == 0 and others:
            peer = next(iter(self.connections[others[0]])).sock.getpeername()
            start(self, others[0], peer, request, timeout_us, lambda result: None)
        return start(self, upstream, address, request, timeout_us, on_end, latest_write_us)

    ConnectionPool.start_attempt = start_twice  # type: ignore[method-assign]


def ignore_draining() -> None:
    """Treat a draining converter as ready."""
    endpoint_registry.STATES["leaving"] = api.UpstreamState.READY


def lose_answers() -> None:
    """Never write one answer in many."""
    give = RequestDispatcher._answer
    count = 0

    def answer_most(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        nonlocal count
        count += 1
        request = self.requests.get(ident)
        if count % LOSS_INTERVAL == 0 and request is not None:
            request.reply = lambda final: None
        give(self, ident, answer)

    RequestDispatcher._answer = answer_most  # type: ignore[method-assign]


def ignore_silence() -> None:
    """Learn nothing about a converter from its silence or timeouts."""
    adapt = AttemptFeedback._adapt

    def adapt_to_answers(
        self: AttemptFeedback, attempt: SentAttempt, elapsed_us: int, slots_needed: bool, now_us: int
    ) -> bool:
        timed_out = attempt.outcome is api.Outcome.TIMEOUT
        return not timed_out and adapt(self, attempt, elapsed_us, slots_needed, now_us)

    def forget_overdue(self: OutlierDetector, attempt: SentAttempt, now_us: int) -> None:
        attempt.overdue = attempt.presumed_lost = True
        attempt.upstream.in_flight -= 1

    AttemptFeedback._adapt = adapt_to_answers  # type: ignore[method-assign]
    OutlierDetector.on_overdue = forget_overdue  # type: ignore[method-assign]


def prefer_warming() -> None:
    """Send everything to the newest converter that is warming up."""
    candidates_with_free_slots = Selector.candidates_with_free_slots

    def newest_warming(
        self: Selector,
        request: PendingRequest,
        upstreams: Iterable[TrackedUpstream],
        ejections_apply: bool,
        now_us: int,
    ) -> list[Candidate]:
        listed = self.membership.by_id.values()
        warming = [one for one in listed if self.membership.pool_of(one).slow_start.is_warming(one.entry, now_us)]
        if warming:
            return [Candidate(warming[-1], 1.0)]
        return candidates_with_free_slots(self, request, upstreams, ejections_apply, now_us)

    Selector.candidates_with_free_slots = newest_warming  # type: ignore[method-assign]


def omit_retry_after() -> None:
    """Reject without a Retry-After."""
    give = RequestDispatcher._answer

    def answer_without(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        answer.retry_after_us = 0
        give(self, ident, answer)

    RequestDispatcher._answer = answer_without  # type: ignore[method-assign]


def waste_cpu() -> None:
    """Spend far more CPU on each request than it needs."""
    on_request = RequestDispatcher.on_request

    def accept_slowly(self: RequestDispatcher, request: ClientRequest, reply: Callable[[FinalAnswer], None]) -> int:
        until_us = clock_us() + SPIN_US
        while clock_us() < until_us:
            pass
        return on_request(self, request, reply)

    RequestDispatcher.on_request = accept_slowly  # type: ignore[method-assign]


def start_late() -> None:
    """Take long to come up."""
    time.sleep(START_DELAY_S)


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "twice": send_twice,
    "deaf": ignore_draining,
    "hold": delayed_answer,
    "lose": lose_answers,
    "blind": ignore_silence,
    "crowd": prefer_warming,
    "no-advice": omit_retry_after,
    "spin": waste_cpu,
    "late-start": start_late,
}
