"""States of the exploration: the real dispatcher and balancer, and the environment that acts on them step by step.

A path is a list of steps. A path always leads to the same state, so a state is stored as its path and recreated by
replaying it, and never has to be copied.
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

MAX_SETTLE_TIMERS = 200  # number of timers that `settle` fires before it reports a leak
MAX_RETRY_AFTER_US = 500_000
DISPATCHER_SEED = 1  # fixed, so that a path always leads to the same state
SCRIPTED_METHODS = ("choices", "random", "uniform", "randint")  # methods of the balancer's `Random` that are replaced


class ModelState:
    """The state at the end of a path.

    It also takes the place of the connection pool through which the dispatcher sends attempts, to observe them.
    """

    def __init__(self, model: Model) -> None:
        """Create the state of the empty path: all converters are ready, and no request has arrived."""
        self.model = model
        self.timers = Timers()
        self.violations: list[Violation] = []
        self.clients = [ClientRequestState(CLASSES[name]) for name in model.requests]
        self.attempts: list[SentAttempt] = []
        self.upstream_states = dict.fromkeys(range(1, model.converters + 1), api.UpstreamState.READY)
        self.list_change_count = 0
        self.client_disconnect_count = 0
        self.events: list[str] = []  # descriptions of the events so far, which charts show
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
            self._send_endpoints(dispatcher, api.ListKind.FULL, list(self.upstream_states))
        return dispatcher

    @contextmanager
    def _path_clock(self) -> Iterator[None]:
        """Replace the machine's clock with the path's clock within the context."""
        original = system.monotonic_ns
        system.monotonic_ns = lambda: self.timers.now_us * 1000
        try:
            yield
        finally:
            system.monotonic_ns = original

    # Methods of a connection pool that the dispatcher calls

    def start_attempt(
        self,
        upstream: int,
        address: tuple[str, int],
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_at_us: int = 0,
    ) -> SentAttempt:
        """Record an attempt that the dispatcher starts, and check the rules for it."""
        request_number = int(request.request_id)
        client = self.clients[request_number]
        is_written = not self.model.connects_first
        sent = SentAttempt(len(self.attempts), request_number, upstream, on_end, self.timers.now_us, is_written)
        self.attempts.append(sent)
        self.events.append(f"attempt {sent.number} of request {sent.request} -> converter {upstream}")
        self.violations += invariants.violations_of_send(self.model, self.upstream_states, client, sent)
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

    # Steps that are possible in this state

    def enabled_steps(self) -> list[Step]:
        """Return the possible next steps. There are none once all requests and attempts have ended."""
        next_request_index = next((index for index, client in enumerate(self.clients) if client.ident == 0), None)
        in_flight = [attempt for attempt in self.attempts if not attempt.ended]
        steps = [] if next_request_index is None else [Step(Action.ARRIVE, next_request_index)]
        steps += self._disconnect_steps()
        for attempt in in_flight:
            steps += self._attempt_steps(attempt)
        steps += self._list_steps()
        is_client_waiting = any(client.waiting for client in self.clients)
        if next_request_index is None and not in_flight and not is_client_waiting:
            return []
        next_us = self.timers.next_due_us()
        if next_us is not None and next_us <= self.timers.now_us:
            steps.append(Step(Action.FIRE_TIMER))
        elif next_us is not None or is_client_waiting:
            steps.append(Step(Action.ADVANCE_TIME))
        return steps

    def _disconnect_steps(self) -> Iterable[Step]:
        if self.client_disconnect_count >= self.model.client_disconnects:
            return []
        return [Step(Action.DISCONNECT, index) for index, client in enumerate(self.clients) if client.waiting]

    def _attempt_steps(self, attempt: SentAttempt) -> Iterable[Step]:
        if attempt.fully_written:
            return [Step(Action.ANSWER, attempt.number, outcome) for outcome in self.model.outcomes]
        connect_failed = Step(Action.CONNECT_FAILED, attempt.number)
        if self.upstream_states[attempt.upstream] is not api.UpstreamState.READY:
            return [connect_failed]  # requests are written only to ready converters
        return [Step(Action.CONNECTED, attempt.number), connect_failed]

    def _list_steps(self) -> Iterable[Step]:
        if self.list_change_count >= self.model.list_changes:
            return
        for upstream, state in self.upstream_states.items():
            if state is api.UpstreamState.READY:
                yield Step(Action.DRAIN, upstream)
                yield Step(Action.UNLIST, upstream)
            elif state is api.UpstreamState.DRAINING:
                yield Step(Action.REMOVE, upstream)
            else:
                yield Step(Action.RELIST, upstream)

    # Transitions

    def apply(self, step: Step) -> None:
        """Apply a step, and check the new state.

        Raises UndecidedDraw if the step has too few results of random draws; the state must not be used after that.
        """
        self._random.draws = iter(step.draws)
        with self._path_clock():
            self._actions[step.action](step)
        self.violations += invariants.violations_of_state(self.dispatcher, self.clients, self.timers.now_us)

    def _action_table(self) -> dict[Action, Callable[[Step], None]]:
        return {
            Action.ARRIVE: self._arrive,
            Action.DISCONNECT: self._disconnect,
            Action.CONNECTED: self._establish_connection,
            Action.CONNECT_FAILED: lambda step: self._end_attempt(step.index, api.Outcome.CONNECT_FAILED),
            Action.ANSWER: lambda step: self._end_attempt(step.index, OUTCOMES[step.detail]),
            Action.DRAIN: lambda step: self._change_entry(step.index, api.UpstreamState.DRAINING),
            Action.REMOVE: lambda step: self._change_entry(step.index, api.UpstreamState.REMOVED),
            Action.RELIST: lambda step: self._change_entry(step.index, api.UpstreamState.READY),
            Action.UNLIST: self._unlist,
            Action.ADVANCE_TIME: self._advance_time,
            Action.FIRE_TIMER: lambda step: self.timers.fire(),
        }

    def _arrive(self, step: Step) -> None:
        client, now_us = self.clients[step.index], self.timers.now_us
        client.due_us = now_us + DEADLINE_US
        client.ident = self.dispatcher.last_ident + 1
        self.events.append(f"request {step.index}, {client.request_class.name}, arrives")
        request = ClientRequest(
            b"POST", b"/", [], b"", now_us, DEADLINE_US, self._class_indexes[step.index], str(step.index).encode()
        )
        self.dispatcher.on_request(request, partial(self._on_answer, step.index))

    def _disconnect(self, step: Step) -> None:
        client = self.clients[step.index]
        client.disconnected = True
        self.client_disconnect_count += 1
        self.events.append(f"the client of request {step.index} disconnects")
        self.dispatcher.on_client_disconnected(client.ident)

    def _establish_connection(self, step: Step) -> None:
        self.events.append(f"attempt {step.index} is written")
        self.attempts[step.index].fully_written = True

    def _end_attempt(self, number: int, outcome: api.Outcome) -> None:
        attempt = self.attempts[number]
        self.events.append(f"attempt {number} ends: {outcome.value}")
        attempt.ended, attempt.outcome = True, outcome
        attempt.on_end(AttemptResult(outcome))

    def _unlist(self, step: Step) -> None:
        self._set_upstream_state(step.index, api.UpstreamState.REMOVED)
        ready_upstreams = [
            upstream for upstream, state in self.upstream_states.items() if state is api.UpstreamState.READY
        ]
        self._send_endpoints(self.dispatcher, api.ListKind.FULL, ready_upstreams)

    def _change_entry(self, upstream: int, state: api.UpstreamState) -> None:
        """Change the state of a converter's entry in the endpoint list.

        If a removed converter is listed again, it is a new process with the same id.
        """
        self._set_upstream_state(upstream, state)
        self._send_endpoints(self.dispatcher, api.ListKind.DELTA, [upstream])

    def _set_upstream_state(self, upstream: int, state: api.UpstreamState) -> None:
        self.list_change_count += 1
        self.upstream_states[upstream] = state
        self.events.append(f"converter {upstream} is listed as {state.value}")

    def _send_endpoints(self, dispatcher: RequestDispatcher, kind: api.ListKind, upstreams: list[int]) -> None:
        entries = [
            api.Upstream(upstream, self.upstream_states[upstream], failure_domain=self.model.failure_domain(upstream))
            for upstream in upstreams
        ]
        addresses = {
            upstream: ("", upstream)
            for upstream in upstreams
            if kind is not api.ListKind.FULL or self.upstream_states[upstream] is api.UpstreamState.READY
        }
        dispatcher.on_endpoints(api.UpstreamsUpdated(kind, entries, self.list_change_count + 1), addresses)

    def _advance_time(self, step: Step) -> None:
        """Advance to the next timer, or to the time from which an answer counts as missing if that is earlier."""
        next_times_us = [client.due_us + invariants.ANSWER_SLACK_US + 1 for client in self.clients if client.waiting]
        next_timer_us = self.timers.next_due_us()
        if next_timer_us is not None:
            next_times_us.append(next_timer_us)
        next_us = min(next_times_us)
        self.events.append(f"{(next_us - self.timers.now_us) / 1000:g} ms pass")
        self.timers.now_us = next_us

    def settle(self) -> None:
        """Fire all remaining timers in a terminal state, and check that requests, slots and timers were released."""
        for _ in range(MAX_SETTLE_TIMERS):
            next_us = self.timers.next_due_us()
            if next_us is None:
                break
            self.timers.now_us = max(self.timers.now_us, next_us)
            with self._path_clock():
                self.timers.fire()
        else:
            self.violations.append(Violation(Rule.LEAK, "timers keep firing after all requests have ended"))
        self.violations += invariants.violations_of_end(self.dispatcher)


def replay(model: Model, path: Sequence[Step]) -> ModelState:
    """Return the state at the end of a path. Raises UndecidedDraw if a step has too few results of random draws."""
    state = ModelState(model)
    for step in path:
        state.apply(step)
    return state
