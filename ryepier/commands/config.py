"""`ryepier config check`: what is wrong with an operators' file or a world file."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import NoReturn

import click

from ryepier.conf import operator_settings
from ryepier.conf.key_lines import Problem
from ryepier.conf.toml_schema import ConfigurationError
from ryepier.emulator import world


def complain(path: Path | str, problems: list[Problem]) -> NoReturn:
    """Say all that is wrong, a line each as `file:line: key: what`, and end with 2."""
    for problem in problems:
        place = f"{path}:{problem.line}" if problem.line else str(path)
        print(f"{place}: {problem.key + ': ' if problem.key else ''}{problem.text}", file=sys.stderr)
    sys.exit(2)


def read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        complain(path, [Problem("", 0, f"can't be read: {error}")])


def read_operators_file(path: Path | None, environment: Mapping[str, str]) -> operator_settings.OperatorSettings:
    """The operators' settings; without a file the defaults and the environment. Ends with 2 on a mistake."""
    # of the environment only names that are a table's are ours: others may share the prefix
    tables = tuple(
        f"{operator_settings.ENVIRONMENT_PREFIX}{table.upper()}__"
        for table in operator_settings.OperatorSettings.__struct_encode_fields__
    )
    ours = {name: value for name, value in environment.items() if name.startswith(tables)}
    try:
        return operator_settings.parse(read_text(path) if path is not None else "", ours)
    except ConfigurationError as error:
        complain(path or "environment", error.problems)


def read_world_file(path: Path) -> world.World:
    """A world file's world; ends with 2 on a mistake."""
    try:
        return world.parse(read_text(path))
    except ConfigurationError as error:
        complain(path, error.problems)


@click.group()
def config() -> None:
    """Check configuration files."""


@config.command()
@click.argument("path", metavar="FILE", type=click.Path(path_type=Path))
@click.option("--world", "is_world", is_flag=True, help="It is a world file, not an operators' file.")
def check(path: Path, is_world: bool) -> None:
    """Say what is wrong with FILE, by line and key; exit 2 if anything is."""
    if is_world:
        read_world_file(path)
    else:
        read_operators_file(path, os.environ)
    print(f"{path}: well")
