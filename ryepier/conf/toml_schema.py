"""TOML text into a checked msgspec struct, or every problem in it at once, each with its key and line.

Pure: takes text and gives structs. msgspec stops at its first error, so tables are walked here and only the single
values are left to it; that way one pass over a file reports all that is wrong with it.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

T = TypeVar("T", bound=msgspec.Struct)
Path = tuple[str | int, ...]

ENV_SEPARATOR = "__"  # between the parts of a key in the name of an environment variable
CLOSE_ENOUGH = 0.6  # similarity from which a known key is offered for an unknown one: difflib's own default
_TABLE = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-.\"']+)\s*=(.*)$")
_TOML_PLACE = re.compile(r"\(at line (\d+), column \d+\)")


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong: `key` as `table[2].name` (empty: the file), `line` from 1 (0: not in the file)."""

    key: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return the problem as one line: line, key, text."""
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.key}: {self.text}" if self.key else f"{place}{self.text}"


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


def spell(path: Path) -> str:
    """Return a key's path as it is written: `faults[2].at_s`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


class KeyLines:
    """Where the keys of a TOML text stand, for problems that only show when several tables are read together."""

    def __init__(self, text: str) -> None:
        """Find the keys of `text`, which need not be valid TOML."""
        self._lines = _lines_of_keys(text)

    def problem(self, path: Path, text: str) -> Problem:
        """The problem `text` at the key `path`, or at the nearest table above it that the file names."""
        at = path
        while at and at not in self._lines:
            at = at[:-1]
        return Problem(spell(path), self._lines.get(at, 0), text)


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


def _lines_of_keys(text: str) -> dict[Path, int]:
    """Where each table and key of a TOML text begins. Keys inside inline tables are found by their table only."""
    lines: dict[Path, int] = {}
    counts: dict[Path, int] = {}
    table: Path = ()
    depth = 0
    for number, line in enumerate(text.splitlines(), 1):
        header = _TABLE.match(line) if depth == 0 else None
        if header is not None:
            names = tuple(part.strip(" \"'") for part in header[2].split("."))
            table = (*_numbered(names[:-1], counts), names[-1])
            if header[1] == "[[":
                counts[table] = counts.get(table, -1) + 1
                table += (counts[table],)
            lines.setdefault(table, number)
            continue
        key = _KEY.match(line) if depth == 0 else None
        if key is not None:
            path = table + tuple(part.strip(" \"'") for part in key[1].split("."))
            lines.setdefault(path, number)
        remainder = (key[2] if key is not None else line).split("#")[0]
        depth = max(0, depth + remainder.count("[") - remainder.count("]"))
    return lines


def _numbered(names: tuple[str, ...], counts: dict[Path, int]) -> Path:
    """The path of a table, with the number of the last entry wherever it leads through a list of tables."""
    path: Path = ()
    for name in names:
        path += (name,)
        if path in counts:
            path += (counts[path],)
    return path


class _SchemaReader:
    """One pass over the tables; what is wrong is collected, and nothing is raised."""

    def __init__(self, lines: KeyLines) -> None:
        self.lines = lines
        self.problems: list[Problem] = []

    def problem(self, path: Path, text: str) -> None:
        self.problems.append(self.lines.problem(path, text))

    def struct(self, schema: type[msgspec.Struct], data: Any, path: Path) -> msgspec.Struct | None:
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

    def value(self, kind: inspect.Type, schema: Any, data: Any, path: Path) -> Any:
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
    close = difflib.get_close_matches(key, known, n=1, cutoff=CLOSE_ENOUGH)
    return f"; did you mean {close[0]!r}?" if close else f"; known here: {', '.join(sorted(known))}"


def _message_without_path(text: str) -> str:
    """msgspec's own words without the path, which the problem has already."""
    text = text.split(" - at `")[0]
    return text[:1].lower() + text[1:]
