"""Retries: whether and when to send another attempt, and when a rejected client should retry."""

from random import Random

from ryepier.balancer import tuning
from ryepier.balancer.estimates import RequestEstimates
from ryepier.balancer.events import Outcome, RetryStormUpdated
from ryepier.balancer.settings import Idempotency, IdempotencyScope, Settings
from ryepier.balancer.upstream import FAULT_OUTCOMES, Attempt, PendingRequest, TrackedUpstream

# Outcomes after which a request may be retried. Without these retries, each request that a partly failing
# upstream fails would be lost.
RETRIABLE_OUTCOMES = (*FAULT_OUTCOMES, Outcome.TIMEOUT)


class RetryPolicy:
    """Decides whether, when and where a request may have another attempt; owns the retry budget."""

    def __init__(self, settings: Settings, estimates: RequestEstimates, random: Random) -> None:
        """Start with a full retry budget; `estimates` and `random` are those of the balancer."""
        self.settings = settings
        self.estimates = estimates
        self.random = random
        self.budget = tuning.MAX_RETRY_BUDGET  # in retries

    def may_send(self, request: PendingRequest, now_us: int) -> bool:
        """Return whether a request may have another attempt now, at some upstream."""
        if request.done or request.streaming or now_us >= request.event.due_at_us:
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if request.in_flight() > 0 and not self.settings.hedging:
            return False
        request_class = request.request_class
        first_attempt = request.first_attempt_that_may_have_run()
        if first_attempt is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return now_us - first_attempt.sent_at_us < request_class.idempotency_window_us

    def scope_attempt(self, request: PendingRequest) -> Attempt | None:
        """Return the attempt to whose idempotency scope further attempts are limited; None = no limit."""
        request_class = request.request_class
        if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return None
        if request_class.idempotency_scope is IdempotencyScope.ALL:
            return None
        return request.first_attempt_that_may_have_run()

    def in_scope(self, first_attempt: Attempt, upstream: TrackedUpstream) -> bool:
        """Return whether an upstream is in the idempotency scope of a request's first attempt, so that a
        repeat there does not run again."""
        if self.settings.classes[first_attempt.class_index].idempotency_scope is IdempotencyScope.ZONE:
            return first_attempt.entry.zone == upstream.entry.zone
        return first_attempt.entry.failure_domain == upstream.entry.failure_domain

    def latest_write_at_us(self, request: PendingRequest) -> int:
        """Return the latest time (us) to write another attempt; 0 = no limit. Later, upstreams have forgotten
        the idempotency key."""
        request_class = request.request_class
        first_attempt = request.first_attempt_that_may_have_run()
        if first_attempt is None or request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return 0
        return first_attempt.sent_at_us + request_class.idempotency_window_us

    def may_reject(self, request: PendingRequest) -> bool:
        """Return whether a request without a successful response can be rejected, as the client may safely
        repeat it."""
        request_class = request.request_class
        if (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or request.first_attempt_that_may_have_run() is None
        ):
            return True
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return request_class.idempotency_scope is IdempotencyScope.ALL

    def may_retry(self, request: PendingRequest, outcome: Outcome, now_us: int) -> bool:
        """Return whether a request may be retried. The retry budget limits the load of retries in an
        outage."""
        return outcome in RETRIABLE_OUTCOMES and self.may_send(request, now_us) and self.budget >= 1.0

    def charge_budget(self, request: PendingRequest, in_storm: bool) -> None:
        """Update the retry budget for an attempt that is about to be sent.

        The first attempt of a request adds `RETRY_BUDGET_RATIO` to the budget, unless the request is a
        client's retry in a retry storm. Each further attempt takes 1 from the budget.
        """
        is_client_retry = request.event.retry_number > 0
        if request.attempts:
            self.budget -= 1.0
        elif not (in_storm and is_client_retry):
            self.budget = min(tuning.MAX_RETRY_BUDGET, self.budget + tuning.RETRY_BUDGET_RATIO)

    def useful_until_us(self, request: PendingRequest) -> int:
        """Return the time (us) after which an answer to a request has no value."""
        request_class = request.request_class
        late_has_value = request_class.late_weight > 0
        useful_us = request_class.deadline_us if late_has_value else request_class.latency_objective_us
        return min(request.event.due_at_us, request.arrived_at_us + useful_us)

    def latest_start_at_us(self, request: PendingRequest) -> int:
        """Return the latest time (us) to start an attempt whose answer can be expected in time.

        At most half the latency objective is reserved for the attempt. Otherwise no request would be retried
        after an outage that has raised the mean latency.
        """
        class_index = request.event.class_index
        expected_latency_us = min(
            self.estimates.mean_latency_us[class_index], self.estimates.slow_latency_us[class_index]
        )
        return self.useful_until_us(request) - int(expected_latency_us)

    def timeout_us(self, request: PendingRequest, now_us: int) -> int:
        """Return the timeout (us) of the next attempt: the time for which its answer is useful or, if a retry
        may follow and hedging is off, a multiple of the mean latency of the class."""
        useful_us = max(1, self.useful_until_us(request) - now_us)
        is_non_idempotent = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        if self.settings.hedging or is_non_idempotent or self.budget < 1:
            return useful_us
        event = request.event
        timeout_us = max(
            int(tuning.ATTEMPT_TIMEOUT_FACTOR * self.estimates.mean_latency_us[event.class_index]),
            self.estimates.slow_latency_us[event.class_index],
            tuning.ATTEMPT_TIMEOUT_FACTOR * event.cost_us,
        )
        return min(useful_us, timeout_us)

    def hedge_delay_us(self, request: PendingRequest) -> int | None:
        """Return the time (us) after which to hedge an attempt; None if the request must not be hedged."""
        if not self.settings.hedging or request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return None
        class_index = request.event.class_index
        delay_us = int(tuning.HEDGE_DELAY_FACTOR * self.estimates.mean_latency_us[class_index])
        return min(delay_us, self.estimates.slow_latency_us[class_index])

    def retry_after_us(self, request: PendingRequest, storm: RetryStormUpdated) -> int:
        """Return how long (us) a rejected client should wait before it retries; in a retry storm, a random
        time within the window for its retry number."""
        max_us = self.settings.max_retry_after_us
        if not storm.active or not storm.retry_after_windows_us:
            mean_us = self.estimates.mean_latency_us[request.event.class_index]
            return int(min(mean_us * (0.5 + self.random.random()), max_us))
        last_index = len(storm.retry_after_windows_us) - 1
        window_us = storm.retry_after_windows_us[min(request.event.retry_number, last_index)]
        if storm.retry_after_in_seconds and max_us >= tuning.SECOND_US:
            # Draw whole seconds, from a window of at least two seconds if `max_us` allows it. These clients
            # round fractions, so waits drawn from a short window would all become the same second, and all
            # clients rejected within one second would retry together.
            max_s = min(max_us, max(window_us, 2 * tuning.SECOND_US)) // tuning.SECOND_US
            return tuning.SECOND_US * self.random.randint(1, max_s)
        wait_us = window_us * self.random.uniform(tuning.MIN_RETRY_AFTER_SHARE, 1)
        return int(min(wait_us, max_us))
