"""Reads CPU time and resident memory of processes. Imports only small modules, as lightweight processes load it."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path

OWN_STATUS = "/proc/self/status"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_KIB = 1024
# indices into those fields of /proc/PID/stat that follow the program's name
USER_TICKS_FIELD, SYSTEM_TICKS_FIELD, RESIDENT_PAGES_FIELD = 11, 12, 21


@dataclass(frozen=True, slots=True)
class Usage:
    """The CPU time that a process has used so far, and its current resident memory."""

    cpu_s: float
    resident_bytes: int

    def cpu_s_since(self, earlier: Usage) -> float:
        """Return the CPU seconds used since an earlier reading."""
        return self.cpu_s - earlier.cpu_s


def own_usage() -> Usage:
    """Return the usage of this process, including all its threads; the CPU time has microsecond resolution."""
    return Usage(time.process_time(), resident_bytes(Path(OWN_STATUS).read_text()))


def usage(pid: int) -> Usage:
    """Return the usage of another process. Raises OSError if the process no longer exists.

    The resolution of the CPU time is one clock tick, usually 10 ms.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return Usage(ticks / TICKS_PER_S, int(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES)


def resident_bytes(status: str) -> int:
    """Return the resident memory from the text of /proc/PID/status. Raises OSError if the field is missing."""
    return status_kib(status, "VmRSS") * BYTES_PER_KIB


def status_kib(status: str, field: str) -> int:
    """Return the value of a field in KiB from the text of /proc/PID/status. Raises OSError if the field is missing."""
    for line in status.splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1])
    raise OSError(f"no {field} in the process status")
