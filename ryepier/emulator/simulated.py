"""Runs a world in simulation: the emulator, the real sidecars and the planners in one process under virtual time.

The same world and seed give the same history each time.
"""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path

from ryepier.assembly import sidecar as assembly
from ryepier.conf import operator_settings
from ryepier.emulator import clients, converters, discovery, files, timeline
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.harness import BEGIN_DELAY_S
from ryepier.emulator.process import Clock, Plan, monotonic_us
from ryepier.emulator.records import History, RecordedEvent, RoleRecords, join
from ryepier.emulator.role import Role
from ryepier.emulator.simulated_logs import capture_logs
from ryepier.emulator.simulated_processes import SimulatedPlanner, SimulatedProcess, SimulatedSidecar
from ryepier.emulator.timeline import TargetKind, Timeline
from ryepier.emulator.world import World
from ryepier.sidecar import config as platform
from ryepier.sidecar.components import PLATFORM_COMPONENTS
from ryepier.sim.run import SimLoop, simulate

NETWORK = 16  # second octet of the simulated addresses 127.network.x.y
STARTUP_S = 0.2  # time for the sidecars to become ready


class Simulation:
    """Runs the emulator, sidecars and planners of a world once under virtual time, and collects their records."""

    def __init__(self, world: World, seed: int, folder: Path) -> None:
        """Prepare a run whose files go to `folder`. Raises HarnessError for a world that cannot be simulated."""
        if world.sidecars.count == 0:
            raise HarnessError("a world without sidecars cannot be simulated")
        self.world = world
        self.seed = seed
        self.folder = folder
        self.plan = Plan(world, seed, NETWORK, "simulation")
        self.timeline: Timeline = timeline.build(world, seed)
        self.clock = Clock()
        self.events: list[RecordedEvent] = []

    def _make_sidecars(self, loop: SimLoop) -> list[SimulatedSidecar]:
        sidecars = []
        for index, text in enumerate(files.platform_configurations(self.plan, self.timeline)):
            path = self.folder / f"sidecar-{index}.json"
            path.write_text(text)
            config, components = platform.load(str(path)), PLATFORM_COMPONENTS
            if files.has_settings_file(self.world):
                environment = files.settings_environment(self.plan, index)
                settings = operator_settings.parse(files.settings_text(self.plan), environment)
                assembly.check_settings(settings, config)
                components = assembly.select_components(settings)
            sidecars.append(SimulatedSidecar(loop, index, config, components))
        return sidecars

    def _make_planners(self, loop: SimLoop) -> list[SimulatedPlanner]:
        planners = []
        for index in range(self.world.planners.count):
            snapshots_folder = self.folder / f"snapshots-{index}"
            snapshots_folder.mkdir(exist_ok=True)
            text = files.planner_settings_text(
                self.plan, index, snapshots_folder if self.world.planners.snapshots else None
            )
            planners.append(SimulatedPlanner(loop, index, operator_settings.parse(text, {}), self.seed))
        return planners

    async def run(self, loop: SimLoop) -> History:
        """Run the world, and return the records of all processes."""
        roles: list[Role] = [
            discovery.DiscoveryRole(self.plan, self.clock, self.timeline),
            converters.ConverterRole(self.plan, self.clock, self.timeline, simulated=True),
            clients.ClientRole(self.plan, self.clock, self.timeline, simulated=True),
        ]
        for role in roles:
            await role.start()
        planners, sidecars = self._make_planners(loop), self._make_sidecars(loop)
        processes: list[SimulatedProcess] = [*planners, *sidecars]
        for process in processes:
            process.start()
        await asyncio.sleep(STARTUP_S)
        self.clock.run_start_us = monotonic_us() + int(BEGIN_DELAY_S * 1e6)
        records = await self._run(roles, {TargetKind.SIDECAR: sidecars, TargetKind.PLANNER: planners})
        await self._stop(loop, processes)
        incarnations = [
            incarnation
            for sidecar in sidecars
            for incarnation in sidecar.incarnations_relative_to(self.clock.run_start_us)
        ]
        return join(records, incarnations, self.events)

    async def _run(
        self, roles: Sequence[Role], processes: Mapping[TargetKind, Sequence[SimulatedProcess]]
    ) -> list[RoleRecords]:
        """Carry out the fault schedule until the run ends, and return the roles' records."""
        lateness_tasks = [asyncio.create_task(role.meter.measure_event_loop()) for role in roles]
        schedule_task = asyncio.create_task(self._run_schedule(processes))
        records = await asyncio.gather(*(role.run() for role in roles))
        await schedule_task
        for task in lateness_tasks:
            task.cancel()
        for role, role_records in zip(roles, records, strict=True):
            role_records.lateness = role.meter.result(role_records.role)
        return list(records)

    async def _run_schedule(self, processes: Mapping[TargetKind, Sequence[SimulatedProcess]]) -> None:
        """Carry out the scheduled steps on sidecars and planners."""
        for step in self.timeline.steps:
            if step.target in processes:
                await self.clock.sleep_until(step.at_us)
                text = f"{step.target.value} {step.index}: {step.action.value}"
                self.events.append(RecordedEvent(self.clock.now_us(), text))
                processes[step.target][step.index].apply(step)

    async def _stop(self, loop: SimLoop, processes: Sequence[SimulatedProcess]) -> None:
        """Stop all processes. The run fails if a process raised an exception."""
        for process in processes:
            process.stop_event.set()
        for process in processes:
            assert process.task is not None
            try:
                await process.task
            except Exception as error:  # noqa: BLE001
                loop.failures.append(f"{process.process_name} ended by itself: {error!r}")


def run_world(world: World, seed: int, folder: Path | None = None) -> History:
    """Run a world once in simulation, and return the records of all processes; logs go to `folder`, if one is given.

    Raises HarnessError for a world that cannot be simulated, and the exceptions of `simulate` if the run fails.
    """
    with contextlib.ExitStack() as stack:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        work_folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))

        async def main(loop: SimLoop) -> History:
            with capture_logs(loop, folder):
                return await Simulation(world, seed, work_folder).run(loop)

        return simulate(seed, main)
