"""Detection of request ids that are used twice."""

from __future__ import annotations

from ryepier.sidecar import system


class RecentRequestIds:
    """The ids of the open requests and of recent ones, in two generations of which the older is dropped."""

    def __init__(self, period_s: float) -> None:
        """Remember an id for `period_s` at least: no request may stay open for longer."""
        self.period_s = period_s
        self.current: set[bytes] = set()
        self.previous: set[bytes] = set()
        self.rotated_at = system.monotonic()

    def add(self, request_id: bytes) -> bool:
        """Remember an id. Returns whether it is new."""
        now = system.monotonic()
        if now > self.rotated_at + self.period_s:
            self.previous = self.current if now <= self.rotated_at + 2 * self.period_s else set()
            self.current = set()
            self.rotated_at = now
        if request_id in self.current or request_id in self.previous:
            return False
        self.current.add(request_id)
        return True
