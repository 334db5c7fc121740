"""Resource usage of a process, as Linux reports it under /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024
# positions of fields in /proc/PID/stat, counted from the field after the process's name
USER_TICKS_FIELD, SYSTEM_TICKS_FIELD, RESIDENT_PAGES_FIELD = 11, 12, 21
NS_PER_US = 1000


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """A process's CPU time since its start, and its resident memory."""

    cpu_us: int
    resident_kib: int


def read_usage(pid: int) -> ProcessUsage | None:
    """Return a process's usage; None if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    cpu_us = (int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])) * 1_000_000 // TICKS_PER_S
    return ProcessUsage(cpu_us, int(fields[RESIDENT_PAGES_FIELD]) * PAGE_KIB)


def read_cpu_wait_us(pid: int) -> int | None:
    """Return how long a process has waited for a core while runnable.

    Returns None if the process has ended or Linux does not record the wait.
    """
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) // NS_PER_US
    except (OSError, IndexError):
        return None
