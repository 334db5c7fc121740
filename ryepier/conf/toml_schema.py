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
_TOML_PLACE = re.compile(r"\(at line (\d+), column \d+\)")


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
        place = _TOML_PLACE.search(str(error))
        raise ConfigurationError([Problem("", int(place[1]) if place else 0, f"not TOML: {error}")]) from None
    problems: list[Problem] = []
    if environment is not None:
        problems += _override(data, environment, prefix)
    reader = _SchemaReader(KeyLines(text))
    result = reader.struct(schema, data, ())
    problems += reader.problems
    if problems or not isinstance(result, schema):
        raise ConfigurationError(problems)
    return result


def _override(data: dict[str, Any], environment: Mapping[str, str], prefix: str) -> list[Problem]:
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

    def problem(self, path: KeyPath, text: str) -> None:
        self.problems.append(self.lines.problem_at(path, text))

    def struct(self, schema: type[msgspec.Struct], data: Any, path: KeyPath) -> msgspec.Struct | None:
        if not isinstance(data, dict):
            self.problem(path, f"expected a table, got {type(data).__name__}")
            return None
        fields = {field.encode_name: field for field in msgspec.structs.fields(schema)}
        before = len(self.problems)
        for key in data.keys() - fields.keys():
            self.problem((*path, key), f"unknown key{_suggestion(key, list(fields))}")
        values: dict[str, Any] = {}
        for key, field in fields.items():
            if key in data:
                values[field.name] = self.value(inspect.type_info(field.type), field.type, data[key], (*path, key))
            elif field.required:
                self.problem((*path, key), "is missing")
        if len(self.problems) > before:
            return None
        try:
            return schema(**values)
        except ValueError as error:  # what the struct itself asks of its fields together
            self.problem(path, str(error))
            return None

    def value(self, kind: inspect.Type, schema: Any, data: Any, path: KeyPath) -> Any:
        if isinstance(kind, inspect.StructType):
            return self.struct(kind.cls, data, path)
        if isinstance(kind, inspect.ListType) and isinstance(kind.item_type, inspect.StructType):
            if not isinstance(data, list):
                self.problem(path, f"expected a list of tables, got {type(data).__name__}")
                return None
            return [self.struct(kind.item_type.cls, item, (*path, i)) for i, item in enumerate(data)]
        try:
            return msgspec.convert(data, schema)
        except msgspec.ValidationError as error:
            self.problem(path, f"{_message_without_path(str(error))}, got {data!r}")
            return None


def _suggestion(key: str, known: list[str]) -> str:
    close = difflib.get_close_matches(key, known, n=1, cutoff=MIN_SIMILARITY)
    return f"; did you mean {close[0]!r}?" if close else f"; known here: {', '.join(sorted(known))}"


def _message_without_path(text: str) -> str:
    """Return msgspec's message without the path, which the problem has already."""
    text = text.split(" - at `")[0]
    return text[:1].lower() + text[1:]
