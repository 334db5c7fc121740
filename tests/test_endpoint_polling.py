"""The upstream list: asking for it, failures, deltas, full lists, restarts."""

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


def asks(harness: BalancerHarness) -> list[int]:
    """When the world's balancer asked, seen by stepping through time."""
    return [i for i, action in enumerate(harness.actions) if isinstance(action, Subscribe)]


def test_a_list_that_must_be_asked_for_is_subscribed_to() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    assert len(asks(harness)) >= 1


def test_a_pushed_list_is_never_asked_for() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(4), ListKind.CACHED)
    harness.advance(60_000_000)
    assert not asks(harness)


def test_a_failed_list_call_is_repeated_with_growing_waits_inside_ask_within() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    waits = []
    for _ in range(12):
        before = len(asks(harness))
        harness.handle(UpstreamsUpdated(ListKind.FAILED))
        start_us = harness.now_us
        while len(asks(harness)) == before:
            harness.advance(10_000)
            assert harness.now_us - start_us < 10_000_000
        waits.append(harness.now_us - start_us)
    assert waits[0] < 500_000 and max(waits) > 1_000_000


def test_a_second_failure_before_the_repeat_does_not_double_the_calls() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    before = len(asks(harness))
    harness.handle(UpstreamsUpdated(ListKind.FAILED))
    harness.handle(UpstreamsUpdated(ListKind.FAILED))
    harness.advance(4_000_000)
    harness.update_upstreams(upstreams(4), ListKind.DELTA)
    assert len(asks(harness)) == before + 1


def test_a_call_that_is_never_answered_is_made_again_within_ask_within() -> None:
    harness = polling_harness()
    harness.advance(10_000_000)
    assert len(asks(harness)) >= 2


def test_a_delta_changes_only_what_it_names() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(2))
    harness.update_upstreams([Upstream(100, UpstreamState.DRAINING)], ListKind.DELTA)
    for _ in range(10):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {s.upstream for s in harness.sends()} == {101}


def test_what_a_full_list_leaves_out_is_gone_and_may_come_back() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(2))
    harness.update_upstreams(upstreams(1))
    for _ in range(10):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {s.upstream for s in harness.sends()} == {100}
    harness.update_upstreams(upstreams(2))
    for _ in range(30):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {s.upstream for s in harness.sends()} == {100, 101}


def test_a_restart_under_the_same_id_is_cold_again() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(3))
    harness.update_upstreams([Upstream(100, started_us=START_US)], ListKind.DELTA)
    for _ in range(60):
        request = harness.arrive(0)
        harness.advance(5_000)
        harness.end(request, 0, Outcome.OK)
    assert sum(1 for s in harness.sends() if s.upstream == 100) <= 8  # an even share would be 20


def test_an_empty_list_and_an_empty_delta_are_taken_calmly() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(2))
    harness.update_upstreams([], ListKind.DELTA)
    assert harness.sends(harness.arrive(0))
    harness.update_upstreams([])
    request = harness.arrive(0)
    harness.advance(2_000_000)
    assert harness.answer(request) is not None
    assert all(t.at_us > START_US for t in harness.actions if isinstance(t, SetTimer))


def test_a_start_that_lies_ahead_by_a_calendar_that_is_behind_counts_from_when_it_was_heard_of(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s, behind_s = 1_000, 3_600
    monkeypatch.setattr(system, "monotonic_ns", lambda: now_s * 10**9)
    monkeypatch.setattr(system, "unix_ns", lambda: (10**9 + now_s - behind_s) * 10**9)
    directory = EndpointRegistry(["a"], [])
    line = {
        "uid": "c",
        "endpoint": "10.0.0.1:9000",
        "az": "a",
        "model": "",
        "pod_group": 1,
        "state": "active",
        "capacity_hint": 1.0,
        "boot_ms": (10**9 + now_s - 2) * 1000,
    }

    def started_s(known: str = "active") -> float:
        event, _ = directory.apply({"rev": 1, "all": False, "targets": [line | {"state": known}]})
        return event.upstreams[0].started_us / 1e6

    assert started_s() == now_s
    now_s += 5
    assert started_s() == now_s - 5  # and is not put off with each list
    line["boot_ms"] = (10**9 + now_s - 1) * 1000  # it has started again, under its name
    assert started_s() == now_s
    now_s += 3
    started_s("left")
    assert started_s() == now_s  # another life of the same name
