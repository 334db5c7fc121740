"""Random samples of a world, taken before the run: arrivals, classes, work, timeouts, machines and delays.

This module is pure. Each purpose has its own PCG64 stream, so that a change to one, such as an added
fault or sidecar, leaves the samples of the others unchanged. Times are microseconds since the run began.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from ryepier.emulator.world import Converters, Fault, FaultKind, World

IntArray = NDArray[np.int64]
FloatArray = NDArray[np.float64]

RATE_STEP_US = 10_000  # the arrival rate is constant within a step of this duration


def stream(seed: int, purpose: str) -> np.random.Generator:
    """Return a random number generator that depends only on the seed and the purpose."""
    return np.random.Generator(np.random.PCG64([seed, zlib.crc32(purpose.encode())]))


@dataclass(frozen=True, slots=True)
class Machine:
    """The sampled properties of a converter. All its processes, including replacements in a release, share them."""

    index: int
    group: Converters
    speed: float
    pod: int


@dataclass(frozen=True, slots=True)
class Arrivals:
    """The arrivals of a run, sorted by time, as columns of the same length."""

    at_us: IntArray
    sidecar: IntArray
    request_class: IntArray
    tenant: IntArray
    work_us: IntArray  # service time on a standard core
    hint_us: IntArray  # cost hint; 0 = none
    timeout_share: FloatArray  # timeout of the first attempt, as a share of the class's deadline

    def __len__(self) -> int:
        """Return the number of arrivals."""
        return len(self.at_us)


def machines(world: World, seed: int) -> list[Machine]:
    """Return the machines of the converters that are up at the beginning of the run."""
    random = stream(seed, "machines")
    sampled_machines: list[Machine] = []
    pod = 0
    for group in world.converters:
        for number in range(group.count):
            if number % group.pod_size == 0:
                pod += 1
            sampled_machines.append(Machine(len(sampled_machines), group, float(random.uniform(*group.speed)), pod))
    return sampled_machines


def select_targets(count: int, fault: Fault, random: np.random.Generator) -> list[int]:
    """Return the indexes of the targets that a fault affects: its `index` if set, else a random sample of them."""
    if fault.index is not None:
        return [fault.index % count]
    size = max(1, round(fault.target_share * count))
    return sorted(int(index) for index in random.choice(count, size=min(size, count), replace=False))


def _fault_factor(world: World, kind: FaultKind, at_us: IntArray) -> FloatArray:
    """Return the product of the factors of all faults of a kind at each time."""
    factor: FloatArray = np.ones(len(at_us), dtype=np.float64)
    for fault in world.faults:
        if fault.kind is kind:
            factor[_is_during(fault, at_us)] *= fault.factor
    return factor


def _is_during(fault: Fault, at_us: IntArray) -> NDArray[np.bool_]:
    is_during: NDArray[np.bool_] = (at_us >= fault.at_s * 1e6) & (at_us < (fault.at_s + fault.for_s) * 1e6)
    return is_during


def offered_per_s(world: World, at_us: IntArray) -> FloatArray:
    """Return the arrival rate over all tenants and sidecars at each time, without surges of single tenants."""
    clients = world.clients
    rate_increase = (clients.ramp_to_per_s - clients.rate_per_s) if clients.ramp_to_per_s else 0.0
    rate: FloatArray = (clients.rate_per_s + rate_increase * at_us / (world.duration_s * 1e6)).astype(np.float64)
    return rate * _fault_factor(world, FaultKind.SURGE, at_us)


@dataclass(frozen=True, slots=True)
class _TenantArrivals:
    """Sorted arrival times, with the tenant of each arrival."""

    at_us: IntArray
    tenant: IntArray


def _sample_times(world: World, seed: int) -> _TenantArrivals:
    """Sample the arrival process: an inhomogeneous Poisson process for each tenant."""
    random = stream(seed, "arrivals")
    step_starts_us = np.arange(0, int(world.duration_s * 1e6), RATE_STEP_US, dtype=np.int64)
    times_by_tenant, tenant_columns = [], []
    for index, tenant in enumerate(world.tenants):
        rate = offered_per_s(world, step_starts_us) * tenant.share
        for fault in world.faults:
            if fault.kind is FaultKind.TENANT_SURGE and fault.tenant == tenant.name:
                rate[_is_during(fault, step_starts_us)] *= fault.factor
        arrival_counts = random.poisson(rate * RATE_STEP_US / 1e6)
        tenant_times_us = np.repeat(step_starts_us, arrival_counts) + random.integers(
            0, RATE_STEP_US, int(arrival_counts.sum())
        )
        times_by_tenant.append(tenant_times_us)
        tenant_columns.append(np.full(len(tenant_times_us), index, dtype=np.int64))
    at_us, tenant_indexes = np.concatenate(times_by_tenant), np.concatenate(tenant_columns)
    order = np.argsort(at_us, kind="stable")
    return _TenantArrivals(at_us[order], tenant_indexes[order])


def _sample_sidecars(world: World, seed: int, at_us: IntArray) -> IntArray:
    """Sample the sidecar of each arrival; a hot sidecar takes its share from all others equally."""
    if world.sidecars.count == 0:
        return np.zeros(len(at_us), dtype=np.int64)
    random = stream(seed, "sidecars")
    weights = 1.0 / np.arange(1, world.sidecars.count + 1) ** world.sidecars.skew
    sidecar_indexes: IntArray = random.choice(world.sidecars.count, size=len(at_us), p=weights / weights.sum()).astype(
        np.int64
    )
    for fault in world.faults:
        if fault.kind is FaultKind.HOT_SIDECAR:
            hot_sidecars = select_targets(world.sidecars.count, fault, random)
            is_moved = _is_during(fault, at_us) & (random.random(len(at_us)) < fault.share)
            sidecar_indexes[is_moved] = random.choice(hot_sidecars, size=int(is_moved.sum()))
    return sidecar_indexes


def arrivals(world: World, seed: int) -> Arrivals:
    """Return all arrivals of a run."""
    tenant_arrivals = _sample_times(world, seed)
    at_us = tenant_arrivals.at_us
    random, count = stream(seed, "requests"), len(at_us)
    shares = np.array([request_class.share for request_class in world.classes])
    class_indexes: IntArray = random.choice(len(shares), size=count, p=shares / shares.sum()).astype(np.int64)
    min_work_ms = np.array([request_class.work_ms[0] for request_class in world.classes])[class_indexes]
    max_work_ms = np.array([request_class.work_ms[1] for request_class in world.classes])[class_indexes]
    work_us = 1000.0 * (min_work_ms + (max_work_ms - min_work_ms) * random.random(count))
    tail_random = stream(seed, "tails")
    for fault in world.faults:
        if fault.kind is FaultKind.HEAVY_TAIL:
            is_heavy = _is_during(fault, at_us) & (tail_random.random(count) < fault.share)
            work_us[is_heavy & (class_indexes == _class_index(world, fault.request_class))] *= fault.factor
    error_factor = 1.0 + world.clients.hint_error * (2.0 * random.random(count) - 1.0)
    hint_us = (work_us * error_factor if world.clients.hints else np.zeros(count)).astype(np.int64)
    return Arrivals(
        at_us,
        _sample_sidecars(world, seed, at_us),
        class_indexes,
        tenant_arrivals.tenant,
        work_us.astype(np.int64),
        hint_us,
        random.uniform(*world.clients.timeout_share, count),
    )


def _class_index(world: World, name: str) -> int:
    return next(index for index, request_class in enumerate(world.classes) if request_class.name == name)
