"""Tests of what the maintenance experiments derive from journals and logs: outages, elections, candidacies, grants."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from types import SimpleNamespace

import pytest

from ryepier.emulator.process import monotonic_us
from ryepier.experiments.maintenance.fleet_process import JournalLine
from ryepier.experiments.maintenance.outcome import (
    FOREVER_US,
    Outage,
    elections_by_term,
    grants_us,
    outages,
    repeated_candidacies,
)

WARM_UP_US = 1000


def journal_lines(*steps: tuple[int, str, int]) -> list[JournalLine]:
    return [JournalLine(at_us, action, "a", token) for at_us, action, token in steps]


@pytest.mark.parametrize(
    ("steps", "expected_outages"),
    [
        ([(10, "drain", 1), (20, "stop", 1), (30, "start", 1)], [(10, 1030, {1})]),
        ([(10, "drain", 1), (20, "stop", 1)], [(10, FOREVER_US, {1})]),
        (
            [(10, "drain", 1), (20, "stop", 1), (30, "start", 1), (40, "stop", 2), (50, "start", 2)],
            [(10, 1050, {1, 2})],
        ),
        (
            [(10, "drain", 1), (20, "stop", 1), (30, "start", 1), (1030, "drain", 2)],
            [(10, 1030, {1}), (1030, FOREVER_US, {2})],
        ),
        ([(10, "refused", 1), (20, "list", 1)], []),
    ],
    ids=["whole", "not recovered", "down again before it is warm", "again once warm", "nothing done"],
)
def test_outage_lasts_from_drain_until_an_incarnation_is_warm(
    steps: list[tuple[int, str, int]], expected_outages: list[tuple[int, int, set[int]]]
) -> None:
    expected = [Outage("a", start_us, warm_us, frozenset(tokens)) for start_us, warm_us, tokens in expected_outages]
    assert list(outages(journal_lines(*steps), WARM_UP_US)) == expected


def outcome_with_log(folder: Path, *messages: str) -> SimpleNamespace:
    lines = [json.dumps({"message": message}) for message in messages]
    (folder / "north-0.log").write_text("\n".join(["a line that is no record", *lines]))
    return SimpleNamespace(folder=folder)


def test_repeated_candidacy_in_a_term_is_counted(tmp_path: Path) -> None:
    messages_without_repetition = (
        "candidate in term 1",
        "leader in term 1",
        "coordinator is up",
        "follower in term 3",
        "candidate in term 4",
    )
    assert repeated_candidacies(outcome_with_log(tmp_path, *messages_without_repetition), ["north-0"]) == 0  # type: ignore[arg-type]
    outcome_with_repetition = outcome_with_log(
        tmp_path, *messages_without_repetition, "coordinator is up", "candidate in term 1"
    )
    assert repeated_candidacies(outcome_with_repetition, ["north-0"]) == 1  # type: ignore[arg-type]


def test_elections_are_counted_by_term(tmp_path: Path) -> None:
    outcome = outcome_with_log(
        tmp_path, "leader in term 1", "follower in term 2", "leader in term 3", "leader in term 3"
    )
    assert elections_by_term(outcome, ["north-0"]) == {1: 1, 3: 2}  # type: ignore[arg-type]


def test_grant_times_are_read_from_logs_and_converted_to_the_monotonic_clock(tmp_path: Path) -> None:
    now = datetime.now(UTC)
    lines = [
        {"time": now.isoformat(), "message": "lease granted", "lease": "l1"},
        {"time": now.isoformat(), "message": "lease not granted: no", "lease": "l2"},
    ]
    (tmp_path / "north-0.log").write_text("\n".join(json.dumps(line) for line in lines))
    (granted_us,) = grants_us(SimpleNamespace(folder=tmp_path), ["north-0"])  # type: ignore[arg-type]
    assert abs(granted_us - monotonic_us()) < 5_000_000
