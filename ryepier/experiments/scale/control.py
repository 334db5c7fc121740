"""`scale-control`: what the control tier costs as it stands, one planner and a fleet of hollow forwarders that grows.

The planner is a process as in service that notes its own CPU (`instrumented_planner`); the forwarders' real code runs
hundreds to a process, over loopback, each reporting of made-up calls (`hollow_forwarders`). Its claims are about how
the costs grow; what they come to beside the budgets of the size to design for is among the figures.
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
from ryepier.experiments.core.machine import Needs, check_needs, this_machine
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
# by converters in use; with 150, one planner has no core's worth of time for more than 320 forwarders
SIZES: dict[Scale, dict[int, tuple[int, ...]]] = {
    Scale.SMALL: {30: (50, 100, 200, 400), 150: (10, 20, 40, 80)},
    Scale.FULL: {30: (100, 200, 400, 800, 1200, 1600), 150: (40, 80, 120, 160, 240, 320)},
}
PLANTED_SIZES = {30: (25, 50, 100, 200)}  # all converters in every report of 1,600 would fill the memory
REPORTS_PER_S = 2.0  # of a forwarder, as set by default
TICKS_PER_S = 1.0 / TICK_S
WORKERS = {Scale.SMALL: 2, Scale.FULL: 4}
BYTES_NEEDED = 1_500_000_000
SETTLE_S = 1.0
MEASURE_S = {Scale.SMALL: 2.2, Scale.FULL: 10.0}
CONNECTED_WITHIN_S = 6.0
FOLLOW_WITHIN_S = {Scale.SMALL: 5.0, Scale.FULL: 15.0}
LOOK_S = 0.2
MOST_USERS = 0.95  # of those that call a hung converter, who must have left it
MOST_WAIT = 0.5  # of the planner's time: where it waits for a core for longer, the machine is what is measured
HUNG = uid(0)


class Sample(msgspec.Struct, frozen=True):
    """What one process of forwarders has done so far."""

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


class Look(msgspec.Struct, frozen=True):
    """At the planner: what it has used, done, and waited for."""

    used: Usage
    planner: PlannerUsage
    waited_s: float  # for a core


def planner_row(size: int, passed_s: float, before: Look, after: Look) -> dict[str, float]:
    """What the planner did and what it cost. Pure.

    `planner_cores_needed` is what its reports and ticks would take at the rate they should come, by their CPU each: a
    planner that is late, as it is slow or the machine is busy, has fewer ticks, and by its cores would seem cheap."""
    early, late = before.planner, after.planner
    ticks, reports = late.ticks - early.ticks, late.reports - early.reports
    tick_cpu_s = late.tick_cpu_s - early.tick_cpu_s
    tick_s = tick_cpu_s / max(1, ticks)
    report_s = max(0.0, late.cpu_s - early.cpu_s - tick_cpu_s) / max(1, reports)
    cpu_s, waited_s = after.used.since(before.used), after.waited_s - before.waited_s
    return {
        "planner_cores": cpu_s / passed_s,
        "planner_cores_needed": size * REPORTS_PER_S * report_s + TICKS_PER_S * tick_s,
        "planner_cpu_ms_a_tick": 1000 * tick_s,
        "planner_cpu_us_a_report": 1e6 * report_s,
        "planner_ticks_per_s": ticks / passed_s,
        "planner_reports_per_s": reports / passed_s,
        "planner_wait_share": waited_s / max(1e-9, cpu_s + waited_s),
        "planner_resident_bytes": float(after.used.resident_bytes),
    }


def forwarder_row(size: int, passed_s: float, before: Sequence[Sample], after: Sequence[Sample]) -> dict[str, float]:
    """What a forwarder sent, got and cost. Pure."""

    def per_s(name: str) -> float:
        grown = sum(getattr(late, name) - getattr(early, name) for early, late in zip(before, after, strict=True))
        return float(grown) / passed_s / size

    out, into = per_s("bytes_out"), per_s("bytes_in")
    beats = into - per_s("plan_bytes")
    return {
        "plans_per_s": per_s("plans"),
        "bytes_out_per_s": out,
        "bytes_in_per_s": into,
        # reports and beats go by each planner, plans by the one that leads
        "bytes_per_s_with_seven": DESIGN_PLANNERS * (out + beats) + (into - beats),
        "forwarder_cores": per_s("cpu_s"),
        "reporters_share": max(sample.reporters for sample in after) / size,
        "connected_share": sum(sample.connected for sample in after) / size,
    }


def quantile_s(samples: Sequence[Sample], share: float) -> float:
    """Seconds until so many of those that call the hung converter avoid it; infinite where they never did. Pure."""
    users = sum(sample.users for sample in samples)
    times_s = sorted(after_s for sample in samples for after_s in sample.avoids_after_s)
    needed = -int(-share * users // 1)
    return times_s[needed - 1] if users and len(times_s) >= needed else float("inf")


def growth(rows: Mapping[int, Mapping[str, float]], name: str) -> float:
    """Of a figure from the second size to the largest, over linear: 1 = it grows as the size does. Pure."""
    sizes = sorted(rows)
    few, many = sizes[1], sizes[-1]
    return rows[many][name] / max(1e-9, rows[few][name]) / (many / few)


@dataclass(frozen=True, slots=True)
class PlannerProcess:
    """One planner."""

    pid: int
    address: tuple[str, int]
    usage_path: Path

    def look(self) -> Look:
        """Raises OSError or msgspec.MsgspecError where it has ended or not ticked yet."""
        waited_ns = int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1])
        return Look(usage(self.pid), instrumented_planner.read_usage(self.usage_path), waited_ns / 1e9)


@asynccontextmanager
async def planner_process(folder: Path, fleet: int, plant: str) -> AsyncIterator[PlannerProcess]:
    """One planner, up. Raises HarnessError where it does not come up."""
    address = f"127.{find_network()}.254.1", PLANNER_PORT
    config, usage_path = folder / f"planner-{fleet}.toml", folder / f"planner-{fleet}.usage"
    config.write_text(f'[trust]\nfleet = {fleet}\n[planner]\nlisten = "{address[0]}:{address[1]}"\n')
    own = plant if plant in seeded_faults.PLANNER_FAULTS else ""
    with open(folder / f"planner-{fleet}.log", "wb") as log:
        process = subprocess.Popen(
            [
                sys.executable,
                "-B",
                "-m",
                "ryepier.experiments.scale.instrumented_planner",
                str(usage_path),
                own,
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
    """One planner and the processes of forwarders."""

    def __init__(
        self, planner: PlannerProcess, workers: Sequence[lightweight.LightweightProcess], scale: Scale
    ) -> None:
        self.planner = planner
        self.workers = workers
        self.scale: Scale = scale

    async def request(self, what: str, **more: Any) -> list[Any]:
        return list(await asyncio.gather(*(worker.request(what, **more) for worker in self.workers)))

    async def samples(self) -> list[Sample]:
        return [msgspec.convert(said, Sample) for said in await self.request("sample")]

    async def grow(self, size: int) -> None:
        """Until that many are connected, or it takes too long, which the figures then show."""
        await self.request("grow", fleet=size)
        loop = asyncio.get_running_loop()
        ends = loop.time() + CONNECTED_WITHIN_S
        while loop.time() < ends and sum(sample.connected for sample in await self.samples()) < size:
            await asyncio.sleep(LOOK_S)
        await asyncio.sleep(SETTLE_S)

    async def measure(self, size: int) -> dict[str, float]:
        before, early = await self.samples(), self.planner.look()
        await asyncio.sleep(MEASURE_S[self.scale])
        after, late = await self.samples(), self.planner.look()
        passed_s = after[0].at_s - before[0].at_s
        return planner_row(size, passed_s, early, late) | forwarder_row(size, passed_s, before, after)

    async def follow(self) -> float:
        """Let one converter hang; seconds until nearly all that call it avoid it by plan."""
        await self.request("hang", uid=HUNG)
        found, loop = float("inf"), asyncio.get_running_loop()
        ends = loop.time() + FOLLOW_WITHIN_S[self.scale]
        while found == float("inf") and loop.time() < ends:
            await asyncio.sleep(LOOK_S)
            found = quantile_s(await self.samples(), MOST_USERS)
        return found


async def one_fleet(
    in_use: int, sizes: Sequence[int], seed: int, scale: Scale, folder: Path, plant: str
) -> tuple[dict[int, dict[str, float]], dict[str, float]]:
    """A fleet that grows: figures by size, and those of the whole."""
    async with AsyncExitStack() as stack:
        planner = await stack.enter_async_context(planner_process(folder, sizes[0], plant))
        workers = []
        for number in range(WORKERS[scale]):
            setup = ForwardersConfig(
                planner.address, number, WORKERS[scale], in_use, seed, sizes[0], plant == "whole-reports"
            )
            child = await stack.enter_async_context(
                lightweight.start_process(
                    "ryepier.experiments.scale.lightweight_forwarders", [msgspec.json.encode(setup).decode()]
                )
            )
            workers.append(child)
        for child in workers:
            await child.read()
        fleet = Fleet(planner, workers, scale)
        empty = sum(sample.resident for sample in await fleet.samples())
        rows = {}
        for size in sizes:
            await fleet.grow(size)
            rows[size] = await fleet.measure(size)
        full = sum(sample.resident for sample in await fleet.samples())
        # a sidecar's own process is there anyway: what counts is what one more forwarder takes
        whole = {"forwarder_resident_bytes": (full - empty) / sizes[-1], "avoided_after_s": await fleet.follow()}
        return rows, whole


FITTED = ("planner_cores_needed", "planner_cpu_ms_a_tick", "planner_cpu_us_a_report", "planner_resident_bytes")


def figures_of(in_use: int, rows: Mapping[int, Mapping[str, float]], whole: Mapping[str, float]) -> dict[str, float]:
    """All figures of one fleet, with the lines through them and what they come to at the size to design for. Pure."""
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


FOLLOWED_WITHIN_S = 5.0
GROWTH = 1.4
SAME_BYTES = 1.15


def claims_of(in_use: int, rows: Mapping[int, Mapping[str, float]], whole: Mapping[str, float]) -> list[Claim]:
    """What holds of the tier as it stands. Pure."""
    few, many = min(rows), max(rows)
    what = f"{in_use} in use, {many} forwarders"
    return [
        Claim(
            f"{what}: the planner's wait for a core (share of its time; more: the machine is too busy)",
            max(row["planner_wait_share"] for row in rows.values()),
            "<=",
            MOST_WAIT,
        ),
        Claim(f"{what}: forwarders connected", rows[many]["connected_share"], ">=", 1.0),
        Claim(f"{what}: share of them that the plan rests on", rows[many]["reporters_share"], ">=", 0.99),
        Claim(
            f"{what}: cores that the planner needs, growth over linear",
            growth(rows, "planner_cores_needed"),
            "<=",
            GROWTH,
        ),
        Claim(f"{what}: planner's memory, growth over linear", growth(rows, "planner_resident_bytes"), "<=", 1.0),
        Claim(
            f"{what}: bytes out of a forwarder, over those at {few}",
            rows[many]["bytes_out_per_s"] / max(1e-9, rows[few]["bytes_out_per_s"]),
            "<=",
            SAME_BYTES,
        ),
        Claim(f"{what}: 95% avoid a hung converter (s)", whole["avoided_after_s"], "<=", FOLLOWED_WITHIN_S),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Each number of converters in use, one after another."""
    plan = PLANTED_SIZES if trial.seeded_fault else SIZES[trial.scale]
    most = max(max(sizes) for sizes in plan.values())
    check_needs(Needs(WORKERS[trial.scale] + 2, BYTES_NEEDED, most), this_machine())
    claims: list[Claim] = []
    found = load_figures("before")
    for in_use, sizes in plan.items():
        rows, whole = asyncio.run(one_fleet(in_use, sizes, trial.seed, trial.scale, trial.folder, trial.seeded_fault))
        found |= figures_of(in_use, rows, whole)
        claims += claims_of(in_use, rows, whole)
    found |= load_figures("after")
    return Measurement(claims, finite_figures(found))


EXPERIMENT = Benchmark(
    name="scale-control",
    question="one planner as up to 1,600 hollow forwarders report to it",
    measure=perform,
    seeded_faults=("whole-reports", "recount"),
)
