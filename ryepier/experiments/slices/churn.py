"""Benchmark `slices-churn`: delay and CPU time per change of an endpoint list, by the size of the list.

An API server replaces the pods of a service one after another, at 1,000 and at 10,000 endpoints. A separate process
follows the slices and passes each update to a decision module. The claims require that every change arrives, and bound
the 99th percentile of the delay, the growth of the CPU time per change, and the memory.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from dataclasses import dataclass

import msgspec
import numpy as np

from ryepier.emulator.api_server import ApiServer
from ryepier.emulator.api_store import SERVICE_LABEL, ApiObject, Store
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.process import monotonic_us
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.slices.follower_process import READY_LINE, FollowerReport

LIST_SIZES = (1_000, 10_000)  # numbers of endpoints in the list
SLICE_SIZE = 100  # endpoints per slice
CHANGE_COUNTS = {Scale.SMALL: 150, Scale.FULL: 1_500}  # number of changes per list size
CHANGE_INTERVAL_S = 0.04
START_TIMEOUT_S = 20.0
LAST_UPDATE_WAIT_S = 0.5  # wait after the last change, for its update to arrive
MAX_LINE_BYTES = 64 * 1024 * 1024  # the follower prints its report as a single line
NAMESPACE = "default"
SERVICE = "convert"
NODE_COUNT = 50
MAX_P99_MS = {1_000: 30, 10_000: 60}  # limits on the 99th percentile of the delay, by number of endpoints
MAX_CPU_GROWTH = 3.0
MAX_RESIDENT_MB = 120
US_PER_MS = 1000
KIB_PER_MB = 1024


def pod_address(pod: int) -> str:
    """Return the IP address of the pod with this number."""
    return f"10.{pod >> 16 & 255}.{pod >> 8 & 255}.{pod & 255}"


def make_endpoint(pod: int, terminating: bool = False) -> ApiObject:
    """Return the EndpointSlice entry of the pod with this number."""
    return {
        "addresses": [pod_address(pod)],
        "nodeName": f"node-{pod % NODE_COUNT}",
        "zone": "a",
        "conditions": {"ready": not terminating, "serving": True, "terminating": terminating},
        "targetRef": {"kind": "Pod", "namespace": NAMESPACE, "name": f"convert-{pod}", "uid": f"pod-{pod}"},
    }


@dataclass(frozen=True, slots=True)
class PodChange:
    """A new state of the pod with this address."""

    host: str
    state: str


class ChangingService:
    """A service whose pods are replaced one after another, with the time of each change."""

    def __init__(self, size: int, seed: int) -> None:
        """Create a service of `size` pods and store its slices."""
        self.store = Store()
        self.changed_at_us: dict[PodChange, int] = {}
        self._random = np.random.default_rng(seed)
        self._next_pod = size
        self._slices = [
            [make_endpoint(first_pod + offset) for offset in range(SLICE_SIZE)]
            for first_pod in range(0, size, SLICE_SIZE)
        ]
        for slice_index in range(len(self._slices)):
            self._store_slice(slice_index)

    def make_change(self, number: int) -> None:
        """Terminate a random pod of a slice if `number` is even; replace the pod terminated before if it is odd."""
        slice_index = number // 2 % len(self._slices)
        if number % 2 == 0:
            self._terminate_random_pod(slice_index)
        else:
            self._replace_terminating_pod(slice_index)
        self._store_slice(slice_index)

    def _terminate_random_pod(self, slice_index: int) -> None:
        endpoints = self._slices[slice_index]
        endpoint = endpoints.pop(int(self._random.integers(SLICE_SIZE - 1)))
        pod = int(endpoint["targetRef"]["uid"].rpartition("-")[2])
        endpoints.append(make_endpoint(pod, terminating=True))
        self.changed_at_us[PodChange(pod_address(pod), "draining")] = monotonic_us()

    def _replace_terminating_pod(self, slice_index: int) -> None:
        pod = self._next_pod
        self._next_pod += 1
        self._slices[slice_index] = [*self._slices[slice_index][:-1], make_endpoint(pod)]
        self.changed_at_us[PodChange(pod_address(pod), "ready")] = monotonic_us()

    def _store_slice(self, slice_index: int) -> None:
        content = {
            "addressType": "IPv4",
            "endpoints": self._slices[slice_index],
            "ports": [{"name": "http", "port": 80, "protocol": "TCP"}],
        }
        self.store.put(NAMESPACE, f"{SERVICE}-{slice_index:04d}", content, {SERVICE_LABEL: SERVICE})


async def _start_follower(port: int, seeded_fault: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "ryepier.experiments.slices.follower_process",
        str(port),
        SERVICE,
        seeded_fault,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        limit=MAX_LINE_BYTES,
    )


async def _make_changes(service: ChangingService, server: ApiServer, scale: Scale) -> None:
    begin_s = time.monotonic()
    for number in range(CHANGE_COUNTS[scale]):
        await asyncio.sleep(max(0.0, begin_s + number * CHANGE_INTERVAL_S - time.monotonic()))
        service.make_change(number)
        server.on_change()
    await asyncio.sleep(LAST_UPDATE_WAIT_S)


async def _follow_changes(
    process: asyncio.subprocess.Process, service: ChangingService, server: ApiServer, scale: Scale
) -> FollowerReport:
    """Make the changes while a follower runs, and return its report. Raises HarnessError if it does not start."""
    assert process.stdout is not None
    assert process.stdin is not None
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await process.stdout.readline()
    except TimeoutError:
        raise HarnessError("the follower did not receive the list before the start timeout") from None
    if line != READY_LINE:
        raise HarnessError("the follower process exited before it received the list")
    await _make_changes(service, server, scale)
    process.stdin.write(b"stop\n")
    return msgspec.json.decode(await process.stdout.readline(), type=FollowerReport)


@dataclass(frozen=True, slots=True)
class ChurnCost:
    """Delay, CPU time and memory of a follower at one size of the list."""

    arrived_share: float  # share of the changes whose update arrived
    p50_ms: float  # median delay from a change until the decision module has processed its update
    p99_ms: float
    resident_mb: float
    peak_mb: float
    cpu_ms_per_change: float

    def as_figures(self, size: int) -> dict[str, float]:
        """Return the figures of result.json."""
        return {
            f"told_{size}": self.arrived_share,
            f"p50_ms_{size}": self.p50_ms,
            f"p99_ms_{size}": self.p99_ms,
            f"resident_mb_{size}": self.resident_mb,
            f"peak_mb_{size}": self.peak_mb,
            f"cpu_ms_a_change_{size}": self.cpu_ms_per_change,
        }


def _summarize(report: FollowerReport, changed_at_us: dict[PodChange, int]) -> ChurnCost:
    """Compute the delay and cost of the changes from the follower's report and the times of the changes.

    Raises HarnessError if no update arrived.
    """
    arrived_at_us = {PodChange(update.host, update.state): update.at_us for update in report.updates}
    delays_us = [arrived_at_us[change] - at_us for change, at_us in changed_at_us.items() if change in arrived_at_us]
    if not delays_us:
        raise HarnessError("the follower received none of the changes")
    return ChurnCost(
        len(delays_us) / len(changed_at_us),
        float(np.percentile(delays_us, 50)) / US_PER_MS,
        float(np.percentile(delays_us, 99)) / US_PER_MS,
        report.resident_kib / KIB_PER_MB,
        report.peak_kib / KIB_PER_MB,
        report.cpu_us / US_PER_MS / len(changed_at_us),
    )


async def measure_size(size: int, trial: TrialConfig) -> ChurnCost:
    """Measure one size of the list. Raises HarnessError if the follower does not start or gets no update."""
    service = ChangingService(size, trial.seed)
    server = ApiServer(service.store)
    port = await server.listen("127.0.0.1", 0)
    process = await _start_follower(port, trial.seeded_fault)
    try:
        report = await _follow_changes(process, service, server, trial.scale)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        server.close()
    return _summarize(report, service.changed_at_us)


def measure(trial: TrialConfig) -> Measurement:
    """Measure both sizes of the list, one after another."""
    costs = {size: asyncio.run(measure_size(size, trial)) for size in LIST_SIZES}
    figures: dict[str, float] = {}
    for size, cost in costs.items():
        figures |= cost.as_figures(size)
    small_list_cost, large_list_cost = (costs[size] for size in LIST_SIZES)
    figures["p50_growth"] = large_list_cost.p50_ms / small_list_cost.p50_ms
    cpu_growth = large_list_cost.cpu_ms_per_change / small_list_cost.cpu_ms_per_change
    figures["cpu_growth"] = cpu_growth
    growth_claim_name = "growth of a change's CPU from 1,000 to 10,000 (linear would be 10)"
    claims = [
        *(
            Claim(f"share of changes that the module heard of, {size}", cost.arrived_share, ">=", 1.0)
            for size, cost in costs.items()
        ),
        *(
            Claim(f"from change to module event, p99 at {size:,} endpoints (ms)", cost.p99_ms, "<=", MAX_P99_MS[size])
            for size, cost in costs.items()
        ),
        Claim(growth_claim_name, cpu_growth, "<=", MAX_CPU_GROWTH),
        Claim("resident memory at 10,000 endpoints (MB)", large_list_cost.resident_mb, "<=", MAX_RESIDENT_MB),
    ]
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="slices-churn",
    description="time from a change to the module's event at 1,000 and 10,000 endpoints",
    measure=measure,
    seeded_faults=("whole-list",),
)
