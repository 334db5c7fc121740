"""`ryepier emulate`: run the emulated converters and discovery of a world, without sidecars or clients."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from ryepier.commands.config import read_world_file
from ryepier.commands.console import format_events
from ryepier.commands.exits import ExitCode, fail
from ryepier.emulator import harness
from ryepier.emulator.errors import HarnessError


@click.command()
@click.argument("path", metavar="WORLD", type=click.Path(path_type=Path))
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--out", "folder", type=click.Path(path_type=Path), help="Folder for the sidecars' configurations.")
def emulate(path: Path, seed: int, folder: Path | None) -> None:
    """Run the converters and the discovery of the world file WORLD for its duration.

    Writes a platform configuration for each sidecar of the world; start one with `ryepier run --platform FILE`.
    """
    world = read_world_file(path)
    folder = folder or Path(tempfile.mkdtemp(prefix="ryepier-"))
    print(f"emulating for {world.duration_s:.0f} s; the sidecars' configurations: {folder}/sidecar-*.json")
    sys.stdout.flush()
    roles = harness.RoleAssignment(sidecar_command=(), clients=False)
    try:
        history = harness.run_world(world, seed, folder, roles)
    except (HarnessError, OSError) as error:
        fail("emulate", error, ExitCode.FAILURE)
    executed_count = sum(attempt.started_us >= 0 for attempt in history.converter_attempts)
    for line in format_events(history.events):
        print(line)
    print(f"{len(history.converter_attempts)} attempts received, {executed_count} executed")
