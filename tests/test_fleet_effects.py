"""Behaviour that is harmless in one sidecar and harmful in forty, where each sees few requests and many upstreams."""

from __future__ import annotations

import pytest

from ryepier.balancer.interface import ListKind, Outcome, Subscribe, Upstream, UpstreamsUpdated
from tests.balancer_harness import BalancerHarness, settings, upstreams

PAY = 1
WARMING_UP = range(1, 31)


def lightly_loaded_harness(**changes: object) -> BalancerHarness:
    """Return one of forty sidecars: it uses a few of 30 upstreams, and gets 20 requests a second."""
    harness = BalancerHarness(settings(hedging=False, instances=40, overload_factor=4.0, **changes))
    harness.update_upstreams(upstreams(30))
    serve(harness, 100)
    return harness


def serve(
    harness: BalancerHarness,
    requests: int,
    duration_us: int = 30_000,
    warming_up_us: int = 30_000,
    heavy_interval: int = 0,
    cost_us: int = 20_000,
) -> int:
    """Serve requests, and return how many went to the upstreams that warm up, which answer in `warming_up_us`."""
    sent = 0
    for number in range(requests):
        heavy = heavy_interval > 0 and number % heavy_interval == 0
        request = harness.arrive(PAY, cost_us=1_000_000 if heavy else cost_us)
        is_warming_up = any(send.upstream in WARMING_UP for send in harness.sends(request))
        assert not (heavy and is_warming_up)
        harness.advance(warming_up_us if is_warming_up else duration_us)
        if harness.sends(request):
            harness.end(request, 0, Outcome.OK)
        harness.advance(20_000)
        sent += int(is_warming_up)
    return sent


def start_upstreams(harness: BalancerHarness, age_us: int = 0, small: float = 1.0) -> None:
    """Add upstreams that started `age_us` ago; half of them have the size `small`."""
    entries = [Upstream(i, weight=small if i <= 15 else 1.0, started_us=harness.now_us - age_us) for i in WARMING_UP]
    harness.update_upstreams(entries, ListKind.DELTA)


def test_upstreams_that_warm_up_get_their_part_though_enough_warm_ones_are_in_use() -> None:
    harness = lightly_loaded_harness()
    start_upstreams(harness)
    # by a warmth of 0.2 to 0.6, a quarter of the fleet's work is theirs at least; as they are fast, up to half
    assert 50 <= serve(harness, 200) <= 90


def test_upstreams_that_warm_up_get_more_while_they_answer_fast_and_less_while_they_are_slow() -> None:
    second_half = []
    for warming_up_us in (30_000, 280_000):
        harness = lightly_loaded_harness()
        start_upstreams(harness)
        serve(harness, 100, warming_up_us=warming_up_us)
        second_half.append(serve(harness, 100, warming_up_us=warming_up_us))
    assert second_half[0] >= 36 and second_half[1] <= 20


def test_upstreams_that_warm_up_get_requests_while_load_is_shed_from_the_warm_ones() -> None:
    harness = lightly_loaded_harness()
    serve(harness, 100, duration_us=290_000)
    start_upstreams(harness, age_us=10_000_000)
    assert serve(harness, 100, duration_us=290_000) >= 15  # of 35 that are sent


def test_small_upstream_that_warms_up_gets_less_and_no_heavy_request() -> None:
    harness = lightly_loaded_harness(weighted=True)
    start_upstreams(harness, small=0.25)
    serve(harness, 200, heavy_interval=10)
    small = sum(1 for send in harness.sends() if send.upstream <= 15)
    assert 0 < 3 * small < 2 * sum(1 for send in harness.sends() if 15 < send.upstream <= 30)


def test_heavier_requests_use_up_the_credit_of_an_upstream_that_warms_up() -> None:
    sent = []
    for cost_us in (20_000, 70_000):
        harness = lightly_loaded_harness()
        start_upstreams(harness, age_us=5_000_000)
        sent.append(serve(harness, 200, cost_us=cost_us))
    assert 0 < 3 * sent[1] < 2 * sent[0]


def next_poll_delay_us(harness: BalancerHarness) -> int:
    """Return how long after a failed poll the next one is made."""
    harness.update_upstreams(upstreams(4), ListKind.CACHED)
    harness.advance(2_000_000)
    failed_us, before = harness.now_us, len(harness.actions)
    harness.handle(UpstreamsUpdated(ListKind.FAILED))
    while not any(isinstance(action, Subscribe) for action in harness.actions[before:]):
        harness.advance(10_000)
    return harness.now_us - failed_us


@pytest.mark.parametrize(("sidecars", "max_delay_us"), [(3, 260_000), (40, 2_010_000)])
def test_sidecars_whose_polls_failed_together_poll_again_one_by_one(sidecars: int, max_delay_us: int) -> None:
    config = settings(polls_endpoints=True, max_poll_interval_us=10_000_000, instances=sidecars)
    delays_us = sorted(next_poll_delay_us(BalancerHarness(config, seed)) for seed in range(40))
    assert delays_us[-1] <= max_delay_us
    quarter = max_delay_us // 4
    max_in_a_quarter = max(
        sum(1 for at in delays_us if start <= at < start + quarter) for start in range(0, max_delay_us, quarter)
    )
    assert max_in_a_quarter <= 18, "40 polls over the span: about 10 in a quarter of it"
