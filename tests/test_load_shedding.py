"""Load shedding: a sidecar sends less while its upstreams are slow, and logs the start and the end of an overload."""

from __future__ import annotations

from ryepier.balancer.interface import (
    Outcome,
)
from tests.balancer_scenarios import (
    PAY,
    READ,
    log_lines,
    ready_harness,
    send_and_end_requests,
    serve_requests,
    time_out_requests,
)


def test_sidecar_with_little_traffic_sends_less_while_all_upstreams_are_slow_and_recovers() -> None:
    harness = ready_harness(40, instances=400)
    time_out_requests(harness, 30)
    assert 3 <= len(harness.sends()) <= 12
    serve_requests(harness, 300)
    count_before = len(harness.sends())
    serve_requests(harness, 20)
    assert len(harness.sends()) - count_before == 20


def test_one_slow_answer_among_fast_ones_sheds_no_load() -> None:
    harness = ready_harness(40, instances=400)
    serve_requests(harness, 30, class_index=PAY)
    time_out_requests(harness, 1)
    count_before = len(harness.sends())
    serve_requests(harness, 10, class_index=PAY)
    assert len(harness.sends()) - count_before == 10


def test_load_shed_from_the_own_zone_goes_to_other_zones() -> None:
    harness = ready_harness(8, zone=1, cross_zone_fee=0.2, instances=400)
    serve_requests(harness, 30, class_index=PAY)
    assert {harness.known_entries[send.upstream].zone for send in harness.sends()} == {1}
    count_before = len(harness.sends())
    for _ in range(30):
        request = harness.arrive(PAY)
        own_zone_sends = [send for send in harness.sends(request) if harness.known_entries[send.upstream].zone == 1]
        harness.advance(300_000 if own_zone_sends else 20_000)
        if not own_zone_sends and harness.requests[request].in_flight():
            harness.end(request, 0, Outcome.OK)
    other_zone_sends = [
        send for send in harness.sends()[count_before:] if harness.known_entries[send.upstream].zone != 1
    ]
    assert len(other_zone_sends) >= 10 and len(harness.sends()) - count_before >= 25


def test_overload_is_logged_when_it_begins_and_ends() -> None:
    harness = ready_harness(2)
    for _ in range(100):
        harness.arrive(READ)
    assert log_lines(harness) == ["overload begins"]
    harness.advance(5_000_000)
    serve_requests(harness, 1500)
    assert log_lines(harness)[-1] == "overload ends"


def test_log_lines_are_few_while_upstreams_fail_and_recover() -> None:
    harness = ready_harness(50)
    begin_us = harness.now_us
    for fault in (Outcome.REJECTED, Outcome.OK, Outcome.REJECTED, Outcome.OK):
        for _ in range(30):
            send_and_end_requests(harness, fault)
    assert 1 <= len(log_lines(harness)) <= 1 + (harness.now_us - begin_us) / 1_000_000


def test_slow_answers_in_the_first_second_shed_no_more_load_than_later() -> None:
    def sent_count_after_slow_answers(fast_phase_us: int) -> int:
        harness = ready_harness(9, hedging=False)
        end_us = harness.now_us + fast_phase_us
        while harness.now_us < end_us:
            requests = [harness.arrive(PAY) for _ in range(3)]
            harness.advance(10_000)
            for request in requests:
                harness.end(request, 0, Outcome.OK)
        for _ in range(3):
            slow_requests = [request for request in (harness.arrive(PAY) for _ in range(9)) if harness.sends(request)]
            harness.advance(200_000)
            for request in slow_requests:
                harness.end(request, 0, Outcome.OK)
        return sum(1 for _ in range(9) if harness.sends(harness.arrive(PAY)))

    assert sent_count_after_slow_answers(500_000) >= sent_count_after_slow_answers(10_000_000) - 1


def test_sidecar_that_shed_load_in_a_surge_recovers_once_answers_are_fast() -> None:
    harness = ready_harness(9, hedging=False)

    def send_burst(arrival_count: int, answer_us: int) -> int:
        """Let requests arrive at the same time, answer those that were sent, and return their number."""
        sent = [request for request in (harness.arrive(PAY) for _ in range(arrival_count)) if harness.sends(request)]
        harness.advance(answer_us)
        for request in sent:
            harness.end(request, 0, Outcome.OK)
        return len(sent)

    for _ in range(500):
        send_burst(3, 10_000)
    for _ in range(10):
        send_burst(9, 290_000)
    # 20 requests per second for 2 s: a fifteenth of the 300 per second before the surge
    for _ in range(40):
        send_burst(1, 50_000)
    assert sum(send_burst(1, 50_000) for _ in range(20)) >= 15
