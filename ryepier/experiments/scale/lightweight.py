"""Lightweight processes: the real code of a role without its requests, hundreds per process, as the machine allows.

A child is a module of its own: it prints one JSON object a line, the first when it is up, then one for each line it is
told. Its last line on standard input ends it.
"""

from __future__ import annotations

import asyncio
import json
import resource
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ryepier.emulator.harness import HarnessError

MOST_PROCESSES = 8
MOST_BYTES = 10 * 10**9
MOST_OF_MEMORY = 0.5  # of the machine's, as others work beside
SPARE_SOCKETS = 64  # a process's own files, and connections on their way to be closed
ANSWERS_WITHIN_S = 30.0
LONGEST_LINE = 64 * 1024 * 1024
MEMINFO = "/proc/meminfo"


class InsufficientResourcesError(HarnessError):
    """The machine can't spare what a test needs, or the test asks for more than any may; nothing was started."""


@dataclass(frozen=True, slots=True)
class Needs:
    """What a test asks for, all its processes together, its own too."""

    processes: int
    bytes: int
    sockets: int = 0  # of the process that holds the most


@dataclass(frozen=True, slots=True)
class Machine:
    """What this machine has."""

    total_bytes: int
    available_bytes: int
    sockets: int  # file descriptors that a process may hold


def read_machine(meminfo: str, sockets: int) -> Machine:
    """From the text of /proc/meminfo. Raises KeyError where it lacks a line."""
    fields = dict(line.split(":", 1) for line in meminfo.splitlines() if ":" in line)
    total, available = (int(fields[name].split()[0]) * 1024 for name in ("MemTotal", "MemAvailable"))
    return Machine(total, available, sockets)


def this_machine() -> Machine:
    return read_machine(Path(MEMINFO).read_text(), resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def check(needs: Needs, machine: Machine) -> None:
    """Raises InsufficientResourcesError that says what is too much, and by how much."""
    gigabyte = 10**9
    most = min(MOST_BYTES, int(machine.total_bytes * MOST_OF_MEMORY))
    if needs.processes > MOST_PROCESSES:
        raise InsufficientResourcesError(f"{needs.processes} processes asked for, at most {MOST_PROCESSES} may be")
    if needs.bytes > most:
        raise InsufficientResourcesError(
            f"{needs.bytes / gigabyte:.1f} GB asked for, at most {most / gigabyte:.1f} GB may be"
        )
    if needs.bytes > machine.available_bytes:
        raise InsufficientResourcesError(
            f"{needs.bytes / gigabyte:.1f} GB asked for, and only {machine.available_bytes / gigabyte:.1f} GB are free"
        )
    if needs.sockets + SPARE_SOCKETS > machine.sockets:
        raise InsufficientResourcesError(
            f"{needs.sockets} sockets asked for in a process, which may hold {machine.sockets} files"
        )


class Child:
    """A hollow process, spoken to by lines."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @property
    def pid(self) -> int:
        return self.process.pid

    async def hear(self) -> Any:
        """The next object that it prints. Raises HarnessError where it ended or says nothing in time."""
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(ANSWERS_WITHIN_S):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise HarnessError("a hollow process says nothing") from None
        if not line:
            raise HarnessError("a hollow process has ended")
        return json.loads(line)

    async def ask(self, what: str, **more: Any) -> Any:
        """Tell it one thing and hear what comes of it."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps({"do": what, **more}).encode() + b"\n")
        return await self.hear()


@asynccontextmanager
async def child(module: str, arguments: Sequence[str]) -> AsyncIterator[Child]:
    """A process of that module, ended on leaving whatever it does."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        module,
        *arguments,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        limit=LONGEST_LINE,
    )
    try:
        yield Child(process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
