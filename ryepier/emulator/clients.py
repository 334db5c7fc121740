"""Emulated clients: open-loop load on the sidecars, or directly on the converters, with retries."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from ryepier.emulator import draws
from ryepier.emulator.client_connection import Target
from ryepier.emulator.client_messages import MessageCodec
from ryepier.emulator.client_request import ClientRequest
from ryepier.emulator.client_retries import may_retry, retry_delay_us
from ryepier.emulator.process import Address, Clock, LatenessMeter, Plan, send_to_harness
from ryepier.emulator.records import NEVER, ClientAttempt, RequestOutcome, RoleRecords
from ryepier.emulator.timeline import Timeline
from ryepier.emulator.world import Effect, World

READ_SLACK_US = 100_000  # clients wait this much longer than their timeout, so that late responses are recorded
COUNTS_INTERVAL_S = 0.5


def _target_addresses(plan: Plan, timeline: Timeline) -> list[Address]:
    """Return the addresses that clients send to: the plan's targets if set, else the sidecars, else the converters."""
    if plan.targets:
        return plan.targets
    if plan.world.sidecars.count:
        return [plan.sidecar_address(index) for index in range(plan.world.sidecars.count)]
    return [plan.converter_address(instance.index) for instance in timeline.instances if instance.start_us is None]


class ClientRole:
    """The clients that run in one emulator process."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline, simulated: bool = False) -> None:
        """Sample the arrivals. With `simulated`, this process runs all clients and sends no counts to a harness."""
        self.plan = plan
        self.world: World = plan.world
        self.clock = clock
        self.records = RoleRecords(f"clients {plan.index}")
        self.meter = LatenessMeter(clock)
        self.targets = [Target(address) for address in _target_addresses(plan, timeline)]
        self.arrivals = draws.arrivals(plan.world, plan.seed)
        self.codec = MessageCodec(plan.world, self.arrivals)
        self._process_count = 1 if simulated else plan.world.harness.client_processes
        self._sends_counts = not simulated
        self._random = random.Random(f"{plan.seed} clients {plan.index}")
        self._tasks: set[asyncio.Task[None]] = set()
        self._counts: Counter[str] = Counter()
        self._open_count = 0

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        """Do nothing, as clients connect when they send a request."""

    async def run(self) -> RoleRecords:
        """Send this process's share of the arrivals, wait until the run ends, and return the records."""
        counts_task = asyncio.create_task(self._send_counts()) if self._sends_counts else None
        is_round_robin = self.world.sidecars.count == 0 or bool(self.plan.targets)
        arrival_times_us = self.arrivals.at_us.tolist()
        sidecar_indexes = self.arrivals.sidecar.tolist()
        for index in range(self.plan.index, len(arrival_times_us), self._process_count):
            if arrival_times_us[index] > self.clock.now_us():
                await self.clock.sleep_until(arrival_times_us[index])
            self.meter.record(arrival_times_us[index])
            target_index = index if is_round_robin else sidecar_indexes[index]
            self._send_arrival(index, target_index % len(self.targets))
        await self.clock.sleep_until(self.plan.end_us)
        if counts_task is not None:
            counts_task.cancel()
        return self.records

    async def _send_counts(self) -> None:
        """Send the counts of attempts to the harness every `COUNTS_INTERVAL_S`, for its live summary."""
        while True:
            await asyncio.sleep(COUNTS_INTERVAL_S)
            send_to_harness({"open": self._open_count, **self._counts})

    def _send_arrival(self, index: int, target_index: int) -> None:
        """Send the first attempt of an arrival."""
        arrivals = self.arrivals
        class_index = int(arrivals.request_class[index])
        request_class = self.world.classes[class_index]
        self._counts["offered"] += 1
        self.send(
            ClientAttempt(
                arrival=index,
                number=0,
                request_id=f"{self.plan.seed & 0xFFFF:04x}-{index:06x}-0",
                key=f"k{index:x}" if request_class.effect is Effect.DEDUPLICATED else "",
                request_class=class_index,
                tenant=int(arrivals.tenant[index]),
                sidecar=target_index,
                work_us=int(arrivals.work_us[index]),
                planned_us=int(arrivals.at_us[index]),
                sent_us=NEVER,
                deadline_us=int(request_class.deadline_ms * 1000 * arrivals.timeout_share[index]),
                ended_us=NEVER,
                outcome=RequestOutcome.TIMEOUT,
            )
        )

    def send(self, attempt: ClientAttempt) -> None:
        """Record an attempt and start it."""
        self.records.client_attempts.append(attempt)
        self._open_count += 1
        closes_connection = self._random.random() < self.world.clients.close_share
        ClientRequest(self, self.targets[attempt.sidecar], attempt, closes_connection).start()

    def read_timeout_us(self, attempt: ClientAttempt) -> int:
        """Return how long the client waits: longer than its timeout, or a shorter time if it disconnects early."""
        if self._random.random() < self.world.clients.disconnect_share:
            return int(self.world.classes[attempt.request_class].objective_ms * 1000 * self._random.random())
        return attempt.deadline_us + READ_SLACK_US

    def on_ended(self, attempt: ClientAttempt, outcome: RequestOutcome) -> None:
        """Record the end of an attempt, and schedule a retry if one is allowed and the deadline leaves time for it."""
        now_us = self.clock.now_us()
        attempt.outcome, attempt.ended_us = outcome, now_us
        if attempt.sent_us == NEVER:
            attempt.sent_us = now_us
        self._open_count -= 1
        self._counts[outcome.value] += 1
        request_class, clients = self.world.classes[attempt.request_class], self.world.clients
        if attempt.number >= clients.retries or not may_retry(request_class, outcome, attempt.sent_us, now_us):
            return
        delay_us = retry_delay_us(clients, attempt, self._random)
        remaining_us = attempt.planned_us + int(request_class.deadline_ms * 1000) - now_us - delay_us
        if remaining_us > 0:
            self.clock.handle_at(now_us + delay_us, self._retry, attempt, remaining_us)

    def _retry(self, failed_attempt: ClientAttempt, remaining_us: int) -> None:
        request_class = self.world.classes[failed_attempt.request_class]
        timeout_us = int(request_class.deadline_ms * 1000 * self._random.uniform(*self.world.clients.timeout_share))
        number = failed_attempt.number + 1
        self._counts["retries"] += 1
        self.send(
            ClientAttempt(
                arrival=failed_attempt.arrival,
                number=number,
                request_id=f"{failed_attempt.request_id.rpartition('-')[0]}-{number}",
                key=failed_attempt.key,
                request_class=failed_attempt.request_class,
                tenant=failed_attempt.tenant,
                sidecar=failed_attempt.sidecar,
                work_us=failed_attempt.work_us,
                planned_us=failed_attempt.planned_us,
                sent_us=NEVER,
                deadline_us=min(timeout_us, remaining_us),
                ended_us=NEVER,
                outcome=RequestOutcome.TIMEOUT,
            )
        )
