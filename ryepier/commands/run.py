"""`ryepier run`: run one sidecar, configured by the platform's file and the operators' file."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import click

from ryepier.assembly.errors import AssemblyError
from ryepier.assembly.sidecar import check_settings, select_components
from ryepier.commands.config import read_operators_file
from ryepier.commands.exits import ExitCode, fail
from ryepier.logs import structured
from ryepier.sidecar import config as platform
from ryepier.sidecar.process import run as run_sidecar
from ryepier.sidecar.serving import CONFIG_ERRORS


@click.command()
@click.option("--config", "path", type=click.Path(path_type=Path), help="The operators' file (TOML).")
@click.option(
    "--platform",
    "platform_path",
    envvar="BALANCER_CONFIG",
    required=True,
    type=click.Path(),
    help="The platform's configuration (JSON); by default the file that BALANCER_CONFIG names.",
)
def run(path: Path | None, platform_path: str) -> None:
    """Run one sidecar until SIGTERM."""
    operators = read_operators_file(path, os.environ)
    structured.configure_logging(operators.logging)
    try:
        settings = platform.load(platform_path)
    except CONFIG_ERRORS as error:
        fail("run", f"{platform_path}: {error!r}", ExitCode.MISUSE)
    try:
        check_settings(operators, settings)
    except AssemblyError as error:
        fail("run", error, ExitCode.MISUSE)
    asyncio.run(run_sidecar(settings, select_components(operators)))
