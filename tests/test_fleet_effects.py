"""What is harmless in one sidecar and harmful in forty: each sees few requests, of many upstreams."""

from __future__ import annotations

import pytest

from ryepier.balancer.interface import ListKind, Outcome, Subscribe, Upstream, UpstreamsUpdated
from tests.balancer_harness import BalancerHarness, settings, upstreams

PAY = 1
COLD = range(1, 31)


def lightly_loaded_harness(**changes: object) -> BalancerHarness:
    """One of forty sidecars: it uses a few of 30 upstreams, and gets 20 requests a second."""
    harness = BalancerHarness(settings(hedging=False, instances=40, overload_factor=4.0, **changes))
    harness.update_upstreams(upstreams(30))
    serve(harness, 100)
    return harness


def serve(
    harness: BalancerHarness,
    requests: int,
    took_us: int = 30_000,
    cold_us: int = 30_000,
    heavy_each: int = 0,
    cost_us: int = 20_000,
) -> int:
    """How many went to upstreams 1 to 30, which are cold and answer in `cold_us`."""
    sent = 0
    for number in range(requests):
        heavy = heavy_each > 0 and number % heavy_each == 0
        request = harness.arrive(PAY, cost_us=1_000_000 if heavy else cost_us)
        cold = any(send.upstream in COLD for send in harness.sends(request))
        assert not (heavy and cold)
        harness.advance(cold_us if cold else took_us)
        if harness.sends(request):
            harness.end(request, 0, Outcome.OK)
        harness.advance(20_000)
        sent += int(cold)
    return sent


def start_cold(harness: BalancerHarness, age_us: int = 0, small: float = 1.0) -> None:
    entries = [Upstream(i, weight=small if i <= 15 else 1.0, started_us=harness.now_us - age_us) for i in COLD]
    harness.update_upstreams(entries, ListKind.DELTA)


def test_cold_upstreams_get_their_part_though_enough_warm_ones_are_in_use() -> None:
    harness = lightly_loaded_harness()
    start_cold(harness)
    # surely, by warmth of 0.2 to 0.6, a quarter of the fleet's work is theirs; as they are quick, up to half
    assert 50 <= serve(harness, 200) <= 90


def test_cold_upstreams_get_more_while_they_answer_fast_and_less_while_they_are_slow() -> None:
    second_half = []
    for cold_us in (30_000, 280_000):
        harness = lightly_loaded_harness()
        start_cold(harness)
        serve(harness, 100, cold_us=cold_us)
        second_half.append(serve(harness, 100, cold_us=cold_us))
    assert second_half[0] >= 36 and second_half[1] <= 20


def test_cold_upstreams_are_sent_to_while_the_warm_ones_are_thinned() -> None:
    harness = lightly_loaded_harness()
    serve(harness, 100, took_us=290_000)
    start_cold(harness, age_us=10_000_000)
    assert serve(harness, 100, took_us=290_000) >= 15  # of 35 that are sent


def test_a_small_cold_upstream_gets_less_and_a_heavy_request_goes_to_none() -> None:
    harness = lightly_loaded_harness(weighted=True)
    start_cold(harness, small=0.25)
    serve(harness, 200, heavy_each=10)
    small = sum(1 for send in harness.sends() if send.upstream <= 15)
    assert 0 < 3 * small < 2 * sum(1 for send in harness.sends() if 15 < send.upstream <= 30)


def test_dearer_requests_use_up_a_cold_upstreams_turns() -> None:
    sent = []
    for cost_us in (20_000, 70_000):
        harness = lightly_loaded_harness()
        start_cold(harness, age_us=5_000_000)
        sent.append(serve(harness, 200, cost_us=cost_us))
    assert 0 < 3 * sent[1] < 2 * sent[0]


def first_asks_us(harness: BalancerHarness) -> int:
    """How long after a failed call the list is asked for again."""
    harness.update_upstreams(upstreams(4), ListKind.CACHED)
    harness.advance(2_000_000)
    failed_us, before = harness.now_us, len(harness.actions)
    harness.handle(UpstreamsUpdated(ListKind.FAILED))
    while not any(isinstance(action, Subscribe) for action in harness.actions[before:]):
        harness.advance(10_000)
    return harness.now_us - failed_us


@pytest.mark.parametrize(("sidecars", "longest_us"), [(3, 260_000), (40, 2_010_000)])
def test_sidecars_whose_list_calls_failed_together_come_again_one_by_one(sidecars: int, longest_us: int) -> None:
    config = settings(polls_endpoints=True, max_poll_interval_us=10_000_000, instances=sidecars)
    asked = sorted(first_asks_us(BalancerHarness(config, seed)) for seed in range(40))
    assert asked[-1] <= longest_us
    quarter = longest_us // 4
    most = max(sum(1 for at in asked if start <= at < start + quarter) for start in range(0, longest_us, quarter))
    assert most <= 18, "40 calls over the span: about 10 in a quarter of it"
