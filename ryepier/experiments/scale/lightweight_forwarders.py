"""Lightweight forwarders, hundreds per process, for `scale-control`: reports and plans of real ones, calls made up.

`python -m ryepier.experiments.scale.lightweight_forwarders CONFIG`, with a `ForwardersConfig` as JSON, reads a command
per line, as `lightweight.LightweightProcess` sends them. A forwarder's counters begin with a day's age, as in service:
smaller numbers would take fewer bytes.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from ryepier.assembly.planning import make_machine
from ryepier.balancer.interface import Outcome, PlanUpdated
from ryepier.emulator import draws
from ryepier.experiments.core.usage import own_usage
from ryepier.plan import forwarder
from ryepier.plan.messages import Message, Plan, PlanBasis, encode, latency_bucket
from ryepier.plan.plan_follower import AcceptanceRules
from ryepier.sidecar.system import clock_us

CALLS_PER_S = 369.0  # of one sidecar, at the size to design for
ANSWER_US = 20_000
UNANSWERED_AFTER_US = 10 * ANSWER_US
IN_FLIGHT = 7  # calls at a time: those of one answer's time
FAST_FRACTION = 3  # one answer in so many is in the next lower latency bucket
DAY_S = 86_400
US_PER_S = 1e6


class ForwardersConfig(msgspec.Struct, frozen=True):
    """What one worker process runs."""

    planner: tuple[str, int]
    worker: int  # its number among the workers
    workers: int
    in_use: int  # converters that one forwarder calls
    seed: int
    min_fleet: int
    reports_all: bool = False  # seeded fault: every forwarder reports on all converters


def converters_of(index: int, in_use: int) -> range:
    """Return the converters that a forwarder calls.

    A service has as many converters as forwarders that call it, so the fleet's converters grow with its forwarders.
    """
    first = index // in_use * in_use
    return range(first, first + in_use)


def uid(number: int) -> str:
    """Return a converter's uid."""
    return f"c-{number:04x}"


class TrafficCounts:
    """Bytes and plans of all forwarders of this process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.bytes_out = 0
        self.bytes_in = 0
        self.plan_bytes = 0
        self.plans = 0
        self.simulation_s = 0.0  # CPU time of making calls up, which is no forwarder's
        self._plan_sizes: dict[tuple[int, int], int] = {}  # of the latest plan, by epoch and number

    def on_plan(self, plan: Plan) -> None:
        """Count a plan that a forwarder received."""
        self.plans += 1
        key = plan.term.epoch, plan.number
        if key not in self._plan_sizes:
            self._plan_sizes = {key: len(encode(plan))}  # the same plan goes to all forwarders
        self.plan_bytes += self._plan_sizes[key]

    def install(self) -> None:
        """Count the bytes that every forwarder of this process writes and reads."""
        counts = self
        receive = forwarder.PlannerConnection.data_received

        def encode_and_count(message: Message) -> bytes:
            data = encode(message)
            counts.bytes_out += len(data)
            return data

        def receive_and_count(self: forwarder.PlannerConnection, data: bytes) -> None:
            counts.bytes_in += len(data)
            receive(self, data)

        setattr(forwarder, "encode", encode_and_count)  # noqa: B010
        forwarder.PlannerConnection.data_received = receive_and_count  # type: ignore[method-assign]


@dataclass(frozen=True, slots=True)
class CallInFlight:
    """A made-up call that the next report still has in flight."""

    converter: str
    token: int


class LightweightForwarder(forwarder.Forwarder):
    """A forwarder whose calls are made up just before each report."""

    def __init__(self, index: int, config: ForwardersConfig, counts: TrafficCounts) -> None:
        """Prepare the forwarder of a number in the fleet; `start` connects it."""
        self.index = index
        self.counts = counts
        self.random = draws.stream(config.seed, f"forwarder {index}")
        self.upstream_ids: dict[str, int] = {}
        self.hung = ""  # a converter that answers no calls
        self.hung_us = 0
        self.avoided_after_s: float | None = None
        self.evidence = PlanBasis()
        self.token = 0
        self.in_flight: list[CallInFlight] = []
        self.simulated_until_s = time.monotonic()
        settings = forwarder.Settings(f"f{index}", [config.planner], AcceptanceRules(fleet_size=config.min_fleet))
        sidecar = forwarder.SidecarInterface(lambda: self.upstream_ids, self.on_plan_updated, [UNANSWERED_AFTER_US], 1)
        super().__init__(settings, sidecar, make_machine(f"{config.seed} f{index}"))
        self.use(converters_of(index, config.in_use))

    def use(self, numbers: range) -> None:
        """Call these converters from now on, with a day's counters of each new one."""
        self.upstream_ids = {uid(number): number for number in numbers}
        self.refresh_uids()
        served = int(CALLS_PER_S / len(numbers) * DAY_S)
        for name in self.upstream_ids.keys() - self.reporter.records.keys():
            self.token += 1
            self.reporter.on_attempt_started(clock_us(), name, self.token, 0)
            self.reporter.on_attempt_ended(name, self.token, Outcome.OK, ANSWER_US)
            record = self.reporter.records[name]
            record.attempts = record.served = served
            record.latencies[latency_bucket(ANSWER_US)] = served

    def on_plan_updated(self, event: PlanUpdated) -> None:
        """Record when a plan first ejects the hung converter."""
        number = self.upstream_ids.get(self.hung)
        if number is None or self.avoided_after_s is not None:
            return
        if any(advice.upstream == number and advice.ejected for advice in event.advice):
            self.avoided_after_s = (clock_us() - self.hung_us) / US_PER_S

    def hang(self, name: str) -> None:
        """Let a converter answer no more calls."""
        self.hung = name
        self.hung_us = clock_us()

    def on_plan(self, plan: Plan) -> None:
        """Count a plan, and follow it."""
        self.counts.on_plan(plan)
        self.evidence = plan.evidence
        super().on_plan(plan)

    def send_reports(self) -> None:
        """Make up the calls since the last report, and report them."""
        begun_s = time.thread_time()
        self.simulate_calls(time.monotonic())
        self.counts.simulation_s += time.thread_time() - begun_s
        super().send_reports()

    def simulate_calls(self, now_s: float) -> None:
        """Make up the calls since the last time: most straight into the counters, those in flight as they start."""
        elapsed_s = now_s - self.simulated_until_s
        self.simulated_until_s = now_s
        names = list(self.upstream_ids)
        counts = self.random.poisson(CALLS_PER_S * elapsed_s / len(names), len(names)).tolist()
        for name, count in zip(names, counts, strict=True):
            if count:
                self._count_calls(name, count)
        self._replace_calls_in_flight(names)

    def _count_calls(self, name: str, count: int) -> None:
        record = self.reporter.records[name]
        record.attempts += count
        record.changed = True
        if name == self.hung:
            record.failed += count
            return
        fast = count // FAST_FRACTION
        bucket = latency_bucket(ANSWER_US)
        record.served += count
        record.latencies[bucket] += count - fast
        record.latencies[bucket - 1] += fast

    def _replace_calls_in_flight(self, names: list[str]) -> None:
        for call in self.in_flight:
            self.reporter.on_attempt_ended(call.converter, call.token, Outcome.OK, ANSWER_US)
        chosen = [names[number] for number in self.random.integers(len(names), size=IN_FLIGHT).tolist()]
        calls = [CallInFlight(name, self.token + 1 + place) for place, name in enumerate(chosen)]
        self.in_flight = [call for call in calls if call.converter != self.hung]
        self.token += IN_FLIGHT
        now_us = clock_us()
        for call in self.in_flight:
            self.reporter.on_attempt_started(now_us, call.converter, call.token, 0)


class Worker:
    """The forwarders of this process, and the commands that they take."""

    def __init__(self, config: ForwardersConfig) -> None:
        """Start without forwarders."""
        self.config = config
        self.counts = TrafficCounts()
        self.forwarders: list[LightweightForwarder] = []
        self.counts.install()

    def run(self, command: Mapping[str, Any]) -> dict[str, Any]:
        """Run one command, and return its answer."""
        if command["do"] == "grow":
            return self.grow(int(command["fleet"]))
        if command["do"] == "hang":
            return self.hang(str(command["uid"]))
        return self.sample()

    def grow(self, fleet: int) -> dict[str, Any]:
        """Start forwarders up to this process's part of a fleet of so many."""
        first = self.config.worker + len(self.forwarders) * self.config.workers
        for index in range(first, fleet, self.config.workers):
            started = LightweightForwarder(index, self.config, self.counts)
            started.start()
            self.forwarders.append(started)
        if self.config.reports_all:
            for each in self.forwarders:
                each.use(range(fleet))
        return {}

    def hang(self, name: str) -> dict[str, Any]:
        """Let a converter answer no more calls of any forwarder."""
        for each in self.forwarders:
            each.hang(name)
        return {}

    def sample(self) -> dict[str, Any]:
        """Return the totals of this process now."""
        used, counts = own_usage(), self.counts
        users = [each for each in self.forwarders if each.hung in each.upstream_ids]
        return {
            "at_s": time.monotonic(),
            "cpu_s": used.cpu_s - counts.simulation_s,
            "resident": used.resident_bytes,
            "count": len(self.forwarders),
            "connected": sum(bool(each.connections) for each in self.forwarders),
            "bytes_out": counts.bytes_out,
            "bytes_in": counts.bytes_in,
            "plan_bytes": counts.plan_bytes,
            "plans": counts.plans,
            "reporters": max((each.evidence.forwarders for each in self.forwarders), default=0),
            "users": len(users),
            "avoids_after_s": [each.avoided_after_s for each in users if each.avoided_after_s is not None],
        }


async def serve(config: ForwardersConfig) -> None:
    """Answer commands until the end of standard input."""
    worker = Worker(config)
    loop = asyncio.get_running_loop()
    print("{}", flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(worker.run(json.loads(line))), flush=True)


def main() -> None:
    """Serve as the first argument says."""
    # the log lines of hundreds of forwarders would be a good part of the CPU time that is measured
    logging.getLogger("ryepier.plan").setLevel(logging.ERROR)
    asyncio.run(serve(msgspec.json.decode(sys.argv[1], type=ForwardersConfig)))


if __name__ == "__main__":
    main()
