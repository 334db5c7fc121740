"""Leader election among planners: terms without an external store, with the forwarders as witnesses.

Pure. A term is (epoch, planner), ordered; a planner takes a new one only with an epoch above every one that it knows.
Forwarders accept plans of ever greater terms only, so two leaders at a time can't alternate, and the lesser one learns
of the greater from the forwarders' reports and steps down. The proof sketch is in docs/design/planners.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.plan.evidence import ForwarderStats
from ryepier.plan.messages import Heartbeat, Term

LEADER_TIMEOUT_US = 1_000_000  # without a heartbeat of the leader: four intervals
MIN_FOLLOWER_SHARE = 0.5  # of the active forwarders: if fewer follow its plans, the leader counts as failed


@dataclass(slots=True)
class Leadership:
    """One planner's view of the leadership."""

    name: str
    rank: int  # among all planners by name: they wait in turn, so that two seldom take over together
    started_us: int
    highest_term: Term = Term()
    is_leader: bool = False
    leader_seen_us: int = field(init=False)  # of the leader

    def __post_init__(self) -> None:
        """Count the start as a sign of a leader."""
        self.leader_seen_us = self.started_us

    @property
    def term(self) -> Term | None:
        """The term that it leads; None for a follower."""
        return self.highest_term if self.is_leader else None

    def observe_term(self, term: Term) -> None:
        """Take in a term that another process knows; a leader of a lesser one steps down."""
        if term > self.highest_term:
            self.highest_term = term
            self.is_leader = False

    def on_heartbeat(self, now_us: int, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat of a peer."""
        self.observe_term(heartbeat.term)
        if heartbeat.is_leader and heartbeat.term == self.highest_term:
            self.leader_seen_us = max(self.leader_seen_us, now_us)

    def tick(self, now_us: int, forwarders: dict[str, ForwarderStats], has_enough_evidence: bool) -> bool:
        """Take over if there is no leader and enough evidence for a plan. Returns whether it leads now."""
        for forwarder in forwarders.values():
            self.observe_term(forwarder.term)
        if self.is_leader:
            return True
        follower_count = sum(
            forwarder.term == self.highest_term and now_us - forwarder.plan_accepted_us < LEADER_TIMEOUT_US
            for forwarder in forwarders.values()
        )
        # A partition between planners does not mean that the leader has failed, while forwarders follow it.
        other_may_lead = self.highest_term.epoch > 0 and self.highest_term.planner != self.name
        if other_may_lead and forwarders and follower_count >= MIN_FOLLOWER_SHARE * len(forwarders):
            self.leader_seen_us = max(self.leader_seen_us, now_us)
        if has_enough_evidence and now_us >= self.leader_seen_us + LEADER_TIMEOUT_US * (1 + self.rank):
            self.highest_term = Term(self.highest_term.epoch + 1, self.name)
            self.is_leader = True
        return self.is_leader
