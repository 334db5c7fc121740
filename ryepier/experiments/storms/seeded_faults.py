"""Mistakes in a retry storm.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer.interface import RetryStormUpdated
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.upstream import PendingRequest


def no_spread() -> None:
    """All that are refused in a storm are told the same time."""
    usual = RetryPolicy.retry_after_us

    def all_alike(self: RetryPolicy, request: PendingRequest, storm: RetryStormUpdated) -> int:
        if not storm.active:
            return usual(self, request, storm)
        return min(
            storm.retry_after_us[min(request.event.retry_number, len(storm.retry_after_us) - 1)],
            self.settings.max_retry_after_us,
        )

    RetryPolicy.retry_after_us = all_alike  # type: ignore[method-assign]


def jumpy() -> None:
    """Any retries are taken for a storm."""
    from ryepier.storm.storm_detector import RetryStormDetector, StormEvidence

    RetryStormDetector._should_open = lambda self, evidence: evidence.retry_share > 0  # type: ignore[method-assign]

    def unjudged(self: RetryStormDetector, now_us: int) -> StormEvidence:
        offered = sum(self.rates)
        return StormEvidence(offered, self.served, sum(self.rates[1:]) / max(1.0, offered), 0.0, None)

    RetryStormDetector._evidence = unjudged  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "no-spread": no_spread,
    "jumpy": jumpy,
}
