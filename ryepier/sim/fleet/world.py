"""The plan of a fleet and its event loop. Each seed gives one run."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ryepier.balancer import interface as api
from ryepier.sim.fleet.choosers import PolicyFactory, make_balancer
from ryepier.sim.fleet.connections import ConnectionPool
from ryepier.sim.fleet.converter import Converter, Job

SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US  # so that no converter's start is before 0
REFUSED_CONNECTION_US = 200  # until a connection to a converter that is down, or a full one, fails
IDLE_CHECK_US = SECOND_US


@dataclass(frozen=True, slots=True)
class Outage:
    """Converters that go down together and restart as new processes."""

    converters: int
    at_us: int
    notice_delay_us: int
    restart_us: int


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """A fleet, its load and its outages. Times are microseconds since the start."""

    sidecars: int
    converters: int
    load: float  # offered load as a share of the capacity of all converters
    duration_us: int
    rate_exponent: float = 0.6  # of a Zipf distribution of the load over the sidecars
    workers: int = 4
    work_us: int = 100_000  # mean of the exponentially distributed work of a request
    queue_limit: int = 32  # requests that may wait at a converter; further ones are rejected
    objective_us: int = 600_000
    deadline_us: int = 1_500_000
    idle_us: int = 5_000_000  # after which an idle connection is closed
    max_attempts: int = 3
    warm_up_us: int = 0
    initial_capacity_share: float = 1.0
    overload_factor: float = 4.0
    overload_window_us: int = 1_000_000
    outages: tuple[Outage, ...] = ()

    def rate_per_s(self) -> float:
        """Return the requests per second of the whole fleet."""
        return self.load * self.converters * self.workers * SECOND_US / self.work_us

    def rates_per_s(self) -> list[float]:
        """Return the requests per second of each sidecar."""
        parts = [(rank + 1) ** -self.rate_exponent for rank in range(self.sidecars)]
        return [self.rate_per_s() * part / sum(parts) for part in parts]

    def capacity_share(self, age_us: int) -> float:
        """Return the share of its full speed that a converter has `age_us` after its start."""
        if age_us >= self.warm_up_us:
            return 1.0
        return self.initial_capacity_share + (1.0 - self.initial_capacity_share) * age_us / self.warm_up_us

    def settings(self, index: int) -> api.Settings:
        """Return the settings of a sidecar."""
        return api.Settings(
            classes=[api.RequestClass("read", self.objective_us, self.deadline_us, late_weight=0.3)],
            instances=self.sidecars,
            self_index=index,
            max_attempts=self.max_attempts,
            max_retry_after_us=2 * SECOND_US,
            warm_up_us=self.warm_up_us,
            initial_capacity_share=self.initial_capacity_share,
            overload_factor=self.overload_factor,
            overload_window_us=self.overload_window_us,
        )


@dataclass(slots=True)
class Request:
    """One client's request, as the client observes it."""

    sidecar: int
    arrived_us: int
    work_us: int
    jobs: list[Job] = field(default_factory=list)
    ended_us: int = 0  # 0 = in flight
    served: bool = False
    rejected: bool = False


class FleetWorld:
    """Runs a plan."""

    def __init__(self, plan: FleetPlan, seed: int, factory: PolicyFactory = make_balancer) -> None:
        """Set up the fleet as it is when the plan starts."""
        self.plan = plan
        self.factory = factory
        self.random = random.Random(seed)
        self.now_us = START_US
        self.converters = [Converter(n, plan.workers, plan.queue_limit) for n in range(plan.converters)]
        seeds = [self.random.getrandbits(63) for _ in range(plan.sidecars)]
        self.sidecars = [
            factory(plan.settings(index), seeds[index], START_US, self.converters) for index in range(plan.sidecars)
        ]
        self.pools: dict[tuple[int, int], ConnectionPool] = {}  # by sidecar and converter
        self.requests: list[Request] = []
        self.counted_from_us = START_US
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, at_us: int, action: Callable[[], None]) -> None:
        """Schedule an action, after those scheduled earlier for the same time."""
        self._number += 1
        heapq.heappush(self._events, (at_us, self._number, action))

    def run(self, count_from_us: int = 0) -> None:
        """Run the whole plan; connections are counted from `count_from_us` after the start."""
        for index, rate_per_s in enumerate(self.plan.rates_per_s()):
            self.deliver(index, self.full_list())
            self.schedule_arrival(index, rate_per_s)
        for outage in self.plan.outages:
            self.schedule_outage(outage)
        self.at(START_US + IDLE_CHECK_US, self.close_idle)
        self.at(START_US + count_from_us, self.reset_counts)
        end_us = START_US + self.plan.duration_us
        while self._events and self._events[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(self._events)
            action()
        self.now_us = end_us

    def reset_counts(self) -> None:
        """Restart the counts of connections."""
        self.counted_from_us = self.now_us
        for converter in self.converters:
            converter.connections.reset_counts(self.now_us)

    # Sidecars

    def entry(self, converter: Converter, state: api.UpstreamState = api.UpstreamState.READY) -> api.Upstream:
        """Return the converter's entry in the endpoint list."""
        return api.Upstream(converter.ident, state, started_at_us=converter.started_us)

    def full_list(self) -> api.UpstreamsUpdated:
        """Return the full endpoint list."""
        return api.UpstreamsUpdated(api.ListKind.FULL, [self.entry(one) for one in self.converters if one.up])

    def deliver(self, sidecar: int, event: api.Event) -> None:
        """Deliver an event to a sidecar, and carry out its actions."""
        for action in self.sidecars[sidecar].handle(self.now_us, event):
            self.carry_out(sidecar, action)

    def broadcast(self, event: api.Event) -> None:
        """Deliver an event to all sidecars."""
        for index in range(len(self.sidecars)):
            self.deliver(index, event)

    def carry_out(self, sidecar: int, action: api.Action) -> None:
        """Carry out an action as a sidecar does on sockets."""
        if isinstance(action, api.Send):
            self.send(sidecar, action)
        elif isinstance(action, api.SetTimer):
            timer = api.TimerFired(action.token)
            self.at(max(action.at_us, self.now_us), lambda: self.deliver(sidecar, timer))
        elif isinstance(action, api.Reject | api.Fail):
            request = self.requests[action.request]
            request.ended_us = self.now_us
            request.rejected = isinstance(action, api.Reject)
        elif isinstance(action, api.CloseIdle):
            self.pool(sidecar, action.upstream).close_idle(self.now_us, self.now_us)

    def schedule_arrival(self, sidecar: int, rate_per_s: float) -> None:
        """Schedule the next request of a sidecar's clients, whose arrivals are a Poisson process."""
        gap_us = max(1, int(self.random.expovariate(rate_per_s) * SECOND_US))
        work_us = max(1, int(self.random.expovariate(1.0) * self.plan.work_us))
        self.at(self.now_us + gap_us, lambda: self.arrive(sidecar, rate_per_s, work_us))

    def arrive(self, sidecar: int, rate_per_s: float, work_us: int) -> None:
        """Handle the arrival of a request at a sidecar."""
        self.schedule_arrival(sidecar, rate_per_s)
        ident = len(self.requests)
        self.requests.append(Request(sidecar, self.now_us, work_us))
        due_us = self.now_us + self.plan.deadline_us
        self.at(due_us, lambda: self.give_up(ident))
        self.deliver(sidecar, api.RequestArrived(ident, due_us))

    def give_up(self, ident: int) -> None:
        """Disconnect the client, if it still waits."""
        request = self.requests[ident]
        if request.ended_us:
            return
        request.ended_us = self.now_us
        self.deliver(request.sidecar, api.ClientDisconnected(ident))

    # Attempts

    def pool(self, sidecar: int, converter: int) -> ConnectionPool:
        """Return the connections between a sidecar and a converter."""
        key = (sidecar, converter)
        if key not in self.pools:
            self.pools[key] = ConnectionPool(self.converters[converter].connections)
        return self.pools[key]

    def send(self, sidecar: int, send: api.Send) -> None:
        """Send an attempt."""
        request, converter = self.requests[send.request], self.converters[send.upstream]
        job = Job(sidecar, send.request, len(request.jobs), request.work_us, self.now_us)
        request.jobs.append(job)
        if not converter.up:
            self.at(self.now_us + REFUSED_CONNECTION_US, lambda: self.end(job, converter, api.Outcome.CONNECT_FAILED))
            return
        self.pool(sidecar, converter.ident).acquire(self.now_us)
        if not converter.receive(job):
            self.at(self.now_us + REFUSED_CONNECTION_US, lambda: self.end(job, converter, api.Outcome.REJECTED))
            return
        if send.timeout_us:
            self.at(self.now_us + send.timeout_us, lambda: self.end(job, converter, api.Outcome.TIMEOUT))
        self.begin(converter)

    def begin(self, converter: Converter) -> None:
        """Start queued jobs on the free workers."""
        while (job := converter.start_next()) is not None:
            work_us = int(job.work_us / self.capacity_share(converter))
            self.at(self.now_us + work_us, lambda job=job: self.work_done(job, converter))  # type: ignore[misc]

    def work_done(self, job: Job, converter: Converter) -> None:
        """Finish a job, and start the next."""
        if job not in converter.working:
            return  # lost in an outage
        converter.working.remove(job)
        self.end(job, converter, api.Outcome.OK)
        self.begin(converter)

    def end(self, job: Job, converter: Converter, outcome: api.Outcome) -> None:
        """End an attempt for its sidecar; later ends of the same attempt are ignored."""
        if job.abandoned:
            return
        job.abandoned = True
        if outcome is not api.Outcome.CONNECT_FAILED:
            reusable = outcome in (api.Outcome.OK, api.Outcome.REJECTED)
            self.pool(job.sidecar, converter.ident).release(self.now_us, reusable)
        request = self.requests[job.request]
        final = outcome is api.Outcome.OK and not request.ended_us
        if final:
            request.ended_us, request.served = self.now_us, True
        elapsed_us = self.now_us - job.received_us
        ended = api.AttemptEnded(job.request, job.attempt, converter.ident, outcome, elapsed_us, final)
        self.deliver(job.sidecar, ended)

    # Converters

    def capacity_share(self, converter: Converter) -> float:
        """Return the share of its full speed that a converter has now."""
        if converter.started_us == 0:
            return 1.0
        return self.plan.capacity_share(self.now_us - converter.started_us)

    def schedule_outage(self, outage: Outage) -> None:
        """Schedule an outage of random converters."""
        chosen = self.random.sample(self.converters, outage.converters)
        self.at(START_US + outage.at_us, lambda: self.go_down(chosen))
        self.at(START_US + outage.at_us + outage.notice_delay_us, lambda: self.announce_removal(chosen))
        self.at(START_US + outage.restart_us, lambda: self.restart(chosen))

    def go_down(self, chosen: list[Converter]) -> None:
        """Stop converters, and break the connections to them."""
        for converter in chosen:
            for job in converter.stop():
                self.end(job, converter, api.Outcome.RESET)
            for (_, ident), pool in self.pools.items():
                if ident == converter.ident:
                    pool.close_idle(self.now_us, self.now_us)

    def announce_removal(self, chosen: list[Converter]) -> None:
        """Remove converters from the endpoint list."""
        removed = [self.entry(converter, api.UpstreamState.REMOVED) for converter in chosen]
        self.broadcast(api.UpstreamsUpdated(api.ListKind.DELTA, removed))

    def restart(self, chosen: list[Converter]) -> None:
        """Start new processes of converters, and list them."""
        for converter in chosen:
            converter.up, converter.started_us = True, self.now_us
        self.broadcast(api.UpstreamsUpdated(api.ListKind.DELTA, [self.entry(converter) for converter in chosen]))

    def close_idle(self) -> None:
        """Close idle connections, and schedule the next check."""
        for pool in self.pools.values():
            if pool.idle_since_us:
                pool.close_idle(self.now_us, self.now_us - self.plan.idle_us)
        self.at(self.now_us + IDLE_CHECK_US, self.close_idle)
