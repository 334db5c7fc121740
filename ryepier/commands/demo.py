"""`ryepier demo`: a small fleet of stand-ins, sidecars, a load, a live summary and a report."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from ryepier.emulator.harness import HarnessError, Watcher
from ryepier.experiments.core import contract, figures, report
from ryepier.experiments.core.contract import Claim, Experiment, Run
from ryepier.experiments.core.worlds import load

PLAIN_EVERY_S = 2.0

DEMO = Experiment(
    "demo",
    "a release, a hang and a surge, one after another",
    lambda scale: load("demo"),
    lambda run: demo_claims(run),
    (),
)


def demo_claims(run: Run) -> list[Claim]:
    return [Claim("service", figures.service_level(run.operations), ">=", 0.9)]


def describe(counts: Counter[str]) -> str:
    """The clients' counts in one line."""
    names = ("offered", "served", "refused", "failed", "timeout", "broken", "unreachable", "retries", "open")
    return "  ".join(f"{name} {counts[name]}" for name in names if counts[name] or name in ("offered", "served"))


@contextmanager
def live_summary(title: str, duration_s: float) -> Iterator[Watcher]:
    """A progress bar on a terminal, a line every 2 s elsewhere."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield _plain_lines()
        return
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), TextColumn("{task.fields[counts]}"))
    with Progress(*columns, console=console) as progress:
        task = progress.add_task(title, total=duration_s, counts="")

        def show(at_s: float, counts: Counter[str]) -> None:
            progress.update(task, completed=min(max(0.0, at_s), duration_s), counts=describe(counts))

        yield show


def _plain_lines() -> Watcher:
    said_s = -PLAIN_EVERY_S

    def say(at_s: float, counts: Counter[str]) -> None:
        nonlocal said_s
        if at_s >= said_s + PLAIN_EVERY_S:
            said_s = at_s
            print(f"{at_s:5.1f} s  {describe(counts)}", file=sys.stderr)

    return say


@click.command()
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--out", "folder", type=click.Path(path_type=Path), default=Path("out/demo"), show_default=True)
def demo(seed: int, folder: Path) -> None:
    """Play a small world for under 30 s and write a report of it."""
    world = DEMO.world("small")
    print(
        f"{world.converter_count} stand-in converters, {world.sidecars.count} sidecars, "
        f"{world.clients.rate_per_s:.0f} requests a second for {world.duration_s:.0f} s",
        file=sys.stderr,
    )
    try:
        with live_summary("demo", world.duration_s) as watcher:
            claims = contract.run_experiment(DEMO, seed, "small", folder, watcher=watcher)
    except (HarnessError, OSError) as error:
        print(f"ryepier demo: {error}", file=sys.stderr)
        sys.exit(1)
    for happening in report.happenings(folder):
        print(f"{happening.at_us / 1e6:8.3f} s  {happening.text}", file=sys.stderr)
    for claim in claims:
        print(claim)
    print(f"report: {report.write(folder)}")
    if not all(claim.holds for claim in claims):
        sys.exit(1)
