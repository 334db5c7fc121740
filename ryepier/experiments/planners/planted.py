"""Mistakes of planners, and of the forwarders that follow them.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ryepier.plan import compute, snapshot
from ryepier.plan.compute import Planner
from ryepier.plan.follow import Follower
from ryepier.plan.forwarder import Forwarder
from ryepier.plan.lead import Leadership
from ryepier.plan.merge import Evidence
from ryepier.plan.messages import Report, Term
from ryepier.plan.report import Reporter

LIES = 1000


def trust_any() -> None:
    """A forwarder follows whatever plan comes."""
    Follower.unsound = lambda self, plan, listed: ""  # type: ignore[method-assign]


def trust_none() -> None:
    """A forwarder refuses every plan."""
    Follower.unsound = lambda self, plan, listed: "planted"  # type: ignore[method-assign]


def amnesiac() -> None:
    """A planner remembers nothing and, sure of itself all the same, publishes at once and in the highest term."""
    snapshot.load = lambda folder, unix_ms, oldest_ms: None
    Evidence.merge = lambda self, now_us, name, boot, report: True  # type: ignore[method-assign]
    Planner.sound = lambda self, basis: True  # type: ignore[method-assign]
    start = Leadership.__post_init__

    def lead_at_once(self: Leadership) -> None:
        start(self)
        self.highest, self.leads = Term(10**6, self.name), True

    Leadership.__post_init__ = lead_at_once  # type: ignore[method-assign]


def credulous() -> None:
    """A planner believes every forwarder."""
    Planner._find_liars = lambda self, heard: set()  # type: ignore[method-assign]
    compute.MOST_SAY = float(10**9)


def liar() -> None:
    """A forwarder tells planners that each request to some converters went badly a thousand times."""
    report = Reporter.report

    def tall_tale(self: Reporter, *arguments: Any, **more: Any) -> Report:
        told = report(self, *arguments, **more)
        lies = {
            uid: msgspec.structs.replace(seen, bad=seen.bad + LIES * seen.sends) if hash_of(uid) % 6 == 0 else seen
            for uid, seen in told.seen.items()
        }
        return msgspec.structs.replace(told, seen=lies)

    Reporter.report = tall_tale  # type: ignore[method-assign]


def recount() -> None:
    """A planner goes through all forwarders at each report."""
    merge = Evidence.merge

    def merge_and_recount(self: Evidence, now_us: int, name: str, boot: int, report: Report) -> bool:
        self.heard(now_us)
        return merge(self, now_us, name, boot, report)

    Evidence.merge = merge_and_recount  # type: ignore[method-assign]


def herd() -> None:
    """Forwarders wait for fixed times before they come back."""
    Forwarder.draw_s = lambda self, bound_s: bound_s  # type: ignore[method-assign]


def hash_of(uid: str) -> int:
    """The same for the same converter in all processes."""
    return int(uid.rpartition("-")[2], 16)


OF_PLANNERS = frozenset(("amnesiac", "credulous", "recount"))  # all others are a sidecar's
PLANTS: dict[str, Callable[[], None]] = {
    "trust-any": trust_any,
    "trust-none": trust_none,
    "amnesiac": amnesiac,
    "credulous": credulous,
    "liar": liar,
    "recount": recount,
    "herd": herd,
}
