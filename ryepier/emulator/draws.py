"""Everything random in a world, drawn ahead: arrivals, classes, work, patience, machines, delays.

Pure. Each concern has a PCG64 stream of its own, so that more of one (a further fault, another sidecar) does not
shuffle the others. Times are microseconds from the run's beginning.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from ryepier.emulator.world import Converters, Fault, World

Ints = NDArray[np.int64]
Floats = NDArray[np.float64]

RATE_STEP_US = 10_000  # the rate is taken as even for so long: short beside any surge's rise


def stream(seed: int, concern: str) -> np.random.Generator:
    """The random numbers of one concern."""
    return np.random.Generator(np.random.PCG64([seed, zlib.crc32(concern.encode())]))


@dataclass(frozen=True, slots=True)
class Machine:
    """A converter as drawn; those that replace it in a release are like it."""

    index: int
    group: Converters
    speed: float
    pod: int


@dataclass(frozen=True, slots=True)
class Arrivals:
    """First tries in the order of their arrival, a column each; all of the same length."""

    at_us: Ints
    sidecar: Ints
    request_class: Ints
    tenant: Ints
    work_us: Ints  # on a standard core
    hint_us: Ints  # 0 = none
    patience: Floats  # of the first try, as a part of the class's deadline

    def __len__(self) -> int:
        return len(self.at_us)


def machines(world: World, seed: int) -> list[Machine]:
    """All converters there are at the beginning."""
    random = stream(seed, "machines")
    found: list[Machine] = []
    pod = 0
    for group in world.converters:
        for number in range(group.count):
            if number % group.pod_size == 0:
                pod += 1
            found.append(Machine(len(found), group, float(random.uniform(*group.speed)), pod))
    return found


def struck(count: int, fault: Fault, random: np.random.Generator) -> list[int]:
    """Which of `count` things a fault strikes: its own index, or a drawn part of at least one."""
    if fault.index is not None:
        return [fault.index % count]
    most = max(1, round(fault.target_share * count))
    return sorted(int(i) for i in random.choice(count, size=min(most, count), replace=False))


def _strength(world: World, kind: str, at_us: Ints) -> Floats:
    """By what the faults of a kind multiply at each moment."""
    factor: Floats = np.ones(len(at_us), dtype=np.float64)
    for fault in world.faults:
        if fault.kind == kind:
            factor[_during(fault, at_us)] *= fault.factor
    return factor


def _during(fault: Fault, at_us: Ints) -> NDArray[np.bool_]:
    inside: NDArray[np.bool_] = (at_us >= fault.at_s * 1e6) & (at_us < (fault.at_s + fault.for_s) * 1e6)
    return inside


def offered_per_s(world: World, at_us: Ints) -> Floats:
    """The rate of first tries at each moment, without the surges of single tenants and sidecars."""
    clients = world.clients
    rise = (clients.ramp_to_per_s - clients.rate_per_s) if clients.ramp_to_per_s else 0.0
    rate: Floats = (clients.rate_per_s + rise * at_us / (world.duration_s * 1e6)).astype(np.float64)
    return rate * _strength(world, "surge", at_us)


def _times(world: World, seed: int) -> tuple[Ints, Ints]:
    """The arrivals' times and tenants; each tenant is a Poisson process of its own."""
    random = stream(seed, "arrivals")
    steps = np.arange(0, int(world.duration_s * 1e6), RATE_STEP_US, dtype=np.int64)
    times, tenants = [], []
    for index, tenant in enumerate(world.tenants):
        rate = offered_per_s(world, steps) * tenant.share
        for fault in world.faults:
            if fault.kind == "tenant-surge" and fault.tenant == tenant.name:
                rate[_during(fault, steps)] *= fault.factor
        counts = random.poisson(rate * RATE_STEP_US / 1e6)
        at = np.repeat(steps, counts) + random.integers(0, RATE_STEP_US, int(counts.sum()))
        times.append(at)
        tenants.append(np.full(len(at), index, dtype=np.int64))
    at_us, tenant_of = np.concatenate(times), np.concatenate(tenants)
    order = np.argsort(at_us, kind="stable")
    return at_us[order], tenant_of[order]


def _sidecars(world: World, seed: int, at_us: Ints) -> Ints:
    """Whose clients each arrival belongs to; a hot sidecar takes its share from all others alike."""
    if world.sidecars.count == 0:
        return np.zeros(len(at_us), dtype=np.int64)
    random = stream(seed, "sidecars")
    weights = 1.0 / np.arange(1, world.sidecars.count + 1) ** world.sidecars.skew
    chosen: Ints = random.choice(world.sidecars.count, size=len(at_us), p=weights / weights.sum()).astype(np.int64)
    for fault in world.faults:
        if fault.kind == "hot-sidecar":
            hot = struck(world.sidecars.count, fault, random)
            moved = _during(fault, at_us) & (random.random(len(at_us)) < fault.share)
            chosen[moved] = random.choice(hot, size=int(moved.sum()))
    return chosen


def arrivals(world: World, seed: int) -> Arrivals:
    """All first tries of a run."""
    at_us, tenant = _times(world, seed)
    random, count = stream(seed, "requests"), len(at_us)
    shares = np.array([kind.share for kind in world.classes])
    chosen: Ints = random.choice(len(shares), size=count, p=shares / shares.sum()).astype(np.int64)
    low = np.array([kind.work_ms[0] for kind in world.classes])[chosen]
    high = np.array([kind.work_ms[1] for kind in world.classes])[chosen]
    work_us = 1000.0 * (low + (high - low) * random.random(count))
    tails = stream(seed, "tails")
    for fault in world.faults:
        if fault.kind == "heavy-tail":
            heavy = _during(fault, at_us) & (tails.random(count) < fault.share)
            work_us[heavy & (chosen == _class_index(world, fault.request_class))] *= fault.factor
    error = 1.0 + world.clients.hint_error * (2.0 * random.random(count) - 1.0)
    hint_us = (work_us * error if world.clients.hints else np.zeros(count)).astype(np.int64)
    return Arrivals(
        at_us,
        _sidecars(world, seed, at_us),
        chosen,
        tenant,
        work_us.astype(np.int64),
        hint_us,
        random.uniform(*world.clients.patience, count),
    )


def _class_index(world: World, name: str) -> int:
    return next(i for i, kind in enumerate(world.classes) if kind.name == name)
