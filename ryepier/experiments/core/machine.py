"""The resources of this machine, and the check that an experiment may use what it needs of them."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

from ryepier.emulator.errors import HarnessError

GB = 10**9
KIB = 1024
MAX_PROCESSES = 8
MAX_BYTES = 10 * GB
MAX_MEMORY_SHARE = 0.5  # of the machine's, as others use it too
SPARE_SOCKETS = 64  # a process's own files, and connections that are being closed
MEMINFO = "/proc/meminfo"


class InsufficientResourcesError(HarnessError):
    """The machine can't spare what an experiment needs, or it needs more than any may; nothing was started."""


@dataclass(frozen=True, slots=True)
class ResourceRequirements:
    """What all processes of an experiment need together, including its own."""

    processes: int
    bytes: int
    sockets: int = 0  # of the process that holds the most


@dataclass(frozen=True, slots=True)
class MachineResources:
    """What a machine has."""

    total_bytes: int
    available_bytes: int
    sockets: int  # file descriptors that a process may hold

    @property
    def usable_bytes(self) -> int:
        """Return the memory that an experiment may use, free or not."""
        return int(self.total_bytes * MAX_MEMORY_SHARE)


def read_machine(meminfo: str, sockets: int) -> MachineResources:
    """Return a machine's resources from the text of /proc/meminfo. Raises KeyError if a line is missing."""
    fields = dict(line.split(":", 1) for line in meminfo.splitlines() if ":" in line)
    total_bytes, available_bytes = (int(fields[name].split()[0]) * KIB for name in ("MemTotal", "MemAvailable"))
    return MachineResources(total_bytes, available_bytes, sockets)


def this_machine() -> MachineResources:
    """Return the resources of this machine."""
    return read_machine(Path(MEMINFO).read_text(), resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def check_requirements(needs: ResourceRequirements, machine: MachineResources) -> None:
    """Raise InsufficientResourcesError with what is too much and by how much, unless a machine can spare the needs."""
    max_bytes = min(MAX_BYTES, machine.usable_bytes)
    if needs.processes > MAX_PROCESSES:
        raise InsufficientResourcesError(f"{needs.processes} processes asked for, at most {MAX_PROCESSES} may be")
    if needs.bytes > max_bytes:
        raise InsufficientResourcesError(f"{needs.bytes / GB:.1f} GB asked for, at most {max_bytes / GB:.1f} GB may be")
    if needs.bytes > machine.available_bytes:
        raise InsufficientResourcesError(
            f"{needs.bytes / GB:.1f} GB asked for, and only {machine.available_bytes / GB:.1f} GB are free"
        )
    if needs.sockets + SPARE_SOCKETS > machine.sockets:
        raise InsufficientResourcesError(
            f"{needs.sockets} sockets asked for in a process, which may hold {machine.sockets} files"
        )
