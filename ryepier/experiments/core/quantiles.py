"""Quantiles of the binomial and Poisson distributions, from which bounds on counts are derived."""

from __future__ import annotations

import math


def binomial_quantile(trials: int, probability: float, level: float) -> int:
    """Return the lowest count of successes whose cumulative probability reaches `level`."""
    if probability >= 1.0:
        return trials
    if probability <= 0.0:
        return 0
    cumulative = 0.0
    for count in range(trials + 1):
        cumulative += _binomial_probability(trials, count, probability)
        if cumulative >= level:
            return count
    return trials


def _binomial_probability(trials: int, count: int, probability: float) -> float:
    log_combinations = math.lgamma(trials + 1) - math.lgamma(count + 1) - math.lgamma(trials - count + 1)
    return math.exp(log_combinations + count * math.log(probability) + (trials - count) * math.log1p(-probability))


def poisson_quantile(mean: float, tail_probability: float) -> int:
    """Return the lowest count that a Poisson variable exceeds with a probability of at most `tail_probability`."""
    count, term = 0, math.exp(-mean)
    tail = 1.0 - term
    while tail > tail_probability:
        count += 1
        term *= mean / count
        tail -= term
    return count
