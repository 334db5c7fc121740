"""`scale-call`: what does a call through a sidecar cost, by the number of known converters and the rate of calls?

An open-loop client calls converters through a real sidecar and, for comparison, directly. The converters answer at
once. A separate short run under a profiler shows which functions take the CPU time, and `balancer_cost` measures the
CPU time of the balancer's decisions alone. Claims: calls are served, and the CPU time of a call grows by at most
`MAX_US_PER_KNOWN_CONVERTER` with each further known converter. The CPU times are reliable. Latencies depend on how busy
the machine is, so the share of time that the sidecar waited for a core is reported with them.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import pstats
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import msgspec
import numpy as np

from ryepier.emulator import draws, files
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.harness import SIDECAR_COMMAND
from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import CONVERTER_PORT, DISCOVERY_PORT, SIDECAR_PORT
from ryepier.emulator.world import Effect, World
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.machine import ResourceRequirements, check_requirements, this_machine
from ryepier.experiments.core.processes import wait_until_listening
from ryepier.experiments.core.worlds import load
from ryepier.experiments.scale import lightweight, slopes
from ryepier.experiments.scale.balancer_cost import balancer_us_per_call
from ryepier.experiments.scale.call_client import MAX_CONNECTIONS, REQUEST, Target
from ryepier.experiments.scale.lightweight_converters import ConvertersConfig, make_list
from ryepier.experiments.scale.machine_load import finite_figures, load_figures
from ryepier.sidecar.system import Address

KNOWN_COUNTS = (30, 150, 400, 1600)  # numbers of converters that a sidecar knows
DESIGN_KNOWN_COUNT = 1600
DESIGN_RATE_PER_S = 369  # calls of one sidecar at the design size
ADDED_P99_BUDGET_MS = 0.33  # latency that a sidecar may add to a call, at the 99th percentile
KNOWN_COUNTS_WITH_ALL_PHASES = (30, 1600)  # at the small scale, the other counts run only the first phase


class Phase(NamedTuple):
    """A rate of calls, with the durations of its warm-up and of its measurement.

    How many upstreams a sidecar needs depends on its rate of calls over the last 5 s. At the end of the warm-up, it has
    opened half of these upstreams at the small scale, and all of them at the full scale.
    """

    rate_per_s: int
    warm_up_s: float
    duration_s: float


PHASES: dict[Scale, tuple[Phase, ...]] = {
    Scale.SMALL: (
        Phase(DESIGN_RATE_PER_S, 2.5, 2.0),
        Phase(2 * DESIGN_RATE_PER_S, 0.8, 1.2),
        Phase(4 * DESIGN_RATE_PER_S, 0.8, 1.2),
    ),
    Scale.FULL: tuple(Phase(factor * DESIGN_RATE_PER_S, 15.0, 20.0) for factor in (1, 2, 4)),
}
PROFILED_KNOWN_COUNTS = (30, 1600)
PROFILE_DURATION_S = {Scale.SMALL: 2.0, Scale.FULL: 20.0}
MAX_PROFILED_FUNCTIONS = 8
PROFILED_FOLDERS = ("ryepier/balancer", "ryepier/sidecar")
EXIT_TIMEOUT_S = 15.0
NEEDED_MEMORY_BYTES = 1_000_000_000
MAX_US_PER_KNOWN_CONVERTER = 2.0  # most CPU time that each further known converter may add to a call
MIN_SERVED_SHARE = 0.99


class CpuTime(NamedTuple):
    """The CPU time of a process, and the time in which it was runnable but waited for a core, in nanoseconds."""

    used_ns: int
    waited_ns: int

    def since(self, earlier: CpuTime) -> CpuTime:
        """Return the time used and the time waited since an earlier reading."""
        return CpuTime(self.used_ns - earlier.used_ns, self.waited_ns - earlier.waited_ns)


class FunctionCost(NamedTuple):
    """The CPU time of a function without its callees, in microseconds per call through the sidecar."""

    name: str
    us_per_call: float


@dataclass(slots=True)
class Sidecar:
    """A sidecar under test, and the target through which the client calls it."""

    known_count: int
    process: subprocess.Popen[bytes]
    target: Target

    def cpu_time(self) -> CpuTime:
        """Return the CPU time of the sidecar's only thread."""
        used_ns, waited_ns, _ = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        return CpuTime(int(used_ns), int(waited_ns))


LIMITS: Mapping[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 4096}


def make_configuration(
    seed: int,
    known_count: int,
    listen: Address,
    agent: Address,
    converters: Address,
    limits: Mapping[str, float] = LIMITS,
) -> str:
    """Return the JSON configuration of a sidecar, in the platform's format."""
    world: World = load("steady")
    world = msgspec.structs.replace(
        world,
        sidecars=msgspec.structs.replace(world.sidecars, count=1),
        clients=msgspec.structs.replace(world.clients, rate_per_s=float(DESIGN_RATE_PER_S)),
        classes=[msgspec.structs.replace(world.classes[0], share=1.0, effect=Effect.IDEMPOTENT)],
    )
    settings = files.sidecar_settings(world, 0)
    # idle connections stay open during the whole run, so the measured cost includes no opening of new ones
    settings["bounds"]["conn-idle"] = 60_000_000
    return json.dumps(
        {
            "name": f"n{known_count}",
            "listen": f"{listen[0]}:{listen[1]}",
            "discovery": f"{agent[0]}:{agent[1]}",
            "seed": f"{seed * 1000 + known_count:x}",
            "known": make_list(known_count, converters),
            "limits": limits,
            "settings": settings,
        }
    )


@dataclass(frozen=True, slots=True)
class CallTrial:
    """Starts the sidecars of one trial, and holds the addresses, folder and seed that they use."""

    network: int
    folder: Path
    seed: int

    @property
    def converters_address(self) -> Address:
        """Return the address that all converters share."""
        return f"127.{self.network}.0.1", CONVERTER_PORT

    def agent_address(self, known_count: int) -> Address:
        """Return the address of the discovery agent that lists `known_count` converters."""
        return f"127.{self.network}.252.{KNOWN_COUNTS.index(known_count) + 1}", DISCOVERY_PORT

    @asynccontextmanager
    async def start_sidecar(self, known_count: int, command: Sequence[str]) -> AsyncIterator[Sidecar]:
        """Start a sidecar, wait until it listens, and kill it on leaving. Raises HarnessError if it does not start."""
        listen = f"127.{self.network}.253.{KNOWN_COUNTS.index(known_count) + 1}", SIDECAR_PORT
        config = self.folder / f"sidecar-{known_count}.json"
        config.write_text(
            make_configuration(self.seed, known_count, listen, self.agent_address(known_count), self.converters_address)
        )
        with open(self.folder / f"sidecar-{known_count}.log", "wb") as log:
            process = subprocess.Popen(
                command, env=os.environ | {"BALANCER_CONFIG": str(config)}, stdout=log, stderr=log
            )
        try:
            await wait_until_listening(process, listen, "a sidecar")
            yield Sidecar(known_count, process, Target(listen, REQUEST))
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()


def latency_percentile_ms(target: Target, percentile: float) -> float:
    """Return a latency percentile of the phase's answered calls; infinite if none was answered."""
    return float(np.percentile(target.latencies_us, percentile)) / 1000 if target.latencies_us else float("inf")


def phase_figures(
    phase_name: str, duration_s: float, sidecar_target: Target, direct_target: Target, cpu_time: CpuTime
) -> dict[str, float]:
    """Return the figures of a phase: the sidecar's CPU time, and the latencies of calls through it and of direct calls.

    `phase_name` is part of each figure's name.
    """
    used_ns, waited_ns = cpu_time
    figures = {
        # divided by answered calls: a sidecar that can't keep up would seem cheap per call that was sent
        f"cpu_us_a_call_{phase_name}": used_ns / 1000 / max(1, len(sidecar_target.latencies_us)),
        f"cores_{phase_name}": used_ns / 1e9 / duration_s,
        f"wait_share_{phase_name}": waited_ns / max(1, used_ns + waited_ns),
        f"answered_share_{phase_name}": len(sidecar_target.latencies_us) / max(1, sidecar_target.due_count),
        f"served_share_{phase_name}": sidecar_target.served_count / max(1, len(sidecar_target.latencies_us)),
    }
    for percentile in (50, 99):
        sidecar_ms, direct_ms = (
            latency_percentile_ms(sidecar_target, percentile),
            latency_percentile_ms(direct_target, percentile),
        )
        figures |= {
            f"p{percentile}_ms_{phase_name}": sidecar_ms,
            f"direct_p{percentile}_ms_{phase_name}": direct_ms,
            f"added_p{percentile}_ms_{phase_name}": sidecar_ms - direct_ms,
        }
    return figures


async def run_phase(trial: CallTrial, phase: Phase, sidecar: Sidecar, direct_target: Target) -> dict[str, float]:
    """Make calls at the phase's rate, first as a warm-up and then measured, and return the figures."""
    rate_per_s = phase.rate_per_s
    sidecar_random = draws.stream(trial.seed, f"calls {rate_per_s} {sidecar.known_count} through")
    direct_random = draws.stream(trial.seed, f"calls {rate_per_s} {sidecar.known_count} direct")

    async def run_calls(duration_s: float) -> None:
        await asyncio.gather(
            sidecar.target.run(rate_per_s, duration_s, sidecar_random),
            direct_target.run(rate_per_s, duration_s, direct_random),
        )

    await run_calls(phase.warm_up_s)
    sidecar.target.reset()
    direct_target.reset()
    cpu_before = sidecar.cpu_time()
    await run_calls(phase.duration_s)
    cpu_time = sidecar.cpu_time().since(cpu_before)
    phase_name = f"{rate_per_s}_per_s_{sidecar.known_count}_known"
    return phase_figures(phase_name, phase.duration_s, sidecar.target, direct_target, cpu_time)


def top_functions(profile_path: Path, call_count: int) -> list[FunctionCost]:
    """Return the functions of `PROFILED_FOLDERS` that took the most CPU time in a profile, in descending order."""
    stats = pstats.Stats(str(profile_path))
    us_per_call: dict[str, float] = {}
    for (file, line_number, function), (_, _, own_s, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        if not Path(file).parent.as_posix().endswith(PROFILED_FOLDERS):
            continue
        # comprehensions and lambdas have no name of their own
        line_suffix = f"_line_{line_number}" if function.startswith("<") else ""
        name = f"{Path(file).stem}.{function.strip('<>')}{line_suffix}"
        us_per_call[name] = us_per_call.get(name, 0.0) + own_s * 1e6 / max(1, call_count)
    costs = [FunctionCost(name, own_us) for name, own_us in us_per_call.items()]
    return sorted(costs, key=lambda cost: -cost.us_per_call)[:MAX_PROFILED_FUNCTIONS]


async def wait_for_exit(sidecars: Sequence[Sidecar]) -> None:
    """Wait until the sidecars have exited. Raises HarnessError after `EXIT_TIMEOUT_S`."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + EXIT_TIMEOUT_S
    while any(sidecar.process.poll() is None for sidecar in sidecars):
        if loop.time() > deadline_s:
            raise HarnessError("a profiled sidecar did not exit in time after SIGTERM")
        await asyncio.sleep(0.05)


async def profile(trial: CallTrial, scale: Scale, stack: AsyncExitStack, seeded_fault: str) -> dict[str, float]:
    """Call two sidecars that run under a profiler, and return the CPU time of their most expensive functions.

    The times include the profiler's overhead, so they are only useful to compare functions with each other.
    """
    figures: dict[str, float] = {}
    sidecars = []
    for known_count in PROFILED_KNOWN_COUNTS:
        profile_path = trial.folder / f"profile-{known_count}"
        module_arguments = (
            seeded_faults.command_with_fault(seeded_fault)[2:] if seeded_fault else list(SIDECAR_COMMAND[2:])
        )
        command = [sys.executable, "-B", "-m", "cProfile", "-o", str(profile_path), *module_arguments]
        sidecars.append(await stack.enter_async_context(trial.start_sidecar(known_count, command)))
    await asyncio.gather(
        *(
            sidecar.target.run(
                DESIGN_RATE_PER_S, PROFILE_DURATION_S[scale], draws.stream(trial.seed, f"profile {sidecar.known_count}")
            )
            for sidecar in sidecars
        )
    )
    for sidecar in sidecars:
        sidecar.process.send_signal(signal.SIGTERM)
    await wait_for_exit(sidecars)
    for sidecar in sidecars:
        for cost in top_functions(trial.folder / f"profile-{sidecar.known_count}", len(sidecar.target.latencies_us)):
            figures[f"profile_us_a_call_{sidecar.known_count}_known_{cost.name}"] = cost.us_per_call
    return figures


def phases_of(known_count: int, scale: Scale) -> Sequence[Phase]:
    """Return the phases that run with `known_count` known converters."""
    if known_count in KNOWN_COUNTS_WITH_ALL_PHASES or scale is Scale.FULL:
        return PHASES[scale]
    return PHASES[scale][:1]


async def measure_sidecars(seed: int, scale: Scale, folder: Path, seeded_fault: str) -> dict[str, float]:
    """Run all phases and then the profiled sidecars, and return their figures."""
    trial = CallTrial(find_network(), folder, seed)
    async with AsyncExitStack() as stack:
        config = ConvertersConfig(
            trial.converters_address, {known_count: trial.agent_address(known_count) for known_count in KNOWN_COUNTS}
        )
        encoded = msgspec.json.encode(config).decode()
        converters_process = await stack.enter_async_context(
            lightweight.start_process("ryepier.experiments.scale.lightweight_converters", [encoded])
        )
        await converters_process.read()
        command = seeded_faults.command_with_fault(seeded_fault) if seeded_fault else SIDECAR_COMMAND
        figures: dict[str, float] = {}
        gc.collect()
        gc.freeze()  # a full garbage collection of this process would delay its calls
        for known_count in KNOWN_COUNTS:
            async with trial.start_sidecar(known_count, command) as sidecar:
                direct_target = Target(trial.converters_address, REQUEST)
                for phase in phases_of(known_count, scale):
                    figures |= await run_phase(trial, phase, sidecar, direct_target)
        return figures | await profile(trial, scale, stack, seeded_fault)


def summarize(figures: Mapping[str, float]) -> dict[str, float]:
    """Return lines fitted to a call's CPU time at the design rate, and the added latency as a share of its budget."""
    result: dict[str, float] = {}
    for name, template in (
        ("cpu", f"cpu_us_a_call_{DESIGN_RATE_PER_S}_per_s_{{}}_known"),
        ("module", "module_us_a_call_{}_known"),
    ):
        line = slopes.fit(KNOWN_COUNTS, [figures[template.format(known_count)] for known_count in KNOWN_COUNTS])
        result |= {f"fit_{name}_us_a_call_{key}": float(value) for key, value in msgspec.to_builtins(line).items()}
    name = f"added_p99_ms_{DESIGN_RATE_PER_S}_per_s_{DESIGN_KNOWN_COUNT}_known"
    result["design_share_of_budget_added_p99_ms"] = figures[name] / ADDED_P99_BUDGET_MS
    return result


def make_claims(figures: Mapping[str, float]) -> list[Claim]:
    """Return the claims on the figures."""
    smallest_known_count = KNOWN_COUNTS[0]
    return [
        Claim(
            f"share of calls served at {DESIGN_RATE_PER_S} a second, {smallest_known_count} known",
            figures[f"served_share_{DESIGN_RATE_PER_S}_per_s_{smallest_known_count}_known"],
            ">=",
            MIN_SERVED_SHARE,
        ),
        Claim(
            "CPU a call for each further known converter (us)",
            figures["fit_cpu_us_a_call_per_unit"],
            "<=",
            MAX_US_PER_KNOWN_CONVERTER,
        ),
        # a separate claim bounds the balancer's own cost, because an overloaded sidecar spends more CPU time per call
        Claim(
            "of it, the module's part by itself (us)",
            figures["fit_module_us_a_call_per_unit"],
            "<=",
            MAX_US_PER_KNOWN_CONVERTER,
        ),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Run the benchmark. Raises InsufficientResourcesError and HarnessError."""
    check_requirements(ResourceRequirements(4, NEEDED_MEMORY_BYTES, 3 * MAX_CONNECTIONS), this_machine())
    if trial.seeded_fault:
        # needed in this process as well, because `balancer_us_per_call` measures a balancer that runs in it
        seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
    figures = load_figures("before")
    figures |= {
        f"module_us_a_call_{known_count}_known": balancer_us_per_call(known_count, trial.seed, DESIGN_RATE_PER_S)
        for known_count in KNOWN_COUNTS
    }
    figures |= asyncio.run(measure_sidecars(trial.seed, trial.scale, trial.folder, trial.seeded_fault))
    figures |= load_figures("after")
    figures |= summarize(figures)
    return Measurement(make_claims(figures), finite_figures(figures))


EXPERIMENT = Benchmark(
    name="scale-call",
    description="CPU and added time of a call through a sidecar that knows 30 to 1,600",
    measure=measure,
    seeded_faults=("scan",),
)
