"""A stand-in for the sidecar around a Balancer: carries out its actions and checks the contract.

It is no simulator: tests say what happens and when. Every action is checked against the four rules as
the contract words them, from records kept here and not from the module's own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

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

NEVER_RAN = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
START_US = 1_000_000_000


def request_classes() -> list[RequestClass]:
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
    """`count` ready upstreams, two to a cell and to a zone."""
    return [Upstream(100 + i, zone=i // 2, failure_domain=i // 2, **changes) for i in range(count)]


@dataclass
class TrackedAttempt:
    upstream: int
    zone: int
    failure_domain: int
    sent_us: int
    ends_us: int
    outcome: Outcome | None = None


@dataclass
class TrackedRequest:
    event: RequestArrived
    attempts: list[TrackedAttempt] = field(default_factory=list)
    answers: int = 0
    closed: bool = False
    stream: bool = False

    def may_have_run(self) -> list[TrackedAttempt]:
        return [t for t in self.attempts if t.outcome not in NEVER_RAN]

    def in_flight(self) -> list[int]:
        return [n for n, t in enumerate(self.attempts) if t.outcome is None]


class BalancerHarness:
    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.settings = config or settings()
        self.now_us = START_US
        self.balancer = Balancer(self.settings, seed, self.now_us)
        self.requests: dict[int, TrackedRequest] = {}
        self.known: dict[int, Upstream] = {}
        self.unavailable_since_us: dict[int, int] = {}  # upstreams told draining or gone: since when
        self.timers: list[tuple[int, int]] = []
        self.actions: list[Action] = []
        self.next_id = 1

    # Events

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.actions.extend(actions)
        return actions

    def update_upstreams(self, entries: list[Upstream], kind: ListKind = ListKind.FULL) -> list[Action]:
        for entry in entries:
            self.known[entry.id] = entry
            if entry.state is UpstreamState.READY:
                self.unavailable_since_us.pop(entry.id, None)
            else:
                self.unavailable_since_us.setdefault(entry.id, self.now_us)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for ident in self.known.keys() - {e.id for e in entries}:
                self.unavailable_since_us.setdefault(ident, self.now_us)
        return self.handle(UpstreamsUpdated(kind, entries))

    def arrive(self, class_index: int = 0, patience_us: int | None = None, **fields: Any) -> int:
        ident = self.next_id
        self.next_id += 1
        patience = patience_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(ident, self.now_us + patience, class_index, **fields)
        self.requests[ident] = TrackedRequest(event)
        self.handle(event)
        return ident

    def end(self, request: int, attempt: int, outcome: Outcome, **fields: list[float]) -> list[Action]:
        requests = self.requests[request]
        this = requests.attempts[attempt]
        assert this.outcome is None
        this.outcome = outcome
        if (outcome is Outcome.OK or requests.stream) and not requests.closed:
            requests.closed = True
            requests.answers += 1
        return self.handle(
            AttemptEnded(
                request, attempt, this.upstream, outcome, self.now_us - this.sent_us, requests.closed, **fields
            )
        )

    def begin_stream(self, request: int, attempt: int) -> None:
        self.requests[request].stream = True
        self.handle(StreamStarted(request, attempt, self.requests[request].attempts[attempt].upstream))

    def disconnect_client(self, request: int) -> None:
        self.requests[request].closed = True
        self.requests[request].answers = 1
        self.handle(ClientDisconnected(request))

    def advance(self, by_us: int) -> None:
        """Move the clock, with the timers and the attempts' time-outs that fall due on the way."""
        end_us = self.now_us + by_us
        while True:
            due = [(at, 1, token, 0) for at, token in self.timers]
            due += [
                (t.ends_us, 0, ident, n)
                for ident, requests in self.requests.items()
                if not requests.stream
                for n, t in enumerate(requests.attempts)
                if t.outcome is None
            ]
            due = [d for d in due if d[0] <= end_us]
            if not due:
                break
            at, kind, first, second = min(due)
            self.now_us = max(self.now_us, at)
            if kind == 0:
                self.end(first, second, Outcome.TIMEOUT)
            else:
                self.timers.remove((at, first))
                self.handle(TimerFired(first))
        self.now_us = end_us
        slack_us = 4 * self.settings.tick_us
        for ident, requests in self.requests.items():
            overdue = self.now_us > requests.event.due_us + slack_us and not requests.stream
            assert not overdue or requests.answers == 1, f"rule 1: request {ident} is unanswered past due"

    # Checks

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            self.check_answer(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancel, "a cancel where none is allowed"
            assert action.attempt < len(self.requests[action.request].attempts), "a cancel of no attempt"
        elif isinstance(action, SetTimer):
            assert action.at_us >= self.now_us
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, Probe):
            assert self.settings.probes, "a probe where none is allowed"
        else:
            assert not isinstance(action, Subscribe | FetchList) or self.settings.polls_endpoints

    def check_send(self, send: Send) -> None:
        requests = self.requests[send.request]
        entry = self.known[send.upstream]
        kind = self.settings.classes[requests.event.class_index]
        assert not requests.closed, "rule 1: a send after the end"
        assert len(requests.attempts) < self.settings.max_attempts, "more attempts than allowed"
        assert send.upstream not in self.unavailable_since_us, "rule 3: a send to a draining or gone upstream"
        assert self.settings.hedging or not requests.in_flight(), "rule 2: two attempts out together"
        for earlier in requests.may_have_run():
            assert kind.idempotency != Idempotency.NON_IDEMPOTENT, "rule 2: an unsafe request sent again"
            if kind.idempotency == Idempotency.IDEMPOTENCY_KEY:
                assert self.now_us - earlier.sent_us <= kind.idempotency_window_us, "rule 2: past the memory"
                assert (
                    kind.idempotency_scope != IdempotencyScope.FAILURE_DOMAIN
                    or entry.failure_domain == earlier.failure_domain
                ), "rule 2: outside the cell"
                assert kind.idempotency_scope != IdempotencyScope.ZONE or entry.zone == earlier.zone, (
                    "rule 2: outside the zone"
                )
        ends_us = requests.event.due_us
        if send.timeout_us:
            ends_us = min(ends_us, self.now_us + send.timeout_us)
        requests.attempts.append(TrackedAttempt(send.upstream, entry.zone, entry.failure_domain, self.now_us, ends_us))

    def check_answer(self, answer: Reject | Fail) -> None:
        requests = self.requests[answer.request]
        kind = self.settings.classes[requests.event.class_index]
        assert not requests.closed, "rule 1: a second answer"
        requests.closed = True
        requests.answers += 1
        if isinstance(answer, Reject):
            assert answer.retry_after_us <= self.settings.max_retry_after_us
            harmless = kind.idempotency == Idempotency.IDEMPOTENT or (
                kind.idempotency == Idempotency.IDEMPOTENCY_KEY and kind.idempotency_scope == IdempotencyScope.ALL
            )
            assert harmless or not requests.may_have_run(), "rule 2: a refusal of what may have run"

    # What tests look at

    def sends(self, request: int | None = None) -> list[Send]:
        return [a for a in self.actions if isinstance(a, Send) and request in (None, a.request)]

    def answer(self, request: int) -> Action | None:
        for action in self.actions:
            if isinstance(action, Reject | Fail) and action.request == request:
                return action
        return None
