"""Tests of the simulation: histories are reproducible, the search finds seeded faults, and findings are reduced."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from ryepier.balancer.balancer import Balancer
from ryepier.cli import main
from ryepier.emulator import simulated
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.harness import Harness
from ryepier.emulator.records import AttemptOutcome, ClientAttempt, ConverterAttempt, RequestOutcome
from ryepier.emulator.world import Fault, FaultKind
from ryepier.experiments.core import judge
from ryepier.experiments.core.worlds import load
from ryepier.experiments.simulation import coverage, random_worlds, search
from ryepier.experiments.simulation.coverage import FaultExposure, Position, RequestState
from ryepier.experiments.simulation.request_story import request_events

SEEDS = range(24)


def test_short_search_finds_no_violation() -> None:
    assert [
        result.finding.first_violation for result in search.search(SEEDS, processes=4) if result.finding is not None
    ] == []


def test_drawn_worlds_are_reproducible_and_contain_all_fault_kinds() -> None:
    worlds = [random_worlds.draw_world(seed) for seed in range(200)]
    assert worlds == [random_worlds.draw_world(seed) for seed in range(200)]
    drawn_kinds = {fault.kind for world in worlds for fault in world.faults}
    assert drawn_kinds == set(random_worlds.FAULT_WEIGHTS) | set(random_worlds.RESPONSE_FAULT_WEIGHTS)


def test_history_does_not_depend_on_the_hash_seed() -> None:
    """Compare the histories of four worlds under two hash seeds.

    The worlds of seeds 2 and 9 have planners and EndpointSlices, and those of seeds 3 and 343 have the guard against
    retry storms.
    """
    code = (
        "from ryepier.experiments.simulation import random_worlds, search\nfrom ryepier.emulator import simulated\n"
        "for seed in (2, 3, 9, 343): "
        "print(search.hash_history(simulated.run_world(random_worlds.draw_world(seed), seed)))"
    )
    outputs = [
        subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1] and len(set(outputs[0].split())) == 4


def test_history_is_reproducible_for_a_seed() -> None:
    world = random_worlds.draw_world(5)
    first, second = (search.hash_history(simulated.run_world(world, 5)) for _ in range(2))
    assert first == second != search.hash_history(simulated.run_world(world, 6))


@pytest.mark.parametrize(
    ("seeded_fault", "seeds", "rule"),
    [
        ("answer-twice", range(2), "second-answer"),
        ("keep-after-time-out", range(4, 6), "together"),
        ("forget-drain", range(110, 112), "drain"),
        ("reuse-at-once", range(17, 18), "forged"),
    ],
)
def test_search_finds_seeded_faults(seeded_fault: str, seeds: range, rule: str) -> None:
    findings = [
        result.finding for result in search.search(seeds, seeded_fault, processes=2) if result.finding is not None
    ]
    assert findings and all(rule in finding.rules for finding in findings)


def test_finding_is_saved_loaded_and_shrunk(tmp_path: Path) -> None:
    # in worker processes, because an installed fault cannot be removed
    finding = next(
        result.finding for result in search.search(range(4, 6), "keep-after-time-out", processes=2) if result.finding
    )
    path = tmp_path / "find.json"
    search.save(finding, path)
    assert search.load(path) == finding
    shrunk = search.shrink(finding, lambda world: any(fault == finding.world.faults[0] for fault in world.faults))
    assert shrunk.seed == finding.seed
    path.write_bytes(b"{")
    assert CliRunner().invoke(main, ["sim", "replay", str(path)]).exit_code == 2


def test_request_events_include_client_and_converter() -> None:
    history = simulated.run_world(random_worlds.draw_world(1), 1)
    attempt = next(attempt for attempt in history.client_attempts if attempt.outcome == "served")
    lines = request_events(history, attempt.request_id)
    assert "client sends" in lines[0] and "served, status 200" in lines[-1]
    assert any("runs it" in line for line in lines)


def test_backend_rejects_unsupported_features_by_name(tmp_path: Path) -> None:
    with pytest.raises(HarnessError, match="without sidecars"):
        simulated.run_world(load("ceiling"), 1)
    result = CliRunner().invoke(
        main, ["experiment", "run", "breaking-point", "--backend", "sim", "--out", str(tmp_path)]
    )
    assert result.exit_code == 1 and "measures CPU" in result.stderr
    world = msgspec.structs.replace(load("steady"), faults=[Fault(kind=FaultKind.CLOCK_JUMP, at_s=1.0, jump_s=5.0)])
    with pytest.raises(HarnessError, match="only in simulation: clock-jump"):
        Harness(world, 1, tmp_path)


def test_simulated_sidecars_follow_planners_and_write_logs(tmp_path: Path) -> None:
    world = load("planner-kill")
    reduced_world = msgspec.structs.replace(
        world,
        sidecars=msgspec.structs.replace(world.sidecars, count=6, storm_guard=True),
        faults=[fault for fault in world.faults if fault.kind == "planner-kill"],
    )
    history = simulated.run_world(reduced_world, 1, tmp_path)
    assert judge.find_breaches(reduced_world, history) == []
    following_sidecars = [
        path.name for path in tmp_path.glob("sidecar-*.log") if "following plans of" in path.read_text()
    ]
    assert len(following_sidecars) == 6
    assert "leads, epoch" in (tmp_path / "planner-1.log").read_text()  # planner 1 took over from the killed planner


def test_exception_logged_by_a_sidecar_fails_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(self: Balancer, event: object) -> None:
        raise ZeroDivisionError("stumbled")

    monkeypatch.setattr(Balancer, "on_attempt_ended", raise_error)
    finding = search.run_world(random_worlds.draw_world(1), 1).finding
    assert finding is not None and finding.rules == {"failed": 1}
    assert "stumbled" in finding.first_violation and "sidecar" in finding.first_violation


def test_suspended_sidecar_breaks_no_rule_and_serves_after_it_resumes() -> None:
    world = load("sidecar-kill")
    world = msgspec.structs.replace(world, faults=[Fault(kind=FaultKind.SIDECAR_HANG, at_s=3.0, for_s=2.0, index=0)])
    history = simulated.run_world(world, 1)
    assert judge.find_breaches(world, history) == []
    sidecar_attempts = [attempt for attempt in history.client_attempts if attempt.sidecar == 0]
    assert not any(
        3_100_000 < attempt.ended_us < 4_900_000 and attempt.outcome == "served" for attempt in sidecar_attempts
    )
    assert sum(attempt.outcome == "served" for attempt in sidecar_attempts if attempt.sent_us > 6_000_000) > 100


def test_killed_sidecar_loses_only_its_own_requests_and_recovers() -> None:
    world = load("sidecar-kill")
    history = simulated.run_world(world, 1)
    assert judge.find_breaches(world, history) == []
    [killed] = [incarnation for incarnation in history.incarnations if incarnation.killed]
    sidecar_attempts = [attempt for attempt in history.client_attempts if attempt.sidecar == killed.sidecar]
    assert any(attempt.outcome in ("broken", "unreachable") for attempt in sidecar_attempts)
    assert any(
        attempt.outcome == "served" and attempt.sent_us > killed.ended_us + 2_000_000 for attempt in sidecar_attempts
    )
    assert all(attempt.outcome != "broken" for attempt in history.client_attempts if attempt.sidecar != killed.sidecar)


def test_bundled_world_runs_in_simulation() -> None:
    result = CliRunner().invoke(main, ["sim", "run", "demo"])
    summary = json.loads(result.stdout)
    assert result.exit_code == 0 and summary["breaches"] == {} and summary["service"] > 0.8
    assert set(judge.RULES) >= set(summary["breaches"])


# Coverage


def test_request_state_is_derived_from_its_records() -> None:
    attempt = ClientAttempt(
        arrival=1,
        number=0,
        request_id="a",
        key="",
        request_class=0,
        tenant=0,
        sidecar=0,
        work_us=1,
        planned_us=0,
        sent_us=0,
        deadline_us=10**6,
        ended_us=900,
        outcome=RequestOutcome.SERVED,
    )
    rejected_attempt = ConverterAttempt(
        "a", "", "c1", 1, first_byte_us=100, received_us=150, ended_us=300, outcome=AttemptOutcome.ANSWERED, status=503
    )
    abandoned_attempt = ConverterAttempt(
        "a", "", "c3", 1, first_byte_us=450, received_us=450, ended_us=1000, outcome=AttemptOutcome.CLOSED
    )
    served_attempt = ConverterAttempt(
        "a",
        "",
        "c2",
        2,
        first_byte_us=500,
        received_us=550,
        ended_us=800,
        outcome=AttemptOutcome.ANSWERED,
        status=200,
        started_us=600,
        finished_us=700,
    )
    states = {
        at_us: coverage.position_at(attempt, [rejected_attempt, abandoned_attempt, served_attempt], at_us)
        for at_us in (50, 120, 200, 400, 520, 560, 650, 750, 850, 950, 1100)
    }
    assert states == {
        50: Position(RequestState.NOT_SENT),
        120: Position(RequestState.ARRIVING, "c1"),
        200: Position(RequestState.QUEUED, "c1"),
        400: Position(RequestState.BETWEEN_ATTEMPTS),
        520: Position(RequestState.ARRIVING, "c2"),
        560: Position(RequestState.QUEUED, "c2"),
        650: Position(RequestState.RUNNING, "c2"),
        750: Position(RequestState.ANSWERING, "c2"),
        850: Position(RequestState.ANSWERING, "c2"),
        950: Position(RequestState.ABANDONED_ATTEMPT, "c3"),
        1100: None,
    }
    assert {position.state for position in states.values() if position} == set(RequestState)


def test_search_draws_rarely_tried_faults_more_often() -> None:
    covered = coverage.Coverage()
    for state in RequestState:
        covered.counts[FaultExposure("hang", state)] = coverage.MIN_EXPOSURES
    boosts = search.boosts_from_coverage(covered)
    assert boosts["hang"] == 1.0 and boosts["slow"] == 1.0 + search.MAX_BOOST and boosts["surge"] == 1.0
    hang_counts = [
        sum(
            fault.kind == "hang" for seed in range(300) for fault in random_worlds.draw_world(seed, world_boosts).faults
        )
        for world_boosts in ({}, boosts)
    ]
    assert hang_counts[1] < hang_counts[0] / 2
