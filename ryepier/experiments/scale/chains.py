"""Services that call each other in a chain, in virtual time, with the sidecar's real dispatcher and module at each hop.

Each service has some instances, each with a sidecar of its own that calls the instances of the next; the last service
answers or fails by chance. An instance that has no answer from below answers with an error, as an application does that
can't do without it. The rest of a call's deadline is passed on. There are no sockets and no real clock.
"""

from __future__ import annotations

import heapq
import itertools
import logging
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from ryepier.balancer import interface as api
from ryepier.sidecar import system
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, ClientRequest, FinalAnswer, FinalOutcome

NETWORK_US = 200  # one way
WORK_US = 2_000  # of the last service, for an answer or an error
OBJECTIVE_PER_HOP_US = 40_000  # a hop's latency objective, for each hop from it to the end
DEADLINE_US = 1_000_000
LATE_WEIGHT = 0.5
MAX_SIDECAR_ATTEMPTS = 4
MAX_RETRY_AFTER_US = 500_000
START_US = 1_000_000_000  # a clock that has been running
NS_PER_US = 1000


class Chain(msgspec.Struct, frozen=True):
    """What to run."""

    depth: int  # calls from the first caller to the last service
    failing: float  # share of the last service's attempts that fail
    calls: int
    rate_per_s: float
    seed: int
    idempotency: api.Idempotency = api.Idempotency.IDEMPOTENT
    deadline_us: int = DEADLINE_US
    same_objective_us: int = 0  # at every hop; 0: by the hops below
    instances: int = 3  # of each service
    max_attempts: int = 1_000_000  # at the last service, after which a run is broken off


class ChainOutcome(msgspec.Struct):
    """What a run came to."""

    attempts: list[int]  # that reached the service at each hop, the last service last
    calls: list[int]  # that each hop's sidecars were asked for
    served: int = 0  # of the first callers' calls
    answered: int = 0
    longest_us: int = 0  # that a first caller waited
    broken_off: bool = False


class TimerHandle:
    """A timer that can be cancelled."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Hold what to call."""
        self.callback = callback
        self.args = args
        self.is_cancelled = False

    def cancel(self) -> None:
        """Keep the callback from being called."""
        self.is_cancelled = True


class VirtualClock:
    """Virtual time and the timers in it."""

    def __init__(self) -> None:
        """Start without timers."""
        self.now_us = START_US
        self._timers: list[tuple[int, int, TimerHandle]] = []
        self._numbers = itertools.count()

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> TimerHandle:
        """Call back after a delay in seconds, as an event loop does."""
        return self.after_us(round(delay * 1e6), callback, *args)

    def after_us(self, delay_us: int, callback: Callable[..., None], *args: Any) -> TimerHandle:
        """Call back after a delay."""
        handle = TimerHandle(callback, args)
        heapq.heappush(self._timers, (self.now_us + max(0, delay_us), next(self._numbers), handle))
        return handle

    def run(self, is_stopped: Callable[[], bool]) -> None:
        """Run the timers in the order of time until none is left or the run is stopped."""
        while self._timers and not is_stopped():
            self.now_us, _, handle = heapq.heappop(self._timers)
            if not handle.is_cancelled:
                handle.callback(*handle.args)


class ChainAttempt:
    """An attempt in flight; it counts as written from its start."""

    fully_written = True

    def __init__(self, on_end: Callable[[AttemptResult], None]) -> None:
        """Hold whom to tell of the end."""
        self._on_end = on_end
        self._is_over = False

    def cancel(self) -> None:
        """Drop the result; what runs at the hops below goes on."""
        self._is_over = True

    def end(self, outcome: api.Outcome) -> None:
        """End with an outcome, unless cancelled."""
        if not self._is_over:
            self._is_over = True
            self._on_end(AttemptResult(outcome))


class ChainSidecar:
    """The sidecar of one instance, which forwards its calls to the next service."""

    def __init__(self, world: ChainWorld, hop: int, seed: int) -> None:
        """Start the dispatcher with the next service's instances as its endpoints."""
        self.world = world
        self.hop = hop
        chain = world.chain
        objective_us = chain.same_objective_us or OBJECTIVE_PER_HOP_US * (chain.depth - hop)
        request_class = api.RequestClass(
            "work", objective_us, chain.deadline_us, late_weight=LATE_WEIGHT, idempotency=chain.idempotency
        )
        settings = api.Settings(
            [request_class],
            instances=chain.instances,
            max_attempts=MAX_SIDECAR_ATTEMPTS,
            max_retry_after_us=MAX_RETRY_AFTER_US,
        )
        self.dispatcher = RequestDispatcher(settings, seed, self, world.clock)
        entries = [api.Upstream(number + 1) for number in range(chain.instances)]
        addresses = {entry.id: ("0.0.0.0", entry.id) for entry in entries}
        self.dispatcher.on_endpoints(api.UpstreamsUpdated(api.ListKind.FULL, entries, 1), addresses)

    def call(self, deadline_us: int, reply: Callable[[FinalAnswer], None]) -> None:
        """Take a call of this instance's application."""
        self.world.outcome.calls[self.hop] += 1
        request = ClientRequest(b"GET", b"/work", [], b"", self.world.clock.now_us, deadline_us, 0)
        self.dispatcher.on_request(request, reply)

    def start_attempt(
        self,
        upstream: int,
        address: tuple[str, int],
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_us: int = 0,
    ) -> ChainAttempt:
        """Start an attempt, as a connection pool does."""
        attempt = ChainAttempt(on_end)
        self.world.clock.after_us(NETWORK_US, self.world.on_arrival, self.hop, upstream - 1, timeout_us, attempt)
        return attempt

    def close_idle(self, upstream: int) -> None:
        """Do nothing: there are no connections."""

    def remove_upstream(self, upstream: int) -> None:
        """Do nothing: there are no connections."""


class ChainWorld:
    """All hops of one chain."""

    def __init__(self, chain: Chain) -> None:
        """Prepare the clock and the counts; `build` starts the sidecars."""
        self.chain = chain
        self.clock = VirtualClock()
        self.random = Random(chain.seed)
        self.outcome = ChainOutcome([0] * chain.depth, [0] * chain.depth)
        self.sidecars: list[list[ChainSidecar]] = []  # by hop and instance

    def build(self) -> None:
        """Start the sidecars of all hops."""
        seeds = Random(self.chain.seed + 1)
        self.sidecars = [
            [ChainSidecar(self, hop, seeds.getrandbits(64)) for _ in range(self.chain.instances)]
            for hop in range(self.chain.depth)
        ]

    def schedule_calls(self) -> None:
        """Schedule the first callers' calls, with exponential times between."""
        at_us = 0.0
        for _ in range(self.chain.calls):
            at_us += self.random.expovariate(self.chain.rate_per_s) * 1e6
            self.clock.after_us(int(at_us), self._make_first_call)

    def on_arrival(self, hop: int, instance: int, timeout_us: int, attempt: ChainAttempt) -> None:
        """Handle an attempt at an instance of the service that a hop calls."""
        self.outcome.attempts[hop] += 1
        if hop + 1 == self.chain.depth:
            is_failing = self.random.random() < self.chain.failing
            outcome = api.Outcome.ERROR if is_failing else api.Outcome.OK
            self.clock.after_us(WORK_US + NETWORK_US, attempt.end, outcome)
            return

        def reply(answer: FinalAnswer) -> None:
            outcome = api.Outcome.OK if answer.outcome is FinalOutcome.SERVED else api.Outcome.ERROR
            self.clock.after_us(NETWORK_US, attempt.end, outcome)

        self.sidecars[hop + 1][instance].call(timeout_us, reply)

    def is_stopped(self) -> bool:
        """Return whether the last service has had so many attempts that the run is broken off."""
        self.outcome.broken_off = self.outcome.attempts[-1] >= self.chain.max_attempts
        return self.outcome.broken_off

    def _make_first_call(self) -> None:
        begun_us = self.clock.now_us

        def reply(answer: FinalAnswer) -> None:
            self.outcome.answered += 1
            self.outcome.served += answer.outcome is FinalOutcome.SERVED
            self.outcome.longest_us = max(self.outcome.longest_us, self.clock.now_us - begun_us)

        self.random.choice(self.sidecars[0]).call(self.chain.deadline_us, reply)


def run_chain(chain: Chain) -> ChainOutcome:
    """Run a chain from the first call until all is quiet; replaces the clock of the process meanwhile."""
    monotonic_ns = system.monotonic_ns
    disabled_level = logging.root.manager.disable
    logging.disable(logging.INFO)  # a line for each call that was not served, of which there are many
    world = ChainWorld(chain)
    system.monotonic_ns = lambda: world.clock.now_us * NS_PER_US
    try:
        world.build()
        world.schedule_calls()
        world.clock.run(world.is_stopped)
    finally:
        system.monotonic_ns = monotonic_ns
        logging.disable(disabled_level)
    return world.outcome
