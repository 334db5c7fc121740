"""Mistakes of planners, and of the forwarders that follow them.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ryepier.plan import plan_computation, snapshot
from ryepier.plan.evidence import Evidence
from ryepier.plan.forwarder import Forwarder
from ryepier.plan.leadership import Leadership
from ryepier.plan.messages import Report, Term
from ryepier.plan.plan_computation import Planner
from ryepier.plan.plan_follower import PlanFollower, PlanRejection
from ryepier.plan.reporter import Reporter

LIES = 1000


def trust_any() -> None:
    """A forwarder follows whatever plan comes."""
    PlanFollower.rejection_reason = lambda self, plan, listed: None  # type: ignore[method-assign]


def trust_none() -> None:
    """A forwarder refuses every plan."""
    PlanFollower.rejection_reason = lambda self, plan, listed: PlanRejection.OLDER_TERM  # type: ignore[method-assign]


def amnesiac() -> None:
    """A planner remembers nothing and, sure of itself all the same, publishes at once and in the highest term."""
    snapshot.load = lambda folder, unix_ms, max_age_ms: None
    Evidence.merge = lambda self, now_us, name, incarnation, report: True  # type: ignore[method-assign]
    Planner.has_enough_evidence = lambda self, basis: True  # type: ignore[method-assign]
    start = Leadership.__post_init__

    def lead_at_once(self: Leadership) -> None:
        start(self)
        self.highest_term, self.is_leader = Term(10**6, self.name), True

    Leadership.__post_init__ = lead_at_once  # type: ignore[method-assign]


def credulous() -> None:
    """A planner believes every forwarder."""
    Planner._find_outlier_reporters = lambda self, active: set()  # type: ignore[method-assign]
    plan_computation.MAX_REPORT_WEIGHT = float(10**9)


def liar() -> None:
    """A forwarder tells planners that each request to some converters went badly a thousand times."""
    report = Reporter.report

    def tall_tale(self: Reporter, *arguments: Any, **more: Any) -> Report:
        told = report(self, *arguments, **more)
        lies = {
            uid: msgspec.structs.replace(counters, failed=counters.failed + LIES * counters.attempts)
            if hash_of(uid) % 6 == 0
            else counters
            for uid, counters in told.counters.items()
        }
        return msgspec.structs.replace(told, counters=lies)

    Reporter.report = tall_tale  # type: ignore[method-assign]


def recount() -> None:
    """A planner goes through all forwarders at each report."""
    merge = Evidence.merge

    def merge_and_recount(self: Evidence, now_us: int, name: str, incarnation: int, report: Report) -> bool:
        self.active(now_us)
        return merge(self, now_us, name, incarnation, report)

    Evidence.merge = merge_and_recount  # type: ignore[method-assign]


def herd() -> None:
    """Forwarders wait for fixed times before they come back."""
    Forwarder.jitter_s = lambda self, bound_s: bound_s  # type: ignore[method-assign]


def hash_of(uid: str) -> int:
    """The same for the same converter in all processes."""
    return int(uid.rpartition("-")[2], 16)


OF_PLANNERS = frozenset(("amnesiac", "credulous", "recount"))  # all others are a sidecar's
SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "trust-any": trust_any,
    "trust-none": trust_none,
    "amnesiac": amnesiac,
    "credulous": credulous,
    "liar": liar,
    "recount": recount,
    "herd": herd,
}
