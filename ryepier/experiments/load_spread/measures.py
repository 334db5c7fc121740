"""Measures how evenly a load is spread, compared with random choice, from the times at which requests were received."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from ryepier.experiments.core.quantiles import poisson_quantile

RARE_PROBABILITY = 1e-4  # probability that a window of a Poisson stream exceeds a bound: one in 10,000


@dataclass(frozen=True, slots=True)
class Spread:
    """The distribution of the requests that converters received in a time span."""

    mean: float  # requests per converter
    variation: float  # standard deviation of the counts, divided by their mean
    highest_to_mean: float  # highest count of a converter, divided by the mean
    lowest_to_mean: float  # lowest count of a converter, divided by the mean

    @property
    def variation_by_chance(self) -> float:
        """Return the expected variation if each request went to a random converter."""
        return 1.0 / math.sqrt(self.mean)

    @property
    def variation_ratio(self) -> float:
        """Return the variation, divided by that of random choice. With 1, the load is as even as with random choice."""
        return self.variation / self.variation_by_chance


def measure_spread(received_us: Sequence[Sequence[int]], begin_us: int, end_us: int) -> Spread:
    """Return the spread over converters between two times. Raises ValueError if nothing was received."""
    counts = counts_in_windows(received_us, begin_us, end_us, end_us - begin_us)[:, 0]
    mean = float(counts.mean())
    if mean == 0:
        raise ValueError("nothing was received")
    return Spread(mean, float(counts.std()) / mean, float(counts.max()) / mean, float(counts.min()) / mean)


def counts_in_windows(
    received_us: Sequence[Sequence[int]], begin_us: int, end_us: int, window_us: int
) -> np.ndarray[tuple[int, int], np.dtype[np.int64]]:
    """Return the counts of requests by converter and window. A last window that would be shorter is left out."""
    window_count = (end_us - begin_us) // window_us
    edges = begin_us + window_us * np.arange(window_count + 1, dtype=np.int64)
    counts_by_converter = [np.diff(np.searchsorted(np.asarray(times, dtype=np.int64), edges)) for times in received_us]
    return np.asarray(counts_by_converter, dtype=np.int64)


@dataclass(frozen=True, slots=True)
class RareWindows:
    """The number of windows whose counts are rare in a Poisson stream."""

    count: int
    allowed_count: int  # number of such windows that is plausible by chance


def crowded_windows(received_us: Sequence[Sequence[int]], begin_us: int, end_us: int, window_us: int) -> RareWindows:
    """Count the windows whose count a Poisson stream of the same mean reaches in at most one of 10,000 windows."""
    counts = counts_in_windows(received_us, begin_us, end_us, window_us)
    limit = poisson_quantile(float(counts.mean()), RARE_PROBABILITY)
    return RareWindows(int((counts > limit).sum()), poisson_quantile(counts.size * RARE_PROBABILITY, RARE_PROBABILITY))


def empty_windows(
    received_us: Sequence[Sequence[int]], begin_us: int, end_us: int, expected_per_window: float
) -> RareWindows:
    """Count the windows without a request at a converter.

    The windows are so long that a converter receives `expected_per_window` requests per window on average.
    """
    total_count = int(counts_in_windows(received_us, begin_us, end_us, end_us - begin_us).sum())
    window_us = min(
        end_us - begin_us, math.ceil(expected_per_window * len(received_us) * (end_us - begin_us) / max(1, total_count))
    )
    counts = counts_in_windows(received_us, begin_us, end_us, window_us)
    return RareWindows(
        int((counts == 0).sum()), poisson_quantile(counts.size * math.exp(-expected_per_window), RARE_PROBABILITY)
    )
