"""`ryepier check`: explore all orders of events of a few requests exhaustively, and check the rules on them."""

from __future__ import annotations

import json
import resource
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import click
import msgspec

from ryepier.check import explore, line_coverage, trace
from ryepier.check.formats import RecordedPath, decode_model, decode_step, encode_model, encode_step
from ryepier.check.model import CLASSES, Model
from ryepier.check.models import MODELS
from ryepier.check.seeded_faults import SEEDED_FAULTS
from ryepier.commands.exits import ExitCode, fail

# limit on the paths per model that `lines` expands, because recording the executed lines is slow
MAX_TRACED_PATHS = 4000
KIB_PER_MB = 1024


@click.group()
def check() -> None:
    """Explore every order of events of a few requests at a few converters."""


@check.command("list")
def list_all() -> None:
    """List the models and the seeded faults."""
    for model in MODELS.values():
        depth_limit = f", {model.depth} steps" if model.depth else ""
        print(
            f"{model.name:16} {model.converters} converters, requests {', '.join(model.requests)}, "
            f"{model.max_attempts} attempts, {model.list_changes} changes of the list, "
            f"{model.client_disconnects} clients leave{depth_limit}"
        )
    print(f"plants: {', '.join(SEEDED_FAULTS)}")


def select_model(name: str, converters: int, requests: str, depth: int) -> Model:
    """Return the model of a name. The other arguments replace the model's own values unless they are 0 or empty."""
    model = MODELS[name]
    if converters:
        model = replace(model, converters=converters, failure_domains=())
    if requests:
        classes = tuple(requests.split(","))
        unknown_classes = set(classes) - CLASSES.keys()
        if unknown_classes:
            raise click.BadParameter(
                f"unknown {', '.join(sorted(unknown_classes))}; known: {', '.join(CLASSES)}", param_hint="--requests"
            )
        model = replace(model, requests=classes)
    return replace(model, depth=depth) if depth else model


def print_progress(outcome: explore.Exploration) -> None:
    """Print the counts of an unfinished exploration to standard error."""
    print(
        f"depth {outcome.depth}: {outcome.states} states, {outcome.transitions} transitions, "
        f"{outcome.terminal_states} ends, {outcome.seconds:.1f} s",
        file=sys.stderr,
    )


@check.command()
@click.argument("model", type=click.Choice(list(MODELS)))
@click.option("--converters", type=click.IntRange(0, 4), default=0, help="Instead of the model's number.")
@click.option("--requests", default="", help="Request classes, separated by commas, instead of the model's.")
@click.option("--depth", type=click.IntRange(0, 200), default=0, help="Steps; by default the model's, or no limit.")
@click.option(
    "--plant",
    "seeded_fault",
    type=click.Choice(list(SEEDED_FAULTS)),
    help="Run with this seeded fault, to check that it is found.",
)
@click.option("--processes", type=click.IntRange(1, 256), default=None, help="By default one per core.")
@click.option(
    "--keep",
    "checkpoint",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Continue from this file, and keep it up to date.",
)
@click.option("--most-s", "max_s", type=float, default=float("inf"), help="Stop after this many seconds.")
@click.option("--out", type=click.Path(path_type=Path, dir_okay=False), help="Save the path to a violation, as JSON.")
def run(
    model: str,
    converters: int,
    requests: str,
    depth: int,
    seeded_fault: str | None,
    processes: int | None,
    checkpoint: Path | None,
    max_s: float,
    out: Path | None,
) -> None:
    """Explore MODEL. If a rule is broken, print the shortest path to the violation and exit with 1."""
    selected_model = select_model(model, converters, requests, depth)
    install_fault = SEEDED_FAULTS[seeded_fault].install if seeded_fault else None
    try:
        outcome = explore.explore(selected_model, processes, install_fault, checkpoint, max_s, print_progress)
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        fail("check", f"{checkpoint}: {error}", ExitCode.MISUSE)
    _print_outcome(selected_model, outcome)
    if outcome.violation is None:
        return
    if out is not None:
        _save_path(out, selected_model, outcome, seeded_fault or "")
    _print_chart(selected_model, outcome, install_fault)
    sys.exit(ExitCode.FAILURE)


def _print_outcome(model: Model, outcome: explore.Exploration) -> None:
    largest_kib = max(resource.getrusage(scope).ru_maxrss for scope in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN))
    print(
        f"{model.name}: {outcome.states} states, {outcome.transitions} transitions, {outcome.terminal_states} ends, "
        f"depth {outcome.depth}, {outcome.seconds:.1f} s, at most {largest_kib // KIB_PER_MB} MB a process; "
        f"{'explored whole' if outcome.complete else 'not explored whole'}"
    )
    if outcome.violation is not None:
        print(f"BREAKS {outcome.violation.rule}: {outcome.violation.text}; {len(outcome.path)} steps")


def _save_path(out: Path, model: Model, outcome: explore.Exploration, seeded_fault: str) -> None:
    path = [encode_step(step) for step in outcome.path]
    out.write_bytes(msgspec.json.encode(RecordedPath(encode_model(model), path, seeded_fault)))


def _print_chart(model: Model, outcome: explore.Exploration, install_fault: Callable[[], None] | None) -> None:
    """Replay the path to the violation in this process, with the seeded fault installed, and print its chart."""
    if install_fault is not None:
        install_fault()
    print("\n".join(trace.chart(model, outcome.path)))


@check.command("trace")
@click.argument("path", type=click.Path(path_type=Path, dir_okay=False))
def show(path: Path) -> None:
    """Print the chart of a path that `check run --out` saved."""
    try:
        saved_path = msgspec.json.decode(path.read_bytes(), type=RecordedPath)
        model = decode_model(saved_path.model)
        steps = [decode_step(step) for step in saved_path.path]
        if saved_path.seeded_fault:
            SEEDED_FAULTS[saved_path.seeded_fault].install()
        print("\n".join(trace.chart(model, steps)))
    except (OSError, msgspec.MsgspecError, KeyError, IndexError, AttributeError) as error:
        fail("check trace", f"{path}: {error!r}", ExitCode.MISUSE)


@check.command()
@click.argument("names", nargs=-1, type=click.Choice(list(MODELS)))
@click.option("--json", "as_json", is_flag=True, help="Print the lines as JSON.")
def lines(names: tuple[str, ...], as_json: bool) -> None:
    """List the lines of the decision modules that the first paths of the models do not execute."""
    with line_coverage.record_lines() as executed_lines:
        for name in names or tuple(MODELS):
            expand_breadth_first(MODELS[name])
    uncovered_lines = line_coverage.uncovered_lines(executed_lines)
    if as_json:
        print(json.dumps(uncovered_lines))
        return
    for function, missing_lines in uncovered_lines:
        print(f"{function}: {', '.join(map(str, missing_lines))}")


def expand_breadth_first(model: Model) -> None:
    """Expand the first `MAX_TRACED_PATHS` paths of a model in this process, in breadth-first order."""
    frontier: list[explore.Steps] = [()]
    visited_digests: set[bytes] = set()
    for path in frontier:
        for digest, extended_path in explore.expand(model, path).children:
            if digest not in visited_digests and len(frontier) < MAX_TRACED_PATHS:
                visited_digests.add(digest)
                frontier.append(extended_path)
