"""Recognition of retries in bounded memory: a count-min sketch in two generations.

Works without I/O and without a clock. A request that was not served is added by a hash that identifies it; a later
arrival with the same hash is a retry. Served requests are never added, so a query that is repeated after it was served
does not count as a retry.

Errors are one-sided: a first attempt may be taken for a retry if other requests have filled all its columns. With
`GENERATION_SIZE` hashes in a generation a column is filled with probability 1 - exp(-GENERATION_SIZE / WIDTH) = 0.086,
and all four columns of one of the two generations with at most 2 * 0.086**4 = 0.011%. A generation ends by size or by
age, so the bound holds at any rate: with more rejections, requests are remembered for a shorter time, not less exactly.
"""

from __future__ import annotations

import hashlib

ROWS = 4  # hash functions
WIDTH = 1 << 16  # columns per row, of one byte each; 512 KB in both generations
GENERATION_SIZE = 5_900  # hashes after which a generation ends
GENERATION_US = 10_000_000  # longest duration of a generation
MAX_COUNT = 255  # largest value of a column, which is one byte


def fingerprint(*parts: bytes) -> bytes:
    """Return a hash of the parts that all attempts of a request have in common, and of their lengths."""
    hasher = hashlib.blake2b(digest_size=4 * ROWS)
    for part in parts:
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.digest()


class _Generation:
    def __init__(self, now_us: int) -> None:
        self.rows = [bytearray(WIDTH) for _ in range(ROWS)]
        self.started_at_us = now_us
        self.count = 0

    def minimum_count(self, columns: list[int]) -> int:
        return min(row[column] for row, column in zip(self.rows, columns, strict=True))

    def add(self, columns: list[int]) -> None:
        """Count one request. Only its smallest counters are incremented, as the others are already too high."""
        lowest_count = self.minimum_count(columns)
        if lowest_count < MAX_COUNT:
            for row, column in zip(self.rows, columns, strict=True):
                row[column] = max(row[column], lowest_count + 1)
        self.count += 1


def _columns(digest: bytes) -> list[int]:
    return [int.from_bytes(digest[i : i + 4], "big") % WIDTH for i in range(0, 4 * ROWS, 4)]


class FailedRequestSketch:
    """Counts how often a request was recently not served: within 10 to 20 s, or less if very many fail."""

    def __init__(self, now_us: int) -> None:
        """Start empty at `now_us` (microseconds)."""
        self.current_generation = _Generation(now_us)
        self.previous_generation: _Generation | None = None

    @property
    def empty(self) -> bool:
        """Whether no failed request is remembered, so that each request is a first attempt."""
        return not self.current_generation.count and self.previous_generation is None

    def add(self, now_us: int, digest: bytes) -> None:
        """Add a request that was not served."""
        if (
            now_us - self.current_generation.started_at_us >= GENERATION_US
            or self.current_generation.count >= GENERATION_SIZE
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
        return self.current_generation.minimum_count(columns) + (
            self.previous_generation.minimum_count(columns) if self.previous_generation is not None else 0
        )

    def _rotate(self, now_us: int) -> None:
        # Rotation happens only on calls. A generation that is too old by then must not count for as long again.
        is_recent = now_us - self.current_generation.started_at_us < 2 * GENERATION_US and self.current_generation.count
        self.previous_generation = self.current_generation if is_recent else None
        self.current_generation = _Generation(now_us)
