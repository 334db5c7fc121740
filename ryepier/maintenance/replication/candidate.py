"""The candidate role: starts elections and counts votes."""

from __future__ import annotations

from ryepier.maintenance.replication.leader import Leader
from ryepier.maintenance.replication.messages import NO_MEMBER, RequestVote, VoteResponse
from ryepier.maintenance.replication.replica_state import ReplicaState
from ryepier.maintenance.replication.roles import Event, Role


class Candidate:
    """Starts an election after an election timeout, and counts the votes that the replica receives."""

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        """Start without votes; `leader` starts its term on the same `state` when an election is won."""
        self.state = state
        self.leader = leader
        self.received_votes: set[str] = set()

    def on_election_timeout(self) -> None:
        """Start a new term and request votes from all peers; a learner only restarts its election timer."""
        state = self.state
        state.restart_election_timer()
        state.leader = NO_MEMBER
        if state.role is Role.LEARNER:
            return
        state.change_role(Event.ELECTION_TIMEOUT)
        state.set_hard_state(state.term + 1, state.settings.name, state.hard_state.recovered_at_term)
        self.received_votes = {state.settings.name}
        request = RequestVote(state.term, state.last_index, state.term_at(state.last_index))
        for peer in state.settings.peers:
            state.send(peer, request)
        self._become_leader_with_majority()

    def on_vote_response(self, sender: str, response: VoteResponse) -> None:
        """Count a vote that was granted in the current term. Ignores responses if the replica is not a candidate."""
        if self.state.role is Role.CANDIDATE and response.granted:
            self.received_votes.add(sender)
            self._become_leader_with_majority()

    def _become_leader_with_majority(self) -> None:
        """Become the leader if a majority has voted for this replica."""
        if len(self.received_votes) >= self.state.settings.majority:
            self.state.change_role(Event.ELECTION_WON)
            self.leader.start_term()
