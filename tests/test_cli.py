"""Tests of the command line: exit codes, error messages, JSON output and reports."""

from __future__ import annotations

import inspect
import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from ryepier.cli import main
from ryepier.emulator.records import History, Lateness
from ryepier.experiments import catalogue, seeded_faults
from ryepier.experiments.core import contract, report, runner
from ryepier.experiments.core.contract import Scale
from tests.test_experiment_judge import VALID_HISTORIES, WORLD


def invoke(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


def test_config_error_is_reported_with_its_line_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text("[logging]\nlevel = 3\n")
    result = invoke("config", "check", str(path))
    assert result.exit_code == 2 and f"{path}:2: logging.level: " in result.stderr and result.stdout == ""
    assert invoke("config", "check", str(tmp_path / "none.toml")).exit_code == 2


@pytest.mark.parametrize("address", ["10.0.0.1:80", "example.org:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999"])
def test_load_accepts_only_loopback_addresses(address: str) -> None:
    result = invoke("load", address, "--seconds", "0.5")
    assert result.exit_code == 2 and "HOST:PORT" in result.stderr


def test_seeded_fault_names_are_unique_across_packages() -> None:
    fault_modules = [
        module
        for module in vars(seeded_faults).values()
        if inspect.ismodule(module) and hasattr(module, "SEEDED_FAULTS")
    ]
    fault_names = [name for module in fault_modules for name in module.SEEDED_FAULTS]
    assert len(fault_modules) >= 7 and sorted(fault_names) == sorted(seeded_faults.SEEDED_FAULTS)


def test_listed_experiments_name_existing_seeded_faults() -> None:
    listed_experiments = json.loads(invoke("experiment", "list", "--json").stdout)
    assert {"steady", "release", "hang", "surge", "sidecar-kill", "breaking-point"} <= {
        entry["name"] for entry in listed_experiments
    }
    assert all(
        seeded_fault in seeded_faults.SEEDED_FAULTS
        for entry in listed_experiments
        if entry["name"] in catalogue.EXPERIMENTS
        for seeded_fault in entry["plants"]
    )
    assert invoke("experiment", "run", "steady", "--plant", "nonsense").exit_code == 2


@pytest.mark.parametrize("name", sorted(catalogue.EXPERIMENTS))
def test_each_world_can_be_built_at_both_scales(name: str) -> None:
    experiment = catalogue.EXPERIMENTS[name]
    assert experiment.world(Scale.SMALL).duration_s <= experiment.world(Scale.FULL).duration_s


def test_report_contains_the_claims_and_no_external_resources(tmp_path: Path) -> None:
    valid_history = VALID_HISTORIES["served"]()
    history = History(
        valid_history.client_attempts,
        valid_history.converter_attempts,
        [],
        valid_history.incarnations,
        [],
        [],
        [Lateness("clients", 1, 1, 1, 1)],
    )
    run = contract.Run(WORLD, 1, history, [], [], tmp_path)
    claim = {"name": "service", "value": 0.5, "op": ">=", "bound": 0.9, "holds": False}
    runner.save_run(run, contract.Result("hand", 1, Scale.SMALL, [claim], {"recovery_s": float("inf")}, {}))
    assert invoke("experiment", "report", str(tmp_path)).exit_code == 0
    text = (tmp_path / report.REPORT_FILE).read_text()
    assert "FAILS" in text and "never" in text and text.count("<svg") == 5
    assert "src=" not in text and "<link" not in text and "@import" not in text
    (tmp_path / contract.HISTORY_FILE).write_bytes(b"torn")
    assert invoke("experiment", "report", str(tmp_path)).exit_code == 2
