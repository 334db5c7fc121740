"""The used part of a limit as a step function over time, with a search for gaps."""

from __future__ import annotations

from bisect import bisect_right


class UsageProfile:
    """The usage level over time, from time 0 on; added intervals raise or lower it. Times are in milliseconds."""

    def __init__(self, level: int) -> None:
        """Start with a constant `level` at all times."""
        self._times = [0]
        self._levels = [level]

    def add(self, start_ms: int, end_ms: int, amount: int) -> None:
        """Raise the level by `amount` from `start_ms` up to, but excluding, `end_ms`. A negative amount lowers it."""
        first_step = self._split(start_ms)
        end_step = self._split(end_ms)
        for i in range(first_step, end_step):
            self._levels[i] += amount

    def earliest_gap_start_ms(self, from_ms: int, duration_ms: int, max_level: int) -> int | None:
        """Return the first time, not before `from_ms`, from which the level is at most `max_level` for `duration_ms`.

        Returns None if there is no such time.
        """
        start_ms = from_ms
        i = bisect_right(self._times, start_ms) - 1
        while i < len(self._times) and self._times[i] < start_ms + duration_ms:
            if self._levels[i] > max_level:
                if i + 1 == len(self._times):
                    return None
                start_ms = self._times[i + 1]
            i += 1
        return start_ms

    def _split(self, at_ms: int) -> int:
        """Return the index of the step that begins at `at_ms`, splitting an earlier step if there is none."""
        i = bisect_right(self._times, at_ms) - 1
        if self._times[i] == at_ms:
            return i
        self._times.insert(i + 1, at_ms)
        self._levels.insert(i + 1, self._levels[i])
        return i + 1
