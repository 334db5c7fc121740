"""Simulates services that call each other in a chain, with the sidecar's real dispatcher and balancer at each hop.

Each service has several instances, each with its own sidecar that calls the instances of the next service. The last
service answers or fails at random. An instance whose own call fails answers with an error, like an application that
needs the next service. The remaining deadline of a call is passed on. Time is virtual, and there are no sockets.
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

NETWORK_DELAY_US = 200  # in each direction
WORK_US = 2_000  # time after which the last service answers or fails
OBJECTIVE_PER_HOP_US = 40_000  # a hop's latency objective is this value times the number of hops to the last service
DEADLINE_US = 1_000_000
LATE_WEIGHT = 0.5
MAX_SIDECAR_ATTEMPTS = 4
MAX_RETRY_AFTER_US = 500_000
START_US = 1_000_000_000  # start of the virtual clock, which like a real monotonic clock does not start at 0
NS_PER_US = 1000


class Chain(msgspec.Struct, frozen=True):
    """Parameters of a simulated chain."""

    depth: int  # hops from the first caller to the last service
    failing_share: float  # share of the attempts at the last service that fail
    call_count: int  # calls of the first callers
    rate_per_s: float  # rate of these calls
    seed: int
    idempotency: api.Idempotency = api.Idempotency.IDEMPOTENT
    deadline_us: int = DEADLINE_US
    fixed_objective_us: int = 0  # latency objective of every hop; if 0, it is `OBJECTIVE_PER_HOP_US` per remaining hop
    instance_count: int = 3  # instances of each service
    max_attempts: int = 1_000_000  # attempts at the last service after which the run is aborted


class ChainOutcome(msgspec.Struct):
    """Counts of a simulated run."""

    attempts: list[int]  # by hop: attempts that reached the called service
    calls: list[int]  # by hop: calls that the sidecars received from their applications
    served_count: int = 0  # calls of the first callers that were served
    answered_count: int = 0  # calls of the first callers that were answered, including those answered with an error
    longest_wait_us: int = 0  # longest wait of a first caller for its answer
    is_aborted: bool = False  # whether the run was aborted after `Chain.max_attempts`


class TimerHandle:
    """A timer that can be cancelled."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Create a pending timer that calls `callback` with `args`."""
        self.callback = callback
        self.args = args
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the timer, so that its callback is not called."""
        self.is_cancelled = True


class VirtualClock:
    """A virtual clock that runs timers in order, and jumps from the time of each to the time of the next."""

    def __init__(self) -> None:
        """Start at `START_US` without timers."""
        self.now_us = START_US
        self._timers: list[tuple[int, int, TimerHandle]] = []
        self._sequence_numbers = itertools.count()

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> TimerHandle:
        """Schedule a callback after a delay in seconds, as `asyncio.AbstractEventLoop.call_later` does."""
        return self.call_after_us(round(delay * 1e6), callback, *args)

    def call_after_us(self, delay_us: int, callback: Callable[..., None], *args: Any) -> TimerHandle:
        """Schedule a callback after a delay in microseconds."""
        handle = TimerHandle(callback, args)
        heapq.heappush(self._timers, (self.now_us + max(0, delay_us), next(self._sequence_numbers), handle))
        return handle

    def run(self, is_stopped: Callable[[], bool]) -> None:
        """Run the timers in the order of their due times, until none is left or `is_stopped` returns true."""
        while self._timers and not is_stopped():
            self.now_us, _, handle = heapq.heappop(self._timers)
            if not handle.is_cancelled:
                handle.callback(*handle.args)


class ChainAttempt:
    """An attempt in flight. It counts as fully written to the network as soon as it starts."""

    fully_written = True

    def __init__(self, on_end: Callable[[AttemptResult], None]) -> None:
        """Start an attempt that passes its result to `on_end`."""
        self._on_end = on_end
        self._has_ended = False

    def cancel(self) -> None:
        """Discard the result. Calls that the attempt caused at later hops are not cancelled."""
        self._has_ended = True

    def end(self, outcome: api.Outcome) -> None:
        """End the attempt with an outcome, unless it was cancelled or has ended."""
        if not self._has_ended:
            self._has_ended = True
            self._on_end(AttemptResult(outcome))


class ChainSidecar:
    """The sidecar of one instance, which forwards its calls to the next service."""

    def __init__(self, world: ChainWorld, hop: int, seed: int) -> None:
        """Start the dispatcher of a sidecar at a hop, with the next service's instances as its endpoints."""
        self.world = world
        self.hop = hop
        chain = world.chain
        objective_us = chain.fixed_objective_us or OBJECTIVE_PER_HOP_US * (chain.depth - hop)
        request_class = api.RequestClass(
            "work", objective_us, chain.deadline_us, late_weight=LATE_WEIGHT, idempotency=chain.idempotency
        )
        settings = api.Settings(
            [request_class],
            instances=chain.instance_count,
            max_attempts=MAX_SIDECAR_ATTEMPTS,
            max_retry_after_us=MAX_RETRY_AFTER_US,
        )
        self.dispatcher = RequestDispatcher(settings, seed, self, world.clock)
        endpoints = [api.Upstream(number + 1) for number in range(chain.instance_count)]
        addresses = {endpoint.id: ("0.0.0.0", endpoint.id) for endpoint in endpoints}
        self.dispatcher.on_endpoints(api.UpstreamsUpdated(api.ListKind.FULL, endpoints, 1), addresses)

    def call(self, deadline_us: int, reply: Callable[[FinalAnswer], None]) -> None:
        """Dispatch a call of this instance's application, and pass the final answer to `reply`."""
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
        latest_write_at_us: int = 0,
    ) -> ChainAttempt:
        """Start an attempt at an instance of the next service."""
        attempt = ChainAttempt(on_end)
        self.world.clock.call_after_us(
            NETWORK_DELAY_US, self.world.on_arrival, self.hop, upstream - 1, timeout_us, attempt
        )
        return attempt

    def close_idle(self, upstream: int) -> None:
        """Do nothing, as the simulation has no connections."""

    def remove_upstream(self, upstream: int) -> None:
        """Do nothing, as the simulation has no connections."""


class ChainWorld:
    """A simulated chain: the sidecars of all hops, the clock, and the counts of the run."""

    def __init__(self, chain: Chain) -> None:
        """Create the clock and the counts. `start_sidecars` starts the sidecars, which need this object."""
        self.chain = chain
        self.clock = VirtualClock()
        self.random = Random(chain.seed)
        self.outcome = ChainOutcome([0] * chain.depth, [0] * chain.depth)
        self.sidecars: list[list[ChainSidecar]] = []  # by hop and instance

    def start_sidecars(self) -> None:
        """Start the sidecars of all hops."""
        seed_source = Random(self.chain.seed + 1)
        self.sidecars = [
            [ChainSidecar(self, hop, seed_source.getrandbits(64)) for _ in range(self.chain.instance_count)]
            for hop in range(self.chain.depth)
        ]

    def schedule_calls(self) -> None:
        """Schedule the first callers' calls as a Poisson process."""
        at_us = 0.0
        for _ in range(self.chain.call_count):
            at_us += self.random.expovariate(self.chain.rate_per_s) * 1e6
            self.clock.call_after_us(int(at_us), self._call_from_first_caller)

    def on_arrival(self, hop: int, instance: int, timeout_us: int, attempt: ChainAttempt) -> None:
        """Handle an attempt that arrives at an instance of the service called at `hop`."""
        self.outcome.attempts[hop] += 1
        if hop + 1 == self.chain.depth:
            fails = self.random.random() < self.chain.failing_share
            outcome = api.Outcome.ERROR if fails else api.Outcome.OK
            self.clock.call_after_us(WORK_US + NETWORK_DELAY_US, attempt.end, outcome)
            return

        def reply(answer: FinalAnswer) -> None:
            outcome = api.Outcome.OK if answer.outcome is FinalOutcome.SERVED else api.Outcome.ERROR
            self.clock.call_after_us(NETWORK_DELAY_US, attempt.end, outcome)

        self.sidecars[hop + 1][instance].call(timeout_us, reply)

    def is_stopped(self) -> bool:
        """Return whether the last service has received `max_attempts` attempts, and record it in the outcome."""
        self.outcome.is_aborted = self.outcome.attempts[-1] >= self.chain.max_attempts
        return self.outcome.is_aborted

    def _call_from_first_caller(self) -> None:
        start_us = self.clock.now_us

        def reply(answer: FinalAnswer) -> None:
            self.outcome.answered_count += 1
            self.outcome.served_count += answer.outcome is FinalOutcome.SERVED
            self.outcome.longest_wait_us = max(self.outcome.longest_wait_us, self.clock.now_us - start_us)

        self.random.choice(self.sidecars[0]).call(self.chain.deadline_us, reply)


def run_chain(chain: Chain) -> ChainOutcome:
    """Run a chain until no timer is left or the run is aborted, and return its counts.

    During the run, the virtual clock replaces the clock of the process, and log lines up to INFO are disabled.
    """
    monotonic_ns = system.monotonic_ns
    disabled_level = logging.root.manager.disable
    logging.disable(logging.INFO)  # each call that is not served writes a log line, and there are many
    world = ChainWorld(chain)
    system.monotonic_ns = lambda: world.clock.now_us * NS_PER_US
    try:
        world.start_sidecars()
        world.schedule_calls()
        world.clock.run(world.is_stopped)
    finally:
        system.monotonic_ns = monotonic_ns
        logging.disable(disabled_level)
    return world.outcome
