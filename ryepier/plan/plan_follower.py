"""Decides which plans a forwarder accepts, and fades out the advice of the last accepted plan as it ages.

The acceptance rules and their reasons are in docs/design/planners.md. The age of a plan is counted from its arrival at
the forwarder, so clocks of different hosts are never compared. No I/O.
"""

from __future__ import annotations

import enum
import zlib
from collections import Counter
from dataclasses import dataclass

from ryepier.balancer.interface import Advice
from ryepier.plan.messages import Plan, Term

# least weight of a converter that is not ejected, so that it still gets a few requests, which show whether it recovers
MIN_WEIGHT = 1 / 64
FADE_SPREAD = 0.25  # fade times vary by up to this share, so that not all forwarders drop a plan at the same moment
PLANS_PER_TRIAL = 4  # consecutive plans for which the trial forwarders stay the same, so that a response can arrive
MAX_CONCURRENCY = 8  # a fading concurrency limit rises to this value, the decision module's own limit


@dataclass(frozen=True, slots=True)
class AcceptanceRules:
    """Limits that a plan must satisfy to be accepted; set by the operators."""

    fleet_size: int  # approximate number of forwarders
    min_reporters: float = 0.5  # share of the fleet that must have reported
    min_window_ms: int = 1000  # time over which reports must have been collected
    min_covered: float = 0.5  # share of the listed converters on which reports must exist
    max_ejected: float = 0.4  # share of the listed converters that a plan may eject
    min_weight: float = 0.4  # share of the total weight of the listed converters that must remain


class PlanRejection(enum.StrEnum):
    """The rule that a rejected plan violates."""

    OLDER_TERM = "an older term"
    NOT_NEWER = "not newer"
    NO_TERM = "no term"
    FEW_REPORTERS = "too few forwarders reported"
    SHORT_WINDOW = "evidence of too short a time"
    FEW_CONVERTERS = "too few converters reported"
    MANY_EJECTIONS = "too many converters ejected"
    LITTLE_WEIGHT = "too little weight remains"


def stable_fraction(*parts: str) -> float:
    """Return a pseudorandom number from 0 to 1: a hash of the arguments, which is the same in every process."""
    return zlib.crc32("\0".join(parts).encode()) / 2**32


class PlanFollower:
    """Checks the plans that one forwarder receives from any planner, and turns the last accepted one into advice."""

    def __init__(self, name: str, rules: AcceptanceRules) -> None:
        """Start without a plan. `name` is the forwarder's name."""
        self.name = name
        self.rules = rules
        self.term = Term()  # the highest term of an accepted plan
        self.plan: Plan | None = None  # the last accepted plan
        self.accepted_at_us = 0
        self.rejections: Counter[PlanRejection] = Counter()  # number of rejected plans by reason
        self.fade_factor = 1.0 + FADE_SPREAD * (2.0 * stable_fraction(name, "fade") - 1.0)

    def accept_plan(self, now_us: int, plan: Plan, listed_uids: set[str]) -> PlanRejection | None:
        """Accept a plan, or return why it is rejected. `listed` are the uids of the ready converters."""
        rejection = self.rejection_reason(plan, listed_uids)
        if rejection is not None:
            self.rejections[rejection] += 1
            return rejection
        self.term, self.plan, self.accepted_at_us = plan.term, plan, now_us
        return None

    def rejection_reason(self, plan: Plan, listed_uids: set[str]) -> PlanRejection | None:
        """Return the first rule that a plan violates, or None if it passes."""
        is_newer = self.plan is None or plan.term != self.term or plan.number > self.plan.number
        if plan.term < self.term:
            return PlanRejection.OLDER_TERM
        if not is_newer:
            return PlanRejection.NOT_NEWER
        if plan.term.epoch == 0 or not plan.term.planner:
            return PlanRejection.NO_TERM
        return self._check_evidence(plan, len(listed_uids)) or self._check_advice(plan, listed_uids)

    def _check_evidence(self, plan: Plan, listed_count: int) -> PlanRejection | None:
        rules, evidence = self.rules, plan.evidence
        if evidence.forwarders < rules.min_reporters * rules.fleet_size:
            return PlanRejection.FEW_REPORTERS
        if evidence.window_ms < rules.min_window_ms:
            return PlanRejection.SHORT_WINDOW
        if evidence.covered < rules.min_covered * listed_count:
            return PlanRejection.FEW_CONVERTERS
        return None

    def _check_advice(self, plan: Plan, listed_uids: set[str]) -> PlanRejection | None:
        listed_entries = [entry for uid, entry in plan.entries.items() if uid in listed_uids]
        if sum(entry.ejected for entry in listed_entries) > self.rules.max_ejected * len(listed_uids):
            return PlanRejection.MANY_EJECTIONS
        remaining_weight = (
            len(listed_uids) - len(listed_entries) + sum(entry.weight for entry in listed_entries if not entry.ejected)
        )
        if listed_uids and remaining_weight < self.rules.min_weight * len(listed_uids):
            return PlanRejection.LITTLE_WEIGHT
        return None

    def confidence(self, now_us: int) -> float:
        """Return 1 while the plan is valid, then a value that falls linearly to 0 over the forwarder's fade time."""
        if self.plan is None:
            return 0.0
        ms_past_validity = (now_us - self.accepted_at_us) / 1000 - self.plan.valid_ms
        if ms_past_validity <= 0:
            return 1.0
        return max(0.0, 1.0 - ms_past_validity / max(1.0, self.plan.fade_ms * self.fade_factor))

    def age_ms(self, now_us: int) -> int:
        """Return the age of the current plan in milliseconds; 0 without a plan."""
        return (now_us - self.accepted_at_us) // 1000 if self.plan is not None else 0

    def advice(self, now_us: int, upstream_ids: dict[str, int]) -> list[Advice]:
        """Return the current advice on the listed converters; `upstream_ids` maps their uids to upstream ids."""
        confidence, plan = self.confidence(now_us), self.plan
        if plan is None or confidence == 0.0:
            return []
        advice = []
        for uid, entry in plan.entries.items():
            upstream_id = upstream_ids.get(uid)
            if upstream_id is None:
                continue  # not listed by discovery; a plan can't add converters
            # Only some forwarders at a time send trial requests to an ejected converter. While a plan fades out, each
            # forwarder ends the ejection at a different time, so that the converter does not get the traffic of all
            # forwarders at once.
            ejected = (
                entry.ejected
                and not self.is_selected_for_trial(uid, plan, entry.trial_share)
                and stable_fraction(self.name, uid) < confidence
            )
            weight = max(MIN_WEIGHT, entry.weight + (1.0 - entry.weight) * (1.0 - confidence))
            concurrency_limit = (
                round(entry.concurrency_limit + (MAX_CONCURRENCY - entry.concurrency_limit) * (1.0 - confidence))
                if 0 < entry.concurrency_limit < MAX_CONCURRENCY
                else 0
            )
            if entry.ejected and not ejected:
                concurrency_limit = 1  # trial requests are sent one at a time
            advice.append(Advice(upstream_id, weight, concurrency_limit, ejected))
        return advice

    def is_selected_for_trial(self, uid: str, plan: Plan, trial_share: float) -> bool:
        """Return whether this forwarder may send trial requests to an ejected converter; the selection changes every
        PLANS_PER_TRIAL plans."""
        return stable_fraction(self.name, uid, str(plan.number // PLANS_PER_TRIAL)) < trial_share

    def class_admission(self, now_us: int) -> list[float]:
        """Return by class the share of arrivals to admit. The restriction fades out with the plan, because the
        current rate over all forwarders is not known then."""
        confidence = self.confidence(now_us)
        if self.plan is None or confidence == 0.0:
            return []
        return [1.0 - (1.0 - share) * confidence for share in self.plan.class_admission]

    def tenant_shares_within_quota(self, now_us: int) -> list[float]:
        """Return by tenant the share of its requests that is within its quota; empty once the plan starts to fade."""
        if self.plan is None or self.confidence(now_us) < 1.0:
            return []  # outdated rates of the fleet are worse than the rates that this sidecar observes itself
        return list(self.plan.tenant_shares_within_quota)
