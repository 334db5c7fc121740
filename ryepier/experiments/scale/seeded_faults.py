"""Mistakes that cost more as the fleet grows.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.selection import Selector
from ryepier.balancer.tuning import MAX_RETRY_BUDGET
from ryepier.balancer.upstream import PendingRequest, TrackedUpstream

SCANS = 2


def scan() -> None:
    """Each draw goes twice more through all upstreams."""
    select = Selector.select

    def select_after_scans(self: Selector, request: PendingRequest, now_us: int) -> TrackedUpstream | None:
        for _ in range(SCANS):
            self.free_slots(request, list(self.membership.by_id.values()), True, now_us)
        return select(self, request, now_us)

    Selector.select = select_after_scans  # type: ignore[method-assign]


def no_budget() -> None:
    """What is sent again costs nothing, and so has no bound but its time."""

    def charge_nothing(self: RetryPolicy, request: PendingRequest, in_storm: bool) -> None:
        self.budget = MAX_RETRY_BUDGET

    RetryPolicy.charge = charge_nothing  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "scan": scan,
    "no-budget": no_budget,
}
