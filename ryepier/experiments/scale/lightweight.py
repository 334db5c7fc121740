"""Starts lightweight processes and exchanges commands with them.

A lightweight process runs hundreds of instances of a role, with the role's real code but without requests. Each kind is
a module that is run with `-m`. It prints a JSON object per line: the first when it is ready, then one for each command
that it reads. It exits at the end of its standard input.
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
    """A running lightweight process, which answers commands."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Wrap a running process that has pipes for its standard input and output."""
        self.process = process

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    async def read(self) -> Any:
        """Return the next object that the process prints. Raises HarnessError on a timeout, or if it has exited."""
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise HarnessError("a lightweight process printed no answer in time") from None
        if not line:
            raise HarnessError("a lightweight process exited unexpectedly")
        return json.loads(line)

    async def request(self, command: str, **options: Any) -> Any:
        """Send a command, and return the answer. Raises HarnessError like `read`."""
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
