"""Tests the rows of the capacity tables, the kept results behind them, and the capacity page."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from ryepier.cli import main
from ryepier.experiments.catalogue import BENCHMARKS
from ryepier.experiments.scale.capacity import table
from ryepier.experiments.scale.capacity.estimates import fitted_line
from ryepier.experiments.scale.capacity.page import first_limits_reached, format_number
from ryepier.experiments.scale.capacity.plan import CapacityError, Plan, read_plan
from ryepier.experiments.scale.capacity.results import KeptResult, read_results
from ryepier.experiments.scale.capacity.rows import Row, SlopeUnit, evaluate, evaluate_row, share_at_budget
from ryepier.experiments.scale.capacity.table import ROWS

ROOT = Path(__file__).parent.parent
KEPT_FOLDER, PAGE = ROOT / "docs" / "capacity", ROOT / "docs" / "CAPACITY.md"
PLAN: Plan = read_plan(KEPT_FOLDER)
# figures on the line 1 + size / 10
LINEAR_FIGURES = {"cpu_10_known": 2.0, "cpu_20_known": 3.0, "cpu_30_known": 4.0, "cpu_40_known": 5.0}


def make_result(figures: Mapping[str, float], seed: int = 1, name: str = "scale-x", **overrides: object) -> KeptResult:
    fields: dict[str, object] = {"claims": [], "versions": {"cores": "8"}, "date": f"2026-12-0{seed}"} | overrides
    return msgspec.convert({"name": name, "seed": seed, "scale": "full", "figures": figures} | fields, KeptResult)


def make_row(budget: float = 200.0, mechanism: str = "watch", experiment: str = "scale-x", **overrides: Any) -> Row:
    return Row(
        role="Sidecar",
        resource="CPU",
        unit="ms",
        mechanism=mechanism,
        experiment=experiment,
        estimator=fitted_line("cpu_{}_known", lambda plan: plan.converters),
        slope=SlopeUnit("ms a converter"),
        budget=lambda plan: budget,
        **overrides,
    )


def test_row_value_is_the_fitted_line_at_the_design_size() -> None:
    row_result = evaluate_row(make_row(), [make_result(LINEAR_FIGURES)], PLAN)
    assert row_result.standing == "carried" and row_result.is_extrapolated
    assert row_result.value is not None and row_result.value.median == pytest.approx(161.0)
    assert row_result.share == pytest.approx(0.805) and row_result.breaks_at == pytest.approx(199 / 160)
    assert row_result.slope is not None and row_result.slope.median == pytest.approx(0.1)


def test_row_over_budget_reports_the_share_of_the_size_that_fits() -> None:
    row_result = evaluate_row(make_row(budget=81.0), [make_result(LINEAR_FIGURES)], PLAN)
    assert row_result.standing == "over" and row_result.breaks_at == pytest.approx(0.5)


def test_row_reports_range_and_median_over_seeds() -> None:
    results = [make_result({name: value * seed for name, value in LINEAR_FIGURES.items()}, seed) for seed in (3, 1, 2)]
    row_result = evaluate_row(make_row(), results, PLAN)
    assert row_result.value is not None and row_result.slope is not None
    assert (row_result.value.least, row_result.value.median, row_result.value.most) == pytest.approx(
        (161.0, 322.0, 483.0)
    )
    assert row_result.seeds == (1, 2, 3) and row_result.date == "2026-12-03" and row_result.standing == "over"


def test_row_without_results_or_mechanism_is_marked() -> None:
    assert evaluate_row(make_row(), [], PLAN).standing == "not measured"
    assert evaluate_row(make_row(), [make_result(LINEAR_FIGURES, name="scale-y")], PLAN).standing == "not measured"
    assert evaluate_row(make_row(mechanism=""), [make_result(LINEAR_FIGURES)], PLAN).standing == "missing"


def test_results_without_the_needed_figures_are_rejected() -> None:
    with pytest.raises(CapacityError, match="scale-x"):
        evaluate_row(make_row(), [make_result({"cpu_10_known": 1.0, "other_20_known": 1.0})], PLAN)


def test_row_without_a_line_breaks_at_the_largest_size_within_budget() -> None:
    served_shares = {
        f"served_share_369_per_s_{known_count}_known": share
        for known_count, share in ((30, 1.0), (150, 0.995), (400, 0.7), (1600, 0.02))
    }
    row = msgspec.structs.replace(make_row(budget=0.01), estimator=table.failed_share)
    row_result = evaluate_row(row, [make_result(served_shares)], PLAN)
    assert row_result.standing == "over" and row_result.breaks_at == pytest.approx(150 / 1600)
    assert row_result.value is not None and row_result.value.median == pytest.approx(0.98)


def test_seed_without_a_needed_figure_is_left_out() -> None:
    row_result = evaluate_row(
        make_row(), [make_result(LINEAR_FIGURES), make_result({}, 2), make_result(LINEAR_FIGURES, 3)], PLAN
    )
    assert (
        row_result.seeds == (1, 3) and row_result.value is not None and row_result.value.median == pytest.approx(161.0)
    )


def test_rows_without_mechanism_come_before_rows_by_breaking_size() -> None:
    rows = [make_row(budget=budget) for budget in (1000.0, 81.0, 41.0)] + [make_row(mechanism="")]
    row_results = first_limits_reached(evaluate(rows, [make_result(LINEAR_FIGURES)], PLAN))
    assert [row_result.standing for row_result in row_results] == ["missing", "over", "over", "carried"]
    assert [row_result.breaks_at for row_result in row_results[1:]] == pytest.approx([0.25, 0.5, 999 / 160])


@pytest.mark.parametrize(
    ("value_at_size", "growing_part", "budget", "share"),
    [
        (100.0, 100.0, 50.0, 0.5),
        (100.0, 50.0, 75.0, 0.5),
        (100.0, 50.0, 25.0, 0.0),
        (100.0, 0.0, 50.0, 0.0),
        (100.0, 0.0, 200.0, None),
        (100.0, -5.0, 200.0, None),
        (100.0, 50.0, 200.0, 3.0),
    ],
)
def test_share_of_the_size_at_which_a_budget_is_used_up(
    value_at_size: float, growing_part: float, budget: float, share: float | None
) -> None:
    assert share_at_budget(value_at_size, growing_part, budget) == share
    if share is not None and growing_part > 0:  # with quadratic growth, the share is the square root
        assert share_at_budget(value_at_size, growing_part, budget, 2) == pytest.approx(share**0.5)


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0.0, "0"),
        (0.00065432, "0.00065"),
        (0.0312, "0.0312"),
        (28.172, "28.2"),
        (999.4, "999"),
        (259101.9, "259,000"),
        (1450.8, "1,450"),
        (-1450.8, "-1,450"),
    ],
)
def test_numbers_have_three_significant_digits(value: float, text: str) -> None:
    assert format_number(value) == text


def test_result_is_kept_unless_the_run_had_a_seeded_fault(tmp_path: Path) -> None:
    run_folder, kept_folder = tmp_path / "run", tmp_path / "kept"
    run_folder.mkdir()
    kept_folder.mkdir()
    result = {"name": "scale-x", "seed": 2, "scale": "small", "claims": [], "figures": LINEAR_FIGURES, "versions": {}}
    (run_folder / "result.json").write_text(json.dumps(result))
    cli_result = CliRunner().invoke(main, ["experiment", "keep", str(run_folder), "--kept", str(kept_folder)])
    assert cli_result.exit_code == 0
    kept_results = read_results(kept_folder)
    assert [(kept_result.name, kept_result.seed, kept_result.figures) for kept_result in kept_results] == [
        ("scale-x", 2, LINEAR_FIGURES)
    ] and len(kept_results[0].date) == 10
    (run_folder / "result.json").write_text(json.dumps(result | {"plant": "spin"}))
    assert CliRunner().invoke(main, ["experiment", "keep", str(run_folder), "--kept", str(kept_folder)]).exit_code == 2
    (kept_folder / "scale-x-3.json").write_bytes((kept_folder / "scale-x-2.json").read_bytes())
    with pytest.raises(CapacityError, match=r"belongs in scale-x-2\.json"):
        read_results(kept_folder)


def test_every_row_names_an_experiment_or_has_a_note() -> None:
    measured_experiments = {row.experiment for row in ROWS if row.estimator is not None}
    assert measured_experiments <= BENCHMARKS.keys()
    assert all(row.note for row in ROWS if row.estimator is None or not row.mechanism)


def test_page_matches_the_kept_results() -> None:
    cli_result = CliRunner().invoke(
        main, ["experiment", "capacity", "--kept", str(KEPT_FOLDER), "--page", str(PAGE), "--check"]
    )
    assert cli_result.exit_code == 0, cli_result.stderr


def test_outdated_page_is_detected_and_updated(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(PAGE.read_text().replace("| carried |", "| over |", 1))
    command = ["experiment", "capacity", "--kept", str(KEPT_FOLDER), "--page", str(page)]
    assert CliRunner().invoke(main, [*command, "--check"]).exit_code == 1
    assert CliRunner().invoke(main, command).exit_code == 0
    assert page.read_text() == PAGE.read_text()
    page.write_text("no markers")
    assert CliRunner().invoke(main, command).exit_code == 2


def test_page_has_at_most_130_lines() -> None:
    assert len(PAGE.read_text().splitlines()) <= 130
