"""Reports of forwarders, and how a planner merges them into its evidence."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryepier.balancer.interface import (
    Outcome,
)
from ryepier.plan.evidence import Evidence
from ryepier.plan.messages import (
    ConverterCounters,
    Report,
    Term,
)
from ryepier.plan.reporter import Reporter


def test_report_has_changed_counters_and_counts_unanswered_attempts_as_failed() -> None:
    reporter = Reporter([100], 1)
    reporter.on_attempt_started(0, "a", 1, 0)
    reporter.on_attempt_started(0, "b", 2, 0)
    reporter.on_attempt_ended("b", 2, Outcome.OK, 2_500)
    first_report = reporter.report(99, 2, Term(), 0)
    assert first_report.counters == {
        "a": ConverterCounters(1),
        "b": ConverterCounters(1, 1, 0, 0, (0, 0, 1)),
    } and first_report.outstanding == {"a": 1}
    assert reporter.report(100, 2, Term(), 0).counters == {"a": ConverterCounters(1, failed=1)}
    reporter.on_attempt_ended("a", 1, Outcome.TIMEOUT, 900)  # already counted as unanswered
    assert reporter.report(200, 2, Term(), 0).counters == {"a": ConverterCounters(1, failed=1)}
    reporter.retain({"b"})
    assert reporter.report(300, 1, Term(), 0, complete=True).counters == {"b": ConverterCounters(1, 1, 0, 0, (0, 0, 1))}


def growing_reports(counts: list[int]) -> list[Report]:
    total, reports = 0, []
    for number, count in enumerate(counts, 1):
        total += count
        other_counters = ConverterCounters(number, latencies=(0,) * (number % 4) + (number,))
        reports.append(
            Report(number, 10, {"c": ConverterCounters(total, total), f"d{number % 3}": other_counters}, {}, [], [], 0)
        )
    return reports


@given(st.lists(st.integers(0, 9), min_size=1, max_size=8), st.data())
def test_merged_reports_do_not_depend_on_order_or_repetition(counts: list[int], data: Any) -> None:
    reports = growing_reports(counts)
    in_order, shuffled = Evidence(0), Evidence(0)
    for report in reports:
        in_order.merge(0, "f", 1, report)
    for report in data.draw(st.permutations(reports + reports)):
        shuffled.merge(0, "f", 1, report)
    assert in_order.merged_counters() == shuffled.merged_counters()


def test_reports_of_earlier_incarnations_are_ignored_and_new_ones_start_from_zero() -> None:
    evidence = Evidence(0)
    first_report, second_report = growing_reports([5, 5])
    assert evidence.merge(0, "f", 7, first_report) and evidence.merge(1, "f", 7, second_report)
    # the counts of the first report are not recent
    assert evidence.forwarders["f"].converters["c"].recent_counts.served == pytest.approx(5, rel=0.01)
    assert not evidence.merge(2, "f", 6, second_report)
    assert evidence.merge(3, "f", 8, first_report) and evidence.merged_counters()["f"]["c"] == ConverterCounters(5, 5)
