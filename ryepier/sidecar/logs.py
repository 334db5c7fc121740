"""The limit on the log's lines."""

from __future__ import annotations

import logging
import time

LINES_A_SECOND = 5


class RateLimit(logging.Filter):
    """Lets a few lines a second through: the log may be a pipe, and a full one would hold up everything. Warnings
    have as many of their own: else in an overload the lines on requests would drown the one that says why."""

    def __init__(self, lines_a_second: int = LINES_A_SECOND) -> None:
        super().__init__()
        self.lines_a_second = lines_a_second
        self.second = 0
        self.lines = {False: 0, True: 0}  # by whether they are warnings

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines = second, {False: 0, True: 0}
        warns = record.levelno >= logging.WARNING
        self.lines[warns] += 1
        return self.lines[warns] <= self.lines_a_second
