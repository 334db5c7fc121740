"""A state of the exploration: the real dispatcher and balancer, and the environment that acts on them step by step.

A path is a list of steps. The same path leads to the same state, so that a state is identified by its path and never
has to be copied.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from functools import partial

from ryepier.balancer import interface as api
from ryepier.check import invariants
from ryepier.check.environment import ScriptedRandom, Timers
from ryepier.check.model import CLASSES, DEADLINE_US, OUTCOMES, Action, Model, Rule, Step, Violation
from ryepier.check.observations import ClientRequestState, SentAttempt
from ryepier.sidecar import system
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, ClientRequest, FinalAnswer

MAX_DRAIN_TIMERS = 200  # that may fire after everything has ended
MAX_RETRY_AFTER_US = 500_000
DISPATCHER_SEED = 1
SCRIPTED_METHODS = ("choices", "random", "uniform", "randint")


class ModelState:
    """The state that a path leads to. It also stands for the dispatcher's upstreams, and so observes each attempt."""

    def __init__(self, model: Model) -> None:
        """Start at the empty path: all converters are listed, and no request has arrived."""
        self.model = model
        self.timers = Timers()
        self.violations: list[Violation] = []
        self.clients = [ClientRequestState(CLASSES[name]) for name in model.requests]
        self.attempts: list[SentAttempt] = []
        self.states = dict.fromkeys(range(1, model.converters + 1), api.UpstreamState.READY)
        self.list_changes = 0
        self.client_disconnects = 0
        self.events: list[str] = []  # what happened, for a chart
        class_names = list(CLASSES)
        self._class_indexes = [class_names.index(name) for name in model.requests]
        self._random = ScriptedRandom()
        self._actions = self._action_table()
        self.dispatcher = self._start_dispatcher()

    def _start_dispatcher(self) -> RequestDispatcher:
        settings = api.Settings(
            list(CLASSES.values()), max_attempts=self.model.max_attempts, max_retry_after_us=MAX_RETRY_AFTER_US
        )
        with self._path_clock():
            dispatcher = RequestDispatcher(settings, DISPATCHER_SEED, self, self.timers)
            for name in SCRIPTED_METHODS:
                setattr(dispatcher.balancer.random, name, getattr(self._random, name))
            dispatcher.start()
            self._send_list(dispatcher, api.ListKind.FULL, list(self.states))
        return dispatcher

    @contextmanager
    def _path_clock(self) -> Iterator[None]:
        """Replace the machine's clock by the path's while the code under test runs."""
        original = system.monotonic_ns
        system.monotonic_ns = lambda: self.timers.now_us * 1000
        try:
            yield
        finally:
            system.monotonic_ns = original

    # The dispatcher's upstreams

    def start_attempt(
        self,
        upstream: int,
        address: tuple[str, int],
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_us: int = 0,
    ) -> SentAttempt:
        """Record an attempt that the dispatcher starts."""
        number = int(request.request_id)
        client = self.clients[number]
        is_written = not self.model.connects_first
        sent = SentAttempt(len(self.attempts), number, upstream, on_end, self.timers.now_us, is_written)
        self.attempts.append(sent)
        self.events.append(f"attempt {sent.number} of request {sent.request} -> converter {upstream}")
        self.violations += invariants.violations_of_send(self.model, self.states, client, sent)
        client.attempts.append(sent)
        return sent

    def close_idle(self, upstream: int) -> None:
        """Do nothing: connections are not part of the model."""

    def remove_upstream(self, upstream: int) -> None:
        """Do nothing: connections are not part of the model."""

    def _on_answer(self, number: int, answer: FinalAnswer) -> None:
        client = self.clients[number]
        self.events.append(f"request {number} <- {answer.outcome.value}")
        self.violations += invariants.violations_of_answer(number, client, answer)
        client.answers.append(answer)

    # Enabled steps

    def steps(self) -> list[Step]:
        """Return the steps that may come next; none if everything has ended."""
        next_request = next((index for index, client in enumerate(self.clients) if client.ident == 0), None)
        in_flight = [attempt for attempt in self.attempts if not attempt.over]
        steps = [] if next_request is None else [Step(Action.ARRIVE, next_request)]
        steps += self._disconnects()
        for attempt in in_flight:
            steps += self._attempt_steps(attempt)
        steps += self._list_steps()
        is_any_waiting = any(client.waiting for client in self.clients)
        if next_request is None and not in_flight and not is_any_waiting:
            return []
        next_us = self.timers.next_us()
        if next_us is not None and next_us <= self.timers.now_us:
            steps.append(Step(Action.FIRE_TIMER))
        elif next_us is not None or is_any_waiting:
            steps.append(Step(Action.ADVANCE_TIME))
        return steps

    def _disconnects(self) -> Iterable[Step]:
        if self.client_disconnects >= self.model.client_disconnects:
            return []
        return [Step(Action.LEAVE, index) for index, client in enumerate(self.clients) if client.waiting]

    def _attempt_steps(self, attempt: SentAttempt) -> Iterable[Step]:
        if attempt.fully_written:
            return [Step(Action.ANSWER, attempt.number, outcome) for outcome in self.model.outcomes]
        failed = Step(Action.CONNECT_FAILED, attempt.number)
        if self.states[attempt.upstream] is not api.UpstreamState.READY:
            return [failed]  # nothing is written to a converter that left the list while connecting
        return [Step(Action.CONNECTED, attempt.number), failed]

    def _list_steps(self) -> Iterable[Step]:
        if self.list_changes >= self.model.list_changes:
            return
        for upstream, state in self.states.items():
            if state is api.UpstreamState.READY:
                yield Step(Action.DRAIN, upstream)
                yield Step(Action.UNLIST, upstream)
            elif state is api.UpstreamState.DRAINING:
                yield Step(Action.REMOVE, upstream)
            else:
                yield Step(Action.RETURN, upstream)

    # Transitions

    def do(self, step: Step) -> None:
        """Carry out a step, and check the state. Raises UndecidedDraw if it causes more draws than it has results."""
        self._random.draws = iter(step.draws)
        with self._path_clock():
            self._actions[step.action](step)
        self.violations += invariants.violations_of_state(self.dispatcher, self.clients, self.timers.now_us)

    def _action_table(self) -> dict[Action, Callable[[Step], None]]:
        return {
            Action.ARRIVE: self._arrive,
            Action.LEAVE: self._disconnect,
            Action.CONNECTED: self._connected,
            Action.CONNECT_FAILED: lambda step: self._end(step.index, api.Outcome.CONNECT_FAILED),
            Action.ANSWER: lambda step: self._end(step.index, OUTCOMES[step.detail]),
            Action.DRAIN: lambda step: self._change(step.index, api.UpstreamState.DRAINING),
            Action.REMOVE: lambda step: self._change(step.index, api.UpstreamState.REMOVED),
            Action.RETURN: lambda step: self._change(step.index, api.UpstreamState.READY),
            Action.UNLIST: self._unlist,
            Action.ADVANCE_TIME: self._advance_time,
            Action.FIRE_TIMER: lambda step: self.timers.fire(),
        }

    def _arrive(self, step: Step) -> None:
        client, now_us = self.clients[step.index], self.timers.now_us
        client.due_us = now_us + DEADLINE_US
        client.ident = self.dispatcher.last_ident + 1
        self.events.append(f"request {step.index}, {client.kind.name}, comes")
        request = ClientRequest(
            b"POST", b"/", [], b"", now_us, DEADLINE_US, self._class_indexes[step.index], str(step.index).encode()
        )
        self.dispatcher.on_request(request, partial(self._on_answer, step.index))

    def _disconnect(self, step: Step) -> None:
        client = self.clients[step.index]
        client.disconnected = True
        self.client_disconnects += 1
        self.events.append(f"the client of request {step.index} goes")
        self.dispatcher.on_client_disconnected(client.ident)

    def _connected(self, step: Step) -> None:
        self.events.append(f"attempt {step.index} is written")
        self.attempts[step.index].fully_written = True

    def _end(self, number: int, outcome: api.Outcome) -> None:
        attempt = self.attempts[number]
        self.events.append(f"attempt {number} ends: {outcome.value}")
        attempt.over, attempt.outcome = True, outcome
        attempt.on_end(AttemptResult(outcome))

    def _unlist(self, step: Step) -> None:
        self._set_state(step.index, api.UpstreamState.REMOVED)
        listed = [upstream for upstream, state in self.states.items() if state is api.UpstreamState.READY]
        self._send_list(self.dispatcher, api.ListKind.FULL, listed)

    def _change(self, upstream: int, state: api.UpstreamState) -> None:
        """Change one entry; a removed converter returns under its id as a new process."""
        self._set_state(upstream, state)
        self._send_list(self.dispatcher, api.ListKind.DELTA, [upstream])

    def _set_state(self, upstream: int, state: api.UpstreamState) -> None:
        self.list_changes += 1
        self.states[upstream] = state
        self.events.append(f"converter {upstream} is told to be {state.value}")

    def _send_list(self, dispatcher: RequestDispatcher, kind: api.ListKind, upstreams: list[int]) -> None:
        entries = [
            api.Upstream(upstream, self.states[upstream], failure_domain=self.model.failure_domain(upstream))
            for upstream in upstreams
        ]
        addresses = {
            upstream: ("", upstream)
            for upstream in upstreams
            if kind is not api.ListKind.FULL or self.states[upstream] is api.UpstreamState.READY
        }
        dispatcher.on_endpoints(api.UpstreamsUpdated(kind, entries, self.list_changes + 1), addresses)

    def _advance_time(self, step: Step) -> None:
        """Advance to the next timer, or until the answer to a waiting client counts as missing."""
        times = [client.due_us + invariants.ANSWER_SLACK_US + 1 for client in self.clients if client.waiting]
        next_timer_us = self.timers.next_us()
        if next_timer_us is not None:
            times.append(next_timer_us)
        next_us = min(times)
        self.events.append(f"{(next_us - self.timers.now_us) / 1000:g} ms pass")
        self.timers.now_us = next_us

    def settle(self) -> None:
        """Fire all timers after everything has ended, and check that nothing is left."""
        for _ in range(MAX_DRAIN_TIMERS):
            next_us = self.timers.next_us()
            if next_us is None:
                break
            self.timers.now_us = max(self.timers.now_us, next_us)
            with self._path_clock():
                self.timers.fire()
        else:
            self.violations.append(Violation(Rule.LEAK, "timers without an end"))
        self.violations += invariants.violations_of_end(self.dispatcher)


def replay(model: Model, path: Sequence[Step]) -> ModelState:
    """Return the state that a path leads to. Raises UndecidedDraw from its last step."""
    state = ModelState(model)
    for step in path:
        state.do(step)
    return state
