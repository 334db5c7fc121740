"""`ryepier sim`: worlds in simulation, a search for what breaks a rule, and its replay."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from pathlib import Path

import click
import msgspec

from ryepier.emulator import simulated
from ryepier.emulator.harness import HarnessError
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import figures, judge
from ryepier.experiments.core import worlds as shipped
from ryepier.experiments.simulation import hunt as search
from ryepier.experiments.simulation.coverage import LEGEND, Coverage

plant_option = click.option("--plant", default="", help="A mistake put in on purpose, to see that it is found.")


def check_plant(plant: str) -> None:
    if plant and plant not in seeded_faults.SEEDED_FAULTS:
        raise click.BadParameter(f"unknown plant {plant!r}; known: {', '.join(sorted(seeded_faults.SEEDED_FAULTS))}")


def read_find(path: Path) -> search.Find:
    """Ends with 2 on what is none."""
    try:
        return search.load(path)
    except (OSError, msgspec.MsgspecError) as error:
        print(f"ryepier sim: {path}: {error}", file=sys.stderr)
        sys.exit(2)


@click.group()
def sim() -> None:
    """Play worlds under virtual time, and search for faults."""


@sim.command()
@click.argument("name")
@click.option("--seed", default=1, show_default=True)
def run(name: str, seed: int) -> None:
    """Play the world of an experiment in simulation."""
    begun = time.monotonic()
    try:
        world = shipped.load(name)
        history = simulated.play(world, seed)
    except (FileNotFoundError, HarnessError) as error:
        print(f"ryepier sim: {name}: {error}", file=sys.stderr)
        sys.exit(2)
    breaches = Counter(breach.rule for breach in judge.judge(world, history))
    orders = figures.operations(world, history.client_attempts)
    print(
        json.dumps(
            {
                "world": name,
                "seed": seed,
                "trace": search.trace_of(history),
                "service": figures.service_level(orders),
                "tries": len(history.client_attempts),
                "attempts": len(history.converter_attempts),
                "breaches": breaches,
                "simulated_s_a_second": world.duration_s / (time.monotonic() - begun),
            }
        )
    )
    sys.exit(1 if breaches else 0)


@sim.command()
@click.option("--seeds", default=100, show_default=True, help="How many worlds.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
@plant_option
def hunt(seeds: int, first: int, out: Path, plant: str) -> None:
    """Draw worlds from seeds, play them on all cores, and keep what broke a rule."""
    check_plant(plant)
    begun, finds, coverage = time.monotonic(), 0, Coverage()
    out.mkdir(parents=True, exist_ok=True)
    for number, played in enumerate(search.hunt(range(first, first + seeds), plant)):
        coverage.add(played.coverage)
        find = played.find
        if find is not None:
            finds += 1
            path = out / f"find-{plant + '-' if plant else ''}{find.seed}.json"
            search.save(find, path)
            print(f"{path}: world {number + 1}: {find.first}", flush=True)
    took_s = time.monotonic() - begun
    (out / "coverage.json").write_text(json.dumps(coverage.as_lists()))
    print_table(coverage)
    rate = seeds * search.LENGTH_S / took_s
    print(f"{seeds} worlds, {finds} that broke a rule, {rate:.0f} simulated seconds a second")
    sys.exit(1 if finds else 0)


def print_table(coverage: Coverage) -> None:
    """How often what struck met which state."""
    rows = coverage.rows()
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        print(
            "  ".join(
                text.ljust(width) if column == 0 else text.rjust(width)
                for column, (text, width) in enumerate(zip(row, widths, strict=True))
            )
        )
    for state, meaning in LEGEND.items():
        print(f"{state}: {meaning}")


@sim.command()
@click.argument("path", type=click.Path(path_type=Path))
def replay(path: Path) -> None:
    """Play a find again, and tell the story of its first breach."""
    find = read_find(path)
    search.plant_in_process(find.plant)
    again, history = search.play(find.world, find.seed, find.plant)
    if again is None:
        print("no rule is broken any more")
        return
    print(again.first)
    print(f"trace {again.trace}: {'the same' if again.trace == find.trace else 'not the same as when it was found'}")
    for word in again.first.replace(":", " ").replace(",", " ").split():
        if history is not None and word.count("-") == 2:
            print("\n".join(search.story(history, word)))
            break
    sys.exit(1)


@sim.command()
@click.argument("path", type=click.Path(path_type=Path))
def shrink(path: Path) -> None:
    """Cut a find down to the few faults that matter, and keep it beside."""
    find = read_find(path)
    search.plant_in_process(find.plant)
    smaller = search.shrink(find)
    out = path.with_suffix(".small.json")
    search.save(smaller, out)
    print(f"{out}: {len(find.world.faults)} faults before, {len(smaller.world.faults)} now: {smaller.first}")
