"""One path through a model: the real `Host` and `Balancer`, and an environment that does one thing at a time.

A path is a list of steps. The same path gives the same world, so that a state is reached by its path alone and nothing
is ever copied. Chance is part of the path: where the module draws, the path says what comes.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any, TypeVar

from ryepier.balancer import interface as api
from ryepier.sidecar import system
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, ClientRequest, FinalAnswer, FinalOutcome

T = TypeVar("T")

AIM_US, DEADLINE_US = 100_000, 240_000
MEMORY_US = 90_000  # shorter than an attempt may take, so that a key may be forgotten while its request is out
ZERO_US = 1_000_000_000  # of every path
SLACK_US = 20_000  # after its time is out, till a client's answer counts as missing
MOST_SETTLING = 200  # timers after all is over

CLASSES = {
    "once": api.RequestClass(
        "once", AIM_US, DEADLINE_US, priority_weight=2.0, late_weight=0.5, idempotency=api.Idempotency.NON_IDEMPOTENT
    ),
    "ask": api.RequestClass("ask", AIM_US, DEADLINE_US, late_weight=0.5),
    "cell": api.RequestClass(
        "cell",
        AIM_US,
        DEADLINE_US,
        late_weight=0.5,
        idempotency=api.Idempotency.IDEMPOTENCY_KEY,
        idempotency_scope=api.IdempotencyScope.FAILURE_DOMAIN,
        idempotency_window_us=MEMORY_US,
    ),
    "all": api.RequestClass(
        "all",
        AIM_US,
        DEADLINE_US,
        late_weight=0.5,
        idempotency=api.Idempotency.IDEMPOTENCY_KEY,
        idempotency_scope=api.IdempotencyScope.ALL,
        idempotency_window_us=MEMORY_US,
    ),
}
OUTCOMES = {"ok": api.Outcome.OK, "error": api.Outcome.ERROR, "full": api.Outcome.REJECTED, "reset": api.Outcome.RESET}
NEVER_RAN = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Model:
    """What is explored. `changes` bounds how often the list changes on a path, `leaves` how many clients go away."""

    name: str
    converters: int
    requests: tuple[str, ...]  # the class of each, in the order of their coming
    failure_domains: tuple[int, ...] = ()  # of each converter; by default each in its own
    max_attempts: int = 3
    list_changes: int = 0
    client_disconnects: int = 0
    outcomes: tuple[str, ...] = tuple(OUTCOMES)
    connects_first: bool = False  # whether a connection has to come up first, and may fail
    depth: int = 0  # steps; 0 = to the end

    def failure_domain(self, upstream: int) -> int:
        return self.failure_domains[upstream - 1] if self.failure_domains else upstream


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that the environment does. `picks` are the module's draws while it reacts."""

    action: str
    index: int = 0  # of a request, flight or converter
    detail: str = ""
    draws: tuple[int, ...] = ()

    def __str__(self) -> str:
        text = " ".join(str(part) for part in (self.action, self.index, self.detail) if part != "")
        return text + (f" (draws {', '.join(map(str, self.draws))})" if self.draws else "")


class UndecidedDraw(BaseException):
    """The module draws among so many, and the path does not say what comes. Not an `Exception`, as the host goes on
    after those."""

    def __init__(self, choices: int) -> None:
        super().__init__(choices)
        self.choices = choices


class Chance:
    """In the place of the module's random numbers. A draw of a server is a branch; a spread of times is its middle,
    as it only moves when something happens, and every order of what happens is explored anyway."""

    def __init__(self) -> None:
        self.picks: Iterator[int] = iter(())

    def choices(self, population: Sequence[T], weights: Sequence[float]) -> list[T]:
        if len(population) == 1:
            return [population[0]]
        pick = next(self.picks, None)
        if pick is None:
            raise UndecidedDraw(len(population))
        return [population[pick]]

    def random(self) -> float:
        return 0.5

    def uniform(self, low: float, high: float) -> float:
        return (low + high) / 2

    def randint(self, low: int, high: int) -> int:
        return low


class Timer:
    """A callback that is due."""

    def __init__(self, what: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.what = what
        self.args = args
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Timers:
    """What the host takes of a loop, by the path's own clock."""

    def __init__(self) -> None:
        self.now_us = ZERO_US
        self.heap: list[tuple[int, int, Timer]] = []
        self.count = itertools.count()

    def call_later(self, delay: float, callback: Callable[..., None], *args: object) -> Any:
        timer = Timer(callback, args)
        heapq.heappush(self.heap, (self.now_us + round(delay * 1e6), next(self.count), timer))
        return timer

    def next_us(self) -> int | None:
        while self.heap and self.heap[0][2].cancelled:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def fire(self) -> None:
        timer = heapq.heappop(self.heap)[2]
        timer.what(*timer.args)


@dataclass(slots=True)
class Sent:
    """An attempt, as the environment knows it."""

    number: int  # among all of the path
    request: int
    upstream: int
    ended: Callable[[AttemptResult], None]
    at_us: int
    written: bool
    over: bool = False  # nothing more comes of it
    outcome: api.Outcome | None = None  # None: it was given up, or is out

    def cancel(self) -> None:
        self.over = True

    def may_have_run(self) -> bool:
        return self.written and self.outcome not in NEVER_RAN


@dataclass(slots=True)
class Violation:
    rule: str
    text: str


@dataclass(slots=True)
class Client:
    """One request, as its client knows it."""

    kind: api.RequestClass
    ident: int = 0  # the host's
    due_us: int = 0
    answers: list[FinalAnswer] = field(default_factory=list)
    gone: bool = False
    sent: list[Sent] = field(default_factory=list)

    @property
    def waits(self) -> bool:
        return self.ident > 0 and not self.gone and not self.answers


class ModelState:
    """The host, the module and their environment after a path. As the host's upstreams it sees each attempt."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self.timers = Timers()
        self.violations: list[Violation] = []
        self.clients = [Client(CLASSES[name]) for name in model.requests]
        self.flights: list[Sent] = []
        self.states = dict.fromkeys(range(1, model.converters + 1), api.UpstreamState.READY)
        self.changes = self.gone = 0
        self.events: list[str] = []  # what was seen, for a reader
        self.arriving: Client | None = None
        names = list(CLASSES)
        self.classes = [names.index(name) for name in model.requests]
        settings = api.Settings(list(CLASSES.values()), max_attempts=model.max_attempts, max_retry_after_us=500_000)
        self.chance = Chance()
        with self.clock():
            self.host = RequestDispatcher(settings, 1, self, self.timers)
            for name in ("choices", "random", "uniform", "randint"):
                setattr(self.host.balancer.random, name, getattr(self.chance, name))
            self.host.start()
            self.tell_list(api.ListKind.FULL, list(self.states))

    @contextmanager
    def clock(self) -> Iterator[None]:
        """The path's own in the place of the machine's, while the host's code runs."""
        before = system.monotonic_ns
        system.monotonic_ns = lambda: self.timers.now_us * 1000
        try:
            yield
        finally:
            system.monotonic_ns = before

    # As the host's upstreams

    def start(
        self,
        upstream: int,
        address: tuple[str, int],
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_us: int = 0,
    ) -> Sent:
        client = self.clients[int(request.request_id)]
        sent = Sent(
            len(self.flights),
            int(request.request_id),
            upstream,
            on_end,
            self.timers.now_us,
            not self.model.connects_first,
        )
        self.flights.append(sent)
        self.events.append(f"attempt {sent.number} of request {sent.request} -> converter {upstream}")
        self.look_at_send(client, sent)
        client.sent.append(sent)
        return sent

    def close_idle(self, upstream: int) -> None:
        pass

    def remove_upstream(self, upstream: int) -> None:
        pass

    # What holds of each attempt and answer; the pages are those of docs/design/checking.md

    def look_at_send(self, client: Client, sent: Sent) -> None:
        for earlier in client.sent:
            if not earlier.over:
                self.violate("together", f"attempt {sent.number} while {earlier.number} is out")
            elif earlier.may_have_run() and not self.repeatable(client.kind, earlier, sent):
                self.violate("resend", f"attempt {sent.number} after {earlier.number}, which may have run")
        if len(client.sent) >= self.model.max_attempts:
            self.violate("attempts", f"attempt {len(client.sent) + 1} of at most {self.model.max_attempts}")
        if client.gone or client.answers:
            self.violate("resend", f"attempt {sent.number} of a request that is over")
        if self.states[sent.upstream] is not api.UpstreamState.READY:  # stricter than the 500 ms that it may take
            self.violate("drain", f"attempt {sent.number} to converter {sent.upstream}, which is to get nothing new")

    def repeatable(self, kind: api.RequestClass, earlier: Sent, later: Sent) -> bool:
        if kind.idempotency == api.Idempotency.IDEMPOTENT:
            return True
        if (
            kind.idempotency == api.Idempotency.NON_IDEMPOTENT
            or later.at_us - earlier.at_us >= kind.idempotency_window_us
        ):
            return False
        return kind.idempotency_scope == api.IdempotencyScope.ALL or self.model.failure_domain(
            earlier.upstream
        ) == self.model.failure_domain(later.upstream)

    def replied(self, number: int, answer: FinalAnswer) -> None:
        client = self.clients[number]
        self.events.append(f"request {number} <- {answer.outcome.value}")
        if client.answers:
            self.violate("answers", f"request {number} has a second answer")
        if client.gone:
            self.violate("answers", f"request {number} is answered though its client has gone")
        client.answers.append(answer)
        harmless = client.kind.idempotency == api.Idempotency.IDEMPOTENT or (
            client.kind.idempotency_scope == api.IdempotencyScope.ALL
            and (client.kind.idempotency == api.Idempotency.IDEMPOTENCY_KEY)
        )
        if answer.outcome is FinalOutcome.REJECTED and not harmless and any(one.may_have_run() for one in client.sent):
            self.violate("refused", f"request {number} is refused, and an attempt may have run")
        if answer.outcome is FinalOutcome.SERVED and not any(one.outcome is api.Outcome.OK for one in client.sent):
            self.violate("answers", f"request {number} is served, and no converter did it")

    def violate(self, rule: str, text: str) -> None:
        self.violations.append(Violation(rule, text))

    # Steps

    def steps(self) -> list[Step]:
        """All that may happen next; empty where all is over."""
        found = []
        coming = next((i for i, client in enumerate(self.clients) if client.ident == 0), None)
        if coming is not None:
            found.append(Step("arrive", coming))
        if self.gone < self.model.client_disconnects:
            found += [Step("leave", i) for i, client in enumerate(self.clients) if client.waits]
        out = [sent for sent in self.flights if not sent.over]
        for sent in out:
            if not sent.written:
                # what has left the list while it came up carries nothing
                found += [] if self.states[sent.upstream] is not api.UpstreamState.READY else [Step("up", sent.number)]
                found.append(Step("fail", sent.number))
            else:
                found += [Step("answer", sent.number, how) for how in self.model.outcomes]
        if self.changes < self.model.list_changes:
            found += self.list_steps()
        if coming is None and not out and not any(client.waits for client in self.clients):
            return []
        next_us = self.timers.next_us()
        if next_us is not None and next_us <= self.timers.now_us:
            found.append(Step("fire"))
        elif next_us is not None or any(client.waits for client in self.clients):
            found.append(Step("tick"))
        return found

    def list_steps(self) -> list[Step]:
        found = []
        for upstream, state in self.states.items():
            if state is api.UpstreamState.READY:
                found += [Step("drain", upstream), Step("unlist", upstream)]
            elif state is api.UpstreamState.DRAINING:
                found.append(Step("gone", upstream))
            else:
                found.append(Step("back", upstream))
        return found

    def do(self, step: Step) -> None:
        """Raises Undecided where the module draws more than the step says."""
        self.chance.picks = iter(step.draws)
        with self.clock():
            getattr(self, f"_{step.action}")(step)
        self.look()

    def _arrive(self, step: Step) -> None:
        client, now_us = self.clients[step.index], self.timers.now_us
        client.due_us = now_us + DEADLINE_US
        client.ident = self.host.last_ident + 1
        self.events.append(f"request {step.index}, {client.kind.name}, comes")
        self.host.on_request(
            ClientRequest(
                b"POST", b"/", [], b"", now_us, DEADLINE_US, self.classes[step.index], str(step.index).encode()
            ),
            partial(self.replied, step.index),
        )

    def _leave(self, step: Step) -> None:
        client = self.clients[step.index]
        client.gone = True
        self.gone += 1
        self.events.append(f"the client of request {step.index} goes")
        self.host.on_client_disconnected(client.ident)

    def _up(self, step: Step) -> None:
        self.events.append(f"attempt {step.index} is written")
        self.flights[step.index].written = True

    def _fail(self, step: Step) -> None:
        self.end(step.index, api.Outcome.CONNECT_FAILED)

    def _answer(self, step: Step) -> None:
        self.end(step.index, OUTCOMES[step.detail])

    def end(self, number: int, outcome: api.Outcome) -> None:
        sent = self.flights[number]
        self.events.append(f"attempt {number} ends: {outcome.value}")
        sent.over, sent.outcome = True, outcome
        sent.ended(AttemptResult(outcome))

    def _drain(self, step: Step) -> None:
        self.change(step.index, api.UpstreamState.DRAINING)

    def _gone(self, step: Step) -> None:
        self.change(step.index, api.UpstreamState.REMOVED)

    def _back(self, step: Step) -> None:
        """Under the same id, and cold: a new process."""
        self.change(step.index, api.UpstreamState.READY)

    def _unlist(self, step: Step) -> None:
        """A whole list without it."""
        self.note(step.index, api.UpstreamState.REMOVED)
        self.tell_list(
            api.ListKind.FULL, [upstream for upstream, state in self.states.items() if state is api.UpstreamState.READY]
        )

    def change(self, upstream: int, state: api.UpstreamState) -> None:
        self.note(upstream, state)
        self.tell_list(api.ListKind.DELTA, [upstream])

    def note(self, upstream: int, state: api.UpstreamState) -> None:
        self.changes += 1
        self.states[upstream] = state
        self.events.append(f"converter {upstream} is told to be {state.value}")

    def tell_list(self, kind: api.ListKind, upstreams: list[int]) -> None:
        entries = [
            api.Upstream(upstream, self.states[upstream], failure_domain=self.model.failure_domain(upstream))
            for upstream in upstreams
        ]
        addresses = {
            upstream: ("", upstream)
            for upstream in upstreams
            if kind is not api.ListKind.FULL or self.states[upstream] is api.UpstreamState.READY
        }
        self.host.on_endpoints(api.UpstreamsUpdated(kind, entries, self.changes + 1), addresses)

    def _tick(self, step: Step) -> None:
        ends = [client.due_us + SLACK_US + 1 for client in self.clients if client.waits]
        next_us = min([at_us for at_us in (self.timers.next_us(), *ends) if at_us is not None])
        self.events.append(f"{(next_us - self.timers.now_us) / 1000:g} ms pass")
        self.timers.now_us = next_us

    def _fire(self, step: Step) -> None:
        self.timers.fire()

    # What holds of each state

    def look(self) -> None:
        balancer = self.host.balancer
        for upstream in balancer.membership.by_id.values():
            in_flight = sum(not attempt.presumed_lost for attempt in upstream.outstanding)
            if upstream.in_flight != in_flight:
                self.violate(
                    "slots",
                    f"converter {upstream.entry.id}: {upstream.in_flight} slots taken, {in_flight} attempts out",
                )
        for number, client in enumerate(self.clients):
            if client.waits and self.timers.now_us > client.due_us + SLACK_US:
                self.violate("in time", f"request {number} has no answer, and its time is out")
            request = self.host.requests.get(client.ident)
            given_up = client.ident not in balancer.requests or balancer.requests[client.ident].done
            if client.waits and given_up:
                self.violate("at once", f"request {number} was given up, and its client was told nothing")
            if request is None and any(not sent.over for sent in client.sent):
                self.violate("leak", f"request {number} is forgotten with an attempt out")

    def settle(self) -> None:
        """All is over: let time pass, and see that nothing is left."""
        for _ in range(MOST_SETTLING):
            next_us = self.timers.next_us()
            if next_us is None:
                break
            self.timers.now_us = max(self.timers.now_us, next_us)
            with self.clock():
                self.timers.fire()
        else:
            self.violate("leak", "timers without an end")
        balancer = self.host.balancer
        left = [
            name
            for name, what in (
                ("the host's requests", self.host.requests),
                ("the module's requests", balancer.requests),
                ("the module's buffer", balancer.buffer),
                ("slots", sum(upstream.in_flight for upstream in balancer.membership.by_id.values())),
                ("timers", balancer.wake_ups),
            )
            if what
        ]
        if left:
            self.violate("leak", f"left once all is over: {', '.join(left)}")


def replay(model: Model, path: Sequence[Step]) -> ModelState:
    """The world after a path. Raises Undecided from its last step."""
    world = ModelState(model)
    for step in path:
        world.do(step)
    return world
