"""Which planner leads: terms without an outside store, with the forwarders as witnesses.

Pure. A term is (epoch, planner), ordered; a planner takes a new one only with an epoch above every one that it has
heard of. Forwarders take plans of ever greater terms only, so two leaders at a time can't make one swing to and fro,
and the lesser one hears of the greater from the forwarders' own reports and steps down. The proof sketch is in
docs/design/planners.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.plan.merge import Forwarder
from ryepier.plan.messages import Beat, Term

SUSPECT_US = 1_000_000  # no sign of the leader for so long, four beats: it is taken for gone
WITNESSES = 0.5  # share of the forwarders heard that must still have its plans for it to be taken for alive


@dataclass(slots=True)
class Leadership:
    """One planner's view of who leads."""

    name: str
    rank: int  # among all planners by name: each waits its turn, so that two seldom take over together
    now_us: int
    highest: Term = Term()  # of which it has heard
    leads: bool = False
    sign_us: int = field(init=False)  # the last sign of a leader

    def __post_init__(self) -> None:
        self.sign_us = self.now_us

    @property
    def term(self) -> Term | None:
        """The term in which it leads."""
        return self.highest if self.leads else None

    def heard_term(self, term: Term) -> None:
        """Somebody knows this term; a leader of a lesser one steps down."""
        if term > self.highest:
            self.highest = term
            self.leads = False

    def beat(self, now_us: int, beat: Beat) -> None:
        """A peer's sign of life."""
        self.heard_term(beat.term)
        if beat.leads and beat.term == self.highest:
            self.sign_us = max(self.sign_us, now_us)

    def tick(self, now_us: int, heard: dict[str, Forwarder], sound: bool) -> bool:
        """Take over where no leader is left and there is something to say; whether it leads now."""
        for known in heard.values():
            self.heard_term(known.term)
        if self.leads:
            return True
        fresh = sum(
            known.term == self.highest and now_us - known.plan_taken_us < SUSPECT_US for known in heard.values()
        )
        # hazard: a cut between planners is not the end of the leader, as long as forwarders still hear it
        another = self.highest.epoch > 0 and self.highest.planner != self.name
        if another and heard and fresh >= WITNESSES * len(heard):
            self.sign_us = max(self.sign_us, now_us)
        if sound and now_us >= self.sign_us + SUSPECT_US * (1 + self.rank):
            self.highest = Term(self.highest.epoch + 1, self.name)
            self.leads = True
        return self.leads
