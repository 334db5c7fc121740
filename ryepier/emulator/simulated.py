"""Plays a world in simulation: the emulator's converters, discovery and clients, the real sidecars and planners, in one
process under virtual time. The same world and seed give the same history each time.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import logging
import tempfile
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any, TextIO

from ryepier.assembly import planning
from ryepier.assembly import sidecar as assembly
from ryepier.conf import operator_settings
from ryepier.emulator import clients, converters, discovery, files, timeline
from ryepier.emulator.harness import BEGIN_AFTER_S, HarnessError
from ryepier.emulator.process import Clock, Plan, monotonic_us
from ryepier.emulator.records import NEVER, History, Incarnation, RecordedEvent, join
from ryepier.emulator.role import Part
from ryepier.emulator.timeline import FaultAction, Step, TargetKind
from ryepier.emulator.world import World
from ryepier.logs.structured import JsonLines
from ryepier.sidecar import config as platform
from ryepier.sidecar import system
from ryepier.sidecar.components import PLATFORM, Components
from ryepier.sidecar.serving import serve
from ryepier.sim.process import OWNER, Clocks
from ryepier.sim.run import SimLoop, simulate

NETWORK = 16
START_S = 0.2  # for the sidecars to come up


class ProcessLogs(logging.Handler):
    """A file for each process, as the rig has them; and what a process only logs though it failed is a failure of
    the run."""

    def __init__(self, loop: SimLoop, folder: Path | None) -> None:
        super().__init__()
        self.loop = loop
        self.folder = folder
        self.files: dict[str, TextIO] = {}
        self.stack = contextlib.ExitStack()  # they stay open until the run is over
        self.setFormatter(JsonLines())

    def emit(self, record: logging.LogRecord) -> None:
        owner = OWNER.get()
        if not owner:
            return
        if record.exc_info is not None and record.exc_info[0] is not None:
            self.loop.failures.append(
                f"{self.loop.now_s:.6f} s: {owner}: {record.getMessage()}: {record.exc_info[1]!r}"
            )
        if self.folder is not None:
            record.created = system.unix_ns() / 1e9
            name = owner.partition(",")[0].replace(" ", "-")
            if name not in self.files:
                self.files[name] = self.stack.enter_context((self.folder / f"{name}.log").open("w"))
            self.files[name].write(self.format(record) + "\n")

    def close(self) -> None:
        self.stack.close()
        super().close()


@contextlib.contextmanager
def logged(loop: SimLoop, folder: Path | None) -> Iterator[None]:
    """The root logger's lines go to the run's own files; without a folder only failures are looked for."""
    root = logging.getLogger()
    before, level = root.handlers[:], root.level
    handler = ProcessLogs(loop, folder)
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO if folder is not None else logging.ERROR)
    try:
        yield
    finally:
        handler.close()
        root.handlers[:] = before
        root.setLevel(level)


class Process:
    """A sidecar or planner over its lives, each a process of its own, all on one machine's clocks."""

    def __init__(self, loop: SimLoop, kind: str, index: int) -> None:
        self.loop = loop
        self.kind = kind
        self.index = index
        self.stop = asyncio.Event()  # of its present life
        self.lives: list[Incarnation] = []
        self.clocks = Clocks()
        self.task: asyncio.Task[None] | None = None

    @property
    def owner(self) -> str:
        return f"{self.kind} {self.index}, life {len(self.lives)}"

    def work(self) -> Coroutine[Any, Any, None]:
        """What it does from its start to its end, until `stop` is set."""
        raise NotImplementedError

    def start(self) -> None:
        now_us = monotonic_us()
        self.lives.append(Incarnation(self.index, now_us, now_us))
        self.stop = asyncio.Event()
        if self.clocks != Clocks():
            self.loop.clocks[self.owner] = self.clocks
        context = contextvars.copy_context()
        context.run(OWNER.set, self.owner)
        self.task = self.loop.create_task(self.work(), context=context)

    def kill(self) -> None:
        self.loop.kill(self.owner)
        self.lives[-1].end_suspension(monotonic_us())
        self.lives[-1].killed, self.lives[-1].ended_us = True, monotonic_us()

    def take(self, step: Step) -> None:
        """What the timeline does to it."""
        life = self.lives[-1]
        if step.action is FaultAction.KILL:
            if not life.killed:
                self.kill()
        elif step.action is FaultAction.RESTART:
            if life.killed:
                self.start()
        elif life.killed:
            return  # it is down, and there is nothing to do it to
        elif step.action is FaultAction.SUSPEND:
            self.loop.suspend(self.owner)
            life.suspensions.append((monotonic_us(), NEVER))
        elif step.action is FaultAction.RESUME:
            self.loop.resume(self.owner)
            life.end_suspension(monotonic_us())
        else:
            self.loop.clocks[self.owner] = self.clocks
            if step.action is FaultAction.SET_CALENDAR:
                self.loop.shift_calendar(self.owner, step.factor)
            else:
                self.loop.set_rate(self.owner, step.factor if step.action is FaultAction.SET_CLOCK_RATE else 1.0)

    def lives_from(self, zero_us: int) -> list[Incarnation]:
        """On the run's clock."""
        for life in self.lives:
            life.end_suspension(monotonic_us())
            if life.ended_us == NEVER:
                life.ended_us = monotonic_us()
        return [life.relative_to(zero_us) for life in self.lives]


class Sidecar(Process):
    def __init__(self, loop: SimLoop, index: int, config: platform.Config, parts: Components) -> None:
        super().__init__(loop, "sidecar", index)
        self.config = config
        self.parts = parts

    def work(self) -> Coroutine[Any, Any, None]:
        return serve(self.config, self.stop, asyncio.Event(), self.parts)


class Planner(Process):
    def __init__(self, loop: SimLoop, index: int, settings: operator_settings.OperatorSettings, seed: int) -> None:
        super().__init__(loop, "planner", index)
        self.settings = settings
        self.seed = seed

    async def work(self) -> None:
        made = planning.make_planner(self.settings, self.seed * 1000 + len(self.lives))
        await made.run(self.stop)


class Simulation:
    """One run."""

    def __init__(self, world: World, seed: int, folder: Path) -> None:
        if world.sidecars.count == 0:
            raise HarnessError("not simulated: a world without sidecars")
        self.world = world
        self.seed = seed
        self.folder = folder

    def sidecars(self, loop: SimLoop, plan: Plan, built: timeline.Timeline) -> list[Sidecar]:
        made = []
        for index, text in enumerate(files.platform_files(plan, built)):
            path = self.folder / f"sidecar-{index}.json"
            path.write_text(text)
            config, parts = platform.load(str(path)), PLATFORM
            if files.has_operators_file(self.world):
                said = operator_settings.parse(files.operators_text(plan), files.operators_environment(plan, index))
                assembly.check_settings(said, config)
                parts = assembly.select_components(said)
            made.append(Sidecar(loop, index, config, parts))
        return made

    def planners(self, loop: SimLoop, plan: Plan) -> list[Planner]:
        made = []
        for index in range(self.world.planners.count):
            snapshots = self.folder / f"snapshots-{index}"
            snapshots.mkdir(exist_ok=True)
            text = files.planner_text(plan, index, snapshots if self.world.planners.snapshots else None)
            made.append(Planner(loop, index, operator_settings.parse(text, {}), self.seed))
        return made

    async def play(self, loop: SimLoop) -> History:
        plan = Plan(self.world, self.seed, NETWORK, "simulation")
        built = timeline.build(self.world, self.seed)
        clock = Clock()
        # all converters are in this one process, whatever the world says of the rig
        hosts: list[Part] = [
            discovery.Host(plan, clock, built),
            converters.Host(plan, clock, built, simulated=True),
            clients.Host(plan, clock, built, simulated=True),
        ]
        for host in hosts:
            await host.start()
        planners, sidecars = self.planners(loop, plan), self.sidecars(loop, plan, built)
        processes: list[Process] = [*planners, *sidecars]
        for one in processes:
            one.start()
        await asyncio.sleep(START_S)
        clock.zero_us = monotonic_us() + int(BEGIN_AFTER_S * 1e6)
        ticking = [asyncio.create_task(host.meter.tick()) for host in hosts]
        happenings: list[RecordedEvent] = []
        stepping = asyncio.create_task(
            self.steps(built, {TargetKind.SIDECAR: sidecars, TargetKind.PLANNER: planners}, clock, happenings)
        )
        records = await asyncio.gather(*(host.run() for host in hosts))
        await stepping
        for task in ticking:
            task.cancel()
        for host, made in zip(hosts, records, strict=True):
            made.lateness = host.meter.result(made.role)
        for one in processes:
            one.stop.set()
        for one in processes:
            assert one.task is not None
            try:
                await one.task
            except Exception as error:  # noqa: BLE001
                loop.failures.append(f"{one.owner} ended by itself: {error!r}")
        lives = [life for one in sidecars for life in one.lives_from(clock.zero_us)]
        return join(list(records), lives, happenings)

    async def steps(
        self,
        built: timeline.Timeline,
        processes: dict[TargetKind, list[Any]],
        clock: Clock,
        happenings: list[RecordedEvent],
    ) -> None:
        """Those that are done to sidecars and planners."""
        for step in built.steps:
            if step.target in processes:
                await asyncio.sleep(max(0.0, (step.at_us - clock.now_us()) / 1e6))
                happenings.append(
                    RecordedEvent(clock.now_us(), f"{step.target.value} {step.index}: {step.action.value}")
                )
                process: Process = processes[step.target][step.index]
                process.take(step)


def play(world: World, seed: int, folder: Path | None = None) -> History:
    """With a folder the processes' logs are kept there. Raises HarnessError for a world that can't be simulated, and
    what `simulate` raises where a run fails."""
    with contextlib.ExitStack() as stack:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        work = Path(stack.enter_context(tempfile.TemporaryDirectory()))

        async def main(loop: SimLoop) -> History:
            with logged(loop, folder):
                return await Simulation(world, seed, work).play(loop)

        return simulate(seed, main)
