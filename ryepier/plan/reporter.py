"""A forwarder's counters of its converters, and the reports made of them.

Pure: attempts come in with their times, reports go out. Memory is bounded by the listed converters.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.balancer.interface import Outcome
from ryepier.plan.messages import LATENCY_BUCKETS, ConverterCounters, Report, Term, latency_bucket

FAILURES = frozenset(
    (Outcome.ERROR, Outcome.RESET, Outcome.MALFORMED_RESPONSE, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)
)


@dataclass(slots=True)
class _ConverterRecord:
    attempts: int = 0
    served: int = 0
    failed: int = 0
    rejected: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * LATENCY_BUCKETS)
    changed: bool = False
    in_flight: dict[int, tuple[int, bool]] = field(
        default_factory=dict
    )  # by token: (unanswered from then on, counted as failed)

    def counters(self) -> ConverterCounters:
        """Return the counters for a report."""
        used = max((i + 1 for i, count in enumerate(self.latencies) if count), default=0)
        return ConverterCounters(self.attempts, self.served, self.failed, self.rejected, tuple(self.latencies[:used]))


class Reporter:
    """Counts requests and attempts since the process began."""

    def __init__(self, unanswered_after_us: list[int], tenants: int) -> None:
        """Start at 0. By class, an attempt without an answer after `unanswered_after_us` has failed."""
        self.class_arrivals = [0] * len(unanswered_after_us)
        self.unanswered_after_us = unanswered_after_us
        self.records: dict[str, _ConverterRecord] = {}
        self.arrivals = [0] * tenants
        self.rejections = 0
        self.number = 0

    def on_request(self, tenant: int, class_index: int) -> None:
        """Count an accepted request."""
        self.class_arrivals[class_index] += 1
        if tenant < len(self.arrivals):
            self.arrivals[tenant] += 1

    def on_rejection(self) -> None:
        """Count a rejected request."""
        self.rejections += 1

    def on_attempt_started(self, now_us: int, uid: str, token: int, class_index: int) -> None:
        """Count an attempt; `token` identifies it until its end."""
        record = self.records.setdefault(uid, _ConverterRecord())
        record.attempts += 1
        record.changed = True
        record.in_flight[token] = (now_us + self.unanswered_after_us[class_index], False)

    def on_attempt_ended(self, uid: str, token: int, outcome: Outcome, elapsed_us: int) -> None:
        """Count the end of an attempt. One that was counted as unanswered and is served after all stays counted: it was
        slow."""
        record = self.records.get(uid)
        if record is None or token not in record.in_flight:
            return
        _, counted = record.in_flight.pop(token)
        record.changed = True
        if outcome is Outcome.OK:
            record.served += 1
            record.latencies[latency_bucket(elapsed_us)] += 1
        elif outcome is Outcome.REJECTED:
            record.rejected += 1
        elif outcome in FAILURES and not counted:
            record.failed += 1

    def retain(self, uids: set[str]) -> None:
        """Drop the counters of unlisted converters without attempts in flight."""
        self.records = {uid: record for uid, record in self.records.items() if uid in uids or record.in_flight}

    def report(self, now_us: int, listed: int, term: Term, plan_age_ms: int, complete: bool = False) -> Report:
        """Return the changes since the last report, or a `complete` one for a planner that has just connected."""
        for record in self.records.values():
            for token, (unanswered_after_us, counted) in record.in_flight.items():
                if not counted and now_us >= unanswered_after_us:
                    record.in_flight[token] = (unanswered_after_us, True)
                    record.failed += 1
                    record.changed = True
        self.number += 1
        counters = {uid: record.counters() for uid, record in self.records.items() if complete or record.changed}
        for record in self.records.values():
            record.changed = False
        outstanding = {uid: len(record.in_flight) for uid, record in self.records.items() if record.in_flight}
        return Report(
            self.number,
            listed,
            counters,
            outstanding,
            list(self.arrivals),
            list(self.class_arrivals),
            self.rejections,
            term,
            plan_age_ms,
        )
