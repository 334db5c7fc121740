"""Services that call each other in a chain, in virtual time: the sidecar's real host and module at each hop.

Each service has some instances, each with a sidecar of its own that calls the instances of the next; the last one
answers or fails by chance. An instance that has no answer from below answers with an error, as an application does that
passes on what it can't do without. What is left of a call's time goes down with it. No sockets, and no real clock.
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

NEAR_US = 200  # one way over the network
WORK_US = 2_000  # of the last service, for an answer or an error
AIM_A_HOP_US = 40_000  # a call that has so many hops below it is aimed at so many times this
DEADLINE_US = 1_000_000
LIST_US = 1_000_000_000  # where virtual time begins: a clock that has been running


class Chain(msgspec.Struct, frozen=True):
    """What is played."""

    depth: int  # calls from the first caller to the last service
    failing: float  # share of the last service's attempts that fail
    calls: int
    rate_per_s: float
    seed: int
    idempotency: api.Idempotency = api.Idempotency.IDEMPOTENT
    deadline_us: int = DEADLINE_US
    same_aim_us: int = 0  # of every hop's class, however much lies below it; 0 = by the hops
    instances: int = 3
    most_attempts: int = 1_000_000  # at the last service; a run that reaches them is broken off


class Seen(msgspec.Struct):
    """What came of it."""

    attempts: list[int]  # that reached the service at each hop, the last one last
    first: list[int]  # calls that each hop's sidecars were asked for
    served: int = 0  # of the first callers' calls
    answered: int = 0
    latest_us: int = 0  # the longest that a first caller waited
    broken_off: bool = False


class Handle:
    """A timer that may be cancelled."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback = callback
        self.args = args
        self.live = True

    def cancel(self) -> None:
        self.live = False


class Clock:
    """Virtual time, and what is to be done in it."""

    def __init__(self) -> None:
        self.now_us = LIST_US
        self.due: list[tuple[int, int, Handle]] = []
        self.numbers = itertools.count()

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> Handle:
        return self.after_us(round(delay * 1e6), callback, *args)

    def after_us(self, delay_us: int, callback: Callable[..., None], *args: Any) -> Handle:
        handle = Handle(callback, args)
        heapq.heappush(self.due, (self.now_us + max(0, delay_us), next(self.numbers), handle))
        return handle

    def run(self, stopped: Callable[[], bool]) -> None:
        """Until nothing is left to do, or it is to stop."""
        while self.due and not stopped():
            self.now_us, _, handle = heapq.heappop(self.due)
            if handle.live:
                handle.callback(*handle.args)


class Flight:
    """An attempt on its way; it is written the moment it starts."""

    written = True

    def __init__(self, ended: Callable[[AttemptResult], None]) -> None:
        self.ended = ended
        self.over = False

    def cancel(self) -> None:
        """What runs below goes on: nobody takes it back."""
        self.over = True

    def end(self, outcome: api.Outcome) -> None:
        if not self.over:
            self.over = True
            self.ended(AttemptResult(outcome))


class Caller:
    """The sidecar of one instance, and what it calls."""

    def __init__(self, world: World, hop: int, seed: int) -> None:
        self.world = world
        self.hop = hop
        chain = world.chain
        aim_us = chain.same_aim_us or AIM_A_HOP_US * (chain.depth - hop)
        kind = api.RequestClass("work", aim_us, chain.deadline_us, late_weight=0.5, idempotency=chain.idempotency)
        settings = api.Settings([kind], instances=chain.instances, max_attempts=4, max_retry_after_us=500_000)
        self.host = RequestDispatcher(settings, seed, self, world.clock)
        entries = [api.Upstream(number + 1) for number in range(chain.instances)]
        self.host.on_endpoints(
            api.UpstreamsUpdated(api.ListKind.FULL, entries, 1), {entry.id: ("0.0.0.0", entry.id) for entry in entries}
        )

    def call(self, deadline_us: int, reply: Callable[[FinalAnswer], None]) -> None:
        self.world.seen.first[self.hop] += 1
        self.host.on_request(ClientRequest(b"GET", b"/work", [], b"", self.world.clock.now_us, deadline_us, 0), reply)

    def start(
        self,
        upstream: int,
        address: tuple[str, int],
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_us: int = 0,
    ) -> Flight:
        flight = Flight(on_end)
        self.world.clock.after_us(NEAR_US, self.world.arrive, self.hop, upstream - 1, timeout_us, flight)
        return flight

    def close_idle(self, upstream: int) -> None: ...

    def remove_upstream(self, upstream: int) -> None: ...


class World:
    """All hops of one chain."""

    def __init__(self, chain: Chain) -> None:
        self.chain = chain
        self.clock = Clock()
        self.random = Random(chain.seed)
        self.seen = Seen([0] * chain.depth, [0] * chain.depth)

    def build(self) -> None:
        seeds = Random(self.chain.seed + 1)
        self.callers = [
            [Caller(self, hop, seeds.getrandbits(64)) for _ in range(self.chain.instances)]
            for hop in range(self.chain.depth)
        ]

    def arrive(self, hop: int, instance: int, timeout_us: int, flight: Flight) -> None:
        """An attempt has reached an instance of the service that this hop calls."""
        self.seen.attempts[hop] += 1
        if hop + 1 == self.chain.depth:
            outcome = api.Outcome.ERROR if self.random.random() < self.chain.failing else api.Outcome.OK
            self.clock.after_us(WORK_US + NEAR_US, flight.end, outcome)
            return

        def reply(answer: FinalAnswer) -> None:
            outcome = api.Outcome.OK if answer.outcome is FinalOutcome.SERVED else api.Outcome.ERROR
            self.clock.after_us(NEAR_US, flight.end, outcome)

        self.callers[hop + 1][instance].call(timeout_us, reply)

    def first_call(self) -> None:
        begun_us = self.clock.now_us

        def reply(answer: FinalAnswer) -> None:
            self.seen.answered += 1
            self.seen.served += answer.outcome is FinalOutcome.SERVED
            self.seen.latest_us = max(self.seen.latest_us, self.clock.now_us - begun_us)

        self.random.choice(self.callers[0]).call(self.chain.deadline_us, reply)

    def stopped(self) -> bool:
        self.seen.broken_off = self.seen.attempts[-1] >= self.chain.most_attempts
        return self.seen.broken_off


def play(chain: Chain) -> Seen:
    """One chain, from the first call until all is quiet. Stands in for the process's clock meanwhile."""
    real, quiet = system.monotonic_ns, logging.root.manager.disable
    logging.disable(logging.INFO)  # a line for each call that was not served, of which there are many
    world = World(chain)
    system.monotonic_ns = lambda: world.clock.now_us * 1000
    try:
        world.build()
        at_us = 0.0
        for _ in range(chain.calls):
            at_us += world.random.expovariate(chain.rate_per_s) * 1e6
            world.clock.after_us(int(at_us), world.first_call)
        world.clock.run(world.stopped)
    finally:
        system.monotonic_ns = real
        logging.disable(quiet)
    return world.seen
