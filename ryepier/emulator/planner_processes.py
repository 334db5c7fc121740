"""Runs the planners of a world as processes."""

from __future__ import annotations

import shutil
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path

from ryepier.emulator import files
from ryepier.emulator.process import Plan
from ryepier.emulator.timeline import FaultAction, Step


class PlannerProcesses:
    """The planners of a run. Each has a settings file, a log file and a folder of snapshots in `folder`."""

    def __init__(self, plan: Plan, folder: Path, command: Sequence[str], restart_command: Sequence[str]) -> None:
        """Prepare the planners without starting them. `restart_command` starts a planner again after a kill."""
        self.plan = plan
        self.folder = folder
        self.command = command
        self.restart_command = restart_command
        self._processes: list[subprocess.Popen[bytes]] = []

    def start_all(self) -> None:
        """Delete the snapshots of earlier runs, write the planners' settings, and start the planners."""
        settings = self.plan.world.planners
        for index in range(settings.count):
            snapshots_folder = self.folder / f"planner-{index}"
            shutil.rmtree(snapshots_folder, ignore_errors=True)
            snapshots_folder.mkdir()
            text = files.planner_settings_text(self.plan, index, snapshots_folder if settings.snapshots else None)
            self._settings_path(index).write_text(text)
            self._processes.append(self._start(index, self.command))

    def _settings_path(self, index: int) -> Path:
        return self.folder / f"planner-{index}.toml"

    def _start(self, index: int, command: Sequence[str]) -> subprocess.Popen[bytes]:
        with open(self.folder / f"planner-{index}.log", "ab") as log:
            arguments = [*command, "--config", str(self._settings_path(index))]
            return subprocess.Popen(arguments, stdout=log, stderr=log)

    def apply(self, step: Step) -> None:
        """Carry out one step of the fault schedule."""
        process = self._processes[step.index]
        if step.action is FaultAction.KILL:
            process.kill()
            process.wait()
        elif step.action is FaultAction.RESTART and process.poll() is not None:
            self._processes[step.index] = self._start(step.index, self.restart_command)
        else:
            process.send_signal(signal.SIGSTOP if step.action is FaultAction.SUSPEND else signal.SIGCONT)

    def kill_all(self) -> None:
        """Kill all planners."""
        for process in self._processes:
            process.kill()
            process.wait()
