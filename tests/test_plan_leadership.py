"""Leader election among planners, and the snapshot from which a restarted planner continues."""

from __future__ import annotations

from pathlib import Path

import pytest

from ryepier.plan import snapshot
from ryepier.plan.evidence import ForwarderStats
from ryepier.plan.leadership import LEADER_TIMEOUT_US, Leadership
from ryepier.plan.messages import (
    Heartbeat,
    Term,
)
from ryepier.plan.plan_computation import ConverterState, ConverterStatus
from tests.plan_scenarios import (
    SECOND_US,
)


def forwarder_stats(term: Term, accepted_at_us: int, count: int = 10) -> dict[str, ForwarderStats]:
    return {
        f"f{i}": ForwarderStats(1, 0, accepted_at_us, 1, term=term, plan_accepted_at_us=accepted_at_us)
        for i in range(count)
    }


def test_forwarders_without_a_plan_do_not_prevent_a_takeover() -> None:
    first_planner = Leadership("a", 0, 0)
    assert first_planner.tick(LEADER_TIMEOUT_US, forwarder_stats(Term(), LEADER_TIMEOUT_US), has_enough_evidence=True)


def test_first_planner_takes_over_and_the_second_waits_for_its_turn() -> None:
    first_planner, second_planner = Leadership("a", 0, 0), Leadership("b", 1, 0)
    # without enough evidence the planner can't compute a plan, so it does not take over
    assert not first_planner.tick(LEADER_TIMEOUT_US, {}, has_enough_evidence=False)
    assert first_planner.tick(LEADER_TIMEOUT_US, {}, has_enough_evidence=True) and first_planner.term == Term(1, "a")
    assert not second_planner.tick(LEADER_TIMEOUT_US, {}, has_enough_evidence=True)
    second_planner.on_heartbeat(LEADER_TIMEOUT_US, Heartbeat(first_planner.highest_term, True, 10))
    assert not second_planner.tick(2 * LEADER_TIMEOUT_US, {}, has_enough_evidence=True)
    assert second_planner.tick(3 * LEADER_TIMEOUT_US, {}, has_enough_evidence=True) and second_planner.term == Term(
        2, "b"
    )


def test_partition_between_planners_keeps_the_leader_while_forwarders_follow_it() -> None:
    second_planner = Leadership("b", 1, 0)
    for at_us in range(0, 60 * SECOND_US, SECOND_US // 4):
        assert not second_planner.tick(at_us, forwarder_stats(Term(1, "a"), at_us), has_enough_evidence=True)
    assert not second_planner.tick(
        60 * SECOND_US - SECOND_US // 4 + 2 * LEADER_TIMEOUT_US - 1,
        forwarder_stats(Term(1, "a"), 59 * SECOND_US),
        has_enough_evidence=True,
    )
    assert second_planner.tick(
        60 * SECOND_US + 4 * LEADER_TIMEOUT_US,
        forwarder_stats(Term(1, "a"), 59 * SECOND_US),
        has_enough_evidence=True,
    )


def test_leader_steps_down_when_a_forwarder_reports_a_higher_term() -> None:
    leadership = Leadership("a", 0, 0)
    assert leadership.tick(LEADER_TIMEOUT_US, {}, has_enough_evidence=True)
    assert not leadership.tick(
        LEADER_TIMEOUT_US + 1, forwarder_stats(Term(1, "b"), LEADER_TIMEOUT_US), has_enough_evidence=True
    )
    assert leadership.highest_term == Term(1, "b")


def test_snapshot_is_restored_completely_or_not_at_all(tmp_path: Path) -> None:
    saved = snapshot.take(
        5 * SECOND_US,
        1000,
        Term(4, "a"),
        {
            "c1": ConverterStatus(ConverterState.EJECTED, 3 * SECOND_US),
            "c2": ConverterStatus(ConverterState.RECOVERING, 4 * SECOND_US, 1),
        },
    )
    snapshot.save(tmp_path, saved)
    loaded = snapshot.load(tmp_path, 2000, 60_000)
    assert loaded == saved and loaded is not None
    assert loaded.restore(100 * SECOND_US) == {
        "c1": ConverterStatus(ConverterState.EJECTED, 98 * SECOND_US),
        "c2": ConverterStatus(ConverterState.RECOVERING, 99 * SECOND_US, 1),
    }
    data = (tmp_path / snapshot.FILE_NAME).read_bytes()
    for length in range(len(data)):
        with pytest.raises(snapshot.SnapshotError):
            snapshot.decode(data[:length], 2000, 60_000)
    with pytest.raises(snapshot.SnapshotError, match="altered"):
        snapshot.decode(data[:-1] + bytes([data[-1] ^ 1]), 2000, 60_000)
    for unix_ms in (62_000, 0):  # too old, or dated in the future
        with pytest.raises(snapshot.SnapshotError, match="old"):
            snapshot.load(tmp_path, unix_ms, 60_000)
    assert snapshot.load(tmp_path / "none", 0, 0) is None
