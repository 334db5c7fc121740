"""Plans at a forwarder: which are accepted, how the last one fades out, and how the balancer applies their advice."""

from __future__ import annotations

import itertools

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryepier.balancer.interface import (
    Advice,
    ListKind,
    PlanUpdated,
    Upstream,
    UpstreamsUpdated,
)
from ryepier.plan.messages import (
    ConverterAdvice,
    Plan,
    Term,
)
from ryepier.plan.plan_follower import AcceptanceRules, PlanFollower
from tests.plan_scenarios import (
    LISTED_UIDS,
    RULES,
    SECOND_US,
    advice_ejecting_first,
    make_balancer,
    make_plan,
    sent_upstreams,
)


@pytest.mark.parametrize(
    ("plan", "reason"),
    [
        (make_plan(forwarders=4), "too few forwarders"),
        (make_plan(forwarders=0, covered=0, window_ms=0), "too few forwarders"),  # a plan without any evidence
        (make_plan(window_ms=999), "evidence of too short a time"),
        (make_plan(covered=4), "too few converters reported"),
        (make_plan(entries=advice_ejecting_first(5)), "too many converters ejected"),
        (make_plan(entries=dict.fromkeys(LISTED_UIDS, ConverterAdvice(weight=0.0))), "too little weight"),
        (make_plan(epoch=0), "no term"),
        (make_plan(planner=""), "no term"),
    ],
)
def test_invalid_plan_is_rejected_and_the_last_valid_one_stays(plan: Plan, reason: str) -> None:
    follower = PlanFollower("f", RULES)
    assert follower.accept_plan(0, make_plan(entries=advice_ejecting_first(1)), LISTED_UIDS) is None
    # except for epoch 0, the term becomes higher than that of the accepted plan, so that it is no reason to reject
    plan_in_term = msgspec.structs.replace(plan, term=Term(plan.term.epoch * 5, plan.term.planner))
    assert str(follower.accept_plan(1, plan_in_term, LISTED_UIDS)).startswith(
        reason if plan.term.epoch else "an older term"
    )
    assert follower.plan is not None and list(follower.plan.entries) == ["c0"]


def test_plan_terms_and_numbers_within_a_term_only_increase() -> None:
    follower = PlanFollower("f", RULES)
    offers = [
        (2, "a", 5, ""),
        (2, "a", 5, "not newer"),
        (2, "a", 4, "not newer"),
        (1, "b", 9, "an older term"),
        (2, "b", 1, ""),
        (2, "a", 99, "an older term"),
        (3, "a", 1, ""),
    ]
    for epoch, planner, number, expected in offers:
        assert follower.accept_plan(0, make_plan(epoch, number, planner=planner), LISTED_UIDS) == (expected or None)


@given(
    st.lists(st.tuples(st.integers(0, 3), st.sampled_from("ab"), st.integers(0, 4), st.integers(0, 10)), max_size=30)
)
def test_accepted_plans_increase_for_any_sequence_of_plans(offers: list[tuple[int, str, int, int]]) -> None:
    follower, accepted_plans = PlanFollower("f", RULES), []
    for epoch, planner, number, forwarders in offers:
        if not follower.accept_plan(0, make_plan(epoch, number, forwarders, planner), LISTED_UIDS):
            accepted_plans.append((epoch, planner, number))
            assert forwarders >= 5
    assert all(earlier < later for earlier, later in itertools.pairwise(accepted_plans))


def test_plan_fades_out_and_forwarders_end_an_ejection_gradually() -> None:
    followers = [PlanFollower(f"f{i}", AcceptanceRules(fleet_size=1)) for i in range(200)]
    plan = make_plan(
        entries={
            "c1": ConverterAdvice(ejected=True, trial_share=0.0),
            "c2": ConverterAdvice(weight=0.5, concurrency_limit=2),
        }
    )
    upstream_ids = {uid: int(uid[1:]) for uid in LISTED_UIDS}
    not_ejecting_counts, weights = [], []
    for follower in followers:
        assert follower.accept_plan(0, plan, LISTED_UIDS) is None
    for age_s in range(0, 45, 2):
        advice_of_followers = [
            {advice.upstream: advice for advice in follower.advice(age_s * SECOND_US, upstream_ids)}
            for follower in followers
        ]
        not_ejecting_counts.append(
            sum(not advice_by_upstream.get(1, Advice(1)).ejected for advice_by_upstream in advice_of_followers)
        )
        weights.append(
            sum(advice_by_upstream.get(2, Advice(2)).weight for advice_by_upstream in advice_of_followers) / 200
        )
    assert not_ejecting_counts[0] == not_ejecting_counts[1] == 0 and not_ejecting_counts[-1] == 200
    # the forwarders end the ejection gradually: fewer than a fifth of them in each step of 2 s
    assert max(later - earlier for earlier, later in itertools.pairwise(not_ejecting_counts)) < 40
    assert weights == sorted(weights) and weights[0] == 0.5 and weights[-1] == 1.0


def test_forwarders_take_turns_at_probing_an_ejected_converter() -> None:
    all_selected_names: set[str] = set()
    for number in range(1, 400):
        plan = make_plan(number=number, entries={"c1": ConverterAdvice(ejected=True, trial_share=0.1)})
        selected_names = {
            f"f{i}" for i in range(50) if PlanFollower(f"f{i}", RULES).is_selected_for_trial("c1", plan, 0.1)
        }
        assert len(selected_names) < 20
        all_selected_names |= selected_names
    assert len(all_selected_names) == 50


def test_plan_adds_no_converter_that_discovery_has_not_listed() -> None:
    follower = PlanFollower("f", RULES)
    assert (
        follower.accept_plan(
            0, make_plan(entries={"c99": ConverterAdvice(weight=0.5), "c1": ConverterAdvice(weight=0.5)}), LISTED_UIDS
        )
        is None
    )
    assert [advice.upstream for advice in follower.advice(0, {"c1": 4})] == [4]


def test_upstreams_ejected_by_a_plan_get_no_request_unless_it_ejects_too_many() -> None:
    assert set(sent_upstreams(make_balancer(4), 3, PlanUpdated([Advice(0, ejected=True)]))) == {1, 2, 3}
    assert set(sent_upstreams(make_balancer(4), 4, PlanUpdated([Advice(i, ejected=True) for i in range(3)]))) == {
        0,
        1,
        2,
        3,
    }
    assert sent_upstreams(make_balancer(2), 2, PlanUpdated([Advice(9)])) != []


def test_next_plan_replaces_advice_and_restores_no_removed_upstream() -> None:
    balancer = make_balancer(2)
    balancer.handle(2, PlanUpdated([Advice(0, ejected=True)]))
    balancer.handle(3, UpstreamsUpdated(ListKind.FULL, [Upstream(1)]))
    balancer.handle(4, PlanUpdated([Advice(0, weight=1.0)]))
    assert set(sent_upstreams(balancer, 1, PlanUpdated([Advice(0)]))) == {1}
