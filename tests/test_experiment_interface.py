"""Compares the names that users of the experiments rely on with a recorded list. Names may be added, never changed.

The list contains the commands' options and arguments, the experiments, claims, seeded faults and figures, the fields
and files of a result, and the names of the rules. `test_exit_codes` checks the exit codes.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
import pytest
from click.testing import CliRunner

from ryepier import cli
from ryepier.commands import experiment as experiment_command
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.records import History, Incarnation
from ryepier.emulator.world import World
from ryepier.experiments import catalogue, seeded_faults
from ryepier.experiments.core import contract, judge, report, runner
from ryepier.experiments.core.contract import Benchmark, Claim, Experiment, Measurement, Run, Scale, TrialConfig
from ryepier.experiments.core.machine import InsufficientResourcesError

RECORDED_INTERFACE = Path(__file__).parent / "fixtures" / "experiments_interface.json"
EXPERIMENTS_NEEDING_TRAFFIC = {"load-spread-lists"}  # experiments whose claims divide by the number of requests


def recorded_interface() -> dict[str, Any]:
    content: dict[str, Any] = json.loads(RECORDED_INTERFACE.read_text())
    return content


def empty_run(world: World, folder: Path) -> Run:
    incarnations = [
        Incarnation(sidecar, 0, 0, samples=[(1_000_000, 0, 1000), (2_000_000, 1000, 1000)])
        for sidecar in range(world.sidecars.count)
    ]
    return Run(world, 1, History([], [], [], incarnations, [], [], []), [], [], folder)


def run_without_traffic(experiment: Experiment, folder: Path) -> Run:
    world = experiment.world(Scale.SMALL)
    run = empty_run(world, folder)
    if experiment.control_world is None:
        return run
    control = empty_run(experiment.control_world(world), folder)
    return Run(run.world, run.seed, run.history, run.operations, run.breaches, run.folder, control)


def claim_names(experiment: Experiment, folder: Path) -> list[str]:
    if experiment.name in EXPERIMENTS_NEEDING_TRAFFIC:
        return []
    run = run_without_traffic(experiment, folder)
    return [claim.name for claim in experiment.claims(run)]


def parameters(group: click.Command, prefix: str = "") -> dict[str, list[str]]:
    """Return the options and arguments of a command and of its subcommands, by command with its subcommand."""
    parameters_by_command: dict[str, list[str]] = {}
    for name, subcommand in getattr(group, "commands", {}).items():
        parameters_by_command |= parameters(subcommand, f"{prefix} {name}")
    if not parameters_by_command:
        parameters_by_command[prefix] = sorted(
            option
            for parameter in group.params
            for option in (parameter.opts if isinstance(parameter, click.Option) else [parameter.human_readable_name])
        )
    return parameters_by_command


def choices(group: click.Command, prefix: str = "") -> dict[str, list[str]]:
    """Return the choices of options and arguments, by command with its subcommand and parameter."""
    choices_by_parameter: dict[str, list[str]] = {}
    for name, subcommand in getattr(group, "commands", {}).items():
        choices_by_parameter |= choices(subcommand, f"{prefix} {name}")
    for parameter in group.params:
        if isinstance(parameter.type, click.Choice):
            choices_by_parameter[f"{prefix} {parameter.opts[0]}"] = [str(choice) for choice in parameter.type.choices]
    return choices_by_parameter


def loaded_commands() -> dict[str, click.Command]:
    group = cli.main
    assert isinstance(group, cli.Commands)
    commands = {}
    for name in cli.COMMANDS:
        loaded_command = group.get_command(click.Context(group), name)
        assert loaded_command is not None
        commands[name] = loaded_command
    return commands


@pytest.mark.parametrize("name", sorted(recorded_interface()["experiments"]))
def test_experiments_keep_their_names_and_seeded_faults(name: str) -> None:
    experiment = experiment_command.ALL_EXPERIMENTS[name]
    recorded_experiment = recorded_interface()["experiments"][name]
    assert list(experiment.seeded_faults) == recorded_experiment["seeded_faults"]
    assert isinstance(experiment, Benchmark) == recorded_experiment["measured"]


@pytest.mark.parametrize("name", sorted(recorded_interface()["claims"]))
def test_claims_keep_their_names_and_order(name: str, tmp_path: Path) -> None:
    experiment = catalogue.EXPERIMENTS[name]
    assert claim_names(experiment, tmp_path) == recorded_interface()["claims"][name]
    assert list(experiment.rules) == recorded_interface()["rules"][name]


def test_every_experiment_is_recorded() -> None:
    assert set(recorded_interface()["experiments"]) <= set(experiment_command.ALL_EXPERIMENTS)
    assert set(recorded_interface()["claims"]) == set(catalogue.EXPERIMENTS) - EXPERIMENTS_NEEDING_TRAFFIC


def test_seeded_faults_keep_their_names() -> None:
    assert set(recorded_interface()["seeded_faults"]) <= set(seeded_faults.SEEDED_FAULTS)


def test_commands_keep_their_options() -> None:
    current_parameters: dict[str, list[str]] = {}
    for name, loaded_command in loaded_commands().items():
        current_parameters |= parameters(loaded_command, name)
    for name, recorded_parameters in recorded_interface()["commands"].items():
        assert set(recorded_parameters) <= set(current_parameters[name]), name


def test_options_keep_their_choices() -> None:
    current_choices: dict[str, list[str]] = {}
    for name, loaded_command in loaded_commands().items():
        current_choices |= choices(loaded_command, name)
    for option, values in recorded_interface()["choices"].items():
        assert set(values) <= set(current_choices[option]), option


def test_results_keep_their_fields_and_files() -> None:
    recorded_result = recorded_interface()["result"]
    assert list(contract.Result.__struct_encode_fields__) == recorded_result["fields"]
    assert [*Claim.__struct_encode_fields__, "holds"] == recorded_result["claim_fields"]
    assert recorded_result["files"] == [
        contract.RESULT_FILE,
        contract.HISTORY_FILE,
        contract.WORLD_FILE,
        contract.BREACHES_FILE,
        report.REPORT_FILE,
    ]


def test_rules_keep_their_names() -> None:
    assert list(judge.RULES) == recorded_interface()["judge_rules"]


def measure_returning(value: float) -> Any:
    """Return a benchmark's `measure` whose single claim holds for values up to 2."""

    def measure(trial: TrialConfig) -> Measurement:
        return Measurement([Claim("one", value, "<=", 2.0)], {"figure": 3.0})

    return measure


def test_a_result_is_written_with_the_recorded_fields(tmp_path: Path) -> None:
    stub_benchmark = Benchmark("stub", "", measure_returning(1.0), ())
    runner.run_benchmark(stub_benchmark, TrialConfig(1, Scale.SMALL, tmp_path))
    written_result = json.loads((tmp_path / "result.json").read_text())
    assert list(written_result) == recorded_interface()["result"]["fields"]
    assert list(written_result["claims"][0]) == recorded_interface()["result"]["claim_fields"]
    assert written_result["claims"][0] == {"name": "one", "value": 1.0, "op": "<=", "bound": 2.0, "holds": True}


def measure_raising(error: Exception) -> Any:
    def measure(trial: TrialConfig) -> Measurement:
        raise error

    return measure


@pytest.mark.parametrize(
    ("measure", "exit_code"),
    [
        (measure_returning(1.0), 0),
        (measure_returning(3.0), 1),
        (measure_raising(HarnessError("no network")), 1),
        (measure_raising(OSError("no disk")), 1),
        (measure_raising(InsufficientResourcesError("no memory")), 2),
    ],
)
def test_exit_codes(measure: Any, exit_code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(
        experiment_command.ALL_EXPERIMENTS, "scale-depth", Benchmark("scale-depth", "", measure, ("no-budget",))
    )
    arguments = ["experiment", "run", "scale-depth", "--out", str(tmp_path)]
    assert CliRunner().invoke(cli.main, arguments).exit_code == exit_code


@pytest.mark.parametrize(
    "arguments",
    [
        ["experiment", "run", "nonsense"],
        ["experiment", "run", "steady", "--plant", "nonsense"],
        ["experiment", "run", "scale-depth", "--backend", "sim"],
        ["experiment", "run", "steady", "--scale", "medium"],
        ["experiment", "report", "no-such-folder"],
        ["experiment", "capacity", "--check"],
        ["sim", "run", "nonsense"],
        ["sim", "replay", "no-such-file"],
        ["check", "trace", "no-such-file"],
        ["config", "check", "no-such-file"],
    ],
)
def test_misuse_exits_with_2(arguments: list[str]) -> None:
    assert CliRunner().invoke(cli.main, arguments).exit_code == 2
