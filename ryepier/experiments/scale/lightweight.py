"""Lightweight processes: the real code of a role without its requests, hundreds of the role in each process.

Such a process is a module of its own. It prints one JSON object per line: the first when it is up, then one for each
line that it reads. The end of its standard input ends it.
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

ANSWER_TIMEOUT_S = 30.0
MAX_LINE_BYTES = 64 * 1024 * 1024


class LightweightProcess:
    """A lightweight process, and the exchange of lines with it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Take over a process with pipes for its standard input and output."""
        self.process = process

    @property
    def pid(self) -> int:
        """Return the process's id."""
        return self.process.pid

    async def read(self) -> Any:
        """Return the next object that it prints. Raises HarnessError if it has ended or prints nothing in time."""
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise HarnessError("a hollow process says nothing") from None
        if not line:
            raise HarnessError("a hollow process has ended")
        return json.loads(line)

    async def request(self, command: str, **options: Any) -> Any:
        """Send a command, and return its answer. Raises HarnessError as `read` does."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps({"do": command, **options}).encode() + b"\n")
        return await self.read()


@asynccontextmanager
async def start_process(module: str, arguments: Sequence[str]) -> AsyncIterator[LightweightProcess]:
    """Run a module as a lightweight process, and kill it on leaving."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        module,
        *arguments,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        limit=MAX_LINE_BYTES,
    )
    try:
        yield LightweightProcess(process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
