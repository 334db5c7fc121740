"""One process of the emulator: `python -m ryepier.emulator.role PLAN OUT`, with its plan as JSON.

It says it is ready, reads the run's beginning from its standard input, does its part, saves its records and ends.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable
from typing import Protocol

import msgspec

from ryepier.emulator import clients, converters, discovery, timeline
from ryepier.emulator.process import Clock, LatenessMeter, Plan, save, say
from ryepier.emulator.records import RoleRecords


class Part(Protocol):
    """What a process does in a run."""

    meter: LatenessMeter

    async def start(self) -> None:
        """Come up, before the run begins."""

    async def run(self) -> RoleRecords:
        """From the beginning to the end."""


ROLES: dict[str, Callable[[Plan, Clock, timeline.Timeline], Part]] = {
    "clients": clients.Host,
    "converters": converters.Host,
    "discovery": discovery.Host,
}


async def play(plan: Plan, path: str) -> None:
    clock = Clock()
    part = ROLES[plan.role](plan, clock, timeline.build(plan.world, plan.seed))
    await part.start()
    say({"ready": True})
    line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    if not line:
        return  # the rig has gone
    clock.zero_us = int(line)
    gc.freeze()  # what was drawn stays; a collection through all of it would make the process late
    ticking = asyncio.create_task(part.meter.tick())
    records = await part.run()
    ticking.cancel()
    records.lateness = part.meter.result(records.role)
    save(records, path)


def main() -> None:
    path, out = sys.argv[1:]
    with open(path, "rb") as file:
        plan = msgspec.json.decode(file.read(), type=Plan)
    asyncio.run(play(plan, out))


if __name__ == "__main__":
    main()
