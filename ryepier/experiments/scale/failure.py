"""`scale-fail`: what do the updates of the endpoint list cost when a rack, a zone or a region is lost?

A few lightweight sidecars that know 1,600 converters receive bursts of drains, to measure the cost of a change in a
sidecar. A growing fleet that knows fewer converters receives the drains of a rack and of a zone, to measure the cost of
sending them to many sidecars. Bursts are sent with one message per change and, except for a rack at the growing fleet,
also as a single message. From both parts, the cost is calculated for a whole fleet whose sidecars have a core each.
Claims: each decision module receives each change once and drops draining converters, the CPU time grows linearly, and
the last of 1,600 sidecars has the changes of a rack and of a zone in time and within its CPU budget.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

from ryepier.emulator.errors import HarnessError
from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import monotonic_us
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.machine import ResourceRequirements, check_requirements, this_machine
from ryepier.experiments.core.usage import own_usage
from ryepier.experiments.scale import lightweight, slopes
from ryepier.experiments.scale.endpoint_list import (
    BUDGET_CORES,
    CONVERTER_BYTES,
    MAX_PROPAGATION_S,
    PORT,
    PROCESS_BYTES,
    SIDECAR_BYTES,
    SIDECAR_MODULE,
    Figures,
)
from ryepier.experiments.scale.fleet_list import Entry, Listing, WatchServer
from ryepier.experiments.scale.lightweight import LightweightProcess

KNOWN_COUNT = 1600  # converters at the design size
FLEET_SIZE = 1600  # sidecars at the design size
# converters that are lost at once; with a region, as many sidecars are lost
RACK_SIZE, ZONE_SIZE, REGION_SIZE = 40, 200, 800
BURST_SIZES = (RACK_SIZE, 100, ZONE_SIZE, 400, REGION_SIZE)
# sidecars that know all converters, at which losses of `BURST_SIZES` converters are measured
LISTENER_COUNT = {Scale.SMALL: 8, Scale.FULL: 24}
FLEET_SIZES = {Scale.SMALL: (40, 80, 120, 160), Scale.FULL: (200, 400, 800, 1600)}
# converters that the sidecars of the growing fleet know; the cost of sending a change does not depend on their
# number, and full lists for 1,600 sidecars would not fit into memory
FLEET_KNOWN_COUNT = 250
PROCESS_COUNT = 4
LIST_TIMEOUT_S = 25.0
MAX_RELATIVE_RESIDUAL = 0.25
MS_PER_S = 1000
US_PER_S = 1e6


def required_resources(scale: Scale) -> ResourceRequirements:
    """Return the resources that the benchmark requires.

    Its two fleets run one after the other, so the memory is that of the larger fleet.
    """
    sidecar_bytes = max(
        sidecar_count * (SIDECAR_BYTES + known_count * CONVERTER_BYTES)
        for sidecar_count, known_count in (
            (LISTENER_COUNT[scale], KNOWN_COUNT),
            (FLEET_SIZES[scale][-1], FLEET_KNOWN_COUNT),
        )
    )
    return ResourceRequirements(
        1 + PROCESS_COUNT, (1 + PROCESS_COUNT) * PROCESS_BYTES + sidecar_bytes, sockets=FLEET_SIZES[scale][-1]
    )


@dataclass(slots=True)
class Fleet:
    """Lightweight sidecars in several processes that all follow one discovery."""

    server: WatchServer
    processes: Sequence[LightweightProcess]
    known_count: int  # converters that each sidecar knows
    sidecar_count: int = 0

    async def request(self, command: str, **options: Any) -> list[Any]:
        """Send a command to all processes, and return their answers in the order of the processes."""
        return list(await asyncio.gather(*(process.request(command, **options) for process in self.processes)))

    async def wait_for_list(self) -> list[Any]:
        """Wait until all sidecars have the list, and return the answers. Raises HarnessError after `LIST_TIMEOUT_S`."""
        answers = await self.request("until", version=self.server.listing.registry.rev, within_s=LIST_TIMEOUT_S)
        if (updated_count := sum(answer["have"] for answer in answers)) < self.sidecar_count:
            raise HarnessError(
                f"{updated_count} of {self.sidecar_count} lightweight sidecars received the endpoint list in time"
            )
        return answers

    async def grow(self, sidecar_count: int) -> None:
        """Start sidecars until there are `sidecar_count`, and wait until all have the list."""
        await self.request("start", count=(sidecar_count - self.sidecar_count) // len(self.processes))
        self.sidecar_count = sidecar_count
        await self.wait_for_list()

    async def lose_converters(self, lost_count: int, singly: bool = True) -> Figures:
        """Drain `lost_count` converters, and return the cost of these drains. Afterwards the converters are replaced.

        The drains are sent as one message per converter if `singly`, and otherwise as a single message.
        """
        listing = self.server.listing
        lost_entries = listing.pick_active(lost_count)
        before, bytes_before, own_usage_before = await self.request("usage"), self.server.bytes_sent, own_usage()
        started_at_us = monotonic_us()
        await self._send_drains(lost_entries, singly)
        after = await self.wait_for_list()
        figures = {
            "stand_in_cpu_s": own_usage().cpu_s_since(own_usage_before),
            "bytes": (self.server.bytes_sent - bytes_before) / self.sidecar_count,
            "last_s": (max(answer["last_us"] for answer in after) - started_at_us) / US_PER_S,
            "cpu_ms": MS_PER_S * _total_growth(before, after, "cpu_s") / self.sidecar_count,
            "told": _total_growth(before, after, "entries") / self.sidecar_count / lost_count,
            "still_ready": await self._mean_known_count() - self.known_count + lost_count,
        }
        listing.change(lost_entries, "left")
        listing.change([listing.new_entry() for _ in lost_entries])
        self.server.send_changes_to_all()
        await self.wait_for_list()
        return figures

    async def _send_drains(self, lost_entries: Sequence[Entry], singly: bool) -> None:
        for entries in [[entry] for entry in lost_entries] if singly else [lost_entries]:
            self.server.listing.change(entries, "leaving")
            self.server.send_changes_to_all()
            if singly:
                await asyncio.sleep(0)

    async def _mean_known_count(self) -> float:
        return float(sum(answer["known"] for answer in await self.request("memory")) / self.sidecar_count)


def _total_growth(before: Sequence[Any], after: Sequence[Any], name: str) -> float:
    """Return how much the sum of a value over all processes has grown."""
    return float(sum(later[name] - earlier[name] for earlier, later in zip(before, after, strict=True)))


@asynccontextmanager
async def start_fleet(known_count: int, seed: int, seeded_fault: str) -> AsyncIterator[Fleet]:
    """Start discovery and the processes, without any sidecars yet, and stop them on leaving."""
    host = f"127.{find_network()}.254.2"
    server = WatchServer(Listing(known_count, seed), (host, PORT))
    await server.open()
    try:
        async with AsyncExitStack() as stack:
            processes = []
            for index in range(PROCESS_COUNT):
                arguments = [host, str(PORT), str(seed * PROCESS_COUNT + index), seeded_fault]
                processes.append(await stack.enter_async_context(lightweight.start_process(SIDECAR_MODULE, arguments)))
            for process in processes:
                await process.read()
            yield Fleet(server, processes, known_count)
    finally:
        server.close()


async def measure_losses(trial: TrialConfig) -> Figures:
    """Measure the cost of losing converters, and return the figures.

    Groups of each of `BURST_SIZES` are lost at a few sidecars that know all converters. A rack and a zone are lost at
    each size of a growing fleet, whose sidecars know fewer converters.
    """
    figures: Figures = {}
    async with start_fleet(KNOWN_COUNT, trial.seed, trial.seeded_fault) as listeners:
        await listeners.grow(LISTENER_COUNT[trial.scale])
        for burst_size in BURST_SIZES:
            figures |= _name_figures("burst", burst_size, await listeners.lose_converters(burst_size))
            figures |= _name_figures("together", burst_size, await listeners.lose_converters(burst_size, singly=False))
    async with start_fleet(FLEET_KNOWN_COUNT, trial.seed, trial.seeded_fault) as fleet:
        for fleet_size in FLEET_SIZES[trial.scale]:
            await fleet.grow(fleet_size)
            figures |= _name_figures("rack", fleet_size, await fleet.lose_converters(RACK_SIZE))
            figures |= _name_figures("zone", fleet_size, await fleet.lose_converters(ZONE_SIZE))
            figures |= _name_figures("zone_together", fleet_size, await fleet.lose_converters(ZONE_SIZE, singly=False))
    return figures


def _name_figures(loss: str, size: int, figures: Figures) -> Figures:
    return {f"{loss}_{name}_{size}": value for name, value in figures.items()}


def _fit(figures: Mapping[str, float], name: str, sizes: Sequence[int]) -> slopes.Slope:
    return slopes.fit(sizes, [figures[f"{name}_{size}"] for size in sizes])


def calculate_fleet_costs(figures: Mapping[str, float], scale: Scale) -> Figures:
    """Calculate the costs of the whole fleet if discovery has one core, and each sidecar a core of its own."""
    single_change_line, combined_change_line = (
        _fit(figures, "burst_cpu_ms", BURST_SIZES),
        _fit(figures, "together_cpu_ms", BURST_SIZES),
    )
    discovery_single_change_line = _fit(figures, "zone_stand_in_cpu_s", FLEET_SIZES[scale])
    discovery_combined_change_line = _fit(figures, "zone_together_stand_in_cpu_s", FLEET_SIZES[scale])
    costs = {
        "change_cpu_us": single_change_line.per_unit * 1000,
        "change_residual": single_change_line.relative_residual,
        "message_us": discovery_single_change_line.per_unit * 1e6 / ZONE_SIZE,
    }
    for name, size, sidecar_count in (
        ("rack", RACK_SIZE, FLEET_SIZE),
        ("zone", ZONE_SIZE, FLEET_SIZE),
        ("region", REGION_SIZE, FLEET_SIZE - REGION_SIZE),
    ):
        costs |= {
            f"{name}_messages": float(size * sidecar_count),
            f"{name}_mb": figures[f"burst_bytes_{size}"] * sidecar_count / 1e6,
            f"{name}_sidecar_ms": single_change_line.at(size).value,
            f"{name}_singly_last_s": discovery_single_change_line.per_unit * sidecar_count * size / ZONE_SIZE
            + single_change_line.at(size).value / 1000,
            # a longer message takes longer to write; its whole cost is assumed to be proportional to the changes in it
            f"{name}_together_last_s": discovery_combined_change_line.per_unit
            * sidecar_count
            * max(1.0, size / ZONE_SIZE)
            + combined_change_line.at(size).value / 1000,
        }
    return costs


def make_claims(figures: Mapping[str, float]) -> list[Claim]:
    """Return the claims on the figures, which must include those of `calculate_fleet_costs`."""
    delivered_ratios = [value for name, value in figures.items() if "_told_" in name]
    still_ready_counts = [value for name, value in figures.items() if "_still_ready_" in name]
    return [
        Claim("changes that a module was told, of one, least", min(delivered_ratios), "==", 1),
        Claim("changes that a module was told, of one, most", max(delivered_ratios), "==", 1),
        Claim("converters that drain and that a module still has for ready, most", max(still_ready_counts), "==", 0),
        Claim(
            "largest residual of CPU by changes over the largest value",
            figures["change_residual"],
            "<=",
            MAX_RELATIVE_RESIDUAL,
        ),
        Claim(
            "until the last of 1,600 has a rack's changes told singly, by calculation (s)",
            figures["rack_singly_last_s"],
            "<=",
            MAX_PROPAGATION_S,
        ),
        Claim(
            "until the last of 1,600 has a zone's changes told together, by calculation (s)",
            figures["zone_together_last_s"],
            "<=",
            MAX_PROPAGATION_S,
        ),
        Claim(
            "CPU of a zone's changes in a sidecar (ms of its budget for 6 s)",
            figures["zone_sidecar_ms"],
            "<=",
            BUDGET_CORES * MAX_PROPAGATION_S * 1000,
        ),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Measure the losses, and calculate the costs of the whole fleet. Raises InsufficientResourcesError."""
    check_requirements(required_resources(trial.scale), this_machine())
    figures = {"load_average": os.getloadavg()[0]} | asyncio.run(measure_losses(trial))
    figures |= calculate_fleet_costs(figures, trial.scale)
    return Measurement(make_claims(figures), figures)


EXPERIMENT = Benchmark(
    name="scale-fail",
    description="the loss of a rack, a zone, a region: the list's messages, CPU and time",
    measure=measure,
    seeded_faults=("deaf",),
)
