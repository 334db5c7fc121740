"""Rate limit of the log."""

from __future__ import annotations

import logging
import time

LINES_PER_SECOND = 5  # by default


class RateLimitFilter(logging.Filter):
    """Passes a few lines per second: the log may be a pipe, and a full one would block the process.

    Warnings have a limit of their own: in an overload, lines about requests would drown the one that gives the reason.
    """

    def __init__(self, lines_per_second: int = LINES_PER_SECOND) -> None:
        """Pass `lines_per_second` warnings and as many other lines."""
        super().__init__()
        self.lines_per_second = lines_per_second
        self.second = 0
        self.line_counts = {False: 0, True: 0}  # by whether they are warnings

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is within the limit."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.line_counts = second, {False: 0, True: 0}
        is_warning = record.levelno >= logging.WARNING
        self.line_counts[is_warning] += 1
        return self.line_counts[is_warning] <= self.lines_per_second
