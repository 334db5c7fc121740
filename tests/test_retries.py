"""Retries, hedged requests and timeouts: when a request gets another attempt."""

from __future__ import annotations

import pytest

from ryepier.balancer.interface import (
    Fail,
    Outcome,
)
from tests.balancer_scenarios import (
    MARK,
    PAY,
    READ,
    fill_slots,
    ready_harness,
    serve_requests,
)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_attempt_that_never_ran_is_retried_elsewhere(outcome: Outcome, class_index: int) -> None:
    harness = ready_harness()
    request = harness.arrive(class_index)
    harness.end(request, 0, outcome)
    first, second = harness.sends(request)
    assert first.upstream != second.upstream


def test_non_idempotent_request_that_may_have_run_fails() -> None:
    harness = ready_harness()
    request = harness.arrive(PAY)
    harness.end(request, 0, Outcome.RESET)
    assert isinstance(harness.answer(request), Fail) and len(harness.sends(request)) == 1


def test_non_idempotent_request_without_late_weight_fails_at_its_latency_objective() -> None:
    harness = ready_harness()
    request = harness.arrive(PAY)  # late answers of this class have no weight
    harness.advance(290_000)
    assert harness.answer(request) is None
    harness.advance(20_000)
    assert isinstance(harness.answer(request), Fail)


def test_request_whose_late_answer_has_weight_is_awaited_until_its_deadline() -> None:
    harness = ready_harness(max_attempts=1)
    request = harness.arrive(READ)
    harness.advance(1_400_000)
    assert harness.answer(request) is None


def test_slow_request_is_hedged_elsewhere_and_its_first_attempt_may_still_answer() -> None:
    harness = ready_harness()
    request = harness.arrive(READ)
    harness.advance(250_000)
    first, second = harness.sends(request)
    assert first.upstream != second.upstream
    harness.end(request, 0, Outcome.OK)
    assert harness.answer(request) is None and harness.requests[request].answer_count == 1


@pytest.mark.parametrize(("class_index", "hedging"), [(PAY, True), (READ, False)])
def test_no_attempt_is_hedged_if_the_class_or_the_settings_forbid_it(class_index: int, hedging: bool) -> None:
    harness = ready_harness(hedging=hedging)
    request = harness.arrive(class_index)
    harness.advance(250_000)
    assert len(harness.sends(request)) == 1


def test_no_attempt_is_hedged_while_a_request_waits_for_a_slot() -> None:
    harness = ready_harness()
    fill_slots(harness)
    harness.advance(140_000)
    fill_slots(harness)
    harness.advance(20_000)
    assert all(len(tracked.attempts) <= 1 for tracked in harness.requests.values())


@pytest.mark.parametrize(("class_index", "is_retried"), [(READ, True), (MARK, True), (PAY, False)])
def test_error_is_retried_only_if_the_class_permits_it(class_index: int, is_retried: bool) -> None:
    harness = ready_harness()
    request = harness.arrive(class_index)
    harness.end(request, 0, Outcome.ERROR)
    assert (len(harness.sends(request)) == 2) is is_retried


def test_retries_are_limited_when_every_attempt_fails() -> None:
    harness = ready_harness(40, hedging=False)
    error_count = 0
    for _ in range(60):
        request = harness.arrive(READ)
        harness.advance(200_000)
        while harness.requests[request].in_flight():
            harness.end(request, len(harness.requests[request].attempts) - 1, Outcome.ERROR)
            error_count += 1
    first_attempt_count = sum(1 for tracked in harness.requests.values() if tracked.attempts)
    assert 5 <= error_count - first_attempt_count <= 5 + first_attempt_count / 5


def test_expensive_request_has_a_longer_timeout() -> None:
    harness = ready_harness(hedging=False)
    serve_requests(harness, 50)
    cheap_request, expensive_request = harness.arrive(READ, cost_us=10_000), harness.arrive(READ, cost_us=200_000)
    assert (
        harness.sends(cheap_request)[0].timeout_us < 200_000 < 800_000 <= harness.sends(expensive_request)[0].timeout_us
    )


@pytest.mark.parametrize("hedging", [True, False])
def test_sending_resumes_after_an_outage_without_answers(hedging: bool) -> None:
    harness = ready_harness(2, hedging=hedging)
    for _ in range(20):
        for class_index in (READ, PAY, MARK):
            harness.arrive(class_index)
        harness.advance(3_000_000)
    for class_index in (READ, PAY, MARK):
        serve_requests(harness, 20, class_index=class_index)
        count_before = len(harness.sends())
        serve_requests(harness, 20, class_index=class_index)
        assert len(harness.sends()) - count_before >= 15
