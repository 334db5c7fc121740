"""A process with hundreds of real forwarders that report simulated calls, for `scale-control`.

`python -m ryepier.experiments.scale.lightweight_forwarders CONFIG`, with a `ForwardersConfig` as JSON, reads a command
per line, as `lightweight.LightweightProcess` sends them. The counters of a forwarder start with the calls of one day,
as smaller numbers would make its reports shorter than in service.
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

CALLS_PER_S = 369.0  # calls of one sidecar at the design size
ANSWER_LATENCY_US = 20_000
ANSWER_TIMEOUT_US = 10 * ANSWER_LATENCY_US
CALLS_IN_FLIGHT = 7  # concurrent calls per forwarder: about `CALLS_PER_S` times the latency of an answer
FAST_ANSWER_DIVISOR = 3  # one answer in three falls into the bucket below that of `ANSWER_LATENCY_US`
DAY_S = 86_400
US_PER_S = 1e6


class ForwardersConfig(msgspec.Struct, frozen=True):
    """The configuration of a worker process and its forwarders."""

    planner: tuple[str, int]  # host and port of the planner
    worker: int  # index of this process among the workers
    workers: int  # number of worker processes
    in_use: int  # converters that each forwarder calls
    seed: int
    min_fleet: int  # size of the smallest measured fleet, which the forwarders' rules for accepting plans use
    reports_all: bool = False  # seeded fault: every forwarder reports on all converters


def converters_of(index: int, in_use: int) -> range:
    """Return the numbers of the converters that the forwarder with the given index calls.

    A service has as many converters as forwarders that call it, so the number of converters grows with the fleet.
    """
    first_number = index // in_use * in_use
    return range(first_number, first_number + in_use)


def converter_uid(number: int) -> str:
    """Return the uid of the converter with the given number."""
    return f"c-{number:04x}"


class TrafficCounts:
    """Counts of the bytes and plans of all forwarders of this process."""

    def __init__(self) -> None:
        """Start with all counts at zero. Bytes are counted once `install` has been called."""
        self.bytes_out = 0
        self.bytes_in = 0
        self.plan_bytes = 0
        self.plans = 0
        self.simulation_cpu_s = 0.0  # CPU time of the simulation of calls, which is not part of a forwarder's cost
        self._plan_sizes: dict[tuple[int, int], int] = {}  # encoded size of the latest plan, by epoch and number

    def on_plan(self, plan: Plan) -> None:
        """Count a plan that a forwarder received, and its bytes."""
        self.plans += 1
        key = plan.term.epoch, plan.number
        if key not in self._plan_sizes:
            self._plan_sizes = {key: len(encode(plan))}  # encoded only once, as all forwarders receive the same plan
        self.plan_bytes += self._plan_sizes[key]

    def install(self) -> None:
        """Patch the forwarder module to count the bytes that all forwarders of this process write and read."""
        counts = self
        original_receive = forwarder.PlannerConnection.data_received

        def encode_and_count(message: Message) -> bytes:
            data = encode(message)
            counts.bytes_out += len(data)
            return data

        def receive_and_count(self: forwarder.PlannerConnection, data: bytes) -> None:
            counts.bytes_in += len(data)
            original_receive(self, data)

        setattr(forwarder, "encode", encode_and_count)  # noqa: B010
        forwarder.PlannerConnection.data_received = receive_and_count  # type: ignore[method-assign]


@dataclass(frozen=True, slots=True)
class CallInFlight:
    """A simulated call that is still in flight when the next report is sent."""

    converter_uid: str
    token: int


class LightweightForwarder(forwarder.Forwarder):
    """A real forwarder whose calls are simulated just before each report."""

    def __init__(self, index: int, config: ForwardersConfig, counts: TrafficCounts) -> None:
        """Create the forwarder with the given index in the fleet. `start` connects it.

        The counters of its converters already hold the calls of a day.
        """
        self.index = index
        self.counts = counts
        self.random = draws.stream(config.seed, f"forwarder {index}")
        self.upstream_ids: dict[str, int] = {}
        self.hung_uid = ""  # the converter that no longer answers calls; empty if there is none
        self.hung_since_us = 0
        self.avoided_after_s: float | None = None
        self.evidence = PlanBasis()
        self.last_token = 0
        self.in_flight: list[CallInFlight] = []
        self.simulated_until_s = time.monotonic()
        settings = forwarder.Settings(f"f{index}", [config.planner], AcceptanceRules(fleet_size=config.min_fleet))
        sidecar = forwarder.SidecarInterface(lambda: self.upstream_ids, self.on_plan_updated, [ANSWER_TIMEOUT_US], 1)
        super().__init__(settings, sidecar, make_machine(f"{config.seed} f{index}"))
        self.set_converters(converters_of(index, config.in_use))

    def set_converters(self, numbers: range) -> None:
        """Replace the called converters, and set the counters of those not called before to the calls of a day."""
        self.upstream_ids = {converter_uid(number): number for number in numbers}
        self.refresh_uids()
        served_count = int(CALLS_PER_S / len(numbers) * DAY_S)
        for uid in self.upstream_ids.keys() - self.reporter.records.keys():
            self.last_token += 1
            self.reporter.on_attempt_started(clock_us(), uid, self.last_token, 0)
            self.reporter.on_attempt_ended(uid, self.last_token, Outcome.OK, ANSWER_LATENCY_US)
            record = self.reporter.records[uid]
            record.attempts = record.served = served_count
            record.latencies[latency_bucket(ANSWER_LATENCY_US)] = served_count

    def on_plan_updated(self, event: PlanUpdated) -> None:
        """Record the time until a plan first ejects the hung converter."""
        number = self.upstream_ids.get(self.hung_uid)
        if number is None or self.avoided_after_s is not None:
            return
        if any(advice.upstream == number and advice.ejected for advice in event.advice):
            self.avoided_after_s = (clock_us() - self.hung_since_us) / US_PER_S

    def hang(self, uid: str) -> None:
        """Make a converter stop answering the calls of this forwarder."""
        self.hung_uid = uid
        self.hung_since_us = clock_us()

    def on_plan(self, plan: Plan) -> None:
        """Count a plan, and process it like any forwarder."""
        self.counts.on_plan(plan)
        self.evidence = plan.evidence
        super().on_plan(plan)

    def send_reports(self) -> None:
        """Simulate the calls since the last report, and send the reports."""
        cpu_before_s = time.thread_time()
        self.simulate_calls(time.monotonic())
        self.counts.simulation_cpu_s += time.thread_time() - cpu_before_s
        super().send_reports()

    def simulate_calls(self, now_s: float) -> None:
        """Simulate the calls since the last simulation: count the ended calls, and start those that are in flight."""
        elapsed_s = now_s - self.simulated_until_s
        self.simulated_until_s = now_s
        uids = list(self.upstream_ids)
        call_counts = self.random.poisson(CALLS_PER_S * elapsed_s / len(uids), len(uids)).tolist()
        for uid, call_count in zip(uids, call_counts, strict=True):
            if call_count:
                self._count_calls(uid, call_count)
        self._replace_calls_in_flight(uids)

    def _count_calls(self, uid: str, call_count: int) -> None:
        record = self.reporter.records[uid]
        record.attempts += call_count
        record.changed = True
        if uid == self.hung_uid:
            record.failed += call_count
            return
        fast_count = call_count // FAST_ANSWER_DIVISOR
        bucket = latency_bucket(ANSWER_LATENCY_US)
        record.served += call_count
        record.latencies[bucket] += call_count - fast_count
        record.latencies[bucket - 1] += fast_count

    def _replace_calls_in_flight(self, uids: list[str]) -> None:
        for call in self.in_flight:
            self.reporter.on_attempt_ended(call.converter_uid, call.token, Outcome.OK, ANSWER_LATENCY_US)
        called_uids = [uids[number] for number in self.random.integers(len(uids), size=CALLS_IN_FLIGHT).tolist()]
        calls = [CallInFlight(uid, self.last_token + 1 + offset) for offset, uid in enumerate(called_uids)]
        self.in_flight = [call for call in calls if call.converter_uid != self.hung_uid]
        self.last_token += CALLS_IN_FLIGHT
        now_us = clock_us()
        for call in self.in_flight:
            self.reporter.on_attempt_started(now_us, call.converter_uid, call.token, 0)


class Worker:
    """The forwarders of this process, and the commands that it runs."""

    def __init__(self, config: ForwardersConfig) -> None:
        """Create a worker without forwarders, and install the traffic counts."""
        self.config = config
        self.counts = TrafficCounts()
        self.forwarders: list[LightweightForwarder] = []
        self.counts.install()

    def run(self, command: Mapping[str, Any]) -> dict[str, Any]:
        """Run one command, and return its answer. Every command other than `grow` and `hang` returns a sample."""
        if command["do"] == "grow":
            return self.grow(int(command["fleet"]))
        if command["do"] == "hang":
            return self.hang(str(command["uid"]))
        return self.sample()

    def grow(self, fleet_size: int) -> dict[str, Any]:
        """Start the forwarders that this process contributes to a fleet of `fleet_size` forwarders."""
        first_index = self.config.worker + len(self.forwarders) * self.config.workers
        for index in range(first_index, fleet_size, self.config.workers):
            new_forwarder = LightweightForwarder(index, self.config, self.counts)
            new_forwarder.start()
            self.forwarders.append(new_forwarder)
        if self.config.reports_all:
            for each_forwarder in self.forwarders:
                each_forwarder.set_converters(range(fleet_size))
        return {}

    def hang(self, uid: str) -> dict[str, Any]:
        """Make a converter stop answering the calls of all forwarders."""
        for each_forwarder in self.forwarders:
            each_forwarder.hang(uid)
        return {}

    def sample(self) -> dict[str, Any]:
        """Return the current totals of this process, in the form of `control.Sample`."""
        usage, counts = own_usage(), self.counts
        callers = [
            each_forwarder
            for each_forwarder in self.forwarders
            if each_forwarder.hung_uid in each_forwarder.upstream_ids
        ]
        return {
            "at_s": time.monotonic(),
            "cpu_s": usage.cpu_s - counts.simulation_cpu_s,
            "resident": usage.resident_bytes,
            "count": len(self.forwarders),
            "connected": sum(bool(each_forwarder.connections) for each_forwarder in self.forwarders),
            "bytes_out": counts.bytes_out,
            "bytes_in": counts.bytes_in,
            "plan_bytes": counts.plan_bytes,
            "plans": counts.plans,
            "reporters": max((each_forwarder.evidence.forwarders for each_forwarder in self.forwarders), default=0),
            "users": len(callers),
            "avoids_after_s": [
                each_forwarder.avoided_after_s
                for each_forwarder in callers
                if each_forwarder.avoided_after_s is not None
            ],
        }


async def serve(config: ForwardersConfig) -> None:
    """Run commands from standard input until it ends, and print the answers."""
    worker = Worker(config)
    loop = asyncio.get_running_loop()
    print("{}", flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(worker.run(json.loads(line))), flush=True)


def main() -> None:
    """Serve with the configuration in the first argument."""
    # writing the log lines of hundreds of forwarders would take a large part of the measured CPU time
    logging.getLogger("ryepier.plan").setLevel(logging.ERROR)
    asyncio.run(serve(msgspec.json.decode(sys.argv[1], type=ForwardersConfig)))


if __name__ == "__main__":
    main()
