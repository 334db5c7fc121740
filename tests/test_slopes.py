"""Tests fitted lines and spreads, and the limits on the resources that an experiment may use."""

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
def test_fit_recovers_a_line(per_unit: float, intercept: float) -> None:
    slope = slopes.fit(SIZES, [intercept + per_unit * size for size in SIZES])
    tolerance = max(1e-6, 1e-9 * (abs(intercept) + 1600 * abs(per_unit)))
    assert slope.per_unit == pytest.approx(per_unit, abs=tolerance)
    assert slope.intercept == pytest.approx(intercept, abs=tolerance)
    assert slope.largest_residual <= tolerance


def test_curvature_shows_in_the_residuals() -> None:
    fit_of_line = slopes.fit(SIZES, [3.0 * size + (-1) ** i for i, size in enumerate(SIZES)])
    fit_of_curve = slopes.fit(SIZES, [size * size for size in SIZES])
    assert fit_of_line.relative_residual < 0.01 < 0.1 < fit_of_curve.relative_residual


def test_values_outside_the_measured_sizes_are_extrapolated() -> None:
    slope = slopes.fit(SIZES, [2.0 * size + 5.0 for size in SIZES])
    assert [slope.at(size).is_extrapolated for size in (29, 30, 1600, 1601)] == [True, False, False, True]
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
def test_fit_rejects_unusable_points(sizes: tuple[float, ...], values: tuple[float, ...]) -> None:
    with pytest.raises(ValueError):
        slopes.fit(sizes, values)


def test_zero_figures_have_no_relative_residual() -> None:
    assert slopes.fit(SIZES, [0.0] * len(SIZES)).relative_residual == 0.0


def test_spread_over_seeds() -> None:
    assert slopes.spread([3.0, 1.0, 2.0]) == slopes.Spread(1.0, 2.0, 3.0)
    with pytest.raises(ValueError):
        slopes.spread([])


def test_machine_resources_are_read() -> None:
    assert read_machine(MEMINFO, 1024) == MachineResources(24_576_000_000, 15_360_000_000, 1024)
    assert this_machine().total_bytes > this_machine().available_bytes > 0


@pytest.mark.parametrize(
    ("requirements", "machine", "reason"),
    [
        (ResourceRequirements(9, GB), MachineResources(24 * GB, 15 * GB, 1024), "9 processes"),
        (ResourceRequirements(8, 11 * GB), MachineResources(64 * GB, 60 * GB, 1024), "at most 10.0 GB"),
        (ResourceRequirements(8, 5 * GB), MachineResources(8 * GB, 7 * GB, 1024), "at most 4.0 GB"),
        (ResourceRequirements(8, 5 * GB), MachineResources(24 * GB, 3 * GB, 1024), "only 3.0 GB"),
        (ResourceRequirements(1, GB, sockets=1000), MachineResources(24 * GB, 15 * GB, 1024), "1000 sockets"),
    ],
)
def test_requirements_beyond_the_machine_are_rejected(
    requirements: ResourceRequirements, machine: MachineResources, reason: str
) -> None:
    with pytest.raises(InsufficientResourcesError, match=reason):
        check_requirements(requirements, machine)


def test_requirements_within_the_machine_are_accepted() -> None:
    check_requirements(ResourceRequirements(8, 10 * GB, sockets=400), MachineResources(24 * GB, 15 * GB, 1024))


def test_experiment_with_excessive_requirements_exits_with_status_2(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    def measure(*_: object) -> NoReturn:
        raise InsufficientResourcesError("9 processes required, at most 8 are allowed")

    monkeypatch.setitem(experiment.ALL_EXPERIMENTS, "planner-scale", Benchmark("planner-scale", "", measure, ()))
    cli_result = CliRunner().invoke(main, ["experiment", "run", "planner-scale", "--out", str(tmp_path)])
    assert cli_result.exit_code == 2 and "9 processes" in cli_result.stderr


def test_usage_of_a_process_is_read() -> None:
    before = own_usage()
    allocated_bytes = bytes(range(256)) * 200_000
    total = sum(allocated_bytes)
    after, usage_by_pid = own_usage(), usage(os.getpid())
    assert total and after.cpu_s_since(before) > 0.0
    assert after.resident_bytes - before.resident_bytes > 40_000_000
    assert abs(usage_by_pid.cpu_s - after.cpu_s) < 0.5
    assert 0.5 < usage_by_pid.resident_bytes / after.resident_bytes < 2.0
