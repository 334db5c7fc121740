"""Reads elections, candidacies and lease grants from the logs of a region's coordinators."""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from ryepier.emulator.process import monotonic_us
from ryepier.maintenance.replication.roles import Role
from ryepier.maintenance.server import LEASE_GRANTED_MESSAGE

TERM_SEPARATOR = " in term "  # between the role and the term in a log message


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a process's log. `time` is in ISO 8601 format, or empty if the record has none."""

    message: str
    time: str


def read_records(path: Path) -> Iterator[LogRecord]:
    """Yield the records of a log file. Lines that are not JSON objects are skipped."""
    for text in path.read_text(errors="replace").splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if isinstance(line, dict):
            yield LogRecord(str(line.get("message", "")), str(line.get("time", "")))


def elections_by_term(logs: list[Path]) -> Mapping[int, int]:
    """Return how often a replica of the region became the leader, by term. More than one in a term is a fault."""
    leader_in_term = f"{Role.LEADER.value}{TERM_SEPARATOR}"
    elections: Counter[int] = Counter()
    for log in logs:
        for record in read_records(log):
            if record.message.startswith(leader_in_term):
                elections[int(record.message.removeprefix(leader_in_term))] += 1
    return elections


def repeated_candidacies(logs: list[Path]) -> int:
    """Return how often a replica became a candidate in a term that it had already entered.

    A candidate votes for itself, so such a candidacy is a second vote in the term.
    """
    count = 0
    for log in logs:
        highest_term = 0
        for record in read_records(log):
            role, separator, term = record.message.partition(TERM_SEPARATOR)
            if not separator or not term.isdecimal():
                continue
            count += role == Role.CANDIDATE.value and int(term) <= highest_term
            highest_term = max(highest_term, int(term))
    return count


def grants_us(logs: list[Path]) -> list[int]:
    """Return the times at which leaders of the region granted leases, in µs of the monotonic clock, sorted."""
    calendar_offset_us = time.time_ns() // 1000 - monotonic_us()
    granted_us = []
    for log in logs:
        for record in read_records(log):
            if record.message == LEASE_GRANTED_MESSAGE:
                logged_at = datetime.fromisoformat(record.time)
                granted_us.append(round(logged_at.timestamp() * 1e6) - calendar_offset_us)
    return sorted(granted_us)
