"""Bad peers that each send a long head at once: the sidecar must stay within its memory and answer the application."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path

from common.deployment import (
    BROKEN,
    HELD,
    NON_IDEMPOTENT_CLASS,
    NOT_RUN,
    Application,
    Converter,
    Record,
    Sidecar,
    has_trouble,
    run_case,
    running_sidecars,
)

MEMORY_MB, SOCKETS = 64, 256  # the limits of the day in the report on case5736
CONVERTER_COUNT = 9
APPLICATION_CONNECTIONS = 6
REQUESTS_PER_CONNECTION = 40
PAUSE_RANGE_S = (0.03, 0.07)
QUIET_S = 1.5  # before the bad peers come
BAD_PEER_COUNT = 64  # a quarter of the descriptors
BAD_PEER_STAY_S = 3.0  # a bad peer closes after this; it is owed an error or a close within this time
HEAD_BYTES = 256 * 1024
SHORT_LINE = b"ab:c\r\n"
POLL_INTERVAL_S = 0.01


class Platform:
    """The platform: kills the sidecar once its memory exceeds its limit."""

    def __init__(self, record: Record, sidecar: Sidecar) -> None:
        """Watch the sidecar once `watch` runs."""
        self.record = record
        self.sidecar = sidecar
        self.greatest_mb = 0.0
        self.has_killed = False

    async def watch(self) -> None:
        """Read the memory until the task is cancelled or the process was killed."""
        process = self.sidecar.process
        assert process is not None
        while process.returncode is None:
            memory_mb = self.sidecar.anonymous_memory_mb()
            self.greatest_mb = max(self.greatest_mb, memory_mb)
            if memory_mb > self.sidecar.memory_mb:
                self.record.write(f"platform: memory {memory_mb:.1f} of {self.sidecar.memory_mb} MB, killed")
                self.has_killed = True
                process.send_signal(signal.SIGKILL)
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def be_bad_peer(record: Record, sidecar: Sidecar, number: int) -> bool:
    """Send a head that does not end, and stay. Return whether an error or a close came in time."""
    head = b"POST /convert-file HTTP/1.1\r\nHost: api.internal\r\n"
    head += SHORT_LINE * ((HEAD_BYTES - len(head)) // len(SHORT_LINE))
    try:
        reader, writer = await sidecar.connect()
    except OSError as error:
        record.write(f"bad peer {number}: not connected: {type(error).__name__}")
        return True
    writer.write(head)
    answer, is_over = b"", False
    with contextlib.suppress(ConnectionError):
        try:
            async with asyncio.timeout(BAD_PEER_STAY_S):
                answer = await reader.read(200)
            is_over = True
        except TimeoutError:
            pass
        await asyncio.sleep(BAD_PEER_STAY_S)
    status_line = answer.partition(b"\r\n")[0].decode("latin-1")
    record.write(f"bad peer {number}: sent {len(head)} bytes, got {status_line or 'nothing'!r}")
    writer.close()
    return is_over


async def case(record: Record) -> int:
    """Send requests of the application all the time, and let the bad peers come in their midst."""
    converters = [Converter(record, f"s-{number}", work_s=0.15) for number in range(CONVERTER_COUNT)]
    async with running_sidecars(converters, memory_mb=MEMORY_MB, sockets=SOCKETS) as [sidecar]:
        application, platform = Application(record, sidecar), Platform(record, sidecar)
        watch_task = asyncio.create_task(platform.watch())
        requests = [
            asyncio.create_task(
                application.send_requests(f"app{number}", NON_IDEMPOTENT_CLASS, REQUESTS_PER_CONNECTION, PAUSE_RANGE_S)
            )
            for number in range(APPLICATION_CONNECTIONS)
        ]
        await asyncio.sleep(QUIET_S)
        served_before = application.count(200)
        record.write(f"before the bad peers: {served_before} served, at most {platform.greatest_mb:.1f} MB")
        if has_trouble():
            await asyncio.gather(*(be_bad_peer(record, sidecar, number) for number in range(BAD_PEER_COUNT)))
        await asyncio.gather(*requests)
        watch_task.cancel()
        has_crashed = sidecar.process is not None and sidecar.process.returncode is not None
    unanswered = sorted(request_id for request_id, answer in application.answers.items() if answer is None)
    record.write(
        f"memory at most {platform.greatest_mb:.1f} of {MEMORY_MB} MB; {application.count(200)} of "
        f"{len(application.answers)} requests served; without an answer: {', '.join(unanswered) or 'none'}"
    )
    if served_before == 0 and not platform.has_killed:
        return NOT_RUN
    return BROKEN if platform.has_killed or has_crashed else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
