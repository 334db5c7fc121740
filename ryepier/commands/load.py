"""`ryepier load`: an open-loop load against an address."""

from __future__ import annotations

import ipaddress
import json
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from ryepier.commands.config import read_world_file
from ryepier.commands.demo import live_summary
from ryepier.emulator import harness
from ryepier.emulator.world import World
from ryepier.experiments.core import figures
from ryepier.experiments.core.worlds import load as load_world
from ryepier.sidecar.config import parse_address


def checked_address(context: click.Context, parameter: click.Parameter, text: str) -> tuple[str, int]:
    """Load goes to this machine only: an address elsewhere may be somebody's service."""
    try:
        host, port = parse_address(text)
        if not ipaddress.ip_address(host).is_loopback or not 0 < port < 65_536:
            raise ValueError(f"expected a loopback address with a port, got {text!r}")
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    return host, port


def with_load(world: World, rate: float | None, seconds: float | None) -> World:
    """The world with another rate and length, and without faults, which need stand-ins."""
    clients = world.clients if rate is None else msgspec.structs.replace(world.clients, rate_per_s=rate)
    return msgspec.structs.replace(world, clients=clients, duration_s=seconds or world.duration_s, faults=[])


@click.command()
@click.argument("address", metavar="HOST:PORT", callback=checked_address)
@click.option("--world", "path", type=click.Path(path_type=Path), help="Classes and clients; by default the demo's.")
@click.option("--rate", type=click.FloatRange(0.1, 20_000), help="First tries a second.")
@click.option("--seconds", type=click.FloatRange(0.5, 3600))
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
def load(
    address: tuple[str, int], path: Path | None, rate: float | None, seconds: float | None, seed: int, as_json: bool
) -> None:
    """Send requests to a sidecar at HOST:PORT as its application would."""
    try:
        world = with_load(read_world_file(path) if path is not None else load_world("demo"), rate, seconds)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    cast = harness.RoleAssignment(sidecar_command=(), stand_ins=False, targets=(address,))
    with tempfile.TemporaryDirectory(prefix="ryepier-") as folder:
        try:
            with live_summary("load", world.duration_s) as watcher:
                history = harness.play(world, seed, Path(folder), cast, watcher)
        except (harness.HarnessError, OSError) as error:
            print(f"ryepier load: {error}", file=sys.stderr)
            sys.exit(1)
    shown = figures.summary(world, history, figures.operations(world, history.client_attempts))
    kept = {
        name: value for name, value in shown.items() if name not in ("waste", "sidecar_most_mib", "attempts_per_try")
    }
    if as_json:
        print(json.dumps(kept))
    else:
        for name, value in kept.items():
            print(f"{name:28} {value:.4g}")
