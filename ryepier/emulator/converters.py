"""Emulated converters: many in one process, each on its own address. Every attempt is recorded."""

from __future__ import annotations

import asyncio

from ryepier.emulator import draws
from ryepier.emulator.converter_model import Done, IdempotencyCache
from ryepier.emulator.converter_server import ConverterServer
from ryepier.emulator.process import Clock, LatenessMeter, Plan
from ryepier.emulator.records import RecordedEvent, RoleRecords
from ryepier.emulator.timeline import FaultAction, Instance, TargetKind, Timeline

BACKLOG_FILLER_COUNT = 4  # connections that fill the backlog of a listener, which blocks new connections
IDLE_CHECK_S = 0.25


class ConverterRole:
    """The converters of one emulator process; all converters of a pod are in the same process."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline, simulated: bool = False) -> None:
        """Select the converters of this process by their pod. With `simulated`, this process runs all converters."""
        self.plan = plan
        self.clock = clock
        self.records = RoleRecords(f"converters {plan.index}")
        self.meter = LatenessMeter(clock)
        process_count = 1 if simulated else plan.world.harness.converter_processes
        self.instances = [
            instance for instance in timeline.instances if instance.machine.pod % process_count == plan.index
        ]
        indexes = {instance.index for instance in self.instances}
        self.steps = [step for step in timeline.steps if step.target is TargetKind.CONVERTER and step.index in indexes]
        # a simulated listener may have a backlog of 0, which needs no connections to fill it
        self.backlog_filler_count = 0 if simulated else BACKLOG_FILLER_COUNT
        self.servers: dict[int, ConverterServer] = {}  # by the instance's index
        self._caches: dict[int, IdempotencyCache] = {}  # by pod
        self._sidecar_by_arrival: list[int] = []  # computed on first use

    def sidecar_of(self, request_id: bytes) -> int:
        """Return the sidecar that a client sent the request to."""
        if not self._sidecar_by_arrival:
            self._sidecar_by_arrival = draws.arrivals(self.plan.world, self.plan.seed).sidecar.tolist()
        return self._sidecar_by_arrival[int(request_id.split(b"-")[1], 16)]

    def record_event(self, text: str) -> None:
        """Record an event at the current time."""
        self.records.events.append(RecordedEvent(self.clock.now_us(), text))

    async def start(self) -> None:
        """Start the converters that are up at the beginning of the run."""
        for instance in self.instances:
            if instance.start_us is None:
                await self.start_instance(instance)

    async def start_instance(self, instance: Instance) -> None:
        """Create the server of a converter process, and accept connections."""
        cache = self._caches.setdefault(instance.machine.pod, IdempotencyCache())
        server = self.servers[instance.index] = ConverterServer(self, instance, cache)
        await server.listen()

    async def run(self) -> RoleRecords:
        """Carry out the schedule's steps until the run ends, and return the records."""
        idle_check_task = asyncio.create_task(self._close_idle_connections())
        instances_by_index = {instance.index: instance for instance in self.instances}
        for step in self.steps:
            await self.clock.sleep_until(step.at_us)
            self.meter.record(step.at_us)
            if step.action is FaultAction.START:
                await self.start_instance(instances_by_index[step.index])
            elif step.index in self.servers:
                await self.servers[step.index].apply(step)
            self.record_event(f"{instances_by_index[step.index].uid}: {step.fault} {step.action.value}")
        await self.clock.sleep_until(self.plan.end_us)
        idle_check_task.cancel()
        for server in self.servers.values():
            server.stop()
        return self.records

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_S)
            for server in self.servers.values():
                server.close_idle_connections(self.clock.now_us())

    def answer_released_repeats(self, cache: IdempotencyCache) -> None:
        """Answer the repeats whose first request has finished at another converter of their pod."""
        while cache.released_repeats:
            model, token = cache.released_repeats.pop()
            for server in self.servers.values():
                if server.model is model and token in server.in_flight:
                    server.carry_out([Done(token, executed=False)])
