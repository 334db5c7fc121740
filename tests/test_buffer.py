"""The buffer, in which one request waits for a slot, and the rejection of requests that cannot wait."""

from __future__ import annotations

from ryepier.balancer.interface import (
    Outcome,
    Reject,
    Tenant,
    Upstream,
)
from tests.balancer_harness import BalancerHarness
from tests.balancer_scenarios import (
    PAY,
    READ,
    fill_slots,
    ready_harness,
    serve_requests,
)


def test_one_request_waits_when_all_slots_are_taken_and_the_next_is_rejected() -> None:
    harness = ready_harness()
    requests = fill_slots(harness)
    assert harness.answer(requests[-1]) is None
    last_request = harness.arrive(READ)
    answer = harness.answer(last_request)
    assert isinstance(answer, Reject) and answer.retry_after_us > 0


def test_buffered_request_takes_the_first_slot_that_frees() -> None:
    harness = ready_harness()
    requests = fill_slots(harness)
    freed_upstream = harness.sends(requests[0])[0].upstream
    harness.end(requests[0], 0, Outcome.OK)
    assert [send.upstream for send in harness.sends(requests[-1])] == [freed_upstream]


def test_buffered_request_is_rejected_after_the_slow_latency() -> None:
    harness = ready_harness()
    waiting_request = fill_slots(harness)[-1]
    harness.advance(200_000)
    assert isinstance(harness.answer(waiting_request), Reject)


def test_request_too_close_to_its_deadline_is_rejected_unsent() -> None:
    harness = ready_harness()
    request = harness.arrive(READ, due_in_us=1_000)
    assert isinstance(harness.answer(request), Reject) and not harness.sends(request)


def test_request_without_a_ready_upstream_waits_and_is_then_rejected() -> None:
    harness = BalancerHarness()
    harness.update_upstreams([])
    request = harness.arrive(READ)
    harness.advance(400_000)
    assert isinstance(harness.answer(request), Reject)
    harness.update_upstreams([Upstream(5)])
    assert harness.sends(harness.arrive(READ))


def test_request_with_a_higher_priority_weight_replaces_the_buffered_request() -> None:
    harness = ready_harness()
    low_priority_request = fill_slots(harness)[-1]
    high_priority_request = harness.arrive(PAY)
    assert isinstance(harness.answer(low_priority_request), Reject) and harness.answer(high_priority_request) is None
    rejected_request = harness.arrive(READ)
    assert isinstance(harness.answer(rejected_request), Reject)
    harness.end(harness.sends()[0].request, 0, Outcome.OK)
    assert harness.sends(high_priority_request)


def test_buffered_request_of_a_tenant_over_its_quota_is_replaced() -> None:
    harness = ready_harness(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        harness.arrive(READ, tenant=0)
    buffered_request = harness.balancer.buffer
    assert buffered_request is not None and buffered_request.event.tenant == 0
    request_within_quota = harness.arrive(READ, tenant=1)
    assert harness.answer(request_within_quota) is None and harness.answer(buffered_request.event.request) is not None


def test_buffered_request_of_an_unknown_tenant_is_replaced() -> None:
    harness = ready_harness(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        harness.arrive(READ, tenant=2)
    buffered_request = harness.balancer.buffer
    assert buffered_request is not None and buffered_request.event.tenant == 2
    request_of_known_tenant = harness.arrive(READ, tenant=0)
    assert (
        harness.answer(request_of_known_tenant) is None and harness.answer(buffered_request.event.request) is not None
    )


def test_one_request_is_buffered_after_answers_without_latency() -> None:
    harness = ready_harness()
    serve_requests(harness, 50, duration_us=0)
    waiting_request, last_request = fill_slots(harness)[-1], harness.arrive(PAY)
    assert [harness.answer(request_id) is None for request_id in (waiting_request, last_request)].count(True) == 1
