"""`ryepier experiment keep` and `experiment capacity`: keep results for the capacity page, and compute its tables."""

from __future__ import annotations

import datetime
import json
from pathlib import Path

import click

from ryepier.commands.exits import ExitCode, fail
from ryepier.experiments.core import contract
from ryepier.experiments.scale.capacity import page as capacity_page
from ryepier.experiments.scale.capacity.plan import CapacityError, read_plan
from ryepier.experiments.scale.capacity.results import keep_result, read_results
from ryepier.experiments.scale.capacity.rows import evaluate
from ryepier.experiments.scale.capacity.table import ROWS

results_option = click.option(
    "--kept",
    "results_folder",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default="docs/capacity",
    show_default=True,
    help="The folder of kept results and of plan.json.",
)


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@results_option
def keep(folder: Path, results_folder: Path) -> None:
    """Keep the result of the run in FOLDER for the capacity page, with the day of the run."""
    try:
        written_at = datetime.datetime.fromtimestamp((folder / contract.RESULT_FILE).stat().st_mtime, datetime.UTC)
        print(keep_result(folder, results_folder, written_at.date().isoformat()))
    except (OSError, CapacityError) as error:
        fail("experiment keep", error, ExitCode.MISUSE)


@click.command()
@results_option
@click.option(
    "--page",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Update the tables of this page instead of printing them.",
)
@click.option("--check", is_flag=True, help="Write nothing; exit with 1 if the page differs from the kept results.")
@click.option("--json", "as_json", is_flag=True, help="Print the rows as JSON.")
def capacity(results_folder: Path, page: Path | None, check: bool, as_json: bool) -> None:
    """Compute the capacity tables from kept results and the planned fleet size."""
    if check and page is None:
        raise click.BadParameter("there is no --page to check", param_hint="--check")
    try:
        plan, results = read_plan(results_folder), read_results(results_folder)
        if as_json:
            print(json.dumps([row.as_fields() for row in evaluate(ROWS, results, plan)]))
            return
        parts = capacity_page.make_parts(ROWS, results, plan)
        if page is None:
            print("\n\n".join(parts.values()))
        else:
            _update_page(page, parts, results_folder, check)
    except CapacityError as error:
        fail("experiment capacity", error, ExitCode.MISUSE)


def _update_page(page: Path, parts: dict[str, str], results_folder: Path, check: bool) -> None:
    """Write the tables into the page, or with `check` only exit with 1 if the page differs.

    Raises CapacityError if the page lacks a marker of a table.
    """
    before = page.read_text(encoding="utf-8")
    after = capacity_page.replace_parts(before, parts)
    if not check:
        page.write_text(after, encoding="utf-8")
    elif before != after:
        fail("experiment capacity", f"{page} differs from the results in {results_folder}", ExitCode.FAILURE)
