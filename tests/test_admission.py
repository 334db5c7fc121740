"""Admission: what a pool's answers say of its load, and what is refused for it."""

from __future__ import annotations

import random

from ryepier.balancer.interface import Outcome, RequestClass
from tests.balancer_harness import BalancerHarness, settings, upstreams

WORK_US = 100_000  # mean of the exponential work of a request: a third of the slow time
AIM_US = 600_000
REQUESTS = 400
SEEDS = range(1, 9)


def lightly_loaded_harness(seed: int) -> BalancerHarness:
    """One sidecar with little traffic before upstreams that are never busy."""
    read = RequestClass("read", latency_objective_us=AIM_US, deadline_us=1_500_000, late_weight=0.3)
    harness = BalancerHarness(settings(classes=[read], hedging=False, warm_up_us=0), seed)
    harness.update_upstreams(upstreams(12))
    return harness


def serve(harness: BalancerHarness, request: int, work_us: int) -> None:
    """Answer each of a request's attempts when its work is done, if it is not given up before."""
    number = 0
    while number < len(harness.sends(request)):
        harness.advance(work_us)
        if harness.requests[request].attempts[number].outcome is None:
            harness.end(request, number, Outcome.OK)
        number += 1


def unsent(harness: BalancerHarness, requests: list[int]) -> float:
    """The share of requests that never went out."""
    return sum(not harness.sends(request) for request in requests) / len(requests)


def play(seed: int, mean_us: int) -> float:
    """The share never sent of requests that come one after another, each served at once."""
    harness, dice = lightly_loaded_harness(seed), random.Random(seed)
    requests = []
    for _ in range(REQUESTS):
        requests.append(harness.arrive())
        serve(harness, requests[-1], max(1, int(dice.expovariate(1 / mean_us))))
        harness.advance(int(dice.expovariate(4.0) * 1_000_000))
    return unsent(harness, requests)


def test_some_slow_answers_thin_nothing_while_the_mean_is_below_the_target() -> None:
    """Two in three answers take 0.3 of the slow time, the third 1.1 of it: 0.57 in the mean, the target is 0.7."""
    harness = lightly_loaded_harness(1)
    requests = []
    for number in range(REQUESTS):
        requests.append(harness.arrive())
        serve(harness, requests[-1], 330_000 if number % 3 == 2 else 90_000)
        harness.advance(100_000)
    assert unsent(harness, requests) == 0


def test_a_light_sidecar_refuses_nothing_for_work_that_is_long_by_chance() -> None:
    refused = [play(seed, WORK_US) for seed in SEEDS]
    print("refused, by seed:", refused)
    assert sum(refused) / len(refused) <= 0.005


def test_it_still_refuses_where_answers_are_slow_on_the_whole() -> None:
    refused = [play(seed, 6 * WORK_US) for seed in SEEDS]
    print("refused, by seed:", refused)
    assert min(refused) >= 0.2
