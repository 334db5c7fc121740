"""A bad peer that sends two requests at once: a converter must run only what a client sent as a request of its own."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from common.deployment import (
    BROKEN,
    HELD,
    KEYED_CLASS,
    NON_IDEMPOTENT_CLASS,
    NOT_RUN,
    Application,
    Converter,
    Record,
    Sidecar,
    has_trouble,
    request_bytes,
    run_case,
    running_sidecars,
)

CONVERTER_COUNT = 9
BAD_PEER_COUNT = 5
BAD_PEER_STAY_S = 3.0
REQUESTS_PER_CONNECTION = 10
PAUSE_RANGE_S = (0.05, 0.15)


async def send_bytes(record: Record, sidecar: Sidecar, name: str, data: bytes) -> None:
    """Send bytes on a new connection, and record what comes back until the sidecar closes it or the peer leaves."""
    reader, writer = await sidecar.connect()
    writer.write(data)
    received = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(BAD_PEER_STAY_S):
            while part := await reader.read(1000):
                received += part
    writer.close()
    record.write(f"bad peer {name} sent {data!r} in one write and got {received!r}")


async def be_bad_peer(record: Record, sidecar: Sidecar, number: int) -> None:
    """Ask with GET for a class whose requests may not be repeated, and send a proper request of that class after it.

    The GET is not a proper request of its class, which requires POST, so it is owed an error. With the disruption both
    are sent at once; without it, each on a connection of its own.
    """
    improper_request = request_bytes(f"get-{number}", NON_IDEMPOTENT_CLASS, method="GET")
    proper_request = request_bytes(f"post-{number}", NON_IDEMPOTENT_CLASS)
    if has_trouble():
        await send_bytes(record, sidecar, str(number), improper_request + proper_request)
    else:
        await send_bytes(record, sidecar, str(number), improper_request)
        await send_bytes(record, sidecar, str(number), proper_request)


async def case(record: Record) -> int:
    """Run the bad peers beside the application, then compare what the converters ran with what was sent."""
    converters = [Converter(record, f"s-{number}") for number in range(CONVERTER_COUNT)]
    async with running_sidecars(converters) as [sidecar]:
        application = Application(record, sidecar)
        await asyncio.gather(
            application.send_requests("file", NON_IDEMPOTENT_CLASS, REQUESTS_PER_CONNECTION, PAUSE_RANGE_S),
            application.send_requests("batch", KEYED_CLASS, REQUESTS_PER_CONNECTION, PAUSE_RANGE_S),
            *(be_bad_peer(record, sidecar, number) for number in range(BAD_PEER_COUNT)),
        )
    # What was sent as a proper request, by id. All of them are POST requests with the same body.
    sent = {f"post-{number}": NON_IDEMPOTENT_CLASS for number in range(BAD_PEER_COUNT)}
    sent |= {request_id: request_id.partition("-")[0] for request_id in application.answers}
    sent_by_nobody = [
        request
        for converter in converters
        for request in converter.requests
        if request.header("X-Request-Id") not in sent
    ]
    for request in sent_by_nobody:
        record.write(f"sent by nobody: {request.start_line}, X-Request-Id {request.header('X-Request-Id')}")
    record.write(
        f"{application.count(200)} of {len(application.answers)} requests of the application served, "
        f"{len(sent_by_nobody)} requests at converters that no client sent"
    )
    if application.count(200) == 0:
        return NOT_RUN
    return BROKEN if sent_by_nobody else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
