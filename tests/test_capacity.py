"""The capacity tables: from kept results to rows, and the page that holds them."""

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
from ryepier.experiments.scale.capacity.page import first_to_break, format_number
from ryepier.experiments.scale.capacity.plan import CapacityError, Plan, read_plan
from ryepier.experiments.scale.capacity.results import KeptResult, read_results
from ryepier.experiments.scale.capacity.rows import Row, SlopeUnit, evaluate, evaluate_row, share_at_budget
from ryepier.experiments.scale.capacity.table import ROWS

ROOT = Path(__file__).parent.parent
KEPT, PAGE = ROOT / "docs" / "capacity", ROOT / "docs" / "CAPACITY.md"
PLAN: Plan = read_plan(KEPT)
STEP = {"cpu_10_known": 2.0, "cpu_20_known": 3.0, "cpu_30_known": 4.0, "cpu_40_known": 5.0}  # 1 + size / 10


def kept(figures: Mapping[str, float], seed: int = 1, name: str = "scale-x", **more: object) -> KeptResult:
    values: dict[str, object] = {"claims": [], "versions": {"cores": "8"}, "date": f"2026-12-0{seed}"} | more
    return msgspec.convert({"name": name, "seed": seed, "scale": "full", "figures": figures} | values, KeptResult)


def a_row(budget: float = 200.0, mechanism: str = "watch", experiment: str = "scale-x", **more: Any) -> Row:
    return Row(
        role="Sidecar",
        resource="CPU",
        unit="ms",
        mechanism=mechanism,
        experiment=experiment,
        estimator=fitted_line("cpu_{}_known", lambda plan: plan.converters),
        slope=SlopeUnit("ms a converter"),
        budget=lambda plan: budget,
        **more,
    )


def test_a_row_is_its_line_at_the_size() -> None:
    line = evaluate_row(a_row(), [kept(STEP)], PLAN)
    assert line.standing == "carried" and line.is_extrapolated
    assert line.value is not None and line.value.median == pytest.approx(161.0)
    assert line.share == pytest.approx(0.805) and line.breaks_at == pytest.approx(199 / 160)
    assert line.slope is not None and line.slope.median == pytest.approx(0.1)


def test_over_its_budget_is_told_with_the_share_of_the_size_that_still_fits() -> None:
    line = evaluate_row(a_row(budget=81.0), [kept(STEP)], PLAN)
    assert line.standing == "over" and line.breaks_at == pytest.approx(0.5)


def test_seeds_are_spread_and_the_middle_one_counts() -> None:
    more = [kept({name: value * seed for name, value in STEP.items()}, seed) for seed in (3, 1, 2)]
    line = evaluate_row(a_row(), more, PLAN)
    assert line.value is not None and line.slope is not None
    assert (line.value.least, line.value.median, line.value.most) == pytest.approx((161.0, 322.0, 483.0))
    assert line.seeds == (1, 2, 3) and line.date == "2026-12-03" and line.standing == "over"


def test_without_results_or_mechanism_a_row_says_so() -> None:
    assert evaluate_row(a_row(), [], PLAN).standing == "not measured"
    assert evaluate_row(a_row(), [kept(STEP, name="scale-y")], PLAN).standing == "not measured"
    assert evaluate_row(a_row(mechanism=""), [kept(STEP)], PLAN).standing == "missing"


def test_results_that_lack_what_a_row_rests_on_are_refused() -> None:
    with pytest.raises(CapacityError, match="scale-x"):
        evaluate_row(a_row(), [kept({"cpu_10_known": 1.0, "other_20_known": 1.0})], PLAN)


def test_what_no_line_tells_breaks_beyond_the_largest_size_that_fits() -> None:
    served = {
        f"served_share_369_per_s_{known}_known": share
        for known, share in ((30, 1.0), (150, 0.995), (400, 0.7), (1600, 0.02))
    }
    row = msgspec.structs.replace(a_row(budget=0.01), estimator=table.failed_share)
    line = evaluate_row(row, [kept(served)], PLAN)
    assert line.standing == "over" and line.breaks_at == pytest.approx(150 / 1600)
    assert line.value is not None and line.value.median == pytest.approx(0.98)


def test_a_seed_that_lacks_a_figure_is_not_named() -> None:
    line = evaluate_row(a_row(), [kept(STEP), kept({}, 2), kept(STEP, 3)], PLAN)
    assert line.seeds == (1, 3) and line.value is not None and line.value.median == pytest.approx(161.0)


def test_what_breaks_first_is_what_is_missing_and_then_by_size() -> None:
    rows = [a_row(budget=budget) for budget in (1000.0, 81.0, 41.0)] + [a_row(mechanism="")]
    order = first_to_break(evaluate(rows, [kept(STEP)], PLAN))
    assert [line.standing for line in order] == ["missing", "over", "over", "carried"]
    assert [line.breaks_at for line in order[1:]] == pytest.approx([0.25, 0.5, 999 / 160])


@pytest.mark.parametrize(
    ("at_size", "grows", "budget", "share"),
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
def test_the_share_of_the_size_at_which_a_budget_is_used(
    at_size: float, grows: float, budget: float, share: float | None
) -> None:
    assert share_at_budget(at_size, grows, budget) == share
    if share is not None and grows > 0:  # what grows as the square of the size has used it up later, or later still
        assert share_at_budget(at_size, grows, budget, 2) == pytest.approx(share**0.5)


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
def test_a_number_has_three_digits(value: float, text: str) -> None:
    assert format_number(value) == text


def test_a_run_is_kept_and_one_with_a_planted_mistake_is_not(tmp_path: Path) -> None:
    run, folder = tmp_path / "run", tmp_path / "kept"
    run.mkdir()
    folder.mkdir()
    result = {"name": "scale-x", "seed": 2, "scale": "small", "claims": [], "figures": STEP, "versions": {}}
    (run / "result.json").write_text(json.dumps(result))
    got = CliRunner().invoke(main, ["experiment", "keep", str(run), "--kept", str(folder)])
    assert got.exit_code == 0
    again = read_results(folder)
    assert [(one.name, one.seed, one.figures) for one in again] == [("scale-x", 2, STEP)] and len(again[0].date) == 10
    (run / "result.json").write_text(json.dumps(result | {"plant": "spin"}))
    assert CliRunner().invoke(main, ["experiment", "keep", str(run), "--kept", str(folder)]).exit_code == 2
    (folder / "scale-x-3.json").write_bytes((folder / "scale-x-2.json").read_bytes())
    with pytest.raises(CapacityError, match=r"belongs in scale-x-2\.json"):
        read_results(folder)


def test_every_row_names_an_experiment_that_exists_or_says_how_it_would_be_measured() -> None:
    measured = {row.experiment for row in ROWS if row.estimator is not None}
    assert measured <= BENCHMARKS.keys()
    assert all(row.note for row in ROWS if row.estimator is None or not row.mechanism)


def test_the_page_is_what_the_kept_results_say() -> None:
    got = CliRunner().invoke(main, ["experiment", "capacity", "--kept", str(KEPT), "--page", str(PAGE), "--check"])
    assert got.exit_code == 0, got.stderr


def test_a_page_that_says_otherwise_is_found_and_made_again(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(PAGE.read_text().replace("| carried |", "| over |", 1))
    ask = ["experiment", "capacity", "--kept", str(KEPT), "--page", str(page)]
    assert CliRunner().invoke(main, [*ask, "--check"]).exit_code == 1
    assert CliRunner().invoke(main, ask).exit_code == 0
    assert page.read_text() == PAGE.read_text()
    page.write_text("no markers")
    assert CliRunner().invoke(main, ask).exit_code == 2


def test_the_page_keeps_to_two_pages_of_words() -> None:
    assert len(PAGE.read_text().splitlines()) <= 130
