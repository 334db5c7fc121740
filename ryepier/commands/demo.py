"""`ryepier demo`: run a small emulated fleet with sidecars and load, show a live summary, and write a report."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ryepier.commands.console import exit_if_claim_fails, format_events, live_summary
from ryepier.commands.exits import ExitCode, fail
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.world import World
from ryepier.experiments.core import figures, report, runner
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale, TrialConfig
from ryepier.experiments.core.worlds import load


def _world(scale: Scale) -> World:
    return load("demo")


def _claims(run: Run) -> list[Claim]:
    return [Claim("service", figures.service_level(run.operations), ">=", 0.9)]


DEMO = Experiment(
    name="demo",
    description="a release, a hang and a surge, one after another",
    world=_world,
    claims=_claims,
    seeded_faults=(),
)


@click.command()
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--out", "folder", type=click.Path(path_type=Path), default=Path("out/demo"), show_default=True)
def demo(seed: int, folder: Path) -> None:
    """Run a small world for under 30 s and write a report of it."""
    world = DEMO.world(Scale.SMALL)
    print(
        f"{world.converter_count} emulated converters, {world.sidecars.count} sidecars, "
        f"{world.clients.rate_per_s:.0f} requests per second for {world.duration_s:.0f} s",
        file=sys.stderr,
    )
    try:
        with live_summary("demo", world.duration_s) as on_progress:
            claims = runner.run_experiment(DEMO, TrialConfig(seed, Scale.SMALL, folder), on_progress)
    except (HarnessError, OSError) as error:
        fail("demo", error, ExitCode.FAILURE)
    for line in format_events(report.events(folder)):
        print(line, file=sys.stderr)
    for claim in claims:
        print(claim)
    print(f"report: {report.write(folder)}")
    exit_if_claim_fails(claims)
