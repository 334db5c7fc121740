"""Converters that answer without a length: half at least of the answers that come whole must be forwarded."""

from __future__ import annotations

import asyncio
from pathlib import Path

from common.deployment import (
    BROKEN,
    HELD,
    KEYED_CLASS,
    NON_IDEMPOTENT_CLASS,
    NOT_RUN,
    Application,
    Converter,
    Message,
    Record,
    has_trouble,
    run_case,
    running_sidecar,
    with_length,
)

CONVERTER_COUNT = 9
LENGTHLESS_EVERY = 4  # one of so many answers has no length
REQUESTS_PER_CONNECTION = 60
PAUSE_S = 0.05
MIN_FORWARDED_SHARE = 0.5
MIN_COUNT = 10  # with fewer answers the case says nothing


class Answers:
    """Gives the converters' answers, every `LENGTHLESS_EVERY`th one without a length."""

    def __init__(self, record: Record) -> None:
        """Start with no answers."""
        self.record = record
        self.count = 0
        self.whole_ids: list[str] = []  # requests whose answer had no length (TROUBLE=0: any) and was written whole

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Write the answer to a request; end the connection after an answer without a length, as HTTP/1.1 asks."""
        request_id = request.header("X-Request-Id")
        body = b"converted " + request_id.encode()
        self.count += 1
        if self.count % LENGTHLESS_EVERY:
            writer.write(with_length(body))
            return True
        self.whole_ids.append(request_id)
        if not has_trouble():
            writer.write(with_length(body))
            return True
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/pdf\r\nConnection: close\r\n\r\n" + body)
        await writer.drain()
        self.record.write(f"whole answer without a length to {request_id}")
        return False  # the connection is closed in order, with nothing unread


async def case(record: Record) -> int:
    """Send requests of both classes and count the answers without a length that reached the application."""
    answers = Answers(record)
    converters = [
        Converter(record, f"s-{number}", work_s=0.05, answer=answers.answer) for number in range(CONVERTER_COUNT)
    ]
    async with running_sidecar(converters) as sidecar:
        application = Application(record, sidecar)
        await asyncio.gather(
            application.send_requests("file-a", NON_IDEMPOTENT_CLASS, REQUESTS_PER_CONNECTION, PAUSE_S),
            application.send_requests("file-b", NON_IDEMPOTENT_CLASS, REQUESTS_PER_CONNECTION, PAUSE_S),
            application.send_requests("batch-a", KEYED_CLASS, REQUESTS_PER_CONNECTION, PAUSE_S),
        )
    # Only requests that may not be sent again tell for certain which answer was forwarded.
    whole_ids = [request_id for request_id in answers.whole_ids if request_id.startswith("file")]
    forwarded = 0
    for request_id in whole_ids:
        client_answer = application.answers.get(request_id)
        forwarded += client_answer is not None and client_answer.body == b"converted " + request_id.encode()
    record.write(
        f"{application.count(200)} of {len(application.answers)} requests served, {application.count(500)} failed; "
        f"of {len(whole_ids)} whole answers {'without' if has_trouble() else 'with'} a length to "
        f"{NON_IDEMPOTENT_CLASS}, {forwarded} were forwarded"
    )
    if len(whole_ids) < MIN_COUNT:
        return NOT_RUN
    return BROKEN if forwarded < MIN_FORWARDED_SHARE * len(whole_ids) else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
