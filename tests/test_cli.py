"""The command line: exit codes, errors in a line, results for programs."""

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
from tests.test_experiment_judge import GOOD, WORLD


def invoke(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


def test_a_file_with_a_mistake_is_told_of_by_its_place_and_ends_with_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text("[logging]\nlevel = 3\n")
    got = invoke("config", "check", str(path))
    assert got.exit_code == 2 and f"{path}:2: logging.level: " in got.stderr and got.stdout == ""
    assert invoke("config", "check", str(tmp_path / "none.toml")).exit_code == 2


@pytest.mark.parametrize("address", ["10.0.0.1:80", "example.org:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999"])
def test_load_goes_to_this_machine_only(address: str) -> None:
    got = invoke("load", address, "--seconds", "0.5")
    assert got.exit_code == 2 and "HOST:PORT" in got.stderr


def test_no_two_folders_plant_a_mistake_under_one_name() -> None:
    folders = [
        module
        for module in vars(seeded_faults).values()
        if inspect.ismodule(module) and hasattr(module, "SEEDED_FAULTS")
    ]
    names = [name for module in folders for name in module.SEEDED_FAULTS]
    assert len(folders) >= 7 and sorted(names) == sorted(seeded_faults.SEEDED_FAULTS)


def test_experiments_are_listed_with_plants_that_exist() -> None:
    listed = json.loads(invoke("experiment", "list", "--json").stdout)
    assert {"steady", "release", "hang", "surge", "sidecar-kill", "breaking-point"} <= {e["name"] for e in listed}
    assert all(
        plant in seeded_faults.SEEDED_FAULTS
        for e in listed
        if e["name"] in catalogue.EXPERIMENTS
        for plant in e["plants"]
    )
    assert invoke("experiment", "run", "steady", "--plant", "nonsense").exit_code == 2


@pytest.mark.parametrize("name", sorted(catalogue.EXPERIMENTS))
def test_each_world_can_be_built_at_both_scales(name: str) -> None:
    one = catalogue.EXPERIMENTS[name]
    assert one.world(Scale.SMALL).duration_s <= one.world(Scale.FULL).duration_s


def test_a_report_holds_the_claims_and_needs_nothing_from_elsewhere(tmp_path: Path) -> None:
    made = GOOD["served"]()
    history = History(
        made.client_attempts, made.converter_attempts, [], made.incarnations, [], [], [Lateness("clients", 1, 1, 1, 1)]
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
