"""Tests of the observations that a coordinator derives from listings and that its planner turns into commands."""

from __future__ import annotations

from ryepier.maintenance.commands import AdvanceTime, ConverterObservation, ReleaseLease, StartDrain
from ryepier.maintenance.observer import ListedConverter, WarmthTracker
from ryepier.maintenance.planner import Planner
from tests.maintenance_world import north_region


def observe_ready(
    tracker: WarmthTracker, now_ms: int, *uids: str, region_time_ms: int = 0
) -> list[ConverterObservation]:
    probes = tracker.observe(now_ms, region_time_ms, [ListedConverter(uid, True) for uid in uids])
    return [probe.observation for probe in probes]


def test_converter_of_unknown_age_is_omitted_for_its_warm_up_time() -> None:
    tracker = WarmthTracker({"a": 2000})
    assert observe_ready(tracker, 0, "a") == []
    assert observe_ready(tracker, 1999, "a") == []
    assert observe_ready(tracker, 2000, "a") == [ConverterObservation("a", True, 1000)]


def test_new_incarnation_warms_up_by_the_observers_own_clock() -> None:
    tracker = WarmthTracker({"a": 2000})
    observe_ready(tracker, 0, "a")
    assert observe_ready(tracker, 5000) == [ConverterObservation("a", False, 0)]
    assert observe_ready(tracker, 6000, "a.1") == [ConverterObservation("a", True, 0)]
    assert observe_ready(tracker, 7000, "a.1") == [ConverterObservation("a", True, 500)]
    assert observe_ready(tracker, 7500, "a.2") == [ConverterObservation("a", True, 0)], (
        "a new incarnation starts a warm-up even if the converter was not seen down"
    )
    assert observe_ready(tracker, 9500, "a.2") == [ConverterObservation("a", True, 1000)]


def test_incarnation_listed_before_the_grant_closes_the_lease_after_another_warm_up() -> None:
    region = north_region()
    granted_lease = region.request_and_grant("r1", "n00")
    region.apply(AdvanceTime(5_000))
    planner = Planner(region.ledger)
    tracker = WarmthTracker({"n00": 2000})
    region.apply(StartDrain("r1/1", granted_lease.token))
    region.ledger.state.leases["r1/1"].granted_at_ms = 5_000
    tracker.observe(0, 4_000, [ListedConverter("n00", True)])  # region time before the grant
    region.apply(ReleaseLease("r1/1", granted_lease.token))
    probes = tracker.observe(3_000, 5_000, [ListedConverter("n00", True)])
    assert planner.observation_command("x", region.ledger.applied, probes) is None
    assert planner.warm_ups_to_restart(probes) == ["n00"]
    tracker.restart_warm_up("n00", 3_000, 5_000)
    early_observation = planner.observation_command(
        "x", region.ledger.applied, tracker.observe(4_999, 5_000, [ListedConverter("n00", True)])
    )
    assert early_observation is not None and early_observation.observations[0].warmth < 1000
    closing_observation = planner.observation_command(
        "x", region.ledger.applied, tracker.observe(5_000, 5_000, [ListedConverter("n00", True)])
    )
    assert closing_observation is not None and closing_observation.observations == (
        ConverterObservation("n00", True, 1000),
    )
