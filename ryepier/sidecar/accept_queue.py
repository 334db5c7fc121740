"""Bounds the arrival times of connections in a listener's queue, which the operating system does not report."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class QueueSample:
    """How many connections had arrived, at the most, up to a time."""

    arrived_count: int
    at: float


class AcceptQueue:
    """Derives from the queue's length over time when each connection arrived.

    Connections leave the queue in the order of their arrival and are counted in it, so one whose number exceeds the
    connections of a sample arrived after that sample.
    """

    def __init__(self, backlog: int) -> None:
        """Start with an empty queue of this backlog (listen(2) allows one connection more)."""
        self.max_length = backlog + 1
        self.accepted_count = 0
        # In the order of time. The first one is the last before the arrival of the connection that is accepted next.
        # Empty: no connection waits.
        self.samples: deque[QueueSample] = deque()

    def observe(self, length: int | None, now: float) -> None:
        """Record how many connections wait now; None means that the system does not report it."""
        if length == 0:
            self.samples.clear()
            return
        if not self.samples:
            self.samples.append(QueueSample(self.accepted_count, now))
        arrived_count = self.accepted_count + (self.max_length if length is None else length)
        latest = self.samples[-1]
        if arrived_count <= latest.arrived_count:
            latest.at = now
        else:
            self.samples.append(QueueSample(arrived_count, now))

    def has_waited(self, duration_s: float, now: float) -> bool:
        """Return whether the connection that is accepted next may have waited for longer than a time."""
        return bool(self.samples) and now - self.samples[0].at > duration_s

    def on_accepted(self) -> float | None:
        """Record that a connection was accepted, and return the earliest time at which it may have arrived.

        None means that it has just arrived.
        """
        arrived_after = self.samples[0].at if self.samples else None
        self.accepted_count += 1
        while len(self.samples) > 1 and self.samples[1].arrived_count <= self.accepted_count:
            self.samples.popleft()
        return arrived_after
