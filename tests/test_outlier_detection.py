"""Outlier detection: which failing upstreams are ejected, and how they are restored after recovery."""

from __future__ import annotations

import random

import pytest

from ryepier.balancer.interface import (
    CloseIdle,
    Outcome,
)
from tests.balancer_scenarios import (
    PAY,
    READ,
    log_lines,
    ready_harness,
    send_and_count_unsent,
    serve_requests,
)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_upstream_that_fails_fast_does_not_attract_requests(outcome: Outcome) -> None:
    harness = ready_harness(5)
    serve_requests(harness, 200, 100, outcome)
    assert sum(1 for send in harness.sends() if send.upstream == 100) < 20


def test_failed_upstream_is_tried_again_and_restored() -> None:
    harness = ready_harness(2)
    serve_requests(harness, 40, 100)
    serve_requests(harness, 1000)
    assert sum(1 for send in harness.sends()[-200:] if send.upstream == 100) > 30


def test_failing_upstream_is_logged_when_it_is_ejected_and_restored() -> None:
    harness = ready_harness(2)
    serve_requests(harness, 200, 100)
    assert log_lines(harness) == ["upstream 100 ejected"]
    serve_requests(harness, 1000)
    assert log_lines(harness) == ["upstream 100 ejected", "upstream 100 restored"]


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.MALFORMED_RESPONSE, Outcome.ERROR])
def test_fault_that_affects_all_upstreams_equally_ejects_none(fault: Outcome) -> None:
    harness = ready_harness(6)
    for outcome in (Outcome.OK, fault):
        requests = [harness.arrive(PAY) for _ in range(6)]  # one at each upstream
        harness.advance(20_000)
        for request in requests:
            harness.end(request, 0, outcome)
    assert send_and_count_unsent(harness, 6) == 0


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.MALFORMED_RESPONSE, Outcome.ERROR])
def test_occasional_faults_at_all_upstreams_cause_few_ejections(fault: Outcome) -> None:
    harness, rng = ready_harness(9, hedging=False), random.Random(5)
    for _ in range(500):
        requests = [harness.arrive(PAY) for _ in range(6)]
        harness.advance(60_000)
        for request in requests:
            harness.end(request, 0, fault if rng.random() < 0.1 else Outcome.OK)
    assert sum(1 for action in harness.actions if isinstance(action, CloseIdle)) < 10  # of about 300 faults


def test_upstream_that_always_fails_is_ejected_even_if_all_others_fail_sometimes() -> None:
    harness, rng = ready_harness(9, hedging=False), random.Random(5)
    for _ in range(3000):
        request = harness.arrive(PAY)
        harness.advance(20_000)
        fails = harness.sends(request)[0].upstream == 100 or rng.random() < 0.2
        harness.end(request, 0, Outcome.RESET if fails else Outcome.OK)
    assert sum(1 for send in harness.sends()[-1000:] if send.upstream == 100) < 1000 / 9 / 4


def test_upstream_that_rejects_all_classes_is_ejected() -> None:
    harness = ready_harness(hedging=False)
    for number in range(400):
        request = harness.arrive(PAY if number % 2 else READ)
        harness.advance(10_000)
        for attempt, send in enumerate(harness.sends(request)):
            if harness.requests[request].attempts[attempt].outcome is None:
                harness.end(request, attempt, Outcome.REJECTED if send.upstream == 100 else Outcome.OK)
    assert sum(1 for send in harness.sends()[-200:] if send.upstream == 100) < 200 / 4 / 5
