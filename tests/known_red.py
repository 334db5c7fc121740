"""KNOWN-RED.txt: the few tests that may fail for now, one line each: `test, cause, issue`. What is decided of them,
without files or pytest; `conftest.py` tells it what a run collected and how that ended."""

from __future__ import annotations

import enum
import re
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

FILE = "KNOWN-RED.txt"
MOST = 3  # lines
# hazard: a parametrised id may hold commas; where no collected test tells its end, it ends at the first "],"
LINE = re.compile(r"(?P<test>[^,\[]*(?:\[.*?\])?)\s*,(?P<cause>.+),(?P<issue>[^,]+)")
TEST = re.compile(r"[^:]+\.py::.+")
ISSUE = re.compile(r"(?:issue |#)?\d+")


@dataclass(frozen=True)
class Entry:
    """A line that can be read."""

    test: str  # its node id
    cause: str
    issue: str


class Ending(enum.Enum):
    """How a listed test ended, with what is said of it."""

    FAILED = "failed, as listed"
    PASSED = "passes: take its line out"
    SKIPPED = "was skipped or expected to fail, which is not its failure"
    SETUP = "its set-up broke, which is not its failure"
    TEARDOWN = "its teardown broke, which is not its failure"


@dataclass(frozen=True)
class Verdict:
    """What is printed of the list, and what fails the run."""

    notes: Sequence[str]
    faults: Sequence[str]


def split_lines(text: str) -> list[str]:
    return text.removesuffix("\n").split("\n") if text else []


def parse(line: str, collected: Collection[str] = ()) -> Entry:
    """Of all that may be the line's test, the longest that was collected. Raises ValueError."""
    fields = line.split(",")
    starts = [",".join(fields[:end]).strip() for end in range(len(fields) - 2, 0, -1)]
    named = next((start for start in starts if start in collected), None)
    if named is not None:
        cause, _, issue = line.strip()[len(named) :].lstrip(" ,").rpartition(",")
        entry = Entry(named, cause.strip(), issue.strip())
    elif match := LINE.fullmatch(line):
        entry = Entry(*(match[name].strip() for name in ("test", "cause", "issue")))
    else:
        raise ValueError("is not `test, cause, issue`")
    if not TEST.fullmatch(entry.test):
        raise ValueError("does not begin with a pytest node id")
    if not entry.cause:
        raise ValueError("names no cause")
    if not ISSUE.fullmatch(entry.issue):
        raise ValueError("names no issue by its number")
    return entry


def parse_all(lines: Sequence[str], collected: Collection[str] = ()) -> tuple[list[Entry], list[str]]:
    """The entries, and what is wrong with the lines."""
    entries: list[Entry] = []
    faults = [f"{len(lines)} lines, at most {MOST} may be there"] if len(lines) > MOST else []
    for number, line in enumerate(lines, 1):
        try:
            entry = parse(line, collected)
        except ValueError as error:
            faults.append(f"line {number} {error}: {line!r}")
            continue
        if any(entry.test == other.test for other in entries):
            faults.append(f"line {number} lists {entry.test} again")
        else:
            entries.append(entry)
    return entries, faults


def asked_for(test: str, arguments: Collection[str]) -> bool:
    """Whether a run of these folders, files and tests, by their paths from the root, takes in the test."""
    return any(
        argument == "." or test == argument or test.startswith((argument + "/", argument + "::", argument + "["))
        for argument in arguments
    )


def judge(
    lines: Sequence[str],
    collected: Collection[str],
    selected: Collection[str],
    endings: Mapping[str, Ending],
    wanted: Callable[[str], bool],
) -> Verdict:
    """The verdict on a run that has ended. `collected` are all tests found, `selected` those of them that were to run,
    `wanted` says whether a test had to be found."""
    entries, faults = parse_all(lines, collected)
    notes = []
    for entry in entries:
        ending = endings.get(entry.test)
        if ending is not None:
            said, sound = ending.value, ending is Ending.FAILED
        elif entry.test in selected:
            said, sound = "did not run to its end", False
        elif entry.test in collected or not wanted(entry.test):
            said, sound = "not asked for in this run", True
        else:
            said, sound = "names no test", False
        notes.append(f"{entry.test}, {entry.cause}, {entry.issue}: {said}")
        if not sound:
            faults.append(f"{entry.test}: {said}")
    return Verdict(notes, faults)
