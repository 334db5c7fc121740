"""`ryepier planner`: one planner."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import click

from plovertrail.config import parse_address
from ryepier.commands.config import read_operators_file
from ryepier.commands.run import trust_rules
from ryepier.logs import structured
from ryepier.plan.planner import Server, Settings


async def serve(settings: Settings) -> None:
    """Run a planner until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await Server(settings).run(stop)


@click.command()
@click.option("--config", "path", type=click.Path(path_type=Path), help="The operators' file (TOML).")
def planner(path: Path | None) -> None:
    """Run one planner until SIGTERM."""
    operators = read_operators_file(path, os.environ)
    structured.set_up(operators.logging)
    own = operators.planner
    folder = Path(own.snapshots) if own.snapshots else None
    if folder is not None and not folder.is_dir():
        print(f"ryepier planner: planner.snapshots: no folder {folder}", file=sys.stderr)
        sys.exit(2)
    settings = Settings(own.name, parse_address(own.listen),
                        {name: parse_address(text) for name, text in own.peers.items()}, trust_rules(operators),
                        own.tenant_shares, own.class_limits, own.most_forwarders, folder)
    try:
        asyncio.run(serve(settings))
    except OSError as error:
        print(f"ryepier planner: {own.listen}: {error}", file=sys.stderr)
        sys.exit(1)
