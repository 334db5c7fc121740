"""Plays a world: starts the emulator's processes and the sidecars, lets the run begin, and gathers what was seen."""

from __future__ import annotations

import asyncio
import errno
import os
import shutil
import signal
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ryepier.emulator import files, timeline
from ryepier.emulator.process import CONVERTER_PORT, CPU_WAIT_THRESHOLD_US, Clock, Plan, monotonic_us
from ryepier.emulator.records import NEVER, History, Incarnation, RecordedEvent, RoleRecords, join
from ryepier.emulator.timeline import FaultAction, Step, TargetKind, Timeline
from ryepier.emulator.world import SIMULATED_FAULTS, World

SIDECAR = (sys.executable, "-B", "-m", "ryepier.sidecar")
FORWARDER = (sys.executable, "-B", "-m", "ryepier", "run")
PLANNER = (sys.executable, "-B", "-m", "ryepier", "planner")
OPERATORS = "operators.toml"  # the sidecars' common operators' file, where the world has planners or slices
FIRST_NETWORK, LAST_NETWORK = 16, 250  # of 127.network.x.y; the lower ones are left to others
MOST_SIDECARS = 200
UP_WITHIN_S = 20.0
STARTS_AT_ONCE = 24  # sidecars: more would keep each other from the cores
RESTARTS_A_CORE = 0.5  # at once during a run, so that the emulator keeps its time
UP_POLL_S = 0.01  # for each of so many
BEGIN_AFTER_S = 0.5  # all processes hear of the beginning well before it
SAMPLE_S = 0.5
HELD_SAMPLE_S = 0.05
MOST_WATCHED = 20  # sidecars; with more the rig would be busy with reading how long they waited for a core
STOP_WITHIN_S = 6.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024


class HarnessError(Exception):
    """The emulator itself could not do its part; says nothing about the sidecar."""


def find_network() -> int:
    """A loopback network that no other run on this machine uses."""
    count = LAST_NETWORK - FIRST_NETWORK + 1
    for offset in range(count):
        network = FIRST_NETWORK + (os.getpid() + offset) % count
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((f"127.{network}.0.1", CONVERTER_PORT))
                return network
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise HarnessError(f"no loopback address can be had: {error}") from error
    raise HarnessError("every loopback network is in use")


@dataclass(slots=True)
class Role:
    """One process of the emulator."""

    name: str
    process: asyncio.subprocess.Process
    records: Path


@dataclass(slots=True)
class Sidecar:
    """One sidecar under test, over its lives."""

    index: int
    config: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    lives: list[Incarnation] = field(default_factory=list)


Watcher = Callable[[float, Counter[str]], None]  # seconds of the run, and the clients' counts so far


@dataclass(frozen=True, slots=True)
class RoleAssignment:
    """Who takes part in a run; by default all that the world names."""

    sidecar_command: Sequence[str] | None = None  # by default the sidecar or, with planners, the forwarder; empty:
    # their configurations are written, and others start them
    sidecar_overrides: Mapping[int, Sequence[str]] = field(default_factory=dict)  # some that are started otherwise
    planner_command: Sequence[str] = PLANNER
    planner_restart: Sequence[str] = PLANNER  # once it was killed
    clients: bool = True
    stand_ins: bool = True  # converters and discovery
    targets: Sequence[tuple[str, int]] = ()  # whom the clients load, in place of the world's sidecars
    role_module: str = "ryepier.emulator.role"  # the program of the emulator's own processes


class Harness:
    """One run."""

    def __init__(
        self, world: World, seed: int, folder: Path, cast: RoleAssignment | None = None, watcher: Watcher | None = None
    ) -> None:
        self.world = world
        self.folder = folder
        self.cast = cast or RoleAssignment()
        only_simulated = {fault.kind for fault in world.faults} & SIMULATED_FAULTS
        if only_simulated:
            raise HarnessError(f"only in simulation: {', '.join(sorted(only_simulated))}")
        if world.sidecars.count > MOST_SIDECARS:
            raise HarnessError(f"at most {MOST_SIDECARS} sidecars on sockets, a process each; more in simulation")
        with_file = files.has_operators_file(world)
        command = self.cast.sidecar_command
        if command is None:
            command = FORWARDER if with_file else SIDECAR
        more = ("--config", str(folder / OPERATORS)) if with_file else ()
        self.sidecar_command = (*command, *more) if command else ()
        self.odd_sidecars = {index: (*odd, *more) for index, odd in self.cast.sidecar_overrides.items()}
        self.planners: list[subprocess.Popen[bytes]] = []
        self.plan = Plan(world, seed, find_network(), role="rig", targets=list(self.cast.targets))
        self.timeline: Timeline = timeline.build(world, seed)
        self.watcher = watcher
        self.clock = Clock()
        self.roles: list[Role] = []
        self.sidecars: list[Sidecar] = []
        self.happenings: list[RecordedEvent] = []
        self.counts: dict[str, Counter[str]] = {}
        self.restarts = asyncio.Semaphore(max(1, int(RESTARTS_A_CORE * len(os.sched_getaffinity(0)))))

    async def play(self) -> History:
        """The whole run; whatever comes, no process is left behind. Raises HarnessError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in self.folder.glob("*.log"):  # of an earlier run
            old.unlink()
        try:
            await self.start_roles()
            self.write_configurations()
            (self.folder / OPERATORS).write_text(files.operators_text(self.plan))
            self.start_planners()
            if self.sidecar_command:
                places = asyncio.Semaphore(STARTS_AT_ONCE)
                await asyncio.gather(*(self.start_in_turn(sidecar, places) for sidecar in self.sidecars))
            self.begin()
            async with asyncio.TaskGroup() as group:
                for role in self.roles:
                    group.create_task(self.read(role))
                watching = [group.create_task(self.sample()), group.create_task(self.watch_held())]
                group.create_task(self.steps())
                await asyncio.gather(*(role.process.wait() for role in self.roles))
                for task in watching:
                    task.cancel()
            await self.stop_sidecars()
        finally:
            await self.kill_all()
        return self.history()

    # Starting

    async def start_roles(self) -> None:
        rig = self.world.harness
        names = []
        if self.cast.stand_ins:
            names += [("discovery", 0)] if self.world.sidecars.count else []
            names += [("converters", i) for i in range(rig.converter_processes)]
        if self.cast.clients:
            names += [("clients", i) for i in range(rig.client_processes)]
        for role, index in names:
            plan = msgspec.structs.replace(self.plan, role=role, index=index)
            path = self.folder / f"{role}-{index}.json"
            path.write_bytes(msgspec.json.encode(plan))
            records = self.folder / f"{role}-{index}.records"
            records.unlink(missing_ok=True)  # of an earlier run
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                self.cast.role_module,
                str(path),
                str(records),
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            self.roles.append(Role(f"{role} {index}", process, records))
        for started in self.roles:
            assert started.process.stdout is not None
            line = await started.process.stdout.readline()
            if not line:
                raise HarnessError(f"the emulator's {started.name} did not come up")

    def write_configurations(self) -> None:
        if not self.cast.stand_ins:
            return
        for index, text in enumerate(files.platform_files(self.plan, self.timeline)):
            config = self.folder / f"sidecar-{index}.json"
            config.write_text(text)
            self.sidecars.append(Sidecar(index, config, self.folder / f"sidecar-{index}.log"))

    def start_planners(self) -> None:
        """Their files and the processes."""
        for index in range(self.world.planners.count):
            snapshots = self.folder / f"planner-{index}"
            shutil.rmtree(snapshots, ignore_errors=True)
            snapshots.mkdir()
            (self.folder / f"planner-{index}.toml").write_text(
                files.planner_text(self.plan, index, snapshots if self.world.planners.snapshots else None)
            )
            self.planners.append(self.start_planner(index, self.cast.planner_command))

    def start_planner(self, index: int, command: Sequence[str]) -> subprocess.Popen[bytes]:
        with open(self.folder / f"planner-{index}.log", "ab") as log:
            return subprocess.Popen(
                [*command, "--config", str(self.folder / f"planner-{index}.toml")], stdout=log, stderr=log
            )

    def start_sidecar(self, sidecar: Sidecar) -> None:
        with open(sidecar.log, "ab") as log:
            environment = os.environ | {"BALANCER_CONFIG": str(sidecar.config)}
            environment |= files.operators_environment(self.plan, sidecar.index)
            command = self.odd_sidecars.get(sidecar.index, self.sidecar_command)
            sidecar.process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)
        sidecar.lives.append(Incarnation(sidecar.index, monotonic_us(), -1))

    async def start_in_turn(self, sidecar: Sidecar, places: asyncio.Semaphore) -> None:
        """Its start, as soon as there is a place, if it is not up by then."""
        async with places:
            if not sidecar.lives or sidecar.lives[-1].killed:
                self.start_sidecar(sidecar)
                await self.until_up(sidecar)

    async def until_up(self, sidecar: Sidecar) -> None:
        """Until it answers; its lives' times are set against the run's beginning later."""
        life, poll_s = sidecar.lives[-1], UP_POLL_S * max(1.0, len(self.sidecars) / STARTS_AT_ONCE)
        ends = monotonic_us() + int(UP_WITHIN_S * 1e6)
        while monotonic_us() < ends:
            if life.killed:
                return  # by a fault that overlaps its start
            if sidecar.process is None or sidecar.process.poll() is not None:
                raise HarnessError(f"sidecar {sidecar.index} ended at its start: see {sidecar.log}")
            try:
                reader, writer = await asyncio.open_connection(*self.plan.sidecar_address(sidecar.index))
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    life.ready_us = monotonic_us()
                    return
            except OSError:
                pass
            await asyncio.sleep(poll_s)
        raise HarnessError(f"sidecar {sidecar.index} was not up within {UP_WITHIN_S:.0f} s: see {sidecar.log}")

    def begin(self) -> None:
        self.clock.zero_us = monotonic_us() + int(BEGIN_AFTER_S * 1e6)
        for role in self.roles:
            assert role.process.stdin is not None
            role.process.stdin.write(b"%d\n" % self.clock.zero_us)

    # While it runs

    async def read(self, role: Role) -> None:
        assert role.process.stdout is not None
        while line := await role.process.stdout.readline():
            self.counts[role.name] = Counter(msgspec.json.decode(line, type=dict[str, int]))
            if self.watcher is not None:
                self.watcher(self.clock.now_us() / 1e6, sum(self.counts.values(), Counter()))

    async def sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            for sidecar in self.sidecars:
                self.take_sample(sidecar)

    async def watch_held(self) -> None:
        """Note when the machine kept a sidecar from running."""
        last: dict[int, int] = {}  # by process id
        while len(self.sidecars) <= MOST_WATCHED:
            for sidecar in self.sidecars:
                if sidecar.process is None:
                    continue
                pid = sidecar.process.pid
                waited_us = waited_for_core_us(pid)
                if waited_us is not None:
                    record_cpu_wait(sidecar.lives[-1], waited_us - last.get(pid, waited_us), monotonic_us())
                    last[pid] = waited_us
            await asyncio.sleep(HELD_SAMPLE_S)

    def take_sample(self, sidecar: Sidecar) -> None:
        process = sidecar.process
        if process is None:
            return
        if process.poll() is not None:
            life = sidecar.lives[-1]
            if not life.killed and not life.crashed:
                life.crashed, life.ended_us = True, monotonic_us()
            return
        try:
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return
        cpu_us = (int(fields[11]) + int(fields[12])) * 1_000_000 // TICKS_PER_S
        sidecar.lives[-1].samples.append((monotonic_us(), cpu_us, int(fields[21]) * PAGE_KIB))

    async def steps(self) -> None:
        """Those that are done to sidecars and planners; some starts go on beside each other."""
        async with asyncio.TaskGroup() as starts:
            await self.carry_out_steps(starts)

    async def carry_out_steps(self, starts: asyncio.TaskGroup) -> None:
        """Each at its time."""
        for step in [step for step in self.timeline.steps if step.target in (TargetKind.SIDECAR, TargetKind.PLANNER)]:
            await asyncio.sleep(max(0.0, (step.at_us - self.clock.now_us()) / 1e6))
            self.happenings.append(
                RecordedEvent(self.clock.now_us(), f"{step.target.value} {step.index}: {step.action.value}")
            )
            if step.target is TargetKind.PLANNER:
                self.step_planner(step)
            elif self.sidecar_command:
                self.step_sidecar(self.sidecars[step.index], step.action, starts)

    def step_sidecar(self, sidecar: Sidecar, verb: FaultAction, starts: asyncio.TaskGroup) -> None:
        if sidecar.process is None or (verb is FaultAction.RESTART) is not sidecar.lives[-1].killed:
            return  # two faults that overlap: it is down already, or up again
        if verb is FaultAction.KILL:
            self.take_sample(sidecar)
            sidecar.lives[-1].killed, sidecar.lives[-1].ended_us = True, monotonic_us()
            sidecar.lives[-1].end_suspension(monotonic_us())
            sidecar.process.kill()
            sidecar.process.wait()
        elif verb is FaultAction.RESTART:
            starts.create_task(self.start_in_turn(sidecar, self.restarts))
        elif verb is FaultAction.SUSPEND:
            sidecar.process.send_signal(signal.SIGSTOP)
            sidecar.lives[-1].suspensions.append((monotonic_us(), NEVER))
        elif verb is FaultAction.RESUME:
            sidecar.process.send_signal(signal.SIGCONT)
            sidecar.lives[-1].end_suspension(monotonic_us())

    def step_planner(self, step: Step) -> None:
        process = self.planners[step.index]
        if step.action is FaultAction.KILL:
            process.kill()
            process.wait()
        elif step.action is FaultAction.RESTART and process.poll() is not None:
            self.planners[step.index] = self.start_planner(step.index, self.cast.planner_restart)
        else:
            process.send_signal(signal.SIGSTOP if step.action is FaultAction.SUSPEND else signal.SIGCONT)

    # The end

    async def stop_sidecars(self) -> None:
        for sidecar in self.sidecars:
            self.take_sample(sidecar)
            if sidecar.process is not None and sidecar.process.poll() is None:
                sidecar.process.send_signal(signal.SIGTERM)
        ends = monotonic_us() + int(STOP_WITHIN_S * 1e6)
        for sidecar in self.sidecars:
            if sidecar.process is None or sidecar.lives[-1].crashed:
                continue
            while sidecar.process.poll() is None and monotonic_us() < ends:
                await asyncio.sleep(0.02)
            life = sidecar.lives[-1]
            life.end_suspension(monotonic_us())
            life.ended_us, life.crashed = monotonic_us(), sidecar.process.poll() != 0

    async def kill_all(self) -> None:
        for process in self.planners:
            process.kill()
            process.wait()
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.process.poll() is None:
                sidecar.process.kill()
                sidecar.process.wait()
        for role in self.roles:
            if role.process.returncode is None:
                role.process.kill()
                await role.process.wait()

    def history(self) -> History:
        parts = []
        for role in self.roles:
            if role.process.returncode != 0 or not role.records.exists():
                raise HarnessError(f"the emulator's {role.name} ended with {role.process.returncode}")
            parts.append(msgspec.msgpack.decode(role.records.read_bytes(), type=RoleRecords))
        lives = [self.on_the_runs_clock(life) for sidecar in self.sidecars for life in sidecar.lives]
        return join(parts, lives, self.happenings)

    def on_the_runs_clock(self, life: Incarnation) -> Incarnation:
        return life.relative_to(self.clock.zero_us)


def waited_for_core_us(pid: int) -> int | None:
    """For how long a process has been ready to run and had no core; None if it has ended, or the system does not
    count it."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) // 1000
    except (OSError, IndexError):
        return None


def record_cpu_wait(life: Incarnation, waited_us: int, now_us: int) -> None:
    """Keep a span in which a sidecar waited for a core for so long that its answers may be late for it."""
    if waited_us >= CPU_WAIT_THRESHOLD_US:
        life.cpu_waits.append((now_us - waited_us, now_us))


def play(
    world: World, seed: int, folder: Path, cast: RoleAssignment | None = None, watcher: Watcher | None = None
) -> History:
    """Play a world once and return what all sides saw. Raises HarnessError where the emulator failed."""
    return asyncio.run(Harness(world, seed, folder, cast, watcher).play())
