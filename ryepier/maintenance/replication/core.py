"""Raft as a deterministic state machine, without I/O or a clock and with a seeded random generator.

The embedding process calls `tick`, `receive` and `propose` of a `Replica`, and `take_ready` after each of these calls.
It carries out the returned `Ready` in the order of its fields: state is durable on disk before any message is sent or
any entry is applied. Until then, other members and callers must not see any answer of this replica. A replica is not
safe for concurrent use: one task at a time may call it.

The modules `follower`, `candidate`, `leader` and `recovery` implement the roles, and `roles` has the transitions
between them.
"""

from __future__ import annotations

from typing import ClassVar

from ryepier.maintenance.replication.candidate import Candidate
from ryepier.maintenance.replication.errors import ProtocolError
from ryepier.maintenance.replication.follower import Follower
from ryepier.maintenance.replication.leader import Leader
from ryepier.maintenance.replication.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    HardState,
    Message,
    RecoveryRequest,
    RecoveryResponse,
    RequestVote,
    VoteResponse,
)
from ryepier.maintenance.replication.model import DurableState, Ready, ReplicaSettings
from ryepier.maintenance.replication.recovery import Recovery
from ryepier.maintenance.replication.replica_state import ReplicaState
from ryepier.maintenance.replication.roles import Role


class Replica:
    """One member of a region's replicated log."""

    follower_type: ClassVar[type[Follower]] = Follower

    def __init__(self, settings: ReplicaSettings, durable_state: DurableState | None) -> None:
        """Start from the state on disk.

        `durable_state` is None if the disk is empty although the region already exists; the replica then starts as
        recovering. Raises ValueError if the replica is not among the members.
        """
        if settings.name not in settings.members:
            raise ValueError(f"{settings.name!r} is not among the members {', '.join(settings.members)}")
        self.settings = settings
        self._state = ReplicaState(settings, durable_state)
        self._recovery = Recovery(self._state)
        self._follower = self.follower_type(self._state, self._recovery)
        self._leader = Leader(self._state)
        self._candidate = Candidate(self._state, self._leader)
        self._state.restart_election_timer()

    @property
    def term(self) -> int:
        """The current term, 0 before the first election."""
        return self._state.term

    @property
    def role(self) -> Role:
        """The replica's current role, such as follower or leader."""
        return self._state.role

    @property
    def leader(self) -> str:
        """The name of the current term's leader, empty if it is not known."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its current term. Another leader of a higher term may already exist."""
        return self.role is Role.LEADER

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this replica is the leader and has committed an entry of its current term.

        Only then does its commit index cover everything that earlier leaders committed.
        """
        return self.is_leader and self.term_at(self.commit_index) == self.term

    @property
    def hard_state(self) -> HardState:
        """The term, the vote and the recovery state, which must be durable before a message depends on them."""
        return self._state.hard_state

    @property
    def log(self) -> list[Entry]:
        """All entries of the log, from index 1 on. The caller must not modify the list."""
        return self._state.log

    @property
    def last_index(self) -> int:
        """The index of the last entry, 0 for an empty log."""
        return self._state.last_index

    @property
    def commit_index(self) -> int:
        """The index of the last entry known to be committed, 0 if there is none."""
        return self._state.commit_index

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index, 0 for index 0."""
        return self._state.term_at(index)

    def take_ready(self) -> Ready:
        """Return the writes, messages and committed entries that have accumulated since the last call."""
        return self._state.take_ready()

    def tick(self) -> None:
        """Advance the replica's clock by one tick, which may send heartbeats or start an election."""
        self._state.elapsed_ticks += 1
        if self.role is Role.LEADER:
            self._leader.tick()
        elif self.role is Role.RECOVERING:
            self._recovery.tick()
        elif self._state.elapsed_ticks >= self._state.timeout_ticks:
            self._candidate.on_election_timeout()

    def propose(self, command: bytes) -> int:
        """Append a command to the log and return its index.

        The command takes effect only if the entry at that index is committed with the current term. Raises
        NotLeaderError if this replica is not the leader.
        """
        return self._leader.propose(command)

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message from a peer. Raises ProtocolError if no correct member can have sent it."""
        if sender not in self.settings.peers:
            raise ProtocolError(f"{sender!r} is not a peer of this replica")
        if isinstance(message, RecoveryResponse):
            self._recovery.on_response(sender, message)
        elif self.role is Role.RECOVERING:
            return  # a recovering replica has no stored state that it could answer from
        elif isinstance(message, RecoveryRequest):
            self._state.send(sender, RecoveryResponse(message.nonce, self.term))
        else:
            self._receive_in_term(sender, message)

    def _receive_in_term(
        self, sender: str, message: RequestVote | VoteResponse | AppendEntries | AppendResponse
    ) -> None:
        """Handle a message that carries its sender's term; enter that term first if it is higher."""
        if message.term > self.term:
            self._state.enter_higher_term(message.term)
        if isinstance(message, RequestVote):
            self._follower.on_request_vote(sender, message)
        elif isinstance(message, AppendEntries):
            self._follower.on_append_entries(sender, message)
        elif message.term < self.term:
            return  # a response to a request of an earlier term
        elif isinstance(message, VoteResponse):
            self._candidate.on_vote_response(sender, message)
        else:
            self._leader.on_append_response(sender, message)
