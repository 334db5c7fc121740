"""A region's own time: entries of its log, and what the leader's clock adds to them. Only scheduling uses it."""

from __future__ import annotations

import time

from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.replication.core import Replica


class RegionClock:
    """Continues from where the last leader left the region's time, by this process's clock."""

    def __init__(self, replica: Replica, ledger: Ledger) -> None:
        """Read the time that was committed from `ledger`."""
        self.replica = replica
        self.ledger = ledger
        self.offset_term = 0  # in which `offset_ms` was taken
        self.offset_ms = 0  # from the region's time to this process's clock

    def now_ms(self) -> int:
        """Return the region's time, advanced by this leader's clock since it took the lead."""
        if self.replica.term != self.offset_term:
            self.offset_term = self.replica.term
            self.offset_ms = monotonic_ms() - self.ledger.now_ms
        return max(self.ledger.now_ms, monotonic_ms() - self.offset_ms)


def monotonic_ms() -> int:
    """Return this process's monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000
