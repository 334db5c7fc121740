"""`ryepier planner`: run one planner, configured by the operators' file."""

from __future__ import annotations

import asyncio
import os
import random
from pathlib import Path

import click

from ryepier.assembly.errors import AssemblyError
from ryepier.assembly.planning import make_planner
from ryepier.commands.config import read_operators_file
from ryepier.commands.exits import ExitCode, fail
from ryepier.commands.signals import make_stop_event
from ryepier.logs import structured
from ryepier.plan.planner_server import PlannerServer


async def serve(server: PlannerServer) -> None:
    """Run a planner until SIGTERM or SIGINT. Raises OSError if it can't listen."""
    await server.run(make_stop_event())


@click.command()
@click.option("--config", "path", type=click.Path(path_type=Path), help="The operators' file (TOML).")
def planner(path: Path | None) -> None:
    """Run one planner until SIGTERM."""
    operators = read_operators_file(path, os.environ)
    structured.configure_logging(operators.logging)
    try:
        server = make_planner(operators, random.getrandbits(64))
    except AssemblyError as error:
        fail("planner", error, ExitCode.MISUSE)
    try:
        asyncio.run(serve(server))
    except OSError as error:
        fail("planner", f"{operators.planner.listen}: {error}", ExitCode.FAILURE)
