"""Fits lines to figures by size, with residuals, and summarizes figures over several seeds. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np

MIN_SIZE_COUNT = 4  # a line fits any two points exactly; with four points, curvature shows in the residuals


class Estimate(msgspec.Struct, frozen=True):
    """The value of a fitted line at one size."""

    value: float
    is_extrapolated: bool  # whether the size is outside the measured range


class Slope(msgspec.Struct, frozen=True):
    """A least-squares line through a figure at several sizes, in the units of the figure and the size."""

    per_unit: float
    intercept: float
    largest_residual: float  # in the figure's unit
    relative_residual: float  # `largest_residual` over the largest absolute value measured; 0 if all values are 0
    from_size: float
    to_size: float

    def at(self, size: float) -> Estimate:
        """Return the line's value at a size."""
        return Estimate(self.intercept + self.per_unit * size, not self.from_size <= size <= self.to_size)


class Spread(msgspec.Struct, frozen=True):
    """The range and median of a figure over several seeds."""

    least: float
    median: float
    most: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a least-squares line. Raises ValueError for too few distinct sizes or for values that are not finite."""
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes and {len(values)} values")
    if len(set(sizes)) < MIN_SIZE_COUNT:
        raise ValueError(f"a line needs at least {MIN_SIZE_COUNT} distinct sizes, got {len(set(sizes))}")
    x, y = np.asarray(sizes, dtype=np.float64), np.asarray(values, dtype=np.float64)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise ValueError("sizes and values must be finite")
    (per_unit, intercept), *_ = np.linalg.lstsq(np.column_stack((x, np.ones_like(x))), y)
    largest_residual = float(np.abs(y - (intercept + per_unit * x)).max())
    largest_value = float(np.abs(y).max())
    return Slope(
        float(per_unit),
        float(intercept),
        largest_residual,
        largest_residual / largest_value if largest_value else 0.0,
        float(x.min()),
        float(x.max()),
    )


def spread(values: Sequence[float]) -> Spread:
    """Return the spread of values over seeds. Raises ValueError if there are none."""
    if not values:
        raise ValueError("a spread needs at least one value")
    return Spread(float(min(values)), float(np.median(values)), float(max(values)))
