"""Model of a fleet in virtual time: balancers without sockets, in front of converters of which some are warming up.

A converter serves requests in the order of arrival on `CORES_PER_CONVERTER` cores, at a speed that grows while it warms
up, and rejects requests that would wait longer than `MAX_QUEUE_US`. The settings limit the work that a warming
converter may get within `overload_window_us`, in proportion to its capacity at the start of that window.
`Fleet.worst_window_ratio` is the highest ratio of the work that a converter got in a window to this limit plus a margin
for random variation.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import (
    AttemptEnded,
    Event,
    Idempotency,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    Upstream,
    UpstreamsUpdated,
)
from tests.balancer_harness import START_US, settings

CONVERTER_COUNT = 12
CORES_PER_CONVERTER = 2
MEAN_COST_US = 100_000  # mean work of a request, so that a warm converter serves 20 requests per second
MAX_QUEUE_US = 600_000  # a request that would wait longer is rejected
DURATION_BEFORE_STARTS_US = 8_000_000
DURATION_AFTER_STARTS_US = 8_000_000
WARM_CAPACITY_PER_S = CORES_PER_CONVERTER * 1_000_000 / MEAN_COST_US  # requests per second of a warm converter
MAX_RELATIVE_COST = 10.0  # highest cost of a request, in multiples of the mean
REQUEST_TIMEOUT_US = 1_500_000
REJECTION_DELAY_US = 1_000  # time from the start of an attempt to its rejection
RELATIVE_RATES = [0.02, 0.5, 1.0, 1.0, 4.0]  # each sidecar's request rate relative to the others is drawn from these

# Costs of the requests: equal or with a heavy-tailed distribution, and whether requests have a cost hint
EQUAL_HINTED = "equal, hinted"
HEAVY_HINTED = "heavy, hinted"
HEAVY_UNHINTED = "heavy, not hinted"


@dataclass(frozen=True)
class Case:
    """Parameters of one run."""

    sidecar_count: int
    cold_count: int  # number of converters that start at the same time
    costs: str = EQUAL_HINTED
    load: float = 0.7  # rate of new requests, relative to the capacity of all converters when warm
    seed: int = 1
    traffic_moves: bool = False  # whether other sidecars become the busiest when the cold converters start

    def name(self) -> str:
        """Return the id of the test case."""
        moves = ", traffic moves" if self.traffic_moves else ""
        return f"{self.sidecar_count} sidecars, {self.cold_count} cold, {self.costs}, load {self.load}{moves}"


class Attempt(NamedTuple):
    """An attempt at a converter that started during the run."""

    at_us: int
    cost: float
    """Cost of the request, in multiples of the mean."""


@dataclass
class Converter:
    """A converter. A `started_at_us` of 0 means that it has been warm since before the run."""

    started_at_us: int = 0
    # Heap of the times at which the cores become free
    cores_free_at_us: list[int] = field(default_factory=lambda: [0] * CORES_PER_CONVERTER)
    attempts: list[Attempt] = field(default_factory=list)


class ScheduledEvent(NamedTuple):
    """An event for one balancer. Events for the same time are handled in the order in which they were scheduled."""

    at_us: int
    number: int
    sidecar: int
    event: Event


class Fleet:
    """Balancers and converters, with the queue of their scheduled events."""

    def __init__(self, case: Case) -> None:
        """Create the balancers and converters of a case. All converters are warm at first."""
        self.case = case
        self.random = random.Random(case.seed)
        self.settings: Settings = settings(
            classes=[RequestClass("read", 600_000, REQUEST_TIMEOUT_US, idempotency=Idempotency.NON_IDEMPOTENT)],
            instances=case.sidecar_count,
            hedging=False,
            initial_capacity_share=0.12,
            warm_up_us=20_000_000,
            overload_factor=4.0,
            overload_window_us=3_000_000,
        )
        self.now_us = START_US
        self.balancers = [
            Balancer(self.settings, case.seed * 100 + index, START_US) for index in range(case.sidecar_count)
        ]
        self.converters = [Converter() for _ in range(CONVERTER_COUNT)]
        self.queue: list[ScheduledEvent] = []
        self.costs_us: dict[int, int] = {}  # by request
        self.last_number = 0
        relative_rates = [self.random.choice(RELATIVE_RATES) for _ in range(case.sidecar_count)]
        self.rates = [
            case.load * CONVERTER_COUNT * WARM_CAPACITY_PER_S * relative_rate / sum(relative_rates)
            for relative_rate in relative_rates
        ]

    @property
    def cold_converters(self) -> list[Converter]:
        """Return the converters that start, cold, in the middle of the run."""
        return self.converters[: self.case.cold_count]

    # Running

    def run(self) -> None:
        """Run the whole case: first with warm converters only, then with some that have just started."""
        self._send_list()
        for sidecar in range(len(self.balancers)):
            self._schedule_request(sidecar)
        self._run_until(START_US + DURATION_BEFORE_STARTS_US)
        self._start_cold_converters()
        self._run_until(self.now_us + DURATION_AFTER_STARTS_US)

    def _run_until(self, until_us: int) -> None:
        while self.queue and self.queue[0].at_us <= until_us:
            scheduled = heapq.heappop(self.queue)
            self.now_us = max(self.now_us, scheduled.at_us)
            if isinstance(scheduled.event, RequestArrived):
                self._schedule_request(scheduled.sidecar)
            self._handle(scheduled.sidecar, scheduled.event)
        self.now_us = until_us

    def _start_cold_converters(self) -> None:
        if self.case.traffic_moves:  # the busiest sidecar gets the rate of the least busy one, and so on
            sidecars_by_rate = sorted(range(len(self.rates)), key=self.rates.__getitem__)
            new_rates = {
                sidecar: self.rates[other]
                for sidecar, other in zip(sidecars_by_rate, reversed(sidecars_by_rate), strict=True)
            }
            self.rates = [new_rates[sidecar] for sidecar in range(len(self.rates))]
        for converter in self.cold_converters:
            converter.started_at_us, converter.cores_free_at_us = self.now_us, [self.now_us] * CORES_PER_CONVERTER
        self._send_list()

    def _send_list(self) -> None:
        entries = [
            Upstream(index + 1, started_at_us=converter.started_at_us)
            for index, converter in enumerate(self.converters)
        ]
        for sidecar in range(len(self.balancers)):
            self._handle(sidecar, UpstreamsUpdated(ListKind.FULL, entries))

    def _schedule(self, at_us: int, sidecar: int, event: Event) -> None:
        self.last_number += 1
        heapq.heappush(self.queue, ScheduledEvent(at_us, self.last_number, sidecar, event))

    def _schedule_request(self, sidecar: int) -> None:
        at_us = self.now_us + max(1, int(self.random.expovariate(self.rates[sidecar]) * 1_000_000))
        cost_us = MEAN_COST_US
        if self.case.costs != EQUAL_HINTED:
            # The distribution has mean 1 and standard deviation 2, before it is limited to MAX_RELATIVE_COST. Without
            # this limit, a single request above the margin for random variation would overload a cold converter, and a
            # sidecar could not avoid that without a cost hint.
            cost_us = int(MEAN_COST_US * min(self.random.lognormvariate(-0.8, 1.265), MAX_RELATIVE_COST))
        self.last_number += 1
        self.costs_us[self.last_number] = cost_us
        hint_us = 0 if self.case.costs == HEAVY_UNHINTED else cost_us
        self._schedule(at_us, sidecar, RequestArrived(self.last_number, at_us + REQUEST_TIMEOUT_US, cost_us=hint_us))

    def _handle(self, sidecar: int, event: Event) -> None:
        for action in self.balancers[sidecar].handle(self.now_us, event):
            if isinstance(action, Send):
                self._serve(sidecar, action)
            elif isinstance(action, SetTimer):
                self._schedule(action.at_us, sidecar, TimerFired(action.token))

    def _serve(self, sidecar: int, send: Send) -> None:
        converter, cost_us = self.converters[send.upstream - 1], self.costs_us[send.request]
        if converter.started_at_us:
            converter.attempts.append(Attempt(self.now_us, cost_us / MEAN_COST_US))
        begin_us = max(converter.cores_free_at_us[0], self.now_us)
        end_us = begin_us + int(cost_us / self.speed(converter, self.now_us))
        outcome, timeout_at_us = Outcome.OK, self.now_us + send.timeout_us
        if begin_us > self.now_us + MAX_QUEUE_US:
            outcome, end_us = Outcome.REJECTED, self.now_us + REJECTION_DELAY_US
        else:
            heapq.heapreplace(converter.cores_free_at_us, end_us)
            if end_us > timeout_at_us:
                outcome, end_us = Outcome.TIMEOUT, timeout_at_us
        is_final = outcome is Outcome.OK
        ended_event = AttemptEnded(send.request, 0, send.upstream, outcome, end_us - self.now_us, is_final)
        self._schedule(end_us, sidecar, ended_event)

    def speed(self, converter: Converter, at_us: int) -> float:
        """Return the speed of a converter at a time, relative to a warm converter."""
        if converter.started_at_us == 0 or at_us >= converter.started_at_us + self.settings.warm_up_us:
            return 1.0
        initial_share = self.settings.initial_capacity_share
        return initial_share + (1 - initial_share) * (at_us - converter.started_at_us) / self.settings.warm_up_us

    # Results

    def worst_window_ratio(self) -> float:
        """Return the highest ratio of the work sent to a cold converter in a window to the work allowed in it."""
        return max(self._worst_window_ratio_of(converter) for converter in self.cold_converters)

    def _worst_window_ratio_of(self, converter: Converter) -> float:
        window: deque[Attempt] = deque()
        worst_ratio = work = 0.0
        for attempt in converter.attempts:
            window.append(attempt)
            work += attempt.cost
            window_start_us = attempt.at_us - self.settings.overload_window_us
            while window[0].at_us <= window_start_us:
                work -= window.popleft().cost
            # The allowed work is determined by the capacity at the start of the window, without its later growth.
            allowed_work = self._allowed_work(converter, max(converter.started_at_us, window_start_us))
            worst_ratio = max(worst_ratio, work / (allowed_work + 2 * allowed_work**0.5 + 2))
        return worst_ratio

    def _allowed_work(self, converter: Converter, start_us: int) -> float:
        window_s = self.settings.overload_window_us / 1_000_000
        return self.settings.overload_factor * self.speed(converter, start_us) * WARM_CAPACITY_PER_S * window_s

    def utilisation(self) -> float:
        """Return the work that was sent to the cold converters, relative to their mean capacity since their start."""
        work_sent = sum(attempt.cost for converter in self.cold_converters for attempt in converter.attempts)
        midpoint_us = self.converters[0].started_at_us + DURATION_AFTER_STARTS_US // 2
        max_work = (
            WARM_CAPACITY_PER_S * DURATION_AFTER_STARTS_US / 1_000_000 * self.speed(self.converters[0], midpoint_us)
        )
        return work_sent / (max_work * self.case.cold_count)
