"""Seeded faults of a sidecar that the experiments of this package detect.

Each function patches the code of the whole process and can't be undone, so call it in a separate process.
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
from ryepier.sidecar import connection_pool, endpoint_registry
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, ClientRequest, FinalAnswer
from ryepier.sidecar.system import clock_us
from ryepier.sidecar.upstream_attempt import UpstreamAttempt
from ryepier.sidecar.upstream_connection import ResponseReader, UpstreamConnection

DUPLICATION_INTERVAL = 40  # one in this many attempts is sent to a second converter, too
LOSS_INTERVAL = 150  # one in this many answers is never written
WASTED_CPU_US = 400  # per request; more than the usual CPU time per request
START_DELAY_S = 5.0


def send_twice() -> None:
    """Send one in `DUPLICATION_INTERVAL` attempts to two converters at once."""
    original_start = ConnectionPool.start_attempt
    attempt_count = 0

    def start_twice(
        self: ConnectionPool,
        upstream: int,
        address: tuple[str, int],
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_at_us: int = 0,
    ) -> UpstreamAttempt:
        nonlocal attempt_count
        attempt_count += 1
        other_upstreams = [upstream_id for upstream_id in self.connections if upstream_id != upstream]
        if attempt_count % DUPLICATION_INTERVAL == 0 and other_upstreams:
            other_address = next(iter(self.connections[other_upstreams[0]])).sock.getpeername()
            original_start(self, other_upstreams[0], other_address, request, timeout_us, lambda result: None)
        return original_start(self, upstream, address, request, timeout_us, on_end, latest_write_at_us)

    ConnectionPool.start_attempt = start_twice  # type: ignore[method-assign]


def ignore_draining() -> None:
    """Treat a draining converter as ready."""
    endpoint_registry.UPSTREAM_STATES["leaving"] = api.UpstreamState.READY


def lose_answers() -> None:
    """Never write one in `LOSS_INTERVAL` answers to the client."""
    original_answer = RequestDispatcher._answer
    answer_count = 0

    def answer_with_losses(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        nonlocal answer_count
        answer_count += 1
        request = self.requests.get(ident)
        if answer_count % LOSS_INTERVAL == 0 and request is not None:
            request.reply = lambda final_answer: None
        original_answer(self, ident, answer)

    RequestDispatcher._answer = answer_with_losses  # type: ignore[method-assign]


def ignore_timeouts() -> None:
    """Ignore timeouts and overdue attempts in the estimates of a converter's health."""
    original_adapt = AttemptFeedback._adapt

    def adapt_unless_timed_out(
        self: AttemptFeedback, attempt: SentAttempt, elapsed_us: int, in_shortage: bool, now_us: int
    ) -> bool:
        timed_out = attempt.outcome is api.Outcome.TIMEOUT
        return not timed_out and original_adapt(self, attempt, elapsed_us, in_shortage, now_us)

    def ignore_overdue(self: OutlierDetector, attempt: SentAttempt, now_us: int) -> None:
        attempt.overdue = attempt.presumed_lost = True
        attempt.upstream.in_flight -= 1

    AttemptFeedback._adapt = adapt_unless_timed_out  # type: ignore[method-assign]
    OutlierDetector.on_overdue = ignore_overdue  # type: ignore[method-assign]


def prefer_warming() -> None:
    """Send all requests to the newest converter that is warming up, as long as there is one."""
    original_candidates = Selector.candidates_with_free_slots

    def newest_warming(
        self: Selector,
        request: PendingRequest,
        upstreams: Iterable[TrackedUpstream],
        ejections_apply: bool,
        now_us: int,
    ) -> list[Candidate]:
        upstreams_in_list = self.membership.by_id.values()
        warming_upstreams = [
            upstream
            for upstream in upstreams_in_list
            if self.membership.pool_of(upstream).slow_start.is_warming(upstream.entry, now_us)
        ]
        if warming_upstreams:
            return [Candidate(warming_upstreams[-1], 1.0)]
        return original_candidates(self, request, upstreams, ejections_apply, now_us)

    Selector.candidates_with_free_slots = newest_warming  # type: ignore[method-assign]


def omit_retry_after() -> None:
    """Answer all requests without a Retry-After header."""
    original_answer = RequestDispatcher._answer

    def answer_without_retry_after(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        answer.retry_after_us = 0
        original_answer(self, ident, answer)

    RequestDispatcher._answer = answer_without_retry_after  # type: ignore[method-assign]


def waste_cpu() -> None:
    """Waste `WASTED_CPU_US` of CPU time on each request."""
    original_on_request = RequestDispatcher.on_request

    def accept_slowly(self: RequestDispatcher, request: ClientRequest, reply: Callable[[FinalAnswer], None]) -> int:
        until_us = clock_us() + WASTED_CPU_US
        while clock_us() < until_us:
            pass
        return original_on_request(self, request, reply)

    RequestDispatcher.on_request = accept_slowly  # type: ignore[method-assign]


def start_late() -> None:
    """Delay the start of the sidecar by `START_DELAY_S`."""
    time.sleep(START_DELAY_S)


def take_reset_for_end() -> None:
    """Complete a response without a length also where its connection is reset."""
    original_connection_lost = UpstreamConnection.connection_lost

    def finish_and_lose_connection(self: UpstreamConnection, error: Exception | None) -> None:
        self.eof_received()
        original_connection_lost(self, error)

    UpstreamConnection.connection_lost = finish_and_lose_connection  # type: ignore[method-assign]


def take_end_for_reset() -> None:
    """Never complete a response without a length."""
    ResponseReader.finish = lambda self: None  # type: ignore[method-assign]


def reuse_at_once() -> None:
    """Use a connection again as soon as its response is complete."""
    connection_pool.MIN_IDLE_BEFORE_REUSE_US = 0


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "twice": send_twice,
    "deaf": ignore_draining,
    "hold": delayed_answer,
    "lose": lose_answers,
    "blind": ignore_timeouts,
    "crowd": prefer_warming,
    "no-advice": omit_retry_after,
    "spin": waste_cpu,
    "late-start": start_late,
    "reset-as-end": take_reset_for_end,
    "end-as-reset": take_end_for_reset,
    "reuse-at-once": reuse_at_once,
}
