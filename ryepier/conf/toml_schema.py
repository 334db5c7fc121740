"""Validation of TOML text against a msgspec struct; all errors are reported together, each with its key and line.

Performs no I/O. msgspec stops at the first error, so this module walks the tables itself and uses msgspec only to
convert single values; one pass therefore reports all errors in a file.
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

ENV_SEPARATOR = "__"  # separates the parts of a key in the name of an environment variable
# Least similarity between an unknown key and the known key that the error message suggests; difflib's default.
MIN_SIMILARITY = 0.6
_TOML_ERROR_LINE = re.compile(r"\(at line (\d+), column \d+\)")


class ConfigurationError(ValueError):
    """Raised for an invalid configuration. `problems` contains all errors in it, ordered by line."""

    def __init__(self, problems: list[Problem]) -> None:
        """Sort `problems` by line; there must be at least one."""
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("; ".join(map(str, self.problems)))


def parse(text: str, schema: type[T], environment: Mapping[str, str] | None = None, prefix: str = "") -> T:
    """Convert a TOML text into a struct of the type `schema`. Raises ConfigurationError.

    An environment variable overrides a key if its name is `prefix` followed by the parts of the key in upper case,
    joined by two underscores, such as `RYEPIER_LOGGING__FORMAT`.
    """
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
    """Override keys in `data` with environment variables, and return a problem for each that could not be applied.

    A variable's value is parsed as a TOML value; if it is not valid TOML, it is used as a string.
    """
    problems = []
    for name in sorted(environment):
        if not name.startswith(prefix):
            continue
        *tables, key = name.removeprefix(prefix).lower().split(ENV_SEPARATOR)
        table: Any = data
        for part in tables:
            table = table.setdefault(part, {}) if isinstance(table, dict) else None
        if not isinstance(table, dict):
            problems.append(Problem(name, 0, "the environment variable sets a key in a value that is not a table"))
            continue
        try:
            table[key] = tomllib.loads(f"value = {environment[name]}")["value"]
        except tomllib.TOMLDecodeError:
            table[key] = environment[name]
    return problems


class _SchemaReader:
    """Converts parsed TOML tables into structs. Errors are collected in `problems`, not raised."""

    def __init__(self, key_lines: KeyLines) -> None:
        self.key_lines = key_lines
        self.problems: list[Problem] = []

    def add_problem(self, path: KeyPath, text: str) -> None:
        self.problems.append(self.key_lines.problem_at(path, text))

    def read_struct(self, schema: type[msgspec.Struct], data: Any, path: KeyPath) -> msgspec.Struct | None:
        if not isinstance(data, dict):
            self.add_problem(path, f"expected a table, got {type(data).__name__}")
            return None
        fields = {field.encode_name: field for field in msgspec.structs.fields(schema)}
        problem_count_before = len(self.problems)
        for key in data.keys() - fields.keys():
            self.add_problem((*path, key), f"unknown key{_suggestion(key, list(fields))}")
        values: dict[str, Any] = {}
        for key, field in fields.items():
            if key in data:
                values[field.name] = self.read_value(inspect.type_info(field.type), field.type, data[key], (*path, key))
            elif field.required:
                self.add_problem((*path, key), "is missing")
        if len(self.problems) > problem_count_before:
            return None
        try:
            return schema(**values)
        except ValueError as error:  # from the struct's __post_init__, which checks fields against each other
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
    return f"; did you mean {matches[0]!r}?" if matches else f"; known keys: {', '.join(sorted(known_keys))}"


def _message_without_path(text: str) -> str:
    """Return msgspec's error message without the path at its end, since a `Problem` has the path as its key."""
    text = text.split(" - at `")[0]
    return text[:1].lower() + text[1:]
