"""`scale-list`: what does the endpoint list cost a sidecar and discovery as the fleet grows?

Set-up: lightweight sidecars follow an emulated discovery. One part measures a sidecar's cost by the number of known
converters, the other discovery's by the number of sidecars that reconnect after an outage. Claims: the budgets of a
sidecar at 1,600 known converters (`BUDGET_...`), and all sidecars have the list again after the outage.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any, NamedTuple

import numpy as np

from ryepier.emulator.errors import HarnessError
from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import monotonic_us
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.machine import ResourceRequirements, check_requirements, this_machine
from ryepier.experiments.core.usage import own_usage, resident_bytes
from ryepier.experiments.scale import lightweight, list_costs, slopes
from ryepier.experiments.scale.fleet_list import Listing, WatchServer
from ryepier.experiments.scale.lightweight import LightweightProcess
from ryepier.sidecar.discovery import WATCH_RETRY_S

KNOWN = (30, 150, 400, 800, 1600)  # converters that a sidecar knows
SIDECARS = {Scale.SMALL: 12, Scale.FULL: 40}  # lightweight ones for each of these sizes
FLEETS = {Scale.SMALL: (100, 200, 400, 800), Scale.FULL: (200, 400, 800, 1600)}  # that reconnect after an outage
FLEET_KNOWS = {Scale.SMALL: 30, Scale.FULL: 150}
FLEET_PROCESSES = 4
CHANGES = {Scale.SMALL: 40, Scale.FULL: 200}
CHANGE_INTERVAL_S = 0.02
IDLE_S = {Scale.SMALL: 3.0, Scale.FULL: 10.0}
ZONE_DIVISOR = 8  # one of 8 converters is in a zone
OUTAGE_S = 1.0
RECONNECT_TIMEOUT_S = 25.0  # a busy machine needs this long for 1,600
UPDATE_TIMEOUT_S = 10.0
WINDOW_US = 100_000
PORT = 8501  # below the ephemeral ports, or a connection without a listener could connect to itself
CHANGES_A_DAY = 2330  # 2,000 of configuration, and three states for each of 110 machines
DAY_S = 86_400
PROCESS_BYTES = 120_000_000
SIDECAR_BYTES = 200_000
CONVERTER_BYTES = 3_000
MB = 1e6
MODULE = "ryepier.experiments.scale.lightweight_sidecar"
BUDGET_CORES, BUDGET_MB, BUDGET_BYTES_PER_S, IN_FORCE_S = 0.022, 64.0, 3000.0, 6.0
Figures = dict[str, float]


class UpdateCost(NamedTuple):
    """What an update of the list costs per sidecar."""

    cpu_s: float
    bytes: float


@dataclass(frozen=True, slots=True)
class Group:
    """Lightweight sidecars of one process, and the discovery that they follow."""

    known: int
    count: int
    server: WatchServer
    child: LightweightProcess

    async def wait_until_updated(self, version: int) -> Any:
        """Wait until all have a version, and return the reply. Raises HarnessError if they do not get it."""
        reply = await self.child.request("until", version=version, within_s=UPDATE_TIMEOUT_S)
        if reply["have"] < self.count:
            raise HarnessError(f"{reply['have']} of {self.count} lightweight sidecars have the list")
        return reply

    async def cost(self, version: int, before: Any, bytes_before: int) -> UpdateCost:
        """Return the cost per sidecar since an earlier reply, once all have the version."""
        reply = await self.wait_until_updated(version)
        cpu_s = (reply["cpu_s"] - before["cpu_s"]) / self.count
        return UpdateCost(cpu_s, (self.server.bytes - bytes_before) / self.count)


def needs(scale: Scale) -> ResourceRequirements:
    """Return the needs of the larger part; the parts run one after the other."""
    first = len(KNOWN) * PROCESS_BYTES + SIDECARS[scale] * sum(SIDECAR_BYTES + n * CONVERTER_BYTES for n in KNOWN)
    fleet = FLEETS[scale][-1]
    second = FLEET_PROCESSES * PROCESS_BYTES + fleet * (SIDECAR_BYTES + FLEET_KNOWS[scale] * CONVERTER_BYTES)
    return ResourceRequirements(1 + max(len(KNOWN), FLEET_PROCESSES), PROCESS_BYTES + max(first, second), sockets=fleet)


def base_bytes() -> float:
    """Return the resident memory of a sidecar's program before it has any list."""
    code = "import ryepier.sidecar.__main__; print(open('/proc/self/status').read())"
    reply = subprocess.run([sys.executable, "-B", "-c", code], capture_output=True, text=True, check=True, timeout=20)
    return float(resident_bytes(reply.stdout))


# The cost of one sidecar, by the number of known converters


@asynccontextmanager
async def group(host: str, index: int, known: int, count: int, seed: int, seeded_fault: str) -> AsyncIterator[Group]:
    """Run lightweight sidecars and their discovery."""
    server = WatchServer(Listing(known, seed), (host, PORT + index), keeps_revisions=seeded_fault != "no-revisions")
    await server.open()
    try:
        async with lightweight.start_process(MODULE, [host, str(PORT + index), str(seed)]) as child:
            yield Group(known, count, server, child)
    finally:
        server.close()


async def start_sidecars(one: Group) -> Figures:
    """Measure the first list, and the memory that it takes."""
    await one.child.read()
    before, bytes_before = await one.child.request("memory"), one.server.bytes
    await one.child.request("start", count=one.count)
    cpu_s, data = await one.cost(one.server.listing.registry.rev, before, bytes_before)
    after = await one.child.request("memory")
    if after["known"] != one.count * one.known:
        raise HarnessError(f"{after['known']} converters known, not {one.count * one.known}")
    return {
        "list_bytes": data,
        "start_cpu_ms": cpu_s * 1000,
        "memory_bytes": (after["resident_bytes"] - before["resident_bytes"]) / one.count,
    }


async def change_singly(one: Group, count: int) -> Figures:
    """Drain a converter, remove it and add another, again and again, each in an update of its own."""
    listing = one.server.listing
    before, bytes_before = await one.child.request("usage"), one.server.bytes
    sent_us: dict[int, int] = {}
    for turn in range(count):
        if turn % 3 == 0:
            leaving = listing.pick(1)
        listing.change([listing.new()] if turn % 3 == 2 else leaving, ("leaving", "left", "")[turn % 3])
        now_us = monotonic_us()
        sent_us[one.server.send_changes_to_all()] = now_us
        await asyncio.sleep(CHANGE_INTERVAL_S)
    cpu_s, data = await one.cost(listing.registry.rev, before, bytes_before)
    received_us = {int(version): at_us for version, at_us in (await one.child.request("late"))["last_us"].items()}
    late_ms = [(received_us[version] - at_us) / 1000 for version, at_us in sent_us.items() if version in received_us]
    after = await one.child.request("usage")
    return {
        "change_cpu_us": cpu_s * 1e6 / count,
        "change_bytes": data / count,
        "change_late_ms": max(late_ms, default=float("inf")),
        "entries_a_change": (after["entries"] - before["entries"]) / count / one.count,
    }


async def remove_zone(one: Group) -> Figures:
    """Drain a zone's converters in one update, remove them in one each, and add as many in one."""
    listing = one.server.listing
    chosen = listing.pick(max(1, one.known // ZONE_DIVISOR))
    before, bytes_before = await one.child.request("usage"), one.server.bytes
    listing.change(chosen, "leaving")
    together_s, together = await one.cost(one.server.send_changes_to_all(), before, bytes_before)
    before, bytes_before = await one.child.request("usage"), one.server.bytes
    for entry in chosen:
        listing.change([entry], "left")
        one.server.send_changes_to_all()
    singly_s, singly = await one.cost(listing.registry.rev, before, bytes_before)
    listing.change([listing.new() for _ in chosen])
    await one.wait_until_updated(one.server.send_changes_to_all())
    return {
        "zone_together_cpu_ms": together_s * 1000,
        "zone_together_bytes": together,
        "zone_singly_cpu_ms": singly_s * 1000,
        "zone_singly_bytes": singly,
    }


async def reconnect(one: Group) -> Figures:
    """Abort all watches with one change missed, then again with discovery having lost its revisions."""
    listing, server = one.server.listing, one.server
    found: Figures = {}
    for name, forgets in (("break", False), ("again", True)):
        before, bytes_before = await one.child.request("usage"), server.bytes
        if forgets:
            listing.lose_revisions()
        else:
            listing.change([listing.new()])
        server.forget_encoded()
        server.abort_all()
        cpu_s, found[f"{name}_bytes"] = await one.cost(listing.registry.rev, before, bytes_before)
        found[f"{name}_cpu_ms"] = cpu_s * 1000
    return found


async def stay_idle(groups: Sequence[Group], for_s: float) -> list[Figures]:
    """Measure all groups at once while nothing changes and only the heartbeats of the watch arrive."""
    before, bytes_before = [await one.child.request("usage") for one in groups], [one.server.bytes for one in groups]
    await asyncio.sleep(for_s)
    after = [await one.child.request("usage") for one in groups]
    return [
        {
            "idle_cores": (late["cpu_s"] - early["cpu_s"]) / one.count / for_s,
            "idle_bytes_per_s": (one.server.bytes - data) / one.count / for_s,
        }
        for one, early, late, data in zip(groups, before, after, bytes_before, strict=True)
    ]


async def measure_by_known(seed: int, scale: Scale, seeded_fault: str) -> dict[int, Figures]:
    """Measure each number of known converters, one after another but for the idle time."""
    host = f"127.{find_network()}.254.2"
    async with AsyncExitStack() as stack:
        groups = [
            await stack.enter_async_context(group(host, index, known, SIDECARS[scale], seed, seeded_fault))
            for index, known in enumerate(KNOWN)
        ]
        rows = {one.known: await start_sidecars(one) for one in groups}
        for one, idle in zip(groups, await stay_idle(groups, IDLE_S[scale]), strict=True):
            rows[one.known] |= idle
        for one in groups:
            rows[one.known] |= await change_singly(one, CHANGES[scale])
            rows[one.known] |= await remove_zone(one)
            rows[one.known] |= await reconnect(one)
    return rows


# The cost of discovery, by the number of sidecars that reconnect


async def outage(count: int, server: WatchServer, children: Sequence[LightweightProcess]) -> Figures:
    """Stop discovery for a moment and start it without its revisions; return the calls, the bytes and their times."""
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
    replies = await asyncio.gather(
        *(child.request("until", version=version, within_s=RECONNECT_TIMEOUT_S) for child in children)
    )
    calls_s = (np.sort(server.calls_us) - back_us) / 1e6
    inside = np.searchsorted(calls_s, calls_s + WINDOW_US / 1e6) - np.arange(len(calls_s))
    back_cpu_s = sum(late["cpu_s"] - early["cpu_s"] for early, late in zip(away, replies, strict=True))
    server_cpu_s = own_usage().cpu_s_since(own)
    away_s = [late["cpu_s"] - early["cpu_s"] for early, late in zip(before, away, strict=True)]
    return {
        "back": sum(one["have"] for one in replies) / count,
        "calls": float(len(server.calls_us)),
        "bytes": float(server.bytes),
        "stand_in_cpu_s": server_cpu_s,
        "cpu_ms": 1000 * back_cpu_s / count,
        # as if each sidecar had a core: its next connection, discovery's writes to all, and its own list
        "back_alone_s": WATCH_RETRY_S + server_cpu_s + back_cpu_s / count,
        "back_after_s": (max(one["last_us"] for one in replies) - back_us) / 1e6,
        "peak_share": float(inside.max(initial=0)) / count,
        "away_cores": max(away_s) / each / OUTAGE_S,
    }


async def measure_by_fleet(seed: int, scale: Scale, seeded_fault: str) -> dict[int, Figures]:
    """Grow one fleet, with an outage at each size."""
    host = f"127.{find_network()}.254.2"
    server = WatchServer(
        Listing(FLEET_KNOWS[scale], seed), (host, PORT), keeps_revisions=seeded_fault != "no-revisions"
    )
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
            started = 0
            for count in FLEETS[scale]:
                more = (count - started) // len(children)
                await asyncio.gather(*(child.request("start", count=more) for child in children))
                started = count
                replies = await asyncio.gather(
                    *(
                        child.request("until", version=server.listing.registry.rev, within_s=RECONNECT_TIMEOUT_S)
                        for child in children
                    )
                )
                if sum(one["have"] for one in replies) < count:
                    raise HarnessError(f"{count} lightweight sidecars did not start")
                rows[count] = await outage(count, server, children)
    finally:
        server.close()
    return rows


# Claims


def fit_figure(name: str, rows: Mapping[int, Figures]) -> slopes.Slope:
    """Return the line of a figure over the number of known converters."""
    return slopes.fit(list(rows), [row[name] for row in rows.values()])


def derive_figures(rows: Mapping[int, Figures], base_mb: float) -> Figures:
    """Return the figures at the largest number of known converters, with a day's changes."""
    largest = rows[KNOWN[-1]]
    a_second = CHANGES_A_DAY / DAY_S
    memory, again = fit_figure("memory_bytes", rows), fit_figure("again_cpu_ms", rows)
    return {
        "base_mb": base_mb,
        "sidecar_mb": base_mb + memory.at(KNOWN[-1]).value / MB,
        "memory_bytes_a_converter": memory.per_unit,
        "memory_residual": memory.relative_residual,
        "again_cpu_us_a_converter": again.per_unit * 1000,
        "again_residual": again.relative_residual,
        "change_cpu_us_a_converter": fit_figure("change_cpu_us", rows).per_unit,
        "zone_cpu_us_a_change": largest["zone_singly_cpu_ms"] * 1000 / (KNOWN[-1] // ZONE_DIVISOR),
        "day_cores": largest["idle_cores"] + a_second * largest["change_cpu_us"] / 1e6,
        "day_bytes_per_s": largest["idle_bytes_per_s"] + a_second * largest["change_bytes"],
    }


def claims(rows: Mapping[int, Figures], fleets: Mapping[int, Figures], found: Figures) -> list[Claim]:
    """Return the claims."""
    largest, fleet = rows[KNOWN[-1]], fleets[max(fleets)]
    return [
        Claim("memory of a sidecar that knows 1,600 converters (MB)", found["sidecar_mb"], "<=", BUDGET_MB),
        Claim("largest residual of its line over the largest value", found["memory_residual"], "<=", 0.1),
        Claim("cores for a day's changes, 1,600 known", found["day_cores"], "<=", BUDGET_CORES),
        Claim("bytes a second for a day's changes, 1,600 known", found["day_bytes_per_s"], "<=", BUDGET_BYTES_PER_S),
        Claim("bytes of one change", largest["change_bytes"], "<=", 500),
        Claim(
            "from a change to the last module that has it, most (s)", largest["change_late_ms"] / 1000, "<=", IN_FORCE_S
        ),
        Claim("changes that each module was told, of one", largest["entries_a_change"], "==", 1),
        Claim("bytes of a watch that broke and missed one change", largest["break_bytes"], "<=", 1000),
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
    """Measure both parts. Raises InsufficientResourcesError and HarnessError."""
    check_requirements(needs(trial.scale), this_machine())
    busy = {"load_average": os.getloadavg()[0]}
    rows = asyncio.run(measure_by_known(trial.seed, trial.scale, trial.seeded_fault))
    fleets = asyncio.run(measure_by_fleet(trial.seed, trial.scale, trial.seeded_fault))
    found = derive_figures(rows, base_bytes() / MB)
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
