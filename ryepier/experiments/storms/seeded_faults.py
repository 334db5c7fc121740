"""Seeded faults of the retry storm guard.

Each function patches the code of the whole process and can't be undone, so call it in a separate process.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer.interface import RetryStormUpdated
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.upstream import PendingRequest


def remove_retry_after_spread() -> None:
    """Give requests that are rejected in a storm a Retry-After time without spread, equal for equal retry numbers."""
    original_retry_after_us = RetryPolicy.retry_after_us

    def same_retry_after_us(self: RetryPolicy, request: PendingRequest, storm: RetryStormUpdated) -> int:
        if not storm.active:
            return original_retry_after_us(self, request, storm)
        index = min(request.event.retry_number, len(storm.retry_after_windows_us) - 1)
        return min(storm.retry_after_windows_us[index], self.settings.max_retry_after_us)

    RetryPolicy.retry_after_us = same_retry_after_us  # type: ignore[method-assign]


def detect_storm_at_any_retry() -> None:
    """Detect a retry storm as soon as there is a single retry."""
    from ryepier.storm.storm_detector import RetryStormDetector, StormEvidence

    RetryStormDetector._should_open = lambda self, evidence: evidence.retry_share > 0  # type: ignore[method-assign]

    def evidence_of_any_retry(self: RetryStormDetector, now_us: int) -> StormEvidence:
        offered_rate = sum(self.arrival_rates)
        return StormEvidence(
            offered_rate, self.served_rate, sum(self.arrival_rates[1:]) / max(1.0, offered_rate), 0.0, None
        )

    RetryStormDetector._evidence = evidence_of_any_retry  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "no-spread": remove_retry_after_spread,
    "jumpy": detect_storm_at_any_retry,
}
