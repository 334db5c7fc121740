"""Seeded faults of planners, and of the forwarders that follow them.

Each function installs its fault in the whole process for good, so call it in a process of its own.
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
FALSELY_REPORTED_INTERVAL = 6  # converters; one of so many
HIGHEST_EPOCH = 10**6


def accept_every_plan() -> None:
    """Let a forwarder follow every plan."""
    PlanFollower.rejection_reason = lambda self, plan, listed_uids: None  # type: ignore[method-assign]


def reject_every_plan() -> None:
    """Let a forwarder reject every plan."""
    PlanFollower.rejection_reason = lambda self, plan, listed_uids: PlanRejection.OLDER_TERM  # type: ignore[method-assign]


def lead_without_evidence() -> None:
    """Let a planner forget all evidence, and publish at once in the highest term all the same."""
    snapshot.load = lambda folder, unix_ms, max_age_ms: None
    Evidence.merge = lambda self, now_us, name, incarnation, report: True  # type: ignore[method-assign]
    Planner.has_enough_evidence = lambda self, basis: True  # type: ignore[method-assign]
    start = Leadership.__post_init__

    def lead_at_once(self: Leadership) -> None:
        start(self)
        self.highest_term, self.is_leader = Term(HIGHEST_EPOCH, self.name), True

    Leadership.__post_init__ = lead_at_once  # type: ignore[method-assign]


def believe_every_report() -> None:
    """Let a planner believe every forwarder."""
    Planner._find_outlier_reporters = lambda self, active_forwarders: set()  # type: ignore[method-assign]
    plan_computation.MAX_COUNTED_ATTEMPTS = float(10**9)


def report_false_failures() -> None:
    """Let a forwarder report a thousand failures for each request to some converters."""
    report = Reporter.report

    def false_report(self: Reporter, *arguments: Any, **options: Any) -> Report:
        honest = report(self, *arguments, **options)
        counters = {uid: falsify(uid, counted) for uid, counted in honest.counters.items()}
        return msgspec.structs.replace(honest, counters=counters)

    Reporter.report = false_report  # type: ignore[method-assign]


def recount_at_each_report() -> None:
    """Let a planner go through all forwarders at each report."""
    merge = Evidence.merge

    def merge_and_recount(self: Evidence, now_us: int, name: str, incarnation: int, report: Report) -> bool:
        self.active_forwarders(now_us)
        return merge(self, now_us, name, incarnation, report)

    Evidence.merge = merge_and_recount  # type: ignore[method-assign]


def return_at_fixed_times() -> None:
    """Let forwarders reconnect without jitter."""
    Forwarder.jitter_s = lambda self, bound_s: bound_s  # type: ignore[method-assign]


def falsify(uid: str, counters: ConverterCounters) -> ConverterCounters:
    """Return a converter's counters with false failures, if it is one of those that are reported falsely."""
    index = int(uid.rpartition("-")[2], 16)
    if index % FALSELY_REPORTED_INTERVAL:
        return counters
    false_failures = FALSE_FAILURES_PER_ATTEMPT * counters.attempts
    return msgspec.structs.replace(counters, failed=counters.failed + false_failures)


OF_PLANNERS = frozenset(("amnesiac", "credulous", "recount"))  # all others are faults of a sidecar
SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "trust-any": accept_every_plan,
    "trust-none": reject_every_plan,
    "amnesiac": lead_without_evidence,
    "credulous": believe_every_report,
    "liar": report_false_failures,
    "recount": recount_at_each_report,
    "herd": return_at_fixed_times,
}
