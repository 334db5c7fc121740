"""Merges the reports of all forwarders into the evidence that a planner computes plans from.

Counters are merged by taking the maximum, so reports may arrive in any order and more than once. Recent counts are the
growth of the counters; they decay exponentially, so that old failures lose their influence. No I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import zip_longest

from ryepier.plan.messages import LATENCY_BUCKET_COUNT, ConverterCounters, Report, Term

DECAY_TIME_CONSTANT_US = 2_000_000  # recent counts decay to 1/e within this time
REPORT_TIMEOUT_US = 3_000_000  # a forwarder whose last report is older than this is not active
# time after which forwarders without reports, and converters without attempts, are dropped
EVIDENCE_EXPIRY_US = 60_000_000
MIN_RECENT_COUNT = 0.01  # a converter whose decayed counts sum to less than this is considered idle


@dataclass(slots=True)
class DecayingCounts:
    """Recent growth of a converter's counters, decaying exponentially with time."""

    served: float = 0.0
    failed: float = 0.0
    rejected: float = 0.0
    # served attempts by latency bucket
    latencies: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BUCKET_COUNT)
    updated_at_us: int = 0  # time until which the decay has been applied

    def decay_until(self, now_us: int) -> None:
        """Apply the decay from the last update until `now_us`."""
        if now_us <= self.updated_at_us:
            return
        decay = math.exp(-max(0, now_us - self.updated_at_us) / DECAY_TIME_CONSTANT_US)
        self.served *= decay
        self.failed *= decay
        self.rejected *= decay
        self.latencies = [count * decay for count in self.latencies]
        self.updated_at_us = max(self.updated_at_us, now_us)


@dataclass(slots=True)
class ConverterStats:
    """Counters of one converter as reported by one forwarder."""

    counters: ConverterCounters
    recent_counts: DecayingCounts


@dataclass(slots=True)
class ForwarderStats:
    """Everything that a forwarder has reported in one incarnation, which is the time from one start to the next."""

    incarnation: int
    first_report_at_us: int
    last_report_at_us: int
    last_report_number: int = 0
    listed_converter_count: int = 0
    converters: dict[str, ConverterStats] = field(default_factory=dict)  # by converter uid
    outstanding: dict[str, int] = field(default_factory=dict)  # attempts in flight by converter uid
    arrivals: list[int] = field(default_factory=list)  # requests by tenant
    recent_arrivals: list[float] = field(default_factory=list)
    class_arrivals: list[int] = field(default_factory=list)  # requests by class
    recent_class_arrivals: list[float] = field(default_factory=list)
    rejections: int = 0
    recent_rejections: float = 0.0
    rates_updated_at_us: int = 0  # time until which the recent arrivals and rejections have decayed
    term: Term = Term()  # the highest term in which the forwarder has accepted a plan
    plan_accepted_at_us: int = 0  # when it accepted its last plan of that term, by the planner's clock


def merge_counters(first: ConverterCounters, second: ConverterCounters) -> ConverterCounters:
    """Return the element-wise maximum of two states of the same counters."""
    return ConverterCounters(
        max(first.attempts, second.attempts),
        max(first.served, second.served),
        max(first.failed, second.failed),
        max(first.rejected, second.rejected),
        tuple(
            map(
                max,
                zip_longest(
                    first.latencies[:LATENCY_BUCKET_COUNT], second.latencies[:LATENCY_BUCKET_COUNT], fillvalue=0
                ),
            )
        ),
    )


def _merge_counts(
    merged_counts: list[int], recent_counts: list[float], counts: list[int], decay: float, is_first_report: bool
) -> None:
    """Merge counters in place, and add their growth to the decayed recent counts."""
    merged_counts += [0] * (len(counts) - len(merged_counts))
    recent_counts += [0.0] * (len(counts) - len(recent_counts))
    for index, count in enumerate(counts):
        recent_counts[index] = recent_counts[index] * decay + (
            0 if is_first_report else max(0, count - merged_counts[index])
        )
        merged_counts[index] = max(merged_counts[index], count)


class Evidence:
    """The merged reports of all forwarders. All times are on the planner's own clock."""

    def __init__(self, now_us: int) -> None:
        """Start without reports; `now_us` is the current time in microseconds."""
        self.started_at_us = now_us
        self.forwarders: dict[str, ForwarderStats] = {}

    def merge(self, now_us: int, name: str, incarnation: int, report: Report) -> bool:
        """Merge a report. Returns False if it comes from an earlier incarnation of its forwarder and is ignored."""
        forwarder = self.forwarders.get(name)
        if forwarder is not None and incarnation < forwarder.incarnation:
            return False
        if forwarder is None or incarnation > forwarder.incarnation:
            forwarder = self.forwarders[name] = ForwarderStats(incarnation, now_us, now_us, rates_updated_at_us=now_us)
        is_first_report = forwarder.last_report_number == 0
        for uid, counters in report.counters.items():
            self._merge_converter(now_us, forwarder, uid, counters, is_first_report)
        forwarder.last_report_at_us = max(forwarder.last_report_at_us, now_us)
        if report.number > forwarder.last_report_number:  # values that are not counters come from the newest report
            self._merge_rates(now_us, forwarder, report, is_first_report)
            forwarder.last_report_number, forwarder.listed_converter_count, forwarder.outstanding = (
                report.number,
                report.listed,
                report.outstanding,
            )
        if report.term >= forwarder.term:
            forwarder.term = report.term
            forwarder.plan_accepted_at_us = max(forwarder.plan_accepted_at_us, now_us - report.plan_age_ms * 1000)
        return True

    @staticmethod
    def _merge_converter(
        now_us: int, forwarder: ForwarderStats, uid: str, counters: ConverterCounters, is_first_report: bool
    ) -> None:
        stats = forwarder.converters.get(uid)
        if stats is None:
            # The counts in a forwarder's first report accumulated earlier, so they are not recent. A converter that a
            # later report adds started from 0, so all of its counts are recent.
            stats = forwarder.converters[uid] = ConverterStats(
                counters if is_first_report else ConverterCounters(), DecayingCounts(updated_at_us=now_us)
            )
        merged_counters, recent_counts = merge_counters(stats.counters, counters), stats.recent_counts
        recent_counts.decay_until(now_us)
        recent_counts.served += merged_counters.served - stats.counters.served
        recent_counts.failed += merged_counters.failed - stats.counters.failed
        recent_counts.rejected += merged_counters.rejected - stats.counters.rejected
        for index, count in enumerate(merged_counters.latencies):
            recent_counts.latencies[index] += count - (
                stats.counters.latencies[index] if index < len(stats.counters.latencies) else 0
            )
        stats.counters = merged_counters

    @staticmethod
    def _merge_rates(now_us: int, forwarder: ForwarderStats, report: Report, is_first_report: bool) -> None:
        decay = math.exp(-max(0, now_us - forwarder.rates_updated_at_us) / DECAY_TIME_CONSTANT_US)
        forwarder.rates_updated_at_us = now_us
        _merge_counts(forwarder.arrivals, forwarder.recent_arrivals, report.arrivals, decay, is_first_report)
        _merge_counts(
            forwarder.class_arrivals, forwarder.recent_class_arrivals, report.class_arrivals, decay, is_first_report
        )
        forwarder.recent_rejections = forwarder.recent_rejections * decay + (
            0 if is_first_report else max(0, report.rejections - forwarder.rejections)
        )
        forwarder.rejections = max(forwarder.rejections, report.rejections)

    def expire(self, now_us: int) -> None:
        """Drop forwarders and converters without recent reports, so that replaced instances do not fill the memory."""
        self.forwarders = {
            name: forwarder
            for name, forwarder in self.forwarders.items()
            if forwarder.last_report_at_us > now_us - EVIDENCE_EXPIRY_US
        }
        for forwarder in self.forwarders.values():
            forwarder.converters = {
                uid: stats
                for uid, stats in forwarder.converters.items()
                if stats.recent_counts.updated_at_us > now_us - EVIDENCE_EXPIRY_US or uid in forwarder.outstanding
            }

    def active_forwarders(self, now_us: int) -> dict[str, ForwarderStats]:
        """Return the forwarders with recent reports, with their recent counts decayed until `now_us`."""
        active_forwarders = {
            name: forwarder
            for name, forwarder in self.forwarders.items()
            if forwarder.last_report_at_us > now_us - REPORT_TIMEOUT_US
        }
        for forwarder in active_forwarders.values():
            for stats in forwarder.converters.values():
                previous_update_at_us = stats.recent_counts.updated_at_us
                stats.recent_counts.decay_until(now_us)
                if (
                    stats.recent_counts.served + stats.recent_counts.failed + stats.recent_counts.rejected
                    < MIN_RECENT_COUNT
                ):
                    # an idle converter keeps its previous update time, so that it expires (see `expire`)
                    stats.recent_counts.updated_at_us = previous_update_at_us
        return active_forwarders

    def merged_counters(self) -> dict[str, dict[str, ConverterCounters]]:
        """Return the counters by forwarder and converter; the order and repetition of reports do not affect them."""
        return {
            name: {uid: stats.counters for uid, stats in forwarder.converters.items()}
            for name, forwarder in self.forwarders.items()
        }
