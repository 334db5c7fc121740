"""The recovering role: a replica that has restarted with an empty disk, and must not vote before it has caught up."""

from __future__ import annotations

from ryepier.maintenance.replication.messages import NO_MEMBER, RecoveryRequest, RecoveryResponse
from ryepier.maintenance.replication.replica_state import ReplicaState
from ryepier.maintenance.replication.roles import Event, Role


class Recovery:
    """Collects the other members' terms, then waits for an entry of a leader elected without this replica's vote."""

    def __init__(self, state: ReplicaState) -> None:
        """Draw a nonce, so that responses to an earlier process of this replica are not counted."""
        self.state = state
        self.nonce = state.random.getrandbits(63)
        self.member_terms: dict[str, int] = {}

    def tick(self) -> None:
        """Send a recovery request to all other members at each heartbeat interval."""
        if self.state.elapsed_ticks % self.state.settings.heartbeat_ticks == 0:
            for peer in self.state.settings.peers:
                self.state.send(peer, RecoveryRequest(self.nonce))

    def on_response(self, sender: str, response: RecoveryResponse) -> None:
        """Record a member's term; once all other members have responded, become a learner in a higher term.

        The new term is higher than all received terms, and therefore than every term in which this replica may have
        voted or responded. Responses from a majority are not enough: this replica may have voted, before the loss of
        its disk, for the member that has not responded.
        """
        state = self.state
        if state.role is not Role.RECOVERING or response.nonce != self.nonce:
            return
        self.member_terms[sender] = response.term
        if len(self.member_terms) < len(state.settings.peers):
            return
        highest_term = max(self.member_terms.values())
        state.change_role(Event.ALL_MEMBERS_ANSWERED)
        state.set_hard_state(highest_term + 1, NO_MEMBER, highest_term + 1)
        state.restart_election_timer()

    def become_voter_if_caught_up(self) -> None:
        """Become a follower, which may vote, if the last entry is from a leader elected without this replica's vote.

        Such an entry shows that the log before it is complete.
        """
        state = self.state
        recovered_at_term = state.hard_state.recovered_at_term
        if recovered_at_term > 0 and state.term_at(state.last_index) >= recovered_at_term:
            state.set_hard_state(state.term, state.leader, 0)
            state.change_role(Event.CAUGHT_UP)
