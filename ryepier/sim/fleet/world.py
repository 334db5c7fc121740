"""Parameters of a simulated fleet, and the event loop that runs it. A run depends only on its plan and seed."""

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
START_US = 1_000 * SECOND_US  # start of each run; above 0, so that start times of converters are never negative
REFUSAL_DELAY_US = 200  # time from sending an attempt to its refusal by a converter that is down or full
IDLE_CHECK_US = SECOND_US  # interval at which idle connections are closed


@dataclass(frozen=True, slots=True)
class Outage:
    """An outage of randomly chosen converters, which go down together and restart as new processes.

    `at_us` and `restart_at_us` are microseconds since the start of the run.
    """

    converters: int  # number of converters that go down
    at_us: int  # time at which the converters go down
    notice_delay_us: int  # time from the outage to the removal of the converters from the endpoint list
    restart_at_us: int  # time at which the converters restart


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Parameters of a run: the fleet, its load and its outages."""

    sidecars: int
    converters: int
    load: float  # offered load as a share of the capacity of all converters
    duration_us: int
    rate_exponent: float = 0.6  # exponent of the Zipf distribution of the load over the sidecars
    workers: int = 4  # jobs that a converter processes in parallel
    work_us: int = 100_000  # mean of the exponentially distributed processing time of a request
    queue_limit: int = 32  # maximum number of queued jobs of a converter, which rejects further jobs
    objective_us: int = 600_000  # latency objective of the sidecars' request class
    deadline_us: int = 1_500_000
    idle_timeout_us: int = 5_000_000  # idle time after which a connection is closed
    max_attempts: int = 3
    warm_up_us: int = 0  # time after a restart until a converter has its full speed
    initial_capacity_share: float = 1.0  # speed right after a restart, as a share of the full speed
    overload_factor: float = 4.0
    overload_window_us: int = 1_000_000
    outages: tuple[Outage, ...] = ()

    def total_rate_per_s(self) -> float:
        """Return the request rate of the whole fleet."""
        return self.load * self.converters * self.workers * SECOND_US / self.work_us

    def sidecar_rates_per_s(self) -> list[float]:
        """Return the request rate of each sidecar."""
        weights = [(rank + 1) ** -self.rate_exponent for rank in range(self.sidecars)]
        return [self.total_rate_per_s() * weight / sum(weights) for weight in weights]

    def capacity_share(self, age_us: int) -> float:
        """Return a converter's speed `age_us` after its start, as a share of its full speed."""
        if age_us >= self.warm_up_us:
            return 1.0
        return self.initial_capacity_share + (1.0 - self.initial_capacity_share) * age_us / self.warm_up_us

    def settings(self, index: int) -> api.Settings:
        """Return the balancer settings of the sidecar `index`."""
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
    """A request of a client, its attempts and its result."""

    sidecar: int
    arrived_us: int
    work_us: int
    jobs: list[Job] = field(default_factory=list)
    ended_us: int = 0  # 0: in flight
    served: bool = False
    rejected: bool = False


class FleetWorld:
    """The state of a simulated fleet, and its event queue. `run` may be called only once."""

    def __init__(self, plan: FleetPlan, seed: int, factory: PolicyFactory = make_balancer) -> None:
        """Create the fleet at `START_US`. `seed` seeds all random numbers; `factory` creates each sidecar's policy."""
        self.plan = plan
        self.factory = factory
        self.random = random.Random(seed)
        self.now_us = START_US
        self.converters = [Converter(n, plan.workers, plan.queue_limit) for n in range(plan.converters)]
        seeds = [self.random.getrandbits(63) for _ in range(plan.sidecars)]
        self.sidecars = [
            factory(plan.settings(index), seeds[index], START_US, self.converters) for index in range(plan.sidecars)
        ]
        self.pools: dict[tuple[int, int], ConnectionPool] = {}  # by sidecar index and converter id
        self.requests: list[Request] = []
        self.counts_reset_at_us = START_US  # when the connection counts were last reset
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_count = 0

    def schedule(self, at_us: int, action: Callable[[], None]) -> None:
        """Schedule an action. Actions for the same time run in the order in which they were scheduled."""
        self._event_count += 1
        heapq.heappush(self._events, (at_us, self._event_count, action))

    def run(self, count_from_us: int = 0) -> None:
        """Run the whole plan. The connection counts are reset `count_from_us` after the start of the run."""
        for index, rate_per_s in enumerate(self.plan.sidecar_rates_per_s()):
            self.deliver(index, self.full_list())
            self.schedule_arrival(index, rate_per_s)
        for outage in self.plan.outages:
            self.schedule_outage(outage)
        self.schedule(START_US + IDLE_CHECK_US, self.close_idle)
        self.schedule(START_US + count_from_us, self.reset_counts)
        end_us = START_US + self.plan.duration_us
        while self._events and self._events[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(self._events)
            action()
        self.now_us = end_us

    def reset_counts(self) -> None:
        """Reset the connection counts of all converters."""
        self.counts_reset_at_us = self.now_us
        for converter in self.converters:
            converter.connection_counter.reset_counts(self.now_us)

    # Sidecars

    def endpoint_entry(self, converter: Converter, state: api.UpstreamState = api.UpstreamState.READY) -> api.Upstream:
        """Return an entry of the endpoint list for a converter."""
        return api.Upstream(converter.ident, state, started_at_us=converter.started_us)

    def full_list(self) -> api.UpstreamsUpdated:
        """Return an endpoint list with all converters that are up."""
        return api.UpstreamsUpdated(
            api.ListKind.FULL, [self.endpoint_entry(converter) for converter in self.converters if converter.up]
        )

    def deliver(self, sidecar: int, event: api.Event) -> None:
        """Deliver an event to a sidecar, and execute the resulting actions."""
        for action in self.sidecars[sidecar].handle(self.now_us, event):
            self.execute(sidecar, action)

    def broadcast(self, event: api.Event) -> None:
        """Deliver an event to all sidecars."""
        for index in range(len(self.sidecars)):
            self.deliver(index, event)

    def execute(self, sidecar: int, action: api.Action) -> None:
        """Execute an action of a sidecar's policy, as a real sidecar does on its sockets."""
        if isinstance(action, api.Send):
            self.send(sidecar, action)
        elif isinstance(action, api.SetTimer):
            timer = api.TimerFired(action.token)
            self.schedule(max(action.at_us, self.now_us), lambda: self.deliver(sidecar, timer))
        elif isinstance(action, api.Reject | api.Fail):
            request = self.requests[action.request]
            request.ended_us = self.now_us
            request.rejected = isinstance(action, api.Reject)
        elif isinstance(action, api.CloseIdle):
            self.pool(sidecar, action.upstream).close_idle(self.now_us, self.now_us)

    def schedule_arrival(self, sidecar: int, rate_per_s: float) -> None:
        """Schedule the next arrival of a request at a sidecar; the arrivals form a Poisson process."""
        gap_us = max(1, int(self.random.expovariate(rate_per_s) * SECOND_US))
        work_us = max(1, int(self.random.expovariate(1.0) * self.plan.work_us))
        self.schedule(self.now_us + gap_us, lambda: self.arrive(sidecar, rate_per_s, work_us))

    def arrive(self, sidecar: int, rate_per_s: float, work_us: int) -> None:
        """Handle the arrival of a request at a sidecar, and schedule the next arrival."""
        self.schedule_arrival(sidecar, rate_per_s)
        ident = len(self.requests)
        self.requests.append(Request(sidecar, self.now_us, work_us))
        due_us = self.now_us + self.plan.deadline_us
        self.schedule(due_us, lambda: self.disconnect_client(ident))
        self.deliver(sidecar, api.RequestArrived(ident, due_us))

    def disconnect_client(self, ident: int) -> None:
        """Disconnect the client of a request that has not ended by its deadline."""
        request = self.requests[ident]
        if request.ended_us:
            return
        request.ended_us = self.now_us
        self.deliver(request.sidecar, api.ClientDisconnected(ident))

    # Attempts

    def pool(self, sidecar: int, converter: int) -> ConnectionPool:
        """Return the pool of a sidecar's connections to a converter, and create it on first use."""
        key = (sidecar, converter)
        if key not in self.pools:
            self.pools[key] = ConnectionPool(self.converters[converter].connection_counter)
        return self.pools[key]

    def send(self, sidecar: int, send: api.Send) -> None:
        """Send an attempt to a converter, and schedule its refusal, or its timeout if it has one."""
        request, converter = self.requests[send.request], self.converters[send.upstream]
        job = Job(sidecar, send.request, len(request.jobs), request.work_us, self.now_us)
        request.jobs.append(job)
        if not converter.up:
            self.schedule(
                self.now_us + REFUSAL_DELAY_US, lambda: self.end_attempt(job, converter, api.Outcome.CONNECT_FAILED)
            )
            return
        self.pool(sidecar, converter.ident).acquire(self.now_us)
        if not converter.receive(job):
            self.schedule(
                self.now_us + REFUSAL_DELAY_US, lambda: self.end_attempt(job, converter, api.Outcome.REJECTED)
            )
            return
        if send.timeout_us:
            self.schedule(self.now_us + send.timeout_us, lambda: self.end_attempt(job, converter, api.Outcome.TIMEOUT))
        self.start_jobs(converter)

    def start_jobs(self, converter: Converter) -> None:
        """Start queued jobs on a converter's free workers."""
        while (job := converter.start_next()) is not None:
            work_us = int(job.work_us / self.capacity_share(converter))
            self.schedule(self.now_us + work_us, lambda job=job: self.finish_job(job, converter))  # type: ignore[misc]

    def finish_job(self, job: Job, converter: Converter) -> None:
        """Finish a job, and start queued jobs."""
        if job not in converter.running_jobs:
            return  # the job was lost when the converter stopped
        converter.running_jobs.remove(job)
        self.end_attempt(job, converter, api.Outcome.OK)
        self.start_jobs(converter)

    def end_attempt(self, job: Job, converter: Converter, outcome: api.Outcome) -> None:
        """Report the outcome of an attempt to its sidecar, unless an outcome has already been reported."""
        if job.ended:
            return
        job.ended = True
        if outcome is not api.Outcome.CONNECT_FAILED:
            reusable = outcome in (api.Outcome.OK, api.Outcome.REJECTED)
            self.pool(job.sidecar, converter.ident).release(self.now_us, reusable)
        request = self.requests[job.request]
        is_final_answer = outcome is api.Outcome.OK and not request.ended_us
        if is_final_answer:
            request.ended_us, request.served = self.now_us, True
        elapsed_us = self.now_us - job.received_us
        end_event = api.AttemptEnded(job.request, job.attempt, converter.ident, outcome, elapsed_us, is_final_answer)
        self.deliver(job.sidecar, end_event)

    # Converters

    def capacity_share(self, converter: Converter) -> float:
        """Return a converter's current speed as a share of its full speed."""
        if converter.started_us == 0:
            return 1.0
        return self.plan.capacity_share(self.now_us - converter.started_us)

    def schedule_outage(self, outage: Outage) -> None:
        """Choose random converters, and schedule their stop, their removal from the endpoint list and their restart."""
        converters = self.random.sample(self.converters, outage.converters)
        self.schedule(START_US + outage.at_us, lambda: self.stop_converters(converters))
        self.schedule(START_US + outage.at_us + outage.notice_delay_us, lambda: self.announce_removal(converters))
        self.schedule(START_US + outage.restart_at_us, lambda: self.restart_converters(converters))

    def stop_converters(self, converters: list[Converter]) -> None:
        """Stop converters: reset their attempts and close the idle connections to them."""
        for converter in converters:
            for job in converter.stop():
                self.end_attempt(job, converter, api.Outcome.RESET)
            for (_, ident), pool in self.pools.items():
                if ident == converter.ident:
                    pool.close_idle(self.now_us, self.now_us)

    def announce_removal(self, converters: list[Converter]) -> None:
        """Announce the removal of converters from the endpoint list to all sidecars."""
        removed = [self.endpoint_entry(converter, api.UpstreamState.REMOVED) for converter in converters]
        self.broadcast(api.UpstreamsUpdated(api.ListKind.DELTA, removed))

    def restart_converters(self, converters: list[Converter]) -> None:
        """Restart converters as new processes, and announce them to all sidecars."""
        for converter in converters:
            converter.up, converter.started_us = True, self.now_us
        self.broadcast(
            api.UpstreamsUpdated(api.ListKind.DELTA, [self.endpoint_entry(converter) for converter in converters])
        )

    def close_idle(self) -> None:
        """Close connections that have been idle for `idle_timeout_us`, and schedule the next check."""
        for pool in self.pools.values():
            if pool.idle_since_us:
                pool.close_idle(self.now_us, self.now_us - self.plan.idle_timeout_us)
        self.schedule(self.now_us + IDLE_CHECK_US, self.close_idle)
