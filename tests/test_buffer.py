"""The buffer, in which one request waits for a slot, and the rejection of what cannot wait."""

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
    taken = fill_slots(harness)
    assert harness.answer(taken[-1]) is None
    last = harness.arrive(READ)
    answer = harness.answer(last)
    assert isinstance(answer, Reject) and answer.retry_after_us > 0


def test_buffered_request_takes_the_first_slot_that_frees() -> None:
    harness = ready_harness()
    taken = fill_slots(harness)
    freed = harness.sends(taken[0])[0].upstream
    harness.end(taken[0], 0, Outcome.OK)
    assert [send.upstream for send in harness.sends(taken[-1])] == [freed]


def test_buffered_request_is_rejected_after_the_delay_threshold() -> None:
    harness = ready_harness()
    waiting = fill_slots(harness)[-1]
    harness.advance(200_000)
    assert isinstance(harness.answer(waiting), Reject)


def test_request_too_close_to_its_deadline_is_rejected_unsent() -> None:
    harness = ready_harness()
    request = harness.arrive(READ, patience_us=1_000)
    assert isinstance(harness.answer(request), Reject) and not harness.sends(request)


def test_request_without_a_ready_upstream_waits_and_is_then_rejected() -> None:
    harness = BalancerHarness()
    harness.update_upstreams([])
    request = harness.arrive(READ)
    harness.advance(400_000)
    assert isinstance(harness.answer(request), Reject)
    harness.update_upstreams([Upstream(5)])
    assert harness.sends(harness.arrive(READ))


def test_request_with_a_higher_priority_weight_takes_the_buffer() -> None:
    harness = ready_harness()
    lighter = fill_slots(harness)[-1]
    heavier = harness.arrive(PAY)
    assert isinstance(harness.answer(lighter), Reject) and harness.answer(heavier) is None
    late = harness.arrive(READ)
    assert isinstance(harness.answer(late), Reject)
    harness.end(harness.sends()[0].request, 0, Outcome.OK)
    assert harness.sends(heavier)


def test_tenant_over_its_quota_yields_the_buffer() -> None:
    harness = ready_harness(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        harness.arrive(READ, tenant=0)
    holder = harness.balancer.buffer
    assert holder is not None and holder.event.tenant == 0
    modest = harness.arrive(READ, tenant=1)
    assert harness.answer(modest) is None and harness.answer(holder.event.request) is not None


def test_unknown_tenant_has_no_quota_and_yields_the_buffer() -> None:
    harness = ready_harness(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        harness.arrive(READ, tenant=2)
    holder = harness.balancer.buffer
    assert holder is not None and holder.event.tenant == 2
    known = harness.arrive(READ, tenant=0)
    assert harness.answer(known) is None and harness.answer(holder.event.request) is not None


def test_one_request_is_buffered_after_answers_in_no_measurable_time() -> None:
    harness = ready_harness()
    serve_requests(harness, 50, duration_us=0)
    waiting, last = fill_slots(harness)[-1], harness.arrive(PAY)
    assert [harness.answer(request_id) is None for request_id in (waiting, last)].count(True) == 1
