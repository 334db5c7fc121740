"""Dispatches events to the decision module and executes its actions.

Nothing is decided here. Each request gets its final answer in `RequestDispatcher._answer` and each attempt its outcome
in `RequestDispatcher._end_attempt`, the only places for either, exactly once.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.sidecar.observers import Observer, ObserverGroup, RetryDetector
from ryepier.sidecar.requests import (
    Address,
    AttemptResult,
    ClientRequest,
    FinalAnswer,
    FinalOutcome,
    InFlightAttempt,
    UpstreamTransport,
)
from ryepier.sidecar.system import clock_us

log = logging.getLogger(__name__)

ANSWER_MARGIN_US = 10_000  # from an answer to the client's deadline, so that it arrives in time
BACKSTOP_DELAY_US = 5_000  # from the decision module's deadline for a request to the dispatcher's own


class Timer(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Do not call it any more."""


class Timers(Protocol):
    """The part of an event loop that the dispatcher needs."""

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Call `callback` after `delay` seconds, unless it is cancelled first."""


@dataclass(slots=True, eq=False, repr=False)
class TrackedAttempt:
    """An attempt of an open request."""

    upstream: int
    sent_us: int
    in_flight: InFlightAttempt | None = None
    timer: Timer | None = None
    outcome: api.Outcome | None = None  # None until it has ended

    @property
    def ended(self) -> bool:
        """Whether it has its outcome."""
        return self.outcome is not None


@dataclass(slots=True, eq=False, repr=False)
class OpenRequest:
    """A request without a final answer, or with an attempt in flight."""

    ident: int  # the dispatcher's own number of it
    request: ClientRequest
    reply: Callable[[FinalAnswer], None]
    attempts: list[TrackedAttempt] = field(default_factory=list)
    timer: Timer | None = None
    closed: bool = False  # it has had its final answer, or the client has disconnected

    @property
    def due_us(self) -> int:
        """When its answer is due."""
        return self.request.due_us


@dataclass(slots=True, eq=False, repr=False)
class UnservedLine:
    """Log line of a request that was not served; rendered only if it is written, as most are not in an overload."""

    open_request: OpenRequest
    outcome: FinalOutcome
    elapsed_us: int

    @property
    def request_id(self) -> str:
        """The id by which the client knows the request."""
        return self.open_request.request.request_id.decode()

    def __str__(self) -> str:
        """Render the line."""
        request = self.open_request.request
        attempts = ", ".join(
            f"upstream {attempt.upstream} {attempt.outcome.value if attempt.outcome else 'in flight'} "
            f"sent at {(attempt.sent_us - request.arrived_us) // 1000} ms"
            for attempt in self.open_request.attempts
        )
        return (
            f"request {self.request_id} {self.outcome.value} after {self.elapsed_us // 1000} of "
            f"{request.deadline_us // 1000} ms: {attempts or 'not sent'}"
        )


class RequestDispatcher:
    """One `Balancer`, its clock and timers, and the requests and attempts that are open."""

    def __init__(
        self, settings: api.Settings, seed: int, transport: UpstreamTransport, timers: Timers | None = None
    ) -> None:
        """Start without upstreams; `timers` defaults to the running event loop."""
        self.settings = settings
        self.timers: Timers = timers or asyncio.get_running_loop()
        self.transport = transport
        self.subscribe: Callable[[bool], None] = lambda active: None
        self.observer: Observer | None = None
        self.retry_detector: RetryDetector | None = None
        self.requests: dict[int, OpenRequest] = {}
        self.addresses: dict[int, Address] = {}
        self.last_ident = 0
        self.shutdown_at_us = 0  # when the process ends; 0 = not known yet
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.balancer = Balancer(settings, seed, clock_us())

    # What happens

    def start(self) -> None:
        """Let the module request what it needs from the start."""
        self._dispatch(api.TimerFired(0))

    def on_request(self, request: ClientRequest, reply: Callable[[FinalAnswer], None]) -> int:
        """Accept a request. `reply` is called once with its answer, unless the client disconnects first. Returns
        the dispatcher's number of the request."""
        self.last_ident += 1
        due_us = request.arrived_us + max(1, request.deadline_us - ANSWER_MARGIN_US)
        request.due_us = min(due_us, self.shutdown_at_us) if self.shutdown_at_us else due_us
        opened = self.requests[self.last_ident] = OpenRequest(self.last_ident, request, reply)
        # Whatever becomes of the module's own timers, no client is left without an answer.
        opened.timer = self._call_at(request.due_us + BACKSTOP_DELAY_US, self._on_overdue, opened)
        if self.observer is not None:
            self.observer.on_request(request.tenant, request.class_index)
        retry_number = self.retry_detector.retry_number(request) if self.retry_detector is not None else 0
        self._dispatch(
            api.RequestArrived(
                opened.ident,
                request.due_us,
                request.class_index,
                request.tenant,
                request.key,
                request.cost_us,
                request.marked_as_retry,
                retry_number,
            )
        )
        return opened.ident

    def on_client_disconnected(self, ident: int) -> None:
        """Close the request of a client that has disconnected."""
        opened = self.requests.get(ident)
        if opened is not None and not opened.closed:
            if self.retry_detector is not None:
                self.retry_detector.on_unserved(opened.request)
            self._close(opened)
            self._dispatch(api.ClientDisconnected(ident))

    def on_endpoints(self, event: api.UpstreamsUpdated, addresses: dict[int, Address]) -> None:
        """Apply an endpoint list or changes to it; `addresses` has those of the event's entries."""
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            for upstream in self.addresses.keys() - addresses.keys():
                self._remove_upstream(upstream)
        for entry in event.upstreams:
            if self.addresses.get(entry.id, addresses[entry.id]) != addresses[entry.id]:
                self._remove_upstream(entry.id)
            self.addresses[entry.id] = addresses[entry.id]
            if entry.state is not api.UpstreamState.READY:
                self._remove_upstream(entry.id)
        self._dispatch(event)

    def on_plan(self, event: api.PlanUpdated) -> None:
        """Pass on the current plan."""
        self._dispatch(event)

    def on_retry_storm(self, event: api.RetryStormUpdated) -> None:
        """Pass on whether there is a retry storm."""
        self._dispatch(event)

    def set_shutdown_time(self, at_us: int) -> None:
        """Record when the process ends: every open or later request has its answer by then."""
        self.shutdown_at_us = at_us
        for opened in self.requests.values():
            if opened.timer is not None and opened.due_us > at_us:
                opened.timer.cancel()
                opened.timer = self._call_at(at_us, self._on_overdue, opened)
                opened.request.due_us = at_us

    @property
    def has_open_requests(self) -> bool:
        """Whether a request needs an answer."""
        return any(not opened.closed for opened in self.requests.values())

    @property
    def has_upstreams(self) -> bool:
        """Whether there is an upstream to send to."""
        return bool(self.addresses)

    def add_observer(self, observer: Observer) -> None:
        """Register an observer in addition to any already registered."""
        self.observer = observer if self.observer is None else ObserverGroup(self.observer, observer)

    # Events in, actions out

    def _dispatch(self, event: api.Event) -> None:
        """Hand over an event and execute the actions; events that these cause at once are queued."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(clock_us(), event)
        except Exception:  # one request that breaks the module must not take the others with it
            log.exception("decision module failed on %s", type(event).__name__)
            opened = self.requests.get(getattr(event, "request", 0))
            if opened is not None and not opened.closed:
                self._answer(opened.ident, FinalAnswer(FinalOutcome.FAILED))
                self.events.append(api.ClientDisconnected(opened.ident))
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # the other actions are executed all the same
                log.exception("action %s failed", type(action).__name__)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Reject():
                self._answer(action.request, FinalAnswer(FinalOutcome.REJECTED, retry_after_us=action.retry_after_us))
            case api.Fail():
                self._answer(action.request, FinalAnswer(FinalOutcome.FAILED))
            case api.SetTimer():
                self._call_at(action.at_us, self._dispatch, api.TimerFired(action.token))
            case api.Cancel():
                self._cancel(action)
            case api.CloseIdle():
                self.transport.close_idle(action.upstream)
            case api.Subscribe():
                self.subscribe(action.active)
            case api.Log():
                log.info("%s", action.text, extra={} if action.upstream is None else {"upstream": action.upstream})
            case _:
                log.warning("action %s is not supported", type(action).__name__)

    def _call_at(self, at_us: int, callback: Callable[..., None], *args: object) -> Timer:
        return self.timers.call_later(max(0, at_us - clock_us() + 1) / 1e6, callback, *args)

    # Requests

    def _check_client_connected(self, opened: OpenRequest) -> None:
        """Close the request if its client has disconnected. The event loop may be late to read that, or may free a
        slot in the same turn; the request would then be forwarded in vain."""
        if not opened.closed and opened.request.client_disconnected():
            self.on_client_disconnected(opened.ident)

    def _on_overdue(self, opened: OpenRequest) -> None:
        if not opened.closed:
            request_id = opened.request.request_id.decode()
            log.warning("request %s is overdue", request_id, extra={"request": request_id})
            self._answer(opened.ident, FinalAnswer(FinalOutcome.FAILED))
            self._dispatch(api.ClientDisconnected(opened.ident))

    def _answer(self, ident: int, answer: FinalAnswer) -> None:
        """Give a request its final answer; the only place that does."""
        opened = self.requests.get(ident)
        if opened is None or opened.closed:
            return
        self._close(opened)
        if answer.outcome is not FinalOutcome.SERVED:
            self._log_unserved(opened, answer)
            if self.retry_detector is not None:
                self.retry_detector.on_unserved(opened.request)
            if self.observer is not None and answer.outcome is FinalOutcome.REJECTED:
                self.observer.on_rejection()
        opened.reply(answer)

    def _log_unserved(self, opened: OpenRequest, answer: FinalAnswer) -> None:
        line = UnservedLine(opened, answer.outcome, clock_us() - opened.request.arrived_us)
        fields = {
            "request": line.request_id,
            "outcome": answer.outcome.value,
            "upstreams": [attempt.upstream for attempt in opened.attempts],
        }
        log.info("%s", line, extra=fields)

    def _close(self, opened: OpenRequest) -> None:
        """Record that a request needs no answer any more, and cancel what has not been written yet."""
        opened.closed = True
        if opened.timer is not None:
            opened.timer.cancel()
        for number, attempt in enumerate(opened.attempts):
            if attempt.in_flight is not None and not attempt.ended and not attempt.in_flight.written:
                attempt.in_flight.cancel()
                self._end_attempt(opened, number, AttemptResult(api.Outcome.NOT_SENT))
        self._remove_if_done(opened)

    def _remove_if_done(self, opened: OpenRequest) -> None:
        if opened.closed and all(attempt.ended for attempt in opened.attempts):
            self.requests.pop(opened.ident, None)

    # Attempts

    def _send(self, action: api.Send) -> None:
        opened = self.requests.get(action.request)
        if opened is None:
            return  # closed, and the module has been notified
        self._check_client_connected(opened)
        now_us = clock_us()
        number = len(opened.attempts)
        attempt = TrackedAttempt(action.upstream, now_us)
        opened.attempts.append(attempt)
        address = self.addresses.get(action.upstream)
        remaining_us = opened.due_us - now_us
        is_valid = not opened.closed and remaining_us > 0 and action.timeout_us >= 0
        if address is None or not is_valid or number >= self.settings.max_attempts:
            self._end_attempt(opened, number, AttemptResult(api.Outcome.NOT_SENT))
            return
        timeout_us = min(action.timeout_us or remaining_us, remaining_us)
        attempt.timer = self._call_at(now_us + timeout_us, self._on_timeout, opened, number)
        if self.observer is not None:
            token = self._token(opened, number)
            self.observer.on_attempt_started(action.upstream, token, opened.request.class_index)
        attempt.in_flight = self.transport.start(
            action.upstream,
            address,
            opened.request,
            timeout_us,
            lambda result: self._end_attempt(opened, number, result),
            action.latest_write_us,
        )

    def _on_timeout(self, opened: OpenRequest, number: int) -> None:
        self._abandon(opened, number, api.Outcome.TIMEOUT)

    def _cancel(self, action: api.Cancel) -> None:
        opened = self.requests.get(action.request)
        if opened is not None and action.attempt < len(opened.attempts):
            self._abandon(opened, action.attempt, api.Outcome.CANCELLED)

    def _abandon(self, opened: OpenRequest, number: int, outcome: api.Outcome) -> None:
        attempt = opened.attempts[number]
        if attempt.ended or attempt.in_flight is None:
            return
        if not attempt.in_flight.written:
            outcome = api.Outcome.CONNECT_FAILED  # no connection in time: it never ran
        attempt.in_flight.cancel()
        self._end_attempt(opened, number, AttemptResult(outcome))

    def _end_attempt(self, opened: OpenRequest, number: int, result: AttemptResult) -> None:
        """End an attempt; the only place that does."""
        attempt = opened.attempts[number]
        if attempt.ended:
            return
        attempt.outcome = result.outcome
        attempt.in_flight = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if result.outcome is api.Outcome.OK:
            answer = FinalAnswer(FinalOutcome.SERVED, result.body, result.content_type, status=result.status)
            self._answer(opened.ident, answer)
        elif result.outcome is api.Outcome.NOT_SENT:
            self._check_client_connected(opened)
        elapsed_us = clock_us() - attempt.sent_us
        if self.observer is not None:
            token = self._token(opened, number)
            self.observer.on_attempt_ended(attempt.upstream, token, result.outcome, elapsed_us)
        self._remove_if_done(opened)
        self._dispatch(
            api.AttemptEnded(opened.ident, number, attempt.upstream, result.outcome, elapsed_us, opened.closed)
        )

    def _token(self, opened: OpenRequest, number: int) -> int:
        return opened.ident * self.settings.max_attempts + number

    def _remove_upstream(self, upstream: int) -> None:
        if self.addresses.pop(upstream, None) is not None:
            self.transport.remove_upstream(upstream)
