"""Benchmark `planner-scale`: growth of a planner's CPU time and traffic with the number of forwarders.

One planner process serves 50, 200 and 1,000 forwarders. The forwarders are simulated by this process: each is a
connection that speaks the protocol and reports on a few of the converters. The claims bound the planner's CPU time at
1,000 forwarders, the growth of the CPU time from 200 to 1,000 forwarders relative to linear growth, and the traffic per
forwarder. They also require that each forwarder gets plans at the usual rate.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from ryepier.emulator import draws
from ryepier.emulator.harness import PLANNER_COMMAND
from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import PLANNER_PORT
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.processes import wait_until_listening
from ryepier.experiments.core.usage import usage
from ryepier.plan.messages import VERSION, ConverterCounters, FrameDecoder, Hello, Plan, Report, encode

FLEET_SIZES = (50, 200, 1000)  # numbers of forwarders
CONVERTER_COUNT = 100
REPORTED_CONVERTER_COUNT = 12  # per forwarder; a sidecar uses only a few converters at a time
REPORT_INTERVAL_S = 0.5
ATTEMPTS_PER_REPORT = 2.0  # mean number of new attempts per reported converter
WARM_UP_S = 3.0  # time between the start of the forwarders and the measurement
MEASUREMENT_S = {Scale.SMALL: 5.0, Scale.FULL: 30.0}  # duration of the measurement
READ_BYTES = 65_536
FULL_REPORTS_FAULT = "whole-reports"  # seeded fault: forwarders report on all converters
MAX_CORES = 0.9
MAX_GROWTH_OVER_LINEAR = 1.4  # growth of the CPU time relative to the growth of the fleet
MAX_BYTES_PER_S_PER_FORWARDER = 1500
MIN_PLANS_PER_S = 1.5
MIN_CORES = 1e-3  # minimum divisor, to avoid a division by zero


class SimulatedForwarder:
    """A connection that sends reports with growing counters like a forwarder, and counts received plans and bytes."""

    def __init__(self, index: int, random: np.random.Generator, reports_all: bool) -> None:
        """Start unconnected, with a random choice of converters to report on; all of them if `reports_all` is set."""
        self.name = f"f{index}"
        count = CONVERTER_COUNT if reports_all else REPORTED_CONVERTER_COUNT
        chosen_converters = random.choice(CONVERTER_COUNT, size=count, replace=False)
        self.counters = {f"c-{converter:04x}": ConverterCounters() for converter in chosen_converters}
        self.random = random
        self.report_number = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.plan_count = 0

    def make_report(self) -> bytes:
        """Return the next report, encoded."""
        self.report_number += 1
        for uid, counters in self.counters.items():
            count = int(self.random.poisson(ATTEMPTS_PER_REPORT))
            served = counters.served + count
            self.counters[uid] = ConverterCounters(
                counters.attempts + count, served, counters.failed, counters.rejected, (0, 0, 0, 0, 0, served)
            )
        arrivals = [self.report_number * 10]
        return encode(Report(self.report_number, CONVERTER_COUNT, self.counters, {}, arrivals, arrivals, 0))

    async def run(self, address: tuple[str, int]) -> None:
        """Connect and send reports until cancelled."""
        reader, writer = await asyncio.open_connection(*address)
        receive_task = asyncio.create_task(self._receive(reader))
        try:
            writer.write(encode(Hello(VERSION, self.name, 1)))
            await asyncio.sleep(REPORT_INTERVAL_S * self.random.random())
            while True:
                report = self.make_report()
                self.bytes_out += len(report)
                writer.write(report)
                await asyncio.sleep(REPORT_INTERVAL_S)
        finally:
            receive_task.cancel()
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        frame_decoder = FrameDecoder()
        while data := await reader.read(READ_BYTES):
            self.bytes_in += len(data)
            self.plan_count += sum(isinstance(message, Plan) for message in frame_decoder.feed(data))


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """Totals of a fleet and its planner at a point in time."""

    at_s: float
    planner_cpu_s: float
    bytes_to_planner: int
    bytes_from_planner: int
    plan_count: int


def read_totals(pid: int, forwarders: Sequence[SimulatedForwarder]) -> FleetTotals:
    """Return the current totals of the forwarders and of the planner with this process id."""
    return FleetTotals(
        planner_cpu_s=usage(pid).cpu_s,
        at_s=time.monotonic(),
        bytes_to_planner=sum(forwarder.bytes_out for forwarder in forwarders),
        bytes_from_planner=sum(forwarder.bytes_in for forwarder in forwarders),
        plan_count=sum(forwarder.plan_count for forwarder in forwarders),
    )


@dataclass(frozen=True, slots=True)
class PlannerRates:
    """CPU and traffic rates of a planner that serves a fleet of a given size."""

    cores: float
    bytes_in_per_s: float
    bytes_out_per_s: float
    plans_per_s_per_forwarder: float

    @classmethod
    def between(cls, before: FleetTotals, after: FleetTotals, fleet_size: int) -> PlannerRates:
        """Return the rates between two readings of a fleet's totals."""
        elapsed_s = after.at_s - before.at_s
        return cls(
            (after.planner_cpu_s - before.planner_cpu_s) / elapsed_s,
            (after.bytes_to_planner - before.bytes_to_planner) / elapsed_s,
            (after.bytes_from_planner - before.bytes_from_planner) / elapsed_s,
            (after.plan_count - before.plan_count) / elapsed_s / fleet_size,
        )

    def as_figures(self, fleet_size: int) -> dict[str, float]:
        """Return the figures of result.json."""
        return {
            f"cores_{fleet_size}": self.cores,
            f"bytes_in_per_s_{fleet_size}": self.bytes_in_per_s,
            f"bytes_out_per_s_{fleet_size}": self.bytes_out_per_s,
            f"plans_per_s_a_forwarder_{fleet_size}": self.plans_per_s_per_forwarder,
        }


async def _measure_planner(
    process: subprocess.Popen[bytes], address: tuple[str, int], fleet_size: int, trial: TrialConfig
) -> PlannerRates:
    await wait_until_listening(process, address, "the planner")
    reports_all = trial.seeded_fault == FULL_REPORTS_FAULT
    forwarders = [
        SimulatedForwarder(index, draws.stream(trial.seed, f"forwarder {index}"), reports_all)
        for index in range(fleet_size)
    ]
    tasks = [asyncio.create_task(forwarder.run(address)) for forwarder in forwarders]
    try:
        await asyncio.sleep(WARM_UP_S)
        before = read_totals(process.pid, forwarders)
        await asyncio.sleep(MEASUREMENT_S[trial.scale])
        after = read_totals(process.pid, forwarders)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return PlannerRates.between(before, after, fleet_size)


def measure_fleet(fleet_size: int, trial: TrialConfig) -> PlannerRates:
    """Start a planner, run a fleet of one size against it, and return the planner's rates."""
    address = f"127.{find_network()}.254.1", PLANNER_PORT
    config_path = trial.folder / f"planner-{fleet_size}.toml"
    config_path.write_text(f'[trust]\nfleet = {fleet_size}\n[planner]\nlisten = "{address[0]}:{address[1]}"\n')
    with open(trial.folder / f"planner-{fleet_size}.log", "wb") as log:
        process = subprocess.Popen(
            [*PLANNER_COMMAND, "--config", str(config_path)], stdout=log, stderr=log, env=os.environ
        )
    try:
        return asyncio.run(_measure_planner(process, address, fleet_size, trial))
    finally:
        process.kill()
        process.wait()


def measure(trial: TrialConfig) -> Measurement:
    """Measure all fleet sizes, one after another."""
    rates = {size: measure_fleet(size, trial) for size in FLEET_SIZES}
    figures: dict[str, float] = {}
    for size, rate in rates.items():
        figures |= rate.as_figures(size)
    middle_size, largest_size = FLEET_SIZES[-2:]
    largest_rates = rates[largest_size]
    growth = largest_rates.cores / max(MIN_CORES, rates[middle_size].cores) / (largest_size / middle_size)
    figures["cores_growth_200_to_1000_over_linear"] = growth
    bytes_per_s = largest_rates.bytes_in_per_s / largest_size
    plans_per_s = largest_rates.plans_per_s_per_forwarder
    claims = [
        Claim("planner's cores at 1,000 forwarders", largest_rates.cores, "<=", MAX_CORES),
        Claim("growth of its CPU from 200 to 1,000 over linear", growth, "<=", MAX_GROWTH_OVER_LINEAR),
        Claim("bytes a second to a planner, a forwarder", bytes_per_s, "<=", MAX_BYTES_PER_S_PER_FORWARDER),
        Claim("plans a second that each of 1,000 forwarders gets", plans_per_s, ">=", MIN_PLANS_PER_S),
    ]
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="planner-scale",
    description="a planner's CPU and bytes at 50, 200 and 1,000 simulated forwarders",
    measure=measure,
    seeded_faults=(FULL_REPORTS_FAULT,),
)
