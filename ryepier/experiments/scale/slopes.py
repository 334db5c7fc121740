"""How a figure grows with a size: a line through what was measured, how far it holds, the spread over seeds. Pure."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np

FEWEST_SIZES = 4  # through two any line fits; with four a bend shows in the residuals


class Estimate(msgspec.Struct, frozen=True):
    """What a slope says of a size."""

    value: float
    extrapolated: bool  # the size lies outside of those measured


class Slope(msgspec.Struct, frozen=True):
    """A least-squares line through a figure at several sizes; units are those of the figure and of the size."""

    per_unit: float
    intercept: float
    largest_residual: float  # in the figure's unit
    relative_residual: float  # the same over the largest figure measured; 0 where all are 0
    from_size: float
    to_size: float

    def at(self, size: float) -> Estimate:
        """The line's value there, and whether that is beyond what was measured."""
        return Estimate(self.intercept + self.per_unit * size, not self.from_size <= size <= self.to_size)


class Spread(msgspec.Struct, frozen=True):
    """A figure over several seeds."""

    least: float
    median: float
    most: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """The line of least squares. Raises ValueError where there are too few sizes, or what is no number."""
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes and {len(values)} values")
    if len(set(sizes)) < FEWEST_SIZES:
        raise ValueError(f"a slope needs at least {FEWEST_SIZES} different sizes, not {len(set(sizes))}")
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
    """Over seeds. Raises ValueError without any value."""
    if not values:
        raise ValueError("no value to tell the spread of")
    return Spread(float(min(values)), float(np.median(values)), float(max(values)))
