"""The plain mechanism and each departure from it, seen through the interface."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from ryepier.balancer.interface import (
    CloseIdle,
    Fail,
    ListKind,
    Log,
    Outcome,
    Reject,
    Tenant,
    Upstream,
    UpstreamState,
)
from tests.balancer_harness import BalancerHarness, request_classes, settings, upstreams

READ, PAY, MARK = 0, 1, 2


def ready_harness(count: int = 4, **changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(**changes))
    harness.update_upstreams(upstreams(count))
    return harness


def fill(harness: BalancerHarness) -> list[int]:
    """Take every slot; the last request is the one that waits in the buffer."""
    taken = []
    for _ in range(1000):
        taken.append(harness.arrive(READ))
        if not harness.sends(taken[-1]):
            return taken
    raise AssertionError("the slots never ran out")


def test_a_request_goes_to_a_ready_upstream_at_once() -> None:
    harness = ready_harness()
    request = harness.arrive(READ)
    assert [s.upstream in harness.known for s in harness.sends(request)] == [True]


def test_choice_is_spread_over_all_upstreams() -> None:
    harness = ready_harness(6)
    for _ in range(60):
        harness.end(harness.arrive(READ), 0, Outcome.OK)
    assert {s.upstream for s in harness.sends()} == set(harness.known)


def test_outstanding_sends_are_capped_and_one_request_waits_and_the_next_is_refused() -> None:
    harness = ready_harness()
    taken = fill(harness)
    assert harness.answer(taken[-1]) is None
    last = harness.arrive(READ)
    answer = harness.answer(last)
    assert isinstance(answer, Reject) and answer.retry_after_us > 0


def test_the_waiting_request_takes_the_first_slot_that_frees() -> None:
    harness = ready_harness()
    taken = fill(harness)
    freed = harness.sends(taken[0])[0].upstream
    harness.end(taken[0], 0, Outcome.OK)
    assert [s.upstream for s in harness.sends(taken[-1])] == [freed]


def test_what_waited_past_the_delay_threshold_is_refused() -> None:
    harness = ready_harness()
    waiting = fill(harness)[-1]
    harness.advance(200_000)
    assert isinstance(harness.answer(waiting), Reject)


def test_a_request_too_near_its_due_time_is_refused_unsent() -> None:
    harness = ready_harness()
    request = harness.arrive(READ, patience_us=1_000)
    assert isinstance(harness.answer(request), Reject) and not harness.sends(request)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_what_never_ran_is_reissued_elsewhere(outcome: Outcome, class_index: int) -> None:
    harness = ready_harness()
    request = harness.arrive(class_index)
    harness.end(request, 0, outcome)
    first, second = harness.sends(request)
    assert first.upstream != second.upstream


def test_an_unsafe_request_that_may_have_run_is_failed() -> None:
    harness = ready_harness()
    request = harness.arrive(PAY)
    harness.end(request, 0, Outcome.RESET)
    assert isinstance(harness.answer(request), Fail) and len(harness.sends(request)) == 1


def test_an_unsafe_request_is_waited_for_while_its_answer_is_of_use_and_no_longer() -> None:
    harness = ready_harness()
    request = harness.arrive(PAY)  # a late answer to it is worth nothing
    harness.advance(290_000)
    assert harness.answer(request) is None
    harness.advance(20_000)
    assert isinstance(harness.answer(request), Fail)


def test_a_request_whose_late_answer_is_worth_something_is_waited_for_till_due() -> None:
    harness = ready_harness(max_attempts=1)
    request = harness.arrive(READ)
    harness.advance(1_400_000)
    assert harness.answer(request) is None


def test_no_ready_upstream_waits_and_then_refuses() -> None:
    harness = BalancerHarness()
    harness.update_upstreams([])
    request = harness.arrive(READ)
    harness.advance(400_000)
    assert isinstance(harness.answer(request), Reject)
    harness.update_upstreams([Upstream(5)])
    assert harness.sends(harness.arrive(READ))


def test_a_cold_upstream_gets_little() -> None:
    harness = BalancerHarness(settings(instances=24))
    harness.update_upstreams(upstreams(3))
    churn(harness, 20, took_us=20_000)
    harness.update_upstreams([Upstream(1, started_us=harness.now_us - 1_000), *upstreams(3)])
    churn(harness, 150, took_us=20_000)
    cold = sum(1 for s in harness.sends() if s.upstream == 1)
    assert 0 < cold <= 15  # surely 9 are its part, and it is quick; an even share would be 37


def test_an_upstream_gets_less_than_the_others_until_it_is_warm() -> None:
    harness = BalancerHarness(settings(instances=400))
    harness.update_upstreams([Upstream(1, started_us=harness.now_us - 12_000_000), *upstreams(3)])  # two thirds warm
    churn(harness, 1000, took_us=5_000)
    cold = sum(1 for s in harness.sends() if s.upstream == 1)
    assert 0 < cold < 190  # an even share would be 250


def test_drained_upstreams_get_nothing() -> None:
    harness = ready_harness(2)
    harness.update_upstreams([Upstream(100, UpstreamState.DRAINING), Upstream(101, UpstreamState.REMOVED)])
    request = harness.arrive(READ)
    harness.advance(1_000_000)
    assert not harness.sends(request)


def churn(
    harness: BalancerHarness,
    steps: int,
    bad: int | None = None,
    fault: Outcome = Outcome.REJECTED,
    class_index: int = READ,
    took_us: int = 10_000,
) -> None:
    """A request a step; whatever is out ends at the step's end, with `fault` at the upstream `bad`."""
    for _ in range(steps):
        harness.arrive(class_index)
        harness.advance(took_us)
        for ident in [i for i, tracked in harness.requests.items() if tracked.in_flight()]:
            for attempt in harness.requests[ident].in_flight():
                at_bad = harness.requests[ident].attempts[attempt].upstream == bad
                harness.end(ident, attempt, fault if at_bad else Outcome.OK)


def held(harness: BalancerHarness) -> int:
    """How many requests can be outstanding now; they are ended again."""
    taken = [r for r in fill(harness) if harness.sends(r)]
    for request in taken:
        harness.end(request, 0, Outcome.OK)
    return len(taken)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_an_upstream_that_fails_at_once_does_not_draw_more(outcome: Outcome) -> None:
    harness = ready_harness(5)
    churn(harness, 200, 100, outcome)
    assert sum(1 for s in harness.sends() if s.upstream == 100) < 20


def test_an_upstream_that_failed_is_tried_again_and_comes_back() -> None:
    harness = ready_harness(2)
    churn(harness, 40, 100)
    churn(harness, 1000)
    assert sum(1 for s in harness.sends()[-200:] if s.upstream == 100) > 30


def test_slots_open_only_while_requests_find_none_free() -> None:
    harness = ready_harness(4)
    churn(harness, 100)
    assert held(harness) == 4


def test_slots_open_under_need_and_close_on_slow_answers() -> None:
    harness = ready_harness(4)

    def rounds(count: int, took_us: int) -> None:
        for _ in range(count):
            fill(harness)
            churn(harness, 1, took_us=took_us)

    rounds(60, 20_000)
    churn(harness, 1)
    grown = held(harness)
    assert 8 <= grown <= 32
    rounds(20, 250_000)
    churn(harness, 3)
    assert held(harness) < grown / 2


def test_a_stale_timer_does_not_arm_another() -> None:
    harness = ready_harness(2)
    for _ in range(50):
        fill(harness)
        harness.advance(1_000)
        for ident, tracked in list(harness.requests.items()):
            for attempt in tracked.in_flight():
                harness.end(ident, attempt, Outcome.REJECTED)
    harness.advance(10_000_000)
    assert len(harness.timers) == 0


def test_an_idle_upstream_of_this_zone_is_drawn_first_where_crossing_costs() -> None:
    harness = ready_harness(8, zone=1, cross_zone_fee=0.03)
    first = [harness.arrive(READ) for _ in range(2)]
    assert {harness.known[harness.sends(r)[0].upstream].zone for r in first} == {1}
    third = harness.arrive(READ)
    assert harness.known[harness.sends(third)[0].upstream].zone != 1


def test_zones_do_not_matter_where_crossing_is_free() -> None:
    harness = ready_harness(8, zone=1)
    churn(harness, 100)
    assert {harness.known[s.upstream].zone for s in harness.sends()} == {0, 1, 2, 3}


def test_a_dearer_request_takes_the_buffer_from_a_cheaper_one() -> None:
    harness = ready_harness()
    cheap = fill(harness)[-1]
    dear = harness.arrive(PAY)
    assert isinstance(harness.answer(cheap), Reject) and harness.answer(dear) is None
    late = harness.arrive(READ)
    assert isinstance(harness.answer(late), Reject)
    harness.end(harness.sends()[0].request, 0, Outcome.OK)
    assert harness.sends(dear)


def test_a_tenant_beyond_its_share_yields_the_buffer() -> None:
    harness = ready_harness(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        harness.arrive(READ, tenant=0)
    holder = harness.balancer.buffer
    assert holder is not None and holder.event.tenant == 0
    modest = harness.arrive(READ, tenant=1)
    assert harness.answer(modest) is None and harness.answer(holder.event.request) is not None


def test_a_tenant_that_is_not_known_has_no_share_and_yields_the_buffer() -> None:
    harness = ready_harness(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        harness.arrive(READ, tenant=2)
    holder = harness.balancer.buffer
    assert holder is not None and holder.event.tenant == 2
    known = harness.arrive(READ, tenant=0)
    assert harness.answer(known) is None and harness.answer(holder.event.request) is not None


def test_a_late_answer_gets_a_copy_elsewhere_and_the_first_may_still_answer() -> None:
    harness = ready_harness()
    request = harness.arrive(READ)
    harness.advance(250_000)
    first, second = harness.sends(request)
    assert first.upstream != second.upstream
    harness.end(request, 0, Outcome.OK)
    assert harness.answer(request) is None and harness.requests[request].answers == 1


@pytest.mark.parametrize(("class_index", "hedging"), [(PAY, True), (READ, False)])
def test_no_copy_where_none_is_allowed(class_index: int, hedging: bool) -> None:
    harness = ready_harness(hedging=hedging)
    request = harness.arrive(class_index)
    harness.advance(250_000)
    assert len(harness.sends(request)) == 1


def test_no_copy_while_others_wait_for_a_slot() -> None:
    harness = ready_harness()
    fill(harness)
    harness.advance(140_000)
    fill(harness)
    harness.advance(20_000)
    assert all(len(tracked.attempts) <= 1 for tracked in harness.requests.values())


def test_answers_that_took_no_measurable_time_do_no_harm() -> None:
    harness = ready_harness()
    churn(harness, 50, took_us=0)
    waiting, last = fill(harness)[-1], harness.arrive(PAY)
    assert [harness.answer(r) is None for r in (waiting, last)].count(True) == 1


@pytest.mark.parametrize(("class_index", "again"), [(READ, True), (MARK, True), (PAY, False)])
def test_an_error_is_reissued_where_the_class_may_run_again(class_index: int, again: bool) -> None:
    harness = ready_harness()
    request = harness.arrive(class_index)
    harness.end(request, 0, Outcome.ERROR)
    assert (len(harness.sends(request)) == 2) is again


def test_the_first_slot_is_a_whole_one_however_many_sidecars_there_are() -> None:
    few, many = ready_harness(4, instances=3), ready_harness(4, instances=400)
    assert len(fill(many)) == len(fill(few)) == 5


def slow_spell(harness: BalancerHarness, seconds: int) -> None:
    """Every answer takes longer than the aim."""
    for _ in range(seconds):
        harness.arrive(PAY)
        harness.advance(1_000_000)


def test_while_all_upstreams_are_slow_a_light_sidecar_sends_less_and_recovers() -> None:
    harness = ready_harness(40, instances=400)
    slow_spell(harness, 30)
    assert 3 <= len(harness.sends()) <= 12
    churn(harness, 300)
    before = len(harness.sends())
    churn(harness, 20)
    assert len(harness.sends()) - before == 20


def test_one_slow_answer_among_quick_ones_thins_nothing() -> None:
    harness = ready_harness(40, instances=400)
    churn(harness, 30, class_index=PAY)
    slow_spell(harness, 1)
    before = len(harness.sends())
    churn(harness, 10, class_index=PAY)
    assert len(harness.sends()) - before == 10


def test_what_the_own_zone_thins_out_goes_to_another_zone() -> None:
    harness = ready_harness(8, zone=1, cross_zone_fee=0.2, instances=400)
    churn(harness, 30, class_index=PAY)
    assert {harness.known[s.upstream].zone for s in harness.sends()} == {1}
    before = len(harness.sends())
    for _ in range(30):
        request = harness.arrive(PAY)
        home = [s for s in harness.sends(request) if harness.known[s.upstream].zone == 1]
        harness.advance(300_000 if home else 20_000)
        if not home and harness.requests[request].in_flight():
            harness.end(request, 0, Outcome.OK)
    crossed = [s for s in harness.sends()[before:] if harness.known[s.upstream].zone != 1]
    assert len(crossed) >= 10 and len(harness.sends()) - before >= 25


def test_when_every_attempt_fails_not_all_are_repeated() -> None:
    harness = ready_harness(40, hedging=False)
    errors = 0
    for _ in range(60):
        request = harness.arrive(READ)
        harness.advance(200_000)
        while harness.requests[request].in_flight():
            harness.end(request, len(harness.requests[request].attempts) - 1, Outcome.ERROR)
            errors += 1
    first = sum(1 for tracked in harness.requests.values() if tracked.attempts)
    assert 5 <= errors - first <= 5 + first / 5


def test_a_sidecar_with_little_traffic_uses_few_of_many_upstreams() -> None:
    harness = ready_harness(60, instances=400)
    churn(harness, 100, took_us=1_000_000)
    assert len({s.upstream for s in harness.sends()}) <= 6


def test_a_sidecar_that_turns_busy_spreads_over_more_upstreams() -> None:
    harness = ready_harness(60, instances=400)
    churn(harness, 600, took_us=20_000)
    assert len({s.upstream for s in harness.sends()}) >= 30


def test_an_upstream_slower_than_the_others_is_drawn_less() -> None:
    harness = ready_harness(4, hedging=False)
    for _ in range(200):
        request = harness.arrive(READ)
        slow = harness.sends(request)[0].upstream == 100
        harness.advance(120_000 if slow else 30_000)
        harness.end(request, 0, Outcome.OK)
    assert sum(1 for s in harness.sends() if s.upstream == 100) < 25


def test_upstreams_long_gone_leave_no_state() -> None:
    harness = ready_harness(4)
    for n in range(50):
        harness.update_upstreams([Upstream(1000 + n)], ListKind.DELTA)
        churn(harness, 5)
        harness.update_upstreams([Upstream(1000 + n, UpstreamState.REMOVED)], ListKind.DELTA)
    assert len(harness.balancer.membership.by_id) == 4 and len(harness.balancer.membership.pools[0].subset.members) <= 4


def busy_harness() -> BalancerHarness:
    """One upstream whose slots have opened under need."""
    harness = ready_harness(1)
    for _ in range(80):
        fill(harness)
        churn(harness, 1, took_us=20_000)
    churn(harness, 1)
    return harness


def test_one_natural_error_leaves_an_upstream_its_other_slots() -> None:
    harness = busy_harness()
    before = held(harness)
    harness.end(harness.arrive(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert held(harness) >= before / 2 - 1


def test_one_heavy_request_among_quick_answers_closes_no_slot() -> None:
    harness = busy_harness()
    before = held(harness)
    churn(harness, 1, took_us=170_000)  # over half the aim
    assert held(harness) >= before - 1


def test_without_need_no_second_slot_opens() -> None:
    harness = ready_harness(40, instances=24)
    churn(harness, 400)
    assert all(upstream.concurrency.limit <= 1 for upstream in harness.balancer.membership.by_id.values())


def test_slots_go_on_opening_for_two_aims_after_a_shortage_and_no_longer() -> None:
    windows = []
    for pause_us in (300_000, 900_000):
        harness = ready_harness(1)
        taken = fill(harness)
        harness.advance(10_000)
        for request in (taken[0], taken[-1]):
            harness.end(request, 0, Outcome.OK)
        harness.advance(pause_us)
        before = harness.balancer.membership.by_id[100].concurrency.limit
        churn(harness, 3)
        windows.append(harness.balancer.membership.by_id[100].concurrency.limit - before)
    assert windows[0] > 0 and windows[1] == 0


def test_quicker_answers_open_slots_faster() -> None:
    counts = []
    for took_us in (10_000, 120_000):
        harness = ready_harness(4)
        for _ in range(6):
            fill(harness)
            churn(harness, 1, took_us=took_us)
        churn(harness, 1, took_us=took_us)
        counts.append(held(harness))
    assert counts[0] > counts[1]


def test_a_request_known_to_be_heavy_is_not_timed_out_early() -> None:
    harness = ready_harness(hedging=False)
    churn(harness, 50)
    light, heavy = harness.arrive(READ, cost_us=10_000), harness.arrive(READ, cost_us=200_000)
    assert harness.sends(light)[0].timeout_us < 200_000 < 800_000 <= harness.sends(heavy)[0].timeout_us


def log_lines(harness: BalancerHarness) -> list[str]:
    return [action.text for action in harness.actions if isinstance(action, Log)]


def test_a_failing_upstream_is_logged_when_it_is_ejected_and_restored() -> None:
    harness = ready_harness(2)
    churn(harness, 200, 100)
    assert log_lines(harness) == ["upstream 100 ejected"]
    churn(harness, 1000)
    assert log_lines(harness) == ["upstream 100 ejected", "upstream 100 restored"]


def test_overload_is_logged_when_it_begins_and_ends() -> None:
    harness = ready_harness(2)
    for _ in range(100):
        harness.arrive(READ)
    assert log_lines(harness) == ["overload begins"]
    harness.advance(5_000_000)
    churn(harness, 1500)
    assert log_lines(harness)[-1] == "overload ends"


def test_log_lines_are_few_on_the_worst_day() -> None:
    harness = ready_harness(50)
    begin_us = harness.now_us
    for fault in (Outcome.REJECTED, Outcome.OK, Outcome.REJECTED, Outcome.OK):
        for _ in range(30):
            churn_all(harness, fault)
    assert 1 <= len(log_lines(harness)) <= 1 + (harness.now_us - begin_us) / 1_000_000


def churn_all(harness: BalancerHarness, outcome: Outcome) -> None:
    """A few requests, and one outcome for all that is out."""
    for _ in range(20):
        harness.arrive(PAY)
    harness.advance(10_000)
    for ident, tracked in list(harness.requests.items()):
        for attempt in tracked.in_flight():
            harness.end(ident, attempt, outcome)


@pytest.mark.parametrize("hedging", [True, False])
def test_after_an_outage_that_every_answer_outlasted_requests_are_tried_again(hedging: bool) -> None:
    harness = ready_harness(2, hedging=hedging)
    for _ in range(20):
        for class_index in (READ, PAY, MARK):
            harness.arrive(class_index)
        harness.advance(3_000_000)
    for class_index in (READ, PAY, MARK):
        churn(harness, 20, class_index=class_index)
        before = len(harness.sends())
        churn(harness, 20, class_index=class_index)
        assert len(harness.sends()) - before >= 15


def refused_of(harness: BalancerHarness, count: int) -> int:
    return sum(1 for _ in range(count) if not harness.sends(harness.arrive(PAY)))


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.MALFORMED_RESPONSE, Outcome.ERROR])
def test_a_fault_that_strikes_all_upstreams_alike_shuts_none(fault: Outcome) -> None:
    harness = ready_harness(6)
    for outcome in (Outcome.OK, fault):
        requests = [harness.arrive(PAY) for _ in range(6)]  # one at each upstream
        harness.advance(20_000)
        for request in requests:
            harness.end(request, 0, outcome)
    assert refused_of(harness, 6) == 0


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.MALFORMED_RESPONSE, Outcome.ERROR])
def test_a_part_of_the_attempts_failing_everywhere_rests_hardly_any_upstream(fault: Outcome) -> None:
    harness, chance = ready_harness(9, hedging=False), random.Random(5)
    for _ in range(500):
        requests = [harness.arrive(PAY) for _ in range(6)]
        harness.advance(60_000)
        for request in requests:
            harness.end(request, 0, fault if chance.random() < 0.1 else Outcome.OK)
    assert sum(1 for action in harness.actions if isinstance(action, CloseIdle)) < 10  # of 300 faults


def test_an_upstream_that_always_fails_rests_even_where_all_others_fail_a_part() -> None:
    harness, chance = ready_harness(9, hedging=False), random.Random(5)
    for _ in range(3000):
        request = harness.arrive(PAY)
        harness.advance(20_000)
        fails = harness.sends(request)[0].upstream == 100 or chance.random() < 0.2
        harness.end(request, 0, Outcome.RESET if fails else Outcome.OK)
    assert sum(1 for send in harness.sends()[-1000:] if send.upstream == 100) < 1000 / 9 / 4


def test_slots_open_fast_after_the_start_of_a_busy_sidecar() -> None:
    def refused(kind: ListKind) -> int:
        harness = BalancerHarness(settings())
        harness.update_upstreams(upstreams(4), kind)
        count = 0
        for _ in range(10):  # each time more than the slots that are open
            requests = [harness.arrive(PAY) for _ in range(16)]
            sent = [request for request in requests if harness.sends(request)]
            count += len(requests) - len(sent)
            harness.advance(5_000)
            for request in sent:
                harness.end(request, 0, Outcome.OK)
        return count

    assert refused(ListKind.CACHED) < refused(ListKind.FULL) * 0.8


def test_a_class_that_an_upstream_never_answers_is_seldom_sent_there_and_the_others_are() -> None:
    kinds = request_classes()
    kinds[PAY] = replace(kinds[PAY], late_weight=0.5)  # so that it is waited for to its deadline
    harness = ready_harness(classes=kinds)
    deaf = min(harness.known)

    def sent_to_deaf(class_index: int) -> int:
        request = harness.arrive(class_index)
        sends = harness.sends(request)
        harness.advance(20_000)
        if sends and (sends[0].upstream != deaf or class_index != PAY):
            harness.end(request, 0, Outcome.OK)
        return sum(1 for send in sends if send.upstream == deaf)

    assert 3 <= sum(sent_to_deaf(PAY) for _ in range(1000)) <= 15
    assert sum(sent_to_deaf(READ) for _ in range(40)) > 0


def test_an_upstream_slow_to_all_frees_no_more_than_one_slot() -> None:
    harness = ready_harness(1, hedging=False)
    for _ in range(40):  # requests that meet open slots
        both = [harness.arrive(READ), harness.arrive(READ)]
        harness.advance(10_000)
        for request in both:
            if harness.sends(request) and harness.answer(request) is None:
                harness.end(request, 0, Outcome.OK)
    slots = len(fill(harness)) - 1
    kind = harness.settings.classes[READ]
    harness.advance(kind.latency_objective_us - 1)
    assert len(fill(harness)) == 1
    sent = len(harness.sends())
    harness.advance(1)
    fill(harness)
    assert slots > 2 and len(harness.sends()) - sent <= 1


def test_an_upstream_that_turns_one_class_away_keeps_its_part_of_the_others() -> None:
    harness = ready_harness(hedging=False)
    for _ in range(400):
        for request in (harness.arrive(PAY), harness.arrive(READ)):
            harness.advance(10_000)
            for number, send in enumerate(harness.sends(request)):  # a reissue follows what was turned away
                turned = send.upstream == 100 and harness.requests[request].event.class_index == PAY
                if harness.requests[request].attempts[number].outcome is None:
                    harness.end(request, number, Outcome.REJECTED if turned else Outcome.OK)
        harness.advance(10_000)
    late = harness.sends()[-400:]
    there = [harness.requests[send.request].event.class_index for send in late if send.upstream == 100]
    assert there.count(READ) > 400 / 2 / 4 / 2 and there.count(PAY) < 400 / 2 / 4 / 4


@pytest.mark.parametrize(("took_us", "keeps"), [(10_000, True), (140_000, False)])
def test_an_upstream_that_turns_a_part_away_keeps_its_slots_if_it_is_quick_with_the_rest(
    took_us: int, keeps: bool
) -> None:
    harness, chance = ready_harness(hedging=False), random.Random(5)
    for _ in range(400):
        requests = [harness.arrive(PAY) for _ in range(4)]
        harness.advance(took_us)
        for request in requests:
            sent = harness.sends(request)
            if sent and harness.requests[request].attempts[0].outcome is None:
                turned = sent[0].upstream == 100 and chance.random() < 0.3
                harness.end(request, 0, Outcome.REJECTED if turned else Outcome.OK)
        harness.advance(2_000_000 if took_us < 100_000 else 0)
    rested = any(action.upstream == 100 for action in harness.actions if isinstance(action, CloseIdle))
    assert rested is not keeps


def test_an_upstream_that_turns_all_classes_away_rests() -> None:
    harness = ready_harness(hedging=False)
    for number in range(400):
        request = harness.arrive(PAY if number % 2 else READ)
        harness.advance(10_000)
        for attempt, send in enumerate(harness.sends(request)):
            if harness.requests[request].attempts[attempt].outcome is None:
                harness.end(request, attempt, Outcome.REJECTED if send.upstream == 100 else Outcome.OK)
    assert sum(1 for send in harness.sends()[-200:] if send.upstream == 100) < 200 / 4 / 5


def test_a_few_slow_answers_in_the_first_second_thin_a_busy_sidecar_no_more_than_later() -> None:
    def sent_after_slow_answers(busy_us: int) -> int:
        harness = ready_harness(9, hedging=False)
        end_us = harness.now_us + busy_us
        while harness.now_us < end_us:
            requests = [harness.arrive(PAY) for _ in range(3)]
            harness.advance(10_000)
            for request in requests:
                harness.end(request, 0, Outcome.OK)
        for _ in range(3):
            slow = [request for request in (harness.arrive(PAY) for _ in range(9)) if harness.sends(request)]
            harness.advance(200_000)
            for request in slow:
                harness.end(request, 0, Outcome.OK)
        return sum(1 for _ in range(9) if harness.sends(harness.arrive(PAY)))

    assert sent_after_slow_answers(500_000) >= sent_after_slow_answers(10_000_000) - 1


def test_a_sidecar_that_was_thinned_in_a_surge_lets_in_again_once_answers_are_quick() -> None:
    harness = ready_harness(9, hedging=False)

    def play(arrivals: int, answer_us: int) -> int:
        """So many arrivals at once, and an answer to each that was sent; how many were."""
        sent = [request for request in (harness.arrive(PAY) for _ in range(arrivals)) if harness.sends(request)]
        harness.advance(answer_us)
        for request in sent:
            harness.end(request, 0, Outcome.OK)
        return len(sent)

    for _ in range(500):
        play(3, 10_000)
    for _ in range(10):
        play(9, 290_000)
    for _ in range(40):  # 2 s at a fifteenth of the rate
        play(1, 50_000)
    assert sum(play(1, 50_000) for _ in range(20)) >= 15
