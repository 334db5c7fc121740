"""Selection of upstreams: spread of the load, zones, subsets, and slow upstreams."""

from __future__ import annotations

from dataclasses import replace

from ryepier.balancer.interface import (
    ListKind,
    Outcome,
    Upstream,
    UpstreamState,
)
from tests.balancer_harness import request_classes
from tests.balancer_scenarios import (
    PAY,
    READ,
    ready_harness,
    serve_requests,
)


def test_request_goes_to_a_ready_upstream_at_once() -> None:
    harness = ready_harness()
    request = harness.arrive(READ)
    assert [send.upstream in harness.known_entries for send in harness.sends(request)] == [True]


def test_selection_is_spread_over_all_upstreams() -> None:
    harness = ready_harness(6)
    for _ in range(60):
        harness.end(harness.arrive(READ), 0, Outcome.OK)
    assert {send.upstream for send in harness.sends()} == set(harness.known_entries)


def test_draining_and_removed_upstreams_get_no_request() -> None:
    harness = ready_harness(2)
    harness.update_upstreams([Upstream(100, UpstreamState.DRAINING), Upstream(101, UpstreamState.REMOVED)])
    request = harness.arrive(READ)
    harness.advance(1_000_000)
    assert not harness.sends(request)


def test_own_zone_is_preferred_if_cross_zone_traffic_has_a_fee() -> None:
    harness = ready_harness(8, zone=1, cross_zone_fee=0.03)
    first_requests = [harness.arrive(READ) for _ in range(2)]
    assert {harness.known_entries[harness.sends(request_id)[0].upstream].zone for request_id in first_requests} == {1}
    third_request = harness.arrive(READ)
    assert harness.known_entries[harness.sends(third_request)[0].upstream].zone != 1


def test_zones_do_not_matter_if_cross_zone_traffic_is_free() -> None:
    harness = ready_harness(8, zone=1)
    serve_requests(harness, 100)
    assert {harness.known_entries[send.upstream].zone for send in harness.sends()} == {0, 1, 2, 3}


def test_sidecar_with_little_traffic_uses_few_of_many_upstreams() -> None:
    harness = ready_harness(60, instances=400)
    serve_requests(harness, 100, duration_us=1_000_000)
    assert len({send.upstream for send in harness.sends()}) <= 6


def test_sidecar_that_becomes_busy_spreads_over_more_upstreams() -> None:
    harness = ready_harness(60, instances=400)
    serve_requests(harness, 600, duration_us=20_000)
    assert len({send.upstream for send in harness.sends()}) >= 30


def test_upstream_slower_than_the_others_is_selected_less() -> None:
    harness = ready_harness(4, hedging=False)
    for _ in range(200):
        request = harness.arrive(READ)
        is_slow = harness.sends(request)[0].upstream == 100
        harness.advance(120_000 if is_slow else 30_000)
        harness.end(request, 0, Outcome.OK)
    assert sum(1 for send in harness.sends() if send.upstream == 100) < 25


def test_removed_upstreams_leave_no_state() -> None:
    harness = ready_harness(4)
    for index in range(50):
        harness.update_upstreams([Upstream(1000 + index)], ListKind.DELTA)
        serve_requests(harness, 5)
        harness.update_upstreams([Upstream(1000 + index, UpstreamState.REMOVED)], ListKind.DELTA)
    assert len(harness.balancer.membership.by_id) == 4 and len(harness.balancer.membership.pools[0].subset.members) <= 4


def test_upstream_that_never_answers_one_class_gets_few_requests_of_that_class() -> None:
    classes = request_classes()
    # As late answers have weight, attempts are awaited until the deadline.
    classes[PAY] = replace(classes[PAY], late_weight=0.5)
    harness = ready_harness(classes=classes)
    unresponsive_upstream = min(harness.known_entries)

    def count_sent_to_unresponsive(class_index: int) -> int:
        request = harness.arrive(class_index)
        sends = harness.sends(request)
        harness.advance(20_000)
        if sends and (sends[0].upstream != unresponsive_upstream or class_index != PAY):
            harness.end(request, 0, Outcome.OK)
        return sum(1 for send in sends if send.upstream == unresponsive_upstream)

    assert 3 <= sum(count_sent_to_unresponsive(PAY) for _ in range(1000)) <= 15
    assert sum(count_sent_to_unresponsive(READ) for _ in range(40)) > 0


def test_upstream_that_rejects_one_class_keeps_its_share_of_the_others() -> None:
    harness = ready_harness(hedging=False)
    for _ in range(400):
        for request in (harness.arrive(PAY), harness.arrive(READ)):
            harness.advance(10_000)
            for number, send in enumerate(harness.sends(request)):  # rejections are retried
                is_rejected = send.upstream == 100 and harness.requests[request].event.class_index == PAY
                if harness.requests[request].attempts[number].outcome is None:
                    harness.end(request, number, Outcome.REJECTED if is_rejected else Outcome.OK)
        harness.advance(10_000)
    recent_sends = harness.sends()[-400:]
    classes_at_100 = [harness.requests[send.request].event.class_index for send in recent_sends if send.upstream == 100]
    assert classes_at_100.count(READ) > 400 / 2 / 4 / 2 and classes_at_100.count(PAY) < 400 / 2 / 4 / 4
