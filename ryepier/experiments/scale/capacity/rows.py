"""Rows of the capacity tables, and their evaluation with the kept results."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum

import msgspec

from ryepier.experiments.scale import slopes
from ryepier.experiments.scale.capacity.estimates import Estimator, RowEstimate
from ryepier.experiments.scale.capacity.plan import CapacityError, Plan
from ryepier.experiments.scale.capacity.results import KeptResult
from ryepier.experiments.scale.slopes import Slope, Spread

BudgetFunction = Callable[[Plan], float]  # returns a budget in the unit of its row


class Standing(StrEnum):
    """Whether a resource suffices at the design size."""

    CARRIED = "carried"  # the value is within its budget, or there is no budget
    OVER = "over"  # the value exceeds its budget
    MISSING = "missing"  # the design has no mechanism for the resource
    NOT_MEASURED = "not measured"


class SlopeUnit(msgspec.Struct, frozen=True):
    """The unit in which a row's slope is shown."""

    text: str
    factor: float = 1.0  # converts from the figure's unit


class Row(msgspec.Struct, frozen=True):
    """A resource of a role, with its mechanism, estimator and budget."""

    role: str
    resource: str
    unit: str
    mechanism: str = ""  # part of the design that provides the resource; empty if there is none
    experiment: str = ""
    estimator: Estimator | None = None
    budget: BudgetFunction | None = None
    slope: SlopeUnit | None = None
    note: str = ""  # how the resource would be measured, or where its mechanism is designed


class RowResult(msgspec.Struct, frozen=True, rename={"is_extrapolated": "extrapolated"}):
    """The evaluation of a row with the kept results."""

    row: Row
    standing: Standing
    value: Spread | None = None
    slope: Spread | None = None
    fitted: Sequence[Slope] = ()  # the lines behind `slope`, one per seed
    share: float | None = None  # the value divided by the row's budget
    breaks_at: float | None = None  # share of the design size at which the budget is used up
    is_extrapolated: bool = False
    seeds: tuple[int, ...] = ()
    date: str = ""

    def as_fields(self) -> dict[str, object]:
        """Return the row and its evaluation as fields for JSON output."""
        row = self.row
        row_fields = {
            "role": row.role,
            "what": row.resource,
            "unit": row.unit,
            "mechanism": row.mechanism,
            "experiment": row.experiment,
            "note": row.note,
        }
        field_names = zip(self.__struct_fields__, self.__struct_encode_fields__, strict=True)
        return row_fields | {
            output_name: msgspec.to_builtins(getattr(self, name)) for name, output_name in field_names if name != "row"
        }


class _SeedValue(msgspec.Struct, frozen=True):
    result: KeptResult
    estimate: RowEstimate


def evaluate(rows: Sequence[Row], kept_results: Sequence[KeptResult], plan: Plan) -> list[RowResult]:
    """Evaluate each row with the kept results. Raises CapacityError like `evaluate_row`."""
    return [evaluate_row(row, kept_results, plan) for row in rows]


def evaluate_row(row: Row, kept_results: Iterable[KeptResult], plan: Plan) -> RowResult:
    """Evaluate a row with the results of its experiment. Raises CapacityError if none has the needed figures."""
    if not row.mechanism:
        return RowResult(row, Standing.MISSING)
    results = [result for result in kept_results if result.name == row.experiment]
    if row.estimator is None or not results:
        return RowResult(row, Standing.NOT_MEASURED)
    seed_values = _estimate_each(row, row.estimator, results, plan)
    estimates = [seed_value.estimate for seed_value in seed_values]
    spread = slopes.spread([estimate.value_at_size for estimate in estimates])
    budget = row.budget(plan) if row.budget is not None else None
    share = spread.median / budget if budget is not None else None
    fitted_lines = [estimate.slope for estimate in estimates if estimate.slope is not None and row.slope is not None]
    return RowResult(
        row,
        Standing.OVER if share is not None and share > 1 else Standing.CARRIED,
        value=spread,
        slope=_slope_spread(fitted_lines, row.slope),
        fitted=fitted_lines,
        share=share,
        breaks_at=breaking_share(estimates, spread.median, budget) if budget is not None else None,
        is_extrapolated=any(estimate.is_extrapolated for estimate in estimates),
        seeds=tuple(sorted(seed_value.result.seed for seed_value in seed_values)),
        date=max(seed_value.result.date for seed_value in seed_values),
    )


def _estimate_each(row: Row, estimator: Estimator, results: Sequence[KeptResult], plan: Plan) -> list[_SeedValue]:
    """Return the estimate from each result that has the needed figures.

    Results without them are left out, as a run may have ended before it measured all figures. Raises CapacityError if
    no result has them.
    """
    seed_values, last_error = [], ""
    for result in results:
        try:
            figures = {name: value for name, value in result.figures.items() if value is not None}
            seed_values.append(_SeedValue(result, estimator(figures, plan)))
        except (KeyError, ValueError) as error:
            last_error = str(error)
    if not seed_values:
        raise CapacityError(
            f"{row.role}, {row.resource}: no result of {row.experiment} has the needed figures: {last_error}"
        )
    return seed_values


def _slope_spread(fitted_lines: Sequence[Slope], unit: SlopeUnit | None) -> Spread | None:
    if unit is None or not fitted_lines:
        return None
    return slopes.spread([slope.per_unit * unit.factor for slope in fitted_lines])


def share_at_budget(value_at_size: float, growing_part: float, budget: float, exponent: int = 1) -> float | None:
    """Return the share of the design size at which a budget is used up.

    This is 0 if the budget is exceeded at every size, and None if it is not used up at any size.
    """
    if growing_part <= 0:
        return 0.0 if value_at_size > budget else None
    return float(max(0.0, 1.0 + (budget - value_at_size) / growing_part) ** (1 / exponent))


def breaking_share(estimates: Sequence[RowEstimate], value_at_size: float, budget: float) -> float | None:
    """Return the share of the design size at which a budget is used up, calculated from medians over the seeds."""
    fitting_shares = [estimate.fitting_share for estimate in estimates if estimate.fitting_share is not None]
    if fitting_shares:
        return slopes.spread(fitting_shares).median
    growing_part = slopes.spread([estimate.growing_part for estimate in estimates]).median
    return share_at_budget(value_at_size, growing_part, budget, estimates[0].exponent)
