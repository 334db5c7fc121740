"""`ryepier sim`: run worlds in simulation, search for rule violations, and replay or reduce findings."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from pathlib import Path

import click
import msgspec

from ryepier.commands.exits import ExitCode, fail
from ryepier.emulator import simulated
from ryepier.emulator.errors import HarnessError
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import figures, judge
from ryepier.experiments.core import worlds as world_files
from ryepier.experiments.simulation import random_worlds, search
from ryepier.experiments.simulation.coverage import STATE_DESCRIPTIONS, Coverage
from ryepier.experiments.simulation.request_story import request_events

REDUCED_SUFFIX = ".small.json"  # replaces the suffix of the finding's file


def _check_seeded_fault(name: str) -> None:
    if name and name not in seeded_faults.SEEDED_FAULTS:
        known_faults = ", ".join(sorted(seeded_faults.SEEDED_FAULTS))
        raise click.BadParameter(f"unknown seeded fault {name!r}; known: {known_faults}")


def read_finding(path: Path) -> search.Finding:
    """Return the finding stored in a file; exit with 2 if the file contains no valid finding."""
    try:
        return search.load(path)
    except (OSError, msgspec.MsgspecError) as error:
        fail("sim", f"{path}: {error}", ExitCode.MISUSE)


@click.group()
def sim() -> None:
    """Run worlds under virtual time, and search for rule violations."""


@sim.command()
@click.argument("name")
@click.option("--seed", default=1, show_default=True)
def run(name: str, seed: int) -> None:
    """Run the world of an experiment in simulation; exit with 1 if a rule is broken."""
    started_s = time.monotonic()
    try:
        world = world_files.load(name)
        history = simulated.run_world(world, seed)
    except (FileNotFoundError, HarnessError) as error:
        fail("sim", f"{name}: {error}", ExitCode.MISUSE)
    breaches = Counter(breach.rule for breach in judge.find_breaches(world, history))
    summary = {
        "world": name,
        "seed": seed,
        "trace": search.hash_history(history),
        "service": figures.service_level(figures.group_operations(world, history.client_attempts)),
        "tries": len(history.client_attempts),
        "attempts": len(history.converter_attempts),
        "breaches": breaches,
        "simulated_s_a_second": world.duration_s / (time.monotonic() - started_s),
    }
    print(json.dumps(summary))
    sys.exit(ExitCode.FAILURE if breaches else ExitCode.SUCCESS)


@sim.command()
@click.option("--seeds", default=100, show_default=True, help="Number of worlds.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
@click.option("--plant", "seeded_fault", default="", help="Run with this seeded fault, to check that it is found.")
def hunt(seeds: int, first: int, out: Path, seeded_fault: str) -> None:
    """Draw worlds from seeds, run them on all cores, and save those that break a rule."""
    _check_seeded_fault(seeded_fault)
    started_s = time.monotonic()
    finding_count, coverage = 0, Coverage()
    out.mkdir(parents=True, exist_ok=True)
    prefix = f"find-{seeded_fault}-" if seeded_fault else "find-"
    for number, result in enumerate(search.search(range(first, first + seeds), seeded_fault)):
        coverage.add(result.coverage)
        if result.finding is None:
            continue
        finding_count += 1
        path = out / f"{prefix}{result.finding.seed}.json"
        search.save(result.finding, path)
        print(f"{path}: world {number + 1}: {result.finding.first_violation}", flush=True)
    elapsed_s = time.monotonic() - started_s
    (out / "coverage.json").write_text(json.dumps(coverage.as_lists()))
    print_coverage(coverage)
    simulated_s_per_s = seeds * random_worlds.DURATION_S / elapsed_s
    print(f"{seeds} worlds, {finding_count} that broke a rule, {simulated_s_per_s:.0f} simulated seconds a second")
    sys.exit(ExitCode.FAILURE if finding_count else ExitCode.SUCCESS)


def print_coverage(coverage: Coverage) -> None:
    """Print how often each fault affected a request in each state, and what the states mean."""
    rows = coverage.rows()
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        label = row[0].ljust(widths[0])
        counts = [text.rjust(width) for text, width in zip(row[1:], widths[1:], strict=True)]
        print("  ".join([label, *counts]))
    for state, meaning in STATE_DESCRIPTIONS.items():
        print(f"{state}: {meaning}")


@sim.command()
@click.argument("path", type=click.Path(path_type=Path))
def replay(path: Path) -> None:
    """Run a finding again, and print what happened to the request of its first violation."""
    finding = read_finding(path)
    search.install_fault(finding.seeded_fault)
    replay_result = search.run_world(finding.world, finding.seed, finding.seeded_fault)
    replayed_finding = replay_result.finding
    if replayed_finding is None:
        print("no rule is broken any more")
        return
    print(replayed_finding.first_violation)
    comparison = (
        "the same" if replayed_finding.history_hash == finding.history_hash else "not the same as when it was found"
    )
    print(f"trace {replayed_finding.history_hash}: {comparison}")
    request_id = search.first_request_id(replayed_finding.first_violation)
    if replay_result.history is not None and request_id is not None:
        print("\n".join(request_events(replay_result.history, request_id)))
    sys.exit(ExitCode.FAILURE)


@sim.command()
@click.argument("path", type=click.Path(path_type=Path))
def shrink(path: Path) -> None:
    """Reduce a finding to the faults that are needed to break its rule, and save the result beside the finding."""
    finding = read_finding(path)
    search.install_fault(finding.seeded_fault)
    reduced_finding = search.shrink(finding)
    out = path.with_suffix(REDUCED_SUFFIX)
    search.save(reduced_finding, out)
    print(
        f"{out}: {len(finding.world.faults)} faults before, {len(reduced_finding.world.faults)} now: "
        f"{reduced_finding.first_violation}"
    )
