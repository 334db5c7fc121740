"""`ryepier load`: send an open-loop load to a sidecar on this machine."""

from __future__ import annotations

import ipaddress
import json
import tempfile
from pathlib import Path

import click
import msgspec

from ryepier.commands.config import read_world_file
from ryepier.commands.console import live_summary
from ryepier.commands.exits import ExitCode, fail
from ryepier.emulator import harness
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.records import History
from ryepier.emulator.world import World
from ryepier.experiments.core import figures
from ryepier.experiments.core.worlds import load as load_world
from ryepier.sidecar.config import parse_address

MAX_PORT = 65_535
# figures computed from the records of emulated converters and sidecars, which this command does not run
UNAVAILABLE_FIGURES = frozenset(("waste", "sidecar_most_mib", "attempts_per_try"))


def parse_loopback_address(context: click.Context, parameter: click.Parameter, text: str) -> tuple[str, int]:
    """Return the host and port of a loopback address; others are rejected, so that no other machine gets load."""
    try:
        host, port = parse_address(text)
        if not ipaddress.ip_address(host).is_loopback or not 0 < port <= MAX_PORT:
            raise ValueError(f"expected a loopback address with a port, got {text!r}")
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    return host, port


def make_load_world(path: Path | None, rate_per_s: float | None, duration_s: float | None) -> World:
    """Return the world of a file, or the demo's, with the given rate and duration.

    The world's faults are removed, as they affect emulated converters, which this command does not run. Raises
    click.UsageError if a value is out of range.
    """
    try:
        world = read_world_file(path) if path is not None else load_world("demo")
        clients = world.clients
        if rate_per_s is not None:
            clients = msgspec.structs.replace(clients, rate_per_s=rate_per_s)
        return msgspec.structs.replace(world, clients=clients, duration_s=duration_s or world.duration_s, faults=[])
    except ValueError as error:
        raise click.UsageError(str(error)) from None


def run_load(world: World, address: tuple[str, int], seed: int) -> History:
    """Send the world's requests to the address and return the clients' records; exit with 1 on an error."""
    roles = harness.RoleAssignment(sidecar_command=(), converters_and_discovery=False, targets=(address,))
    with tempfile.TemporaryDirectory(prefix="ryepier-") as folder:
        try:
            with live_summary("load", world.duration_s) as on_progress:
                return harness.run_world(world, seed, Path(folder), roles, on_progress)
        except (HarnessError, OSError) as error:
            fail("load", error, ExitCode.FAILURE)


@click.command()
@click.argument("address", metavar="HOST:PORT", callback=parse_loopback_address)
@click.option(
    "--world", "path", type=click.Path(path_type=Path), help="Request classes and clients; by default the demo's."
)
@click.option("--rate", type=click.FloatRange(0.1, 20_000), help="First attempts per second.")
@click.option("--seconds", type=click.FloatRange(0.5, 3600))
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
def load(
    address: tuple[str, int], path: Path | None, rate: float | None, seconds: float | None, seed: int, as_json: bool
) -> None:
    """Send requests to a sidecar at HOST:PORT as its application would."""
    world = make_load_world(path, rate, seconds)
    history = run_load(world, address, seed)
    summary = figures.summary(world, history, figures.group_operations(world, history.client_attempts))
    available_figures = {name: value for name, value in summary.items() if name not in UNAVAILABLE_FIGURES}
    if as_json:
        print(json.dumps(available_figures))
        return
    for name, value in available_figures.items():
        print(f"{name:28} {value:.4g}")
