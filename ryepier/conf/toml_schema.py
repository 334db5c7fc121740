"""TOML text into a checked msgspec struct, or every problem in it at once, each with its key and line.

Pure: takes text and gives structs. msgspec stops at its first error, so tables are walked here and only the single
values are left to it; that way one pass over a file reports all that is wrong with it.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

from ryepier.conf.key_lines import KeyLines, KeyPath, Problem

T = TypeVar("T", bound=msgspec.Struct)

ENV_SEPARATOR = "__"  # between the parts of a key in the name of an environment variable
MIN_SIMILARITY = 0.6  # from which a known key is suggested for an unknown one; as in difflib
_TOML_ERROR_LINE = re.compile(r"\(at line (\d+), column \d+\)")


class ConfigurationError(ValueError):
    """A text that can't be used; `problems` holds all that is wrong with it, in the order of its lines."""

    def __init__(self, problems: list[Problem]) -> None:
        """`problems` in any order; at least one."""
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("; ".join(map(str, self.problems)))


def parse(text: str, schema: type[T], environment: Mapping[str, str] | None = None, prefix: str = "") -> T:
    """Return the struct that `text` describes. Variables of `environment` named `prefix` and the key's parts joined by
    two underscores (`RYEPIER_LOGGING__FORMAT`) override the file. Raises ConfigurationError."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line_match = _TOML_ERROR_LINE.search(str(error))
        raise ConfigurationError([Problem("", int(line_match[1]) if line_match else 0, f"not TOML: {error}")]) from None
    problems: list[Problem] = []
    if environment is not None:
        problems += _apply_environment(data, environment, prefix)
    reader = _SchemaReader(KeyLines(text))
    result = reader.read_struct(schema, data, ())
    problems += reader.problems
    if problems or not isinstance(result, schema):
        raise ConfigurationError(problems)
    return result


def _apply_environment(data: dict[str, Any], environment: Mapping[str, str], prefix: str) -> list[Problem]:
    """Put the variables into `data`; their values are read as TOML, and as plain text where they are none."""
    problems = []
    for name in sorted(environment):
        if not name.startswith(prefix):
            continue
        *tables, key = name.removeprefix(prefix).lower().split(ENV_SEPARATOR)
        table: Any = data
        for part in tables:
            table = table.setdefault(part, {}) if isinstance(table, dict) else None
        if not isinstance(table, dict):
            problems.append(Problem(name, 0, "the environment names a key inside what is not a table"))
            continue
        try:
            table[key] = tomllib.loads(f"value = {environment[name]}")["value"]
        except tomllib.TOMLDecodeError:
            table[key] = environment[name]
    return problems


class _SchemaReader:
    """One pass over the tables; what is wrong is collected, and nothing is raised."""

    def __init__(self, lines: KeyLines) -> None:
        self.lines = lines
        self.problems: list[Problem] = []

    def add_problem(self, path: KeyPath, text: str) -> None:
        self.problems.append(self.lines.problem_at(path, text))

    def read_struct(self, schema: type[msgspec.Struct], data: Any, path: KeyPath) -> msgspec.Struct | None:
        if not isinstance(data, dict):
            self.add_problem(path, f"expected a table, got {type(data).__name__}")
            return None
        fields = {field.encode_name: field for field in msgspec.structs.fields(schema)}
        previous_problems = len(self.problems)
        for key in data.keys() - fields.keys():
            self.add_problem((*path, key), f"unknown key{_suggestion(key, list(fields))}")
        values: dict[str, Any] = {}
        for key, field in fields.items():
            if key in data:
                values[field.name] = self.read_value(inspect.type_info(field.type), field.type, data[key], (*path, key))
            elif field.required:
                self.add_problem((*path, key), "is missing")
        if len(self.problems) > previous_problems:
            return None
        try:
            return schema(**values)
        except ValueError as error:  # what the struct itself asks of its fields together
            self.add_problem(path, str(error))
            return None

    def read_value(self, type_info: inspect.Type, value_type: Any, data: Any, path: KeyPath) -> Any:
        if isinstance(type_info, inspect.StructType):
            return self.read_struct(type_info.cls, data, path)
        if isinstance(type_info, inspect.ListType) and isinstance(type_info.item_type, inspect.StructType):
            if not isinstance(data, list):
                self.add_problem(path, f"expected a list of tables, got {type(data).__name__}")
                return None
            return [self.read_struct(type_info.item_type.cls, item, (*path, i)) for i, item in enumerate(data)]
        try:
            return msgspec.convert(data, value_type)
        except msgspec.ValidationError as error:
            self.add_problem(path, f"{_message_without_path(str(error))}, got {data!r}")
            return None


def _suggestion(key: str, known_keys: list[str]) -> str:
    matches = difflib.get_close_matches(key, known_keys, n=1, cutoff=MIN_SIMILARITY)
    return f"; did you mean {matches[0]!r}?" if matches else f"; known here: {', '.join(sorted(known_keys))}"


def _message_without_path(text: str) -> str:
    """Return msgspec's message without the path, which the problem has already."""
    text = text.split(" - at `")[0]
    return text[:1].lower() + text[1:]
