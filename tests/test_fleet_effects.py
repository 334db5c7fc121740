"""Faults that do harm only in a large fleet, in which each sidecar has few requests and many upstreams."""

from __future__ import annotations

import pytest

from ryepier.balancer.interface import ListKind, Outcome, Subscribe, Upstream, UpstreamsUpdated
from tests.balancer_harness import BalancerHarness, settings, upstreams

PAY = 1
WARMING_UPSTREAMS = range(1, 31)


def lightly_loaded_harness(**changes: object) -> BalancerHarness:
    """Return the harness of one of forty sidecars, which gets 20 requests per second and uses few of 30 upstreams."""
    harness = BalancerHarness(settings(hedging=False, instances=40, overload_factor=4.0, **changes))
    harness.update_upstreams(upstreams(30))
    serve(harness, 100)
    return harness


def serve(
    harness: BalancerHarness,
    request_count: int,
    warm_answer_us: int = 30_000,
    warming_answer_us: int = 30_000,
    expensive_interval: int = 0,
    cost_us: int = 20_000,
) -> int:
    """Serve `request_count` requests, and return how many went to warming upstreams.

    Warming upstreams answer after `warming_answer_us`, the others after `warm_answer_us`. With an `expensive_interval`
    of n above 0, every n-th request is expensive, and must not be sent to a warming upstream.
    """
    warming_send_count = 0
    for number in range(request_count):
        is_expensive = expensive_interval > 0 and number % expensive_interval == 0
        request = harness.arrive(PAY, cost_us=1_000_000 if is_expensive else cost_us)
        to_warming_upstream = any(send.upstream in WARMING_UPSTREAMS for send in harness.sends(request))
        assert not (is_expensive and to_warming_upstream)
        harness.advance(warming_answer_us if to_warming_upstream else warm_answer_us)
        if harness.sends(request):
            harness.end(request, 0, Outcome.OK)
        harness.advance(20_000)
        warming_send_count += int(to_warming_upstream)
    return warming_send_count


def add_warming_upstreams(harness: BalancerHarness, age_us: int = 0, small_size: float = 1.0) -> None:
    """Add 30 upstreams that started `age_us` ago. Half of them have the size `small_size`, the others the size 1."""
    entries = [
        Upstream(i, weight=small_size if i <= 15 else 1.0, started_at_us=harness.now_us - age_us)
        for i in WARMING_UPSTREAMS
    ]
    harness.update_upstreams(entries, ListKind.DELTA)


def test_warming_upstreams_get_requests_though_enough_warm_ones_are_in_use() -> None:
    harness = lightly_loaded_harness()
    add_warming_upstreams(harness)
    # Lower bound: while the 30 warming upstreams have 0.2 to 0.6 of their capacity, their share of the 200 requests
    # is about a quarter. Upper bound: as they answer fast, they get more than this, but less than half.
    assert 50 <= serve(harness, 200) <= 90


def test_warming_upstreams_get_more_while_they_answer_fast_than_while_they_are_slow() -> None:
    sent_in_second_half = []
    for warming_answer_us in (30_000, 280_000):
        harness = lightly_loaded_harness()
        add_warming_upstreams(harness)
        serve(harness, 100, warming_answer_us=warming_answer_us)
        sent_in_second_half.append(serve(harness, 100, warming_answer_us=warming_answer_us))
    assert sent_in_second_half[0] >= 36 and sent_in_second_half[1] <= 20


def test_warming_upstreams_get_requests_while_load_is_shed() -> None:
    harness = lightly_loaded_harness()
    serve(harness, 100, warm_answer_us=290_000)
    add_warming_upstreams(harness, age_us=10_000_000)
    assert serve(harness, 100, warm_answer_us=290_000) >= 15  # of the 35 requests that are sent while load is shed


def test_small_warming_upstreams_get_fewer_requests_and_no_expensive_ones() -> None:
    harness = lightly_loaded_harness(weighted=True)
    add_warming_upstreams(harness, small_size=0.25)
    serve(harness, 200, expensive_interval=10)
    small_upstream_send_count = sum(1 for send in harness.sends() if send.upstream <= 15)
    assert 0 < 3 * small_upstream_send_count < 2 * sum(1 for send in harness.sends() if 15 < send.upstream <= 30)


def test_expensive_requests_use_more_credit_of_a_warming_upstream() -> None:
    warming_send_counts = []
    for cost_us in (20_000, 70_000):
        harness = lightly_loaded_harness()
        add_warming_upstreams(harness, age_us=5_000_000)
        warming_send_counts.append(serve(harness, 200, cost_us=cost_us))
    assert 0 < 3 * warming_send_counts[1] < 2 * warming_send_counts[0]


def next_poll_delay_us(harness: BalancerHarness) -> int:
    """Let a poll fail, and return how long after its failure the next poll is sent."""
    harness.update_upstreams(upstreams(4), ListKind.CACHED)
    harness.advance(2_000_000)
    failed_at_us, count_before = harness.now_us, len(harness.actions)
    harness.handle(UpstreamsUpdated(ListKind.FAILED))
    while not any(isinstance(action, Subscribe) for action in harness.actions[count_before:]):
        harness.advance(10_000)
    return harness.now_us - failed_at_us


@pytest.mark.parametrize(("sidecar_count", "max_delay_us"), [(3, 260_000), (40, 2_010_000)])
def test_sidecars_whose_polls_failed_together_spread_their_next_polls(sidecar_count: int, max_delay_us: int) -> None:
    config = settings(polls_endpoints=True, max_poll_interval_us=10_000_000, instances=sidecar_count)
    delays_us = sorted(next_poll_delay_us(BalancerHarness(config, seed)) for seed in range(40))
    assert delays_us[-1] <= max_delay_us
    quarter_us = max_delay_us // 4
    max_in_a_quarter = max(
        sum(1 for delay_us in delays_us if start <= delay_us < start + quarter_us)
        for start in range(0, max_delay_us, quarter_us)
    )
    assert max_in_a_quarter <= 18, "expected about 10 of the 40 polls in each quarter of the span"
