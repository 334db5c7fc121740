"""Which requests come again, in bounded memory: a count-min sketch in two generations.

Pure. What was not served is noted by a hash of what makes it the same request; a later arrival with that hash is a
retry. What was served is never noted, so that a question asked over and over is no retry.

Errors go one way: a first try may be taken for a later one, where all its cells were filled by others. With `NOTED`
hashes in a generation a cell is filled with probability 1 - exp(-NOTED / WIDTH) = 0.086, and all four of one of the two
generations with at most 2 * 0.086**4 = 0.011%. A generation ends when it has so many or is so old, so the bound holds
at any rate: where more is refused the memory is shorter, not worse.
"""

from __future__ import annotations

import hashlib

ROWS = 4
WIDTH = 1 << 16  # cells a row; a byte each, so 512 KB in all
NOTED = 5_900  # hashes that one generation takes
AGE_US = 10_000_000  # and for how long
MOST = 255


def fingerprint(*parts: bytes) -> bytes:
    """Of a request, by what its tries share; the parts' lengths are told apart."""
    state = hashlib.blake2b(digest_size=4 * ROWS)
    for part in parts:
        state.update(len(part).to_bytes(4, "big"))
        state.update(part)
    return state.digest()


class _Generation:
    def __init__(self, now_us: int) -> None:
        self.rows = [bytearray(WIDTH) for _ in range(ROWS)]
        self.since_us = now_us
        self.noted = 0

    def count(self, cells: list[int]) -> int:
        return min(row[cell] for row, cell in zip(self.rows, cells, strict=True))

    def note(self, cells: list[int]) -> None:
        """Only the least cells grow: the others are too high already."""
        least = self.count(cells)
        if least < MOST:
            for row, cell in zip(self.rows, cells, strict=True):
                row[cell] = max(row[cell], least + 1)
        self.noted += 1


def _cells(hashed: bytes) -> list[int]:
    return [int.from_bytes(hashed[i : i + 4], "big") % WIDTH for i in range(0, 4 * ROWS, 4)]


class Unserved:
    """How often a request has been turned away of late: for 10 to 20 s, less where very many are."""

    def __init__(self, now_us: int) -> None:
        self.young = _Generation(now_us)
        self.old: _Generation | None = None

    @property
    def empty(self) -> bool:
        """Whether nothing at all is noted, and each request is a first try."""
        return not self.young.noted and self.old is None

    def note(self, now_us: int, hashed: bytes) -> None:
        """It was not served."""
        if now_us - self.young.since_us >= AGE_US or self.young.noted >= NOTED:
            self._turn(now_us)
        self.young.note(_cells(hashed))

    def tries(self, now_us: int, hashed: bytes) -> int:
        """How many of its tries were turned away: 0 for a first one."""
        if now_us - self.young.since_us >= AGE_US:
            self._turn(now_us)
        if self.empty:
            return 0
        cells = _cells(hashed)
        return self.young.count(cells) + (self.old.count(cells) if self.old is not None else 0)

    def _turn(self, now_us: int) -> None:
        # hazard: what was noted an age ago must not count for as long again, once nothing more comes
        fresh = now_us - self.young.since_us < 2 * AGE_US and self.young.noted
        self.old = self.young if fresh else None
        self.young = _Generation(now_us)
