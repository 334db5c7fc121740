"""How even a fleet's load was, how sudden, and how many connections it took, from the converters' journals. Pure.

Evenness stands beside chance: were the load dealt out by independent draws, the counts of a window would be Poisson,
their variation (mean)**-0.5. A burst is judged by the Poisson quantile of a window of 100 ms.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ryepier.emulator.records import NEVER, ConnectionRecord, ConverterAttempt, History
from ryepier.emulator.timeline import Instance
from ryepier.experiments.core.quantiles import poisson_quantile
from ryepier.experiments.load_spread.measures import RARE

BURST_US = 100_000
RATE_US = 1_000_000  # the rate that a burst is judged by is taken as even for so long
RUNS_APART = 1e-3  # chance that a fleet that spreads by independent draws fails a bound


@dataclass(frozen=True, slots=True)
class Evenness:
    """The starts at some converters over windows of equal length."""

    variation: float  # standard deviation over mean of a window's counts, pooled over the windows
    by_chance: float  # what it would be for independent draws
    most_to_mean: float  # over all windows together
    least_to_mean: float

    @property
    def ratio(self) -> float:
        """The variation in units of chance."""
        return self.variation / self.by_chance


@dataclass(frozen=True, slots=True)
class Bursts:
    """The starts in windows of 100 ms, a window for each converter."""

    windows: int
    most: int  # starts in one of them
    worst: float  # the most beside what a Poisson stream exceeds in one of 1,000 such runs; above 1 is a herd
    beyond: int  # windows with more than a Poisson stream gives once in 10,000
    beyond_by_chance: int  # of them, as many as chance gives in all but one of 1,000 runs


@dataclass(frozen=True, slots=True)
class Occupancy:
    """How many of something a converter held at once."""

    most: int  # at any converter
    mean: float  # of each converter's most


def received(attempts: Iterable[ConverterAttempt]) -> list[ConverterAttempt]:
    """Those that reached their converter: run there, or turned away by it."""
    return [attempt for attempt in attempts if attempt.started_us != NEVER or attempt.not_run]


def starts(attempts: Iterable[ConverterAttempt], uids: Sequence[str], edges_s: Sequence[float]) -> list[list[int]]:
    """Executions begun at each of these converters, a list for each window between two edges (s)."""
    counts = [Counter[str]() for _ in edges_s[1:]]
    for attempt in attempts:
        for window, (begin_s, end_s) in enumerate(itertools.pairwise(edges_s)):
            if attempt.started_us != NEVER and begin_s * 1e6 <= attempt.started_us < end_s * 1e6:
                counts[window][attempt.uid] += 1
    return [[count[uid] for uid in uids] for count in counts]


def evenness(counts: Sequence[Sequence[int]]) -> Evenness:
    """Of counts for each window and converter; at least two converters, and a start in each window."""
    means = [sum(window) / len(window) for window in counts]
    dispersions = [
        sum((count - mean) ** 2 for count in window) / (len(window) - 1) / mean
        for window, mean in zip(counts, means, strict=True)
    ]
    by_chance = (sum(means) / len(means)) ** -0.5
    totals = [sum(one) for one in zip(*counts, strict=True)]
    mean_total = sum(totals) / len(totals)
    return Evenness(
        math.sqrt(sum(dispersions) / len(dispersions)) * by_chance,
        by_chance,
        max(totals) / mean_total,
        min(totals) / mean_total,
    )


def bursts(attempts: Iterable[ConverterAttempt], zone_of: Mapping[str, str], begin_s: float, end_s: float) -> Bursts:
    """Of what reached these converters in a part of the run. The rate that a window is judged by is that of its zone's
    converters in the same second, and no less than that of all over the whole part: a cut between zones moves load from
    one to another, which is no herd."""
    windows = int((end_s - begin_s) * 1e6) // BURST_US
    found: Counter[tuple[str, int]] = Counter()
    by_second: Counter[tuple[str, int]] = Counter()
    for attempt in received(attempts):
        window = (attempt.received_us - int(begin_s * 1e6)) // BURST_US
        if attempt.uid in zone_of and 0 <= window < windows:
            found[attempt.uid, window] += 1
            by_second[zone_of[attempt.uid], window * BURST_US // RATE_US] += 1
    sizes = Counter(zone_of.values())
    count = windows * len(zone_of)
    least = sum(found.values()) / max(1, count)
    worst, beyond = 0.0, 0
    for (uid, window), seen in found.items():
        zone = zone_of[uid]
        mean = by_second[zone, window * BURST_US // RATE_US] / sizes[zone] / (RATE_US // BURST_US)
        mean = max(least, mean)
        worst = max(worst, seen / poisson_quantile(mean, RUNS_APART / count))
        beyond += seen > poisson_quantile(mean, RARE)
    return Bursts(count, max(found.values(), default=0), worst, beyond, poisson_quantile(count * RARE, RUNS_APART))


def idle_windows(counts: Sequence[Sequence[int]]) -> int:
    """In how many windows some converter had no start, counted for each."""
    return sum(count == 0 for window in counts for count in window)


def occupancy(spans: Iterable[tuple[str, int, int]]) -> Occupancy:
    """Of (converter, from when, to when or NEVER), in microseconds."""
    changes: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for uid, begin_us, end_us in spans:
        changes[uid].append((begin_us, 1))
        if end_us != NEVER:
            changes[uid].append((end_us, -1))
    most = []
    for steps in changes.values():
        held = highest = 0
        for _, step in sorted(steps):  # at the same moment ends come first
            held += step
            highest = max(highest, held)
        most.append(highest)
    return Occupancy(max(most, default=0), sum(most) / max(1, len(most)))


def connections(lives: Iterable[ConnectionRecord]) -> Occupancy:
    """Connections that converters held at once."""
    return occupancy((life.uid, life.opened_us, life.closed_us) for life in lives)


def places(attempts: Iterable[ConverterAttempt]) -> Occupancy:
    """Requests that converters had in work at once."""
    ran = [attempt for attempt in attempts if attempt.started_us != NEVER]
    return occupancy((attempt.uid, attempt.started_us, attempt.finished_us) for attempt in ran)


def steady_uids(instances: Iterable[Instance], struck: Iterable[int]) -> list[str]:
    """Converters that were there, warm, from the beginning, but for those that a fault strikes."""
    left_out = set(struck)
    return [one.uid for one in instances if one.start_us is None and one.index not in left_out]


def served_in_the_end(history: History) -> float:
    """The share of first tries that they or a retry of theirs had served."""
    wanted = {item.arrival for item in history.client_attempts}
    served = {item.arrival for item in history.client_attempts if item.outcome == "served"}
    return len(served) / max(1, len(wanted))


def refused(history: History) -> float:
    """The share of tries that were refused."""
    return sum(item.outcome == "refused" for item in history.client_attempts) / max(1, len(history.client_attempts))
