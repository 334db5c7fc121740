"""A region's own time: entries of its log, and what the leader's clock adds to them. Only scheduling looks at it."""

from __future__ import annotations

import time

from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.replication.core import Replica


class RegionClock:
    """Goes on from where the last leader left it, by this process's clock."""

    def __init__(self, replica: Replica, ledger: Ledger) -> None:
        """Read the time that was committed from `ledger`."""
        self.replica = replica
        self.ledger = ledger
        self.led_term = 0  # whose time is counted from `zero_ms`
        self.zero_ms = 0

    def now_ms(self) -> int:
        """The region's time, as far as this leader's clock has gone since it took the lead."""
        if self.replica.term != self.led_term:
            self.led_term = self.replica.term
            self.zero_ms = monotonic_ms() - self.ledger.now_ms
        return max(self.ledger.now_ms, monotonic_ms() - self.zero_ms)


def monotonic_ms() -> int:
    """This process's own clock."""
    return time.monotonic_ns() // 1_000_000
