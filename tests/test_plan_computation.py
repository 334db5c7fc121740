"""Computation of plans: which converters are ejected, get less weight, or are restored, given the evidence."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryepier.balancer.interface import (
    PlanUpdated,
)
from ryepier.plan.evidence import Evidence
from ryepier.plan.messages import (
    ConverterAdvice,
    FrameDecoder,
    Plan,
    Term,
    encode,
)
from ryepier.plan.plan_computation import Planner
from ryepier.plan.plan_follower import PlanFollower
from tests.plan_scenarios import (
    LISTED_UIDS,
    RULES,
    SECOND_US,
    compute_plan,
    make_balancer,
    report_all_converters,
    report_attempts,
    sent_upstreams,
)


def test_planner_with_too_few_reports_sends_no_plan() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    assert planner.plan(5 * SECOND_US, evidence, Term(1, "a"), 1) is None
    report_all_converters(evidence, 0, {}, forwarder_count=4)
    assert planner.plan(2 * SECOND_US, evidence, Term(1, "a"), 1) is None  # fewer than half of the forwarders report
    report_all_converters(evidence, SECOND_US, {}, forwarder_count=6)
    assert planner.plan(SECOND_US - 1, evidence, Term(1, "a"), 1) is None  # the reports cover less than a second
    assert compute_plan(planner, evidence, SECOND_US).entries == {}


def test_failing_converter_is_ejected_probed_and_restored_in_steps() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    report_all_converters(evidence, 2 * SECOND_US, {"c3": (0, 2)})
    [(uid, entry)] = compute_plan(planner, evidence, 2 * SECOND_US).entries.items()
    assert uid == "c3" and entry.ejected and entry.trial_share == 0.2 and "seen by 10 of 10" in entry.reason
    at_us, states = 2 * SECOND_US, []
    for _ in range(40):
        at_us += SECOND_US // 2
        report_attempts(evidence, at_us, "f0", {"c3": (2, 0)})
        report_all_converters(evidence, at_us, {"c3": (0, 0)})
        entry = compute_plan(planner, evidence, at_us).entries.get("c3", ConverterAdvice())
        states.append("ejected" if entry.ejected else entry.weight)
    assert list(dict.fromkeys(states)) == ["ejected", 0.25, 0.5, 1.0]


def test_slow_converter_gets_less_weight_by_median_latency_not_by_outliers() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    for index in range(6):
        report_attempts(evidence, 2 * SECOND_US, f"f{index}", dict.fromkeys(LISTED_UIDS, (6, 0)), ("c3",))
        report_attempts(evidence, 2 * SECOND_US, f"f{index}", {"c4": (1, 0)}, ("c4",))
    [(uid, entry)] = compute_plan(planner, evidence, 2 * SECOND_US).entries.items()
    assert uid == "c3" and entry.weight == 0.25 and entry.concurrency_limit == 1 and "96 ms" in entry.reason


def test_class_limit_over_all_forwarders_is_divided_evenly_and_fades() -> None:
    planner, evidence = Planner(RULES, [], [25.0]), Evidence(0)
    for at_us in (2 * SECOND_US, 2 * SECOND_US + 1):
        # Each of 5 forwarders reports 10 more arrivals, twice: 100 within the decay time constant of 2 s, or 50 per
        # second. That is twice the limit.
        report_all_converters(evidence, at_us, {}, forwarder_count=5)
    plan = compute_plan(planner, evidence, 2 * SECOND_US + 1)
    assert plan.class_admission == [pytest.approx(0.5, rel=0.01)]
    follower = PlanFollower("f", RULES)
    assert follower.accept_plan(0, plan, LISTED_UIDS) is None and follower.class_admission(0) == plan.class_admission
    assert 0.5 < follower.class_admission(15 * SECOND_US)[0] < 1.0 and follower.class_admission(60 * SECOND_US) == []
    balancer = make_balancer(4)
    receiving_upstreams = sent_upstreams(balancer, 4, PlanUpdated(class_admission=[0.5]))
    assert len(receiving_upstreams) == 2


def test_forwarder_for_which_every_converter_fails_is_ignored() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    report_all_converters(evidence, 2 * SECOND_US, {})
    report_attempts(evidence, 2 * SECOND_US, "f0", dict.fromkeys(LISTED_UIDS, (0, 50)))
    assert compute_plan(planner, evidence, 2 * SECOND_US).entries == {} and planner.outlier_reporters == {"f0"}


def test_few_forwarders_with_many_failures_do_not_outweigh_the_others() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    report_all_converters(evidence, 2 * SECOND_US, {})
    for name in ("f0", "f1", "f2"):
        report_attempts(evidence, 2 * SECOND_US, name, {"c3": (0, 5000), "c4": (0, 5000)})
    assert compute_plan(planner, evidence, 2 * SECOND_US).entries == {}


def test_no_converter_is_ejected_when_half_of_the_converters_fail() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    report_all_converters(evidence, 2 * SECOND_US, {f"c{i}": (0, 3) for i in range(5)})
    assert compute_plan(planner, evidence, 2 * SECOND_US).entries == {} and planner.too_many_converters_fail


def test_plan_from_any_evidence_is_accepted_by_forwarders() -> None:
    @given(
        st.lists(
            st.dictionaries(st.sampled_from(sorted(LISTED_UIDS)), st.tuples(st.integers(0, 9), st.integers(0, 9))),
            min_size=5,
            max_size=10,
        )
    )
    def check(results_by_forwarder: list[dict[str, tuple[int, int]]]) -> None:
        planner, evidence = Planner(RULES, [0.5, 0.5]), Evidence(0)
        for index, results in enumerate(results_by_forwarder):
            report_attempts(evidence, 2 * SECOND_US, f"f{index}", results)
        plan = planner.plan(2 * SECOND_US, evidence, Term(1, "a"), 1)
        if plan is not None:
            [decoded] = FrameDecoder().feed(encode(plan))
            assert isinstance(decoded, Plan) and PlanFollower("f", RULES).accept_plan(0, decoded, LISTED_UIDS) is None

    check()


def test_planner_applies_the_acceptance_rules_of_forwarders() -> None:
    strict_rules = dataclasses.replace(RULES, max_ejected=0.0)
    planner, evidence = Planner(strict_rules, []), Evidence(0)
    report_all_converters(evidence, 2 * SECOND_US, {"c3": (0, 2)})
    assert compute_plan(planner, evidence, 2 * SECOND_US).entries == {}
