"""Measures the CPU time that the balancer's decisions take per call, in virtual time and without sockets."""

from __future__ import annotations

import time

import numpy as np

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.emulator import draws

START_US = 1_000_000_000  # start of the virtual clock, which like a real monotonic clock does not start at 0
CALLS_PER_BATCH = 100
BATCH_COUNT = 8
WARM_UP_BATCH_COUNT = 4  # batches that are not measured, as the balancer still opens its upstreams
ANSWER_LATENCY_US = 1_000
MAX_ATTEMPTS = 4


class BalancerTrial:
    """A balancer whose upstreams are all ready and answer every attempt after `ANSWER_LATENCY_US`."""

    def __init__(self, known_count: int, seed: int, rate_per_s: float) -> None:
        """Create a balancer that knows `known_count` upstreams and already admits `rate_per_s` calls per second."""
        self.request_class = api.RequestClass("work", 150_000, 1_000_000)
        self.random = draws.stream(seed, f"alone {known_count}")
        self.rate_per_s = rate_per_s
        self.now_us = START_US
        self.timer_due_us = 0
        self.balancer = Balancer(api.Settings([self.request_class], max_attempts=MAX_ATTEMPTS), seed, self.now_us)
        upstreams = [api.Upstream(number + 1) for number in range(known_count)]
        self.balancer.handle(self.now_us, api.UpstreamsUpdated(api.ListKind.FULL, upstreams, 1))
        admission = self.balancer.membership.pools[0].admission
        admission.send_rate = admission.burst_rate = rate_per_s

    def call(self, number: int) -> None:
        """Advance the time to the next request, pass it to the balancer, and answer its attempts."""
        self.now_us += ANSWER_LATENCY_US + int(self.random.exponential(1e6 / self.rate_per_s - ANSWER_LATENCY_US))
        timer_is_due = 0 < self.timer_due_us <= self.now_us
        actions = self.balancer.handle(self.now_us, api.TimerFired(0)) if timer_is_due else []
        deadline_us = self.now_us + self.request_class.deadline_us
        actions += self.balancer.handle(self.now_us, api.RequestArrived(number, deadline_us))
        for send in [action for action in actions if isinstance(action, api.Send)]:
            attempt_ended = api.AttemptEnded(number, 0, send.upstream, api.Outcome.OK, ANSWER_LATENCY_US, final=True)
            actions += self.balancer.handle(self.now_us + ANSWER_LATENCY_US, attempt_ended)
        timers = [action.at_us for action in actions if isinstance(action, api.SetTimer)]
        if timers:
            self.timer_due_us = timers[-1]


def balancer_us_per_call(known_count: int, seed: int, rate_per_s: float) -> float:
    """Return the balancer's CPU time per call in microseconds, with `known_count` known upstreams.

    The result is the median over batches, so that a short disturbance of the machine does not affect it.
    """
    trial = BalancerTrial(known_count, seed, rate_per_s)
    us_per_call = []
    for batch in range(BATCH_COUNT):
        cpu_before_s = time.process_time()
        for number in range(batch * CALLS_PER_BATCH, (batch + 1) * CALLS_PER_BATCH):
            trial.call(number)
        us_per_call.append((time.process_time() - cpu_before_s) * 1e6 / CALLS_PER_BATCH)
    return float(np.median(us_per_call[WARM_UP_BATCH_COUNT:]))
