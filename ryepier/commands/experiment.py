"""`ryepier experiment`: list, run and report."""

from __future__ import annotations

import datetime
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import click
import msgspec

from ryepier.emulator.harness import HarnessError
from ryepier.experiments.catalogue import BENCHMARKS, EXPERIMENTS
from ryepier.experiments.core import contract, report
from ryepier.experiments.scale import capacity as table
from ryepier.experiments.scale import capacity_rows
from ryepier.experiments.scale.lightweight import InsufficientResourcesError

ALL: dict[str, contract.Experiment | contract.Benchmark] = {**EXPERIMENTS, **BENCHMARKS}


@click.group()
def experiment() -> None:
    """Play named experiments and judge them."""


@experiment.command("list")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_all(as_json: bool) -> None:
    """What there is, with the mistakes that can be planted in each."""
    if as_json:
        print(
            json.dumps([{"name": e.name, "about": e.question, "plants": list(e.seeded_faults)} for e in ALL.values()])
        )
        return
    for one in ALL.values():
        print(
            f"{one.name:16} {one.question}"
            + (f" (plants: {', '.join(one.seeded_faults)})" if one.seeded_faults else "")
        )


def _checked_plant(one: contract.Experiment | contract.Benchmark, plant: str) -> str:
    if plant and plant not in one.seeded_faults:
        raise click.BadParameter(f"{one.name} has {', '.join(one.seeded_faults) or 'none'}", param_hint="--plant")
    return plant


@experiment.command()
@click.argument("name", type=click.Choice(sorted(ALL)))
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--scale", type=click.Choice(["small", "full"]), default="small", show_default=True)
@click.option("--out", "folder", type=click.Path(path_type=Path), help="For the results; by default out/NAME-SEED.")
@click.option("--plant", default="", help="Put in this mistake on purpose; a claim then fails.")
@click.option(
    "--backend",
    type=click.Choice(["sockets", "sim"]),
    default="sockets",
    show_default=True,
    help="Real sockets, or one process under virtual time.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the claims as JSON.")
def run(name: str, seed: int, scale: str, folder: Path | None, plant: str, backend: str, as_json: bool) -> None:
    """Play NAME, print a line a claim; exit 1 if one does not hold."""
    one = ALL[name]
    _checked_plant(one, plant)
    folder = folder or Path("out") / f"{name}-{seed}{'-' + plant if plant else ''}"
    size = cast(contract.Scale, scale)
    if isinstance(one, contract.Benchmark):
        if backend == "sim":
            raise click.BadParameter(f"{name} measures a part by itself", param_hint="--backend")
        claims = _failing_clearly(lambda: contract.run_benchmark(one, seed, size, folder, plant))
    else:
        claims = _failing_clearly(
            lambda: contract.run_experiment(one, seed, size, folder, plant, backend=cast(contract.Backend, backend))
        )
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
    except InsufficientResourcesError as error:
        print(f"ryepier experiment: {error}", file=sys.stderr)
        sys.exit(2)
    except (HarnessError, OSError) as error:
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


KEPT = click.option(
    "--kept",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default="docs/capacity",
    show_default=True,
    help="The folder of kept results and of plan.json.",
)


@experiment.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@KEPT
def keep(folder: Path, kept: Path) -> None:
    """Keep the result of the run in FOLDER for the capacity page, with the day it was written."""
    try:
        written = datetime.datetime.fromtimestamp((folder / contract.RESULT).stat().st_mtime, datetime.UTC)
        print(table.keep(folder, kept, written.date().isoformat()))
    except (OSError, table.CapacityError) as error:
        print(f"ryepier experiment keep: {error}", file=sys.stderr)
        sys.exit(2)


@experiment.command()
@KEPT
@click.option(
    "--page",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Make its tables again in place, rather than print them.",
)
@click.option("--check", is_flag=True, help="Write nothing; exit 1 if the page is not what the results say.")
@click.option("--json", "as_json", is_flag=True, help="Print the rows as JSON.")
def capacity(kept: Path, page: Path | None, check: bool, as_json: bool) -> None:
    """Work the capacity tables out from kept results and the size to design for."""
    if check and page is None:
        raise click.BadParameter("there is no --page to check", param_hint="--check")
    try:
        plan, results = table.read_plan(kept), table.read_kept(kept)
        made = table.parts(capacity_rows.ROWS, results, plan)
        if as_json:
            print(json.dumps(table.as_objects(table.work_out(capacity_rows.ROWS, results, plan))))
        elif page is None:
            print("\n\n".join(made.values()))
        else:
            before = page.read_text(encoding="utf-8")
            after = table.put_in(before, made)
            if not check:
                page.write_text(after, encoding="utf-8")
            elif before != after:
                print(f"ryepier experiment capacity: {page} is not what {kept} says", file=sys.stderr)
                sys.exit(1)
    except table.CapacityError as error:
        print(f"ryepier experiment capacity: {error}", file=sys.stderr)
        sys.exit(2)
