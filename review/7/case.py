"""Case 7: unknown peers that send bodies in chunks of one byte keep the sidecar from answering the application."""

from __future__ import annotations

import asyncio
import contextlib
import os
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
    has_trouble,
    run_case,
    settings,
)

CONVERTERS = 12
POD_SIZE = 4
REQUESTS_PER_S = 40.0
QUIET_S = 3.0  # before the peers come
REST_S = 12.0
TRY_SHARE = 0.6  # of the time of its class, after which a try is given up
PEERS = 340  # a third of the descriptors, once
ARRIVAL_S = 0.5  # all peers come within this time
CHUNKS = b"1\r\nx\r\n" * 65_000  # of one byte each; the request never ends
PEER_STAY_S = 8.0


async def send_chunks(address: tuple[str, int], record: Record) -> None:
    """Connect, send a request that never ends, and wait for the error or the close."""
    loop = asyncio.get_running_loop()
    lines = [
        "POST /convert-batch HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {os.urandom(8).hex()}",
        "X-Class: convert-batch",
        "X-Deadline-Ms: 2000",
        "Transfer-Encoding: chunked",
    ]
    with socket.socket() as sock, contextlib.suppress(OSError, TimeoutError):
        sock.setblocking(False)
        async with asyncio.timeout(PEER_STAY_S):
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, "\r\n".join(lines).encode() + b"\r\n\r\n" + CHUNKS)
            answer = await loop.sock_recv(sock, READ_BYTES)
            first_line = answer.partition(b"\r\n")[0].decode("latin-1")
            record.add(f"unknown peer got {first_line or 'a close'}")


async def bring_peers(address: tuple[str, int], record: Record) -> None:
    """Let all peers come, evenly within ARRIVAL_S."""
    await asyncio.sleep(QUIET_S)
    record.add(f"{PEERS} unknown peers begin to come")
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for index in range(PEERS):
            await asyncio.sleep(max(0.0, started_at + ARRIVAL_S * index / PEERS - time.monotonic()))
            group.create_task(send_chunks(address, record))
    record.add("the last unknown peer has gone")


async def case(record: Record, temporary: Path) -> bool:
    """Return whether every request of the application got its final answer in time, or a close without one."""

    def on_attempt(attempt: Attempt) -> None:
        record.add(f"ran {attempt.request_id} at {attempt.converter.uid}")

    converters = [Converter(f"s-{index}", index // POD_SIZE, on_attempt) for index in range(CONVERTERS)]
    for converter in converters:
        converter.start()
    agent = Agent(converter.entry() for converter in converters)
    await agent.start()
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    sidecar = Sidecar(temporary, agent, settings([CONVERT_FILE, CONVERT_BATCH]), limits)
    try:
        await sidecar.start()
        application = Application(sidecar.listen, record, limits["sockets"] // 3, TRY_SHARE)
        peers = asyncio.create_task(bring_peers(sidecar.listen, record)) if has_trouble() else None
        await application.send_steadily(REQUESTS_PER_S, QUIET_S + REST_S)
        await application.finish()
        if peers is not None:
            await peers
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
