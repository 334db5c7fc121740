"""Tests fleets of real sidecar processes under faults, and the figures of the load-spread experiments.

Each run is checked for broken rules, for the share of requests that are served, and for bursts at converters.
"""

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
SETTLED_AT_S = 1.0
MAX_RUNS = 3  # runs of a world; a run in which the machine fell behind is invalid and repeated
CLASS_SETTINGS: dict[str, float] = {"aim_ms": 400.0, "deadline_ms": 800.0, "worth": 1.0, "late_worth": 0.5}


def make_request_class(name: str, share: float, **overrides: object) -> RequestClass:
    return msgspec.convert(
        {"name": name, "share": share, "work_ms": [10.0, 70.0], **CLASS_SETTINGS, **overrides}, RequestClass
    )


def make_world(*faults: Fault, sidecars: int = 12, duration_s: float = 4.2) -> World:
    """Return a world with nine converters in three zones, loaded at a little less than half of their capacity."""
    return World(
        name="test",
        duration_s=duration_s,
        converters=[Converters(count=3, zone=zone, cores=2, queue_limit=8) for zone in "abc"],
        classes=[
            make_request_class("read", 0.5),
            make_request_class("file", 0.25, effect="at_most_once"),
            make_request_class("batch", 0.25, effect="deduplicated", group="cell", memory_ms=600.0),
        ],
        clients=Clients(rate_per_s=180.0),
        sidecars=Sidecars(count=sidecars, skew=0.6, zoned=True),
        discovery=Discovery(notice_delay_ms=(50.0, 300.0)),
        harness=HarnessSettings(converter_processes=1),
        faults=list(faults),
    )


# rules that a sidecar must not break even if the machine falls behind
TIME_INDEPENDENT_RULES = {"second-answer", "forged", "invented", "run-twice", "refused-after-run", "crash"}


def repeat_run_until_valid(world: World, folder: Path) -> Run:
    """Repeat the run of a world until the emulator is on time during a whole run, and return that run.

    Runs in which the machine fell behind are invalid, and are checked only for the rules that do not depend on time.
    Fails the test after `MAX_RUNS` invalid runs.
    """
    for _ in range(MAX_RUNS):
        history = harness.run_world(world, SEED, folder)
        operations, breaches = (
            figures.group_operations(world, history.client_attempts),
            judge.find_breaches(world, history),
        )
        run = Run(world, SEED, history, operations, breaches, folder)
        lateness = lateness_claim(run, None)
        if lateness.holds:
            return run
        broken_rules = [breach for breach in breaches if breach.rule in TIME_INDEPENDENT_RULES]
        assert not broken_rules, broken_rules[:5]
    pytest.fail(f"all {MAX_RUNS} runs are invalid, as the machine fell behind: {lateness}")


def assert_served_without_breaches(run: Run, min_served_share: float) -> None:
    """Assert that enough operations were served, no rule was broken, and no converter received a burst."""
    assert spread.served_operations_share(run.history) >= min_served_share
    assert_no_breaches_or_bursts(run)


def assert_no_breaches_or_bursts(run: Run) -> None:
    """Assert that no rule was broken and no converter received a burst."""
    assert not run.breaches, run.breaches[:5]
    failed_claims = [
        claim for claim in measures.burst_claims(measures.measure_bursts(run, SETTLED_AT_S)) if not claim.holds
    ]
    assert not failed_claims, failed_claims


def service_level_from(run: Run, begin_s: float) -> float:
    """Return the service level of the operations that were due from `begin_s` to the end of the run."""
    return figures.service_level(run.operations, figures.due_between(begin_s, run.world.duration_s))


def test_third_of_the_sidecars_killed_and_restarted_at_once(tmp_path: Path) -> None:
    fault = Fault(kind=FaultKind.SIDECAR_KILL, at_s=1.2, target_share=0.34, down_s=0.4)
    run = repeat_run_until_valid(make_world(fault, sidecars=18, duration_s=4.6), tmp_path)
    incarnations = run.history.incarnations
    killed_sidecars = {incarnation.sidecar for incarnation in incarnations if incarnation.killed}
    assert (
        len(killed_sidecars) == 6
        and len(incarnations) == 24
        and not any(incarnation.crashed for incarnation in incarnations)
    )
    assert_no_breaches_or_bursts(run)
    # clients of the killed sidecars lose requests until their sidecars have restarted, so these clients are left out
    assert kill.service_of_survivors(run, killed_sidecars) >= 0.97
    last_ready_s = max(incarnation.ready_us for incarnation in incarnations) / 1e6
    assert service_level_from(run, last_ready_s + 0.3) >= 0.95


def test_busiest_sidecar_suspended_and_resumed(tmp_path: Path) -> None:
    run = repeat_run_until_valid(make_world(Fault(kind=FaultKind.SIDECAR_HANG, at_s=1.2, for_s=1.0, index=0)), tmp_path)
    assert len(run.history.incarnations[0].suspensions) == 1
    assert_served_without_breaches(run, 0.9)
    assert figures.service_level(run.operations, lambda operation: operation.sidecar != 0) >= 0.95
    assert service_level_from(run, 2.7) >= 0.95


def first_notices_us(run: Run, uid: str, state: str) -> dict[int, int]:
    """Return, by sidecar, the time of the first notice that the converter `uid` is in `state`."""
    at_us_by_sidecar: dict[int, int] = {}
    for notice in run.history.notices:
        if notice.uid == uid and notice.state == state:
            at_us_by_sidecar.setdefault(notice.sidecar, notice.at_us)
    return at_us_by_sidecar


def removed_and_added_uids(run: Run) -> tuple[list[str], list[str]]:
    """Return the uids of the converters that a release stopped, and those of their replacements."""
    schedule = timeline.build(run.world, run.seed)
    removed_uids = [
        step.uid for step in schedule.steps if step.target is TargetKind.CONVERTER and step.action is FaultAction.STOP
    ]
    return removed_uids, [instance.uid for instance in schedule.instances if instance.start_us is not None]


def test_discovery_down_while_converters_are_replaced(tmp_path: Path) -> None:
    outage = Fault(kind=FaultKind.DISCOVERY_DOWN, at_s=0.9, for_s=1.8)
    release = Fault(kind=FaultKind.RELEASE, at_s=1.2, for_s=0.6, target_share=0.34, drain_s=0.4, down_s=0.3)
    run = repeat_run_until_valid(make_world(outage, release, duration_s=5.0), tmp_path)
    assert_served_without_breaches(run, 0.9)
    removed_uids, added_uids = removed_and_added_uids(run)
    outage_end_us = (outage.at_s + outage.for_s) * 1e6
    for uid in removed_uids:
        notices_us = first_notices_us(run, uid, "left")
        assert len(notices_us) == 12 and min(notices_us.values()) >= outage_end_us
    assert set(added_uids) <= {attempt.uid for attempt in run.history.converter_attempts}
    assert service_level_from(run, 4.0) >= 0.95


def test_stale_lists_at_half_of_the_sidecars(tmp_path: Path) -> None:
    stale_fault = Fault(kind=FaultKind.DISCOVERY_STALE, at_s=0.9, for_s=2.1, target_share=0.5)
    release = Fault(kind=FaultKind.RELEASE, at_s=1.2, for_s=0.6, target_share=0.34, drain_s=0.4, down_s=0.3)
    run = repeat_run_until_valid(make_world(stale_fault, release, duration_s=4.4), tmp_path)
    assert_served_without_breaches(run, 0.9)
    removed_uids, added_uids = removed_and_added_uids(run)
    for uid in removed_uids:
        notices_us = first_notices_us(run, uid, "left")
        assert len(notices_us) == 12 and sum(at_us >= 3.0e6 for at_us in notices_us.values()) == 6
    assert set(added_uids) <= {attempt.uid for attempt in run.history.converter_attempts}
    assert service_level_from(run, SETTLED_AT_S) >= 0.95


def test_zone_cut_off_from_the_others(tmp_path: Path) -> None:
    cut = Fault(kind=FaultKind.ZONE_CUT, at_s=1.0, for_s=1.6, zone="c")
    run = repeat_run_until_valid(make_world(cut, duration_s=4.6), tmp_path)
    assert_served_without_breaches(run, 0.8)
    assert not any(
        was_executed_across_cut(run, attempt)
        for attempt in run.history.converter_attempts
        if 1.2e6 < attempt.received_us < 2.5e6
    )
    # with random draws over all converters, the share would be 0.43, as the zone's sidecars have 0.29 of the traffic
    assert lists.share_across_cut(run, 1.8, 2.6) < 0.43
    assert service_level_from(run, 3.6) >= 0.95


def was_executed_across_cut(run: Run, attempt: ConverterAttempt) -> bool:
    """Return whether an attempt was executed by a converter that the cut separates from the attempt's sidecar."""
    sidecar = next(
        client_attempt.sidecar
        for client_attempt in run.history.client_attempts
        if client_attempt.request_id == attempt.request_id
    )
    zone_of = {instance.uid: instance.machine.group.zone for instance in timeline.build(run.world, run.seed).instances}
    return attempt.started_us != NEVER and ("abc"[sidecar % 3] == "c") != (zone_of[attempt.uid] == "c")


@pytest.mark.parametrize(
    ("fault", "after_s"),
    [
        (Fault(kind=FaultKind.REFUSE, at_s=1.2, for_s=1.0, target_share=0.34), 2.7),
        (Fault(kind=FaultKind.SLOW, at_s=1.0, for_s=3.5, index=0, factor=2.0), SETTLED_AT_S),
    ],
    ids=["a third of the converters lost and back", "one converter twice as slow"],
)
def test_partial_failures_of_converters(fault: Fault, after_s: float, tmp_path: Path) -> None:
    run = repeat_run_until_valid(make_world(fault), tmp_path)
    assert_served_without_breaches(run, 0.9)
    assert service_level_from(run, after_s) >= 0.95
    failing_indices = {
        step.index for step in timeline.build(run.world, SEED).steps if step.target is TargetKind.CONVERTER
    }
    failing_uids = {f"c-{index:04x}" for index in failing_indices}
    counts = figures.count_attempts(run.history.converter_attempts, failing_uids, after_s, run.world.duration_s)
    assert 0 < counts.at_selected <= counts.total / 9 * len(failing_uids) * 1.3


@pytest.mark.parametrize(("zone", "zoned"), [("d", True), ("a", False)])
def test_zone_cut_needs_a_known_zone_and_zoned_sidecars(zone: str, zoned: bool) -> None:
    cut = Fault(kind=FaultKind.ZONE_CUT, at_s=1.0, for_s=1.0, zone=zone)
    world = make_world()
    with pytest.raises(ValueError, match="zone: expected one of a, b, c, and sidecars that are zoned"):
        msgspec.structs.replace(world, sidecars=msgspec.structs.replace(world.sidecars, zoned=zoned), faults=[cut])


def test_stale_lists_need_the_platforms_list_format() -> None:
    stale_fault = Fault(kind=FaultKind.DISCOVERY_STALE, at_s=1.0, for_s=1.0)
    with pytest.raises(ValueError, match="only where the list comes from the platform's agents"):
        msgspec.structs.replace(make_world(), discovery=Discovery(slice_size=10), faults=[stale_fault])


# Figures that are calculated from handwritten records


def test_evenness_is_relative_to_random_choice() -> None:
    even_load = spread.measure_evenness([[100, 110, 90], [100, 90, 110]])
    assert even_load.variation_by_chance == pytest.approx(0.1) and even_load.variation == pytest.approx(0.1)
    assert (
        even_load.variation_ratio == pytest.approx(1.0) and even_load.highest_to_mean == even_load.lowest_to_mean == 1.0
    )
    uneven_load = spread.measure_evenness([[300, 0, 0]])
    assert uneven_load.highest_to_mean == 3.0 and uneven_load.lowest_to_mean == 0.0 and uneven_load.variation_ratio > 17


def make_attempt(uid: str, at_us: int) -> ConverterAttempt:
    return ConverterAttempt("r", "", uid, 1, at_us, at_us, started_us=at_us, finished_us=at_us + 100)


def test_burst_at_a_converter_is_detected() -> None:
    zones = {"one": "a", "two": "a"}
    even_stream = [make_attempt(uid, at_us) for uid in zones for at_us in range(0, 10_000_000, 50_000)]
    bursts_of_even_stream = spread.measure_bursts(even_stream, zones, 0.0, 10.0)
    assert (
        bursts_of_even_stream.window_count,
        bursts_of_even_stream.highest_count,
        bursts_of_even_stream.rare_window_count,
    ) == (
        200,
        2,
        0,
    ) and bursts_of_even_stream.worst_ratio < 0.3
    bursts_of_uneven_stream = spread.measure_bursts(
        even_stream + [make_attempt("one", 5_000_000 + i) for i in range(20)], zones, 0.0, 10.0
    )
    assert (
        bursts_of_uneven_stream.highest_count == 22
        and bursts_of_uneven_stream.worst_ratio > 1.0
        and bursts_of_uneven_stream.rare_window_count == 1
    )
    assert not all(claim.holds for claim in measures.burst_claims(bursts_of_uneven_stream))


def test_occupancy_counts_overlapping_spans() -> None:
    occupancy = spread.measure_occupancy(
        [Span("one", 0, 10), Span("one", 5, NEVER), Span("one", 10, 20), Span("two", 3, 4)]
    )
    assert occupancy == spread.Occupancy(2, 1.5)


@pytest.mark.parametrize(("total_gb", "free_gb", "fits"), [(24, 16, True), (24, 5, False), (12, 12, False)])
def test_fleet_that_does_not_fit_into_memory_is_rejected(total_gb: int, free_gb: int, fits: bool) -> None:
    world = msgspec.structs.replace(make_world(), sidecars=Sidecars(count=fleets.FULL_SIDECAR_COUNT))
    machine = MachineResources(total_gb * 10**9, free_gb * 10**9, 1024)
    if fits:
        memory.check_memory(world, machine)
        return
    with pytest.raises(InsufficientResourcesError, match=r"200 sidecars need 8.. GB.*--scale small"):
        memory.check_memory(world, machine)
