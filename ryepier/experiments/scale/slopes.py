"""How a figure grows with a size: a line through measured values, its residuals, and the spread over seeds. Pure."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np

MIN_SIZES = 4  # a line fits any two; with four, curvature shows in the residuals


class Estimate(msgspec.Struct, frozen=True):
    """The value of a line at a size."""

    value: float
    is_extrapolated: bool  # the size lies outside of the measured ones


class Slope(msgspec.Struct, frozen=True):
    """A least-squares line through a figure at several sizes; units are those of the figure and of the size."""

    per_unit: float
    intercept: float
    largest_residual: float  # in the figure's unit
    relative_residual: float  # the same over the largest figure measured; 0 where all are 0
    from_size: float
    to_size: float

    def at(self, size: float) -> Estimate:
        """Return the line's value at a size."""
        return Estimate(self.intercept + self.per_unit * size, not self.from_size <= size <= self.to_size)


class Spread(msgspec.Struct, frozen=True):
    """A figure over several seeds."""

    least: float
    median: float
    most: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Return the least-squares line. Raises ValueError for too few sizes, or values that are not finite."""
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes and {len(values)} values")
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"a slope needs at least {MIN_SIZES} different sizes, not {len(set(sizes))}")
    x, y = np.asarray(sizes, dtype=np.float64), np.asarray(values, dtype=np.float64)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise ValueError("a size or a value is no finite number")
    (per_unit, intercept), *_ = np.linalg.lstsq(np.column_stack((x, np.ones_like(x))), y)
    residual = float(np.abs(y - (intercept + per_unit * x)).max())
    largest = float(np.abs(y).max())
    return Slope(
        float(per_unit),
        float(intercept),
        residual,
        residual / largest if largest else 0.0,
        float(x.min()),
        float(x.max()),
    )


def spread(values: Sequence[float]) -> Spread:
    """Return the spread of values over seeds. Raises ValueError without any value."""
    if not values:
        raise ValueError("no value to tell the spread of")
    return Spread(float(min(values)), float(np.median(values)), float(max(values)))
