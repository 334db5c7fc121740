"""Faults between several real sidecar processes: no rule broken, nothing lost, no herd; and the figures, by hand."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from ryepier.emulator import harness, timeline
from ryepier.emulator.records import NEVER, ConverterAttempt
from ryepier.emulator.timeline import FaultAction, TargetKind
from ryepier.emulator.world import (
    Clients,
    Converters,
    Discovery,
    Fault,
    FaultKind,
    HarnessSettings,
    RequestClass,
    Sidecars,
    World,
)
from ryepier.experiments.core import figures, judge
from ryepier.experiments.core.contract import Run
from ryepier.experiments.core.machine import InsufficientResourcesError, MachineResources
from ryepier.experiments.core.runner import lateness_claim
from ryepier.experiments.load_spread.processes import figures as spread
from ryepier.experiments.load_spread.processes import fleets, kill, lists, measures, memory
from ryepier.experiments.load_spread.processes.figures import Span

pytestmark = pytest.mark.alone

SEED = 31
SETTLED_S = 1.0
MOST_PLAYS = 3  # a run that is void is played again
ANSWER: dict[str, float] = {"aim_ms": 400.0, "deadline_ms": 800.0, "worth": 1.0, "late_worth": 0.5}


def a_class(name: str, share: float, **more: object) -> RequestClass:
    return msgspec.convert({"name": name, "share": share, "work_ms": [10.0, 70.0], **ANSWER, **more}, RequestClass)


def a_world(*faults: Fault, sidecars: int = 12, duration_s: float = 4.2) -> World:
    """Nine converters in three zones, at a little under half of what they can do."""
    return World(
        name="test",
        duration_s=duration_s,
        converters=[Converters(count=3, zone=zone, cores=2, queue_limit=8) for zone in "abc"],
        classes=[
            a_class("read", 0.5),
            a_class("file", 0.25, effect="at_most_once"),
            a_class("batch", 0.25, effect="deduplicated", group="cell", memory_ms=600.0),
        ],
        clients=Clients(rate_per_s=180.0),
        sidecars=Sidecars(count=sidecars, skew=0.6, zoned=True),
        discovery=Discovery(notice_delay_ms=(50.0, 300.0)),
        harness=HarnessSettings(converter_processes=1),
        faults=list(faults),
    )


# What holds however late everybody is
TIMELESS = {"second-answer", "forged", "invented", "run-twice", "refused-after-run", "crash"}


def play(world: World, folder: Path) -> Run:
    """One run. One in which the machine fell behind is void and is played again; the rules without times hold in it
    all the same. Fails where every one was void: the test has then shown nothing."""
    for _ in range(MOST_PLAYS):
        history = harness.run_world(world, SEED, folder)
        orders, breaches = figures.group_operations(world, history.client_attempts), judge.find_breaches(world, history)
        run = Run(world, SEED, history, orders, breaches, folder)
        late = lateness_claim(run, None)
        if late.holds:
            return run
        broken = [breach for breach in breaches if breach.rule in TIMELESS]
        assert not broken, broken[:5]
    pytest.fail(f"void {MOST_PLAYS} times, as the machine fell behind: {late}")


def assert_well(run: Run, served: float) -> None:
    """No rule broken, nothing lost, no herd."""
    assert spread.served_operations_share(run.history) >= served
    assert_safe(run)


def assert_safe(run: Run) -> None:
    """No rule broken, no herd."""
    assert not run.breaches, run.breaches[:5]
    failing = [claim for claim in measures.burst_claims(measures.measure_bursts(run, SETTLED_S)) if not claim.holds]
    assert not failing, failing


def service(run: Run, begin_s: float) -> float:
    """From a moment on."""
    return figures.service_level(run.operations, figures.due_between(begin_s, run.world.duration_s))


def test_a_third_of_the_sidecars_killed_and_started_again_at_once(tmp_path: Path) -> None:
    fault = Fault(kind=FaultKind.SIDECAR_KILL, at_s=1.2, target_share=0.34, down_s=0.4)
    run = play(a_world(fault, sidecars=18, duration_s=4.6), tmp_path)
    lives = run.history.incarnations
    killed = {life.sidecar for life in lives if life.killed}
    assert len(killed) == 6 and len(lives) == 24 and not any(life.crashed for life in lives)
    assert_safe(run)
    # what the others' clients get; those of the killed lose what they ask for until the machine has started these
    assert kill.service_of_others(run, killed) >= 0.97
    up_s = max(life.ready_us for life in lives) / 1e6
    assert service(run, up_s + 0.3) >= 0.95


def test_the_busiest_sidecar_stopped_and_resumed(tmp_path: Path) -> None:
    run = play(a_world(Fault(kind=FaultKind.SIDECAR_HANG, at_s=1.2, for_s=1.0, index=0)), tmp_path)
    assert len(run.history.incarnations[0].suspensions) == 1
    assert_well(run, 0.9)
    assert figures.service_level(run.operations, lambda item: item.sidecar != 0) >= 0.95
    assert service(run, 2.7) >= 0.95


def told_at_us(run: Run, uid: str, state: str) -> dict[int, int]:
    """When each sidecar was told first."""
    found: dict[int, int] = {}
    for notice in run.history.notices:
        if notice.uid == uid and notice.state == state:
            found.setdefault(notice.sidecar, notice.at_us)
    return found


def replaced(run: Run) -> tuple[list[str], list[str]]:
    """The converters that left, and those that came."""
    built = timeline.build(run.world, run.seed)
    left = [step.uid for step in built.steps if step.target is TargetKind.CONVERTER and step.action is FaultAction.STOP]
    return left, [one.uid for one in built.instances if one.start_us is not None]


def test_discovery_away_while_converters_change(tmp_path: Path) -> None:
    away = Fault(kind=FaultKind.DISCOVERY_DOWN, at_s=0.9, for_s=1.8)
    change = Fault(kind=FaultKind.RELEASE, at_s=1.2, for_s=0.6, target_share=0.34, drain_s=0.4, down_s=0.3)
    run = play(a_world(away, change, duration_s=5.0), tmp_path)
    assert_well(run, 0.9)
    left, came = replaced(run)
    back_us = (away.at_s + away.for_s) * 1e6
    for uid in left:
        told = told_at_us(run, uid, "left")
        assert len(told) == 12 and min(told.values()) >= back_us
    assert set(came) <= {attempt.uid for attempt in run.history.converter_attempts}
    assert service(run, 4.0) >= 0.95


def test_lists_of_two_ages_in_the_halves_of_the_fleet(tmp_path: Path) -> None:
    stale = Fault(kind=FaultKind.DISCOVERY_STALE, at_s=0.9, for_s=2.1, target_share=0.5)
    change = Fault(kind=FaultKind.RELEASE, at_s=1.2, for_s=0.6, target_share=0.34, drain_s=0.4, down_s=0.3)
    run = play(a_world(stale, change, duration_s=4.4), tmp_path)
    assert_well(run, 0.9)
    left, came = replaced(run)
    for uid in left:
        told = told_at_us(run, uid, "left")
        assert len(told) == 12 and sum(at_us >= 3.0e6 for at_us in told.values()) == 6
    assert set(came) <= {attempt.uid for attempt in run.history.converter_attempts}
    assert service(run, SETTLED_S) >= 0.95


def test_a_zone_cut_from_the_others(tmp_path: Path) -> None:
    cut = Fault(kind=FaultKind.ZONE_CUT, at_s=1.0, for_s=1.6, zone="c")
    run = play(a_world(cut, duration_s=4.6), tmp_path)
    assert_well(run, 0.8)
    assert not any(
        ran_across(run, attempt) for attempt in run.history.converter_attempts if 1.2e6 < attempt.received_us < 2.5e6
    )
    # by draws over all it would be 0.43: the sidecars of the zone have 0.29 of the traffic
    assert lists.share_across_cut(run, 1.8, 2.6) < 0.43
    assert service(run, 3.6) >= 0.95


def ran_across(run: Run, attempt: ConverterAttempt) -> bool:
    """Whether a request came through the cut."""
    sidecar = next(item.sidecar for item in run.history.client_attempts if item.request_id == attempt.request_id)
    zone_of = {one.uid: one.machine.group.zone for one in timeline.build(run.world, run.seed).instances}
    return attempt.started_us != NEVER and ("abc"[sidecar % 3] == "c") != (zone_of[attempt.uid] == "c")


@pytest.mark.parametrize(
    ("fault", "after_s"),
    [
        (Fault(kind=FaultKind.REFUSE, at_s=1.2, for_s=1.0, target_share=0.34), 2.7),
        (Fault(kind=FaultKind.SLOW, at_s=1.0, for_s=3.5, index=0, factor=2.0), SETTLED_S),
    ],
    ids=["a third of the converters lost and back", "one converter twice as slow"],
)
def test_converters_that_fail_in_part(fault: Fault, after_s: float, tmp_path: Path) -> None:
    run = play(a_world(fault), tmp_path)
    assert_well(run, 0.9)
    assert service(run, after_s) >= 0.95
    struck = {step.index for step in timeline.build(run.world, SEED).steps if step.target is TargetKind.CONVERTER}
    uids = {f"c-{index:04x}" for index in struck}
    counts = figures.count_attempts(run.history.converter_attempts, uids, after_s, run.world.duration_s)
    assert 0 < counts.at_selected <= counts.total / 9 * len(uids) * 1.3


@pytest.mark.parametrize(("zone", "zoned"), [("d", True), ("a", False)])
def test_a_cut_needs_a_zone_of_the_world_and_sidecars_in_zones(zone: str, zoned: bool) -> None:
    cut = Fault(kind=FaultKind.ZONE_CUT, at_s=1.0, for_s=1.0, zone=zone)
    world = a_world()
    with pytest.raises(ValueError, match="zone: expected one of a, b, c, and sidecars that are zoned"):
        msgspec.structs.replace(world, sidecars=msgspec.structs.replace(world.sidecars, zoned=zoned), faults=[cut])


def test_agents_with_an_old_list_need_the_platforms_form_of_it() -> None:
    stale = Fault(kind=FaultKind.DISCOVERY_STALE, at_s=1.0, for_s=1.0)
    with pytest.raises(ValueError, match="only where the list comes from the platform's agents"):
        msgspec.structs.replace(a_world(), discovery=Discovery(slice_size=10), faults=[stale])


# Figures, by hand


def test_evenness_stands_beside_chance() -> None:
    even = spread.measure_evenness([[100, 110, 90], [100, 90, 110]])
    assert even.by_chance == pytest.approx(0.1) and even.variation == pytest.approx(0.1)
    assert even.ratio == pytest.approx(1.0) and even.highest_to_mean == even.lowest_to_mean == 1.0
    uneven = spread.measure_evenness([[300, 0, 0]])
    assert uneven.highest_to_mean == 3.0 and uneven.lowest_to_mean == 0.0 and uneven.ratio > 17


def attempt(uid: str, at_us: int) -> ConverterAttempt:
    return ConverterAttempt("r", "", uid, 1, at_us, at_us, started_us=at_us, finished_us=at_us + 100)


def test_a_burst_at_one_converter_is_a_herd_and_an_even_stream_is_none() -> None:
    zones = {"one": "a", "two": "a"}
    stream = [attempt(uid, at_us) for uid in zones for at_us in range(0, 10_000_000, 50_000)]
    calm = spread.measure_bursts(stream, zones, 0.0, 10.0)
    assert (calm.windows, calm.highest, calm.rare) == (200, 2, 0) and calm.worst < 0.3
    herd = spread.measure_bursts(stream + [attempt("one", 5_000_000 + i) for i in range(20)], zones, 0.0, 10.0)
    assert herd.highest == 22 and herd.worst > 1.0 and herd.rare == 1
    assert not all(claim.holds for claim in measures.burst_claims(herd))


def test_what_was_held_at_once_is_counted_from_spans() -> None:
    held = spread.measure_occupancy([Span("one", 0, 10), Span("one", 5, NEVER), Span("one", 10, 20), Span("two", 3, 4)])
    assert held == spread.Occupancy(2, 1.5)


@pytest.mark.parametrize(("total_gb", "free_gb", "fits"), [(24, 16, True), (24, 5, False), (12, 12, False)])
def test_a_fleet_that_the_machine_cannot_bear_is_refused(total_gb: int, free_gb: int, fits: bool) -> None:
    world = msgspec.structs.replace(a_world(), sidecars=Sidecars(count=fleets.FULL_SIDECARS))
    machine = MachineResources(total_gb * 10**9, free_gb * 10**9, 1024)
    if fits:
        memory.check(world, machine)
        return
    with pytest.raises(InsufficientResourcesError, match=r"200 sidecars need 8.. GB.*--scale small"):
        memory.check(world, machine)
