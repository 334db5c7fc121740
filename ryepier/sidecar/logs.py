"""Rate limiting of log lines."""

from __future__ import annotations

import logging
import time

LINES_PER_SECOND = 5  # default of RateLimitFilter, for each of its two kinds of lines


class RateLimitFilter(logging.Filter):
    """Passes a limited number of log lines per second: the log may be a pipe, which blocks the process once it is full.

    Warnings have a separate limit. Otherwise the many lines about requests in an overload would crowd out the warning
    that gives its cause.
    """

    def __init__(self, lines_per_second: int = LINES_PER_SECOND) -> None:
        """Pass up to `lines_per_second` warnings, and as many other lines, in each second."""
        super().__init__()
        self.lines_per_second = lines_per_second
        self.current_second = 0
        self.line_counts = {False: 0, True: 0}  # lines in the current second; the key tells whether they are warnings

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is within the limit of its kind for the current second."""
        current_second = int(time.monotonic())
        if current_second != self.current_second:
            self.current_second, self.line_counts = current_second, {False: 0, True: 0}
        is_warning = record.levelno >= logging.WARNING
        self.line_counts[is_warning] += 1
        return self.line_counts[is_warning] <= self.lines_per_second
