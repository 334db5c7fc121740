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
OUT = 7  # sends that are out at a time: the calls of one answer's time
DAY_S = 86_400


class ForwardersConfig(msgspec.Struct, frozen=True):
    """What the process is told at its start."""

    planner: tuple[str, int]
    worker: int
    workers: int
    in_use: int  # converters that a forwarder has to do with
    seed: int
    least_fleet: int
    whole: bool = False  # planted: every forwarder reports of all converters there are


def converters_of(index: int, in_use: int) -> range:
    """Whom a forwarder calls: a service has as many converters as there are forwarders that call it, so the fleet's
    converters grow with its forwarders."""
    first = index // in_use * in_use
    return range(first, first + in_use)


def uid(number: int) -> str:
    return f"c-{number:04x}"


class Counts:
    """Of the whole process."""

    def __init__(self) -> None:
        self.bytes_out = self.bytes_in = self.plan_bytes = self.plans = 0
        self.made_up_s = 0.0  # CPU that went into making calls up, and is no forwarder's
        self.sizes: dict[tuple[int, int], int] = {}  # of the plans seen, by epoch and number

    def took(self, plan: Plan) -> None:
        self.plans += 1
        key = plan.term.epoch, plan.number
        if key not in self.sizes:
            self.sizes = {key: len(encode(plan))}  # all of one moment are alike
        self.plan_bytes += self.sizes[key]


class LightweightForwarder(forwarder.Forwarder):
    """One forwarder, whose calls are counted into its notes just before each report."""

    def __init__(self, index: int, setup: ForwardersConfig, counts: Counts) -> None:
        self.index = index
        self.counts = counts
        self.random = draws.stream(setup.seed, f"forwarder {index}")
        self.idents: dict[str, int] = {}
        self.hung = ""
        self.hung_us = 0
        self.avoids_after_s: float | None = None
        self.evidence = PlanBasis()
        self.token = 0
        self.out: list[tuple[str, int]] = []  # whom the calls went to that are out, each with its token
        self.filled_s = time.monotonic()
        settings = forwarder.Settings(f"f{index}", [setup.planner], AcceptanceRules(fleet=setup.least_fleet))
        sidecar = forwarder.Sidecar(lambda: self.idents, self.planned, [10 * ANSWER_US], 1)
        super().__init__(settings, sidecar, make_machine(f"{setup.seed} f{index}"))
        self.use(converters_of(index, setup.in_use))

    def use(self, numbers: range) -> None:
        """From now on its calls go to these."""
        self.idents = {uid(number): number for number in numbers}
        self.refresh_uids()
        served = int(CALLS_PER_S / len(numbers) * DAY_S)
        for name in self.idents.keys() - self.reporter.notes.keys():
            self.token += 1
            self.reporter.on_attempt_started(clock_us(), name, self.token, 0)
            self.reporter.on_attempt_ended(name, self.token, Outcome.OK, ANSWER_US)
            notes = self.reporter.notes[name]
            notes.attempts = notes.served = served
            notes.latencies[latency_bucket(ANSWER_US)] = served

    def planned(self, event: PlanUpdated) -> None:
        number = self.idents.get(self.hung)
        if (
            number is not None
            and self.avoids_after_s is None
            and any(one.upstream == number and one.ejected for one in event.advice)
        ):
            self.avoids_after_s = (clock_us() - self.hung_us) / 1e6

    def hang(self, name: str) -> None:
        self.hung, self.hung_us = name, clock_us()

    def on_plan(self, plan: Plan) -> None:
        self.counts.took(plan)
        self.evidence = plan.evidence
        super().on_plan(plan)

    def send_reports(self) -> None:
        begun_s = time.thread_time()
        self.make_up(time.monotonic())
        self.counts.made_up_s += time.thread_time() - begun_s
        super().send_reports()

    def make_up(self, now_s: float) -> None:
        """The calls since the last report: most straight into the notes, those still out by the usual way."""
        passed_s, self.filled_s = now_s - self.filled_s, now_s
        bucket, names = latency_bucket(ANSWER_US), list(self.idents)
        counts = self.random.poisson(CALLS_PER_S * passed_s / len(names), len(names)).tolist()
        for name, count in zip(names, counts, strict=True):
            if not count:
                continue
            notes = self.reporter.notes[name]
            notes.attempts += count
            notes.changed = True
            if name == self.hung:
                notes.failed += count
                continue
            fast = count // 3
            notes.served += count
            notes.latencies[bucket] += count - fast
            notes.latencies[bucket - 1] += fast
        for name, token in self.out:
            self.reporter.on_attempt_ended(name, token, Outcome.OK, ANSWER_US)
        drawn = [names[number] for number in self.random.integers(len(names), size=OUT).tolist()]
        self.out = [(name, self.token + 1 + place) for place, name in enumerate(drawn) if name != self.hung]
        self.token += OUT
        now_us = clock_us()
        for name, token in self.out:
            self.reporter.on_attempt_started(now_us, name, token, 0)


class Worker:
    """All of one process."""

    def __init__(self, setup: ForwardersConfig) -> None:
        self.setup = setup
        self.counts = Counts()
        self.processes: list[LightweightForwarder] = []
        self.count_bytes()

    def count_bytes(self) -> None:
        """Of all that the forwarders of this process write and read."""
        counts, receive = self.counts, forwarder.PlannerConnection.data_received

        def encode_counted(message: Message) -> bytes:
            data = encode(message)
            counts.bytes_out += len(data)
            return data

        def receive_counted(self: forwarder.PlannerConnection, data: bytes) -> None:
            counts.bytes_in += len(data)
            receive(self, data)

        setattr(forwarder, "encode", encode_counted)  # noqa: B010
        forwarder.PlannerConnection.data_received = receive_counted  # type: ignore[method-assign]

    def grow(self, fleet: int) -> dict[str, Any]:
        """This process's share of a fleet of so many."""
        for index in range(self.setup.worker + len(self.processes) * self.setup.workers, fleet, self.setup.workers):
            made = LightweightForwarder(index, self.setup, self.counts)
            made.start()
            self.processes.append(made)
        if self.setup.whole:
            for each in self.processes:
                each.use(range(fleet))
        return {}

    def hang(self, name: str) -> dict[str, Any]:
        for each in self.processes:
            each.hang(name)
        return {}

    def sample(self) -> dict[str, Any]:
        used, counts = own_usage(), self.counts
        users = [each for each in self.processes if each.hung in each.idents]
        return {
            "at_s": time.monotonic(),
            "cpu_s": used.cpu_s - counts.made_up_s,
            "resident": used.resident_bytes,
            "count": len(self.processes),
            "connected": sum(bool(each.links) for each in self.processes),
            "bytes_out": counts.bytes_out,
            "bytes_in": counts.bytes_in,
            "plan_bytes": counts.plan_bytes,
            "plans": counts.plans,
            "reporters": max((each.evidence.forwarders for each in self.processes), default=0),
            "users": len(users),
            "avoids_after_s": [each.avoids_after_s for each in users if each.avoids_after_s is not None],
        }

    def take(self, told: Mapping[str, Any]) -> dict[str, Any]:
        """Do one thing; returns what comes of it."""
        if told["do"] == "grow":
            return self.grow(int(told["fleet"]))
        if told["do"] == "hang":
            return self.hang(str(told["uid"]))
        return self.sample()


async def work(setup: ForwardersConfig) -> None:
    worker, loop = Worker(setup), asyncio.get_running_loop()
    print("{}", flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(worker.take(json.loads(line))), flush=True)


def main() -> None:
    # hazard: what hundreds of forwarders log at one moment would be a good part of the CPU that is measured
    logging.getLogger("ryepier.plan").setLevel(logging.ERROR)
    asyncio.run(work(msgspec.json.decode(sys.argv[1], type=ForwardersConfig)))


if __name__ == "__main__":
    main()
