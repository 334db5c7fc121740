"""Line numbers of the keys in a TOML text, for error messages."""

from __future__ import annotations

import re
from dataclasses import dataclass

KeyPath = tuple[str | int, ...]  # names of tables and keys, and indexes into lists of tables

_TABLE_HEADER = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$")
_KEY_VALUE = re.compile(r"^\s*([A-Za-z0-9_\-.\"']+)\s*=(.*)$")


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a configuration.

    `key` is written like `table[2].name` and is empty for an error of the whole file. `line` counts from 1; it is 0 for
    a value that is not in the file.
    """

    key: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return one line of text with the line number and the key, where they are known, and the message."""
        location = f"line {self.line}: " if self.line else ""
        return f"{location}{self.key}: {self.text}" if self.key else f"{location}{self.text}"


def format_key_path(path: KeyPath) -> str:
    """Return a key's path as text, such as `faults[2].at_s`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


class KeyLines:
    """Maps the keys of a TOML text to their lines.

    It does not depend on the TOML parser, so problems found after parsing, such as conflicting tables, get lines too.
    """

    def __init__(self, text: str) -> None:
        """Index the keys of `text`, which need not be valid TOML."""
        self._line_numbers = _find_key_lines(text)

    def problem_at(self, path: KeyPath, text: str) -> Problem:
        """Return a problem with the message `text` at the key `path`.

        If the file does not have the key, the line is that of the nearest enclosing table that the file has.
        """
        known_path = path
        while known_path and known_path not in self._line_numbers:
            known_path = known_path[:-1]
        return Problem(format_key_path(path), self._line_numbers.get(known_path, 0), text)


def _find_key_lines(text: str) -> dict[KeyPath, int]:
    """Return the number of the line on which each table and each key begins.

    Keys of inline tables are not included: their problems are reported on the line where the inline table begins.
    """
    line_numbers: dict[KeyPath, int] = {}
    last_indexes: dict[KeyPath, int] = {}
    table: KeyPath = ()
    bracket_depth = 0  # above 0 on the further lines of a multi-line list, which have no headers or keys
    for line_number, line in enumerate(text.splitlines(), 1):
        header_match = _TABLE_HEADER.match(line) if bracket_depth == 0 else None
        if header_match is not None:
            names = tuple(part.strip(" \"'") for part in header_match[2].split("."))
            table = (*_with_list_indexes(names[:-1], last_indexes), names[-1])
            if header_match[1] == "[[":
                last_indexes[table] = last_indexes.get(table, -1) + 1
                table += (last_indexes[table],)
            line_numbers.setdefault(table, line_number)
            continue
        key_match = _KEY_VALUE.match(line) if bracket_depth == 0 else None
        if key_match is not None:
            path = table + tuple(part.strip(" \"'") for part in key_match[1].split("."))
            line_numbers.setdefault(path, line_number)
        value_text = (key_match[2] if key_match is not None else line).split("#")[0]
        bracket_depth = max(0, bracket_depth + value_text.count("[") - value_text.count("]"))
    return line_numbers


def _with_list_indexes(names: tuple[str, ...], last_indexes: dict[KeyPath, int]) -> KeyPath:
    """Return the path of a table. Each array of tables on the path is followed by the index of its latest entry."""
    path: KeyPath = ()
    for name in names:
        path += (name,)
        if path in last_indexes:
            path += (last_indexes[path],)
    return path
