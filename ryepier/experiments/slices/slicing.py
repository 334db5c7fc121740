"""Experiments on EndpointSlices: drains told by slices that contradict each other, an API server away, and churn."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time

import numpy as np

from ryepier.emulator import timeline
from ryepier.emulator.api_server import ApiServer
from ryepier.emulator.api_store import SERVICE_LABEL, Object, Store
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.process import monotonic_us
from ryepier.emulator.timeline import FaultAction
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Benchmark, Claim, Experiment, Measurement, Run, Scale, TrialConfig
from ryepier.experiments.core.worlds import fault_of_kind, load

SIZES = (1_000, 10_000)
SLICE_SIZE = 100
CHANGES = {"small": 150, "full": 1_500}
CHANGE_EVERY_S = 0.04
UP_WITHIN_S = 20.0
TAIL_S = 0.5
SERVICE = "convert"
WARM_BY_S = 6.0  # a fresh converter is warm after that, and has had requests if it ever will


# slices-drain: every converter is replaced, and a third of the drains comes with a mess


def _drain_claims(run: Run) -> list[Claim]:
    fault = fault_of_kind(run.world, "release")
    steps = timeline.build(run.world, run.seed).steps
    fresh = {step.uid for step in steps if step.action is FaultAction.START}
    early_us = (run.world.duration_s - WARM_BY_S) * 1e6
    early = {step.uid for step in steps if step.action is FaultAction.START and step.at_us < early_us}
    ended = {notice.uid for notice in run.history.notices if notice.state == "leaving"}
    told = {(notice.sidecar, notice.uid) for notice in run.history.notices if notice.state == "leaving"}
    reached = {attempt.uid for attempt in run.history.converter_attempts} & early
    during = figures.due_between(fault.at_s, fault.at_s + fault.for_s)
    return [
        Claim("converters seen terminating", len(ended), ">=", 200),
        Claim("terminations told to a sidecar", len(told), ">=", 0.95 * len(fresh) * run.world.sidecars.count),
        Claim(
            f"share in use of the converters that came up {WARM_BY_S:g} s before the end",
            len(reached) / max(1, len(early)),
            ">=",
            0.95,
        ),
        Claim("service during the release", figures.service_level(run.operations, during), ">=", 0.97),
    ]


# slices-outage: the API server is away, converters go meanwhile, and it comes back with nothing kept of before


def back_in_step_s(run: Run) -> float:
    """Seconds from the server's return until the last sidecar had a whole list; infinite where one never had."""
    fault = fault_of_kind(run.world, "discovery-down")
    back_us = (fault.at_s + fault.for_s) * 1e6
    first: dict[int, int] = {}
    for notice in run.history.notices:
        if notice.at_us >= back_us and notice.sidecar not in first:
            first[notice.sidecar] = notice.at_us
    if len(first) < run.world.sidecars.count:
        return float("inf")
    return (max(first.values()) - back_us) / 1e6


def _outage_claims(run: Run) -> list[Claim]:
    fault = fault_of_kind(run.world, "discovery-down")
    end_s, again_s = fault.at_s + fault.for_s, back_in_step_s(run)
    after = figures.due_between(min(end_s + again_s + 0.5, run.world.duration_s - 1.0), run.world.duration_s)
    return [
        Claim(
            "service while the API server is away",
            figures.service_level(run.operations, figures.due_between(fault.at_s, end_s)),
            ">=",
            0.97,
        ),
        Claim("time until all sidecars have the new list (s)", again_s, "<=", 11.0),
        Claim("service from then on", figures.service_level(run.operations, after), ">=", 0.98),
        Claim(
            "share of attempts to converters that are gone, from then on",
            _to_the_gone(run, end_s + again_s + 0.5),
            "<=",
            0.0,
        ),
    ]


def _to_the_gone(run: Run, since_s: float) -> float:
    """Of the attempts that reached anything; one to an address where nobody listens is seen by nobody."""
    steps = timeline.build(run.world, run.seed).steps
    drained = {step.uid: step.at_us for step in steps if step.action is FaultAction.DRAIN}
    came = [attempt for attempt in run.history.converter_attempts if attempt.first_byte_us > since_s * 1e6]
    late_us = run.world.discovery.late_ms[1] * 1000 + run.world.sidecars.drain_grace_ms * 1000
    late = sum(attempt.first_byte_us > drained.get(attempt.uid, 1 << 60) + late_us for attempt in came)
    return late / max(1, len(came))


# slices-churn: what a change costs as the list grows


def address_of(pod: int) -> str:
    return f"10.{pod >> 16 & 255}.{pod >> 8 & 255}.{pod & 255}"


def endpoint(pod: int, leaving: bool = False) -> Object:
    return {
        "addresses": [address_of(pod)],
        "nodeName": f"node-{pod % 50}",
        "zone": "a",
        "conditions": {"ready": not leaving, "serving": True, "terminating": leaving},
        "targetRef": {"kind": "Pod", "namespace": "default", "name": f"convert-{pod}", "uid": f"pod-{pod}"},
    }


class Churn:
    """A service whose pods are replaced one after another, and when each change was made."""

    def __init__(self, size: int, seed: int) -> None:
        self.store = Store()
        self.random = np.random.default_rng(seed)
        self.slices = [[endpoint(first + i) for i in range(SLICE_SIZE)] for first in range(0, size, SLICE_SIZE)]
        self.next_pod = size
        self.changed_us: dict[tuple[str, str], int] = {}  # by address and state
        for index in range(len(self.slices)):
            self.put(index)

    def put(self, index: int) -> None:
        content = {
            "addressType": "IPv4",
            "endpoints": self.slices[index],
            "ports": [{"name": "http", "port": 80, "protocol": "TCP"}],
        }
        self.store.put("default", f"{SERVICE}-{index:04d}", content, {SERVICE_LABEL: SERVICE})

    def step(self, turn: int) -> None:
        """A pod ends, or the one that ended last is replaced."""
        index = turn // 2 % len(self.slices)
        held = self.slices[index]
        if turn % 2 == 0:
            place = int(self.random.integers(SLICE_SIZE - 1))
            pod = held.pop(place)
            number = int(pod["targetRef"]["uid"].rpartition("-")[2])
            self.slices[index] = [*held, endpoint(number, leaving=True)]
            self.changed_us[address_of(number), "draining"] = monotonic_us()
        else:
            self.slices[index] = [*held[:-1], endpoint(self.next_pod)]
            self.changed_us[address_of(self.next_pod), "ready"] = monotonic_us()
            self.next_pod += 1
        self.put(index)


async def churn(size: int, seed: int, scale: Scale, plant: str) -> dict[str, float]:
    """One size: the follower is a process of its own, which tells what its module was told, and when."""
    world = Churn(size, seed)
    api = ApiServer(world.store)
    port = await api.listen("127.0.0.1", 0)
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        "ryepier.experiments.slices.churn_follower",
        str(port),
        SERVICE,
        plant,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        limit=64 * 1024 * 1024,
    )
    assert child.stdout is not None and child.stdin is not None
    try:
        async with asyncio.timeout(UP_WITHIN_S):
            line = await child.stdout.readline()
        if not line:
            raise HarnessError("the follower ended at its start")
        count = CHANGES[scale]
        begin = time.monotonic()
        for turn in range(count):
            await asyncio.sleep(max(0.0, begin + turn * CHANGE_EVERY_S - time.monotonic()))
            world.step(turn)
            api.on_change()
        await asyncio.sleep(TAIL_S)
        child.stdin.write(b"stop\n")
        said = json.loads(await child.stdout.readline())
    except TimeoutError:
        raise HarnessError("the follower had no list in time") from None
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()
        api.close()
    heard = {(host, state): at_us for host, state, at_us in said["heard"]}
    late_us = [heard[what] - at_us for what, at_us in world.changed_us.items() if what in heard]
    if not late_us:
        raise HarnessError("the follower heard of nothing")
    return {
        "told": len(late_us) / len(world.changed_us),
        "p50_ms": float(np.percentile(late_us, 50)) / 1000,
        "p99_ms": float(np.percentile(late_us, 99)) / 1000,
        "resident_mb": said["resident_kib"] / 1024,
        "peak_mb": said["peak_kib"] / 1024,
        "cpu_ms_a_change": said["cpu_us"] / 1000 / len(world.changed_us),
    }


def perform_churn(trial: TrialConfig) -> Measurement:
    """Both sizes, one after another."""
    rows = {size: asyncio.run(churn(size, trial.seed, trial.scale, trial.seeded_fault)) for size in SIZES}
    found = {f"{name}_{size}": value for size, row in rows.items() for name, value in row.items()}
    few, many = (rows[size] for size in SIZES)
    found["p50_growth"] = many["p50_ms"] / few["p50_ms"]
    found["cpu_growth"] = many["cpu_ms_a_change"] / few["cpu_ms_a_change"]
    claims = [
        Claim(f"share of changes that the module heard of, {size}", rows[size]["told"], ">=", 1.0) for size in SIZES
    ]
    claims += [
        Claim("from change to module event, p99 at 1,000 endpoints (ms)", few["p99_ms"], "<=", 30),
        Claim("from change to module event, p99 at 10,000 endpoints (ms)", many["p99_ms"], "<=", 60),
        Claim("growth of a change's CPU from 1,000 to 10,000 (linear would be 10)", found["cpu_growth"], "<=", 3.0),
        Claim("resident memory at 10,000 endpoints (MB)", many["resident_mb"], "<=", 120),
    ]
    return Measurement(claims, found)


EXPERIMENTS = (
    Experiment(
        "slices-drain",
        "204 converters are replaced; a third of the drains come with contradicting slices",
        lambda scale: load("slices-drain"),
        _drain_claims,
        ("last-writer",),
    ),
    Experiment(
        "slices-outage",
        "the API server is away for 10 s and comes back compacted, converters going meanwhile",
        lambda scale: load("slices-outage"),
        _outage_claims,
        ("never-again",),
    ),
)
BENCHMARKS = (
    Benchmark(
        "slices-churn",
        "time from a change to the module's event at 1,000 and 10,000 endpoints",
        perform_churn,
        ("whole-list",),
    ),
)
