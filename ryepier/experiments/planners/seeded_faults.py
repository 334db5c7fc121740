"""Seeded faults of planners, and of the forwarders that follow them.

Each function patches the code of the whole process and can't be undone, so call it in a separate process.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ryepier.plan import plan_computation, snapshot
from ryepier.plan.evidence import Evidence
from ryepier.plan.forwarder import Forwarder
from ryepier.plan.leadership import Leadership
from ryepier.plan.messages import ConverterCounters, Report, Term
from ryepier.plan.plan_computation import Planner
from ryepier.plan.plan_follower import PlanFollower, PlanRejection
from ryepier.plan.reporter import Reporter

FALSE_FAILURES_PER_ATTEMPT = 1000
FALSELY_REPORTED_INTERVAL = 6  # one in this many converters is reported falsely
HIGHEST_EPOCH = 10**6


def accept_every_plan() -> None:
    """Make a forwarder accept every plan."""
    PlanFollower.rejection_reason = lambda self, plan, listed_uids: None  # type: ignore[method-assign]


def reject_every_plan() -> None:
    """Make a forwarder reject every plan."""
    PlanFollower.rejection_reason = lambda self, plan, listed_uids: PlanRejection.OLDER_TERM  # type: ignore[method-assign]


def lead_without_evidence() -> None:
    """Make a planner ignore all evidence, and lead in the highest term from its start."""
    snapshot.load = lambda folder, unix_ms, max_age_ms: None
    Evidence.merge = lambda self, now_us, name, incarnation, report: True  # type: ignore[method-assign]
    Planner.has_enough_evidence = lambda self, basis: True  # type: ignore[method-assign]
    original_post_init = Leadership.__post_init__

    def lead_at_once(self: Leadership) -> None:
        original_post_init(self)
        self.highest_term, self.is_leader = Term(HIGHEST_EPOCH, self.name), True

    Leadership.__post_init__ = lead_at_once  # type: ignore[method-assign]


def trust_every_report() -> None:
    """Make a planner trust the reports of every forwarder."""
    Planner._find_outlier_reporters = lambda self, active_forwarders: set()  # type: ignore[method-assign]
    plan_computation.MAX_COUNTED_ATTEMPTS = float(10**9)


def report_false_failures() -> None:
    """Make a forwarder report a thousand failures for each attempt at some converters."""
    original_report = Reporter.report

    def false_report(self: Reporter, *arguments: Any, **options: Any) -> Report:
        true_report = original_report(self, *arguments, **options)
        counters = {
            uid: counters_with_false_failures(uid, true_counters) for uid, true_counters in true_report.counters.items()
        }
        return msgspec.structs.replace(true_report, counters=counters)

    Reporter.report = false_report  # type: ignore[method-assign]


def recount_at_each_report() -> None:
    """Make a planner evaluate all forwarders again at each report."""
    original_merge = Evidence.merge

    def merge_and_recount(self: Evidence, now_us: int, name: str, incarnation: int, report: Report) -> bool:
        self.active_forwarders(now_us)
        return original_merge(self, now_us, name, incarnation, report)

    Evidence.merge = merge_and_recount  # type: ignore[method-assign]


def reconnect_without_jitter() -> None:
    """Make forwarders reconnect without jitter."""
    Forwarder.jitter_s = lambda self, bound_s: bound_s  # type: ignore[method-assign]


def counters_with_false_failures(uid: str, counters: ConverterCounters) -> ConverterCounters:
    """Return the counters to report for a converter: one in `FALSELY_REPORTED_INTERVAL` gets false failures."""
    index = int(uid.rpartition("-")[2], 16)
    if index % FALSELY_REPORTED_INTERVAL:
        return counters
    false_failures = FALSE_FAILURES_PER_ATTEMPT * counters.attempts
    return msgspec.structs.replace(counters, failed=counters.failed + false_failures)


PLANNER_FAULTS = frozenset(("amnesiac", "credulous", "recount"))  # faults of planners; all others affect sidecars
SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "trust-any": accept_every_plan,
    "trust-none": reject_every_plan,
    "amnesiac": lead_without_evidence,
    "credulous": trust_every_report,
    "liar": report_false_failures,
    "recount": recount_at_each_report,
    "herd": reconnect_without_jitter,
}
