"""Harness that takes the place of the sidecar: executes the actions of a Balancer, and checks each against the rules.

A test decides which events occur and when, as the harness simulates neither upstreams nor clients. The harness checks
the rules with its own records and not with the balancer's state. They are numbered as in the failure messages:
1. Each request gets exactly one final answer, in time.
2. A request is only repeated, or rejected after an attempt, if its class and the settings permit that.
3. A draining or removed upstream gets no request.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    FetchList,
    Idempotency,
    IdempotencyScope,
    ListKind,
    Outcome,
    Probe,
    Reject,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)

NEVER_RAN_OUTCOMES = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
START_US = 1_000_000_000
MAX_OVERDUE_TICKS = 4  # ticks after its due time by which a request must have its final answer


def request_classes() -> list[RequestClass]:
    """Return three request classes: idempotent, non-idempotent, and with an idempotency key."""
    return [
        RequestClass(
            "read",
            latency_objective_us=300_000,
            deadline_us=1_500_000,
            idempotency=Idempotency.IDEMPOTENT,
            late_weight=0.3,
        ),
        RequestClass(
            "pay",
            latency_objective_us=300_000,
            deadline_us=600_000,
            priority_weight=5,
            idempotency=Idempotency.NON_IDEMPOTENT,
        ),
        RequestClass(
            "mark",
            latency_objective_us=400_000,
            deadline_us=2_000_000,
            priority_weight=3,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            idempotency_scope=IdempotencyScope.FAILURE_DOMAIN,
            idempotency_window_us=1_200_000,
        ),
    ]


def settings(**changes: object) -> Settings:
    """Return the settings of one sidecar, with `changes` applied to the defaults of the tests."""
    values: dict[str, object] = {
        "classes": request_classes(),
        "instances": 3,
        "tick_us": 4000,
        "max_attempts": 4,
        "cancel": True,
        "max_retry_after_us": 1_000_000,
        "connect_timeout_us": 150_000,
        "hedging": True,
        "initial_capacity_share": 0.2,
        "warm_up_us": 20_000_000,
        "overload_factor": 2.5,
        "overload_window_us": 1_000_000,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def upstreams(count: int, **changes: Any) -> list[Upstream]:
    """Return `count` ready upstreams, with two upstreams in each zone and failure domain."""
    return [Upstream(100 + i, zone=i // 2, failure_domain=i // 2, **changes) for i in range(count)]


@dataclass
class TrackedAttempt:
    """An attempt that the balancer has sent. Times are in microseconds on the clock of the harness."""

    upstream: int
    zone: int
    failure_domain: int
    sent_at_us: int
    ends_at_us: int
    outcome: Outcome | None = None


@dataclass
class TrackedRequest:
    """A request that has arrived, with its attempts in the order in which they were sent."""

    event: RequestArrived
    attempts: list[TrackedAttempt] = field(default_factory=list)
    answer_count: int = 0
    closed: bool = False
    streaming: bool = False

    def may_have_run(self) -> list[TrackedAttempt]:
        """Return the attempts whose upstream may have executed the request."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN_OUTCOMES]

    def in_flight(self) -> list[int]:
        """Return the numbers of the attempts that have not ended."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.outcome is None]


class Deadline(NamedTuple):
    """A timer or the timeout of an attempt. Of those that are due at the same time, timeouts come first."""

    at_us: int
    is_timer: bool
    request_or_token: int
    """The id of the request whose attempt times out, or the token of the timer."""
    attempt: int = 0


class BalancerHarness:
    """A Balancer with a clock, timers, and the records with which its actions are checked."""

    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.settings = config or settings()
        self.now_us = START_US
        self.balancer = Balancer(self.settings, seed, self.now_us)
        self.requests: dict[int, TrackedRequest] = {}
        self.known_entries: dict[int, Upstream] = {}
        self.unavailable_since_us: dict[int, int] = {}  # by id of a draining or removed upstream
        self.timers: list[Deadline] = []
        self.actions: list[Action] = []
        self.next_request = 1

    # Events

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the balancer, check and record the resulting actions, and return them."""
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.actions.extend(actions)
        return actions

    def update_upstreams(self, entries: list[Upstream], kind: ListKind = ListKind.FULL) -> list[Action]:
        """Pass an endpoint list, or changes to it, to the balancer, and return the resulting actions."""
        for entry in entries:
            self.known_entries[entry.id] = entry
            if entry.state is UpstreamState.READY:
                self.unavailable_since_us.pop(entry.id, None)
            else:
                self.unavailable_since_us.setdefault(entry.id, self.now_us)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for upstream_id in self.known_entries.keys() - {entry.id for entry in entries}:
                self.unavailable_since_us.setdefault(upstream_id, self.now_us)
        return self.handle(UpstreamsUpdated(kind, entries))

    def arrive(self, class_index: int = 0, due_in_us: int | None = None, **fields: Any) -> int:
        """Let a new request arrive, which is due after `due_in_us` or the deadline of its class. Returns its id."""
        request = self.next_request
        self.next_request += 1
        remaining_us = due_in_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(request, self.now_us + remaining_us, class_index, **fields)
        self.requests[request] = TrackedRequest(event)
        self.handle(event)
        return request

    def end(self, request: int, attempt: int, outcome: Outcome, **fields: list[float]) -> list[Action]:
        """End an attempt now, and return the resulting actions. `fields` are further fields of the event."""
        tracked = self.requests[request]
        attempt_record = tracked.attempts[attempt]
        assert attempt_record.outcome is None
        attempt_record.outcome = outcome
        if (outcome is Outcome.OK or tracked.streaming) and not tracked.closed:
            tracked.closed = True
            tracked.answer_count += 1
        return self.handle(
            AttemptEnded(
                request,
                attempt,
                attempt_record.upstream,
                outcome,
                self.now_us - attempt_record.sent_at_us,
                tracked.closed,
                **fields,
            )
        )

    def begin_stream(self, request: int, attempt: int) -> None:
        """Start the streamed response to an attempt. From now on, the request has no timeout."""
        self.requests[request].streaming = True
        self.handle(StreamStarted(request, attempt, self.requests[request].attempts[attempt].upstream))

    def disconnect_client(self, request: int) -> None:
        """Disconnect the client of a request that has no final answer yet."""
        self.requests[request].closed = True
        self.requests[request].answer_count = 1
        self.handle(ClientDisconnected(request))

    def advance(self, duration_us: int) -> None:
        """Advance the clock, and let the timers and attempt timeouts that become due take effect."""
        end_us = self.now_us + duration_us
        while due_deadlines := [deadline for deadline in self._deadlines() if deadline.at_us <= end_us]:
            next_deadline = min(due_deadlines)
            self.now_us = max(self.now_us, next_deadline.at_us)
            if next_deadline.is_timer:
                self.timers.remove(next_deadline)
                self.handle(TimerFired(next_deadline.request_or_token))
            else:
                self.end(next_deadline.request_or_token, next_deadline.attempt, Outcome.TIMEOUT)
        self.now_us = end_us
        self._check_overdue_requests()

    def _deadlines(self) -> list[Deadline]:
        timeouts = [
            Deadline(tracked.attempts[number].ends_at_us, False, request, number)
            for request, tracked in self.requests.items()
            if not tracked.streaming
            for number in tracked.in_flight()
        ]
        return self.timers + timeouts

    # Checks

    def _check_overdue_requests(self) -> None:
        slack_us = MAX_OVERDUE_TICKS * self.settings.tick_us
        for request, tracked in self.requests.items():
            is_overdue = self.now_us > tracked.event.due_at_us + slack_us and not tracked.streaming
            assert not is_overdue or tracked.answer_count == 1, (
                f"rule 1: request {request} has no answer after its due time"
            )

    def check(self, action: Action) -> None:
        """Check an action against the rules, and record the attempt or timer that it starts."""
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            self.check_answer(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancel, "a Cancel though the settings do not allow it"
            assert action.attempt < len(self.requests[action.request].attempts), "a Cancel of an unknown attempt"
        elif isinstance(action, SetTimer):
            assert action.at_us >= self.now_us
            self.timers.append(Deadline(action.at_us, True, action.token))
        elif isinstance(action, Probe):
            assert self.settings.probes, "a Probe though the settings do not allow it"
        else:
            assert not isinstance(action, Subscribe | FetchList) or self.settings.polls_endpoints

    def check_send(self, send: Send) -> None:
        """Check an attempt against the rules, and record it."""
        tracked = self.requests[send.request]
        entry = self.known_entries[send.upstream]
        assert not tracked.closed, "rule 1: an attempt after the final answer"
        assert len(tracked.attempts) < self.settings.max_attempts, "more attempts than allowed"
        assert send.upstream not in self.unavailable_since_us, "rule 3: an attempt at a draining or removed upstream"
        assert self.settings.hedging or not tracked.in_flight(), "rule 2: two attempts in flight at the same time"
        for earlier_attempt in tracked.may_have_run():
            self._check_repeat(tracked, earlier_attempt, entry)
        ends_at_us = tracked.event.due_at_us
        if send.timeout_us:
            ends_at_us = min(ends_at_us, self.now_us + send.timeout_us)
        tracked.attempts.append(
            TrackedAttempt(send.upstream, entry.zone, entry.failure_domain, self.now_us, ends_at_us)
        )

    def _check_repeat(self, tracked: TrackedRequest, earlier_attempt: TrackedAttempt, entry: Upstream) -> None:
        request_class = self.settings.classes[tracked.event.class_index]
        assert request_class.idempotency != Idempotency.NON_IDEMPOTENT, "rule 2: a non-idempotent request sent again"
        if request_class.idempotency != Idempotency.IDEMPOTENCY_KEY:
            return
        assert self.now_us - earlier_attempt.sent_at_us <= request_class.idempotency_window_us, (
            "rule 2: a repeat after the idempotency window"
        )
        if request_class.idempotency_scope == IdempotencyScope.FAILURE_DOMAIN:
            assert entry.failure_domain == earlier_attempt.failure_domain, "rule 2: a repeat outside the failure domain"
        if request_class.idempotency_scope == IdempotencyScope.ZONE:
            assert entry.zone == earlier_attempt.zone, "rule 2: a repeat outside the zone"

    def check_answer(self, answer: Reject | Fail) -> None:
        """Check a final answer, and close its request."""
        tracked = self.requests[answer.request]
        request_class = self.settings.classes[tracked.event.class_index]
        assert not tracked.closed, "rule 1: a second final answer"
        tracked.closed = True
        tracked.answer_count += 1
        if isinstance(answer, Reject):
            assert answer.retry_after_us <= self.settings.max_retry_after_us
            is_safe_to_repeat = request_class.idempotency == Idempotency.IDEMPOTENT or (
                request_class.idempotency == Idempotency.IDEMPOTENCY_KEY
                and request_class.idempotency_scope == IdempotencyScope.ALL
            )
            assert is_safe_to_repeat or not tracked.may_have_run(), "rule 2: a rejection of a request that may have run"

    # Results

    def sends(self, request: int | None = None) -> list[Send]:
        """Return the Send actions so far, of one request or of all."""
        return [action for action in self.actions if isinstance(action, Send) and request in (None, action.request)]

    def answer(self, request: int) -> Action | None:
        """Return the Reject or Fail action of a request, or None."""
        for action in self.actions:
            if isinstance(action, Reject | Fail) and action.request == request:
                return action
        return None
