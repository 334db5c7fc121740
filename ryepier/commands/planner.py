"""`ryepier planner`: one planner."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

import click

from ryepier.assembly.errors import AssemblyError
from ryepier.assembly.planning import make_planner
from ryepier.commands.config import read_operators_file
from ryepier.logs import structured
from ryepier.plan.planner_server import PlannerServer


async def serve(server: PlannerServer) -> None:
    """Run a planner until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await server.run(stop)


@click.command()
@click.option("--config", "path", type=click.Path(path_type=Path), help="The operators' file (TOML).")
def planner(path: Path | None) -> None:
    """Run one planner until SIGTERM."""
    operators = read_operators_file(path, os.environ)
    structured.set_up(operators.logging)
    try:
        server = make_planner(operators, random.getrandbits(64))
    except AssemblyError as error:
        print(f"ryepier planner: {error}", file=sys.stderr)
        sys.exit(2)
    try:
        asyncio.run(serve(server))
    except OSError as error:
        print(f"ryepier planner: {operators.planner.listen}: {error}", file=sys.stderr)
        sys.exit(1)
