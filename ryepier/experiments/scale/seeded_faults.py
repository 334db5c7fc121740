"""Seeded faults whose cost grows with the fleet.

Each function patches the code of the whole process for good, so call it in a separate process.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.selection import Selector
from ryepier.balancer.tuning import MAX_RETRY_BUDGET
from ryepier.balancer.upstream import PendingRequest, TrackedUpstream

EXTRA_SCAN_COUNT = 2


def scan_all_upstreams() -> None:
    """Scan all upstreams `EXTRA_SCAN_COUNT` additional times at each selection."""
    original_select = Selector.select

    def select_after_scans(self: Selector, request: PendingRequest, now_us: int) -> TrackedUpstream | None:
        for _ in range(EXTRA_SCAN_COUNT):
            self.candidates_with_free_slots(request, list(self.membership.by_id.values()), True, now_us)
        return original_select(self, request, now_us)

    Selector.select = select_after_scans  # type: ignore[method-assign]


def retry_without_budget() -> None:
    """Charge nothing for a retry, so that only the deadline limits retries."""

    def charge_nothing(self: RetryPolicy, request: PendingRequest, in_storm: bool) -> None:
        self.budget = MAX_RETRY_BUDGET

    RetryPolicy.charge_budget = charge_nothing  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "scan": scan_all_upstreams,
    "no-budget": retry_without_budget,
}
