"""The concurrency limit of an upstream: when it grows (slots open) and shrinks (slots close)."""

from __future__ import annotations

import random

import pytest

from ryepier.balancer.interface import (
    CloseIdle,
    ListKind,
    Outcome,
)
from tests.balancer_harness import BalancerHarness, settings, upstreams
from tests.balancer_scenarios import (
    PAY,
    READ,
    fill_slots,
    harness_with_raised_limit,
    open_slot_count,
    ready_harness,
    serve_requests,
)


def test_slots_open_only_during_a_shortage() -> None:
    harness = ready_harness(4)
    serve_requests(harness, 100)
    assert open_slot_count(harness) == 4


def test_slots_open_in_a_shortage_and_close_on_slow_answers() -> None:
    harness = ready_harness(4)

    def run_rounds(count: int, duration_us: int) -> None:
        for _ in range(count):
            fill_slots(harness)
            serve_requests(harness, 1, duration_us=duration_us)

    run_rounds(60, 20_000)
    serve_requests(harness, 1)
    slots_after_growth = open_slot_count(harness)
    assert 8 <= slots_after_growth <= 32
    run_rounds(20, 250_000)
    serve_requests(harness, 3)
    assert open_slot_count(harness) < slots_after_growth / 2


def test_stale_timer_does_not_start_another() -> None:
    harness = ready_harness(2)
    for _ in range(50):
        fill_slots(harness)
        harness.advance(1_000)
        for request, tracked in list(harness.requests.items()):
            for attempt in tracked.in_flight():
                harness.end(request, attempt, Outcome.REJECTED)
    harness.advance(10_000_000)
    assert len(harness.timers) == 0


def test_upstream_has_one_open_slot_at_any_number_of_sidecars() -> None:
    few_sidecars, many_sidecars = ready_harness(4, instances=3), ready_harness(4, instances=400)
    assert len(fill_slots(many_sidecars)) == len(fill_slots(few_sidecars)) == 5


def test_one_error_closes_at_most_half_the_slots() -> None:
    harness = harness_with_raised_limit()
    slots_before = open_slot_count(harness)
    harness.end(harness.arrive(PAY), 0, Outcome.ERROR)
    assert slots_before >= 4
    assert open_slot_count(harness) >= slots_before / 2 - 1


def test_one_expensive_request_among_fast_answers_closes_at_most_one_slot() -> None:
    harness = harness_with_raised_limit()
    slots_before = open_slot_count(harness)
    serve_requests(harness, 1, duration_us=170_000)  # more than half the latency objective
    assert open_slot_count(harness) >= slots_before - 1


def test_no_second_slot_opens_without_a_shortage() -> None:
    harness = ready_harness(40, instances=24)
    serve_requests(harness, 400)
    assert all(upstream.concurrency.limit <= 1 for upstream in harness.balancer.membership.by_id.values())


def test_slots_open_only_within_two_latency_objectives_of_a_shortage() -> None:
    limit_increases = []
    for pause_us in (300_000, 900_000):
        harness = ready_harness(1)
        requests = fill_slots(harness)
        harness.advance(10_000)
        for request in (requests[0], requests[-1]):
            harness.end(request, 0, Outcome.OK)
        harness.advance(pause_us)
        limit_before = harness.balancer.membership.by_id[100].concurrency.limit
        serve_requests(harness, 3)
        limit_increases.append(harness.balancer.membership.by_id[100].concurrency.limit - limit_before)
    assert limit_increases[0] > 0 and limit_increases[1] == 0


def test_faster_answers_open_slots_faster() -> None:
    slot_counts = []
    for duration_us in (10_000, 120_000):
        harness = ready_harness(4)
        for _ in range(6):
            fill_slots(harness)
            serve_requests(harness, 1, duration_us=duration_us)
        serve_requests(harness, 1, duration_us=duration_us)
        slot_counts.append(open_slot_count(harness))
    assert slot_counts[0] > slot_counts[1]


def test_slots_open_fast_after_the_start_of_a_busy_sidecar() -> None:
    def rejected_count(kind: ListKind) -> int:
        harness = BalancerHarness(settings())
        harness.update_upstreams(upstreams(4), kind)
        count = 0
        for _ in range(10):  # each time, more requests arrive than slots are open
            requests = [harness.arrive(PAY) for _ in range(16)]
            sent = [request for request in requests if harness.sends(request)]
            count += len(requests) - len(sent)
            harness.advance(5_000)
            for request in sent:
                harness.end(request, 0, Outcome.OK)
        return count

    assert rejected_count(ListKind.CACHED) < rejected_count(ListKind.FULL) * 0.8


def test_upstream_without_answers_frees_at_most_one_slot() -> None:
    harness = ready_harness(1, hedging=False)
    for _ in range(40):  # two requests arrive at the same time, so that slots open
        pair = [harness.arrive(READ), harness.arrive(READ)]
        harness.advance(10_000)
        for request in pair:
            if harness.sends(request) and harness.answer(request) is None:
                harness.end(request, 0, Outcome.OK)
    slot_count = len(fill_slots(harness)) - 1
    request_class = harness.settings.classes[READ]
    harness.advance(request_class.latency_objective_us - 1)
    assert len(fill_slots(harness)) == 1
    sent_before = len(harness.sends())
    harness.advance(1)
    fill_slots(harness)
    assert slot_count > 2 and len(harness.sends()) - sent_before <= 1


@pytest.mark.parametrize(("duration_us", "keeps_slots"), [(10_000, True), (140_000, False)])
def test_upstream_that_rejects_some_requests_keeps_its_slots_if_other_answers_are_fast(
    duration_us: int, keeps_slots: bool
) -> None:
    harness, rng = ready_harness(hedging=False), random.Random(5)
    for _ in range(400):
        requests = [harness.arrive(PAY) for _ in range(4)]
        harness.advance(duration_us)
        for request in requests:
            sends = harness.sends(request)
            if sends and harness.requests[request].attempts[0].outcome is None:
                is_rejected = sends[0].upstream == 100 and rng.random() < 0.3
                harness.end(request, 0, Outcome.REJECTED if is_rejected else Outcome.OK)
        harness.advance(2_000_000 if duration_us < 100_000 else 0)
    was_ejected = any(action.upstream == 100 for action in harness.actions if isinstance(action, CloseIdle))
    assert was_ejected is not keeps_slots
