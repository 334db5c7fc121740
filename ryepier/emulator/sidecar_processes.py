"""Runs the sidecars under test as processes: start, readiness, scheduled faults, resource usage, and stop."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from ryepier.emulator import files
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.process import CPU_WAIT_THRESHOLD_US, Plan, monotonic_us
from ryepier.emulator.process_usage import read_cpu_wait_us, read_usage
from ryepier.emulator.records import NEVER, Incarnation
from ryepier.emulator.timeline import FaultAction

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.01  # poll interval; with more than `MAX_CONCURRENT_STARTS` sidecars, proportional to their number
MAX_CONCURRENT_STARTS = 24
RESTARTS_PER_CORE = 0.5  # limit of concurrent restarts during a run, so that the emulator keeps its schedule
USAGE_SAMPLE_S = 0.5
CPU_WAIT_SAMPLE_S = 0.05
MAX_SIDECARS_FOR_CPU_WAITS = 20  # with more sidecars, reading their waits for a core would slow down the harness
STOP_TIMEOUT_S = 6.0
STOP_POLL_S = 0.02


@dataclass(slots=True)
class SidecarProcess:
    """One sidecar, its current process, and the records of all its processes."""

    index: int
    config_path: Path
    log_path: Path
    process: subprocess.Popen[bytes] | None = None
    incarnations: list[Incarnation] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether a process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None


def record_cpu_wait(incarnation: Incarnation, waited_us: int, now_us: int) -> None:
    """Record a wait for a core if it is long enough to delay responses: at least `CPU_WAIT_THRESHOLD_US`."""
    if waited_us >= CPU_WAIT_THRESHOLD_US:
        incarnation.cpu_waits.append((now_us - waited_us, now_us))


class SidecarProcesses:
    """All sidecars of a run. Times are on the machine's clock until `incarnations` converts them."""

    def __init__(self, plan: Plan, command: Sequence[str], overrides: Mapping[int, Sequence[str]]) -> None:
        """Prepare the processes. `overrides` replaces `command` for single sidecars; an empty `command` starts none."""
        self.plan = plan
        self.command = command
        self.overrides = overrides
        self.sidecars: list[SidecarProcess] = []
        cores = len(os.sched_getaffinity(0))
        self._restart_slots = asyncio.Semaphore(max(1, int(RESTARTS_PER_CORE * cores)))

    def write_configurations(self, texts: Sequence[str], folder: Path) -> None:
        """Write the platform's configuration of each sidecar to a file in `folder`."""
        for index, text in enumerate(texts):
            config_path = folder / f"sidecar-{index}.json"
            config_path.write_text(text)
            self.sidecars.append(SidecarProcess(index, config_path, folder / f"sidecar-{index}.log"))

    # Start

    async def start_all(self) -> None:
        """Start all sidecars, and wait until they are ready. Raises HarnessError if one does not become ready."""
        if not self.command:
            return
        slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        await asyncio.gather(*(self._start_when_slot_is_free(sidecar, slots) for sidecar in self.sidecars))

    async def _start_when_slot_is_free(self, sidecar: SidecarProcess, slots: asyncio.Semaphore) -> None:
        """Start a sidecar that is down once a slot is free, and hold the slot until the sidecar is ready."""
        async with slots:
            if not sidecar.incarnations or sidecar.incarnations[-1].killed:
                self._start(sidecar)
                await self._wait_until_ready(sidecar)

    def _start(self, sidecar: SidecarProcess) -> None:
        with open(sidecar.log_path, "ab") as log:
            environment = os.environ | {"BALANCER_CONFIG": str(sidecar.config_path)}
            environment |= files.settings_environment(self.plan, sidecar.index)
            command = self.overrides.get(sidecar.index, self.command)
            sidecar.process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)
        sidecar.incarnations.append(Incarnation(sidecar.index, monotonic_us(), NEVER))

    async def _wait_until_ready(self, sidecar: SidecarProcess) -> None:
        """Poll a sidecar until it is ready or a fault kills it. Raises HarnessError if it ends or times out."""
        incarnation = sidecar.incarnations[-1]
        poll_interval_s = READY_POLL_S * max(1.0, len(self.sidecars) / MAX_CONCURRENT_STARTS)
        end_us = monotonic_us() + int(READY_TIMEOUT_S * 1e6)
        while monotonic_us() < end_us:
            if incarnation.killed:
                return
            if not sidecar.is_running:
                raise HarnessError(f"sidecar {sidecar.index} ended at its start: see {sidecar.log_path}")
            if await self._is_ready(sidecar):
                incarnation.ready_us = monotonic_us()
                return
            await asyncio.sleep(poll_interval_s)
        raise HarnessError(
            f"sidecar {sidecar.index} was not ready within {READY_TIMEOUT_S:.0f} s: see {sidecar.log_path}"
        )

    async def _is_ready(self, sidecar: SidecarProcess) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.plan.sidecar_address(sidecar.index))
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    # Faults

    def apply(self, index: int, action: FaultAction, restart_tasks: asyncio.TaskGroup) -> None:
        """Carry out one step of the fault schedule; a restart runs as a task of `restart_tasks`."""
        if not self.command:
            return
        sidecar = self.sidecars[index]
        is_down = bool(sidecar.incarnations) and sidecar.incarnations[-1].killed
        if sidecar.process is None or (action is FaultAction.RESTART) is not is_down:
            return  # two faults overlap, and the sidecar is already down or already running again
        incarnation = sidecar.incarnations[-1]
        if action is FaultAction.KILL:
            self._kill(sidecar, sidecar.process)
        elif action is FaultAction.RESTART:
            restart_tasks.create_task(self._start_when_slot_is_free(sidecar, self._restart_slots))
        elif action is FaultAction.SUSPEND:
            sidecar.process.send_signal(signal.SIGSTOP)
            incarnation.suspensions.append((monotonic_us(), NEVER))
        elif action is FaultAction.RESUME:
            sidecar.process.send_signal(signal.SIGCONT)
            incarnation.end_suspension(monotonic_us())

    def _kill(self, sidecar: SidecarProcess, process: subprocess.Popen[bytes]) -> None:
        self._take_sample(sidecar)
        incarnation = sidecar.incarnations[-1]
        incarnation.killed, incarnation.ended_us = True, monotonic_us()
        incarnation.end_suspension(monotonic_us())
        process.kill()
        process.wait()

    # Usage

    async def sample_usage(self) -> None:
        """Record each sidecar's resource usage every `USAGE_SAMPLE_S` until cancelled."""
        while True:
            await asyncio.sleep(USAGE_SAMPLE_S)
            for sidecar in self.sidecars:
                self._take_sample(sidecar)

    def _take_sample(self, sidecar: SidecarProcess) -> None:
        if sidecar.process is None:
            return
        incarnation = sidecar.incarnations[-1]
        if sidecar.process.poll() is not None:
            if not incarnation.killed and not incarnation.crashed:
                incarnation.crashed, incarnation.ended_us = True, monotonic_us()
            return
        usage = read_usage(sidecar.process.pid)
        if usage is not None:
            incarnation.samples.append((monotonic_us(), usage.cpu_us, usage.resident_kib))

    async def watch_cpu_waits(self) -> None:
        """Record sidecars' long waits for a core until cancelled.

        Returns immediately if there are more than `MAX_SIDECARS_FOR_CPU_WAITS` sidecars.
        """
        waited_us_by_pid: dict[int, int] = {}
        while len(self.sidecars) <= MAX_SIDECARS_FOR_CPU_WAITS:
            for sidecar in self.sidecars:
                if sidecar.process is None:
                    continue
                pid = sidecar.process.pid
                waited_us = read_cpu_wait_us(pid)
                if waited_us is not None:
                    wait_since_last_sample_us = waited_us - waited_us_by_pid.get(pid, waited_us)
                    record_cpu_wait(sidecar.incarnations[-1], wait_since_last_sample_us, monotonic_us())
                    waited_us_by_pid[pid] = waited_us
            await asyncio.sleep(CPU_WAIT_SAMPLE_S)

    # Stop

    async def stop_all(self) -> None:
        """Send SIGTERM to all sidecars, and record whether each ended with exit status 0."""
        for sidecar in self.sidecars:
            self._take_sample(sidecar)
            if sidecar.process is not None and sidecar.is_running:
                sidecar.process.send_signal(signal.SIGTERM)
        end_us = monotonic_us() + int(STOP_TIMEOUT_S * 1e6)
        for sidecar in self.sidecars:
            if sidecar.process is None or sidecar.incarnations[-1].crashed:
                continue
            while sidecar.is_running and monotonic_us() < end_us:
                await asyncio.sleep(STOP_POLL_S)
            incarnation = sidecar.incarnations[-1]
            incarnation.end_suspension(monotonic_us())
            incarnation.ended_us, incarnation.crashed = monotonic_us(), sidecar.process.poll() != 0

    def kill_all(self) -> None:
        """Kill the sidecars that are still running."""
        for sidecar in self.sidecars:
            if sidecar.process is not None and sidecar.is_running:
                sidecar.process.kill()
                sidecar.process.wait()

    def incarnations(self, origin_us: int) -> list[Incarnation]:
        """Return the records of all sidecar processes, with times counted from `origin_us`."""
        return [incarnation.relative_to(origin_us) for sidecar in self.sidecars for incarnation in sidecar.incarnations]
