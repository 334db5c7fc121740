"""Leader election among planners, without an external store; the forwarders tell planners which leader they follow.

A term is an ordered pair (epoch, planner). A planner starts a new term only with an epoch greater than every epoch that
it knows. Forwarders never accept a plan of a lower term than the last accepted one, so plans of two concurrent leaders
can't alternate. The leader with the lower term learns of the higher one from the forwarders' reports and steps down. A
proof sketch is in docs/design/planners.md. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.plan.evidence import ForwarderStats
from ryepier.plan.messages import Heartbeat, Term

LEADER_TIMEOUT_US = 1_000_000  # four heartbeat intervals; a leader that was not seen for longer counts as failed
MIN_FOLLOWER_SHARE = 0.5  # share of the active forwarders that must follow a leader for it to count as alive


@dataclass(slots=True)
class Leadership:
    """One planner's view of which planner leads."""

    name: str
    # position in the sorted list of planner names; a planner of a higher rank waits longer before it takes over, so
    # that two planners seldom take over at the same time
    rank: int
    started_at_us: int
    highest_term: Term = Term()
    is_leader: bool = False
    leader_seen_at_us: int = field(init=False)  # time of the last evidence that a leader is alive

    def __post_init__(self) -> None:
        """Assume that a leader is alive at the start, so that a new planner waits for at least one timeout."""
        self.leader_seen_at_us = self.started_at_us

    @property
    def term(self) -> Term | None:
        """The term in which this planner leads; None if it is a follower."""
        return self.highest_term if self.is_leader else None

    def observe_term(self, term: Term) -> None:
        """Record a term that another process knows; step down if it is higher than every term known before."""
        if term > self.highest_term:
            self.highest_term = term
            self.is_leader = False

    def on_heartbeat(self, now_us: int, heartbeat: Heartbeat) -> None:
        """Record a heartbeat of a peer."""
        self.observe_term(heartbeat.term)
        if heartbeat.is_leader and heartbeat.term == self.highest_term:
            self.leader_seen_at_us = max(self.leader_seen_at_us, now_us)

    def tick(self, now_us: int, forwarders: dict[str, ForwarderStats], has_enough_evidence: bool) -> bool:
        """Start a new term if there is no leader and enough evidence for a plan. Returns whether this planner leads."""
        for forwarder in forwarders.values():
            self.observe_term(forwarder.term)
        if self.is_leader:
            return True
        follower_count = sum(
            forwarder.term == self.highest_term and now_us - forwarder.plan_accepted_at_us < LEADER_TIMEOUT_US
            for forwarder in forwarders.values()
        )
        # Missing heartbeats may be due to a partition between planners, so the leader counts as alive while forwarders
        # follow it.
        other_may_lead = self.highest_term.epoch > 0 and self.highest_term.planner != self.name
        if other_may_lead and forwarders and follower_count >= MIN_FOLLOWER_SHARE * len(forwarders):
            self.leader_seen_at_us = max(self.leader_seen_at_us, now_us)
        if has_enough_evidence and now_us >= self.leader_seen_at_us + LEADER_TIMEOUT_US * (1 + self.rank):
            self.highest_term = Term(self.highest_term.epoch + 1, self.name)
            self.is_leader = True
        return self.is_leader
