"""What a process has used of the machine, read by itself; light, as hollow processes start with it."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

SELF = "/proc/self/status"


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used so far, and holds now."""

    cpu_s: float
    resident_bytes: int

    def since(self, earlier: Usage) -> float:
        """CPU seconds between the two."""
        return self.cpu_s - earlier.cpu_s


def own_usage() -> Usage:
    """Of this process, all its threads; its CPU to the microsecond."""
    return Usage(time.process_time(), resident_bytes(Path(SELF).read_text()))


def resident_bytes(status: str) -> int:
    """From the text of a process's status. Raises OSError where it does not tell."""
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise OSError("no resident memory told")
