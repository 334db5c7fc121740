"""Worlds in simulation: the same history each time, planted mistakes found, and a find cut down to what matters."""

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
from ryepier.experiments.simulation.coverage import Meeting, Position, RequestState
from ryepier.experiments.simulation.request_story import request_events

SEEDS = range(24)


def test_a_short_hunt_breaks_no_rule() -> None:
    assert [one.finding.first_violation for one in search.search(SEEDS, processes=4) if one.finding is not None] == []


def test_worlds_are_drawn_alike_and_with_all_kinds_of_faults() -> None:
    worlds = [random_worlds.draw_world(seed) for seed in range(200)]
    assert worlds == [random_worlds.draw_world(seed) for seed in range(200)]
    assert {fault.kind for world in worlds for fault in world.faults} == set(random_worlds.FAULT_WEIGHTS)


def test_a_history_is_the_same_whatever_order_hashes_give() -> None:
    """With planners, slices, GraphQL and the guard in some of them."""
    code = (
        "from ryepier.experiments.simulation import random_worlds, search\nfrom ryepier.emulator import simulated\n"
        "for seed in (2, 3, 9, 343): "
        "print(search.hash_history(simulated.run_world(random_worlds.draw_world(seed), seed)))"
    )
    said = [
        subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONHASHSEED": hashes},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for hashes in ("1", "2")
    ]
    assert said[0] == said[1] and len(set(said[0].split())) == 4


def test_a_history_is_the_same_each_time() -> None:
    world = random_worlds.draw_world(5)
    first, second = (search.hash_history(simulated.run_world(world, 5)) for _ in range(2))
    assert first == second != search.hash_history(simulated.run_world(world, 6))


@pytest.mark.parametrize(
    ("plant", "seeds", "rule"),
    [
        ("answer-twice", range(2), "second-answer"),
        ("keep-after-time-out", range(4, 6), "together"),
        ("forget-drain", range(110, 112), "drain"),
    ],
)
def test_planted_mistakes_are_found(plant: str, seeds: range, rule: str) -> None:
    finds = [one.finding for one in search.search(seeds, plant, processes=2) if one.finding is not None]
    assert finds and all(rule in finding.rules for finding in finds)


def test_a_find_is_kept_played_again_and_cut_down(tmp_path: Path) -> None:
    # in processes of their own, as a plant stays
    finding = next(one.finding for one in search.search(range(4, 6), "keep-after-time-out", processes=2) if one.finding)
    path = tmp_path / "find.json"
    search.save(finding, path)
    assert search.load(path) == finding
    small = search.shrink(finding, lambda world: any(fault == finding.world.faults[0] for fault in world.faults))
    assert small.seed == finding.seed
    path.write_bytes(b"{")
    assert CliRunner().invoke(main, ["sim", "replay", str(path)]).exit_code == 2


def test_the_story_of_a_request_is_told_from_all_sides() -> None:
    history = simulated.run_world(random_worlds.draw_world(1), 1)
    item = next(one for one in history.client_attempts if one.outcome == "served")
    lines = request_events(history, item.request_id)
    assert "client sends" in lines[0] and "served, status 200" in lines[-1]
    assert any("runs it" in line for line in lines)


def test_what_a_backend_can_not_do_is_refused_by_name(tmp_path: Path) -> None:
    with pytest.raises(HarnessError, match="without sidecars"):
        simulated.run_world(load("ceiling"), 1)
    got = CliRunner().invoke(main, ["experiment", "run", "breaking-point", "--backend", "sim", "--out", str(tmp_path)])
    assert got.exit_code == 1 and "measures CPU" in got.stderr
    world = msgspec.structs.replace(load("steady"), faults=[Fault(kind=FaultKind.CLOCK_JUMP, at_s=1.0, jump_s=5.0)])
    with pytest.raises(HarnessError, match="only in simulation: clock-jump"):
        Harness(world, 1, tmp_path)


def test_planners_and_operators_files_play_in_simulation_and_what_was_logged_is_kept(tmp_path: Path) -> None:
    world = load("planner-kill")
    small = msgspec.structs.replace(
        world,
        sidecars=msgspec.structs.replace(world.sidecars, count=6, storm_guard=True),
        faults=[fault for fault in world.faults if fault.kind == "planner-kill"],
    )
    history = simulated.run_world(small, 1, tmp_path)
    assert judge.find_breaches(small, history) == []
    followed = [path.name for path in tmp_path.glob("sidecar-*.log") if "following plans of" in path.read_text()]
    assert len(followed) == 6
    assert "leads, epoch" in (tmp_path / "planner-1.log").read_text()  # the other took over


def test_an_exception_that_a_sidecar_only_logs_fails_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    def stumble(self: Balancer, event: object) -> None:
        raise ZeroDivisionError("stumbled")

    monkeypatch.setattr(Balancer, "on_attempt_ended", stumble)
    finding = search.run_world(random_worlds.draw_world(1), 1).finding
    assert finding is not None and finding.rules == {"failed": 1}
    assert "stumbled" in finding.first_violation and "sidecar" in finding.first_violation


def test_a_sidecar_that_stands_still_breaks_no_rule_and_serves_again_afterwards() -> None:
    world = load("sidecar-kill")
    world = msgspec.structs.replace(world, faults=[Fault(kind=FaultKind.SIDECAR_HANG, at_s=3.0, for_s=2.0, index=0)])
    history = simulated.run_world(world, 1)
    assert judge.find_breaches(world, history) == []
    mine = [item for item in history.client_attempts if item.sidecar == 0]
    assert not any(3_100_000 < item.ended_us < 4_900_000 and item.outcome == "served" for item in mine)
    assert sum(item.outcome == "served" for item in mine if item.sent_us > 6_000_000) > 100


def test_a_sidecar_that_is_killed_loses_what_it_held_and_nothing_else_and_comes_back() -> None:
    world = load("sidecar-kill")
    history = simulated.run_world(world, 1)
    assert judge.find_breaches(world, history) == []
    [killed] = [life for life in history.incarnations if life.killed]
    mine = [item for item in history.client_attempts if item.sidecar == killed.sidecar]
    assert any(item.outcome in ("broken", "unreachable") for item in mine)
    assert any(item.outcome == "served" and item.sent_us > killed.ended_us + 2_000_000 for item in mine)
    assert all(item.outcome != "broken" for item in history.client_attempts if item.sidecar != killed.sidecar)


def test_a_world_that_comes_with_the_project_runs_in_simulation() -> None:
    got = CliRunner().invoke(main, ["sim", "run", "demo"])
    said = json.loads(got.stdout)
    assert got.exit_code == 0 and said["breaches"] == {} and said["service"] > 0.8
    assert set(judge.RULES) >= set(said["breaches"])


# What was tried


def test_the_state_of_a_request_follows_from_what_was_seen_of_it() -> None:
    item = ClientAttempt(
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
    failed = ConverterAttempt(
        "a", "", "c1", 1, first_byte_us=100, received_us=150, ended_us=300, outcome=AttemptOutcome.ANSWERED, status=503
    )
    late = ConverterAttempt(
        "a", "", "c3", 1, first_byte_us=450, received_us=450, ended_us=1000, outcome=AttemptOutcome.CLOSED
    )
    well = ConverterAttempt(
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
        at_us: coverage.position_at(item, [failed, late, well], at_us)
        for at_us in (50, 120, 200, 400, 520, 560, 650, 750, 850, 950, 1100)
    }
    assert states == {
        50: Position(RequestState.NOT_SENT),
        120: Position(RequestState.ARRIVING, "c1"),
        200: Position(RequestState.QUEUED, "c1"),
        400: Position(RequestState.BETWEEN),
        520: Position(RequestState.ARRIVING, "c2"),
        560: Position(RequestState.QUEUED, "c2"),
        650: Position(RequestState.RUNNING, "c2"),
        750: Position(RequestState.RUN, "c2"),
        850: Position(RequestState.RUN, "c2"),
        950: Position(RequestState.LATE, "c3"),
        1100: None,
    }
    assert {position.state for position in states.values() if position} == set(RequestState)


def test_a_hunt_leans_to_what_was_hardly_tried() -> None:
    tried = coverage.Coverage()
    for state in RequestState:
        tried.counts[Meeting("hang", state)] = coverage.MIN_MEETINGS
    lean = search.boosts_from(tried)
    assert lean["hang"] == 1.0 and lean["slow"] == 1.0 + search.MAX_BOOST and lean["surge"] == 1.0
    often = [
        sum(fault.kind == "hang" for seed in range(300) for fault in random_worlds.draw_world(seed, weights).faults)
        for weights in ({}, lean)
    ]
    assert often[1] < often[0] / 2
