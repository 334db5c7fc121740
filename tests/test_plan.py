"""Plans without sockets: what is merged, judged, led, kept, held sound and faded."""

from __future__ import annotations

import dataclasses
import itertools
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import (
    Advice,
    Event,
    ListKind,
    Outcome,
    PlanUpdated,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
    Upstream,
    UpstreamsUpdated,
)
from ryepier.plan import snapshot
from ryepier.plan.evidence import Evidence, ForwarderStats
from ryepier.plan.leadership import LEADER_TIMEOUT_US, Leadership
from ryepier.plan.messages import (
    MAX_MESSAGE_BYTES,
    VERSION,
    ConverterAdvice,
    ConverterCounters,
    FrameDecoder,
    Heartbeat,
    Hello,
    Plan,
    ProtocolError,
    Report,
    Term,
    encode,
)
from ryepier.plan.messages import PlanBasis as Basis
from ryepier.plan.plan_computation import ConverterState, ConverterStatus, Planner
from ryepier.plan.plan_follower import AcceptanceRules, PlanFollower
from ryepier.plan.reporter import Reporter

RULES = AcceptanceRules(fleet=10)
LISTED = {f"c{i}" for i in range(10)}
S = 1_000_000


def a_plan(
    epoch: int = 1,
    number: int = 1,
    forwarders: int = 10,
    planner: str = "a",
    covered: int = 10,
    window_ms: int = 2000,
    entries: dict[str, ConverterAdvice] | None = None,
) -> Plan:
    return Plan(
        Term(epoch, planner), number, Basis(forwarders, window_ms, covered, 10, 99), entries or {}, 2000, 30_000
    )


def resting(count: int) -> dict[str, ConverterAdvice]:
    return {f"c{i}": ConverterAdvice(ejected=True, trial_share=0.0) for i in range(count)}


# The wire


@given(st.binary(max_size=300), st.integers(1, 20))
def test_any_bytes_are_messages_or_a_protocol_error(data: bytes, piece: int) -> None:
    frames = FrameDecoder()
    try:
        for at in range(0, len(data), piece):
            frames.feed(data[at : at + piece])
    except ProtocolError:
        pass
    good = encode(Heartbeat(Term(3, "a"), True, 5))
    assert FrameDecoder().feed(good + good[:5]) == [Heartbeat(Term(3, "a"), True, 5)]


def test_value_beyond_its_limits_is_an_error_and_an_unknown_key_is_not() -> None:
    with pytest.raises(ProtocolError, match="bytes"):
        FrameDecoder().feed((MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"))
    with pytest.raises(ProtocolError, match="version"):
        FrameDecoder().feed(encode(Hello(VERSION + 1, "f", 1)))
    with pytest.raises(ProtocolError):
        FrameDecoder().feed(encode(msgspec.structs.replace(a_plan(), entries={"c": ConverterAdvice(weight=2.0)})))
    newer = msgspec.msgpack.encode({"type": "beat", "term": [1, "a"], "leads": True, "forwarders": 1, "mood": "good"})
    assert FrameDecoder().feed(len(newer).to_bytes(4, "big") + newer) == [Heartbeat(Term(1, "a"), True, 1)]


# Reports and their merge


def test_report_has_the_changes_and_counts_a_late_attempt_before_it_ends() -> None:
    reporter = Reporter([100], 1)
    reporter.on_attempt_started(0, "a", 1, 0)
    reporter.on_attempt_started(0, "b", 2, 0)
    reporter.on_attempt_ended("b", 2, Outcome.OK, 2_500)
    first = reporter.report(99, 2, Term(), 0)
    assert first.counters == {
        "a": ConverterCounters(1),
        "b": ConverterCounters(1, 1, 0, 0, (0, 0, 1)),
    } and first.outstanding == {"a": 1}
    assert reporter.report(100, 2, Term(), 0).counters == {"a": ConverterCounters(1, failed=1)}
    reporter.on_attempt_ended("a", 1, Outcome.TIMEOUT, 900)  # counted already
    assert reporter.report(200, 2, Term(), 0).counters == {"a": ConverterCounters(1, failed=1)}
    reporter.retain({"b"})
    assert reporter.report(300, 1, Term(), 0, complete=True).counters == {"b": ConverterCounters(1, 1, 0, 0, (0, 0, 1))}


def growing(counts: list[int]) -> list[Report]:
    total, reports = 0, []
    for number, count in enumerate(counts, 1):
        total += count
        other = ConverterCounters(number, latencies=(0,) * (number % 4) + (number,))
        reports.append(
            Report(number, 10, {"c": ConverterCounters(total, total), f"d{number % 3}": other}, {}, [], [], 0)
        )
    return reports


@given(st.lists(st.integers(0, 9), min_size=1, max_size=8), st.data())
def test_merged_reports_do_not_depend_on_order_or_repetition(counts: list[int], data: Any) -> None:
    reports = growing(counts)
    straight, mixed = Evidence(0), Evidence(0)
    for report in reports:
        straight.merge(0, "f", 1, report)
    for report in data.draw(st.permutations(reports + reports)):
        mixed.merge(0, "f", 1, report)
    assert straight.totals() == mixed.totals()


def test_earlier_incarnation_of_a_forwarder_is_not_counted_and_a_new_one_starts_from_zero() -> None:
    evidence = Evidence(0)
    first, second = growing([5, 5])
    assert evidence.merge(0, "f", 7, first) and evidence.merge(1, "f", 7, second)
    assert evidence.forwarders["f"].converters["c"].recent.served == pytest.approx(5, rel=0.01)  # the first is no news
    assert not evidence.merge(2, "f", 6, second)
    assert evidence.merge(3, "f", 8, first) and evidence.totals()["f"]["c"] == ConverterCounters(5, 5)


# Judging


def saw(
    evidence: Evidence, now_us: int, name: str, cells: dict[str, tuple[int, int]], slower: tuple[str, ...] = ()
) -> None:
    """A forwarder's next report: by converter, how much more was served and was bad. It takes 16 to 32 ms, or 64 to
    128 at the slower ones; ten requests of the one class have come."""
    known = evidence.forwarders.get(name)
    if known is None:
        evidence.merge(now_us, name, 1, Report(1, 10, {}, {}, [], [], 0))
        known = evidence.forwarders[name]
    seen = {}
    for uid, (served, failed) in cells.items():
        old = known.converters[uid].counters if uid in known.converters else ConverterCounters()
        slow = uid in slower
        counts = [*old.latencies, *[0] * (8 - len(old.latencies))]
        counts[7 if slow else 5] += served
        seen[uid] = ConverterCounters(
            old.attempts + served + failed, old.served + served, old.failed + failed, 0, tuple(counts)
        )
    evidence.merge(now_us, name, 1, Report(known.number + 1, 10, seen, {}, [], [10 * known.number], 0))


def well(evidence: Evidence, now_us: int, but: dict[str, tuple[int, int]], names: int = 10) -> None:
    """All forwarders see all converters as well, but for these."""
    for index in range(names):
        saw(evidence, now_us, f"f{index}", dict.fromkeys(LISTED, (3, 0)) | but)


def plan_at(planner: Planner, evidence: Evidence, now_us: int) -> Plan:
    plan = planner.plan(now_us, evidence, Term(1, "a"), 1)
    assert plan is not None
    return plan


def test_planner_with_too_few_reports_sends_no_plan() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    assert planner.plan(5 * S, evidence, Term(1, "a"), 1) is None
    well(evidence, 0, {}, names=4)
    assert planner.plan(2 * S, evidence, Term(1, "a"), 1) is None  # fewer than half of the fleet
    well(evidence, S, {}, names=6)
    assert planner.plan(S - 1, evidence, Term(1, "a"), 1) is None  # for too short a time
    assert plan_at(planner, evidence, S).entries == {}


def test_failing_converter_is_ejected_probed_and_restored_in_steps() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    well(evidence, 2 * S, {"c3": (0, 2)})
    [(uid, entry)] = plan_at(planner, evidence, 2 * S).entries.items()
    assert uid == "c3" and entry.ejected and entry.trial_share == 0.2 and "seen by 10 of 10" in entry.reason
    at_us, found = 2 * S, []
    for _ in range(40):
        at_us += S // 2
        saw(evidence, at_us, "f0", {"c3": (2, 0)})
        well(evidence, at_us, {"c3": (0, 0)})
        entry = plan_at(planner, evidence, at_us).entries.get("c3", ConverterAdvice())
        found.append("rests" if entry.ejected else entry.weight)
    assert list(dict.fromkeys(found)) == ["rests", 0.25, 0.5, 1.0]


def test_slow_converter_gets_less_weight_by_its_median_despite_a_few_heavy_requests() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    for index in range(6):
        saw(evidence, 2 * S, f"f{index}", dict.fromkeys(LISTED, (6, 0)), ("c3",))
        saw(evidence, 2 * S, f"f{index}", {"c4": (1, 0)}, ("c4",))
    [(uid, entry)] = plan_at(planner, evidence, 2 * S).entries.items()
    assert uid == "c3" and entry.weight == 0.25 and entry.concurrency_limit == 1 and "96 ms" in entry.reason


def test_class_limit_over_all_forwarders_is_divided_evenly_and_fades() -> None:
    planner, evidence = Planner(RULES, [], [25.0]), Evidence(0)
    for at_us in (2 * S, 2 * S + 1):
        well(evidence, at_us, {}, names=5)  # 5 forwarders, 10 more arrivals each: 100 within 2 s are 50 a second
    plan = plan_at(planner, evidence, 2 * S + 1)
    assert plan.class_admission == [pytest.approx(0.5, rel=0.01)]
    follower = PlanFollower("f", RULES)
    assert follower.accept_plan(0, plan, LISTED) is None and follower.class_admission(0) == plan.class_admission
    assert 0.5 < follower.class_admission(15 * S)[0] < 1.0 and follower.class_admission(60 * S) == []
    made = balancer(4)
    admitted = sends(made, 4, PlanUpdated(class_admission=[0.5]))
    assert len(admitted) == 2


def test_forwarder_for_which_every_converter_fails_is_ignored() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    well(evidence, 2 * S, {})
    saw(evidence, 2 * S, "f0", dict.fromkeys(LISTED, (0, 50)))
    assert plan_at(planner, evidence, 2 * S).entries == {} and planner.outlier_reporters == {"f0"}


def test_few_forwarders_with_many_failures_do_not_outweigh_the_others() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    well(evidence, 2 * S, {})
    for name in ("f0", "f1", "f2"):
        saw(evidence, 2 * S, name, {"c3": (0, 5000), "c4": (0, 5000)})
    assert plan_at(planner, evidence, 2 * S).entries == {}


def test_no_converter_is_ejected_where_much_of_the_fleet_fails() -> None:
    planner, evidence = Planner(RULES, []), Evidence(0)
    well(evidence, 2 * S, {f"c{i}": (0, 3) for i in range(5)})
    assert plan_at(planner, evidence, 2 * S).entries == {} and planner.fleet_is_failing


def test_plan_from_any_evidence_is_valid_to_forwarders() -> None:
    @given(
        st.lists(
            st.dictionaries(st.sampled_from(sorted(LISTED)), st.tuples(st.integers(0, 9), st.integers(0, 9))),
            min_size=5,
            max_size=10,
        )
    )
    def check(views: list[dict[str, tuple[int, int]]]) -> None:
        planner, evidence = Planner(RULES, [0.5, 0.5]), Evidence(0)
        for index, cells in enumerate(views):
            saw(evidence, 2 * S, f"f{index}", cells)
        plan = planner.plan(2 * S, evidence, Term(1, "a"), 1)
        if plan is not None:
            [came] = FrameDecoder().feed(encode(plan))
            assert isinstance(came, Plan) and PlanFollower("f", RULES).accept_plan(0, came, LISTED) is None

    check()


# Following


@pytest.mark.parametrize(
    ("plan", "why"),
    [
        (a_plan(forwarders=4), "too few forwarders"),
        (a_plan(forwarders=0, covered=0, window_ms=0), "too few forwarders"),  # built from nothing
        (a_plan(window_ms=999), "evidence of too short a time"),
        (a_plan(covered=4), "too few converters reported"),
        (a_plan(entries=resting(5)), "too many converters ejected"),
        (a_plan(entries=dict.fromkeys(LISTED, ConverterAdvice(weight=0.0))), "too little weight"),
        (a_plan(epoch=0), "no term"),
        (a_plan(planner=""), "no term"),
    ],
)
def test_invalid_plan_is_rejected_and_the_last_valid_one_stays(plan: Plan, why: str) -> None:
    follower = PlanFollower("f", RULES)
    assert follower.accept_plan(0, a_plan(entries=resting(1)), LISTED) is None
    newer = msgspec.structs.replace(plan, term=Term(plan.term.epoch * 5, plan.term.planner))
    assert str(follower.accept_plan(1, newer, LISTED)).startswith(why if plan.term.epoch else "an older term")
    assert follower.plan is not None and list(follower.plan.entries) == ["c0"]


def test_terms_only_increase_and_so_do_numbers_within_them() -> None:
    follower = PlanFollower("f", RULES)
    order = [
        (2, "a", 5, ""),
        (2, "a", 5, "not newer"),
        (2, "a", 4, "not newer"),
        (1, "b", 9, "an older term"),
        (2, "b", 1, ""),
        (2, "a", 99, "an older term"),
        (3, "a", 1, ""),
    ]
    for epoch, planner, number, expected in order:
        assert follower.accept_plan(0, a_plan(epoch, number, planner=planner), LISTED) == (expected or None)


@given(
    st.lists(st.tuples(st.integers(0, 3), st.sampled_from("ab"), st.integers(0, 4), st.integers(0, 10)), max_size=30)
)
def test_applied_plans_only_increase_whatever_plans_arrive(offers: list[tuple[int, str, int, int]]) -> None:
    follower, followed = PlanFollower("f", RULES), []
    for epoch, planner, number, forwarders in offers:
        if not follower.accept_plan(0, a_plan(epoch, number, forwarders, planner), LISTED):
            followed.append((epoch, planner, number))
            assert forwarders >= 5
    assert all(one < other for one, other in itertools.pairwise(followed))


def test_plan_fades_out_and_forwarders_end_an_ejection_one_after_another() -> None:
    followers = [PlanFollower(f"f{i}", AcceptanceRules(fleet=1)) for i in range(200)]
    plan = a_plan(
        entries={
            "c1": ConverterAdvice(ejected=True, trial_share=0.0),
            "c2": ConverterAdvice(weight=0.5, concurrency_limit=2),
        }
    )
    idents = {uid: int(uid[1:]) for uid in LISTED}
    left, weights = [], []
    for follower in followers:
        assert follower.accept_plan(0, plan, LISTED) is None
    for second in range(0, 45, 2):
        advice = [{one.upstream: one for one in f.advice(second * S, idents)} for f in followers]
        left.append(sum(not one.get(1, Advice(1)).ejected for one in advice))
        weights.append(sum(one.get(2, Advice(2)).weight for one in advice) / 200)
    assert left[0] == left[1] == 0 and left[-1] == 200
    assert max(b - a for a, b in itertools.pairwise(left)) < 40  # no step: never a fifth at once
    assert weights == sorted(weights) and weights[0] == 0.5 and weights[-1] == 1.0


def test_few_forwarders_at_a_time_probe_an_ejected_converter_and_each_has_its_turn() -> None:
    tried: set[str] = set()
    for number in range(1, 400):
        plan = a_plan(number=number, entries={"c1": ConverterAdvice(ejected=True, trial_share=0.1)})
        names = {f"f{i}" for i in range(50) if PlanFollower(f"f{i}", RULES).is_on_trial("c1", plan, 0.1)}
        assert len(names) < 20
        tried |= names
    assert len(tried) == 50


def test_plan_adds_no_converter_that_discovery_has_not_listed() -> None:
    follower = PlanFollower("f", RULES)
    assert (
        follower.accept_plan(
            0, a_plan(entries={"c99": ConverterAdvice(weight=0.5), "c1": ConverterAdvice(weight=0.5)}), LISTED
        )
        is None
    )
    assert [one.upstream for one in follower.advice(0, {"c1": 4})] == [4]


# The module


def balancer(count: int) -> Balancer:
    settings = Settings(classes=[RequestClass("read", latency_objective_us=S, deadline_us=10 * S)], max_attempts=2)
    made = Balancer(settings, seed=3, now_us=1)
    made.handle(1, UpstreamsUpdated(ListKind.FULL, [Upstream(i) for i in range(count)]))
    return made


def sends(made: Balancer, count: int, before: Event) -> list[int]:
    made.handle(2, before)
    actions = [a for i in range(count) for a in made.handle(3 + i, RequestArrived(i, due_us=10 * S))]
    return [action.upstream for action in actions if isinstance(action, Send)]


def test_upstreams_ejected_by_a_plan_get_no_request_unless_it_ejects_too_many() -> None:
    assert set(sends(balancer(4), 3, PlanUpdated([Advice(0, ejected=True)]))) == {1, 2, 3}
    assert set(sends(balancer(4), 4, PlanUpdated([Advice(i, ejected=True) for i in range(3)]))) == {0, 1, 2, 3}
    assert sends(balancer(2), 2, PlanUpdated([Advice(9)])) != []


def test_advice_ends_with_the_next_plan_and_restores_no_removed_upstream() -> None:
    made = balancer(2)
    made.handle(2, PlanUpdated([Advice(0, ejected=True)]))
    made.handle(3, UpstreamsUpdated(ListKind.FULL, [Upstream(1)]))
    made.handle(4, PlanUpdated([Advice(0, weight=1.0)]))
    assert set(sends(made, 1, PlanUpdated([Advice(0)]))) == {1}


# Leading


def witnesses(term: Term, taken_us: int, count: int = 10) -> dict[str, ForwarderStats]:
    return {f"f{i}": ForwarderStats(1, 0, taken_us, 1, term=term, plan_accepted_us=taken_us) for i in range(count)}


def test_forwarder_without_a_plan_is_no_witness_of_a_leader() -> None:
    first = Leadership("a", 0, 0)
    assert first.tick(LEADER_TIMEOUT_US, witnesses(Term(), LEADER_TIMEOUT_US), has_enough_evidence=True)


def test_first_planner_takes_over_and_the_second_waits_for_its_turn() -> None:
    first, second = Leadership("a", 0, 0), Leadership("b", 1, 0)
    assert not first.tick(LEADER_TIMEOUT_US, {}, has_enough_evidence=False)  # it has nothing to say
    assert first.tick(LEADER_TIMEOUT_US, {}, has_enough_evidence=True) and first.term == Term(1, "a")
    assert not second.tick(LEADER_TIMEOUT_US, {}, has_enough_evidence=True)
    second.on_heartbeat(LEADER_TIMEOUT_US, Heartbeat(first.highest_term, True, 10))
    assert not second.tick(2 * LEADER_TIMEOUT_US, {}, has_enough_evidence=True)
    assert second.tick(3 * LEADER_TIMEOUT_US, {}, has_enough_evidence=True) and second.term == Term(2, "b")


def test_partition_between_planners_changes_nothing_while_forwarders_reach_the_leader() -> None:
    second = Leadership("b", 1, 0)
    for at_us in range(0, 60 * S, S // 4):
        assert not second.tick(at_us, witnesses(Term(1, "a"), at_us), has_enough_evidence=True)
    assert not second.tick(
        60 * S - S // 4 + 2 * LEADER_TIMEOUT_US - 1, witnesses(Term(1, "a"), 59 * S), has_enough_evidence=True
    )
    assert second.tick(60 * S + 4 * LEADER_TIMEOUT_US, witnesses(Term(1, "a"), 59 * S), has_enough_evidence=True)


def test_leader_with_the_lower_term_steps_down_when_a_forwarder_reports_the_higher() -> None:
    lesser = Leadership("a", 0, 0)
    assert lesser.tick(LEADER_TIMEOUT_US, {}, has_enough_evidence=True)
    assert not lesser.tick(LEADER_TIMEOUT_US + 1, witnesses(Term(1, "b"), LEADER_TIMEOUT_US), has_enough_evidence=True)
    assert lesser.highest_term == Term(1, "b")


# Snapshots


def test_snapshot_is_restored_completely_or_not_at_all(tmp_path: Path) -> None:
    kept = snapshot.take(
        5 * S,
        1000,
        Term(4, "a"),
        {
            "c1": ConverterStatus(ConverterState.EJECTED, 3 * S),
            "c2": ConverterStatus(ConverterState.RECOVERING, 4 * S, 1),
        },
    )
    snapshot.save(tmp_path, kept)
    got = snapshot.load(tmp_path, 2000, 60_000)
    assert got == kept and got is not None
    assert got.restore(100 * S) == {
        "c1": ConverterStatus(ConverterState.EJECTED, 98 * S),
        "c2": ConverterStatus(ConverterState.RECOVERING, 99 * S, 1),
    }
    whole = (tmp_path / snapshot.FILE_NAME).read_bytes()
    for cut in range(len(whole)):
        with pytest.raises(snapshot.SnapshotError):
            snapshot.decode(whole[:cut], 2000, 60_000)
    with pytest.raises(snapshot.SnapshotError, match="altered"):
        snapshot.decode(whole[:-1] + bytes([whole[-1] ^ 1]), 2000, 60_000)
    for unix_ms in (62_000, 0):  # too old, or from a time to come
        with pytest.raises(snapshot.SnapshotError, match="old"):
            snapshot.load(tmp_path, unix_ms, 60_000)
    assert snapshot.load(tmp_path / "none", 0, 0) is None


def test_planners_keep_to_the_rules_of_the_forwarders() -> None:
    strict = dataclasses.replace(RULES, max_ejected=0.0)
    planner, evidence = Planner(strict, []), Evidence(0)
    well(evidence, 2 * S, {"c3": (0, 2)})
    assert plan_at(planner, evidence, 2 * S).entries == {}
