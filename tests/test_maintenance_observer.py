"""What an observer derives from listings, and which of it the leader records."""

from __future__ import annotations

from ryepier.maintenance.commands import AdvanceTime, ConverterObservation, ReleaseLease, StartDrain
from ryepier.maintenance.observer import ListedConverter, WarmthTracker
from ryepier.maintenance.planner import Planner
from tests.maintenance_world import north_region


def observed_by(tracker: WarmthTracker, now_ms: int, *uids: str, region_ms: int = 0) -> list[ConverterObservation]:
    probes = tracker.observe(now_ms, region_ms, [ListedConverter(uid, True) for uid in uids])
    return [probe.observation for probe in probes]


def test_a_converter_of_unknown_age_is_omitted_until_it_must_be_warm() -> None:
    tracker = WarmthTracker({"a": 2000})
    assert observed_by(tracker, 0, "a") == []
    assert observed_by(tracker, 1999, "a") == []
    assert observed_by(tracker, 2000, "a") == [ConverterObservation("a", True, 1000)]


def test_a_new_incarnation_warms_up_by_the_observers_own_clock() -> None:
    tracker = WarmthTracker({"a": 2000})
    observed_by(tracker, 0, "a")
    assert observed_by(tracker, 5000) == [ConverterObservation("a", False, 0)]
    assert observed_by(tracker, 6000, "a.1") == [ConverterObservation("a", True, 0)]
    assert observed_by(tracker, 7000, "a.1") == [ConverterObservation("a", True, 500)]
    assert observed_by(tracker, 7500, "a.2") == [ConverterObservation("a", True, 0)], (
        "another incarnation, not observed down"
    )
    assert observed_by(tracker, 9500, "a.2") == [ConverterObservation("a", True, 1000)]


def test_a_late_listing_closes_no_lease_and_a_late_observer_closes_it_a_warm_up_later() -> None:
    region = north_region()
    granted = region.request_and_grant("r1", "n00")
    region.apply(AdvanceTime(5_000))
    planner = Planner(region.ledger)
    tracker = WarmthTracker({"n00": 2000})
    region.apply(StartDrain("r1/1", granted.token))
    region.ledger.state.leases["r1/1"].granted_ms = 5_000
    tracker.observe(0, 4_000, [ListedConverter("n00", True)])  # from before the grant
    region.apply(ReleaseLease("r1/1", granted.token))
    probes = tracker.observe(3_000, 5_000, [ListedConverter("n00", True)])
    assert planner.observation_command("x", region.ledger.applied, probes) is None
    assert planner.converters_to_restart(probes) == ["n00"]
    tracker.restart_warm_up("n00", 3_000, 5_000)
    early = planner.observation_command(
        "x", region.ledger.applied, tracker.observe(4_999, 5_000, [ListedConverter("n00", True)])
    )
    assert early is not None and early.observations[0].warmth < 1000
    reported = planner.observation_command(
        "x", region.ledger.applied, tracker.observe(5_000, 5_000, [ListedConverter("n00", True)])
    )
    assert reported is not None and reported.observations == (ConverterObservation("n00", True, 1000),)
