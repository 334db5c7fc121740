"""`scale-control`: how do the costs of planners and forwarders grow with the fleet?

A planner process that records its own CPU time (`instrumented_planner`) serves a growing fleet of forwarders, which run
their real code, hundreds per process (`lightweight_forwarders`), and report simulated calls over loopback. Claims for
each number of converters in use: the planner's CPU time and memory grow about linearly, a forwarder's traffic does not
grow, all forwarders are connected and their reports enter the plan, and nearly all forwarders that call a hung
converter avoid it in time. The figures compare the costs at the design size with the budgets.
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
from ryepier.experiments.scale.lightweight_forwarders import ForwardersConfig, converter_uid
from ryepier.experiments.scale.machine_load import finite_figures, load_figures
from ryepier.plan.planner_server import TICK_INTERVAL_S

DESIGN_FLEET_SIZE = 1600
DESIGN_PLANNER_COUNT = 7
BUDGETS = {
    "planner_cores_needed": 0.5,
    "planner_resident_bytes": 512e6,
    "bytes_per_s_with_seven": 3_000.0,
    "forwarder_cores": 0.022,
    "forwarder_resident_bytes": 64e6,
}
# numbers of forwarders, by the number of converters that each uses; with 150 converters in use, 320 forwarders keep the
# planner's core fully busy
FLEET_SIZES: dict[Scale, dict[int, tuple[int, ...]]] = {
    Scale.SMALL: {30: (50, 100, 200, 400), 150: (10, 20, 40, 80)},
    Scale.FULL: {30: (100, 200, 400, 800, 1200, 1600), 150: (40, 80, 120, 160, 240, 320)},
}
# with the seeded fault, the reports of a large fleet on all 1,600 converters would not fit into memory
SEEDED_FAULT_FLEET_SIZES = {30: (25, 50, 100, 200)}
REPORTS_PER_S = 2.0  # reports per second that a forwarder sends by default
TICKS_PER_S = 1.0 / TICK_INTERVAL_S
WORKER_COUNT = {Scale.SMALL: 2, Scale.FULL: 4}
FULL_REPORTS = "whole-reports"  # seeded fault: forwarders report on all converters
WORKER_MODULE = "ryepier.experiments.scale.lightweight_forwarders"
NEEDED_MEMORY_BYTES = 1_500_000_000
SETTLE_S = 1.0  # wait after the growth of a fleet, before the measurement
MEASUREMENT_DURATION_S = {Scale.SMALL: 2.2, Scale.FULL: 10.0}
CONNECT_TIMEOUT_S = 6.0
AVOID_TIMEOUT_S = {Scale.SMALL: 5.0, Scale.FULL: 15.0}
POLL_INTERVAL_S = 0.2
AVOIDING_SHARE = 0.95  # share of the hung converter's callers that must avoid it
MAX_WAIT_SHARE = 0.5  # share of time that the planner may wait for a core; above it, the machine is too busy
HUNG_UID = converter_uid(0)
MIN_DIVISOR = 1e-9  # avoids a division by zero
Figures = dict[str, float]  # figures of a fleet at one size, by name


class Sample(msgspec.Struct, frozen=True):
    """Totals of one worker process and its forwarders at one point in time, as its `sample` command returns them."""

    at_s: float  # time of the sample on the monotonic clock
    cpu_s: float  # CPU time without the simulation of calls
    resident: int  # resident memory in bytes
    count: int  # number of forwarders
    connected: int  # forwarders with a connection to the planner
    bytes_out: int
    bytes_in: int
    plan_bytes: int
    plans: int
    reporters: int  # forwarders whose reports the newest plan is based on
    users: int  # forwarders that call the hung converter
    avoids_after_s: list[float]  # for each forwarder that avoids the hung converter, seconds since the hang


class PlannerReading(msgspec.Struct, frozen=True):
    """Totals of the planner process since its start."""

    process_usage: Usage
    planner_usage: PlannerUsage
    waited_s: float  # time in which the planner was runnable but waited for a core


def planner_figures(fleet_size: int, elapsed_s: float, before: PlannerReading, after: PlannerReading) -> Figures:
    """Return the planner's rates and costs between two readings.

    `planner_cores_needed` is the CPU time per second of reports and ticks at their nominal rates. The CPU time actually
    used would make an overloaded planner seem cheap, as it runs fewer ticks.
    """
    earlier, later = before.planner_usage, after.planner_usage
    tick_count, report_count = later.ticks - earlier.ticks, later.reports - earlier.reports
    tick_cpu_s = later.tick_cpu_s - earlier.tick_cpu_s
    cpu_s_per_tick = tick_cpu_s / max(1, tick_count)
    cpu_s_per_report = max(0.0, later.cpu_s - earlier.cpu_s - tick_cpu_s) / max(1, report_count)
    cpu_s, waited_s = after.process_usage.cpu_s_since(before.process_usage), after.waited_s - before.waited_s
    return {
        "planner_cores": cpu_s / elapsed_s,
        "planner_cores_needed": fleet_size * REPORTS_PER_S * cpu_s_per_report + TICKS_PER_S * cpu_s_per_tick,
        "planner_cpu_ms_a_tick": 1000 * cpu_s_per_tick,
        "planner_cpu_us_a_report": 1e6 * cpu_s_per_report,
        "planner_ticks_per_s": tick_count / elapsed_s,
        "planner_reports_per_s": report_count / elapsed_s,
        "planner_wait_share": waited_s / max(MIN_DIVISOR, cpu_s + waited_s),
        "planner_resident_bytes": float(after.process_usage.resident_bytes),
    }


def forwarder_figures(fleet_size: int, elapsed_s: float, before: Sequence[Sample], after: Sequence[Sample]) -> Figures:
    """Return the mean rates and costs of a forwarder between two samples of each worker process."""

    def rate_per_forwarder(name: str) -> float:
        growth = sum(
            getattr(later, name) - getattr(earlier, name) for earlier, later in zip(before, after, strict=True)
        )
        return float(growth) / elapsed_s / fleet_size

    sent_per_s, received_per_s = rate_per_forwarder("bytes_out"), rate_per_forwarder("bytes_in")
    heartbeats_per_s = received_per_s - rate_per_forwarder("plan_bytes")
    return {
        "plans_per_s": rate_per_forwarder("plans"),
        "bytes_out_per_s": sent_per_s,
        "bytes_in_per_s": received_per_s,
        # a forwarder exchanges reports and heartbeats with all seven planners, but receives plans only from the leader
        "bytes_per_s_with_seven": DESIGN_PLANNER_COUNT * (sent_per_s + heartbeats_per_s)
        + (received_per_s - heartbeats_per_s),
        "forwarder_cores": rate_per_forwarder("cpu_s"),
        "reporters_share": max(sample.reporters for sample in after) / fleet_size,
        "connected_share": sum(sample.connected for sample in after) / fleet_size,
    }


def avoidance_quantile_s(samples: Sequence[Sample], share: float) -> float:
    """Return the seconds until a share of the hung converter's callers avoided it; infinite if fewer callers do."""
    caller_count = sum(sample.users for sample in samples)
    times_s = sorted(after_s for sample in samples for after_s in sample.avoids_after_s)
    needed_count = -int(-share * caller_count // 1)
    return times_s[needed_count - 1] if caller_count and len(times_s) >= needed_count else float("inf")


def growth_over_linear(by_size: Mapping[int, Mapping[str, float]], name: str) -> float:
    """Return the growth factor of a figure from the second smallest to the largest size, over that of the size."""
    sizes = sorted(by_size)
    second_size, largest_size = sizes[1], sizes[-1]
    return by_size[largest_size][name] / max(MIN_DIVISOR, by_size[second_size][name]) / (largest_size / second_size)


@dataclass(frozen=True, slots=True)
class PlannerProcess:
    """A running planner process, and the file to which it writes its usage."""

    pid: int
    address: tuple[str, int]
    usage_path: Path

    def read(self) -> PlannerReading:
        """Return the current totals of the process.

        Raises OSError or msgspec.MsgspecError if it has exited or has not written its usage yet.
        """
        waited_ns = int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1])
        return PlannerReading(usage(self.pid), instrumented_planner.read_usage(self.usage_path), waited_ns / 1e9)


@asynccontextmanager
async def start_planner(folder: Path, fleet_size: int, seeded_fault: str) -> AsyncIterator[PlannerProcess]:
    """Run a planner that is configured for a fleet size, and kill it on leaving. Raises HarnessError on failure."""
    address = f"127.{find_network()}.254.1", PLANNER_PORT
    config, usage_path = folder / f"planner-{fleet_size}.toml", folder / f"planner-{fleet_size}.usage"
    config.write_text(f'[trust]\nfleet = {fleet_size}\n[planner]\nlisten = "{address[0]}:{address[1]}"\n')
    planner_fault = seeded_fault if seeded_fault in seeded_faults.PLANNER_FAULTS else ""
    with open(folder / f"planner-{fleet_size}.log", "wb") as log:
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
    """A planner and the worker processes that run its forwarders."""

    def __init__(
        self, planner: PlannerProcess, workers: Sequence[lightweight.LightweightProcess], scale: Scale
    ) -> None:
        """Create a fleet from a running planner and running workers. Forwarders are started by `grow`."""
        self.planner = planner
        self.workers = workers
        self.scale = scale

    async def request(self, command: str, **options: Any) -> list[Any]:
        """Send a command to all workers, and return their answers in the order of the workers."""
        return list(await asyncio.gather(*(worker.request(command, **options) for worker in self.workers)))

    async def samples(self) -> list[Sample]:
        """Return a sample of each worker."""
        return [msgspec.convert(answer, Sample) for answer in await self.request("sample")]

    async def grow(self, size: int) -> None:
        """Start forwarders until there are `size`, and wait until all are connected, for at most `CONNECT_TIMEOUT_S`.

        A timeout is not an error here, as the figure `connected_share` shows it.
        """
        await self.request("grow", fleet=size)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + CONNECT_TIMEOUT_S
        while loop.time() < deadline_s and sum(sample.connected for sample in await self.samples()) < size:
            await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)

    async def measure(self, size: int) -> Figures:
        """Measure for `MEASUREMENT_DURATION_S`, and return the figures of the fleet, which has `size` forwarders."""
        samples_before, planner_before = await self.samples(), self.planner.read()
        await asyncio.sleep(MEASUREMENT_DURATION_S[self.scale])
        samples_after, planner_after = await self.samples(), self.planner.read()
        elapsed_s = samples_after[0].at_s - samples_before[0].at_s
        return planner_figures(size, elapsed_s, planner_before, planner_after) | forwarder_figures(
            size, elapsed_s, samples_before, samples_after
        )

    async def hang_converter(self) -> float:
        """Make a converter hang, and return the seconds until `AVOIDING_SHARE` of its callers avoid it due to plans.

        The result is infinite if this takes longer than `AVOID_TIMEOUT_S`.
        """
        await self.request("hang", uid=HUNG_UID)
        avoided_after_s, loop = float("inf"), asyncio.get_running_loop()
        deadline_s = loop.time() + AVOID_TIMEOUT_S[self.scale]
        while avoided_after_s == float("inf") and loop.time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            avoided_after_s = avoidance_quantile_s(await self.samples(), AVOIDING_SHARE)
        return avoided_after_s


class FleetFigures(msgspec.Struct, frozen=True):
    """The figures of a growing fleet."""

    by_size: dict[int, Figures]
    at_largest_size: Figures  # measured only at the largest size


async def measure_fleet(converters_in_use: int, sizes: Sequence[int], trial: TrialConfig) -> FleetFigures:
    """Grow a fleet through `sizes`, which must be ascending, and return its figures."""
    worker_count = WORKER_COUNT[trial.scale]
    async with AsyncExitStack() as stack:
        planner = await stack.enter_async_context(start_planner(trial.folder, sizes[0], trial.seeded_fault))
        workers = []
        for number in range(worker_count):
            config = ForwardersConfig(
                planner.address,
                number,
                worker_count,
                converters_in_use,
                trial.seed,
                min_fleet=sizes[0],
                reports_all=trial.seeded_fault == FULL_REPORTS,
            )
            encoded = msgspec.json.encode(config).decode()
            workers.append(await stack.enter_async_context(lightweight.start_process(WORKER_MODULE, [encoded])))
        for worker in workers:
            await worker.read()
        fleet = Fleet(planner, workers, trial.scale)
        resident_bytes_before = sum(sample.resident for sample in await fleet.samples())
        by_size = {}
        for size in sizes:
            await fleet.grow(size)
            by_size[size] = await fleet.measure(size)
        resident_bytes_after = sum(sample.resident for sample in await fleet.samples())
        # The memory of the worker processes themselves is excluded. In production, a forwarder runs in its sidecar's
        # process, and only adds to the memory of that process.
        at_largest_size = {
            "forwarder_resident_bytes": (resident_bytes_after - resident_bytes_before) / sizes[-1],
            "avoided_after_s": await fleet.hang_converter(),
        }
        return FleetFigures(by_size, at_largest_size)


FITTED_FIGURES = ("planner_cores_needed", "planner_cpu_ms_a_tick", "planner_cpu_us_a_report", "planner_resident_bytes")


def make_figures(converters_in_use: int, by_size: Mapping[int, Figures], at_largest_size: Figures) -> dict[str, float]:
    """Return the figures of a fleet by name, the lines fitted to them, and the costs at the design size.

    The costs at the design size are also returned as shares of their budgets.
    """
    figures = {
        f"{name}_{converters_in_use}_in_use_{size}": value
        for size, size_figures in by_size.items()
        for name, value in size_figures.items()
    }
    figures |= {f"{name}_{converters_in_use}_in_use": value for name, value in at_largest_size.items()}
    sizes = sorted(by_size)
    design_values = {name: by_size[sizes[-1]][name] for name in ("bytes_per_s_with_seven", "forwarder_cores")}
    design_values["forwarder_resident_bytes"] = at_largest_size["forwarder_resident_bytes"]
    for name in FITTED_FIGURES:
        slope = slopes.fit(sizes, [by_size[size][name] for size in sizes])
        prefix = f"fit_{name}_{converters_in_use}_in_use"
        figures |= {f"{prefix}_{key}": float(value) for key, value in msgspec.to_builtins(slope).items()}
        if name in BUDGETS:
            design_values[name] = slope.at(DESIGN_FLEET_SIZE).value
    for name, budget in BUDGETS.items():
        figures[f"design_{name}_{converters_in_use}_in_use"] = design_values[name]
        figures[f"design_share_of_budget_{name}_{converters_in_use}_in_use"] = design_values[name] / budget
    return figures


MAX_AVOID_S = 5.0
MAX_GROWTH_OVER_LINEAR = 1.4
MAX_BYTES_RATIO = 1.15


def make_claims(converters_in_use: int, by_size: Mapping[int, Figures], at_largest_size: Figures) -> list[Claim]:
    """Return the claims on a fleet with `converters_in_use` converters per forwarder."""
    smallest_size, largest_size = min(by_size), max(by_size)
    prefix = f"{converters_in_use} in use, {largest_size} forwarders"
    return [
        Claim(
            f"{prefix}: the planner's wait for a core (share of its time; more: the machine is too busy)",
            max(figures["planner_wait_share"] for figures in by_size.values()),
            "<=",
            MAX_WAIT_SHARE,
        ),
        Claim(f"{prefix}: forwarders connected", by_size[largest_size]["connected_share"], ">=", 1.0),
        Claim(f"{prefix}: share of them that the plan rests on", by_size[largest_size]["reporters_share"], ">=", 0.99),
        Claim(
            f"{prefix}: cores that the planner needs, growth over linear",
            growth_over_linear(by_size, "planner_cores_needed"),
            "<=",
            MAX_GROWTH_OVER_LINEAR,
        ),
        Claim(
            f"{prefix}: planner's memory, growth over linear",
            growth_over_linear(by_size, "planner_resident_bytes"),
            "<=",
            1.0,
        ),
        Claim(
            f"{prefix}: bytes out of a forwarder, over those at {smallest_size}",
            by_size[largest_size]["bytes_out_per_s"] / max(MIN_DIVISOR, by_size[smallest_size]["bytes_out_per_s"]),
            "<=",
            MAX_BYTES_RATIO,
        ),
        Claim(f"{prefix}: 95% avoid a hung converter (s)", at_largest_size["avoided_after_s"], "<=", MAX_AVOID_S),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Measure a fleet for each number of converters in use. Raises InsufficientResourcesError and HarnessError."""
    sizes_by_converters_in_use = SEEDED_FAULT_FLEET_SIZES if trial.seeded_fault else FLEET_SIZES[trial.scale]
    largest_size = max(max(sizes) for sizes in sizes_by_converters_in_use.values())
    check_requirements(
        ResourceRequirements(WORKER_COUNT[trial.scale] + 2, NEEDED_MEMORY_BYTES, largest_size), this_machine()
    )
    claims: list[Claim] = []
    figures = load_figures("before")
    for converters_in_use, sizes in sizes_by_converters_in_use.items():
        fleet_figures = asyncio.run(measure_fleet(converters_in_use, sizes, trial))
        figures |= make_figures(converters_in_use, fleet_figures.by_size, fleet_figures.at_largest_size)
        claims += make_claims(converters_in_use, fleet_figures.by_size, fleet_figures.at_largest_size)
    figures |= load_figures("after")
    return Measurement(claims, finite_figures(figures))


EXPERIMENT = Benchmark(
    name="scale-control",
    description="one planner as up to 1,600 hollow forwarders report to it",
    measure=measure,
    seeded_faults=(FULL_REPORTS, "recount"),
)
