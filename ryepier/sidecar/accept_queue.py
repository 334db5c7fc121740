"""Estimates how long a connection has waited in the listener's queue, which the operating system does not tell."""

from __future__ import annotations

from collections import deque


class AcceptQueue:
    """Tracks the connections that are accepted from a queue of limited length, in the order of their arrival."""

    def __init__(self, max_length: int) -> None:
        """Start with an empty queue that holds up to `max_length` connections (listen(2) allows one more)."""
        self.accepted_at: deque[float] = deque(maxlen=max_length + 1)
        self.waiting_since: float | None = None  # time since which connections may wait; None: the queue was empty

    def on_empty(self) -> None:
        """Record that no connection waits."""
        self.waiting_since = None
        self.accepted_at.clear()

    def on_left_waiting(self, now: float) -> None:
        """Record that connections may stay in the queue."""
        if self.waiting_since is None:
            self.waiting_since = now

    def has_waited(self, duration_s: float, now: float) -> bool:
        """Return whether connections have been waiting, these or others, for a time."""
        return self.waiting_since is not None and now - self.waiting_since > duration_s

    def on_accepted(self, now: float) -> float | None:
        """Record that a connection is accepted now, and return the earliest time at which it may have arrived.

        None means that it has just arrived. A connection that was accepted a whole queue's length earlier had left the
        queue when this one came.
        """
        if self.waiting_since is None:
            return None
        is_full = len(self.accepted_at) == self.accepted_at.maxlen
        arrived_at = max(self.waiting_since, self.accepted_at[0]) if is_full else self.waiting_since
        self.accepted_at.append(now)
        return arrived_at
