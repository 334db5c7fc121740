"""Runs a world on real sockets: starts emulator processes, sidecars and planners, and collects their records."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ryepier.emulator import files, timeline
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.loopback import find_network
from ryepier.emulator.planner_processes import PlannerProcesses
from ryepier.emulator.process import Address, Clock, Plan, monotonic_us
from ryepier.emulator.records import History, RecordedEvent, RoleRecords, join
from ryepier.emulator.sidecar_processes import SidecarProcesses
from ryepier.emulator.timeline import TargetKind, Timeline
from ryepier.emulator.world import SIMULATION_ONLY_FAULTS, World

PYTHON_COMMAND = (sys.executable, "-B", "-m")
SIDECAR_COMMAND = (*PYTHON_COMMAND, "ryepier.sidecar")
FORWARDER_COMMAND = (*PYTHON_COMMAND, "ryepier", "run")
PLANNER_COMMAND = (*PYTHON_COMMAND, "ryepier", "planner")
ROLE_MODULE = "ryepier.emulator.role"
SETTINGS_FILE = "operators.toml"  # the settings that the sidecars share
MAX_SIDECARS = 200
BEGIN_DELAY_S = 0.5  # the run begins this long after its beginning is announced

ProgressCallback = Callable[[float, Counter[str]], None]
"""Called with the time since the beginning of the run, in seconds, and the clients' counts so far."""


@dataclass(slots=True)
class RoleProcess:
    """A running process of the emulator, and the file to which it writes its records."""

    name: str
    process: asyncio.subprocess.Process
    records_path: Path


@dataclass(frozen=True, slots=True)
class RoleAssignment:
    """The processes that take part in a run, and their commands. By default, all of the world's processes take part."""

    # None: the command of the sidecar or the forwarder, depending on the world; empty: no sidecars are started, only
    # their configurations are written, because another program starts them
    sidecar_command: Sequence[str] | None = None
    # commands of single sidecars, by index
    sidecar_overrides: Mapping[int, Sequence[str]] = field(default_factory=dict)
    planner_command: Sequence[str] = PLANNER_COMMAND
    planner_restart_command: Sequence[str] = PLANNER_COMMAND  # used when a killed planner is restarted
    clients: bool = True  # whether the harness starts clients
    converters_and_discovery: bool = True  # whether the harness starts converters and discovery
    targets: Sequence[Address] = ()  # addresses that clients send to instead of the world's sidecars
    role_module: str = ROLE_MODULE  # the module that the emulator's own processes run


def _check_supported(world: World) -> None:
    """Raise HarnessError for a world that can only be simulated."""
    unsupported = {fault.kind for fault in world.faults} & SIMULATION_ONLY_FAULTS
    if unsupported:
        raise HarnessError(f"only in simulation: {', '.join(sorted(unsupported))}")
    if world.sidecars.count > MAX_SIDECARS:
        raise HarnessError(f"at most {MAX_SIDECARS} sidecars can run on sockets; larger worlds must be simulated")


class Harness:
    """One run of a world on sockets. Subclasses may extend `start_planners`, `run_schedule` and `kill_all`."""

    def __init__(
        self,
        world: World,
        seed: int,
        folder: Path,
        roles: RoleAssignment | None = None,
        on_progress: ProgressCallback | None = None,
    ) -> None:
        """Prepare a run whose files go to `folder`. Raises HarnessError for a world that cannot run on sockets."""
        _check_supported(world)
        self.world = world
        self.folder = folder
        self.roles = roles or RoleAssignment()
        self.on_progress = on_progress
        self.plan = Plan(world, seed, find_network(), role="harness", targets=list(self.roles.targets))
        self.timeline: Timeline = timeline.build(world, seed)
        self.clock = Clock()
        self.events: list[RecordedEvent] = []
        self.sidecars = self._make_sidecars()
        self.planners = PlannerProcesses(
            self.plan, folder, self.roles.planner_command, self.roles.planner_restart_command
        )
        self._processes: list[RoleProcess] = []
        self._counts_by_process: dict[str, Counter[str]] = {}  # the clients' counts

    def _make_sidecars(self) -> SidecarProcesses:
        has_settings = files.has_settings_file(self.world)
        command = self.roles.sidecar_command
        if command is None:
            command = FORWARDER_COMMAND if has_settings else SIDECAR_COMMAND
        arguments = ("--config", str(self.folder / SETTINGS_FILE)) if has_settings else ()
        overrides = {index: (*override, *arguments) for index, override in self.roles.sidecar_overrides.items()}
        return SidecarProcesses(self.plan, (*command, *arguments) if command else (), overrides)

    async def run(self) -> History:
        """Run the world, and end all processes before returning. Raises HarnessError if the emulator failed."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for old_log in self.folder.glob("*.log"):  # logs of an earlier run
            old_log.unlink()
        try:
            await self._start()
            self._announce_begin()
            await self._run()
            await self.sidecars.stop_all()
        finally:
            await self.kill_all()
        return self._history()

    # Start

    async def _start(self) -> None:
        await self._start_processes()
        if self.roles.converters_and_discovery:
            self.sidecars.write_configurations(files.platform_configurations(self.plan, self.timeline), self.folder)
        (self.folder / SETTINGS_FILE).write_text(files.settings_text(self.plan))
        self.start_planners()
        await self.sidecars.start_all()

    def _roles_to_start(self) -> list[tuple[str, int]]:
        """Return the role and index of each emulator process to start."""
        settings, roles_to_start = self.world.harness, list[tuple[str, int]]()
        if self.roles.converters_and_discovery:
            roles_to_start += [("discovery", 0)] if self.world.sidecars.count else []
            roles_to_start += [("converters", index) for index in range(settings.converter_processes)]
        if self.roles.clients:
            roles_to_start += [("clients", index) for index in range(settings.client_processes)]
        return roles_to_start

    async def _start_processes(self) -> None:
        """Start the emulator's processes, and wait until they are ready. Raises HarnessError."""
        for role, index in self._roles_to_start():
            self._processes.append(await self._start_process(role, index))
        for role_process in self._processes:
            assert role_process.process.stdout is not None
            line = await role_process.process.stdout.readline()
            if not line:
                raise HarnessError(f"emulator process {role_process.name} ended before it was ready")

    async def _start_process(self, role: str, index: int) -> RoleProcess:
        plan = msgspec.structs.replace(self.plan, role=role, index=index)
        path = self.folder / f"{role}-{index}.json"
        path.write_bytes(msgspec.json.encode(plan))
        records_path = self.folder / f"{role}-{index}.records"
        records_path.unlink(missing_ok=True)  # delete the records of an earlier run
        process = await asyncio.create_subprocess_exec(
            *PYTHON_COMMAND,
            self.roles.role_module,
            str(path),
            str(records_path),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        return RoleProcess(f"{role} {index}", process, records_path)

    def start_planners(self) -> None:
        """Start the planners, after the emulator's processes and before the sidecars."""
        self.planners.start_all()

    def _announce_begin(self) -> None:
        """Set the time at which the run begins, and announce it to the emulator's processes."""
        self.clock.run_start_us = monotonic_us() + int(BEGIN_DELAY_S * 1e6)
        for role_process in self._processes:
            assert role_process.process.stdin is not None
            role_process.process.stdin.write(b"%d\n" % self.clock.run_start_us)

    # The run

    async def _run(self) -> None:
        """Carry out the schedule until the emulator's processes have ended."""
        async with asyncio.TaskGroup() as task_group:
            for role_process in self._processes:
                task_group.create_task(self._read_counts(role_process))
            background_tasks = [
                task_group.create_task(self.sidecars.sample_usage()),
                task_group.create_task(self.sidecars.watch_cpu_waits()),
            ]
            task_group.create_task(self.run_schedule())
            await asyncio.gather(*(role_process.process.wait() for role_process in self._processes))
            for task in background_tasks:
                task.cancel()

    async def _read_counts(self, role_process: RoleProcess) -> None:
        """Read the clients' counts from a process, and pass the sums to `on_progress`."""
        assert role_process.process.stdout is not None
        while line := await role_process.process.stdout.readline():
            self._counts_by_process[role_process.name] = Counter(msgspec.json.decode(line, type=dict[str, int]))
            if self.on_progress is not None:
                self.on_progress(self.clock.now_us() / 1e6, sum(self._counts_by_process.values(), Counter()))

    async def run_schedule(self) -> None:
        """Carry out the scheduled steps on sidecars and planners. Sidecars are restarted in parallel."""
        async with asyncio.TaskGroup() as restart_tasks:
            for step in self.timeline.steps:
                if step.target not in (TargetKind.SIDECAR, TargetKind.PLANNER):
                    continue
                await self.clock.sleep_until(step.at_us)
                text = f"{step.target.value} {step.index}: {step.action.value}"
                self.events.append(RecordedEvent(self.clock.now_us(), text))
                if step.target is TargetKind.PLANNER:
                    self.planners.apply(step)
                else:
                    self.sidecars.apply(step.index, step.action, restart_tasks)

    # Stop and results

    async def kill_all(self) -> None:
        """Kill every process that is still running."""
        self.planners.kill_all()
        self.sidecars.kill_all()
        for role_process in self._processes:
            if role_process.process.returncode is None:
                role_process.process.kill()
                await role_process.process.wait()

    def _history(self) -> History:
        records = []
        for role_process in self._processes:
            if role_process.process.returncode != 0 or not role_process.records_path.exists():
                raise HarnessError(
                    f"emulator process {role_process.name} failed or wrote no records: "
                    f"exit status {role_process.process.returncode}"
                )
            records.append(msgspec.msgpack.decode(role_process.records_path.read_bytes(), type=RoleRecords))
        return join(records, self.sidecars.incarnations(self.clock.run_start_us), self.events)


def run_world(
    world: World,
    seed: int,
    folder: Path,
    roles: RoleAssignment | None = None,
    on_progress: ProgressCallback | None = None,
) -> History:
    """Run a world once on real sockets, and return the records of all processes. Raises HarnessError."""
    return asyncio.run(Harness(world, seed, folder, roles, on_progress).run())
