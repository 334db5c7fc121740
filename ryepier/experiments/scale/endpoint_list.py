"""What the list of converters costs a sidecar and discovery as the fleet grows, on hollow sidecars.

Two parts: one sidecar's cost by the number of converters that it knows, and discovery's by the number of sidecars that
come back to it after an outage.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

import numpy as np

from ryepier.emulator.errors import HarnessError
from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import monotonic_us
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.machine import Needs, check_needs, this_machine
from ryepier.experiments.core.usage import own_usage, resident_bytes
from ryepier.experiments.scale import lightweight, list_costs, slopes
from ryepier.experiments.scale.fleet_list import Listing, WatchServer
from ryepier.experiments.scale.lightweight import LightweightProcess
from ryepier.sidecar.discovery import WATCH_RETRY_S

KNOWN = (30, 150, 400, 800, 1600)  # converters that a sidecar knows
SIDECARS = {Scale.SMALL: 12, Scale.FULL: 40}  # hollow ones for each of these sizes
FLEETS = {Scale.SMALL: (100, 200, 400, 800), Scale.FULL: (200, 400, 800, 1600)}  # that come back after an outage
FLEET_KNOWS = {Scale.SMALL: 30, Scale.FULL: 150}
FLEET_PROCESSES = 4
CHANGES = {Scale.SMALL: 40, Scale.FULL: 200}
CHANGE_EVERY_S = 0.02
IDLE_S = {Scale.SMALL: 3.0, Scale.FULL: 10.0}
ZONE = 8  # one of so many converters is in a zone
OUTAGE_S = 1.0
BACK_WITHIN_S = 25.0  # a machine with other work takes that long to give 1,600 their turn
TOLD_WITHIN_S = 10.0
WINDOW_US = 100_000
PORT = 8501  # below the ports that dials come from: a dial to nobody would else meet itself
CHANGES_A_DAY = 2330  # 2,000 of configuration, and three states for each of 110 machines
DAY_S = 86_400
PROCESS_BYTES = 120_000_000
SIDECAR_BYTES = 200_000
CONVERTER_BYTES = 3_000
MB = 1e6
MODULE = "ryepier.experiments.scale.lightweight_sidecar"
BUDGET_CORES, BUDGET_MB, BUDGET_BYTES_PER_S, IN_FORCE_S = 0.022, 64.0, 3000.0, 6.0
Figures = dict[str, float]


@dataclass(frozen=True, slots=True)
class Group:
    """Lightweight sidecars of one process, and the discovery that they follow."""

    known: int
    count: int
    server: WatchServer
    child: LightweightProcess

    async def settled(self, version: int) -> Any:
        """Once all have it. Raises HarnessError where they do not: then nothing else would mean anything."""
        said = await self.child.request("until", version=version, within_s=TOLD_WITHIN_S)
        if said["have"] < self.count:
            raise HarnessError(f"{said['have']} of {self.count} hollow sidecars have the list")
        return said

    async def cost(self, version: int, before: Any, bytes_before: int) -> tuple[float, float]:
        """CPU seconds and bytes a sidecar since then, once all have the version."""
        said = await self.settled(version)
        return (said["cpu_s"] - before["cpu_s"]) / self.count, (self.server.bytes - bytes_before) / self.count


def needs(scale: Scale) -> Needs:
    """The larger of the two parts, which follow one another."""
    first = len(KNOWN) * PROCESS_BYTES + SIDECARS[scale] * sum(SIDECAR_BYTES + n * CONVERTER_BYTES for n in KNOWN)
    fleet = FLEETS[scale][-1]
    second = FLEET_PROCESSES * PROCESS_BYTES + fleet * (SIDECAR_BYTES + FLEET_KNOWS[scale] * CONVERTER_BYTES)
    return Needs(1 + max(len(KNOWN), FLEET_PROCESSES), PROCESS_BYTES + max(first, second), sockets=fleet)


def base_bytes() -> float:
    """Resident memory of a sidecar's program before it has any list."""
    code = "import ryepier.sidecar.__main__; print(open('/proc/self/status').read())"
    said = subprocess.run([sys.executable, "-B", "-c", code], capture_output=True, text=True, check=True, timeout=20)
    return float(resident_bytes(said.stdout))


# One sidecar's cost, by the converters that it knows


@asynccontextmanager
async def group(host: str, index: int, known: int, count: int, seed: int, plant: str) -> AsyncIterator[Group]:
    server = WatchServer(Listing(known, seed), (host, PORT + index), keeps_revisions=plant != "no-revisions")
    await server.open()
    try:
        async with lightweight.start_process(MODULE, [host, str(PORT + index), str(seed)]) as child:
            yield Group(known, count, server, child)
    finally:
        server.close()


async def come_up(one: Group) -> Figures:
    """The first list, and what it leaves in memory."""
    await one.child.read()
    before, wrote = await one.child.request("memory"), one.server.bytes
    await one.child.request("start", count=one.count)
    cpu_s, data = await one.cost(one.server.listing.registry.rev, before, wrote)
    after = await one.child.request("memory")
    if after["known"] != one.count * one.known:
        raise HarnessError(f"{after['known']} converters known, not {one.count * one.known}")
    return {
        "list_bytes": data,
        "start_cpu_ms": cpu_s * 1000,
        "memory_bytes": (after["resident_bytes"] - before["resident_bytes"]) / one.count,
    }


async def change_singly(one: Group, count: int) -> Figures:
    """A converter at a time drains, goes and comes back as another; each is told by itself."""
    listing = one.server.listing
    before, wrote = await one.child.request("usage"), one.server.bytes
    told_us: dict[int, int] = {}
    for turn in range(count):
        if turn % 3 == 0:
            leaving = listing.pick(1)
        listing.change([listing.new()] if turn % 3 == 2 else leaving, ("leaving", "left", "")[turn % 3])
        now_us = monotonic_us()
        told_us[one.server.send_changes_to_all()] = now_us
        await asyncio.sleep(CHANGE_EVERY_S)
    cpu_s, data = await one.cost(listing.registry.rev, before, wrote)
    heard = {int(version): at_us for version, at_us in (await one.child.request("late"))["last_us"].items()}
    late_ms = [(heard[version] - at_us) / 1000 for version, at_us in told_us.items() if version in heard]
    after = await one.child.request("usage")
    return {
        "change_cpu_us": cpu_s * 1e6 / count,
        "change_bytes": data / count,
        "change_late_ms": max(late_ms, default=float("inf")),
        "entries_a_change": (after["entries"] - before["entries"]) / count / one.count,
    }


async def zone_goes(one: Group) -> Figures:
    """An eighth of the converters drains, told in one object, and is gone, told one by one; as many come."""
    listing = one.server.listing
    chosen = listing.pick(max(1, one.known // ZONE))
    before, wrote = await one.child.request("usage"), one.server.bytes
    listing.change(chosen, "leaving")
    together_s, together = await one.cost(one.server.send_changes_to_all(), before, wrote)
    before, wrote = await one.child.request("usage"), one.server.bytes
    for entry in chosen:
        listing.change([entry], "left")
        one.server.send_changes_to_all()
    singly_s, singly = await one.cost(listing.registry.rev, before, wrote)
    listing.change([listing.new() for _ in chosen])
    await one.settled(one.server.send_changes_to_all())
    return {
        "zone_together_cpu_ms": together_s * 1000,
        "zone_together_bytes": together,
        "zone_singly_cpu_ms": singly_s * 1000,
        "zone_singly_bytes": singly,
    }


async def come_again(one: Group) -> Figures:
    """All watches break with nothing missed but one change; then discovery comes back without its revisions."""
    listing, server = one.server.listing, one.server
    found: Figures = {}
    for name, forgets in (("break", False), ("again", True)):
        before, wrote = await one.child.request("usage"), server.bytes
        if forgets:
            listing.lose_revisions()
        else:
            listing.change([listing.new()])
        server.forget_encoded()
        server.abort_all()
        cpu_s, found[f"{name}_bytes"] = await one.cost(listing.registry.rev, before, wrote)
        found[f"{name}_cpu_ms"] = cpu_s * 1000
    return found


async def stand_idle(groups: Sequence[Group], for_s: float) -> list[Figures]:
    """All at once: nothing changes, and the watch's empty lines come."""
    before, wrote = [await one.child.request("usage") for one in groups], [one.server.bytes for one in groups]
    await asyncio.sleep(for_s)
    after = [await one.child.request("usage") for one in groups]
    return [
        {
            "idle_cores": (late["cpu_s"] - early["cpu_s"]) / one.count / for_s,
            "idle_bytes_per_s": (one.server.bytes - data) / one.count / for_s,
        }
        for one, early, late, data in zip(groups, before, after, wrote, strict=True)
    ]


async def by_known(seed: int, scale: Scale, plant: str) -> dict[int, Figures]:
    """All sizes: each part of them one after another, but for the idle one."""
    host = f"127.{find_network()}.254.2"
    async with AsyncExitStack() as stack:
        groups = [
            await stack.enter_async_context(group(host, index, known, SIDECARS[scale], seed, plant))
            for index, known in enumerate(KNOWN)
        ]
        rows = {one.known: await come_up(one) for one in groups}
        for one, idle in zip(groups, await stand_idle(groups, IDLE_S[scale]), strict=True):
            rows[one.known] |= idle
        for one in groups:
            rows[one.known] |= await change_singly(one, CHANGES[scale])
            rows[one.known] |= await zone_goes(one)
            rows[one.known] |= await come_again(one)
    return rows


# Discovery's, by the sidecars that come back


async def outage(count: int, server: WatchServer, children: Sequence[LightweightProcess]) -> Figures:
    """Discovery is away for a moment and comes back without its revisions: calls, bytes, and how they come."""
    each = count / len(children)
    before = [await child.request("usage") for child in children]
    server.close()
    await asyncio.sleep(OUTAGE_S)
    away = [await child.request("usage") for child in children]
    server.listing.lose_revisions()
    server.calls_us.clear()
    server.bytes = 0
    own = own_usage()
    await server.open()
    back_us, version = monotonic_us(), server.listing.registry.rev
    said = await asyncio.gather(
        *(child.request("until", version=version, within_s=BACK_WITHIN_S) for child in children)
    )
    calls_s = (np.sort(server.calls_us) - back_us) / 1e6
    inside = np.searchsorted(calls_s, calls_s + WINDOW_US / 1e6) - np.arange(len(calls_s))
    back_cpu_s = sum(late["cpu_s"] - early["cpu_s"] for early, late in zip(away, said, strict=True))
    stand_in_s = own_usage().since(own)
    away_s = [late["cpu_s"] - early["cpu_s"] for early, late in zip(before, away, strict=True)]
    return {
        "back": sum(one["have"] for one in said) / count,
        "calls": float(len(server.calls_us)),
        "bytes": float(server.bytes),
        "stand_in_cpu_s": stand_in_s,
        "cpu_ms": 1000 * back_cpu_s / count,
        # as if each sidecar had a core: its next dial, discovery's writing to all, and its own list
        "back_alone_s": WATCH_RETRY_S + stand_in_s + back_cpu_s / count,
        "back_after_s": (max(one["last_us"] for one in said) - back_us) / 1e6,
        "peak_share": float(inside.max(initial=0)) / count,
        "away_cores": max(away_s) / each / OUTAGE_S,
    }


async def by_fleet(seed: int, scale: Scale, plant: str) -> dict[int, Figures]:
    """One fleet that grows, an outage at each size."""
    host = f"127.{find_network()}.254.2"
    server = WatchServer(Listing(FLEET_KNOWS[scale], seed), (host, PORT), keeps_revisions=plant != "no-revisions")
    await server.open()
    rows: dict[int, Figures] = {}
    try:
        async with AsyncExitStack() as stack:
            children = [
                await stack.enter_async_context(lightweight.start_process(MODULE, [host, str(PORT), str(seed + i)]))
                for i in range(FLEET_PROCESSES)
            ]
            for child in children:
                await child.read()
            there = 0
            for count in FLEETS[scale]:
                more = (count - there) // len(children)
                await asyncio.gather(*(child.request("start", count=more) for child in children))
                there = count
                said = await asyncio.gather(
                    *(
                        child.request("until", version=server.listing.registry.rev, within_s=BACK_WITHIN_S)
                        for child in children
                    )
                )
                if sum(one["have"] for one in said) < count:
                    raise HarnessError(f"{count} hollow sidecars did not come up")
                rows[count] = await outage(count, server, children)
    finally:
        server.close()
    return rows


# What is claimed


def fits(name: str, rows: Mapping[int, Figures]) -> slopes.Slope:
    return slopes.fit(list(rows), [row[name] for row in rows.values()])


def derived(rows: Mapping[int, Figures], base_mb: float) -> Figures:
    """At the most converters known: what the day's changes come to, beside the budget of a sidecar."""
    most = rows[KNOWN[-1]]
    a_second = CHANGES_A_DAY / DAY_S
    memory, again = fits("memory_bytes", rows), fits("again_cpu_ms", rows)
    return {
        "base_mb": base_mb,
        "sidecar_mb": base_mb + memory.at(KNOWN[-1]).value / MB,
        "memory_bytes_a_converter": memory.per_unit,
        "memory_residual": memory.relative_residual,
        "again_cpu_us_a_converter": again.per_unit * 1000,
        "again_residual": again.relative_residual,
        "change_cpu_us_a_converter": fits("change_cpu_us", rows).per_unit,
        "zone_cpu_us_a_change": most["zone_singly_cpu_ms"] * 1000 / (KNOWN[-1] // ZONE),
        "day_cores": most["idle_cores"] + a_second * most["change_cpu_us"] / 1e6,
        "day_bytes_per_s": most["idle_bytes_per_s"] + a_second * most["change_bytes"],
    }


def claims(rows: Mapping[int, Figures], fleets: Mapping[int, Figures], found: Figures) -> list[Claim]:
    most, fleet = rows[KNOWN[-1]], fleets[max(fleets)]
    return [
        Claim("memory of a sidecar that knows 1,600 converters (MB)", found["sidecar_mb"], "<=", BUDGET_MB),
        Claim("largest residual of its line over the largest value", found["memory_residual"], "<=", 0.1),
        Claim("cores for a day's changes, 1,600 known", found["day_cores"], "<=", BUDGET_CORES),
        Claim("bytes a second for a day's changes, 1,600 known", found["day_bytes_per_s"], "<=", BUDGET_BYTES_PER_S),
        Claim("bytes of one change", most["change_bytes"], "<=", 500),
        Claim(
            "from a change to the last module that has it, most (s)", most["change_late_ms"] / 1000, "<=", IN_FORCE_S
        ),
        Claim("changes that each module was told, of one", most["entries_a_change"], "==", 1),
        Claim("bytes of a watch that broke and missed one change", most["break_bytes"], "<=", 1000),
        Claim(f"share of {max(fleets)} that have the list again after an outage", fleet["back"], "==", 1),
        Claim("calls a sidecar for it", fleet["calls"] / max(fleets), "<=", 1.1),
        Claim(
            "until the last has it, each sidecar on a core of its own, by calculation (s)",
            fleet["back_alone_s"],
            "<=",
            IN_FORCE_S,
        ),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Both parts. Raises InsufficientResourcesError."""
    check_needs(needs(trial.scale), this_machine())
    busy = {"load_average": os.getloadavg()[0]}
    rows = asyncio.run(by_known(trial.seed, trial.scale, trial.seeded_fault))
    fleets = asyncio.run(by_fleet(trial.seed, trial.scale, trial.seeded_fault))
    found = derived(rows, base_bytes() / MB)
    for known, row in rows.items():
        row |= list_costs.measure(known, trial.seed)
    figures = {f"{name}_{known}": value for known, row in rows.items() for name, value in row.items()}
    figures |= {f"fleet_{name}_{count}": value for count, row in fleets.items() for name, value in row.items()}
    return Measurement(claims(rows, fleets, found), figures | found | busy)


EXPERIMENT = Benchmark(
    name="scale-list",
    question="the list in a sidecar and at discovery, up to 1,600 known converters",
    measure=perform,
    seeded_faults=("no-revisions",),
)
