"""`scale-call`: what does a call through a sidecar cost, by the number of known converters and the rate of calls?

Set-up: a real sidecar is called open-loop, and for comparison the converters, which answer at once. A separate
short run under a profile shows which functions take the time, and `balancer_cost` the cost of the decisions alone.
Claims: calls are served, and CPU grows by at most `MAX_US_PER_KNOWN` with each further converter. Rely on the CPU;
times come with the sidecar's wait for a core, as on a busy machine they are the machine's.
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
from ryepier.emulator.harness import SIDECAR
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

KNOWN = (30, 150, 400, 1600)
DESIGN_KNOWN = 1600
DESIGN_PER_S = 369
ADDED_BUDGET_MS = 0.33  # for 99 in 100
SMALLEST_AND_LARGEST = (30, 1600)  # of the numbers known; at the others the small scale plays the first rate alone


class Phase(NamedTuple):
    """A rate of calls per second, and for how long it is called before and while that is measured.

    A sidecar opens upstreams by its rate over 5 s: at the small scale it has opened half of them, at the full one all.
    """

    rate_per_s: int
    warm_up_s: float
    duration_s: float


PHASES: dict[Scale, tuple[Phase, ...]] = {
    Scale.SMALL: (Phase(DESIGN_PER_S, 2.5, 2.0), Phase(2 * DESIGN_PER_S, 0.8, 1.2), Phase(4 * DESIGN_PER_S, 0.8, 1.2)),
    Scale.FULL: tuple(Phase(factor * DESIGN_PER_S, 15.0, 20.0) for factor in (1, 2, 4)),
}
PROFILED = (30, 1600)
PROFILED_S = {Scale.SMALL: 2.0, Scale.FULL: 20.0}
PROFILED_FUNCTIONS = 8
OWN_FOLDERS = ("ryepier/balancer", "ryepier/sidecar")
SHUTDOWN_TIMEOUT_S = 15.0
BYTES_NEEDED = 1_000_000_000
MAX_US_PER_KNOWN = 2.0  # CPU of a call for each further known converter
MIN_SERVED_SHARE = 0.99


class CpuTime(NamedTuple):
    """What a process has used of a core, and how long it has waited for one, in ns."""

    used_ns: int
    waited_ns: int

    def since(self, earlier: CpuTime) -> CpuTime:
        """Return what was added since an earlier reading."""
        return CpuTime(self.used_ns - earlier.used_ns, self.waited_ns - earlier.waited_ns)


class FunctionCost(NamedTuple):
    """The time of a function, without what it calls, in us per call through the sidecar."""

    name: str
    us_per_call: float


@dataclass(slots=True)
class Sidecar:
    """A sidecar under test, and the client that calls it."""

    known: int
    process: subprocess.Popen[bytes]
    target: Target

    def cpu_time(self) -> CpuTime:
        """Return the CPU time of its one thread."""
        used, waited, _ = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        return CpuTime(int(used), int(waited))


def make_configuration(seed: int, known: int, listen: Address, agent: Address, converters: Address) -> str:
    """Return the platform's configuration of one sidecar, as JSON."""
    world: World = load("steady")
    world = msgspec.structs.replace(
        world,
        sidecars=msgspec.structs.replace(world.sidecars, count=1),
        clients=msgspec.structs.replace(world.clients, rate_per_s=float(DESIGN_PER_S)),
        classes=[msgspec.structs.replace(world.classes[0], share=1.0, effect=Effect.IDEMPOTENT)],
    )
    settings = files.sidecar_settings(world, 0)
    settings["bounds"]["conn-idle"] = 60_000_000  # no connection is made again, which would be another cost
    return json.dumps(
        {
            "name": f"n{known}",
            "listen": f"{listen[0]}:{listen[1]}",
            "discovery": f"{agent[0]}:{agent[1]}",
            "seed": f"{seed * 1000 + known:x}",
            "known": make_list(known, converters),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "settings": settings,
        }
    )


@dataclass(frozen=True, slots=True)
class CallTrial:
    """The addresses of one trial, and how its sidecars are started."""

    network: int
    folder: Path
    seed: int

    @property
    def converters(self) -> Address:
        """Return the address of all converters."""
        return f"127.{self.network}.0.1", CONVERTER_PORT

    def agent(self, known: int) -> Address:
        """Return the address of the discovery with so many converters."""
        return f"127.{self.network}.252.{KNOWN.index(known) + 1}", DISCOVERY_PORT

    @asynccontextmanager
    async def sidecar(self, known: int, command: Sequence[str]) -> AsyncIterator[Sidecar]:
        """Run a sidecar that listens. Raises HarnessError if it does not start."""
        listen = f"127.{self.network}.253.{KNOWN.index(known) + 1}", SIDECAR_PORT
        config = self.folder / f"sidecar-{known}.json"
        config.write_text(make_configuration(self.seed, known, listen, self.agent(known), self.converters))
        with open(self.folder / f"sidecar-{known}.log", "wb") as log:
            process = subprocess.Popen(
                command, env=os.environ | {"BALANCER_CONFIG": str(config)}, stdout=log, stderr=log
            )
        try:
            await wait_until_listening(process, listen, "a sidecar")
            yield Sidecar(known, process, Target(listen, REQUEST))
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()


def percentile_ms(target: Target, percentile: float) -> float:
    """Return a percentile of the answered calls of this phase; infinite if none was answered."""
    return float(np.percentile(target.took_us, percentile)) / 1000 if target.took_us else float("inf")


def phase_figures(name: str, duration_s: float, target: Target, direct: Target, cpu: CpuTime) -> dict[str, float]:
    """Return the figures of calls at one rate: the sidecar's CPU, and times beside the direct ones of the same time."""
    used_ns, waited_ns = cpu
    found = {
        # per answer, not per call: a sidecar that can't keep up would seem cheap
        f"cpu_us_a_call_{name}": used_ns / 1000 / max(1, len(target.took_us)),
        f"cores_{name}": used_ns / 1e9 / duration_s,
        f"wait_share_{name}": waited_ns / max(1, used_ns + waited_ns),
        f"answered_share_{name}": len(target.took_us) / max(1, target.due),
        f"served_share_{name}": target.served / max(1, len(target.took_us)),
    }
    for percentile in (50, 99):
        through_ms, direct_ms = percentile_ms(target, percentile), percentile_ms(direct, percentile)
        found |= {
            f"p{percentile}_ms_{name}": through_ms,
            f"direct_p{percentile}_ms_{name}": direct_ms,
            f"added_p{percentile}_ms_{name}": through_ms - direct_ms,
        }
    return found


async def run_phase(trial: CallTrial, phase: Phase, sidecar: Sidecar, direct: Target) -> dict[str, float]:
    """Warm up at one rate, then measure."""
    rate = phase.rate_per_s
    through_random = draws.stream(trial.seed, f"calls {rate} {sidecar.known} through")
    direct_random = draws.stream(trial.seed, f"calls {rate} {sidecar.known} direct")

    async def call_for(duration_s: float) -> None:
        await asyncio.gather(
            sidecar.target.run(rate, duration_s, through_random), direct.run(rate, duration_s, direct_random)
        )

    await call_for(phase.warm_up_s)
    sidecar.target.reset()
    direct.reset()
    before = sidecar.cpu_time()
    await call_for(phase.duration_s)
    cpu = sidecar.cpu_time().since(before)
    name = f"{rate}_per_s_{sidecar.known}_known"
    return phase_figures(name, phase.duration_s, sidecar.target, direct, cpu)


def top_functions(path: Path, calls: int) -> list[FunctionCost]:
    """Return the most expensive functions of our own code in a profile, the most expensive first."""
    stats = pstats.Stats(str(path))
    us_per_call: dict[str, float] = {}
    for (file, number, function), (_, _, own_s, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        if not Path(file).parent.as_posix().endswith(OWN_FOLDERS):
            continue
        line = f"_line_{number}" if function.startswith("<") else ""  # a comprehension has no name of its own
        name = f"{Path(file).stem}.{function.strip('<>')}{line}"
        us_per_call[name] = us_per_call.get(name, 0.0) + own_s * 1e6 / max(1, calls)
    costs = [FunctionCost(name, us) for name, us in us_per_call.items()]
    return sorted(costs, key=lambda cost: -cost.us_per_call)[:PROFILED_FUNCTIONS]


async def wait_for_end(sidecars: Sequence[Sidecar]) -> None:
    """Wait until the processes have ended. Raises HarnessError after `SHUTDOWN_TIMEOUT_S`."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + SHUTDOWN_TIMEOUT_S
    while any(sidecar.process.poll() is None for sidecar in sidecars):
        if loop.time() > deadline_s:
            raise HarnessError("a sidecar under a profile does not end")
        await asyncio.sleep(0.05)


async def profile(trial: CallTrial, scale: Scale, stack: AsyncExitStack, seeded_fault: str) -> dict[str, float]:
    """Call two sidecars under a profile. The profile's own cost is in the figures, so they are shares and not times."""
    found: dict[str, float] = {}
    sidecars = []
    for known in PROFILED:
        out = trial.folder / f"profile-{known}"
        module = seeded_faults.command_with_fault(seeded_fault)[2:] if seeded_fault else list(SIDECAR[2:])
        command = [sys.executable, "-B", "-m", "cProfile", "-o", str(out), *module]
        sidecars.append(await stack.enter_async_context(trial.sidecar(known, command)))
    await asyncio.gather(
        *(
            sidecar.target.run(DESIGN_PER_S, PROFILED_S[scale], draws.stream(trial.seed, f"profile {sidecar.known}"))
            for sidecar in sidecars
        )
    )
    for sidecar in sidecars:
        sidecar.process.send_signal(signal.SIGTERM)
    await wait_for_end(sidecars)
    for sidecar in sidecars:
        for cost in top_functions(trial.folder / f"profile-{sidecar.known}", len(sidecar.target.took_us)):
            found[f"profile_us_a_call_{sidecar.known}_known_{cost.name}"] = cost.us_per_call
    return found


def phases_of(known: int, scale: Scale) -> Sequence[Phase]:
    """Return the phases for a number of known converters."""
    if known in SMALLEST_AND_LARGEST or scale is Scale.FULL:
        return PHASES[scale]
    return PHASES[scale][:1]


async def measure(seed: int, scale: Scale, folder: Path, seeded_fault: str) -> dict[str, float]:
    """Run all phases, then the profile."""
    trial = CallTrial(find_network(), folder, seed)
    async with AsyncExitStack() as stack:
        config = ConvertersConfig(trial.converters, {known: trial.agent(known) for known in KNOWN})
        encoded = msgspec.json.encode(config).decode()
        process = await stack.enter_async_context(
            lightweight.start_process("ryepier.experiments.scale.lightweight_converters", [encoded])
        )
        await process.read()
        command = seeded_faults.command_with_fault(seeded_fault) if seeded_fault else SIDECAR
        found: dict[str, float] = {}
        gc.collect()
        gc.freeze()  # collecting the garbage of all objects of this process would delay its calls
        for known in KNOWN:
            async with trial.sidecar(known, command) as sidecar:
                direct = Target(trial.converters, REQUEST)
                for phase in phases_of(known, scale):
                    found |= await run_phase(trial, phase, sidecar, direct)
        return found | await profile(trial, scale, stack, seeded_fault)


def summarize(found: Mapping[str, float]) -> dict[str, float]:
    """Return the fitted lines of a call's CPU at the design rate, and the added time as a share of its budget."""
    result: dict[str, float] = {}
    for name, figure in (
        ("cpu", f"cpu_us_a_call_{DESIGN_PER_S}_per_s_{{}}_known"),
        ("module", "module_us_a_call_{}_known"),
    ):
        line = slopes.fit(KNOWN, [found[figure.format(known)] for known in KNOWN])
        result |= {f"fit_{name}_us_a_call_{key}": float(value) for key, value in msgspec.to_builtins(line).items()}
    name = f"added_p99_ms_{DESIGN_PER_S}_per_s_{DESIGN_KNOWN}_known"
    result["design_share_of_budget_added_p99_ms"] = found[name] / ADDED_BUDGET_MS
    return result


def make_claims(found: Mapping[str, float]) -> list[Claim]:
    """Return the claims."""
    few = KNOWN[0]
    return [
        Claim(
            f"share of calls served at {DESIGN_PER_S} a second, {few} known",
            found[f"served_share_{DESIGN_PER_S}_per_s_{few}_known"],
            ">=",
            MIN_SERVED_SHARE,
        ),
        Claim(
            "CPU a call for each further known converter (us)",
            found["fit_cpu_us_a_call_per_unit"],
            "<=",
            MAX_US_PER_KNOWN,
        ),
        # a sidecar that can't keep up spends more on each call; the balancer alone always keeps up
        Claim(
            "of it, the module's part by itself (us)", found["fit_module_us_a_call_per_unit"], "<=", MAX_US_PER_KNOWN
        ),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Measure, with the machine's load before and after. Raises InsufficientResourcesError and HarnessError."""
    check_requirements(ResourceRequirements(4, BYTES_NEEDED, 3 * MAX_CONNECTIONS), this_machine())
    if trial.seeded_fault:
        seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()  # in this process too, in which the balancer runs alone
    found = load_figures("before")
    found |= {
        f"module_us_a_call_{known}_known": balancer_us_per_call(known, trial.seed, DESIGN_PER_S) for known in KNOWN
    }
    found |= asyncio.run(measure(trial.seed, trial.scale, trial.folder, trial.seeded_fault))
    found |= load_figures("after")
    found |= summarize(found)
    return Measurement(make_claims(found), finite_figures(found))


EXPERIMENT = Benchmark(
    name="scale-call",
    question="CPU and added time of a call through a sidecar that knows 30 to 1,600",
    measure=perform,
    seeded_faults=("scan",),
)
