"""Endpoint list in the decision module: polls and their failures, deltas, complete lists, and restarts."""

from __future__ import annotations

import pytest

from ryepier.balancer.interface import (
    ListKind,
    Outcome,
    SetTimer,
    Subscribe,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)
from ryepier.sidecar import system
from ryepier.sidecar.endpoint_registry import EndpointRegistry
from tests.balancer_harness import START_US, BalancerHarness, settings, upstreams


def polling_harness() -> BalancerHarness:
    harness = BalancerHarness(settings(polls_endpoints=True, max_poll_interval_us=10_000_000))
    harness.update_upstreams(upstreams(4), ListKind.CACHED)
    return harness


def poll_positions(harness: BalancerHarness) -> list[int]:
    """Return the indexes of the polls among the actions so far."""
    return [i for i, action in enumerate(harness.actions) if isinstance(action, Subscribe)]


def test_list_is_polled_if_the_settings_require_it() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    assert len(poll_positions(harness)) >= 1


def test_pushed_list_is_never_polled() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(4), ListKind.CACHED)
    harness.advance(60_000_000)
    assert not poll_positions(harness)


def test_failed_poll_is_repeated_with_backoff_within_the_poll_interval() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    delays_us = []
    for _ in range(12):
        count_before = len(poll_positions(harness))
        harness.handle(UpstreamsUpdated(ListKind.FAILED))
        start_us = harness.now_us
        while len(poll_positions(harness)) == count_before:
            harness.advance(10_000)
            assert harness.now_us - start_us < 10_000_000
        delays_us.append(harness.now_us - start_us)
    assert delays_us[0] < 500_000 and max(delays_us) > 1_000_000


def test_second_failure_before_the_next_poll_adds_no_poll() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    count_before = len(poll_positions(harness))
    harness.handle(UpstreamsUpdated(ListKind.FAILED))
    harness.handle(UpstreamsUpdated(ListKind.FAILED))
    harness.advance(4_000_000)
    harness.update_upstreams(upstreams(4), ListKind.DELTA)
    assert len(poll_positions(harness)) == count_before + 1


def test_poll_that_is_never_answered_is_repeated_within_the_poll_interval() -> None:
    harness = polling_harness()
    harness.advance(10_000_000)
    assert len(poll_positions(harness)) >= 2


def test_delta_changes_only_the_endpoints_that_it_names() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(2))
    harness.update_upstreams([Upstream(100, UpstreamState.DRAINING)], ListKind.DELTA)
    for _ in range(10):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {send.upstream for send in harness.sends()} == {101}


def test_endpoint_missing_from_a_full_list_is_removed_and_may_be_added_again() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(2))
    harness.update_upstreams(upstreams(1))
    for _ in range(10):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {send.upstream for send in harness.sends()} == {100}
    harness.update_upstreams(upstreams(2))
    for _ in range(30):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {send.upstream for send in harness.sends()} == {100, 101}


def test_restart_under_the_same_id_begins_a_new_slow_start() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(3))
    harness.update_upstreams([Upstream(100, started_at_us=START_US)], ListKind.DELTA)
    for _ in range(60):
        request = harness.arrive(0)
        harness.advance(5_000)
        harness.end(request, 0, Outcome.OK)
    # An equal share of the 60 requests would be 20.
    assert sum(1 for send in harness.sends() if send.upstream == 100) <= 8


def test_empty_list_and_empty_delta_are_accepted() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(2))
    harness.update_upstreams([], ListKind.DELTA)
    assert harness.sends(harness.arrive(0))
    harness.update_upstreams([])
    request = harness.arrive(0)
    harness.advance(2_000_000)
    assert harness.answer(request) is not None
    assert all(timer.at_us > START_US for timer in harness.actions if isinstance(timer, SetTimer))


def test_start_time_in_the_future_is_replaced_by_the_time_of_its_first_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s, clock_lag_s = 1_000, 3_600
    monkeypatch.setattr(system, "monotonic_ns", lambda: now_s * 10**9)
    monkeypatch.setattr(system, "unix_ns", lambda: (10**9 + now_s - clock_lag_s) * 10**9)
    registry = EndpointRegistry(["a"], [])
    entry = {
        "uid": "c",
        "endpoint": "10.0.0.1:9000",
        "az": "a",
        "model": "",
        "pod_group": 1,
        "state": "active",
        "capacity_hint": 1.0,
        "boot_ms": (10**9 + now_s - 2) * 1000,
    }

    def started_at_s(state: str = "active") -> float:
        event, _ = registry.apply({"rev": 1, "all": False, "targets": [entry | {"state": state}]})
        return event.upstreams[0].started_at_us / 1e6

    assert started_at_s() == now_s
    now_s += 5
    assert started_at_s() == now_s - 5  # later lists do not change the start time
    entry["boot_ms"] = (10**9 + now_s - 1) * 1000  # the endpoint has restarted under the same id
    assert started_at_s() == now_s
    now_s += 3
    started_at_s("left")
    assert started_at_s() == now_s  # an endpoint that is listed again after its removal has started again
