"""`ryepier experiment`: list experiments, run them, and write their reports."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec

from ryepier.commands import capacity as capacity_commands
from ryepier.commands.console import exit_if_claim_fails, format_events
from ryepier.commands.exits import ExitCode, fail
from ryepier.emulator.errors import HarnessError
from ryepier.experiments.catalogue import BENCHMARKS, EXPERIMENTS
from ryepier.experiments.core import contract, report, runner
from ryepier.experiments.core.contract import Benchmark, Claim, Experiment, Scale
from ryepier.experiments.core.machine import InsufficientResourcesError

ALL_EXPERIMENTS: dict[str, Experiment | Benchmark] = {**EXPERIMENTS, **BENCHMARKS}


@click.group()
def experiment() -> None:
    """Run named experiments and check their claims."""


experiment.add_command(capacity_commands.keep)
experiment.add_command(capacity_commands.capacity)


@experiment.command("list")
@click.option("--json", "as_json", is_flag=True, help="Print the list as JSON.")
def list_all(as_json: bool) -> None:
    """List the experiments, with the seeded faults that each can be run with."""
    if as_json:
        entries = [
            {
                "name": listed_experiment.name,
                "about": listed_experiment.description,
                "plants": list(listed_experiment.seeded_faults),
            }
            for listed_experiment in ALL_EXPERIMENTS.values()
        ]
        print(json.dumps(entries))
        return
    for listed_experiment in ALL_EXPERIMENTS.values():
        faults_text = (
            f" (seeded faults: {', '.join(listed_experiment.seeded_faults)})" if listed_experiment.seeded_faults else ""
        )
        print(f"{listed_experiment.name:16} {listed_experiment.description}{faults_text}")


@experiment.command()
@click.argument("name", type=click.Choice(sorted(ALL_EXPERIMENTS)))
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option(
    "--scale", type=click.Choice([scale.value for scale in Scale]), default=Scale.SMALL.value, show_default=True
)
@click.option("--out", "folder", type=click.Path(path_type=Path), help="Folder for the results; default out/NAME-SEED.")
@click.option("--plant", "seeded_fault", default="", help="Run with this seeded fault; a claim must then fail.")
@click.option(
    "--backend",
    type=click.Choice([backend.value for backend in contract.Backend]),
    default=contract.Backend.SOCKETS.value,
    show_default=True,
    help="Real sockets, or one process under virtual time.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the claims as JSON.")
def run(name: str, seed: int, scale: str, folder: Path | None, seeded_fault: str, backend: str, as_json: bool) -> None:
    """Run the experiment NAME and print a line per claim; exit with 1 if one does not hold."""
    selected_experiment = ALL_EXPERIMENTS[name]
    _check_seeded_fault(selected_experiment, seeded_fault)
    folder = folder or Path("out") / f"{name}-{seed}{'-' + seeded_fault if seeded_fault else ''}"
    trial = contract.TrialConfig(seed, Scale(scale), folder, seeded_fault)
    try:
        claims = _run(selected_experiment, trial, contract.Backend(backend))
    except InsufficientResourcesError as error:
        fail("experiment", error, ExitCode.MISUSE)
    except (HarnessError, OSError) as error:
        fail("experiment", error, ExitCode.FAILURE)
    if isinstance(selected_experiment, Experiment):
        _write_report(folder)
    _print_claims(claims, as_json)
    exit_if_claim_fails(claims)


def _check_seeded_fault(selected_experiment: Experiment | Benchmark, seeded_fault: str) -> None:
    if seeded_fault and seeded_fault not in selected_experiment.seeded_faults:
        known_faults = ", ".join(selected_experiment.seeded_faults) or "none"
        raise click.BadParameter(
            f"unknown seeded fault; those of {selected_experiment.name}: {known_faults}", param_hint="--plant"
        )


def _run(
    selected_experiment: Experiment | Benchmark, trial: contract.TrialConfig, backend: contract.Backend
) -> list[Claim]:
    if isinstance(selected_experiment, Experiment):
        return runner.run_experiment(selected_experiment, trial, backend=backend)
    if backend is contract.Backend.SIM:
        raise click.BadParameter(
            f"{selected_experiment.name} is a benchmark and can't be simulated", param_hint="--backend"
        )
    return runner.run_benchmark(selected_experiment, trial)


def _write_report(folder: Path) -> None:
    for line in format_events(report.events(folder)):
        print(line, file=sys.stderr)
    print(f"report: {report.write(folder)}", file=sys.stderr)


def _print_claims(claims: Sequence[Claim], as_json: bool) -> None:
    if as_json:
        print(json.dumps([claim.as_fields() for claim in claims]))
        return
    for claim in claims:
        print(claim)


@experiment.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def write_report(folder: Path) -> None:
    """Write the report of the run in FOLDER again."""
    try:
        print(report.write(folder))
    except (OSError, msgspec.MsgspecError) as error:
        fail("experiment report", f"{folder}: can't read the run: {error}", ExitCode.MISUSE)
