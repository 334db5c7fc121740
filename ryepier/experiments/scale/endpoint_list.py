"""`scale-list`: what does the endpoint list cost a sidecar and discovery as the fleet grows?

Lightweight sidecars follow an emulated discovery. The first part measures the cost of a sidecar by the number of known
converters, the second the cost of discovery by the number of sidecars that reconnect after an outage. Claims: a sidecar
with 1,600 known converters stays within its budgets (`BUDGET_...`), and all sidecars have the list again after the
outage.
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

KNOWN_COUNTS = (30, 150, 400, 800, 1600)  # numbers of converters that a sidecar knows
SIDECARS_PER_GROUP = {Scale.SMALL: 12, Scale.FULL: 40}  # lightweight sidecars for each of KNOWN_COUNTS
# numbers of sidecars that reconnect after an outage
FLEET_SIZES = {Scale.SMALL: (100, 200, 400, 800), Scale.FULL: (200, 400, 800, 1600)}
FLEET_KNOWN_COUNT = {Scale.SMALL: 30, Scale.FULL: 150}  # converters that each of these sidecars knows
FLEET_PROCESS_COUNT = 4
CHANGE_COUNT = {Scale.SMALL: 40, Scale.FULL: 200}
CHANGE_INTERVAL_S = 0.02
IDLE_DURATION_S = {Scale.SMALL: 3.0, Scale.FULL: 10.0}
ZONE_DIVISOR = 8  # a zone contains an eighth of the converters
OUTAGE_DURATION_S = 1.0
RECONNECT_TIMEOUT_S = 25.0  # a busy machine needs this long for 1,600 sidecars
UPDATE_TIMEOUT_S = 10.0
PEAK_WINDOW_US = 100_000
PORT = 8501  # below the ephemeral ports, as a connection to an unused ephemeral port could connect to itself
CHANGES_PER_DAY = 2330  # 2,000 changes of configuration, and three changes of state for each of 110 machines
DAY_S = 86_400
PROCESS_BYTES = 120_000_000  # memory of a process without sidecars
SIDECAR_BYTES = 200_000  # memory that each lightweight sidecar adds
CONVERTER_BYTES = 3_000  # memory that each known converter adds to a sidecar
MB = 1e6
SIDECAR_MODULE = "ryepier.experiments.scale.lightweight_sidecar"
BUDGET_CORES, BUDGET_MB, BUDGET_BYTES_PER_S, MAX_PROPAGATION_S = 0.022, 64.0, 3000.0, 6.0
Figures = dict[str, float]


class UpdateCost(NamedTuple):
    """The CPU time that one sidecar uses, and the bytes that it receives, for an update of the list."""

    cpu_s: float
    received_bytes: float


@dataclass(frozen=True, slots=True)
class Group:
    """Lightweight sidecars of one process that know the same number of converters, and the discovery they follow."""

    known_count: int  # converters that each sidecar knows
    sidecar_count: int
    server: WatchServer
    process: LightweightProcess

    async def wait_until_updated(self, version: int) -> Any:
        """Wait until all sidecars have a version of the list, and return the process's reply to `until`.

        Raises HarnessError after `UPDATE_TIMEOUT_S`.
        """
        reply = await self.process.request("until", version=version, within_s=UPDATE_TIMEOUT_S)
        if reply["have"] < self.sidecar_count:
            raise HarnessError(
                f"{reply['have']} of {self.sidecar_count} lightweight sidecars received the endpoint list in time"
            )
        return reply

    async def measure_cost(self, version: int, before: Any, bytes_before: int) -> UpdateCost:
        """Wait until all sidecars have a version of the list, and return the cost of the update per sidecar.

        `before` is the process's usage before the update, and `bytes_before` is what discovery had sent until then.
        """
        reply = await self.wait_until_updated(version)
        cpu_s = (reply["cpu_s"] - before["cpu_s"]) / self.sidecar_count
        return UpdateCost(cpu_s, (self.server.bytes_sent - bytes_before) / self.sidecar_count)


def required_resources(scale: Scale) -> ResourceRequirements:
    """Return the resources that the benchmark requires.

    The two parts of the benchmark run one after the other, so the memory is that of the larger part.
    """
    known_count_part_bytes = len(KNOWN_COUNTS) * PROCESS_BYTES + SIDECARS_PER_GROUP[scale] * sum(
        SIDECAR_BYTES + known_count * CONVERTER_BYTES for known_count in KNOWN_COUNTS
    )
    fleet_size = FLEET_SIZES[scale][-1]
    fleet_part_bytes = FLEET_PROCESS_COUNT * PROCESS_BYTES + fleet_size * (
        SIDECAR_BYTES + FLEET_KNOWN_COUNT[scale] * CONVERTER_BYTES
    )
    return ResourceRequirements(
        1 + max(len(KNOWN_COUNTS), FLEET_PROCESS_COUNT),
        PROCESS_BYTES + max(known_count_part_bytes, fleet_part_bytes),
        sockets=fleet_size,
    )


def sidecar_base_bytes() -> float:
    """Return the resident memory of a sidecar process that has imported its program but has no list."""
    code = (
        "from ryepier.sidecar import optional_modules; optional_modules.leave_out_tls(); "
        "import ryepier.sidecar.process; print(open('/proc/self/status').read())"
    )
    reply = subprocess.run([sys.executable, "-B", "-c", code], capture_output=True, text=True, check=True, timeout=20)
    return float(resident_bytes(reply.stdout))


# Cost of a sidecar by the number of known converters


@asynccontextmanager
async def start_group(
    host: str, index: int, known_count: int, sidecar_count: int, seed: int, seeded_fault: str
) -> AsyncIterator[Group]:
    """Run an emulated discovery and a process for `sidecar_count` sidecars, which `start_sidecars` starts."""
    server = WatchServer(
        Listing(known_count, seed), (host, PORT + index), keeps_revisions=seeded_fault != "no-revisions"
    )
    await server.open()
    try:
        async with lightweight.start_process(SIDECAR_MODULE, [host, str(PORT + index), str(seed)]) as process:
            yield Group(known_count, sidecar_count, server, process)
    finally:
        server.close()


async def start_sidecars(group: Group) -> Figures:
    """Start the sidecars, and measure the bytes, CPU time and memory of the first list that each receives."""
    await group.process.read()
    before, bytes_before = await group.process.request("memory"), group.server.bytes_sent
    await group.process.request("start", count=group.sidecar_count)
    cpu_s, list_bytes = await group.measure_cost(group.server.listing.registry.rev, before, bytes_before)
    after = await group.process.request("memory")
    if after["known"] != group.sidecar_count * group.known_count:
        raise HarnessError(
            f"{after['known']} converters known to all sidecars together"
            f" instead of {group.sidecar_count * group.known_count}"
        )
    return {
        "list_bytes": list_bytes,
        "start_cpu_ms": cpu_s * 1000,
        "memory_bytes": (after["resident_bytes"] - before["resident_bytes"]) / group.sidecar_count,
    }


async def measure_single_changes(group: Group, change_count: int) -> Figures:
    """Measure `change_count` updates of one change each: repeatedly drain a converter, remove it, and add another."""
    listing = group.server.listing
    before, bytes_before = await group.process.request("usage"), group.server.bytes_sent
    sent_at_us: dict[int, int] = {}
    for change_index in range(change_count):
        if change_index % 3 == 0:
            leaving_entries = listing.pick_active(1)
        listing.change(
            [listing.new_entry()] if change_index % 3 == 2 else leaving_entries,
            ("leaving", "left", "")[change_index % 3],
        )
        now_us = monotonic_us()
        sent_at_us[group.server.send_changes_to_all()] = now_us
        await asyncio.sleep(CHANGE_INTERVAL_S)
    cpu_s, sent_bytes = await group.measure_cost(listing.registry.rev, before, bytes_before)
    received_at_us = {
        int(version): at_us for version, at_us in (await group.process.request("late"))["last_us"].items()
    }
    delays_ms = [
        (received_at_us[version] - at_us) / 1000 for version, at_us in sent_at_us.items() if version in received_at_us
    ]
    after = await group.process.request("usage")
    return {
        "change_cpu_us": cpu_s * 1e6 / change_count,
        "change_bytes": sent_bytes / change_count,
        "change_late_ms": max(delays_ms, default=float("inf")),
        "entries_a_change": (after["entries"] - before["entries"]) / change_count / group.sidecar_count,
    }


async def measure_zone_loss(group: Group) -> Figures:
    """Measure the loss of a zone: drain its converters in one update, and remove each of them in a separate update.

    The lost converters are replaced afterwards, which is not measured.
    """
    listing = group.server.listing
    zone_entries = listing.pick_active(max(1, group.known_count // ZONE_DIVISOR))
    before, bytes_before = await group.process.request("usage"), group.server.bytes_sent
    listing.change(zone_entries, "leaving")
    together_cpu_s, together_bytes = await group.measure_cost(group.server.send_changes_to_all(), before, bytes_before)
    before, bytes_before = await group.process.request("usage"), group.server.bytes_sent
    for entry in zone_entries:
        listing.change([entry], "left")
        group.server.send_changes_to_all()
    singly_cpu_s, singly_bytes = await group.measure_cost(listing.registry.rev, before, bytes_before)
    listing.change([listing.new_entry() for _ in zone_entries])
    await group.wait_until_updated(group.server.send_changes_to_all())
    return {
        "zone_together_cpu_ms": together_cpu_s * 1000,
        "zone_together_bytes": together_bytes,
        "zone_singly_cpu_ms": singly_cpu_s * 1000,
        "zone_singly_bytes": singly_bytes,
    }


async def measure_reconnections(group: Group) -> Figures:
    """Measure two reconnections of all sidecars: after one missed change, and after discovery lost its revisions."""
    listing, server = group.server.listing, group.server
    figures: Figures = {}
    for name, loses_revisions in (("break", False), ("again", True)):
        before, bytes_before = await group.process.request("usage"), server.bytes_sent
        if loses_revisions:
            listing.lose_revisions()
        else:
            listing.change([listing.new_entry()])
        server.clear_cached_messages()
        server.abort_all()
        cpu_s, figures[f"{name}_bytes"] = await group.measure_cost(listing.registry.rev, before, bytes_before)
        figures[f"{name}_cpu_ms"] = cpu_s * 1000
    return figures


async def measure_idle(groups: Sequence[Group], duration_s: float) -> list[Figures]:
    """Measure all groups at the same time, while they receive only the heartbeats of their watches."""
    before, bytes_before = (
        [await group.process.request("usage") for group in groups],
        [group.server.bytes_sent for group in groups],
    )
    await asyncio.sleep(duration_s)
    after = [await group.process.request("usage") for group in groups]
    return [
        {
            "idle_cores": (usage_after["cpu_s"] - usage_before["cpu_s"]) / group.sidecar_count / duration_s,
            "idle_bytes_per_s": (group.server.bytes_sent - bytes_sent_before) / group.sidecar_count / duration_s,
        }
        for group, usage_before, usage_after, bytes_sent_before in zip(groups, before, after, bytes_before, strict=True)
    ]


async def measure_by_known_count(seed: int, scale: Scale, seeded_fault: str) -> dict[int, Figures]:
    """Measure the cost of a sidecar for each number of known converters.

    The groups are measured one after another, except for the idle cost, which is measured for all at the same time.
    """
    host = f"127.{find_network()}.254.2"
    async with AsyncExitStack() as stack:
        groups = [
            await stack.enter_async_context(
                start_group(host, index, known_count, SIDECARS_PER_GROUP[scale], seed, seeded_fault)
            )
            for index, known_count in enumerate(KNOWN_COUNTS)
        ]
        figures_by_known_count = {group.known_count: await start_sidecars(group) for group in groups}
        for group, idle_figures in zip(groups, await measure_idle(groups, IDLE_DURATION_S[scale]), strict=True):
            figures_by_known_count[group.known_count] |= idle_figures
        for group in groups:
            figures_by_known_count[group.known_count] |= await measure_single_changes(group, CHANGE_COUNT[scale])
            figures_by_known_count[group.known_count] |= await measure_zone_loss(group)
            figures_by_known_count[group.known_count] |= await measure_reconnections(group)
    return figures_by_known_count


# Cost of discovery by the number of sidecars that reconnect


async def run_outage(sidecar_count: int, server: WatchServer, processes: Sequence[LightweightProcess]) -> Figures:
    """Stop discovery for `OUTAGE_DURATION_S`, restart it without its revisions, and return the cost of reconnecting."""
    sidecars_per_process = sidecar_count / len(processes)
    usage_before_outage = [await process.request("usage") for process in processes]
    server.close()
    await asyncio.sleep(OUTAGE_DURATION_S)
    usage_at_outage_end = [await process.request("usage") for process in processes]
    server.listing.lose_revisions()
    server.call_times_us.clear()
    server.bytes_sent = 0
    own_usage_before = own_usage()
    await server.open()
    restarted_at_us, version = monotonic_us(), server.listing.registry.rev
    replies = await asyncio.gather(
        *(process.request("until", version=version, within_s=RECONNECT_TIMEOUT_S) for process in processes)
    )
    call_times_s = (np.sort(server.call_times_us) - restarted_at_us) / 1e6
    calls_per_window = np.searchsorted(call_times_s, call_times_s + PEAK_WINDOW_US / 1e6) - np.arange(len(call_times_s))
    reconnect_cpu_s = sum(
        later["cpu_s"] - earlier["cpu_s"] for earlier, later in zip(usage_at_outage_end, replies, strict=True)
    )
    server_cpu_s = own_usage().cpu_s_since(own_usage_before)
    outage_cpu_s = [
        later["cpu_s"] - earlier["cpu_s"]
        for earlier, later in zip(usage_before_outage, usage_at_outage_end, strict=True)
    ]
    return {
        "back": sum(reply["have"] for reply in replies) / sidecar_count,
        "calls": float(len(server.call_times_us)),
        "bytes": float(server.bytes_sent),
        "stand_in_cpu_s": server_cpu_s,
        "cpu_ms": 1000 * reconnect_cpu_s / sidecar_count,
        # calculated for sidecars with a core each: the retry interval, discovery's writes to all sidecars, and the
        # time in which one sidecar reads the list
        "back_alone_s": WATCH_RETRY_S + server_cpu_s + reconnect_cpu_s / sidecar_count,
        "back_after_s": (max(reply["last_us"] for reply in replies) - restarted_at_us) / 1e6,
        "peak_share": float(calls_per_window.max(initial=0)) / sidecar_count,
        "away_cores": max(outage_cpu_s) / sidecars_per_process / OUTAGE_DURATION_S,
    }


async def measure_by_fleet_size(seed: int, scale: Scale, seeded_fault: str) -> dict[int, Figures]:
    """Grow a fleet through `FLEET_SIZES`, and measure an outage at each size."""
    host = f"127.{find_network()}.254.2"
    server = WatchServer(
        Listing(FLEET_KNOWN_COUNT[scale], seed), (host, PORT), keeps_revisions=seeded_fault != "no-revisions"
    )
    await server.open()
    figures_by_fleet_size: dict[int, Figures] = {}
    try:
        async with AsyncExitStack() as stack:
            processes = [
                await stack.enter_async_context(
                    lightweight.start_process(SIDECAR_MODULE, [host, str(PORT), str(seed + index)])
                )
                for index in range(FLEET_PROCESS_COUNT)
            ]
            for process in processes:
                await process.read()
            started_count = 0
            for fleet_size in FLEET_SIZES[scale]:
                new_per_process = (fleet_size - started_count) // len(processes)
                await asyncio.gather(*(process.request("start", count=new_per_process) for process in processes))
                started_count = fleet_size
                replies = await asyncio.gather(
                    *(
                        process.request("until", version=server.listing.registry.rev, within_s=RECONNECT_TIMEOUT_S)
                        for process in processes
                    )
                )
                if sum(reply["have"] for reply in replies) < fleet_size:
                    raise HarnessError(
                        f"{fleet_size} lightweight sidecars did not all receive the endpoint list after their start"
                    )
                figures_by_fleet_size[fleet_size] = await run_outage(fleet_size, server, processes)
    finally:
        server.close()
    return figures_by_fleet_size


# Claims


def fit_figure(name: str, figures_by_known_count: Mapping[int, Figures]) -> slopes.Slope:
    """Return the line fitted to a figure by the number of known converters."""
    return slopes.fit(list(figures_by_known_count), [figures[name] for figures in figures_by_known_count.values()])


def derive_figures(figures_by_known_count: Mapping[int, Figures], base_mb: float) -> Figures:
    """Return the costs at the largest number of known converters, including those of a day's changes."""
    figures_at_largest_count = figures_by_known_count[KNOWN_COUNTS[-1]]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    memory_line, full_list_line = (
        fit_figure("memory_bytes", figures_by_known_count),
        fit_figure("again_cpu_ms", figures_by_known_count),
    )
    return {
        "base_mb": base_mb,
        "sidecar_mb": base_mb + memory_line.at(KNOWN_COUNTS[-1]).value / MB,
        "memory_bytes_a_converter": memory_line.per_unit,
        "memory_residual": memory_line.relative_residual,
        "again_cpu_us_a_converter": full_list_line.per_unit * 1000,
        "again_residual": full_list_line.relative_residual,
        "change_cpu_us_a_converter": fit_figure("change_cpu_us", figures_by_known_count).per_unit,
        "zone_cpu_us_a_change": figures_at_largest_count["zone_singly_cpu_ms"]
        * 1000
        / (KNOWN_COUNTS[-1] // ZONE_DIVISOR),
        "day_cores": figures_at_largest_count["idle_cores"]
        + changes_per_s * figures_at_largest_count["change_cpu_us"] / 1e6,
        "day_bytes_per_s": figures_at_largest_count["idle_bytes_per_s"]
        + changes_per_s * figures_at_largest_count["change_bytes"],
    }


def make_claims(
    figures_by_known_count: Mapping[int, Figures],
    figures_by_fleet_size: Mapping[int, Figures],
    derived_figures: Figures,
) -> list[Claim]:
    """Return the claims on the cost of a sidecar and on the outages of the fleet."""
    figures_at_largest_count, fleet_figures = (
        figures_by_known_count[KNOWN_COUNTS[-1]],
        figures_by_fleet_size[max(figures_by_fleet_size)],
    )
    return [
        Claim("memory of a sidecar that knows 1,600 converters (MB)", derived_figures["sidecar_mb"], "<=", BUDGET_MB),
        Claim("largest residual of its line over the largest value", derived_figures["memory_residual"], "<=", 0.1),
        Claim("cores for a day's changes, 1,600 known", derived_figures["day_cores"], "<=", BUDGET_CORES),
        Claim(
            "bytes a second for a day's changes, 1,600 known",
            derived_figures["day_bytes_per_s"],
            "<=",
            BUDGET_BYTES_PER_S,
        ),
        Claim("bytes of one change", figures_at_largest_count["change_bytes"], "<=", 500),
        Claim(
            "from a change to the last module that has it, most (s)",
            figures_at_largest_count["change_late_ms"] / 1000,
            "<=",
            MAX_PROPAGATION_S,
        ),
        Claim("changes that each module was told, of one", figures_at_largest_count["entries_a_change"], "==", 1),
        Claim("bytes of a watch that broke and missed one change", figures_at_largest_count["break_bytes"], "<=", 1000),
        Claim(
            f"share of {max(figures_by_fleet_size)} that have the list again after an outage",
            fleet_figures["back"],
            "==",
            1,
        ),
        Claim("calls a sidecar for it", fleet_figures["calls"] / max(figures_by_fleet_size), "<=", 1.1),
        Claim(
            "until the last has it, each sidecar on a core of its own, by calculation (s)",
            fleet_figures["back_alone_s"],
            "<=",
            MAX_PROPAGATION_S,
        ),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Run the benchmark. Raises InsufficientResourcesError and HarnessError."""
    check_requirements(required_resources(trial.scale), this_machine())
    load_figures = {"load_average": os.getloadavg()[0]}
    figures_by_known_count = asyncio.run(measure_by_known_count(trial.seed, trial.scale, trial.seeded_fault))
    figures_by_fleet_size = asyncio.run(measure_by_fleet_size(trial.seed, trial.scale, trial.seeded_fault))
    derived_figures = derive_figures(figures_by_known_count, sidecar_base_bytes() / MB)
    for known_count, size_figures in figures_by_known_count.items():
        size_figures |= list_costs.measure(known_count, trial.seed)
    figures = {
        f"{name}_{known_count}": value
        for known_count, size_figures in figures_by_known_count.items()
        for name, value in size_figures.items()
    }
    figures |= {
        f"fleet_{name}_{fleet_size}": value
        for fleet_size, size_figures in figures_by_fleet_size.items()
        for name, value in size_figures.items()
    }
    return Measurement(
        make_claims(figures_by_known_count, figures_by_fleet_size, derived_figures),
        figures | derived_figures | load_figures,
    )


EXPERIMENT = Benchmark(
    name="scale-list",
    description="the list in a sidecar and at discovery, up to 1,600 known converters",
    measure=measure,
    seeded_faults=("no-revisions",),
)
