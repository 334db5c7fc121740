"""Case 8: a crowd of idle connections keeps the application's requests in the listener's queue past their time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import time
from pathlib import Path

from stand_ins import (
    CONVERT_BATCH,
    CONVERT_FILE,
    READ_BYTES,
    Agent,
    Application,
    Attempt,
    Converter,
    Record,
    Sidecar,
    allow_descriptors,
    has_trouble,
    run_case,
    settings,
)

CONVERTERS = 12
POD_SIZE = 4
REQUESTS_PER_S = 25.0
QUIET_S = 3.0  # before the crowd comes
REST_S = 9.0
TRY_SHARE = 0.6  # of the time of its class, after which a try is given up
CROWD = 2000
CROWD_ARRIVAL_S = 1.0
CROWD_STAY_S = 8.0
DESCRIPTORS = 4000


async def stay_idle(address: tuple[str, int]) -> None:
    """Connect and send nothing, until the sidecar ends the connection or CROWD_STAY_S have passed."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError, TimeoutError):
        sock.setblocking(False)
        async with asyncio.timeout(CROWD_STAY_S):
            await loop.sock_connect(sock, address)
            while await loop.sock_recv(sock, READ_BYTES):
                pass


async def bring_crowd(address: tuple[str, int], record: Record) -> None:
    """Open CROWD idle connections, evenly within CROWD_ARRIVAL_S."""
    await asyncio.sleep(QUIET_S)
    record.add(f"{CROWD} idle connections begin to come")
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for index in range(CROWD):
            await asyncio.sleep(max(0.0, started_at + CROWD_ARRIVAL_S * index / CROWD - time.monotonic()))
            group.create_task(stay_idle(address))
    record.add("all of the crowd have left or were closed")


async def case(record: Record, temporary: Path) -> bool:
    """Return whether every request got its final answer in time, or a close without one."""
    allow_descriptors(DESCRIPTORS)

    def on_attempt(attempt: Attempt) -> None:
        record.add(f"ran {attempt.request_id} at {attempt.converter.uid}, which was told {attempt.told_ms} ms")

    converters = [Converter(f"s-{index}", index // POD_SIZE, on_attempt) for index in range(CONVERTERS)]
    for converter in converters:
        converter.start()
    agent = Agent(converter.entry() for converter in converters)
    await agent.start()
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 256}
    sidecar = Sidecar(temporary, agent, settings([CONVERT_FILE, CONVERT_BATCH]), limits)
    try:
        await sidecar.start()
        application = Application(sidecar.listen, record, limits["sockets"] // 3, TRY_SHARE)
        crowd = asyncio.create_task(bring_crowd(sidecar.listen, record)) if has_trouble() else None
        await application.send_steadily(REQUESTS_PER_S, QUIET_S + REST_S)
        await application.finish()
        if crowd is not None:
            await crowd
    finally:
        sidecar.stop()
        agent.stop()
        for converter in converters:
            converter.stop()
    lost = application.lost_requests()
    record.add(f"{len(application.requests)} requests; {application.summary()}")
    record.add(f"{len(lost)} requests got neither a final answer within half a second after their time nor a close")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
