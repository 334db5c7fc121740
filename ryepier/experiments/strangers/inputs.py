"""What unknown peers send: improper requests, unfinished ones, and small ones at full speed."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

LONGEST_BODY_BYTES = 64 * 1024
HALF_BODY_BYTES = 60_000
SLOW_PART = b"x" * 1000
SLOW_INTERVAL_S = 0.05
FIELD_COUNT = 99  # one less than a request may have
CHUNK_COUNT = 65_000
REQUEST_COUNT = 3_000


@dataclass(frozen=True, slots=True)
class StrangerInput:
    """The bytes that a peer sends on one connection."""

    at_once: bytes
    slow_part: bytes = b""  # sent again and again, every `interval_s`
    interval_s: float = 0.0
    answered: bool = False  # `at_once` is a request of its own, sent again after each answer


def head(request_id: str, lines: bytes) -> bytes:
    """Return the head of a proper request with further header lines."""
    return (
        b"POST /convert-file HTTP/1.1\r\nHost: x\r\nX-Class: convert-file\r\nX-Tenant: north\r\nX-Deadline-Ms: 900\r\n"
        b"X-Request-Id: %s\r\n%s\r\n" % (request_id.encode(), lines)
    )


def long_head(request_id: str, lines: bytes = b"") -> bytes:
    """Return the head of a request with the longest body."""
    return head(request_id, b"%sContent-Length: %d\r\n" % (lines, LONGEST_BODY_BYTES))


INPUTS: Mapping[str, Callable[[str], StrangerInput]] = {
    "silent": lambda request_id: StrangerInput(b""),
    "half-body": lambda request_id: StrangerInput(long_head(request_id) + b"x" * HALF_BODY_BYTES),
    "slow-body": lambda request_id: StrangerInput(long_head(request_id), SLOW_PART, SLOW_INTERVAL_S),
    "trickle": lambda request_id: StrangerInput(b"POST /convert-file HTTP/1.1\r\nX-Note: ", b"x", SLOW_INTERVAL_S),
    "many-fields": lambda request_id: StrangerInput(
        long_head(request_id, b"a:b\r\n" * FIELD_COUNT)[:-2] + b"x" * HALF_BODY_BYTES
    ),
    "small-chunks": lambda request_id: StrangerInput(
        head(request_id, b"Transfer-Encoding: chunked\r\n") + b"1\r\nx\r\n" * CHUNK_COUNT
    ),
    "many-requests": lambda request_id: StrangerInput(head(request_id, b"Content-Length: 0\r\n") * REQUEST_COUNT),
    "small-requests": lambda request_id: StrangerInput(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n", answered=True),
    "unsound-requests": lambda request_id: StrangerInput(
        b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" % request_id.encode(), answered=True
    ),
}
