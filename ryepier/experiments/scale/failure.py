"""`scale-fail`: what does the loss of a rack, a zone or a region cost on the list's side?

A few lightweight sidecars that know 1,600 converters receive bursts of drains, for the cost of a change in a sidecar. A
growing fleet that knows fewer receives those of a rack and a zone, for the cost of telling a fleet; each burst as one
message per change and as one message in all. The whole fleet is calculated from both, with a core for each sidecar.
Claims: each decision module has each change once and forgets what drains, the CPU time grows linearly, and the last of
1,600 sidecars has a rack's and a zone's changes in time, within its CPU budget.
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
    IN_FORCE_S,
    MODULE,
    PORT,
    PROCESS_BYTES,
    SIDECAR_BYTES,
    Figures,
)
from ryepier.experiments.scale.fleet_list import Entry, Listing, WatchServer
from ryepier.experiments.scale.lightweight import LightweightProcess

KNOWN = 1600
FLEET = 1600
RACK, ZONE, REGION = 40, 200, 800  # converters, and sidecars, that are lost at once
BURSTS = (RACK, 100, ZONE, 400, REGION)
LISTENERS = {Scale.SMALL: 8, Scale.FULL: 24}  # sidecars that know all converters
FLEETS = {Scale.SMALL: (40, 80, 120, 160), Scale.FULL: (200, 400, 800, 1600)}
FLEET_KNOWS = 250  # converters; telling costs the same, and 1,600 whole lists would not fit into memory
PROCESSES = 4
LIST_TIMEOUT_S = 25.0
MAX_RESIDUAL = 0.25
MS_PER_S = 1000
US_PER_S = 1e6


def needs(scale: Scale) -> ResourceRequirements:
    """Return what the larger of the two parts needs, which run one after another."""
    own = max(
        count * (SIDECAR_BYTES + known * CONVERTER_BYTES)
        for count, known in ((LISTENERS[scale], KNOWN), (FLEETS[scale][-1], FLEET_KNOWS))
    )
    return ResourceRequirements(1 + PROCESSES, (1 + PROCESSES) * PROCESS_BYTES + own, sockets=FLEETS[scale][-1])


@dataclass(slots=True)
class Fleet:
    """Lightweight sidecars of several processes, all at one discovery."""

    server: WatchServer
    processes: Sequence[LightweightProcess]
    known: int  # converters that each knows
    count: int = 0

    async def request(self, command: str, **options: Any) -> list[Any]:
        """Send a command to all processes, and return their answers."""
        return list(await asyncio.gather(*(process.request(command, **options) for process in self.processes)))

    async def wait_for_list(self) -> list[Any]:
        """Wait until all have the current list, and return the answers. Raises HarnessError after a timeout."""
        answers = await self.request("until", version=self.server.listing.registry.rev, within_s=LIST_TIMEOUT_S)
        if (have := sum(answer["have"] for answer in answers)) < self.count:
            raise HarnessError(f"{have} of {self.count} hollow sidecars have the list")
        return answers

    async def grow(self, count: int) -> None:
        """Start sidecars up to a count, and wait until they have the list."""
        await self.request("start", count=(count - self.count) // len(self.processes))
        self.count = count
        await self.wait_for_list()

    async def lose(self, changes: int, singly: bool = True) -> Figures:
        """Drain so many converters, with a message for each or one for all; then replace them. Return the costs."""
        listing = self.server.listing
        chosen = listing.pick(changes)
        before, bytes_before, own_before = await self.request("usage"), self.server.bytes, own_usage()
        begun_us = monotonic_us()
        await self._send_drains(chosen, singly)
        after = await self.wait_for_list()
        figures = {
            "stand_in_cpu_s": own_usage().cpu_s_since(own_before),
            "bytes": (self.server.bytes - bytes_before) / self.count,
            "last_s": (max(answer["last_us"] for answer in after) - begun_us) / US_PER_S,
            "cpu_ms": MS_PER_S * _growth(before, after, "cpu_s") / self.count,
            "told": _growth(before, after, "entries") / self.count / changes,
            "still_ready": await self._mean_known() - self.known + changes,
        }
        listing.change(chosen, "left")
        listing.change([listing.new() for _ in chosen])
        self.server.send_changes_to_all()
        await self.wait_for_list()
        return figures

    async def _send_drains(self, chosen: Sequence[Entry], singly: bool) -> None:
        for entries in [[entry] for entry in chosen] if singly else [chosen]:
            self.server.listing.change(entries, "leaving")
            self.server.send_changes_to_all()
            if singly:
                await asyncio.sleep(0)

    async def _mean_known(self) -> float:
        return float(sum(answer["known"] for answer in await self.request("memory")) / self.count)


def _growth(before: Sequence[Any], after: Sequence[Any], name: str) -> float:
    """Return by how much a total of all processes has grown."""
    return float(sum(late[name] - early[name] for early, late in zip(before, after, strict=True)))


@asynccontextmanager
async def start_fleet(known: int, seed: int, seeded_fault: str) -> AsyncIterator[Fleet]:
    """Start the processes, without any sidecar yet, and end them on leaving."""
    host = f"127.{find_network()}.254.2"
    server = WatchServer(Listing(known, seed), (host, PORT))
    await server.open()
    try:
        async with AsyncExitStack() as stack:
            processes = []
            for index in range(PROCESSES):
                arguments = [host, str(PORT), str(seed * PROCESSES + index), seeded_fault]
                processes.append(await stack.enter_async_context(lightweight.start_process(MODULE, arguments)))
            for process in processes:
                await process.read()
            yield Fleet(server, processes, known)
    finally:
        server.close()


async def measure_losses(trial: TrialConfig) -> Figures:
    """Return the costs of bursts at a few sidecars, then of a rack and a zone at each fleet."""
    found: Figures = {}
    async with start_fleet(KNOWN, trial.seed, trial.seeded_fault) as few:
        await few.grow(LISTENERS[trial.scale])
        for changes in BURSTS:
            found |= _name_figures("burst", changes, await few.lose(changes))
            found |= _name_figures("together", changes, await few.lose(changes, singly=False))
    async with start_fleet(FLEET_KNOWS, trial.seed, trial.seeded_fault) as fleet:
        for count in FLEETS[trial.scale]:
            await fleet.grow(count)
            found |= _name_figures("rack", count, await fleet.lose(RACK))
            found |= _name_figures("zone", count, await fleet.lose(ZONE))
            found |= _name_figures("zone_together", count, await fleet.lose(ZONE, singly=False))
    return found


def _name_figures(loss: str, size: int, figures: Figures) -> Figures:
    return {f"{loss}_{name}_{size}": value for name, value in figures.items()}


def _fit(found: Mapping[str, float], name: str, sizes: Sequence[int]) -> slopes.Slope:
    return slopes.fit(sizes, [found[f"{name}_{size}"] for size in sizes])


def calculate_fleet(found: Mapping[str, float], scale: Scale) -> Figures:
    """Return the costs of the whole fleet: discovery writes to all on one core, each sidecar reads on its own."""
    singly, together = _fit(found, "burst_cpu_ms", BURSTS), _fit(found, "together_cpu_ms", BURSTS)
    one_by_one = _fit(found, "zone_stand_in_cpu_s", FLEETS[scale])
    at_once = _fit(found, "zone_together_stand_in_cpu_s", FLEETS[scale])
    result = {
        "change_cpu_us": singly.per_unit * 1000,
        "change_residual": singly.relative_residual,
        "message_us": one_by_one.per_unit * 1e6 / ZONE,
    }
    for name, size, sidecars in (("rack", RACK, FLEET), ("zone", ZONE, FLEET), ("region", REGION, FLEET - REGION)):
        result |= {
            f"{name}_messages": float(size * sidecars),
            f"{name}_mb": found[f"burst_bytes_{size}"] * sidecars / 1e6,
            f"{name}_sidecar_ms": singly.at(size).value,
            f"{name}_singly_last_s": one_by_one.per_unit * sidecars * size / ZONE + singly.at(size).value / 1000,
            # a longer message takes longer to write; taken as if all of its cost grew with the changes
            f"{name}_together_last_s": at_once.per_unit * sidecars * max(1.0, size / ZONE)
            + together.at(size).value / 1000,
        }
    return result


def make_claims(found: Mapping[str, float]) -> list[Claim]:
    """Return the claims."""
    told = [value for name, value in found.items() if "_told_" in name]
    ready = [value for name, value in found.items() if "_still_ready_" in name]
    return [
        Claim("changes that a module was told, of one, least", min(told), "==", 1),
        Claim("changes that a module was told, of one, most", max(told), "==", 1),
        Claim("converters that drain and that a module still has for ready, most", max(ready), "==", 0),
        Claim(
            "largest residual of CPU by changes over the largest value", found["change_residual"], "<=", MAX_RESIDUAL
        ),
        Claim(
            "until the last of 1,600 has a rack's changes told singly, by calculation (s)",
            found["rack_singly_last_s"],
            "<=",
            IN_FORCE_S,
        ),
        Claim(
            "until the last of 1,600 has a zone's changes told together, by calculation (s)",
            found["zone_together_last_s"],
            "<=",
            IN_FORCE_S,
        ),
        Claim(
            "CPU of a zone's changes in a sidecar (ms of its budget for 6 s)",
            found["zone_sidecar_ms"],
            "<=",
            BUDGET_CORES * IN_FORCE_S * 1000,
        ),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Measure the losses, and calculate the whole fleet. Raises InsufficientResourcesError."""
    check_requirements(needs(trial.scale), this_machine())
    figures = {"load_average": os.getloadavg()[0]} | asyncio.run(measure_losses(trial))
    figures |= calculate_fleet(figures, trial.scale)
    return Measurement(make_claims(figures), figures)


EXPERIMENT = Benchmark(
    name="scale-fail",
    question="the loss of a rack, a zone, a region: the list's messages, CPU and time",
    measure=measure,
    seeded_faults=("deaf",),
)
