"""The leader role: replicates the log, commits entries that a majority has stored, and steps down without a quorum."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.replication.errors import NotLeaderError
from ryepier.maintenance.replication.messages import NO_MEMBER, AppendEntries, AppendResponse, Entry
from ryepier.maintenance.replication.replica_state import ReplicaState
from ryepier.maintenance.replication.roles import Event, Role

NO_OP = b""
MAX_ENTRIES_PER_MESSAGE = 64
MAX_BYTES_PER_MESSAGE = 512 * 1024  # total size of commands; a larger single command is sent in its own message


@dataclass(slots=True)
class PeerProgress:
    """The replication progress of one peer: the next index to send, and the highest index known to match."""

    next_index: int
    match_index: int = 0


class Leader:
    """Replicates and commits entries while the replica is the leader."""

    def __init__(self, state: ReplicaState) -> None:
        """Start without peer progress; `start_term` sets it up when an election is won."""
        self.state = state
        self.progress: dict[str, PeerProgress] = {}
        self.responsive_peers: set[str] = set()  # peers that have responded since the last quorum check

    def start_term(self) -> None:
        """Reset the progress of all peers and append the no-op entry of the new term."""
        state = self.state
        state.leader = state.settings.name
        self.progress = {peer: PeerProgress(state.last_index + 1) for peer in state.settings.peers}
        self.responsive_peers = set()
        state.elapsed_ticks = 0
        # entries of earlier terms are committed only together with a later entry of this term
        self._append_and_replicate(NO_OP)

    def propose(self, command: bytes) -> int:
        """Append a command and return its index. Raises NotLeaderError if this replica is not the leader."""
        if self.state.role is not Role.LEADER:
            raise NotLeaderError(self.state.leader)
        return self._append_and_replicate(command)

    def _append_and_replicate(self, command: bytes) -> int:
        """Append an entry with the current term, send it to all peers, and return its index."""
        index = self.state.append(Entry(self.state.term, command))
        self._replicate_to_all()
        self._advance_commit_index()
        return index

    def tick(self) -> None:
        """Send heartbeats, and step down if no majority has responded for two minimum election timeouts."""
        state = self.state
        if state.elapsed_ticks % state.settings.heartbeat_ticks == 0:
            self._replicate_to_all()
        if state.elapsed_ticks < 2 * state.settings.election_ticks:
            return
        state.elapsed_ticks = 0
        if len(self.responsive_peers) + 1 < state.settings.majority:
            state.change_role(Event.QUORUM_LOST)
            state.leader = NO_MEMBER
            state.restart_election_timer()
        self.responsive_peers = set()

    def _replicate_to_all(self) -> None:
        """Send each peer its missing entries, or a heartbeat if it has none."""
        for peer in self.state.settings.peers:
            self._replicate_to(peer)

    def _replicate_to(self, peer: str) -> None:
        """Send one peer the next batch of its missing entries, or a heartbeat if it has none."""
        state = self.state
        previous_index = self.progress[peer].next_index - 1
        entries = self._next_batch(previous_index)
        state.send(
            peer, AppendEntries(state.term, previous_index, state.term_at(previous_index), entries, state.commit_index)
        )

    def _next_batch(self, index: int) -> tuple[Entry, ...]:
        """Return the entries that follow an index, as many as fit into one message."""
        batch: list[Entry] = []
        batch_bytes = 0
        for entry in self.state.log[index : index + MAX_ENTRIES_PER_MESSAGE]:
            batch_bytes += len(entry.command)
            if batch and batch_bytes > MAX_BYTES_PER_MESSAGE:
                break
            batch.append(entry)
        return tuple(batch)

    def on_append_response(self, sender: str, response: AppendResponse) -> None:
        """Update a peer's progress, advance the commit index, and send further entries if the peer still lacks some."""
        if self.state.role is not Role.LEADER:
            return
        self.responsive_peers.add(sender)
        progress = self.progress[sender]
        if not response.success:
            decremented_index = min(progress.next_index - 1, response.match_index + 1)
            progress.next_index = max(progress.match_index + 1, decremented_index)
            self._replicate_to(sender)
            return
        progress.match_index = max(progress.match_index, response.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._advance_commit_index()
        if response.match_index == progress.match_index < self.state.last_index:
            progress.next_index = progress.match_index + 1
            self._replicate_to(sender)

    def _advance_commit_index(self) -> None:
        """Commit up to the highest index that a majority has stored, if that entry is of the current term."""
        state = self.state
        match_indexes = sorted([state.last_index, *(progress.match_index for progress in self.progress.values())])
        majority_index = match_indexes[-state.settings.majority]
        if majority_index > state.commit_index and state.term_at(majority_index) == state.term:
            state.commit_index = majority_index
