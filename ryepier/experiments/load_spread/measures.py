"""Measures how even a load is, relative to random choice, by the times at which converters received requests."""

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
    variation: float  # standard deviation over the mean
    highest_to_mean: float  # of a converter, over the mean
    lowest_to_mean: float  # of a converter, over the mean

    @property
    def variation_by_chance(self) -> float:
        """Return the expected variation if each request went to a random converter."""
        return 1.0 / math.sqrt(self.mean)

    @property
    def variation_ratio(self) -> float:
        """Return the variation over that of random choice: 1 is as even as random choice."""
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
    """Return the counts of requests by converter and window, without a remainder shorter than a window."""
    window_count = (end_us - begin_us) // window_us
    edges = begin_us + window_us * np.arange(window_count + 1, dtype=np.int64)
    counts_by_converter = [np.diff(np.searchsorted(np.asarray(times, dtype=np.int64), edges)) for times in received_us]
    return np.asarray(counts_by_converter, dtype=np.int64)


@dataclass(frozen=True, slots=True)
class RareWindows:
    """The number of windows whose count is rare in a Poisson stream, and the number that is plausible by chance."""

    count: int
    allowed_count: int


def crowded_windows(received_us: Sequence[Sequence[int]], begin_us: int, end_us: int, window_us: int) -> RareWindows:
    """Count the windows with more requests than a Poisson stream of the same mean has in one of 10,000 windows."""
    counts = counts_in_windows(received_us, begin_us, end_us, window_us)
    limit = poisson_quantile(float(counts.mean()), RARE_PROBABILITY)
    return RareWindows(int((counts > limit).sum()), poisson_quantile(counts.size * RARE_PROBABILITY, RARE_PROBABILITY))


def empty_windows(
    received_us: Sequence[Sequence[int]], begin_us: int, end_us: int, expected_per_window: float
) -> RareWindows:
    """Count the windows without a request at a converter; a window's mean is `expected_per_window` requests."""
    total_count = int(counts_in_windows(received_us, begin_us, end_us, end_us - begin_us).sum())
    window_us = min(
        end_us - begin_us, math.ceil(expected_per_window * len(received_us) * (end_us - begin_us) / max(1, total_count))
    )
    counts = counts_in_windows(received_us, begin_us, end_us, window_us)
    return RareWindows(
        int((counts == 0).sum()), poisson_quantile(counts.size * math.exp(-expected_per_window), RARE_PROBABILITY)
    )
