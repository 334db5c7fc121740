"""Unexpected events are ignored, and error messages for invalid settings name the expected values."""

from __future__ import annotations

import pytest

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import (
    AttemptEnded,
    ClientDisconnected,
    Fail,
    Outcome,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    RequestClass,
    StreamStarted,
    Tenant,
    TimerFired,
    UpstreamsUpdated,
)
from ryepier.balancer.interface import ListKind as Kind
from tests.balancer_harness import START_US, BalancerHarness, settings, upstreams


def test_events_about_unknown_objects_change_nothing() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(3))
    for event in (
        AttemptEnded(77, 0, 100, Outcome.OK, 5, True),
        ClientDisconnected(77),
        TimerFired(123456),
        StreamStarted(77, 0, 100, 5),
        ProbeEnded(4242, Outcome.OK, 5, [1.0, 2.0]),
        PeerMessage(1, b"hi"),
        UpstreamsUpdated(Kind.FAILED),
    ):
        assert harness.handle(event) == []
    assert harness.sends(harness.arrive(0))


def test_outcomes_and_disconnects_after_the_end_of_a_request_are_ignored() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(3))
    request = harness.arrive(0)
    harness.disconnect_client(request)
    assert harness.end(request, 0, Outcome.ERROR) == []
    assert harness.handle(AttemptEnded(request, 0, 100, Outcome.OK, 5, True)) == []
    assert harness.handle(ClientDisconnected(request)) == []
    served_request = harness.arrive(0)
    harness.end(served_request, 0, Outcome.OK)
    assert harness.handle(ClientDisconnected(served_request)) == []


def test_outcome_of_an_unknown_attempt_is_ignored() -> None:
    harness = BalancerHarness()
    harness.update_upstreams(upstreams(3))
    request = harness.arrive(0)
    assert harness.handle(AttemptEnded(request, 9, 100, Outcome.OK, 5, False)) == []


def test_broken_stream_is_not_sent_again() -> None:
    harness = BalancerHarness(settings(classes=[RequestClass("feed", 100_000, 500_000, stream=True)]))
    harness.update_upstreams(upstreams(3))
    request = harness.arrive(0)
    harness.begin_stream(request, 0)
    harness.advance(3_000_000)
    harness.end(request, 0, Outcome.RESET)
    assert len(harness.sends(request)) == 1 and not isinstance(harness.answer(request), Fail)


def test_same_events_and_seed_give_the_same_actions() -> None:
    first, second, different_seed = (Balancer(settings(), seed, START_US) for seed in (5, 5, 6))
    actions_by_balancer = []
    for balancer in (first, second, different_seed):
        actions = balancer.handle(START_US, UpstreamsUpdated(Kind.FULL, upstreams(9)))
        for number in range(20):
            actions += balancer.handle(START_US, RequestArrived(number, START_US + 900_000))
        actions_by_balancer.append(actions)
    assert actions_by_balancer[0] == actions_by_balancer[1] != actions_by_balancer[2]


@pytest.mark.parametrize(
    ("create", "expected"),
    [
        (lambda: RequestClass("x", 0, 10), "latency_objective_us above 0"),
        (lambda: RequestClass("x", 10, -1), "deadline_us above 0"),
        (lambda: RequestClass("x", 10, 10, idempotency="maybe"), "expected an Idempotency, got 'maybe'"),  # type: ignore[arg-type]
        (lambda: RequestClass("x", 10, 10, idempotency_scope="planet"), "expected an IdempotencyScope, got 'planet'"),  # type: ignore[arg-type]
        (lambda: RequestClass("x", 10, 10, late_weight=2), "late_weight from 0 to 1"),
        (lambda: Tenant("t", -1), "allowance_per_s of 0 or more"),
        (lambda: settings(max_attempts=-1), "max_attempts of 1 or more"),
        (lambda: settings(instances=0), "instances of 1 or more"),
        (lambda: settings(initial_capacity_share=0), "initial_capacity_share above 0"),
        (lambda: settings(warm_up_us=-5), "warm_up_us of 0 or more"),
        (lambda: settings(classes=[]), "at least one request class"),
    ],
)
def test_invalid_setting_is_reported_with_what_was_expected(create: object, expected: str) -> None:
    with pytest.raises(ValueError, match="expected") as caught:
        create()  # type: ignore[operator]
    assert expected in str(caught.value)
