"""Find the lines of a TOML text on which its keys stand, for problems that name them."""

from __future__ import annotations

import re
from dataclasses import dataclass

KeyPath = tuple[str | int, ...]

_TABLE_HEADER = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$")
_KEY_VALUE = re.compile(r"^\s*([A-Za-z0-9_\-.\"']+)\s*=(.*)$")


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong: `key` as `table[2].name` (empty: the file), `line` from 1 (0: not in the file)."""

    key: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return the problem as one line: line, key, text."""
        location = f"line {self.line}: " if self.line else ""
        return f"{location}{self.key}: {self.text}" if self.key else f"{location}{self.text}"


def format_key_path(path: KeyPath) -> str:
    """Return a key's path as it is written: `faults[2].at_s`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


class KeyLines:
    """Where the keys of a TOML text stand, for problems that only show when several tables are read together."""

    def __init__(self, text: str) -> None:
        """Find the keys of `text`, which need not be valid TOML."""
        self._lines = _find_key_lines(text)

    def problem_at(self, path: KeyPath, text: str) -> Problem:
        """Return the problem `text` at the key `path`, or at the nearest table above it that the file names."""
        known_path = path
        while known_path and known_path not in self._lines:
            known_path = known_path[:-1]
        return Problem(format_key_path(path), self._lines.get(known_path, 0), text)


def _find_key_lines(text: str) -> dict[KeyPath, int]:
    """Where each table and key of a TOML text begins. Keys inside inline tables are found by their table only."""
    lines: dict[KeyPath, int] = {}
    last_indexes: dict[KeyPath, int] = {}
    table: KeyPath = ()
    bracket_depth = 0
    for line_number, line in enumerate(text.splitlines(), 1):
        header = _TABLE_HEADER.match(line) if bracket_depth == 0 else None
        if header is not None:
            names = tuple(part.strip(" \"'") for part in header[2].split("."))
            table = (*_with_list_indexes(names[:-1], last_indexes), names[-1])
            if header[1] == "[[":
                last_indexes[table] = last_indexes.get(table, -1) + 1
                table += (last_indexes[table],)
            lines.setdefault(table, line_number)
            continue
        key = _KEY_VALUE.match(line) if bracket_depth == 0 else None
        if key is not None:
            path = table + tuple(part.strip(" \"'") for part in key[1].split("."))
            lines.setdefault(path, line_number)
        value_text = (key[2] if key is not None else line).split("#")[0]
        bracket_depth = max(0, bracket_depth + value_text.count("[") - value_text.count("]"))
    return lines


def _with_list_indexes(names: tuple[str, ...], last_indexes: dict[KeyPath, int]) -> KeyPath:
    """Return the path of a table, with the number of the last entry wherever it leads through a list of tables."""
    path: KeyPath = ()
    for name in names:
        path += (name,)
        if path in last_indexes:
            path += (last_indexes[path],)
    return path
