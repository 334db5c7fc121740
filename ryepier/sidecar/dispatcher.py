"""Dispatches events to the decision module and executes the actions that it returns.

This module makes no decisions. It guarantees that each request gets exactly one final answer, in
`RequestDispatcher._answer` only, and each attempt exactly one outcome, in `RequestDispatcher._end_attempt` only.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.sidecar.endpoint_updates import EndpointUpdate, EndpointUpdateQueue
from ryepier.sidecar.observers import Observer, ObserverGroup, RetryDetector
from ryepier.sidecar.open_requests import OpenRequest, Timer, TrackedAttempt, log_unserved
from ryepier.sidecar.request_ids import RecentRequestIds
from ryepier.sidecar.requests import (
    Address,
    AttemptResult,
    ClientRequest,
    FinalAnswer,
    FinalOutcome,
    UpstreamTransport,
)
from ryepier.sidecar.system import clock_us

log = logging.getLogger(__name__)

ANSWER_MARGIN_US = 10_000  # a request is due this long before the client's deadline, so that the answer arrives in time
BACKSTOP_DELAY_US = 5_000  # the dispatcher fails a request this long after it is due, if it has no answer yet


class Timers(Protocol):
    """The part of an event loop that the dispatcher uses."""

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Call `callback` after `delay` seconds, unless the returned timer is cancelled first."""


class RequestDispatcher:
    """Runs one `Balancer` with clock and timers, and keeps track of the open requests and attempts."""

    def __init__(
        self, settings: api.Settings, seed: int, transport: UpstreamTransport, timers: Timers | None = None
    ) -> None:
        """Start without upstreams and requests; `timers` defaults to the running event loop."""
        self.settings = settings
        self.timers: Timers = timers or asyncio.get_running_loop()
        self.transport = transport
        self.subscribe: Callable[[bool], None] = lambda active: None
        self.observer: Observer | None = None
        self.retry_detector: RetryDetector | None = None
        # Of all front ends: an upstream that two of them sent the same id would run it twice.
        self.recent_ids = RecentRequestIds(max(request_class.deadline_us for request_class in settings.classes) / 1e6)
        self.requests: dict[int, OpenRequest] = {}
        self.addresses: dict[int, Address] = {}
        self.endpoint_updates = EndpointUpdateQueue(
            self._apply_endpoints, lambda callback: self.timers.call_later(0, callback), self.addresses
        )
        self.last_ident = 0
        self.shutdown_at_us = 0  # time by which all requests must be answered; 0 = no shutdown in progress
        self.events: deque[api.Event] = deque()
        self.is_dispatching = False
        self.balancer = Balancer(settings, seed, clock_us())

    # Notifications from other components

    def start(self) -> None:
        """Let the decision module return its initial actions, such as its subscription and timers."""
        self._dispatch(api.TimerFired(0))

    def on_request(self, request: ClientRequest, reply: Callable[[FinalAnswer], None]) -> int:
        """Accept a request and return its `ident`, which `on_client_disconnected` takes.

        `reply` is called exactly once with the final answer, unless the client disconnects first.
        """
        self.last_ident += 1
        due_at_us = request.arrived_at_us + max(1, request.deadline_us - ANSWER_MARGIN_US)
        request.due_at_us = min(due_at_us, self.shutdown_at_us) if self.shutdown_at_us else due_at_us
        open_request = self.requests[self.last_ident] = OpenRequest(self.last_ident, request, reply)
        # Ensures an answer even if the decision module misses its own timer for this request.
        open_request.timer = self._call_at(request.due_at_us + BACKSTOP_DELAY_US, self._on_overdue, open_request)
        if self.observer is not None:
            self.observer.on_request(request.tenant, request.class_index)
        retry_number = self.retry_detector.retry_number(request) if self.retry_detector is not None else 0
        self._dispatch(
            api.RequestArrived(
                open_request.ident,
                request.due_at_us,
                request.class_index,
                request.tenant,
                request.key,
                request.cost_us,
                request.marked_as_retry,
                retry_number,
            )
        )
        return open_request.ident

    def on_client_disconnected(self, ident: int) -> None:
        """Close the request of a client that has disconnected, unless it is already closed."""
        open_request = self.requests.get(ident)
        if open_request is not None and not open_request.closed:
            if self.retry_detector is not None:
                self.retry_detector.on_unserved(open_request.request)
            self._close(open_request)
            self._dispatch(api.ClientDisconnected(ident))

    def on_endpoints(self, event: api.UpstreamsUpdated, addresses: dict[int, Address]) -> None:
        """Apply an endpoint list or changes to it; `addresses` maps the event's upstream ids to their addresses.

        A long one is applied in parts, each in an iteration of the event loop of its own.
        """
        self.endpoint_updates.add(EndpointUpdate(event, addresses))

    def _apply_endpoints(self, update: EndpointUpdate) -> None:
        event, addresses = update
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            for upstream in self.addresses.keys() - addresses.keys():
                self._remove_upstream(upstream)
        for entry in event.upstreams:
            if entry.state is not api.UpstreamState.READY:
                self._remove_upstream(entry.id)
                continue
            if self.addresses.get(entry.id, addresses[entry.id]) != addresses[entry.id]:
                self._remove_upstream(entry.id)
            self.addresses[entry.id] = addresses[entry.id]
        self._dispatch(event)

    def on_plan(self, event: api.PlanUpdated) -> None:
        """Pass the current plan to the decision module."""
        self._dispatch(event)

    def on_retry_storm(self, event: api.RetryStormUpdated) -> None:
        """Tell the decision module whether there is a retry storm."""
        self._dispatch(event)

    def set_shutdown_time(self, at_us: int) -> None:
        """Make every open or later request due by `at_us`, as the process ends then."""
        self.shutdown_at_us = at_us
        for open_request in self.requests.values():
            if open_request.timer is not None and open_request.due_at_us > at_us:
                open_request.timer.cancel()
                open_request.timer = self._call_at(at_us, self._on_overdue, open_request)
                open_request.request.due_at_us = at_us

    @property
    def has_open_requests(self) -> bool:
        """Whether any request still needs an answer."""
        return any(not open_request.closed for open_request in self.requests.values())

    @property
    def has_upstreams(self) -> bool:
        """Whether any upstream is ready for requests."""
        return bool(self.addresses)

    def add_observer(self, observer: Observer) -> None:
        """Register an observer in addition to any already registered."""
        self.observer = observer if self.observer is None else ObserverGroup(self.observer, observer)

    # Handling of events and execution of actions

    def _dispatch(self, event: api.Event) -> None:
        """Hand an event to the decision module and execute its actions.

        Events that an action causes synchronously are queued and handled in order, not recursively.
        """
        self.events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.is_dispatching = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(clock_us(), event)
        except Exception:  # an error on one request must not affect the others
            log.exception("decision module failed on %s", type(event).__name__)
            open_request = self.requests.get(getattr(event, "request", 0))
            if open_request is not None and not open_request.closed:
                self._answer(open_request.ident, FinalAnswer(FinalOutcome.FAILED))
                self.events.append(api.ClientDisconnected(open_request.ident))
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # the remaining actions must still be executed
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

    def _close_if_client_disconnected(self, open_request: OpenRequest) -> None:
        """Close the request if its client has disconnected.

        The event loop may not have read the disconnect yet, for example if a slot becomes free in the same iteration.
        The request would then be forwarded although nobody waits for it.
        """
        if not open_request.closed and open_request.request.client_disconnected():
            self.on_client_disconnected(open_request.ident)

    def _on_overdue(self, open_request: OpenRequest) -> None:
        if not open_request.closed:
            request_id = open_request.request.request_id.decode()
            log.warning("request %s is overdue", request_id, extra={"request": request_id})
            self._answer(open_request.ident, FinalAnswer(FinalOutcome.FAILED))
            self._dispatch(api.ClientDisconnected(open_request.ident))

    def _answer(self, ident: int, answer: FinalAnswer) -> None:
        """Give a request its final answer. No other method does so."""
        open_request = self.requests.get(ident)
        if open_request is None or open_request.closed:
            return
        self._close(open_request)
        if answer.outcome is not FinalOutcome.SERVED:
            log_unserved(open_request, answer.outcome)
            if self.retry_detector is not None:
                self.retry_detector.on_unserved(open_request.request)
            if self.observer is not None and answer.outcome is FinalOutcome.REJECTED:
                self.observer.on_rejection()
        open_request.reply(answer)

    def _close(self, open_request: OpenRequest) -> None:
        """Mark a request as answered or abandoned, and cancel its attempts that were not written completely."""
        open_request.closed = True
        if not open_request.attempts:
            self.recent_ids.discard(open_request.request.request_id)
        if open_request.timer is not None:
            open_request.timer.cancel()
        for attempt_index, attempt in enumerate(open_request.attempts):
            if attempt.in_flight is not None and not attempt.ended and not attempt.in_flight.fully_written:
                attempt.in_flight.cancel()
                self._end_attempt(open_request, attempt_index, AttemptResult(api.Outcome.NOT_SENT))
        self._remove_if_done(open_request)

    def _remove_if_done(self, open_request: OpenRequest) -> None:
        if open_request.closed and all(attempt.ended for attempt in open_request.attempts):
            self.requests.pop(open_request.ident, None)

    # Attempts

    def _send(self, action: api.Send) -> None:
        open_request = self.requests.get(action.request)
        if open_request is None:
            return  # the request is closed, and the decision module was notified of that
        self._close_if_client_disconnected(open_request)
        now_us = clock_us()
        attempt_index = len(open_request.attempts)
        attempt = TrackedAttempt(action.upstream, now_us)
        open_request.attempts.append(attempt)
        address = self.addresses.get(action.upstream)
        remaining_us = open_request.due_at_us - now_us
        may_send = not open_request.closed and remaining_us > 0 and action.timeout_us >= 0
        if address is None or not may_send or attempt_index >= self.settings.max_attempts:
            self._end_attempt(open_request, attempt_index, AttemptResult(api.Outcome.NOT_SENT))
            return
        timeout_us = min(action.timeout_us or remaining_us, remaining_us)
        attempt.timer = self._call_at(now_us + timeout_us, self._on_timeout, open_request, attempt_index)
        if self.observer is not None:
            token = self._token(open_request, attempt_index)
            self.observer.on_attempt_started(action.upstream, token, open_request.request.class_index)
        attempt.in_flight = self.transport.start_attempt(
            action.upstream,
            address,
            open_request.request,
            timeout_us,
            lambda result: self._end_attempt(open_request, attempt_index, result),
            action.latest_write_at_us,
        )

    def _on_timeout(self, open_request: OpenRequest, attempt_index: int) -> None:
        self._abandon(open_request, attempt_index, api.Outcome.TIMEOUT)

    def _cancel(self, action: api.Cancel) -> None:
        open_request = self.requests.get(action.request)
        if open_request is not None and action.attempt < len(open_request.attempts):
            self._abandon(open_request, action.attempt, api.Outcome.CANCELLED)

    def _abandon(self, open_request: OpenRequest, attempt_index: int, outcome: api.Outcome) -> None:
        attempt = open_request.attempts[attempt_index]
        if attempt.ended or attempt.in_flight is None:
            return
        if not attempt.in_flight.fully_written:
            outcome = api.Outcome.CONNECT_FAILED  # not completely written, so the upstream can't have run it
        attempt.in_flight.cancel()
        self._end_attempt(open_request, attempt_index, AttemptResult(outcome))

    def _end_attempt(self, open_request: OpenRequest, attempt_index: int, result: AttemptResult) -> None:
        """Record the outcome of an attempt. No other method does so."""
        attempt = open_request.attempts[attempt_index]
        if attempt.ended:
            return
        attempt.outcome = result.outcome
        attempt.in_flight = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if result.outcome is api.Outcome.OK:
            answer = FinalAnswer(FinalOutcome.SERVED, result.body, result.content_type, status=result.status)
            self._answer(open_request.ident, answer)
        elif result.outcome is api.Outcome.NOT_SENT:
            self._close_if_client_disconnected(open_request)
        elapsed_us = clock_us() - attempt.sent_at_us
        if self.observer is not None:
            token = self._token(open_request, attempt_index)
            self.observer.on_attempt_ended(attempt.upstream, token, result.outcome, elapsed_us)
        self._remove_if_done(open_request)
        self._dispatch(
            api.AttemptEnded(
                open_request.ident, attempt_index, attempt.upstream, result.outcome, elapsed_us, open_request.closed
            )
        )

    def _token(self, open_request: OpenRequest, attempt_index: int) -> int:
        return open_request.ident * self.settings.max_attempts + attempt_index

    def _remove_upstream(self, upstream: int) -> None:
        if self.addresses.pop(upstream, None) is not None:
            self.transport.remove_upstream(upstream)
