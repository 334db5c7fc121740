"""`ryepier experiment`: list, run and report."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import click
import msgspec

from ryepier.emulator.rig import RigError
from ryepier.experiments import contract, report
from ryepier.experiments.catalogue import EXPERIMENTS, MEASURED
from ryepier.experiments.hollow import NotSpared

ALL: dict[str, contract.Experiment | contract.Measured] = {**EXPERIMENTS, **MEASURED}


@click.group()
def experiment() -> None:
    """Play named experiments and judge them."""


@experiment.command("list")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_all(as_json: bool) -> None:
    """What there is, with the mistakes that can be planted in each."""
    if as_json:
        print(json.dumps([{"name": e.name, "about": e.about, "plants": list(e.plants)} for e in ALL.values()]))
        return
    for one in ALL.values():
        print(f"{one.name:16} {one.about}" + (f" (plants: {', '.join(one.plants)})" if one.plants else ""))


def _checked_plant(one: contract.Experiment | contract.Measured, plant: str) -> str:
    if plant and plant not in one.plants:
        raise click.BadParameter(f"{one.name} has {', '.join(one.plants) or 'none'}", param_hint="--plant")
    return plant


@experiment.command()
@click.argument("name", type=click.Choice(sorted(ALL)))
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--scale", type=click.Choice(["small", "full"]), default="small", show_default=True)
@click.option("--out", "folder", type=click.Path(path_type=Path), help="For the results; by default out/NAME-SEED.")
@click.option("--plant", default="", help="Put in this mistake on purpose; a claim then fails.")
@click.option("--backend", type=click.Choice(["sockets", "sim"]), default="sockets", show_default=True,
              help="Real sockets, or one process under virtual time.")
@click.option("--json", "as_json", is_flag=True, help="Print the claims as JSON.")
def run(name: str, seed: int, scale: str, folder: Path | None, plant: str, backend: str, as_json: bool) -> None:
    """Play NAME, print a line a claim; exit 1 if one does not hold."""
    one = ALL[name]
    _checked_plant(one, plant)
    folder = folder or Path("out") / f"{name}-{seed}{'-' + plant if plant else ''}"
    size = cast(contract.Scale, scale)
    if isinstance(one, contract.Measured):
        if backend == "sim":
            raise click.BadParameter(f"{name} measures a part by itself", param_hint="--backend")
        claims = _failing_clearly(lambda: contract.perform_measured(one, seed, size, folder, plant))
    else:
        claims = _failing_clearly(lambda: contract.perform(
            one, seed, size, folder, plant, backend=cast(contract.Backend, backend)))
        for happening in report.happenings(folder):
            print(f"{happening.at_us / 1e6:8.3f} s  {happening.text}", file=sys.stderr)
        print(f"report: {report.write(folder)}", file=sys.stderr)
    if as_json:
        print(json.dumps([msgspec.to_builtins(claim) | {"holds": claim.holds} for claim in claims]))
    else:
        for claim in claims:
            print(claim)
    if not all(claim.holds for claim in claims):
        sys.exit(1)


def _failing_clearly(work: Callable[[], Any]) -> Any:
    try:
        return work()
    except NotSpared as error:
        print(f"ryepier experiment: {error}", file=sys.stderr)
        sys.exit(2)
    except (RigError, OSError) as error:
        print(f"ryepier experiment: {error}", file=sys.stderr)
        sys.exit(1)


@experiment.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def write_report(folder: Path) -> None:
    """Write the report of the run in FOLDER anew."""
    try:
        print(report.write(folder))
    except (OSError, msgspec.MsgspecError) as error:
        print(f"ryepier experiment report: {folder}: no readable run: {error}", file=sys.stderr)
        sys.exit(2)
