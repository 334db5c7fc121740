"""`scale-control`: how do the costs of planners and forwarders grow with the fleet?

One planner, a process that records its own CPU time (`instrumented_planner`), and a growing fleet of forwarders that
run their real code hundreds to a process (`lightweight_forwarders`) and report made-up calls over loopback. Claims for
each number of converters in use: the planner's CPU and memory grow about linearly, a forwarder's traffic does not grow,
all forwarders are connected and count for the plan, and nearly all of them avoid a hung converter in time. The figures
compare the costs at the size to design for with its budgets.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import PLANNER_PORT
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.machine import ResourceRequirements, check_requirements, this_machine
from ryepier.experiments.core.processes import wait_until_listening
from ryepier.experiments.core.usage import Usage, usage
from ryepier.experiments.scale import instrumented_planner, lightweight, slopes
from ryepier.experiments.scale.instrumented_planner import PlannerUsage
from ryepier.experiments.scale.lightweight_forwarders import ForwardersConfig, uid
from ryepier.experiments.scale.machine_load import finite_figures, load_figures
from ryepier.plan.planner_server import TICK_S

DESIGN_FLEET = 1600
DESIGN_PLANNERS = 7
BUDGETS = {
    "planner_cores_needed": 0.5,
    "planner_resident_bytes": 512e6,
    "bytes_per_s_with_seven": 3_000.0,
    "forwarder_cores": 0.022,
    "forwarder_resident_bytes": 64e6,
}
# forwarders, by converters in use; with 150 in use, 320 forwarders take all of one planner's core
SIZES: dict[Scale, dict[int, tuple[int, ...]]] = {
    Scale.SMALL: {30: (50, 100, 200, 400), 150: (10, 20, 40, 80)},
    Scale.FULL: {30: (100, 200, 400, 800, 1200, 1600), 150: (40, 80, 120, 160, 240, 320)},
}
SEEDED_FAULT_SIZES = {30: (25, 50, 100, 200)}  # reports on all of 1,600 converters would fill the memory
REPORTS_PER_S = 2.0  # of a forwarder, by default
TICKS_PER_S = 1.0 / TICK_S
WORKERS = {Scale.SMALL: 2, Scale.FULL: 4}
WHOLE_REPORTS = "whole-reports"  # seeded fault: forwarders report on all converters
WORKER_MODULE = "ryepier.experiments.scale.lightweight_forwarders"
BYTES_NEEDED = 1_500_000_000
SETTLE_S = 1.0
MEASURE_S = {Scale.SMALL: 2.2, Scale.FULL: 10.0}
CONNECT_TIMEOUT_S = 6.0
AVOID_TIMEOUT_S = {Scale.SMALL: 5.0, Scale.FULL: 15.0}
POLL_INTERVAL_S = 0.2
AVOIDING_SHARE = 0.95  # of the forwarders that call the hung converter
MAX_WAIT_SHARE = 0.5  # of the planner's time; with more, the machine is what is measured
HUNG = uid(0)
MIN_DIVISOR = 1e-9  # in place of zero
Readings = dict[str, float]  # figures of one size, by name


class Sample(msgspec.Struct, frozen=True):
    """What the forwarders of one worker process have done so far."""

    at_s: float
    cpu_s: float  # without that of making calls up
    resident: int
    count: int
    connected: int
    bytes_out: int
    bytes_in: int
    plan_bytes: int
    plans: int
    reporters: int  # forwarders that the newest plan rests on
    users: int  # that call the hung converter
    avoids_after_s: list[float]


class PlannerReading(msgspec.Struct, frozen=True):
    """What the planner has used, done, and waited for so far."""

    used: Usage
    planner: PlannerUsage
    waited_s: float  # for a core


def planner_readings(size: int, elapsed_s: float, before: PlannerReading, after: PlannerReading) -> Readings:
    """Return what a planner did and used between two readings.

    `planner_cores_needed` is the CPU time of its reports and ticks at their nominal rates: a planner that is late has
    fewer ticks, and would seem cheap by the CPU time that it used.
    """
    early, late = before.planner, after.planner
    ticks, reports = late.ticks - early.ticks, late.reports - early.reports
    tick_cpu_s = late.tick_cpu_s - early.tick_cpu_s
    tick_s = tick_cpu_s / max(1, ticks)
    report_s = max(0.0, late.cpu_s - early.cpu_s - tick_cpu_s) / max(1, reports)
    cpu_s, waited_s = after.used.cpu_s_since(before.used), after.waited_s - before.waited_s
    return {
        "planner_cores": cpu_s / elapsed_s,
        "planner_cores_needed": size * REPORTS_PER_S * report_s + TICKS_PER_S * tick_s,
        "planner_cpu_ms_a_tick": 1000 * tick_s,
        "planner_cpu_us_a_report": 1e6 * report_s,
        "planner_ticks_per_s": ticks / elapsed_s,
        "planner_reports_per_s": reports / elapsed_s,
        "planner_wait_share": waited_s / max(MIN_DIVISOR, cpu_s + waited_s),
        "planner_resident_bytes": float(after.used.resident_bytes),
    }


def forwarder_readings(size: int, elapsed_s: float, before: Sequence[Sample], after: Sequence[Sample]) -> Readings:
    """Return what one forwarder sent, received and used between two samples."""

    def per_s(name: str) -> float:
        growth = sum(getattr(late, name) - getattr(early, name) for early, late in zip(before, after, strict=True))
        return float(growth) / elapsed_s / size

    sent, received = per_s("bytes_out"), per_s("bytes_in")
    heartbeats = received - per_s("plan_bytes")
    return {
        "plans_per_s": per_s("plans"),
        "bytes_out_per_s": sent,
        "bytes_in_per_s": received,
        # reports and heartbeats are exchanged with each planner, plans come from the leader alone
        "bytes_per_s_with_seven": DESIGN_PLANNERS * (sent + heartbeats) + (received - heartbeats),
        "forwarder_cores": per_s("cpu_s"),
        "reporters_share": max(sample.reporters for sample in after) / size,
        "connected_share": sum(sample.connected for sample in after) / size,
    }


def quantile_s(samples: Sequence[Sample], share: float) -> float:
    """Return when a share of the callers of the hung converter avoided it; infinite if they never did."""
    users = sum(sample.users for sample in samples)
    times_s = sorted(after_s for sample in samples for after_s in sample.avoids_after_s)
    needed = -int(-share * users // 1)
    return times_s[needed - 1] if users and len(times_s) >= needed else float("inf")


def growth(rows: Mapping[int, Mapping[str, float]], name: str) -> float:
    """Return the growth of a figure from the second to the largest size, relative to the size's own growth."""
    sizes = sorted(rows)
    few, many = sizes[1], sizes[-1]
    return rows[many][name] / max(MIN_DIVISOR, rows[few][name]) / (many / few)


@dataclass(frozen=True, slots=True)
class PlannerProcess:
    """A running planner."""

    pid: int
    address: tuple[str, int]
    usage_path: Path

    def read(self) -> PlannerReading:
        """Return a reading. Raises OSError or msgspec.MsgspecError if it has ended or not ticked yet."""
        waited_ns = int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1])
        return PlannerReading(usage(self.pid), instrumented_planner.read_usage(self.usage_path), waited_ns / 1e9)


@asynccontextmanager
async def start_planner(folder: Path, fleet: int, seeded_fault: str) -> AsyncIterator[PlannerProcess]:
    """Run a planner for a fleet of a size, and kill it on leaving. Raises HarnessError if it does not start."""
    address = f"127.{find_network()}.254.1", PLANNER_PORT
    config, usage_path = folder / f"planner-{fleet}.toml", folder / f"planner-{fleet}.usage"
    config.write_text(f'[trust]\nfleet = {fleet}\n[planner]\nlisten = "{address[0]}:{address[1]}"\n')
    planner_fault = seeded_fault if seeded_fault in seeded_faults.PLANNER_FAULTS else ""
    with open(folder / f"planner-{fleet}.log", "wb") as log:
        process = subprocess.Popen(
            [
                sys.executable,
                "-B",
                "-m",
                "ryepier.experiments.scale.instrumented_planner",
                str(usage_path),
                planner_fault,
                "--config",
                str(config),
            ],
            stdout=log,
            stderr=log,
            env=os.environ,
        )
    try:
        await wait_until_listening(process, address, "the planner")
        yield PlannerProcess(process.pid, address, usage_path)
    finally:
        process.kill()
        process.wait()


class Fleet:
    """One planner and the worker processes of its forwarders."""

    def __init__(
        self, planner: PlannerProcess, workers: Sequence[lightweight.LightweightProcess], scale: Scale
    ) -> None:
        """Take over running processes."""
        self.planner = planner
        self.workers = workers
        self.scale = scale

    async def request(self, command: str, **options: Any) -> list[Any]:
        """Send a command to all workers, and return their answers."""
        return list(await asyncio.gather(*(worker.request(command, **options) for worker in self.workers)))

    async def samples(self) -> list[Sample]:
        """Return a sample of each worker."""
        return [msgspec.convert(answer, Sample) for answer in await self.request("sample")]

    async def grow(self, size: int) -> None:
        """Start forwarders up to a size, and wait until they are connected or a timeout, which the figures show."""
        await self.request("grow", fleet=size)
        loop = asyncio.get_running_loop()
        ends = loop.time() + CONNECT_TIMEOUT_S
        while loop.time() < ends and sum(sample.connected for sample in await self.samples()) < size:
            await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)

    async def measure(self, size: int) -> Readings:
        """Return the readings at a size."""
        before, early = await self.samples(), self.planner.read()
        await asyncio.sleep(MEASURE_S[self.scale])
        after, late = await self.samples(), self.planner.read()
        elapsed_s = after[0].at_s - before[0].at_s
        return planner_readings(size, elapsed_s, early, late) | forwarder_readings(size, elapsed_s, before, after)

    async def hang_one(self) -> float:
        """Let one converter hang, and return the seconds until nearly all of its callers avoid it by plan."""
        await self.request("hang", uid=HUNG)
        found, loop = float("inf"), asyncio.get_running_loop()
        ends = loop.time() + AVOID_TIMEOUT_S[self.scale]
        while found == float("inf") and loop.time() < ends:
            await asyncio.sleep(POLL_INTERVAL_S)
            found = quantile_s(await self.samples(), AVOIDING_SHARE)
        return found


class FleetReadings(msgspec.Struct, frozen=True):
    """What a growing fleet came to."""

    by_size: dict[int, Readings]
    whole: Readings  # of the fleet at its largest


async def measure_fleet(in_use: int, sizes: Sequence[int], trial: TrialConfig) -> FleetReadings:
    """Let a fleet grow over these sizes, and return its readings."""
    worker_count = WORKERS[trial.scale]
    async with AsyncExitStack() as stack:
        planner = await stack.enter_async_context(start_planner(trial.folder, sizes[0], trial.seeded_fault))
        workers = []
        for number in range(worker_count):
            config = ForwardersConfig(
                planner.address,
                number,
                worker_count,
                in_use,
                trial.seed,
                min_fleet=sizes[0],
                reports_all=trial.seeded_fault == WHOLE_REPORTS,
            )
            encoded = msgspec.json.encode(config).decode()
            workers.append(await stack.enter_async_context(lightweight.start_process(WORKER_MODULE, [encoded])))
        for worker in workers:
            await worker.read()
        fleet = Fleet(planner, workers, trial.scale)
        empty = sum(sample.resident for sample in await fleet.samples())
        rows = {}
        for size in sizes:
            await fleet.grow(size)
            rows[size] = await fleet.measure(size)
        full = sum(sample.resident for sample in await fleet.samples())
        # a sidecar's process exists anyway, so only what one more forwarder takes counts
        whole = {"forwarder_resident_bytes": (full - empty) / sizes[-1], "avoided_after_s": await fleet.hang_one()}
        return FleetReadings(rows, whole)


FITTED = ("planner_cores_needed", "planner_cpu_ms_a_tick", "planner_cpu_us_a_report", "planner_resident_bytes")


def make_figures(in_use: int, rows: Mapping[int, Readings], whole: Readings) -> dict[str, float]:
    """Return the figures of a fleet, with fitted lines and the values at the size to design for."""
    found = {f"{name}_{in_use}_in_use_{size}": value for size, each in rows.items() for name, value in each.items()}
    found |= {f"{name}_{in_use}_in_use": value for name, value in whole.items()}
    sizes = sorted(rows)
    at_design = {name: rows[sizes[-1]][name] for name in ("bytes_per_s_with_seven", "forwarder_cores")}
    at_design["forwarder_resident_bytes"] = whole["forwarder_resident_bytes"]
    for name in FITTED:
        line = slopes.fit(sizes, [rows[size][name] for size in sizes])
        prefix = f"fit_{name}_{in_use}_in_use"
        found |= {f"{prefix}_{key}": float(value) for key, value in msgspec.to_builtins(line).items()}
        if name in BUDGETS:
            at_design[name] = line.at(DESIGN_FLEET).value
    for name, budget in BUDGETS.items():
        found[f"design_{name}_{in_use}_in_use"] = at_design[name]
        found[f"design_share_of_budget_{name}_{in_use}_in_use"] = at_design[name] / budget
    return found


MAX_AVOID_S = 5.0
MAX_GROWTH = 1.4
MAX_BYTES_RATIO = 1.15


def make_claims(in_use: int, rows: Mapping[int, Readings], whole: Readings) -> list[Claim]:
    """Return the claims on a fleet."""
    few, many = min(rows), max(rows)
    prefix = f"{in_use} in use, {many} forwarders"
    return [
        Claim(
            f"{prefix}: the planner's wait for a core (share of its time; more: the machine is too busy)",
            max(row["planner_wait_share"] for row in rows.values()),
            "<=",
            MAX_WAIT_SHARE,
        ),
        Claim(f"{prefix}: forwarders connected", rows[many]["connected_share"], ">=", 1.0),
        Claim(f"{prefix}: share of them that the plan rests on", rows[many]["reporters_share"], ">=", 0.99),
        Claim(
            f"{prefix}: cores that the planner needs, growth over linear",
            growth(rows, "planner_cores_needed"),
            "<=",
            MAX_GROWTH,
        ),
        Claim(f"{prefix}: planner's memory, growth over linear", growth(rows, "planner_resident_bytes"), "<=", 1.0),
        Claim(
            f"{prefix}: bytes out of a forwarder, over those at {few}",
            rows[many]["bytes_out_per_s"] / max(MIN_DIVISOR, rows[few]["bytes_out_per_s"]),
            "<=",
            MAX_BYTES_RATIO,
        ),
        Claim(f"{prefix}: 95% avoid a hung converter (s)", whole["avoided_after_s"], "<=", MAX_AVOID_S),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Measure a fleet for each number of converters in use. Raises InsufficientResourcesError."""
    fleets = SEEDED_FAULT_SIZES if trial.seeded_fault else SIZES[trial.scale]
    largest = max(max(sizes) for sizes in fleets.values())
    check_requirements(ResourceRequirements(WORKERS[trial.scale] + 2, BYTES_NEEDED, largest), this_machine())
    claims: list[Claim] = []
    figures = load_figures("before")
    for in_use, sizes in fleets.items():
        readings = asyncio.run(measure_fleet(in_use, sizes, trial))
        figures |= make_figures(in_use, readings.by_size, readings.whole)
        claims += make_claims(in_use, readings.by_size, readings.whole)
    figures |= load_figures("after")
    return Measurement(claims, finite_figures(figures))


EXPERIMENT = Benchmark(
    name="scale-control",
    question="one planner as up to 1,600 hollow forwarders report to it",
    measure=measure,
    seeded_faults=(WHOLE_REPORTS, "recount"),
)
