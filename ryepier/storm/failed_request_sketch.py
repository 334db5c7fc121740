"""Recognition of retries in bounded memory: a count-min sketch in two generations.

Performs no I/O and reads no clock. A request that was not served is added by its hash, and a later arrival with the
same hash is a retry. Served requests are never added, so a request that is repeated after it was served does not count
as a retry.

Errors are one-sided: a first attempt may be taken for a retry if other requests have incremented all its counters. With
`GENERATION_SIZE` hashes in a generation, this is so for one counter with probability
1 - exp(-GENERATION_SIZE / WIDTH) = 0.086, and for all four counters of one of the two generations with probability
2 * 0.086**4 = 0.011% at most. As a generation ends by its size or its age, this bound holds at any rate of failed
requests: at a higher rate, requests are remembered for a shorter time, but not less exactly.
"""

from __future__ import annotations

import hashlib

ROW_COUNT = 4  # rows of counters, each with its own hash function
WIDTH = 1 << 16  # counters per row, of one byte each; both generations together take 512 KB
GENERATION_SIZE = 5_900  # hashes after which a generation ends
GENERATION_US = 10_000_000  # longest duration of a generation
MAX_COUNT = 255  # largest value of a counter, which is one byte


def fingerprint(*parts: bytes) -> bytes:
    """Return a hash of the parts of a request that its retries have in common, and of their lengths."""
    hasher = hashlib.blake2b(digest_size=4 * ROW_COUNT)
    for part in parts:
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.digest()


class _Generation:
    def __init__(self, now_us: int) -> None:
        self.rows = [bytearray(WIDTH) for _ in range(ROW_COUNT)]
        self.started_at_us = now_us
        self.request_count = 0

    def lowest_count(self, columns: list[int]) -> int:
        return min(row[column] for row, column in zip(self.rows, columns, strict=True))

    def add(self, columns: list[int]) -> None:
        """Count one request. Only its lowest counters are incremented, as other requests have raised the others."""
        lowest_count = self.lowest_count(columns)
        if lowest_count < MAX_COUNT:
            for row, column in zip(self.rows, columns, strict=True):
                row[column] = max(row[column], lowest_count + 1)
        self.request_count += 1


def _columns(digest: bytes) -> list[int]:
    return [int.from_bytes(digest[i : i + 4], "big") % WIDTH for i in range(0, 4 * ROW_COUNT, 4)]


class FailedRequestSketch:
    """Counts how often a request was not served in the last 10 to 20 s, or in a shorter time if very many fail."""

    def __init__(self, now_us: int) -> None:
        """Start empty at `now_us` (microseconds)."""
        self.current_generation = _Generation(now_us)
        self.previous_generation: _Generation | None = None

    @property
    def empty(self) -> bool:
        """Whether no failed request is remembered, so that each arrival counts as a first attempt."""
        return not self.current_generation.request_count and self.previous_generation is None

    def add(self, now_us: int, digest: bytes) -> None:
        """Add a request that was not served."""
        if (
            now_us - self.current_generation.started_at_us >= GENERATION_US
            or self.current_generation.request_count >= GENERATION_SIZE
        ):
            self._rotate(now_us)
        self.current_generation.add(_columns(digest))

    def retry_number(self, now_us: int, digest: bytes) -> int:
        """Return how many earlier attempts of a request were not served; 0 for a first attempt."""
        if now_us - self.current_generation.started_at_us >= GENERATION_US:
            self._rotate(now_us)
        if self.empty:
            return 0
        columns = _columns(digest)
        return self.current_generation.lowest_count(columns) + (
            self.previous_generation.lowest_count(columns) if self.previous_generation is not None else 0
        )

    def _rotate(self, now_us: int) -> None:
        # Generations rotate only in calls. After a long time without calls, the current generation is too old to become
        # the previous one, as its requests would be remembered for too long.
        is_recent = (
            now_us - self.current_generation.started_at_us < 2 * GENERATION_US and self.current_generation.request_count
        )
        self.previous_generation = self.current_generation if is_recent else None
        self.current_generation = _Generation(now_us)
