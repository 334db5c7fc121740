"""Lightweight processes: the real code of a role without its requests, hundreds per process, as the machine allows.

A child is a module of its own: it prints one JSON object a line, the first when it is up, then one for each line it is
told. Its last line on standard input ends it.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

from ryepier.emulator.errors import HarnessError

ANSWERS_WITHIN_S = 30.0
LONGEST_LINE = 64 * 1024 * 1024


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
