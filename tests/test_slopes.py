"""Lines through what was measured, and what a test may ask of the machine."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NoReturn

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from ryepier.cli import main
from ryepier.commands import experiment
from ryepier.experiments.core.contract import Benchmark
from ryepier.experiments.core.machine import (
    InsufficientResourcesError,
    MachineResources,
    ResourceRequirements,
    check_requirements,
    read_machine,
    this_machine,
)
from ryepier.experiments.core.usage import own_usage, usage
from ryepier.experiments.scale import slopes

SIZES = (30, 150, 400, 800, 1600)
GB = 10**9
MEMINFO = "MemTotal:       24000000 kB\nMemFree:         1000000 kB\nMemAvailable:   15000000 kB\n"


@given(st.floats(-1e3, 1e3), st.floats(-1e6, 1e6))
def test_a_line_is_found_again(per_unit: float, intercept: float) -> None:
    slope = slopes.fit(SIZES, [intercept + per_unit * size for size in SIZES])
    near = max(1e-6, 1e-9 * (abs(intercept) + 1600 * abs(per_unit)))
    assert slope.per_unit == pytest.approx(per_unit, abs=near)
    assert slope.intercept == pytest.approx(intercept, abs=near)
    assert slope.largest_residual <= near


def test_a_bend_shows_in_the_residuals() -> None:
    straight = slopes.fit(SIZES, [3.0 * size + (-1) ** i for i, size in enumerate(SIZES)])
    bent = slopes.fit(SIZES, [size * size for size in SIZES])
    assert straight.relative_residual < 0.01 < 0.1 < bent.relative_residual


def test_beyond_what_was_measured_a_value_is_told_to_be_so() -> None:
    slope = slopes.fit(SIZES, [2.0 * size + 5.0 for size in SIZES])
    assert [slope.at(size).extrapolated for size in (29, 30, 1600, 1601)] == [True, False, False, True]
    assert slope.at(3200).value == pytest.approx(6405.0)


@pytest.mark.parametrize(
    ("sizes", "values"),
    [
        ((1, 2, 3), (1.0, 2.0, 3.0)),
        ((1, 2, 3, 3), (1.0, 2.0, 3.0, 3.0)),
        ((1, 2, 3, 4), (1.0, 2.0, 3.0)),
        ((1, 2, 3, 4), (1.0, 2.0, float("nan"), 4.0)),
        ((1, 2, 3, float("inf")), (1.0, 2.0, 3.0, 4.0)),
    ],
)
def test_what_makes_no_line_is_refused(sizes: tuple[float, ...], values: tuple[float, ...]) -> None:
    with pytest.raises(ValueError):
        slopes.fit(sizes, values)


def test_figures_that_are_all_nought_have_no_residual() -> None:
    assert slopes.fit(SIZES, [0.0] * len(SIZES)).relative_residual == 0.0


def test_the_spread_over_seeds() -> None:
    assert slopes.spread([3.0, 1.0, 2.0]) == slopes.Spread(1.0, 2.0, 3.0)
    with pytest.raises(ValueError):
        slopes.spread([])


def test_a_machine_is_read() -> None:
    assert read_machine(MEMINFO, 1024) == MachineResources(24_576_000_000, 15_360_000_000, 1024)
    assert this_machine().total_bytes > this_machine().available_bytes > 0


@pytest.mark.parametrize(
    ("needs", "machine", "why"),
    [
        (ResourceRequirements(9, GB), MachineResources(24 * GB, 15 * GB, 1024), "9 processes"),
        (ResourceRequirements(8, 11 * GB), MachineResources(64 * GB, 60 * GB, 1024), "at most 10.0 GB"),
        (ResourceRequirements(8, 5 * GB), MachineResources(8 * GB, 7 * GB, 1024), "at most 4.0 GB"),
        (ResourceRequirements(8, 5 * GB), MachineResources(24 * GB, 3 * GB, 1024), "only 3.0 GB"),
        (ResourceRequirements(1, GB, sockets=1000), MachineResources(24 * GB, 15 * GB, 1024), "1000 sockets"),
    ],
)
def test_what_the_machine_cannot_spare_is_refused(
    needs: ResourceRequirements, machine: MachineResources, why: str
) -> None:
    with pytest.raises(InsufficientResourcesError, match=why):
        check_requirements(needs, machine)


def test_what_it_can_spare_is_let_through() -> None:
    check_requirements(ResourceRequirements(8, 10 * GB, sockets=400), MachineResources(24 * GB, 15 * GB, 1024))


def test_an_experiment_that_asks_too_much_is_misuse(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    def ask(*_: object) -> NoReturn:
        raise InsufficientResourcesError("9 processes asked for, at most 8 may be")

    monkeypatch.setitem(experiment.ALL_EXPERIMENTS, "planner-scale", Benchmark("planner-scale", "", ask, ()))
    got = CliRunner().invoke(main, ["experiment", "run", "planner-scale", "--out", str(tmp_path)])
    assert got.exit_code == 2 and "9 processes" in got.stderr


def test_a_process_reads_its_own_use() -> None:
    before = own_usage()
    kept = bytes(range(256)) * 200_000
    total = sum(kept)
    after, by_pid = own_usage(), usage(os.getpid())
    assert total and after.cpu_s_since(before) > 0.0
    assert after.resident_bytes - before.resident_bytes > 40_000_000
    assert abs(by_pid.cpu_s - after.cpu_s) < 0.5
    assert 0.5 < by_pid.resident_bytes / after.resident_bytes < 2.0
