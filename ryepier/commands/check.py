"""`ryepier check`: explore the life of attempts exhaustively at small sizes."""

from __future__ import annotations

import json
import resource
import sys
from dataclasses import replace
from pathlib import Path

import click
import msgspec

from ryepier.check import explore, reached, trace
from ryepier.check.model import CLASSES, Model, Step
from ryepier.check.models import MODELS
from ryepier.check.seeded_faults import SEEDED_FAULTS

MOST_TRACED = 4000  # paths that the report of lines follows: tracing is slow


class Kept(msgspec.Struct):
    """A path in a file."""

    model: dict[str, object]
    path: list[tuple[str, int, str, tuple[int, ...]]]
    plant: str = ""


@click.group()
def check() -> None:
    """Explore all that can become of a few requests at a few converters."""


@check.command("list")
def list_all() -> None:
    """The models and the mistakes that can be planted."""
    for model in MODELS.values():
        bound = f", {model.depth} steps" if model.depth else ""
        print(
            f"{model.name:16} {model.converters} converters, requests {', '.join(model.requests)}, "
            f"{model.attempts} attempts, {model.changes} changes of the list, {model.leaves} clients leave{bound}"
        )
    print(f"plants: {', '.join(SEEDED_FAULTS)}")


def chosen(name: str, converters: int, requests: str, depth: int) -> Model:
    """A model of the project, or a variant of it."""
    model = MODELS[name]
    if converters:
        model = replace(model, converters=converters, cells=())
    if requests:
        classes = tuple(requests.split(","))
        unknown = set(classes) - CLASSES.keys()
        if unknown:
            raise click.BadParameter(
                f"unknown {', '.join(sorted(unknown))}; known: {', '.join(CLASSES)}", param_hint="--requests"
            )
        model = replace(model, requests=classes)
    return replace(model, depth=depth) if depth else model


def tell(outcome: explore.Outcome) -> None:
    print(
        f"depth {outcome.depth}: {outcome.states} states, {outcome.transitions} transitions, "
        f"{outcome.ends} ends, {outcome.seconds:.1f} s",
        file=sys.stderr,
    )


@check.command()
@click.argument("model", type=click.Choice(list(MODELS)))
@click.option("--converters", type=click.IntRange(0, 4), default=0, help="In place of the model's.")
@click.option("--requests", default="", help="Their classes, with commas between, in place of the model's.")
@click.option("--depth", type=click.IntRange(0, 200), default=0, help="Steps; by default the model's, or to the end.")
@click.option(
    "--plant", type=click.Choice(list(SEEDED_FAULTS)), help="A mistake put in on purpose, to see that it is found."
)
@click.option("--processes", type=click.IntRange(1, 256), default=None, help="By default as many as there are cores.")
@click.option("--keep", type=click.Path(path_type=Path, dir_okay=False), help="Go on from this file, and keep it up.")
@click.option("--most-s", type=float, default=float("inf"), help="Stop after so many seconds.")
@click.option("--out", type=click.Path(path_type=Path, dir_okay=False), help="For the path to a breach, as JSON.")
def run(
    model: str,
    converters: int,
    requests: str,
    depth: int,
    plant: str | None,
    processes: int | None,
    keep: Path | None,
    most_s: float,
    out: Path | None,
) -> None:
    """Explore MODEL; exit 1 if a rule breaks, with the shortest path to it."""
    one = chosen(model, converters, requests, depth)
    mistake = SEEDED_FAULTS[plant][1] if plant else None
    try:
        outcome = explore.explore(one, processes, mistake, keep, most_s, tell)
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        print(f"ryepier check: {keep}: {error}", file=sys.stderr)
        sys.exit(2)
    largest = max(resource.getrusage(who).ru_maxrss for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN))
    print(
        f"{one.name}: {outcome.states} states, {outcome.transitions} transitions, {outcome.ends} ends, depth "
        f"{outcome.depth}, {outcome.seconds:.1f} s, at most {largest // 1024} MB a process; "
        f"{'explored whole' if outcome.whole else 'not explored whole'}"
    )
    if outcome.breach is None:
        return
    print(f"BREAKS {outcome.breach.rule}: {outcome.breach.text}; {len(outcome.path)} steps")
    if out is not None:
        path = [(step.what, step.index, step.how, step.picks) for step in outcome.path]
        out.write_bytes(msgspec.json.encode(Kept(msgspec.to_builtins(one), path, plant or "")))
    if mistake is not None:
        mistake()
    print("\n".join(trace.chart(one, outcome.path)))
    sys.exit(1)


@check.command("trace")
@click.argument("path", type=click.Path(path_type=Path, dir_okay=False))
def show(path: Path) -> None:
    """The chart of a path that was kept by `check run --out`."""
    try:
        kept = msgspec.json.decode(path.read_bytes(), type=Kept)
        model = msgspec.convert(kept.model, Model)
        steps = [Step(*step) for step in kept.path]
        if kept.plant:
            SEEDED_FAULTS[kept.plant][1]()
        print("\n".join(trace.chart(model, steps)))
    except (OSError, msgspec.MsgspecError, KeyError, IndexError, AttributeError) as error:
        print(f"ryepier check trace: {path}: {error!r}", file=sys.stderr)
        sys.exit(2)


@check.command()
@click.argument("names", nargs=-1, type=click.Choice(list(MODELS)))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def lines(names: tuple[str, ...], as_json: bool) -> None:
    """Which lines of the module and the host the first paths of models do not reach."""
    with reached.recorded() as seen:
        for name in names or tuple(MODELS):
            follow(MODELS[name])
    found = reached.unreached(seen)
    if as_json:
        print(json.dumps(found))
        return
    for where, missing in found:
        print(f"{where}: {', '.join(map(str, missing))}")


def follow(model: Model) -> None:
    """Expand paths breadth first in this process, as many as tracing bears."""
    frontier: list[explore.Steps] = [()]
    seen: set[bytes] = set()
    for path in frontier:
        for digest, longer in explore.expand(model, path).children:
            if digest not in seen and len(frontier) < MOST_TRACED:
                seen.add(digest)
                frontier.append(longer)
