"""What one planner costs as the fleet grows: its CPU and its bytes at 50, 200 and 1,000 forwarders.

The forwarders are simulated: many connections in this process that speak the protocol, each with its own reports of a
share of the converters. The planner is a process of its own, as in service.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import time
from collections.abc import Sequence
from pathlib import Path

import numpy as np

from ryepier.emulator import draws
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.harness import PLANNER
from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import PLANNER_PORT
from ryepier.emulator.process_usage import TICKS_PER_S
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.plan.messages import VERSION, ConverterCounters, FrameDecoder, Hello, Plan, Report, encode

SIZES = (50, 200, 1000)
CONVERTERS = 100
IN_USE = 12  # converters that one forwarder has to do with, as the module opens slots to few
REPORT_S = 0.5
SETTLE_S = 3.0
MEASURE_S = {"small": 5.0, "full": 30.0}
UP_WITHIN_S = 10.0


class Simulated:
    """One forwarder's connection: reports that grow, and what comes back."""

    def __init__(self, index: int, random: np.random.Generator, whole: bool) -> None:
        self.name = f"f{index}"
        mine = random.choice(CONVERTERS, size=CONVERTERS if whole else IN_USE, replace=False)
        self.seen = {f"c-{uid:04x}": ConverterCounters() for uid in mine}
        self.random = random
        self.number = 0
        self.bytes_in = self.bytes_out = self.plans = 0

    def report(self) -> bytes:
        self.number += 1
        for uid, old in self.seen.items():
            count = int(self.random.poisson(2.0))
            self.seen[uid] = ConverterCounters(
                old.attempts + count, old.served + count, old.failed, old.rejected, (0, 0, 0, 0, 0, old.served + count)
            )
        return encode(Report(self.number, CONVERTERS, self.seen, {}, [self.number * 10], [self.number * 10], 0))

    async def run(self, address: tuple[str, int]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        frames = FrameDecoder()

        async def read() -> None:
            while data := await reader.read(65_536):
                self.bytes_in += len(data)
                self.plans += sum(isinstance(message, Plan) for message in frames.feed(data))

        reading = asyncio.create_task(read())
        try:
            writer.write(encode(Hello(VERSION, self.name, 1)))
            await asyncio.sleep(REPORT_S * self.random.random())
            while True:
                data = self.report()
                self.bytes_out += len(data)
                writer.write(data)
                await asyncio.sleep(REPORT_S)
        finally:
            reading.cancel()
            writer.close()


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def until_up(process: subprocess.Popen[bytes], address: tuple[str, int], who: str = "the planner") -> None:
    """Until it takes connections. Raises HarnessError that names `who` did not come up."""
    ends = time.monotonic() + UP_WITHIN_S
    while time.monotonic() < ends and process.poll() is None:
        try:
            _, writer = await asyncio.open_connection(*address)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.05)
    raise HarnessError(f"{who} did not come up")


async def measure(
    process: subprocess.Popen[bytes], address: tuple[str, int], count: int, seed: int, for_s: float, whole: bool
) -> dict[str, float]:
    """Figures of one planner with so many forwarders."""
    await until_up(process, address)
    made = [Simulated(i, draws.stream(seed, f"forwarder {i}"), whole) for i in range(count)]
    tasks = [asyncio.create_task(one.run(address)) for one in made]
    try:
        await asyncio.sleep(SETTLE_S)
        before = cpu_s(process.pid), time.monotonic(), *_sums(made)
        await asyncio.sleep(for_s)
        after = cpu_s(process.pid), time.monotonic(), *_sums(made)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    spent = [late - early for early, late in zip(before, after, strict=True)]
    return {
        "cores": spent[0] / spent[1],
        "bytes_in_per_s": spent[2] / spent[1],
        "bytes_out_per_s": spent[3] / spent[1],
        "plans_per_s_a_forwarder": spent[4] / spent[1] / count,
    }


def _sums(made: Sequence[Simulated]) -> tuple[int, int, int]:
    return (sum(one.bytes_out for one in made), sum(one.bytes_in for one in made), sum(one.plans for one in made))


def one_size(count: int, seed: int, scale: Scale, folder: Path, whole: bool) -> dict[str, float]:
    address = f"127.{find_network()}.254.1", PLANNER_PORT
    config = folder / f"planner-{count}.toml"
    config.write_text(f'[trust]\nfleet = {count}\n[planner]\nlisten = "{address[0]}:{address[1]}"\n')
    with open(folder / f"planner-{count}.log", "wb") as log:
        process = subprocess.Popen([*PLANNER, "--config", str(config)], stdout=log, stderr=log, env=os.environ)
    try:
        return asyncio.run(measure(process, address, count, seed, MEASURE_S[scale], whole))
    finally:
        process.kill()
        process.wait()


def perform(trial: TrialConfig) -> Measurement:
    """All sizes, one after another."""
    rows = {
        count: one_size(count, trial.seed, trial.scale, trial.folder, trial.seeded_fault == "whole-reports")
        for count in SIZES
    }
    figures = {f"{name}_{count}": value for count, row in rows.items() for name, value in row.items()}
    most, few = rows[SIZES[-1]], rows[SIZES[-2]]
    growth = most["cores"] / max(1e-3, few["cores"]) / (SIZES[-1] / SIZES[-2])
    figures["cores_growth_200_to_1000_over_linear"] = growth
    claims = [
        Claim("planner's cores at 1,000 forwarders", most["cores"], "<=", 0.9),
        Claim("growth of its CPU from 200 to 1,000 over linear", growth, "<=", 1.4),
        Claim("bytes a second to a planner, a forwarder", most["bytes_in_per_s"] / SIZES[-1], "<=", 1500),
        Claim("plans a second that each of 1,000 forwarders gets", most["plans_per_s_a_forwarder"], ">=", 1.5),
    ]
    return Measurement(claims, figures)


EXPERIMENTS = (
    Benchmark(
        "planner-scale",
        "a planner's CPU and bytes at 50, 200 and 1,000 simulated forwarders",
        perform,
        ("whole-reports",),
    ),
)
