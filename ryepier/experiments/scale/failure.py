"""What the loss of a rack, a zone or a region costs the list's side: messages, CPU, and time until the last has it.

A few hollow sidecars that know 1,600 converters are told that so many of them drain: what a sidecar pays for a change.
A fleet that grows, and knows fewer, is told of a rack's and a zone's: what it takes to tell them. Each is told one
message a change, and all in one. The whole fleet follows from both, each sidecar on a core of its own.
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
from ryepier.experiments.core.machine import Needs, check_needs, this_machine
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
from ryepier.experiments.scale.fleet_list import Listing, WatchServer
from ryepier.experiments.scale.lightweight import LightweightProcess

KNOWN = 1600
FLEET = 1600
RACK, ZONE, REGION = 40, 200, 800  # converters, and sidecars, that go at once
BURSTS = (RACK, 100, ZONE, 400, REGION)
LISTENERS = {Scale.SMALL: 8, Scale.FULL: 24}  # sidecars that know all, and are told of bursts
FLEETS = {Scale.SMALL: (40, 80, 120, 160), Scale.FULL: (200, 400, 800, 1600)}
FLEET_KNOWS = 250  # converters: telling costs the same, and 1,600 times the whole list would not fit
PROCESSES = 4
TOLD_WITHIN_S = 25.0


def needs(scale: Scale) -> Needs:
    """The larger of the two parts, which follow one another."""
    own = max(
        count * (SIDECAR_BYTES + known * CONVERTER_BYTES)
        for count, known in ((LISTENERS[scale], KNOWN), (FLEETS[scale][-1], FLEET_KNOWS))
    )
    return Needs(1 + PROCESSES, (1 + PROCESSES) * PROCESS_BYTES + own, sockets=FLEETS[scale][-1])


@dataclass(slots=True)
class Fleet:
    """LightweightForwarder sidecars of several processes, all at one discovery."""

    server: WatchServer
    children: Sequence[LightweightProcess]
    known: int  # converters that each knows
    count: int = 0

    async def request(self, what: str, **more: Any) -> list[Any]:
        return list(await asyncio.gather(*(child.request(what, **more) for child in self.children)))

    async def settled(self) -> list[Any]:
        """Once all have the list as it is. Raises HarnessError where they do not."""
        said = await self.request("until", version=self.server.listing.registry.rev, within_s=TOLD_WITHIN_S)
        if (have := sum(one["have"] for one in said)) < self.count:
            raise HarnessError(f"{have} of {self.count} hollow sidecars have the list")
        return said

    async def grow(self, count: int) -> None:
        await self.request("start", count=(count - self.count) // len(self.children))
        self.count = count
        await self.settled()

    async def lose(self, changes: int, singly: bool = True) -> Figures:
        """So many converters drain, told one by one or all in one message; then others take their places."""
        server, listing = self.server, self.server.listing
        chosen = listing.pick(changes)
        before, wrote, own = await self.request("usage"), server.bytes, own_usage()
        begun_us = monotonic_us()
        for entry in chosen if singly else ():
            listing.change([entry], "leaving")
            server.send_changes_to_all()
            await asyncio.sleep(0)
        if not singly:
            listing.change(chosen, "leaving")
            server.send_changes_to_all()
        said = await self.settled()
        found = {
            "stand_in_cpu_s": own_usage().since(own),
            "bytes": (server.bytes - wrote) / self.count,
            "last_s": (max(one["last_us"] for one in said) - begun_us) / 1e6,
            "cpu_ms": 1000
            * sum(late["cpu_s"] - early["cpu_s"] for early, late in zip(before, said, strict=True))
            / self.count,
            "told": sum(late["entries"] - early["entries"] for early, late in zip(before, said, strict=True))
            / self.count
            / changes,
            "still_ready": sum(one["known"] for one in await self.request("memory")) / self.count
            - self.known
            + changes,
        }
        listing.change(chosen, "left")
        listing.change([listing.new() for _ in chosen])
        server.send_changes_to_all()
        await self.settled()
        return found


@asynccontextmanager
async def fleet_of(known: int, seed: int, plant: str) -> AsyncIterator[Fleet]:
    """Processes that are up, without a sidecar yet."""
    host = f"127.{find_network()}.254.2"
    server = WatchServer(Listing(known, seed), (host, PORT))
    await server.open()
    try:
        async with AsyncExitStack() as stack:
            children = [
                await stack.enter_async_context(
                    lightweight.start_process(MODULE, [host, str(PORT), str(seed * PROCESSES + i), plant])
                )
                for i in range(PROCESSES)
            ]
            for child in children:
                await child.read()
            yield Fleet(server, children, known)
    finally:
        server.close()


async def play(seed: int, scale: Scale, plant: str) -> Figures:
    """A few hear of bursts of all sizes; then each fleet of a rack's and a zone's."""
    found: Figures = {}
    async with fleet_of(KNOWN, seed, plant) as few:
        await few.grow(LISTENERS[scale])
        for changes in BURSTS:
            found |= named("burst", changes, await few.lose(changes))
            found |= named("together", changes, await few.lose(changes, singly=False))
    async with fleet_of(FLEET_KNOWS, seed, plant) as fleet:
        for count in FLEETS[scale]:
            await fleet.grow(count)
            found |= named("rack", count, await fleet.lose(RACK))
            found |= named("zone", count, await fleet.lose(ZONE))
            found |= named("zone_together", count, await fleet.lose(ZONE, singly=False))
    return found


def named(what: str, size: int, figures: Figures) -> Figures:
    return {f"{what}_{name}_{size}": value for name, value in figures.items()}


def line(found: Mapping[str, float], name: str, sizes: Sequence[int]) -> slopes.Slope:
    return slopes.fit(sizes, [found[f"{name}_{size}"] for size in sizes])


def calculated(found: Mapping[str, float], scale: Scale) -> Figures:
    """What the whole fleet costs: one core of discovery writes to all, and each sidecar reads on a core of its own."""
    singly, together = line(found, "burst_cpu_ms", BURSTS), line(found, "together_cpu_ms", BURSTS)
    one_by_one, at_once = (line(found, f"{name}_stand_in_cpu_s", FLEETS[scale]) for name in ("zone", "zone_together"))
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
            # hazard: a longer message takes longer to write; as if all of it grew with the changes
            f"{name}_together_last_s": at_once.per_unit * sidecars * max(1.0, size / ZONE)
            + together.at(size).value / 1000,
        }
    return result


def claims(found: Mapping[str, float]) -> list[Claim]:
    told = [value for name, value in found.items() if "_told_" in name]
    ready = [value for name, value in found.items() if "_still_ready_" in name]
    return [
        Claim("changes that a module was told, of one, least", min(told), "==", 1),
        Claim("changes that a module was told, of one, most", max(told), "==", 1),
        Claim("converters that drain and that a module still has for ready, most", max(ready), "==", 0),
        Claim("largest residual of CPU by changes over the largest value", found["change_residual"], "<=", 0.25),
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


def perform(trial: TrialConfig) -> Measurement:
    """Raises InsufficientResourcesError."""
    check_needs(needs(trial.scale), this_machine())
    found = {"load_average": os.getloadavg()[0]} | asyncio.run(play(trial.seed, trial.scale, trial.seeded_fault))
    found |= calculated(found, trial.scale)
    return Measurement(claims(found), found)


EXPERIMENT = Benchmark(
    name="scale-fail",
    question="the loss of a rack, a zone, a region: the list's messages, CPU and time",
    measure=perform,
    seeded_faults=("deaf",),
)
