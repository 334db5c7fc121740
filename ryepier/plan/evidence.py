"""Evidence of a planner: the reports of all forwarders, each counted once in whatever order and however often it comes.

Pure. Counters are merged by their maximum, which neither order nor repetition changes; recent counts are their growth,
which decays, so that old failures are forgotten.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import zip_longest

from ryepier.plan.messages import LATENCY_BUCKETS, ConverterCounters, Report, Term

RECENT_MEMORY_US = 2_000_000  # in which recent counts decay to 1/e
REPORT_TIMEOUT_US = 3_000_000  # a forwarder without a report for longer does not count
EXPIRY_US = 60_000_000  # after which it is dropped, as are converters without attempts
MIN_COUNT = 0.01  # a decayed count below it is dropped


@dataclass(slots=True)
class DecayingCounts:
    """Growth of counters, decaying with time."""

    served: float = 0.0
    failed: float = 0.0
    rejected: float = 0.0
    latencies: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BUCKETS)
    at_us: int = 0

    def fade(self, now_us: int) -> None:
        """Decay the counts until now."""
        if now_us <= self.at_us:
            return
        decay = math.exp(-max(0, now_us - self.at_us) / RECENT_MEMORY_US)
        self.served *= decay
        self.failed *= decay
        self.rejected *= decay
        self.latencies = [count * decay for count in self.latencies]
        self.at_us = max(self.at_us, now_us)


@dataclass(slots=True)
class ConverterStats:
    """One converter as one forwarder reports it."""

    counters: ConverterCounters
    recent: DecayingCounts


@dataclass(slots=True)
class ForwarderStats:
    """What one incarnation of a forwarder has reported."""

    incarnation: int
    since_us: int  # of its first report
    last_report_us: int
    number: int = 0
    listed: int = 0
    converters: dict[str, ConverterStats] = field(default_factory=dict)
    outstanding: dict[str, int] = field(default_factory=dict)
    arrivals: list[int] = field(default_factory=list)
    recent_arrivals: list[float] = field(default_factory=list)
    class_arrivals: list[int] = field(default_factory=list)
    recent_class_arrivals: list[float] = field(default_factory=list)
    rejections: int = 0
    recent_rejections: float = 0.0
    rates_us: int = 0
    term: Term = Term()
    plan_accepted_us: int = 0  # by this planner's clock


def merge_counters(one: ConverterCounters, other: ConverterCounters) -> ConverterCounters:
    """Merge two states of the same counters."""
    return ConverterCounters(
        max(one.attempts, other.attempts),
        max(one.served, other.served),
        max(one.failed, other.failed),
        max(one.rejected, other.rejected),
        tuple(map(max, zip_longest(one.latencies[:LATENCY_BUCKETS], other.latencies[:LATENCY_BUCKETS], fillvalue=0))),
    )


def _merge_counts(merged: list[int], recent: list[float], counts: list[int], decay: float, first: bool) -> None:
    """Merge counters; their growth is recent."""
    merged += [0] * (len(counts) - len(merged))
    recent += [0.0] * (len(counts) - len(recent))
    for index, count in enumerate(counts):
        recent[index] = recent[index] * decay + (0 if first else max(0, count - merged[index]))
        merged[index] = max(merged[index], count)


class Evidence:
    """The merged reports, on the planner's own clock."""

    def __init__(self, now_us: int) -> None:
        """Start without reports at `now_us` (microseconds)."""
        self.since_us = now_us
        self.forwarders: dict[str, ForwarderStats] = {}

    def merge(self, now_us: int, name: str, incarnation: int, report: Report) -> bool:
        """Merge a report. Returns False for one of an earlier incarnation of its forwarder, which is not counted."""
        known = self.forwarders.get(name)
        if known is not None and incarnation < known.incarnation:
            return False
        if known is None or incarnation > known.incarnation:
            known = self.forwarders[name] = ForwarderStats(incarnation, now_us, now_us, rates_us=now_us)
        first = known.number == 0
        for uid, counters in report.counters.items():
            self._merge_converter(now_us, known, uid, counters, first)
        known.last_report_us = max(known.last_report_us, now_us)
        if report.number > known.number:  # the rest are no counters: the newest report counts
            self._merge_rates(now_us, known, report, first)
            known.number, known.listed, known.outstanding = report.number, report.listed, report.outstanding
        if report.term >= known.term:
            known.term = report.term
            known.plan_accepted_us = max(known.plan_accepted_us, now_us - report.plan_age_ms * 1000)
        return True

    @staticmethod
    def _merge_converter(
        now_us: int, known: ForwarderStats, uid: str, counters: ConverterCounters, first: bool
    ) -> None:
        stats = known.converters.get(uid)
        if stats is None:
            # counts before a forwarder's first report here are not recent; a converter new to it begins at 0
            stats = known.converters[uid] = ConverterStats(
                counters if first else ConverterCounters(), DecayingCounts(at_us=now_us)
            )
        merged, recent = merge_counters(stats.counters, counters), stats.recent
        recent.fade(now_us)
        recent.served += merged.served - stats.counters.served
        recent.failed += merged.failed - stats.counters.failed
        recent.rejected += merged.rejected - stats.counters.rejected
        for index, count in enumerate(merged.latencies):
            recent.latencies[index] += count - (
                stats.counters.latencies[index] if index < len(stats.counters.latencies) else 0
            )
        stats.counters = merged

    @staticmethod
    def _merge_rates(now_us: int, known: ForwarderStats, report: Report, first: bool) -> None:
        decay = math.exp(-max(0, now_us - known.rates_us) / RECENT_MEMORY_US)
        known.rates_us = now_us
        _merge_counts(known.arrivals, known.recent_arrivals, report.arrivals, decay, first)
        _merge_counts(known.class_arrivals, known.recent_class_arrivals, report.class_arrivals, decay, first)
        known.recent_rejections = known.recent_rejections * decay + (
            0 if first else max(0, report.rejections - known.rejections)
        )
        known.rejections = max(known.rejections, report.rejections)

    def expire(self, now_us: int) -> None:
        """Drop forwarders and converters without recent reports: they come and go forever."""
        self.forwarders = {
            name: known for name, known in self.forwarders.items() if known.last_report_us > now_us - EXPIRY_US
        }
        for known in self.forwarders.values():
            known.converters = {
                uid: stats
                for uid, stats in known.converters.items()
                if stats.recent.at_us > now_us - EXPIRY_US or uid in known.outstanding
            }

    def active(self, now_us: int) -> dict[str, ForwarderStats]:
        """Return the forwarders with recent reports, their recent counts decayed until now."""
        found = {
            name: known for name, known in self.forwarders.items() if known.last_report_us > now_us - REPORT_TIMEOUT_US
        }
        for known in found.values():
            for stats in known.converters.values():
                at_us = stats.recent.at_us
                stats.recent.fade(now_us)
                if stats.recent.served + stats.recent.failed + stats.recent.rejected < MIN_COUNT:
                    stats.recent.at_us = at_us  # without new counts it goes on ageing
        return found

    def totals(self) -> dict[str, dict[str, ConverterCounters]]:
        """Return the merged counters: the same for any order and repetition of the same reports."""
        return {
            name: {uid: stats.counters for uid, stats in known.converters.items()}
            for name, known in self.forwarders.items()
        }
