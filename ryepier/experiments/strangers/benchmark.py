"""`strangers`: what do unknown peers cost a sidecar and the application beside it?

One real sidecar knows 3,200 converters and gets a steady rate of calls, while peers send each kind of improper input:
as many as a third of its descriptors, or one that sends requests at full speed. Both the smallest and the largest
deployment are tried, some runs at a time. Claims: the sidecar stays within its memory, files included; calls are
answered in time; and no peer waits longer than it is owed for an error or a close.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import subprocess
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import msgspec

from ryepier.emulator import draws
from ryepier.emulator.harness import SIDECAR_COMMAND
from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import CONVERTER_PORT, DISCOVERY_PORT, SIDECAR_PORT
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.machine import ResourceRequirements, check_requirements, this_machine
from ryepier.experiments.core.processes import wait_until_listening
from ryepier.experiments.core.usage import status_kib
from ryepier.experiments.scale import lightweight
from ryepier.experiments.scale.call import latency_percentile_ms, make_configuration
from ryepier.experiments.scale.call_client import REQUEST, Target
from ryepier.experiments.scale.lightweight_converters import ConvertersConfig
from ryepier.experiments.strangers.crowd import CrowdConfig, CrowdResult
from ryepier.experiments.strangers.inputs import INPUTS
from ryepier.sidecar.system import Address

KNOWN_COUNT = 3_200
CALLS_PER_S = 25.0
PEER_SHARE = 3  # peers may hold one descriptor in this many
SINGLE_PEER_KINDS = ("small-requests", "unsound-requests")
DURATION_S = {Scale.SMALL: 3.0, Scale.FULL: 10.0}
LAST_ANSWERS_S = 1.5  # after the last call: its deadline, and the half second in which an answer is late but not lost
MAX_PARALLEL_RUNS = 3  # each has a sidecar and a process of peers
MAX_PEER_WAIT_S = 3.0
MIN_ANSWERED_SHARE = 0.99
NEEDED_MEMORY_BYTES = 1_000_000_000
KIB_PER_MIB = 1024


class Deployment(NamedTuple):
    """The limits of a sidecar."""

    name: str
    memory_mb: int
    descriptors: int


DEPLOYMENTS = (Deployment("smallest", 32, 256), Deployment("largest", 192, 1024))


class SidecarUnderTest(NamedTuple):
    """A running sidecar."""

    process: subprocess.Popen[bytes]
    address: Address

    def memory_mb(self, field: str) -> float:
        """Return a field of the process's status in MiB: VmRSS for its resident memory, VmHWM for the peak."""
        return status_kib(Path(f"/proc/{self.process.pid}/status").read_text(), field) / KIB_PER_MIB


class Addresses(NamedTuple):
    """The addresses that one run uses."""

    converters: Address
    agent: Address
    sidecar: Address

    @classmethod
    def of_network(cls, network: int, index: int = 0) -> Addresses:
        """Return the addresses in a loopback network, with that of the sidecar with an index."""
        return cls(
            (f"127.{network}.0.1", CONVERTER_PORT),
            (f"127.{network}.252.1", DISCOVERY_PORT),
            (f"127.{network}.253.{index + 1}", SIDECAR_PORT),
        )


@asynccontextmanager
async def start_sidecar(
    deployment: Deployment, kind: str, addresses: Addresses, trial: TrialConfig
) -> AsyncIterator[SidecarUnderTest]:
    """Start a sidecar with a deployment's limits, and kill it on leaving; `kind` is part of its files' names."""
    name = f"sidecar-{deployment.name}-{kind}"
    config_path = trial.folder / f"{name}.json"
    limits = {"cores": 1.0, "memory_mb": deployment.memory_mb, "sockets": deployment.descriptors}
    config_path.write_text(
        make_configuration(
            trial.seed, KNOWN_COUNT, addresses.sidecar, addresses.agent, addresses.converters, limits=limits
        )
    )
    fault = trial.seeded_fault
    command: Sequence[str] = seeded_faults.command_with_fault(fault) if fault else SIDECAR_COMMAND
    with open(trial.folder / f"{name}.log", "wb") as log:
        process = subprocess.Popen(
            command, env=os.environ | {"BALANCER_CONFIG": str(config_path)}, stdout=log, stderr=log
        )
    try:
        await wait_until_listening(process, addresses.sidecar, "a sidecar")
        yield SidecarUnderTest(process, addresses.sidecar)
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


async def run_beside_peers(sidecar: SidecarUnderTest, config: CrowdConfig, seed: int) -> tuple[Target, CrowdResult]:
    """Make calls through a sidecar while peers send their input, and return the calls and what the peers got."""
    arguments = [msgspec.json.encode(config).decode()]
    async with lightweight.start_process("ryepier.experiments.strangers.crowd", arguments) as crowd:
        await crowd.read()
        target = Target(sidecar.address, REQUEST, resends=True)
        result, _ = await asyncio.gather(
            crowd.request("start"),
            target.run(CALLS_PER_S, config.duration_s, draws.stream(seed, f"strangers {config.kind}")),
        )
        await asyncio.sleep(LAST_ANSWERS_S)
    return target, msgspec.convert(result, CrowdResult)


async def measure_kind(deployment: Deployment, kind: str, addresses: Addresses, trial: TrialConfig) -> dict[str, float]:
    """Return the figures of one deployment beside one kind of peers."""
    count = 1 if kind in SINGLE_PEER_KINDS else deployment.descriptors // PEER_SHARE
    config = CrowdConfig(addresses.sidecar, kind, count, DURATION_S[trial.scale])
    async with start_sidecar(deployment, kind, addresses, trial) as sidecar:
        start_mb = sidecar.memory_mb("VmRSS")
        target, result = await run_beside_peers(sidecar, config, trial.seed)
        peak_mb = sidecar.memory_mb("VmHWM")
    name = f"{deployment.name}_{kind}"
    return {
        f"memory_start_mb_{name}": start_mb,
        f"memory_peak_mb_{name}": peak_mb,
        f"answered_share_{name}": len(target.latencies_us) / max(1, target.due_count),
        f"served_share_{name}": target.served_count / max(1, target.due_count),
        f"p99_ms_{name}": latency_percentile_ms(target, 99),
        f"max_ms_{name}": latency_percentile_ms(target, 100),
        f"peer_connections_{name}": result.connections,
        f"peer_answers_{name}": result.answers,
        f"peer_wait_s_{name}": result.slowest_end_s,
    }


async def measure_all(trial: TrialConfig) -> dict[str, float]:
    """Return the figures of both deployments beside each kind of peers."""
    network = find_network()
    shared_addresses = Addresses.of_network(network)
    converters = ConvertersConfig(shared_addresses.converters, {KNOWN_COUNT: shared_addresses.agent})
    arguments = [msgspec.json.encode(converters).decode()]
    semaphore = asyncio.Semaphore(MAX_PARALLEL_RUNS)

    async def measure_in_turn(index: int, deployment: Deployment, kind: str) -> dict[str, float]:
        async with semaphore:
            return await measure_kind(deployment, kind, Addresses.of_network(network, index), trial)

    async with lightweight.start_process("ryepier.experiments.scale.lightweight_converters", arguments) as process:
        await process.read()
        runs = itertools.product(DEPLOYMENTS, INPUTS)
        results = await asyncio.gather(*(measure_in_turn(index, *run) for index, run in enumerate(runs)))
    return {name: value for result in results for name, value in result.items()}


def make_claims(figures: Mapping[str, float]) -> list[Claim]:
    """Return the claims on the figures: the worst of all kinds of peers, for each deployment."""

    def values(prefix: str, deployment: Deployment) -> list[float]:
        return [figures[f"{prefix}_{deployment.name}_{kind}"] for kind in INPUTS]

    claims = []
    for deployment in DEPLOYMENTS:
        name = deployment.name
        claims += [
            Claim(f"peak memory, {name} (MiB)", max(values("memory_peak_mb", deployment)), "<=", deployment.memory_mb),
            Claim(
                f"share of calls answered, {name}",
                min(values("answered_share", deployment)),
                ">=",
                MIN_ANSWERED_SHARE,
            ),
            Claim(
                f"time until a peer's error or close, {name} (s)",
                max(values("peer_wait_s", deployment)),
                "<=",
                MAX_PEER_WAIT_S,
            ),
        ]
    return claims


def measure(trial: TrialConfig) -> Measurement:
    """Run the benchmark. Raises InsufficientResourcesError and HarnessError."""
    peers = max(deployment.descriptors for deployment in DEPLOYMENTS) // PEER_SHARE
    requirements = ResourceRequirements(
        2 + 2 * MAX_PARALLEL_RUNS, NEEDED_MEMORY_BYTES, sockets=2 * peers * MAX_PARALLEL_RUNS
    )
    check_requirements(requirements, this_machine())
    figures = asyncio.run(measure_all(trial))
    return Measurement(make_claims(figures), figures)


EXPERIMENT = Benchmark(
    name="strangers",
    description="one sidecar beside unknown peers that send improper or unfinished requests",
    measure=measure,
    seeded_faults=("patient",),
)
