"""Mistakes of a sidecar that the experiments on faults find.

Each is a function to be called in a process of its own, as it stays.
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
from ryepier.check.seeded_faults import held_answer
from ryepier.sidecar import endpoint_registry
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, ClientRequest, FinalAnswer
from ryepier.sidecar.system import clock_us
from ryepier.sidecar.upstream_attempt import UpstreamAttempt

EVERY_TWICE = 40  # requests; one of so many goes to a second converter too
EVERY_LOST = 150  # answers; one of so many is never written
SPIN_US = 400  # more than a request costs a sidecar that is well
LATE_S = 5.0


def twice() -> None:
    """One request in many is sent to two converters at once."""
    start, count = ConnectionPool.start, 0

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
        others = [line for line in self.connections if line != upstream]
        if count % EVERY_TWICE == 0 and others:
            peer = next(iter(self.connections[others[0]])).sock.getpeername()
            start(self, others[0], peer, request, timeout_us, lambda result: None)
        return start(self, upstream, address, request, timeout_us, on_end, latest_write_us)

    ConnectionPool.start = start_twice  # type: ignore[method-assign]


def deaf() -> None:
    """A converter that drains is taken for ready."""
    endpoint_registry.STATES["leaving"] = api.UpstreamState.READY


def lose() -> None:
    """One answer in many is never written."""
    give, count = RequestDispatcher._answer, 0

    def answer_most(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        nonlocal count
        count += 1
        request = self.requests.get(ident)
        if count % EVERY_LOST == 0 and request is not None:
            request.reply = lambda final: None
        give(self, ident, answer)

    RequestDispatcher._answer = answer_most  # type: ignore[method-assign]


def blind() -> None:
    """Silence and time-outs tell it nothing of a converter."""
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


def crowd() -> None:
    """A fresh converter gets all there is."""
    free_slots = Selector.free_slots

    def youngest(
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
        return free_slots(self, request, upstreams, ejections_apply, now_us)

    Selector.free_slots = youngest  # type: ignore[method-assign]


def no_advice() -> None:
    """Refusals do not say when to come back."""
    give = RequestDispatcher._answer

    def answer_without(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        answer.retry_after_us = 0
        give(self, ident, answer)

    RequestDispatcher._answer = answer_without  # type: ignore[method-assign]


def spin() -> None:
    """Each request costs far more CPU than it needs."""
    on_request = RequestDispatcher.on_request

    def accept_slowly(self: RequestDispatcher, request: ClientRequest, reply: Callable[[FinalAnswer], None]) -> int:
        until_us = clock_us() + SPIN_US
        while clock_us() < until_us:
            pass
        return on_request(self, request, reply)

    RequestDispatcher.on_request = accept_slowly  # type: ignore[method-assign]


def late_start() -> None:
    """It takes long to come up."""
    time.sleep(LATE_S)


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "twice": twice,
    "deaf": deaf,
    "hold": held_answer,
    "lose": lose,
    "blind": blind,
    "crowd": crowd,
    "no-advice": no_advice,
    "spin": spin,
    "late-start": late_start,
}
