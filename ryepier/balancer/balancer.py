"""Decision module of one sidecar; ryepier/balancer/interface.py has its settings, events and actions.

A request takes a free slot of a randomly selected upstream. If no slot is free, it waits in the buffer,
which holds one request. If the buffer is taken, the request is rejected. A retry also needs a free slot
(docs/design.md).
"""

from random import Random

from ryepier.balancer import interface as api
from ryepier.balancer import tuning
from ryepier.balancer.admission import AdmissionControl
from ryepier.balancer.endpoint_polling import EndpointPoller
from ryepier.balancer.estimates import RequestEstimates
from ryepier.balancer.feedback import AttemptFeedback
from ryepier.balancer.membership import Membership
from ryepier.balancer.outlier_detection import OutlierDetector
from ryepier.balancer.pool import UpstreamPool
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.selection import Selector
from ryepier.balancer.upstream import ANSWERED_OUTCOMES, Attempt, PendingRequest, TrackedUpstream
from ryepier.balancer.wake_ups import WakeUp, WakeUpKind, WakeUpQueue


class Balancer:
    """Makes the decisions of one sidecar. The same settings, seed and events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Start without upstreams; `now_us` is the current time (microseconds) on the clock of the events."""
        self.settings = settings
        self.random = Random(seed)
        self.now_us = now_us
        self.actions: list[api.Action] = []
        self.requests: dict[int, PendingRequest] = {}
        self.buffer: PendingRequest | None = None
        self.estimates = RequestEstimates(settings.classes)
        self.membership = Membership(settings, self.random, now_us)
        self.admission = AdmissionControl(settings, self.estimates)
        self.retries = RetryPolicy(settings, self.estimates, self.random)
        self.outliers = OutlierDetector(settings, self.estimates, self.membership, self.random)
        self.feedback = AttemptFeedback(self.estimates, self.outliers, self.membership)
        self.selector = Selector(self.membership, self.retries, self.outliers, self.estimates, self.random)
        self.endpoint_poller = EndpointPoller(settings, self.random)
        self.last_shortage_at_us = 0  # time at which a request last found no free slot; 0 = never
        # A shortage of slots is assumed to last this long after the last request that found no free slot.
        self.shortage_duration_us = 2 * max(
            request_class.latency_objective_us for request_class in settings.classes
        )
        self.next_log_at_us = now_us
        self.wake_ups = WakeUpQueue()
        self.schedule_poll(now_us)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions to carry out, in order. `now_us` must not decrease."""
        self.now_us = now_us
        match event:
            case api.AttemptEnded():
                self.on_attempt_ended(event)
            case api.RequestArrived():
                self.on_arrival(event)
            case api.TimerFired():
                self.on_timer()
            case api.ClientDisconnected() if event.request in self.requests:
                self.close_request(self.requests[event.request])
            case api.StreamStarted() if event.request in self.requests:
                self.requests[event.request].streaming = True
            case api.UpstreamsUpdated():
                self.on_upstreams_updated(event)
            case api.PlanUpdated():
                self.on_plan_updated(event)
            case api.RetryStormUpdated():
                self.admission.storm = event
        self.send_buffered_request()
        self.arm_timer()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: api.RequestArrived) -> None:
        """Send or buffer a new request, or reject it if it is not admitted. A repeated arrival is ignored."""
        if event.request in self.requests:
            return
        request_class = self.settings.classes[event.class_index]
        request = self.requests[event.request] = PendingRequest(event, request_class, self.now_us)
        self.admission.observe_arrival(event)
        self.estimates.observe_cost(event.cost_us)
        if self.admission.admits(event):
            self.place(request)
        else:
            # Rejected requests count too, as warming upstreams get traffic in proportion to the demand.
            self.count_demand()
            self.reject_or_fail(request)
        self.log_overload(self.admission.observe_placement(sent=bool(request.attempts)))

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Free the slot of an attempt, update the measurements, and retry the request or give its final
        answer.

        Events about unknown attempts, and repeated events, are ignored."""
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        self.observe_attempt(attempt, event.elapsed_us)
        if event.final or request.done:
            self.close_request(request)
        elif request.in_flight() == 0:
            if self.retries.may_retry(request, event.outcome, self.now_us):
                self.place(request)
            else:
                self.reject_or_fail(request)

    def on_upstreams_updated(self, event: api.UpstreamsUpdated) -> None:
        """Apply a new or changed upstream list, or schedule the next poll after a failed one."""
        if event.kind is api.ListKind.FAILED:
            self.schedule_poll(self.endpoint_poller.on_failure(self.now_us, event.silent_us))
            return
        if event.kind is not api.ListKind.CACHED:
            self.endpoint_poller.on_list_received()
        self.close_idle(self.membership.update(event, self.now_us))

    def on_plan_updated(self, event: api.PlanUpdated) -> None:
        """Replace the advice and the limits of the previous plan."""
        self.membership.apply_plan(event)
        self.admission.tenant_shares_within_quota = event.tenant_shares_within_quota
        self.admission.class_admission = event.class_admission

    def on_timer(self) -> None:
        """Carry out all wake-ups that are due."""
        self.wake_ups.on_timer(self.now_us)
        while (wake_up := self.wake_ups.pop_due(self.now_us)) is not None:
            self.on_wake_up(wake_up)

    def place(self, request: PendingRequest) -> None:
        """Send a request if a slot is free. Otherwise buffer it or, if this fails, give its final answer."""
        latest_start_at_us = self.retries.latest_start_at_us(request)
        if self.now_us >= latest_start_at_us:
            self.reject_or_fail(request)
            return
        self.count_demand()
        upstream = self.selector.select(request, self.now_us)
        if upstream is not None:
            self.send(request, upstream)
            return
        self.last_shortage_at_us = self.now_us
        if self.may_take_buffer(request) and self.retries.may_send(request, self.now_us):
            self.put_into_buffer(request, latest_start_at_us)
        else:
            self.reject_or_fail(request)

    def may_take_buffer(self, request: PendingRequest) -> bool:
        """Return whether the buffer is empty or holds a request of lower priority.

        Without priorities, many requests of little weight would keep the others out of the buffer."""
        if self.buffer is None:
            return True
        return self.admission.priority(request) > self.admission.priority(self.buffer)

    def put_into_buffer(self, request: PendingRequest, latest_start_at_us: int) -> None:
        """Put a request into the buffer, until `latest_start_at_us` at the latest. A request that it replaces
        there gets its final answer."""
        if self.buffer is not None:
            self.reject_or_fail(self.buffer)
        self.buffer = request
        until_us = min(
            self.now_us + self.estimates.slow_latency_us[request.event.class_index], latest_start_at_us
        )
        self.schedule_wake_up(until_us, WakeUpKind.BUFFER_TIMEOUT, request.event.request)

    def send_buffered_request(self) -> None:
        """Send the buffered request if a slot is free for it."""
        request = self.buffer
        if request is None:
            return
        upstream = self.selector.select(request, self.now_us)
        if upstream is not None:
            self.buffer = None
            self.send(request, upstream)

    def send(self, request: PendingRequest, upstream: TrackedUpstream) -> None:
        """Start an attempt at an upstream: take a slot, update the credits and the retry budget, and schedule
        the wake-ups of the attempt."""
        event = request.event
        pool = self.membership.pool_of(upstream)
        is_warming = pool.slow_start.is_warming(upstream.entry, self.now_us)
        if is_warming:
            pool.slow_start.use_credit(upstream, self.estimates.relative_cost(event))
        else:
            pool.admission.use_credit()
        pool.admission.count_attempt(self.now_us)
        pool.subset.join(upstream, is_warming)
        self.retries.charge_budget(request, self.admission.storm.active)
        latest_write_at_us = self.retries.latest_write_at_us(request)
        follows_timeout = any(earlier.outcome is api.Outcome.TIMEOUT for earlier in request.attempts)
        attempt = Attempt(upstream, upstream.entry, event.class_index, self.now_us, follows_timeout)
        upstream.in_flight += 1
        upstream.outstanding_attempts.append(attempt)
        request.attempts.append(attempt)
        overdue_at_us = self.now_us + request.request_class.latency_objective_us
        self.schedule_wake_up(
            overdue_at_us, WakeUpKind.ATTEMPT_OVERDUE, event.request, len(request.attempts) - 1
        )
        timeout_us = self.retries.timeout_us(request, self.now_us)
        self.actions.append(api.Send(event.request, upstream.entry.id, timeout_us, latest_write_at_us))
        hedge_delay_us = self.retries.hedge_delay_us(request)
        if hedge_delay_us is not None:
            self.schedule_wake_up(self.now_us + hedge_delay_us, WakeUpKind.HEDGE, event.request)

    def send_hedge(self, request: PendingRequest) -> None:
        """Hedge a slow request at another upstream, unless the buffered request needs the slot."""
        if request.in_flight() == 1 and self.buffer is None:
            upstream = self.selector.select(request, self.now_us)
            if upstream is not None and upstream is not request.attempts[-1].upstream:
                self.send(request, upstream)

    def reject_or_fail(self, request: PendingRequest) -> None:
        """Give a request its final answer: rejected if repeating it is safe, failed otherwise."""
        may_reject = self.retries.may_reject(request)
        self.close_request(request)
        storm = self.admission.storm
        retry_after_us = 0
        if self.settings.retry_after:
            if storm.active and storm.retry_after_windows_us:
                # A client that obeys Retry-After sends fewer retries, which would otherwise add credit. Add
                # the credit of one omitted retry here, so that the wait does not lower the counted demand.
                self.count_demand()
            retry_after_us = self.retries.retry_after_us(request, storm)
        request_id = request.event.request
        self.actions.append(api.Reject(request_id, retry_after_us) if may_reject else api.Fail(request_id))

    def close_request(self, request: PendingRequest) -> None:
        """Send no further attempts of a request, and remove it once none of its attempts is in flight."""
        request.done = True
        if self.buffer is request:
            self.buffer = None
        if request.in_flight() == 0:
            self.requests.pop(request.event.request, None)

    def observe_attempt(self, attempt: Attempt, elapsed_us: int) -> None:
        """Update the measurements of an upstream and its pool with an attempt that ended after
        `elapsed_us`."""
        upstream = attempt.upstream
        pool = self.membership.pool_of(upstream)
        slow_latency_us = self.estimates.slow_latency_us[attempt.class_index]
        needed_until_us = self.last_shortage_at_us + tuning.SHORTAGE_DURATION_FACTOR * slow_latency_us
        in_shortage = attempt.sent_at_us <= needed_until_us
        if self.feedback.observe(attempt, elapsed_us, in_shortage, self.now_us):
            # The upstream may rejoin the subset when its limit has grown again.
            if upstream.concurrency.limit < tuning.MIN_MEMBER_CONCURRENCY_LIMIT:
                self.close_idle(pool.subset.leave(upstream))
            self.log_ejection(upstream)
        if attempt.outcome in ANSWERED_OUTCOMES:
            self.add_slow_start_credit(pool, 1.0)

    def count_demand(self) -> None:
        """Add admission and slow-start credit for one request that arrives or is sent again."""
        for pool in self.membership.pools:
            pool.admission.add_credit()
        for pool in self.membership.pools_in_use:
            # While all upstreams are warming, they get requests by this credit only.
            self.add_slow_start_credit(pool, tuning.DEMAND_CREDIT_SHARE * pool.admission.admitted_share)

    def add_slow_start_credit(self, pool: UpstreamPool, credited_amount: float) -> None:
        """Give the warming upstreams of a pool the slow-start credit for `credited_amount` requests: 1 for an
        answer, a fraction for an arrival."""
        if pool.slow_start.is_outdated(self.now_us):
            self.close_idle(self.membership.refresh_warming(pool, self.now_us))
        shortage_ends_at_us = self.last_shortage_at_us + self.shortage_duration_us
        in_shortage = self.last_shortage_at_us > 0 and self.now_us <= shortage_ends_at_us
        pool.slow_start.add_credit(credited_amount, in_shortage, self.now_us)

    def schedule_poll(self, at_us: int) -> None:
        """Schedule a poll of the endpoint list at `at_us`, if the settings require polls."""
        if self.settings.polls_endpoints:
            self.endpoint_poller.next_poll_at_us = at_us
            self.schedule_wake_up(at_us, WakeUpKind.ENDPOINT_POLL, 0)

    def poll_endpoints(self) -> None:
        """Poll the endpoint list if a poll is due, and schedule the next poll in case no answer comes."""
        if 0 < self.endpoint_poller.next_poll_at_us <= self.now_us:
            self.actions.append(api.Subscribe(True))
            self.schedule_poll(self.endpoint_poller.on_poll(self.now_us))

    def close_idle(self, upstreams: list[TrackedUpstream]) -> None:
        """Close the idle connections to upstreams that have left a subset."""
        self.actions += [api.CloseIdle(upstream.entry.id) for upstream in upstreams]

    def schedule_wake_up(self, at_us: int, kind: WakeUpKind, request: int, attempt: int = 0) -> None:
        """Schedule a wake-up at `at_us`, one microsecond from now at the earliest."""
        self.wake_ups.schedule(max(at_us, self.now_us + 1), kind, request, attempt)

    def on_wake_up(self, wake_up: WakeUp) -> None:
        """Carry out one wake-up."""
        request = self.requests.get(wake_up.request)
        if wake_up.kind is WakeUpKind.ENDPOINT_POLL:
            self.poll_endpoints()
        elif wake_up.kind is WakeUpKind.HEDGE and request is not None:
            self.send_hedge(request)
        elif wake_up.kind is WakeUpKind.ATTEMPT_OVERDUE and request is not None:
            self.outliers.on_overdue(request.attempts[wake_up.attempt], self.now_us)
        elif wake_up.kind is WakeUpKind.BUFFER_TIMEOUT and request is not None and self.buffer is request:
            self.reject_or_fail(request)

    def arm_timer(self) -> None:
        """Request a timer for the next wake-up. If a request is buffered and an ejection ends sooner, the
        timer is for the end of the ejection, when the upstream may take the request."""
        restoration_us = None
        if self.buffer is not None:
            restoration_us = self.outliers.next_restoration_us(self.buffer.event.class_index, self.now_us)
        timer_at_us = self.wake_ups.timer_to_request(restoration_us)
        if timer_at_us is not None:
            self.actions.append(api.SetTimer(timer_at_us, 0))

    def log(self, text: str, upstream: int | None = None) -> bool:
        """Log a line unless one was logged within `LOG_INTERVAL_US`. Returns whether it was logged."""
        if self.now_us < self.next_log_at_us:
            return False
        self.next_log_at_us = self.now_us + tuning.LOG_INTERVAL_US
        self.actions.append(api.Log(text, upstream))
        return True

    def log_overload(self, overloaded: bool) -> None:
        """Log that an overload of the sidecar has begun or ended, if this was not logged yet."""
        if overloaded == self.admission.logged_overloaded:
            return
        if self.log("overload begins" if overloaded else "overload ends"):
            self.admission.logged_overloaded = overloaded

    def log_ejection(self, upstream: TrackedUpstream) -> None:
        """Log that an upstream is ejected or restored, if this was not logged yet."""
        threshold = (
            tuning.RESTORATION_LOG_THRESHOLD if upstream.logged_ejected else tuning.EJECTION_LOG_THRESHOLD
        )
        ejected = upstream.concurrency.limit < threshold
        if ejected == upstream.logged_ejected:
            return
        upstream_id = upstream.entry.id
        text = f"upstream {upstream_id} ejected" if ejected else f"upstream {upstream_id} restored"
        if self.log(text, upstream_id):
            upstream.logged_ejected = ejected
