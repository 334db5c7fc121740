"""Find the lines of a TOML text on which its keys stand, for problems that name them."""

from __future__ import annotations

import re
from dataclasses import dataclass

KeyPath = tuple[str | int, ...]

_TABLE = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-.\"']+)\s*=(.*)$")


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
        self._lines = _lines_of_keys(text)

    def problem_at(self, path: KeyPath, text: str) -> Problem:
        """Return the problem `text` at the key `path`, or at the nearest table above it that the file names."""
        at = path
        while at and at not in self._lines:
            at = at[:-1]
        return Problem(format_key_path(path), self._lines.get(at, 0), text)


def _lines_of_keys(text: str) -> dict[KeyPath, int]:
    """Where each table and key of a TOML text begins. Keys inside inline tables are found by their table only."""
    lines: dict[KeyPath, int] = {}
    counts: dict[KeyPath, int] = {}
    table: KeyPath = ()
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


def _numbered(names: tuple[str, ...], counts: dict[KeyPath, int]) -> KeyPath:
    """Return the path of a table, with the number of the last entry wherever it leads through a list of tables."""
    path: KeyPath = ()
    for name in names:
        path += (name,)
        if path in counts:
            path += (counts[path],)
    return path
