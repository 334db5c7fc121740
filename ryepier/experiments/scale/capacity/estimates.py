"""How the figures of a result become the value of a row at the size to design for."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

import msgspec

from ryepier.experiments.scale import slopes
from ryepier.experiments.scale.capacity.plan import Plan
from ryepier.experiments.scale.slopes import Slope

Figures = Mapping[str, float]
Size = Callable[[Plan], float]


class Value(msgspec.Struct, frozen=True):
    """What a row amounts to by one result."""

    at_size: float
    growing: float = 0.0  # the part of it that grows with the size
    slope: Slope | None = None  # in the figure's own unit
    is_extrapolated: bool = False
    power: int = 1  # of the size, with which that part grows
    fitting_share: float | None = None  # the largest measured share of the size that fits, if no slope tells it


Estimate = Callable[[Figures, Plan], Value]


def figures_by_size(figures: Figures, template: str) -> dict[int, float]:
    """Return the figures named like the template, with a size in place of {}, by that size."""
    before, _, after = template.partition("{}")
    pattern = re.compile(re.escape(before) + r"(\d+)" + re.escape(after))
    found = {int(match[1]): value for name, value in figures.items() if (match := pattern.fullmatch(name))}
    return dict(sorted(found.items()))


def _fit(figures: Figures, template: str) -> Slope:
    points = figures_by_size(figures, template)
    return slopes.fit(list(points), list(points.values()))


def on_line(template: str, size: Size, factor: float = 1.0, plus: str = "") -> Estimate:
    """Estimate by the line through a figure at several sizes, times a factor, plus another figure."""

    def estimate(figures: Figures, plan: Plan) -> Value:
        slope = _fit(figures, template)
        at_size = slope.at(size(plan))
        added = figures[plus] if plus else 0.0
        growing = slope.per_unit * size(plan) * factor
        return Value(at_size.value * factor + added, growing, slope, at_size.extrapolated)

    return estimate


def level(template: str, factor: float = 1.0) -> Estimate:
    """Estimate by the median of a figure at several sizes, with which it does not grow."""

    def estimate(figures: Figures, plan: Plan) -> Value:
        return Value(slopes.spread(list(figures_by_size(figures, template).values())).median * factor)

    return estimate


def as_is(name: str, power: int = 0) -> Estimate:
    """Estimate by a figure for the size itself; all of it grows with that power of the size."""

    def estimate(figures: Figures, plan: Plan) -> Value:
        growing = figures[name] if power else 0.0
        return Value(figures[name], growing, power=max(1, power))

    return estimate


def over_the_day(idle: str, change: str, factor: float, size: Size) -> Estimate:
    """Estimate by an idle level, plus a day's changes of the list by the line through the cost of one."""

    def estimate(figures: Figures, plan: Plan) -> Value:
        slope = _fit(figures, change)
        at_size = slope.at(size(plan))
        changes_per_s = plan.list_changes_per_s * factor
        value = level(idle)(figures, plan).at_size + changes_per_s * at_size.value
        return Value(value, changes_per_s * slope.per_unit * size(plan), slope, at_size.extrapolated)

    return estimate
