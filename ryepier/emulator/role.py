"""One process of the emulator: `python -m ryepier.emulator.role PLAN RECORDS`, where PLAN is a JSON file.

The process writes a line when it is ready, reads the time at which the run begins from standard input, carries out
its role, writes its records and exits.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec

from ryepier.emulator import clients, converters, discovery, timeline
from ryepier.emulator.process import Clock, LatenessMeter, Plan, save, send_to_harness
from ryepier.emulator.records import RoleRecords


class Role(Protocol):
    """The part of the emulator that one process runs, such as its clients."""

    meter: LatenessMeter

    async def start(self) -> None:
        """Prepare the role before the run begins."""

    async def run(self) -> RoleRecords:
        """Carry out the run, and return the records."""


ROLES: dict[str, Callable[[Plan, Clock, timeline.Timeline], Role]] = {
    "clients": clients.ClientRole,
    "converters": converters.ConverterRole,
    "discovery": discovery.DiscoveryRole,
}


async def run_role(plan: Plan, path: str) -> None:
    """Run the plan's role, and write its records to a file."""
    clock = Clock()
    role = ROLES[plan.role](plan, clock, timeline.build(plan.world, plan.seed))
    await role.start()
    send_to_harness({"ready": True})
    line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    if not line:
        return  # the harness process has ended
    clock.run_start_us = int(line)
    gc.freeze()  # garbage collection of the sampled arrivals would delay the process
    lateness_task = asyncio.create_task(role.meter.measure_event_loop())
    records = await role.run()
    lateness_task.cancel()
    records.lateness = role.meter.result(records.role)
    save(records, path)


def main() -> None:
    """Run the role with the plan and records file given on the command line."""
    plan_path, records_path = sys.argv[1:]
    plan = msgspec.json.decode(Path(plan_path).read_bytes(), type=Plan)
    asyncio.run(run_role(plan, records_path))


if __name__ == "__main__":
    main()
