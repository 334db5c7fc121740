"""Splits received bytes into segments, so that a parser's limits apply to the bytes of one read, too."""

from __future__ import annotations

from collections.abc import Callable, Iterator

MAX_SEGMENT_BYTES = 16 * 1024


def split_into_segments(data: bytes, bytes_until_limit: Callable[[], int]) -> Iterator[bytes]:
    """Yield `data` in segments of up to MAX_SEGMENT_BYTES.

    `bytes_until_limit` is called before each segment and returns how many bytes may be parsed before the caller checks
    its limits, at least 1. One read can be many times longer than a limit.
    """
    start = 0
    while start < len(data):
        end = start + min(bytes_until_limit(), MAX_SEGMENT_BYTES)
        yield data[start:end]
        start = end
