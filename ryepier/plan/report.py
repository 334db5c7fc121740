"""A forwarder's own notes on its converters, and the reports made of them.

Pure: what is sent and how it ends comes in with its time; a report comes out when asked for. Memory is bounded by the
converters that the list holds: those that leave it are forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.balancer.interface import Outcome
from ryepier.plan.messages import TIME_BUCKETS, Report, Seen, Term, bucket_of

BAD = frozenset((Outcome.ERROR, Outcome.RESET, Outcome.MALFORMED_RESPONSE, Outcome.TIMEOUT, Outcome.CONNECT_FAILED))


@dataclass(slots=True)
class _Notes:
    sends: int = 0
    served: int = 0
    bad: int = 0
    full: int = 0
    times: list[int] = field(default_factory=lambda: [0] * TIME_BUCKETS)
    changed: bool = False
    out: dict[int, tuple[int, bool]] = field(default_factory=dict)  # by token: (silent from when on, counted as bad)

    def seen(self) -> Seen:
        used = max((i + 1 for i, count in enumerate(self.times) if count), default=0)
        return Seen(self.sends, self.served, self.bad, self.full, tuple(self.times[:used]))


class Reporter:
    """Counts since the process began; `silent_us` by class: an attempt without an answer for so long is bad."""

    def __init__(self, silent_us: list[int], tenants: int) -> None:
        self.class_arrivals = [0] * len(silent_us)
        self.silent_us = silent_us
        self.notes: dict[str, _Notes] = {}
        self.arrivals = [0] * tenants
        self.refused = 0
        self.number = 0

    def arrived(self, tenant: int, class_index: int) -> None:
        self.class_arrivals[class_index] += 1
        if tenant < len(self.arrivals):
            self.arrivals[tenant] += 1

    def was_refused(self) -> None:
        self.refused += 1

    def sent(self, now_us: int, uid: str, token: int, class_index: int) -> None:
        """An attempt goes out; `token` names it until its end."""
        notes = self.notes.setdefault(uid, _Notes())
        notes.sends += 1
        notes.changed = True
        notes.out[token] = (now_us + self.silent_us[class_index], False)

    def ended(self, uid: str, token: int, outcome: Outcome, elapsed_us: int) -> None:
        """It is over. One that had been counted as silent and is served after all stays counted: it was slow."""
        notes = self.notes.get(uid)
        if notes is None or token not in notes.out:
            return
        _, counted = notes.out.pop(token)
        notes.changed = True
        if outcome is Outcome.OK:
            notes.served += 1
            notes.times[bucket_of(elapsed_us)] += 1
        elif outcome is Outcome.REJECTED:
            notes.full += 1
        elif outcome in BAD and not counted:
            notes.bad += 1

    def keep(self, uids: set[str]) -> None:
        """The list holds only these: the others are forgotten once nothing is out to them."""
        self.notes = {uid: notes for uid, notes in self.notes.items() if uid in uids or notes.out}

    def report(self, now_us: int, listed: int, term: Term, plan_age_ms: int, whole: bool = False) -> Report:
        """What changed since the last one; `whole`: all there is, for a planner that has just been connected."""
        for notes in self.notes.values():
            for token, (silent_us, counted) in notes.out.items():
                if not counted and now_us >= silent_us:
                    notes.out[token] = (silent_us, True)
                    notes.bad += 1
                    notes.changed = True
        self.number += 1
        seen = {uid: notes.seen() for uid, notes in self.notes.items() if whole or notes.changed}
        for notes in self.notes.values():
            notes.changed = False
        outstanding = {uid: len(notes.out) for uid, notes in self.notes.items() if notes.out}
        return Report(
            self.number,
            listed,
            seen,
            outstanding,
            list(self.arrivals),
            list(self.class_arrivals),
            self.refused,
            term,
            plan_age_ms,
        )
