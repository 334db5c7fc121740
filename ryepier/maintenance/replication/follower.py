"""The follower role: answers vote requests and appends the leader's entries."""

from __future__ import annotations

from collections.abc import Sequence

from ryepier.maintenance.replication.errors import ProtocolError
from ryepier.maintenance.replication.messages import (
    NO_MEMBER,
    AppendEntries,
    AppendResponse,
    Entry,
    RequestVote,
    VoteResponse,
)
from ryepier.maintenance.replication.recovery import Recovery
from ryepier.maintenance.replication.replica_state import ReplicaState
from ryepier.maintenance.replication.roles import Event, Role


class Follower:
    """Handles messages from candidates and leaders, whatever the role of this replica."""

    def __init__(self, state: ReplicaState, recovery: Recovery) -> None:
        """Handle messages on the shared `state`; `recovery` is notified after entries have been appended."""
        self.state = state
        self.recovery = recovery

    def on_request_vote(self, candidate: str, request: RequestVote) -> None:
        """Answer a request for a vote.

        A replica grants at most one vote per term, and only to a candidate whose log is at least as up to date as the
        replica's own log. A learner does not answer.
        """
        state = self.state
        if state.role is Role.LEARNER:
            return
        is_granted = request.term == state.term and self.may_vote_for(candidate) and self._is_up_to_date(request)
        if is_granted:
            state.set_hard_state(state.term, candidate, state.hard_state.recovered_at_term)
            state.restart_election_timer()
        state.send(candidate, VoteResponse(state.term, is_granted))

    def may_vote_for(self, candidate: str) -> bool:
        """Return whether this replica has not voted in the current term, or has voted for this candidate."""
        return self.state.hard_state.voted_for in (NO_MEMBER, candidate)

    def _is_up_to_date(self, request: RequestVote) -> bool:
        """Return whether the candidate's log is at least as up to date as this replica's, by last term, then length."""
        last_index = self.state.last_index
        last_term = self.state.term_at(last_index)
        if request.last_log_term != last_term:
            return request.last_log_term > last_term
        return request.last_log_index >= last_index

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Append a leader's entries if the log matches before them, and update the commit index.

        Raises ProtocolError if this replica leads the same term.
        """
        state = self.state
        if message.term < state.term:
            state.send(sender, AppendResponse(state.term, False, state.last_index))
            return
        if state.role is Role.LEADER:
            raise ProtocolError(f"{sender} claims to lead term {state.term}, which this replica leads")
        state.change_role(Event.ENTRIES_RECEIVED)
        state.leader = sender
        state.restart_election_timer()
        if not self._log_matches_at(message.previous_index, message.previous_term):
            state.send(sender, AppendResponse(state.term, False, self._last_possible_match(message)))
            return
        self._merge_entries(message.previous_index, message.entries)
        match_index = message.previous_index + len(message.entries)
        state.commit_index = max(state.commit_index, min(message.commit_index, match_index))
        self.recovery.become_voter_if_caught_up()
        state.send(sender, AppendResponse(state.term, True, match_index))

    def _log_matches_at(self, index: int, term: int) -> bool:
        """Return whether the entry at an index has this term."""
        return index <= self.state.last_index and self.state.term_at(index) == term

    def _last_possible_match(self, message: AppendEntries) -> int:
        """Return the index at which the leader should continue to search for the last matching entry.

        Skips all uncommitted entries of the conflicting term.
        """
        state = self.state
        if message.previous_index > state.last_index:
            return state.last_index
        index = message.previous_index
        conflicting_term = state.term_at(index)
        while index > state.commit_index and state.term_at(index) == conflicting_term:
            index -= 1
        return index

    def _merge_entries(self, previous_index: int, entries: Sequence[Entry]) -> None:
        """Append the new entries, after removing the first conflicting entry and all entries that follow it.

        Entries that match are kept, so a duplicated or delayed message removes nothing. Raises ProtocolError if a
        committed entry would be replaced.
        """
        state = self.state
        for offset, entry in enumerate(entries):
            index = previous_index + 1 + offset
            if index <= state.last_index and state.term_at(index) == entry.term:
                continue
            if index <= state.commit_index:
                raise ProtocolError(f"entry {index} is committed and cannot be replaced")
            del state.log[index - 1 :]
            state.append(*entries[offset:])
            return
