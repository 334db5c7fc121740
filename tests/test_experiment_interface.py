"""The names that callers of the experiments rely on, compared with a recorded list; a name may be added, never changed.

The list holds the commands' options and arguments, experiments, claims, seeded faults, figures, the fields and files
of a result, and the judge's rules. `test_exit_codes` holds the exit codes.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
import pytest
from click.testing import CliRunner

from ryepier import cli
from ryepier.commands import experiment as command
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.records import History, Incarnation
from ryepier.emulator.world import World
from ryepier.experiments import catalogue, seeded_faults
from ryepier.experiments.core import contract, judge, report, runner
from ryepier.experiments.core.contract import Benchmark, Claim, Experiment, Measurement, Run, Scale, TrialConfig
from ryepier.experiments.core.machine import InsufficientResourcesError

RECORDED = Path(__file__).parent / "fixtures" / "experiments_interface.json"
NEEDS_TRAFFIC = {"load-spread-lists"}  # its claims divide by the number of requests


def recorded() -> dict[str, Any]:
    content: dict[str, Any] = json.loads(RECORDED.read_text())
    return content


def empty_run(world: World, folder: Path) -> Run:
    lives = [
        Incarnation(sidecar, 0, 0, samples=[(1_000_000, 0, 1000), (2_000_000, 1000, 1000)])
        for sidecar in range(world.sidecars.count)
    ]
    return Run(world, 1, History([], [], [], lives, [], [], []), [], [], folder)


def run_without_traffic(experiment: Experiment, folder: Path) -> Run:
    world = experiment.world(Scale.SMALL)
    run = empty_run(world, folder)
    if experiment.control_world is None:
        return run
    other = empty_run(experiment.control_world(world), folder)
    return Run(run.world, run.seed, run.history, run.operations, run.breaches, run.folder, other)


def claim_names(experiment: Experiment, folder: Path) -> list[str]:
    if experiment.name in NEEDS_TRAFFIC:
        return []
    run = run_without_traffic(experiment, folder)
    return [claim.name for claim in experiment.claims(run)]


def parameters(group: click.Command, prefix: str = "") -> dict[str, list[str]]:
    """The options and arguments of a command and all below it, by the command's words."""
    found: dict[str, list[str]] = {}
    for name, one in getattr(group, "commands", {}).items():
        found |= parameters(one, f"{prefix} {name}")
    if not found:
        found[prefix] = sorted(
            word
            for parameter in group.params
            for word in (parameter.opts if isinstance(parameter, click.Option) else [parameter.human_readable_name])
        )
    return found


def choices(group: click.Command, prefix: str = "") -> dict[str, list[str]]:
    """The values that options and arguments may have, by the command's words and the option."""
    found: dict[str, list[str]] = {}
    for name, one in getattr(group, "commands", {}).items():
        found |= choices(one, f"{prefix} {name}")
    for parameter in group.params:
        if isinstance(parameter.type, click.Choice):
            found[f"{prefix} {parameter.opts[0]}"] = [str(choice) for choice in parameter.type.choices]
    return found


def loaded_commands() -> dict[str, click.Command]:
    group = cli.main
    assert isinstance(group, cli.Commands)
    found = {}
    for name in cli.COMMANDS:
        loaded = group.get_command(click.Context(group), name)
        assert loaded is not None
        found[name] = loaded
    return found


@pytest.mark.parametrize("name", sorted(recorded()["experiments"]))
def test_experiments_keep_their_names_and_seeded_faults(name: str) -> None:
    one = command.ALL_EXPERIMENTS[name]
    before = recorded()["experiments"][name]
    assert list(one.seeded_faults) == before["seeded_faults"]
    assert isinstance(one, Benchmark) == before["measured"]


@pytest.mark.parametrize("name", sorted(recorded()["claims"]))
def test_claims_keep_their_names_and_order(name: str, tmp_path: Path) -> None:
    experiment = catalogue.EXPERIMENTS[name]
    assert claim_names(experiment, tmp_path) == recorded()["claims"][name]
    assert list(experiment.rules) == recorded()["rules"][name]


def test_every_experiment_is_recorded() -> None:
    assert set(recorded()["experiments"]) <= set(command.ALL_EXPERIMENTS)
    assert set(recorded()["claims"]) == set(catalogue.EXPERIMENTS) - NEEDS_TRAFFIC


def test_seeded_faults_keep_their_names() -> None:
    assert set(recorded()["seeded_faults"]) <= set(seeded_faults.SEEDED_FAULTS)


def test_commands_keep_their_options() -> None:
    now: dict[str, list[str]] = {}
    for name, loaded in loaded_commands().items():
        now |= parameters(loaded, name)
    for name, words in recorded()["commands"].items():
        assert set(words) <= set(now[name]), name


def test_options_keep_the_values_that_they_may_have() -> None:
    now: dict[str, list[str]] = {}
    for name, loaded in loaded_commands().items():
        now |= choices(loaded, name)
    for option, values in recorded()["choices"].items():
        assert set(values) <= set(now[option]), option


def test_results_keep_their_fields_and_files() -> None:
    before = recorded()["result"]
    assert list(contract.Result.__struct_encode_fields__) == before["fields"]
    assert [*Claim.__struct_encode_fields__, "holds"] == before["claim_fields"]
    assert before["files"] == [
        contract.RESULT_FILE,
        contract.HISTORY_FILE,
        contract.WORLD_FILE,
        contract.BREACHES_FILE,
        report.REPORT_FILE,
    ]


def test_rules_of_the_judge_keep_their_names() -> None:
    assert list(judge.RULES) == recorded()["judge_rules"]


def measuring(value: float) -> Any:
    """A measurement with one claim, which holds for values up to 2."""

    def measure(trial: TrialConfig) -> Measurement:
        return Measurement([Claim("one", value, "<=", 2.0)], {"figure": 3.0})

    return measure


def test_a_result_is_written_with_the_recorded_fields(tmp_path: Path) -> None:
    stub = Benchmark("stub", "", measuring(1.0), ())
    runner.run_benchmark(stub, TrialConfig(1, Scale.SMALL, tmp_path))
    written = json.loads((tmp_path / "result.json").read_text())
    assert list(written) == recorded()["result"]["fields"]
    assert list(written["claims"][0]) == recorded()["result"]["claim_fields"]
    assert written["claims"][0] == {"name": "one", "value": 1.0, "op": "<=", "bound": 2.0, "holds": True}


def raising(error: Exception) -> Any:
    def measure(trial: TrialConfig) -> Measurement:
        raise error

    return measure


@pytest.mark.parametrize(
    ("measure", "exit_code"),
    [
        (measuring(1.0), 0),
        (measuring(3.0), 1),
        (raising(HarnessError("no network")), 1),
        (raising(OSError("no disk")), 1),
        (raising(InsufficientResourcesError("no memory")), 2),
    ],
)
def test_exit_codes(measure: Any, exit_code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(command.ALL_EXPERIMENTS, "scale-depth", Benchmark("scale-depth", "", measure, ("no-budget",)))
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
def test_misuse_ends_with_2(arguments: list[str]) -> None:
    assert CliRunner().invoke(cli.main, arguments).exit_code == 2
