"""A forwarder's side of a plan: which plans are sound, which one counts, and how far it is still trusted.

Pure. Rules of soundness, each with its reason, are in docs/design/planners.md. No clock but the forwarder's own counts:
a plan's age runs from its arrival here, so clocks of two machines are never compared.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from ryepier.balancer.interface import Advice
from ryepier.plan.messages import Plan, Term

LEAST_WEIGHT = 1 / 64  # no converter that does not rest is kept from all traffic by its weight
FADE_SPREAD = 0.25  # each forwarder's fade is longer or shorter by up to so much: none starts anew with the others
TRIAL_PLANS = 4  # plans for which the same forwarders may try, so that an answer has time to come
MOST_SLOTS = 8  # what a cap fades to: as many as the module opens at most


@dataclass(frozen=True, slots=True)
class Rules:
    """What a plan must rest on to be followed; set by the operators."""

    fleet: int  # forwarders there are, about
    least_reporters: float = 0.5  # share of the fleet that must have reported
    least_window_ms: int = 1000  # over which evidence must have been gathered
    least_covered: float = 0.5  # share of the converters known here that the planner must have seen
    most_resting: float = 0.4  # share of the converters known here that a plan may rest
    least_weight: float = 0.4  # of the sum of weights known here must be left


def spread(*parts: str) -> float:
    """A number from 0 to 1 that is always the same for the same words and differs for others."""
    return zlib.crc32("\0".join(parts).encode()) / 2**32


class Follower:
    """One forwarder's view of the plans that come, whoever sends them."""

    def __init__(self, name: str, rules: Rules) -> None:
        self.name = name
        self.rules = rules
        self.term = Term()  # the highest seen in a sound plan
        self.plan: Plan | None = None  # the last sound one
        self.taken_us = 0
        self.refused: dict[str, int] = {}  # why, and how often
        self.fade_factor = 1.0 + FADE_SPREAD * (2.0 * spread(name, "fade") - 1.0)

    def offer(self, now_us: int, plan: Plan, listed: set[str]) -> str:
        """Take a plan, or say why not (empty: taken). `listed`: uids that discovery has as ready."""
        why = self.unsound(plan, listed)
        if why:
            self.refused[why] = self.refused.get(why, 0) + 1
            return why
        self.term, self.plan, self.taken_us = plan.term, plan, now_us
        return ""

    def unsound(self, plan: Plan, listed: set[str]) -> str:
        """The first rule that a plan breaks."""
        rules, evidence = self.rules, plan.evidence
        if plan.term < self.term:
            return "an older term"
        if self.plan is not None and plan.term == self.term and plan.number <= self.plan.number:
            return "not newer"
        if plan.term.epoch == 0 or not plan.term.planner:
            return "no term"
        if evidence.forwarders < rules.least_reporters * rules.fleet:
            return "too few forwarders reported"
        if evidence.window_ms < rules.least_window_ms:
            return "evidence of too short a time"
        if evidence.covered < rules.least_covered * len(listed):
            return "too few converters seen"
        known = [entry for uid, entry in plan.entries.items() if uid in listed]
        if sum(entry.rests for entry in known) > rules.most_resting * len(listed):
            return "too many converters at rest"
        left = len(listed) - len(known) + sum(entry.weight for entry in known if not entry.rests)
        if listed and left < rules.least_weight * len(listed):
            return "too little weight left"
        return ""

    def trust(self, now_us: int) -> float:
        """1 while the plan is valid, then evenly down to 0, over a time that differs between forwarders."""
        if self.plan is None:
            return 0.0
        over_ms = (now_us - self.taken_us) / 1000 - self.plan.valid_ms
        if over_ms <= 0:
            return 1.0
        return max(0.0, 1.0 - over_ms / max(1.0, self.plan.fade_ms * self.fade_factor))

    def age_ms(self, now_us: int) -> int:
        return (now_us - self.taken_us) // 1000 if self.plan is not None else 0

    def advice(self, now_us: int, idents: dict[str, int]) -> list[Advice]:
        """What the module is told now, for the listed converters (uid to the module's number)."""
        trust, plan = self.trust(now_us), self.plan
        if plan is None or trust == 0.0:
            return []
        found = []
        for uid, entry in plan.entries.items():
            ident = idents.get(uid)
            if ident is None:
                continue  # not told of it by discovery: a plan brings nobody in
            # each forwarder tries at its own turn, and leaves a rest for good at its own moment of the fade
            rests = entry.rests and not self.tries(uid, plan, entry.trial) and spread(self.name, uid) < trust
            weight = max(LEAST_WEIGHT, entry.weight + (1.0 - entry.weight) * (1.0 - trust))
            cap = round(entry.cap + (MOST_SLOTS - entry.cap) * (1.0 - trust)) if 0 < entry.cap < MOST_SLOTS else 0
            if entry.rests and not rests:
                cap = 1  # who tries sends one at a time
            found.append(Advice(ident, weight, cap, rests))
        return found

    def tries(self, uid: str, plan: Plan, trial: float) -> bool:
        """Whether it is this forwarder's turn to try a converter that rests; another's with the next few plans."""
        return spread(self.name, uid, str(plan.number // TRIAL_PLANS)) < trial

    def class_admit(self, now_us: int) -> list[float]:
        """A limit fades too: with planners away nobody knows the rate over all sidecars."""
        trust = self.trust(now_us)
        if self.plan is None or trust == 0.0:
            return []
        return [1.0 - (1.0 - share) * trust for share in self.plan.class_admit]

    def tenant_worth(self, now_us: int) -> list[float]:
        if self.plan is None or self.trust(now_us) < 1.0:
            return []  # an old view of the rates is worse than what is seen here
        return list(self.plan.tenant_worth)
