"""Waits for server processes that an experiment starts."""

from __future__ import annotations

import asyncio
import subprocess
import time

from ryepier.emulator.errors import HarnessError

START_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


async def wait_until_listening(process: subprocess.Popen[bytes], address: tuple[str, int], name: str) -> None:
    """Wait until a process accepts connections at an address.

    Raises HarnessError, with `name` in its text, if the process exits or does not accept connections in time.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s and process.poll() is None:
        try:
            _, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(POLL_INTERVAL_S)
        else:
            writer.close()
            return
    raise HarnessError(f"{name} exited or did not accept connections in time")
