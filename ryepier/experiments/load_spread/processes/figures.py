"""Calculates evenness, bursts and occupancy of the converters from the records of a run. No I/O.

Evenness is relative to random choice, with which the counts in a window are Poisson-distributed and have a variation of
mean**-0.5. Bursts are windows of 100 ms whose counts exceed a Poisson quantile.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ryepier.emulator.records import NEVER, ConnectionRecord, ConverterAttempt, History, RequestOutcome
from ryepier.emulator.timeline import Instance
from ryepier.experiments.core.quantiles import poisson_quantile
from ryepier.experiments.load_spread.measures import RARE_PROBABILITY

BURST_WINDOW_US = 100_000
RATE_PERIOD_US = 1_000_000  # a burst is compared with the mean rate over this period
FALSE_ALARM_CHANCE = 1e-3  # probability that a fleet that chooses at random exceeds a bound
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class Evenness:
    """How evenly the starts of executions were distributed over converters, in windows of equal length."""

    variation: float  # standard deviation of the counts in a window over their mean, pooled over all windows
    variation_by_chance: float  # variation that is expected with random choice
    highest_to_mean: float  # highest total of a converter, divided by the mean total
    lowest_to_mean: float  # lowest total of a converter, divided by the mean total

    @property
    def variation_ratio(self) -> float:
        """Return the variation, divided by that of random choice."""
        return self.variation / self.variation_by_chance


@dataclass(frozen=True, slots=True)
class Bursts:
    """Attempts received in windows of 100 ms, counted for each converter separately."""

    window_count: int
    highest_count: int  # most attempts in a window
    worst_ratio: float  # highest ratio of a count to the bound that Poisson streams exceed in one of 1,000 runs
    rare_window_count: int  # windows with a count that a Poisson stream reaches in at most one of 10,000 windows
    allowed_rare_window_count: int  # number of rare windows that Poisson streams exceed in one of 1,000 runs


@dataclass(frozen=True, slots=True)
class Occupancy:
    """How many connections or executions the converters held at the same time."""

    highest_count: int  # highest number that any converter held
    mean_highest_count: float  # mean over the converters of the highest number that each held


@dataclass(frozen=True, slots=True)
class Span:
    """The time span in which a converter held a connection or an execution. Without an end, `end_us` is NEVER."""

    uid: str
    begin_us: int
    end_us: int


def was_received(attempt: ConverterAttempt) -> bool:
    """Return whether an attempt reached its converter, which then executed or rejected it."""
    return attempt.started_us != NEVER or attempt.not_run


def count_starts(
    attempts: Iterable[ConverterAttempt], uids: Sequence[str], edges_s: Sequence[float]
) -> list[list[int]]:
    """Return, for each window between two edges, the number of executions that started at each converter."""
    counts = [Counter[str]() for _ in edges_s[1:]]
    for attempt in attempts:
        for window_index, (begin_s, end_s) in enumerate(itertools.pairwise(edges_s)):
            if attempt.started_us != NEVER and begin_s * US_PER_S <= attempt.started_us < end_s * US_PER_S:
                counts[window_index][attempt.uid] += 1
    return [[window_counts[uid] for uid in uids] for window_counts in counts]


def measure_evenness(counts: Sequence[Sequence[int]]) -> Evenness:
    """Return the evenness of counts by window and converter.

    There must be at least two converters, and at least one start in each window.
    """
    means = [sum(window_counts) / len(window_counts) for window_counts in counts]
    dispersions = [_dispersion(window_counts, mean) for window_counts, mean in zip(counts, means, strict=True)]
    variation_by_chance = (sum(means) / len(means)) ** -0.5
    totals = [sum(converter_counts) for converter_counts in zip(*counts, strict=True)]
    mean_total = sum(totals) / len(totals)
    return Evenness(
        variation=math.sqrt(sum(dispersions) / len(dispersions)) * variation_by_chance,
        variation_by_chance=variation_by_chance,
        highest_to_mean=max(totals) / mean_total,
        lowest_to_mean=min(totals) / mean_total,
    )


def _dispersion(counts: Sequence[int], mean: float) -> float:
    """Return the variance over the mean, which is 1 for a Poisson distribution."""
    return sum((count - mean) ** 2 for count in counts) / (len(counts) - 1) / mean


def measure_bursts(
    attempts: Iterable[ConverterAttempt], zone_of: Mapping[str, str], begin_s: float, end_s: float
) -> Bursts:
    """Return the bursts at the converters of `zone_of` in a part of the run.

    The count in a window is compared with the mean rate at the converters of the same zone in the same second, as a cut
    between zones shifts load to another zone, which is not a burst. The rate is at least the mean rate at all
    converters in the whole part.
    """
    windows_per_converter = int((end_s - begin_s) * US_PER_S) // BURST_WINDOW_US
    counts_by_window: Counter[tuple[str, int]] = Counter()
    counts_by_second: Counter[tuple[str, int]] = Counter()
    for attempt in attempts:
        window_index = (attempt.received_us - int(begin_s * US_PER_S)) // BURST_WINDOW_US
        if was_received(attempt) and attempt.uid in zone_of and 0 <= window_index < windows_per_converter:
            counts_by_window[attempt.uid, window_index] += 1
            counts_by_second[zone_of[attempt.uid], window_index * BURST_WINDOW_US // RATE_PERIOD_US] += 1
    zone_sizes = Counter(zone_of.values())
    window_count = windows_per_converter * len(zone_of)
    overall_mean = sum(counts_by_window.values()) / max(1, window_count)
    worst_ratio, rare_window_count = 0.0, 0
    for (uid, window_index), window_received in counts_by_window.items():
        zone = zone_of[uid]
        zone_received = counts_by_second[zone, window_index * BURST_WINDOW_US // RATE_PERIOD_US]
        mean = max(overall_mean, zone_received / zone_sizes[zone] / (RATE_PERIOD_US // BURST_WINDOW_US))
        worst_ratio = max(worst_ratio, window_received / poisson_quantile(mean, FALSE_ALARM_CHANCE / window_count))
        rare_window_count += window_received > poisson_quantile(mean, RARE_PROBABILITY)
    allowed_rare_window_count = poisson_quantile(window_count * RARE_PROBABILITY, FALSE_ALARM_CHANCE)
    return Bursts(
        window_count,
        max(counts_by_window.values(), default=0),
        worst_ratio,
        rare_window_count,
        allowed_rare_window_count,
    )


def count_idle_windows(counts: Sequence[Sequence[int]]) -> int:
    """Return the number of windows without a start at a converter, summed over the converters."""
    return sum(count == 0 for window_counts in counts for count in window_counts)


def measure_occupancy(spans: Iterable[Span]) -> Occupancy:
    """Return how many spans overlapped at each converter."""
    changes: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for span in spans:
        changes[span.uid].append((span.begin_us, 1))
        if span.end_us != NEVER:
            changes[span.uid].append((span.end_us, -1))
    highest_counts = [_highest_sum(converter_changes) for converter_changes in changes.values()]
    return Occupancy(max(highest_counts, default=0), sum(highest_counts) / max(1, len(highest_counts)))


def _highest_sum(changes: list[tuple[int, int]]) -> int:
    """Return the highest running sum of changes in the order of their times. At equal times, ends precede begins."""
    current_sum = highest_sum = 0
    for _, change in sorted(changes):
        current_sum += change
        highest_sum = max(highest_sum, current_sum)
    return highest_sum


def connection_occupancy(connections: Iterable[ConnectionRecord]) -> Occupancy:
    """Return how many connections the converters held at the same time."""
    return measure_occupancy(Span(record.uid, record.opened_us, record.closed_us) for record in connections)


def execution_occupancy(attempts: Iterable[ConverterAttempt]) -> Occupancy:
    """Return how many requests the converters executed at the same time."""
    executed_attempts = [attempt for attempt in attempts if attempt.started_us != NEVER]
    return measure_occupancy(
        Span(attempt.uid, attempt.started_us, attempt.finished_us) for attempt in executed_attempts
    )


def steady_uids(instances: Iterable[Instance], excluded_indices: Iterable[int]) -> list[str]:
    """Return the uids of the converters that ran and were warm from the beginning, except `excluded_indices`."""
    excluded_set = set(excluded_indices)
    return [instance.uid for instance in instances if instance.start_us is None and instance.index not in excluded_set]


def served_operations_share(history: History) -> float:
    """Return the share of operations that were served by their first attempt or a retry, however late."""
    operations = {attempt.arrival for attempt in history.client_attempts}
    served_operations = {
        attempt.arrival for attempt in history.client_attempts if attempt.outcome is RequestOutcome.SERVED
    }
    return len(served_operations) / max(1, len(operations))


def rejected_share(history: History) -> float:
    """Return the share of the clients' attempts that were rejected."""
    rejected_count = sum(attempt.outcome is RequestOutcome.REFUSED for attempt in history.client_attempts)
    return rejected_count / max(1, len(history.client_attempts))
