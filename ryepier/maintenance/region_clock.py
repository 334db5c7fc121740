"""A region's time, which is used for scheduling only.

The log records the time; between its entries, the leader adds the time that has elapsed on its own clock.
"""

from __future__ import annotations

import time

from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.replication.core import Replica


class RegionClock:
    """Extrapolates the region's committed time with this process's monotonic clock."""

    def __init__(self, replica: Replica, ledger: Ledger) -> None:
        """Start without an offset: the first `now_ms` call of each term sets it. `ledger` holds the committed time."""
        self.replica = replica
        self.ledger = ledger
        self.offset_term = 0  # the term in which `offset_ms` was set
        self.offset_ms = 0  # this process's clock minus the region's time

    def now_ms(self) -> int:
        """Return the region's time in milliseconds, which is never earlier than the committed time.

        The time that has passed since the first call of the term is measured with this process's monotonic clock.
        """
        if self.replica.term != self.offset_term:
            self.offset_term = self.replica.term
            self.offset_ms = monotonic_ms() - self.ledger.now_ms
        return max(self.ledger.now_ms, monotonic_ms() - self.offset_ms)


def monotonic_ms() -> int:
    """Return the time of this process's monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000
