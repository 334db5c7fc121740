"""`ryepier run`: one sidecar, as the platform starts it, with the operators' file beside it."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import click

from ryepier.assembly.errors import AssemblyError
from ryepier.assembly.sidecar import check_settings, select_components
from ryepier.commands.config import read_operators_file
from ryepier.logs import structured
from ryepier.sidecar import config as platform
from ryepier.sidecar.__main__ import run as run_sidecar
from ryepier.sidecar.serving import CONFIG_ERRORS


@click.command()
@click.option("--config", "path", type=click.Path(path_type=Path), help="The operators' file (TOML).")
@click.option(
    "--platform",
    "platform_path",
    envvar="BALANCER_CONFIG",
    required=True,
    type=click.Path(),
    help="The platform's configuration (JSON); by default what BALANCER_CONFIG names.",
)
def run(path: Path | None, platform_path: str) -> None:
    """Run one sidecar until SIGTERM."""
    operators = read_operators_file(path, os.environ)
    structured.set_up(operators.logging)
    try:
        settings = platform.load(platform_path)
    except CONFIG_ERRORS as error:
        print(f"ryepier run: {platform_path}: {error!r}", file=sys.stderr)
        sys.exit(2)
    try:
        check_settings(operators, settings)
    except AssemblyError as error:
        print(f"ryepier run: {error}", file=sys.stderr)
        sys.exit(2)
    asyncio.run(run_sidecar(settings, select_components(operators)))
