"""How much of one limit is taken at each time: a step function with the search for a gap in it."""

from __future__ import annotations

from bisect import bisect_right


class Profile:
    """A level over time, from 0 on, that intervals raise. Times in milliseconds."""

    def __init__(self, level: int) -> None:
        """`level` at all times."""
        self._times = [0]
        self._levels = [level]

    def add(self, start_ms: int, end_ms: int, amount: int) -> None:
        """Raise the level by `amount` from `start_ms` until before `end_ms`; a negative amount takes it back."""
        first = self._split(start_ms)
        last = self._split(end_ms)
        for i in range(first, last):
            self._levels[i] += amount

    def earliest(self, from_ms: int, duration_ms: int, highest: int) -> int | None:
        """The first time from `from_ms` on at which the level stays at most `highest` for a duration; None: never."""
        start = from_ms
        i = bisect_right(self._times, start) - 1
        while i < len(self._times) and self._times[i] < start + duration_ms:
            if self._levels[i] > highest:
                if i + 1 == len(self._times):
                    return None
                start = self._times[i + 1]
            i += 1
        return start

    def _split(self, at_ms: int) -> int:
        """The position of the step that begins at a time, made where there is none."""
        i = bisect_right(self._times, at_ms) - 1
        if self._times[i] == at_ms:
            return i
        self._times.insert(i + 1, at_ms)
        self._levels.insert(i + 1, self._levels[i])
        return i + 1
