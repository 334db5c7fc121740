"""Queue of the wake-ups, and the timer that is requested for the earliest of them."""

import enum
import heapq
from typing import NamedTuple


class WakeUpKind(enum.IntEnum):
    """What to do at a wake-up. Wake-ups due at the same time are carried out in the order of this enum."""

    BUFFER_TIMEOUT = enum.auto()
    HEDGE = enum.auto()
    ENDPOINT_POLL = enum.auto()
    ATTEMPT_OVERDUE = enum.auto()


class WakeUp(NamedTuple):
    """Work scheduled for a request, an attempt or the endpoint list."""

    at_us: int
    kind: WakeUpKind
    request: int
    attempt: int


class WakeUpQueue:
    """The scheduled wake-ups, the earliest first."""

    def __init__(self) -> None:
        """Start empty, without a timer."""
        self.pending: list[WakeUp] = []  # a heap
        self.timer_at_us = 0  # time of the earliest requested timer that has not fired; 0 = none

    def schedule(self, at_us: int, kind: WakeUpKind, request: int, attempt: int = 0) -> None:
        """Add a wake-up at `at_us`."""
        heapq.heappush(self.pending, WakeUp(at_us, kind, request, attempt))

    def pop_due(self, now_us: int) -> WakeUp | None:
        """Remove and return the earliest wake-up that is due, or None."""
        if not self.pending or self.pending[0].at_us > now_us:
            return None
        return heapq.heappop(self.pending)

    def on_timer(self, now_us: int) -> None:
        """Record that a timer has fired. A timer that fires before `timer_at_us` is stale and is ignored;
        otherwise each stale timer would lead to another one, without end."""
        if self.timer_at_us <= now_us:
            self.timer_at_us = 0

    def timer_to_request(self, other_time_us: int | None) -> int | None:
        """Return the time (us) for which to request a timer, or None if the requested timer is early enough.

        The timer is for the next wake-up, or for `other_time_us` if that is sooner.
        """
        next_us = self.pending[0].at_us if self.pending else None
        if other_time_us is not None and (next_us is None or other_time_us < next_us):
            next_us = other_time_us
        if next_us is None or 0 < self.timer_at_us <= next_us:
            return None
        self.timer_at_us = next_us
        return next_us
