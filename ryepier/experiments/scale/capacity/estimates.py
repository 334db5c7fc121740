"""Estimators that calculate the value of a row at the design size from the figures of a result."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

import msgspec

from ryepier.experiments.scale import slopes
from ryepier.experiments.scale.capacity.plan import Plan
from ryepier.experiments.scale.slopes import Slope

Figures = Mapping[str, float]
SizeFunction = Callable[[Plan], float]  # returns the planned size with which a figure grows


class RowEstimate(msgspec.Struct, frozen=True):
    """The value of a row at the design size, estimated from one result."""

    value_at_size: float
    growing_part: float = 0.0  # the part of `value_at_size` that grows with the size
    slope: Slope | None = None  # the fitted line, in the unit of the figure
    is_extrapolated: bool = False
    exponent: int = 1  # `growing_part` is proportional to this power of the size
    fitting_share: float | None = (
        None  # largest measured size within budget, divided by the design size; set only if there is no slope
    )


Estimator = Callable[[Figures, Plan], RowEstimate]


def figures_by_size(figures: Figures, template: str) -> dict[int, float]:
    """Return the figures whose names match the template with a size in place of {}, in ascending order of that size."""
    prefix, _, suffix = template.partition("{}")
    pattern = re.compile(re.escape(prefix) + r"(\d+)" + re.escape(suffix))
    by_size = {int(match[1]): value for name, value in figures.items() if (match := pattern.fullmatch(name))}
    return dict(sorted(by_size.items()))


def _fit(figures: Figures, template: str) -> Slope:
    values_by_size = figures_by_size(figures, template)
    return slopes.fit(list(values_by_size), list(values_by_size.values()))


def fitted_line(template: str, size: SizeFunction, factor: float = 1.0, added_figure: str = "") -> Estimator:
    """Estimate by a line fitted to a figure at several sizes.

    The line's value is multiplied by `factor`, and the figure `added_figure` is added if it is named.
    """

    def estimate(figures: Figures, plan: Plan) -> RowEstimate:
        slope = _fit(figures, template)
        line_value = slope.at(size(plan))
        added_value = figures[added_figure] if added_figure else 0.0
        growing_part = slope.per_unit * size(plan) * factor
        return RowEstimate(line_value.value * factor + added_value, growing_part, slope, line_value.is_extrapolated)

    return estimate


def median_over_sizes(template: str, factor: float = 1.0) -> Estimator:
    """Estimate by the median of a figure over several sizes, for a figure that does not grow with the size."""

    def estimate(figures: Figures, plan: Plan) -> RowEstimate:
        return RowEstimate(slopes.spread(list(figures_by_size(figures, template).values())).median * factor)

    return estimate


def single_figure(name: str, exponent: int = 0) -> Estimator:
    """Estimate by a figure that was measured or calculated for the design size itself.

    The figure is taken to be proportional to the size to the power of `exponent`. With 0, it does not grow.
    """

    def estimate(figures: Figures, plan: Plan) -> RowEstimate:
        growing_part = figures[name] if exponent else 0.0
        return RowEstimate(figures[name], growing_part, exponent=max(1, exponent))

    return estimate


def daily_changes(idle_template: str, change_template: str, factor: float, size: SizeFunction) -> Estimator:
    """Estimate the cost per second of a sidecar that is idle except for a day's list changes.

    This is the median of the idle cost, plus the planned rate of changes times the cost of one change, which is read
    from a fitted line and multiplied by `factor`.
    """

    def estimate(figures: Figures, plan: Plan) -> RowEstimate:
        slope = _fit(figures, change_template)
        line_value = slope.at(size(plan))
        changes_per_s = plan.list_changes_per_s * factor
        value = median_over_sizes(idle_template)(figures, plan).value_at_size + changes_per_s * line_value.value
        return RowEstimate(value, changes_per_s * slope.per_unit * size(plan), slope, line_value.is_extrapolated)

    return estimate
