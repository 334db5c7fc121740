"""Reads KNOWN-RED.txt, the list of tests that may currently fail, and judges a test run by it.

An entry has one line for each of `FIELDS`. Blank lines separate entries:

    test: tests/test_selection.py::test_name[a, b]
    command: python -m pytest tests/test_selection.py
    seed: none
    seen: TimeoutError after 20 s in 2 of 5 runs
    issue: 26

This module neither reads files nor imports pytest; `known_red_plugin.py` connects it to a test run.
"""

from __future__ import annotations

import enum
import itertools
import re
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

FILE_NAME = "KNOWN-RED.txt"
FIELDS = ("test", "command", "seed", "seen", "issue")
NODE_ID_PATTERN = re.compile(r"[^:]+\.py::.+")
ISSUE_PATTERN = re.compile(r"(?:issue |#)?\d+")


class EntryError(ValueError):
    """An entry is invalid. The message completes a sentence that starts with the entry's number."""


@dataclass(frozen=True)
class Entry:
    """A test that may fail, and what is known about its failure."""

    test: str
    """The pytest node id."""
    command: str
    """A command that reproduces the failure when run from the root of the repository."""
    seed: str
    """The random seed of the command, or "none"."""
    seen: str  # the observed failure
    issue: str  # the number of the issue that tracks the failure

    def __str__(self) -> str:
        """Return all fields on one line."""
        return "; ".join(f"{name}: {getattr(self, name)}" for name in FIELDS)


@dataclass(frozen=True)
class Listing:
    """The parsed content of KNOWN-RED.txt."""

    entries: Sequence[Entry]
    errors: Sequence[str]
    """Descriptions of invalid entries. A list with errors allows no test to fail."""

    @property
    def allowed_failures(self) -> frozenset[str]:
        """The node ids of the tests that may fail."""
        return frozenset() if self.errors else frozenset(entry.test for entry in self.entries)


class Ending(enum.Enum):
    """How a listed test ended. The values are printed at the end of the run."""

    FAILED = "failed, as listed"
    PASSED = "passes: take its entry out"
    SKIPPED = "was skipped or expected to fail, which is not its failure"
    SETUP = "its set-up broke, which is not its failure"
    TEARDOWN = "its teardown broke, which is not its failure"


@dataclass(frozen=True)
class Verdict:
    """The notes about listed tests to print at the end of a test run, and the errors that make the run fail."""

    notes: Sequence[str]
    errors: Sequence[str]


def parse_entry(lines: Iterable[str]) -> Entry:
    """Parse the lines of one entry. Raises EntryError if a line, or the entry as a whole, is invalid."""
    values: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name not in FIELDS or not value.strip():
            raise EntryError(f"has a line that cannot be read: {line!r}")
        if name in values:
            raise EntryError(f"gives {name} twice")
        values[name] = value.strip()
    missing = [name for name in FIELDS if name not in values]
    if missing:
        raise EntryError(f"lacks {', '.join(missing)}")
    entry = Entry(**values)
    if not NODE_ID_PATTERN.fullmatch(entry.test):
        raise EntryError(f"names no pytest node id: {entry.test!r}")
    if not ISSUE_PATTERN.fullmatch(entry.issue):
        raise EntryError(f"names no issue by its number: {entry.issue!r}")
    return entry


def parse(text: str) -> Listing:
    """Parse the text of KNOWN-RED.txt; entries that are invalid or repeated are returned as errors."""
    entries: list[Entry] = []
    errors: list[str] = []
    blocks = itertools.groupby(text.splitlines(), key=lambda line: bool(line.strip()))
    for number, lines in enumerate((list(lines) for is_entry, lines in blocks if is_entry), 1):
        try:
            entry = parse_entry(lines)
        except EntryError as error:
            errors.append(f"entry {number} {error}")
            continue
        if any(entry.test == other.test for other in entries):
            errors.append(f"entry {number} lists {entry.test} again")
        else:
            entries.append(entry)
    return Listing(entries, errors)


def is_requested(test: str, arguments: Collection[str]) -> bool:
    """Return whether a run with these arguments includes a test.

    `arguments` are folders, files and tests, with their paths relative to the root of the repository.
    """
    return any(
        argument == "." or test == argument or test.startswith((argument + "/", argument + "::", argument + "["))
        for argument in arguments
    )


def judge(
    listing: Listing,
    collected: Collection[str],
    selected: Collection[str],
    endings: Mapping[str, Ending],
    must_exist: Callable[[str], bool],
) -> Verdict:
    """Judge a run that has ended.

    `collected` are all tests that pytest collected, and `selected` are those that were not deselected. `endings` has
    the listed tests that ran. `must_exist` returns whether the run should have collected a given test.
    """
    notes: list[str] = []
    errors = list(listing.errors)
    for entry in listing.entries:
        ending = endings.get(entry.test)
        if ending is not None:
            description, is_acceptable = ending.value, ending is Ending.FAILED
        elif entry.test in selected:
            description, is_acceptable = "did not run to its end", False
        elif entry.test in collected or not must_exist(entry.test):
            description, is_acceptable = "not requested in this run", True
        else:
            description, is_acceptable = "names no test", False
        notes.append(f"{entry.test}: {description}")
        if not is_acceptable:
            errors.append(f"{entry.test}: {description}")
    return Verdict(notes, errors)
