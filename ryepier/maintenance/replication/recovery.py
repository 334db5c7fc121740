"""The recovering role: a replica that came back with an empty disk, until it may vote again."""

from __future__ import annotations

from ryepier.maintenance.replication.messages import NO_MEMBER, RecoveryRequest, RecoveryResponse
from ryepier.maintenance.replication.replica_state import ReplicaState
from ryepier.maintenance.replication.roles import Event, Role


class Recovery:
    """Asks every other member for its term, then waits for an entry of a leader elected without this replica."""

    def __init__(self, state: ReplicaState) -> None:
        """Draw a nonce, so that answers to an earlier incarnation are not counted."""
        self.state = state
        self.nonce = state.random.getrandbits(63)
        self.member_terms: dict[str, int] = {}

    def tick(self) -> None:
        """Ask all other members again at each heartbeat interval."""
        if self.state.elapsed_ticks % self.state.settings.heartbeat_ticks == 0:
            for peer in self.state.settings.peers:
                self.state.send(peer, RecoveryRequest(self.nonce))

    def on_response(self, sender: str, response: RecoveryResponse) -> None:
        """Once all others have answered, begin above every term in which this replica may have voted or answered.

        A majority of the others is not enough: the candidate that the lost vote went to may be the one left out.
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
        """Vote again once the last entry is of a leader that was elected without this replica.

        Such an entry shows that nothing is missing from the log before it.
        """
        state = self.state
        recovered_at_term = state.hard_state.recovered_at_term
        if recovered_at_term > 0 and state.term_at(state.last_index) >= recovered_at_term:
            state.set_hard_state(state.term, state.leader, 0)
            state.change_role(Event.CAUGHT_UP)
