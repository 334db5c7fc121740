"""`ryepier emulate`: the stand-ins of a world alone, to point a sidecar at."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from ryepier.commands.config import read_world_file
from ryepier.emulator import harness


@click.command()
@click.argument("path", metavar="WORLD", type=click.Path(path_type=Path))
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--out", "folder", type=click.Path(path_type=Path), help="Where the sidecars' configurations go.")
def emulate(path: Path, seed: int, folder: Path | None) -> None:
    """Run the converters and the discovery of the world file WORLD until its time is over.

    For each sidecar that the world has, a platform configuration is written; start it with
    `ryepier run --platform FILE`.
    """
    world = read_world_file(path)
    folder = folder or Path(tempfile.mkdtemp(prefix="ryepier-"))
    cast = harness.RoleAssignment(sidecar_command=(), clients=False)
    print(f"stand-ins for {world.duration_s:.0f} s; sidecars' configurations: {folder}/sidecar-*.json")
    sys.stdout.flush()
    try:
        history = harness.play(world, seed, folder, cast)
    except (harness.HarnessError, OSError) as error:
        print(f"ryepier emulate: {error}", file=sys.stderr)
        sys.exit(1)
    ran = sum(attempt.started_us >= 0 for attempt in history.converter_attempts)
    for happening in history.events:
        print(f"{happening.at_us / 1e6:8.3f} s  {happening.text}")
    print(f"{len(history.converter_attempts)} attempts came, {ran} ran")
