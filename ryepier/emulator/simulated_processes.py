"""Sidecars and planners as simulated processes on one event loop, with scheduled faults and clocks of their own."""

from __future__ import annotations

import asyncio
import contextvars
import dataclasses
from collections.abc import Coroutine
from typing import Any

from ryepier.assembly import planning
from ryepier.conf.operator_settings import OperatorSettings
from ryepier.emulator.process import monotonic_us
from ryepier.emulator.records import NEVER, Incarnation
from ryepier.emulator.timeline import FaultAction, Step
from ryepier.sidecar.components import Components
from ryepier.sidecar.config import Config
from ryepier.sidecar.serving import serve
from ryepier.sim.process import CURRENT_PROCESS, Clocks
from ryepier.sim.run import SimLoop

PLANNER_SEED_FACTOR = 1000  # multiplies the run's seed, so that each incarnation of a planner has its own seed


class SimulatedProcess:
    """A sidecar or planner and its successive processes, which use the clocks of the same machine."""

    kind = ""  # "sidecar" or "planner", used in process names

    def __init__(self, loop: SimLoop, index: int) -> None:
        """Prepare without a process; `start` starts the first one."""
        self.loop = loop
        self.index = index
        self.stop_event = asyncio.Event()  # ends the current process
        self.incarnations: list[Incarnation] = []
        self.clocks = Clocks()
        self.task: asyncio.Task[None] | None = None

    @property
    def process_name(self) -> str:
        """The name of the current process in the event loop and the logs."""
        return f"{self.kind} {self.index}, life {len(self.incarnations)}"

    def run(self) -> Coroutine[Any, Any, None]:
        """Return the coroutine that runs the process. It ends after `stop_event` is set."""
        raise NotImplementedError

    def start(self) -> None:
        """Start a new process, and add a record for it to `incarnations`."""
        now_us = monotonic_us()
        self.incarnations.append(Incarnation(self.index, now_us, now_us))
        self.stop_event = asyncio.Event()
        if self.clocks != Clocks():
            self.loop.clocks[self.process_name] = self.clocks
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, self.process_name)
        self.task = self.loop.create_task(self.run(), context=context)

    def _kill(self) -> None:
        self.loop.kill(self.process_name)
        incarnation = self.incarnations[-1]
        incarnation.end_suspension(monotonic_us())
        incarnation.killed, incarnation.ended_us = True, monotonic_us()

    def apply(self, step: Step) -> None:
        """Carry out one step of the fault schedule. While the process is down, only a restart has an effect."""
        incarnation = self.incarnations[-1]
        if step.action is FaultAction.RESTART:
            if incarnation.killed:
                self.start()
        elif incarnation.killed:
            return
        elif step.action is FaultAction.KILL:
            self._kill()
        elif step.action is FaultAction.SUSPEND:
            self.loop.suspend(self.process_name)
            incarnation.suspensions.append((monotonic_us(), NEVER))
        elif step.action is FaultAction.RESUME:
            self.loop.resume(self.process_name)
            incarnation.end_suspension(monotonic_us())
        else:
            self._change_clocks(step)

    def _change_clocks(self, step: Step) -> None:
        self.loop.clocks[self.process_name] = self.clocks
        if step.action is FaultAction.SHIFT_WALL_CLOCK:
            self.loop.shift_wall_clock(self.process_name, step.factor)
        else:
            self.loop.set_rate(self.process_name, step.factor if step.action is FaultAction.SET_CLOCK_RATE else 1.0)

    def incarnations_relative_to(self, origin_us: int) -> list[Incarnation]:
        """Return the records of all incarnations, with times relative to `origin_us`.

        The current time is recorded as the end of an incarnation that is still running.
        """
        for incarnation in self.incarnations:
            incarnation.end_suspension(monotonic_us())
            if incarnation.ended_us == NEVER:
                incarnation.ended_us = monotonic_us()
        return [incarnation.relative_to(origin_us) for incarnation in self.incarnations]


class SimulatedSidecar(SimulatedProcess):
    """A sidecar that runs its production code."""

    kind = "sidecar"

    def __init__(self, loop: SimLoop, index: int, config: Config, components: Components) -> None:
        """Prepare a sidecar with this configuration; `start` starts it."""
        super().__init__(loop, index)
        self.config = config
        self.components = components

    def run(self) -> Coroutine[Any, Any, None]:
        """Return the coroutine that serves requests until `stop_event` is set."""
        return serve(dataclasses.replace(self.config), self.stop_event, asyncio.Event(), self.components)


class SimulatedPlanner(SimulatedProcess):
    """A planner that runs its production code."""

    kind = "planner"

    def __init__(self, loop: SimLoop, index: int, settings: OperatorSettings, seed: int) -> None:
        """Prepare a planner; `start` starts it. `seed` is the seed of the run."""
        super().__init__(loop, index)
        self.settings = settings
        self.seed = seed

    async def run(self) -> None:
        """Run the planner until `stop_event` is set."""
        planner = planning.make_planner(self.settings, self.seed * PLANNER_SEED_FACTOR + len(self.incarnations))
        await planner.run(self.stop_event)
