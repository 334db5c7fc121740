"""Reads the resources of this machine, and checks that they suffice for an experiment."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

from ryepier.emulator.errors import HarnessError

GB = 10**9
BYTES_PER_KIB = 1024
MAX_PROCESSES = 8
MAX_BYTES = 10 * GB
# share of the machine's memory that an experiment may use; the rest is left to other users of the machine
MAX_MEMORY_SHARE = 0.5
SPARE_SOCKETS = 64  # descriptors for a process's own files and for connections that are being closed
MEMINFO = "/proc/meminfo"


class InsufficientResourcesError(HarnessError):
    """The machine lacks resources, or the experiment exceeds the fixed limits. No process has been started."""


@dataclass(frozen=True, slots=True)
class ResourceRequirements:
    """The resources that all processes of an experiment need together, including the calling process."""

    processes: int
    bytes: int
    sockets: int = 0  # highest number of sockets that any single process opens


@dataclass(frozen=True, slots=True)
class MachineResources:
    """The memory of a machine, and its limit on open files, against which requirements are checked."""

    total_bytes: int
    available_bytes: int
    max_open_files: int  # limit on open file descriptors, including sockets, per process

    @property
    def usable_bytes(self) -> int:
        """Return the memory that an experiment may use, whether or not it is free now."""
        return int(self.total_bytes * MAX_MEMORY_SHARE)


def read_machine(meminfo: str, max_open_files: int) -> MachineResources:
    """Return a machine's resources from the text of /proc/meminfo. Raises KeyError if a line is missing."""
    fields = dict(line.split(":", 1) for line in meminfo.splitlines() if ":" in line)
    total_bytes, available_bytes = (
        int(fields[name].split()[0]) * BYTES_PER_KIB for name in ("MemTotal", "MemAvailable")
    )
    return MachineResources(total_bytes, available_bytes, max_open_files)


def this_machine() -> MachineResources:
    """Return the resources of this machine."""
    return read_machine(Path(MEMINFO).read_text(), resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def check_requirements(requirements: ResourceRequirements, machine: MachineResources) -> None:
    """Raise InsufficientResourcesError, with the exceeded limit, if the machine can't satisfy the requirements."""
    max_bytes = min(MAX_BYTES, machine.usable_bytes)
    if requirements.processes > MAX_PROCESSES:
        raise InsufficientResourcesError(
            f"{requirements.processes} processes required, at most {MAX_PROCESSES} allowed"
        )
    if requirements.bytes > max_bytes:
        raise InsufficientResourcesError(
            f"{requirements.bytes / GB:.1f} GB required, at most {max_bytes / GB:.1f} GB allowed"
        )
    if requirements.bytes > machine.available_bytes:
        raise InsufficientResourcesError(
            f"{requirements.bytes / GB:.1f} GB required, only {machine.available_bytes / GB:.1f} GB are free"
        )
    if requirements.sockets + SPARE_SOCKETS > machine.max_open_files:
        raise InsufficientResourcesError(
            f"{requirements.sockets} sockets required in one process, which may open {machine.max_open_files} files"
        )
