"""Writes a converter's response to its connection, as the current fault wants it."""

from __future__ import annotations

import http
from dataclasses import dataclass

from ryepier.emulator.converter_connection import ConverterConnection, encode_response
from ryepier.emulator.process import Clock
from ryepier.emulator.records import AttemptOutcome
from ryepier.emulator.world import FaultKind

SECOND_ANSWER_DELAY_US = 5_000
FAULTS_WITHOUT_LENGTH = frozenset((FaultKind.NO_LENGTH, FaultKind.NO_LENGTH_RESET))


@dataclass(frozen=True, slots=True)
class ConverterResponse:
    """A response before it is encoded."""

    status: http.HTTPStatus
    body: bytes
    load_report: str
    not_run: bool = False


def deliver(
    connection: ConverterConnection, response: ConverterResponse, fault: FaultKind | None, clock: Clock
) -> None:
    """Write the response and end the connection's attempt; `fault` affects this response, None means no fault does."""
    has_length = fault not in FAULTS_WITHOUT_LENGTH
    data = encode_response(response.status, response.body, response.load_report, response.not_run, has_length)
    match fault:
        case FaultKind.RESET_AFTER:
            connection.end_attempt(AttemptOutcome.RESET)
            connection.abort()
        case FaultKind.NO_LENGTH_RESET:
            connection.write(data)
            connection.end_attempt(AttemptOutcome.RESET)
            connection.abort()
        case FaultKind.HALF_ANSWER:
            connection.write(data[: -max(1, len(response.body) // 2)])
            connection.end_attempt(AttemptOutcome.RESET)
            connection.close()
        case _:
            connection.write(data)
            connection.end_attempt(AttemptOutcome.ANSWERED, response.status, response.not_run)
    if fault is FaultKind.NO_LENGTH:
        connection.close()
    elif fault is FaultKind.SECOND_ANSWER:
        connection.use_nagle_algorithm()
        clock.handle_at(clock.now_us() + SECOND_ANSWER_DELAY_US, lambda: connection.write(data))
