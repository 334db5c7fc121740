"""`ryepier config check`: report errors in an operators' file or a world file.

The functions that read these files are shared with other commands.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import NoReturn

import click

from ryepier.commands.exits import ExitCode
from ryepier.conf import operator_settings
from ryepier.conf.key_lines import Problem
from ryepier.conf.toml_schema import ConfigurationError
from ryepier.emulator import world


def fail_with_problems(path: Path | str, problems: list[Problem]) -> NoReturn:
    """Print one line per problem, as `file:line: key: text`, and exit with 2."""
    for problem in problems:
        location = f"{path}:{problem.line}" if problem.line else str(path)
        print(f"{location}: {problem.key + ': ' if problem.key else ''}{problem.text}", file=sys.stderr)
    sys.exit(ExitCode.MISUSE)


def read_text(path: Path) -> str:
    """Return the text of a UTF-8 file; exit with 2 if it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail_with_problems(path, [Problem("", 0, f"can't be read: {error}")])


def select_settings_variables(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the environment variables that set an operators' setting, without others that have the same prefix."""
    tables = tuple(
        f"{operator_settings.ENVIRONMENT_PREFIX}{table.upper()}__"
        for table in operator_settings.OperatorSettings.__struct_encode_fields__
    )
    return {name: value for name, value in environment.items() if name.startswith(tables)}


def read_operators_file(path: Path | None, environment: Mapping[str, str]) -> operator_settings.OperatorSettings:
    """Return the operators' settings from a file, if any, and the environment; exit with 2 on an error in them."""
    text = read_text(path) if path is not None else ""
    try:
        return operator_settings.parse(text, select_settings_variables(environment))
    except ConfigurationError as error:
        fail_with_problems(path or "environment", error.problems)


def read_world_file(path: Path) -> world.World:
    """Return the world that a world file describes; exit with 2 on an error in it."""
    try:
        return world.parse(read_text(path))
    except ConfigurationError as error:
        fail_with_problems(path, error.problems)


@click.group()
def config() -> None:
    """Check configuration files."""


@config.command()
@click.argument("path", metavar="FILE", type=click.Path(path_type=Path))
@click.option("--world", "is_world", is_flag=True, help="Check FILE as a world file, not as an operators' file.")
def check(path: Path, is_world: bool) -> None:
    """Report the errors in FILE by line and key; exit with 2 if there are any."""
    if is_world:
        read_world_file(path)
    else:
        read_operators_file(path, os.environ)
    print(f"{path}: valid")
