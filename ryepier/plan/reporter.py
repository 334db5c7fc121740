"""A forwarder's counters of its converters, and the reports that are built from them.

The caller passes in attempts with their times; there is no I/O. The memory is bounded by the number of listed
converters.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.balancer.interface import Outcome
from ryepier.plan.messages import LATENCY_BUCKET_COUNT, ConverterCounters, Report, Term, latency_bucket

FAILURE_OUTCOMES = frozenset(
    (Outcome.ERROR, Outcome.RESET, Outcome.MALFORMED_RESPONSE, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)
)


@dataclass(slots=True)
class _ConverterRecord:
    attempts: int = 0
    served: int = 0
    failed: int = 0
    rejected: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * LATENCY_BUCKET_COUNT)
    changed: bool = False
    # by token: the time from which the attempt counts as unanswered, and whether it was already counted as failed
    in_flight: dict[int, tuple[int, bool]] = field(default_factory=dict)

    def counters(self) -> ConverterCounters:
        """Return the counters for a report; trailing zeros of the latencies are omitted."""
        bucket_count = max((index + 1 for index, count in enumerate(self.latencies) if count), default=0)
        return ConverterCounters(
            self.attempts, self.served, self.failed, self.rejected, tuple(self.latencies[:bucket_count])
        )


class Reporter:
    """Counts requests and attempts since the start of the process."""

    def __init__(self, unanswered_after_us: list[int], tenant_count: int) -> None:
        """Start with all counters at 0.

        `unanswered_after_us` is the time by class after which an attempt without an answer counts as failed; `tenants`
        is the number of tenants.
        """
        self.class_arrivals = [0] * len(unanswered_after_us)
        self.unanswered_after_us = unanswered_after_us
        self.records: dict[str, _ConverterRecord] = {}
        self.arrivals = [0] * tenant_count
        self.rejections = 0
        self.report_number = 0

    def on_request(self, tenant: int, class_index: int) -> None:
        """Count an accepted request."""
        self.class_arrivals[class_index] += 1
        if tenant < len(self.arrivals):
            self.arrivals[tenant] += 1

    def on_rejection(self) -> None:
        """Count a rejected request."""
        self.rejections += 1

    def on_attempt_started(self, now_us: int, uid: str, token: int, class_index: int) -> None:
        """Count the start of an attempt; `token` identifies it until its end."""
        record = self.records.setdefault(uid, _ConverterRecord())
        record.attempts += 1
        record.changed = True
        record.in_flight[token] = (now_us + self.unanswered_after_us[class_index], False)

    def on_attempt_ended(self, uid: str, token: int, outcome: Outcome, elapsed_us: int) -> None:
        """Count the end of an attempt. An attempt that was already counted as failed because it took too long stays
        counted as failed, even if it is served in the end."""
        record = self.records.get(uid)
        if record is None or token not in record.in_flight:
            return
        _, counted_as_failed = record.in_flight.pop(token)
        record.changed = True
        if outcome is Outcome.OK:
            record.served += 1
            record.latencies[latency_bucket(elapsed_us)] += 1
        elif outcome is Outcome.REJECTED:
            record.rejected += 1
        elif outcome in FAILURE_OUTCOMES and not counted_as_failed:
            record.failed += 1

    def retain(self, uids: set[str]) -> None:
        """Drop the counters of converters that are not in `uids` and have no attempts in flight."""
        self.records = {uid: record for uid, record in self.records.items() if uid in uids or record.in_flight}

    def report(self, now_us: int, listed_count: int, term: Term, plan_age_ms: int, complete: bool = False) -> Report:
        """Return a report of the counters that changed since the last report, or of all counters if `complete`, as a
        planner needs that has just connected. `listed_count` is the number of ready converters."""
        for record in self.records.values():
            for token, (unanswered_at_us, counted_as_failed) in record.in_flight.items():
                if not counted_as_failed and now_us >= unanswered_at_us:
                    record.in_flight[token] = (unanswered_at_us, True)
                    record.failed += 1
                    record.changed = True
        self.report_number += 1
        counters = {uid: record.counters() for uid, record in self.records.items() if complete or record.changed}
        for record in self.records.values():
            record.changed = False
        outstanding = {uid: len(record.in_flight) for uid, record in self.records.items() if record.in_flight}
        return Report(
            self.report_number,
            listed_count,
            counters,
            outstanding,
            list(self.arrivals),
            list(self.class_arrivals),
            self.rejections,
            term,
            plan_age_ms,
        )
