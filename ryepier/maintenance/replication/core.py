"""Raft without I/O, clock or randomness of its own: ticks and messages in, state to store and messages out.

The process that embeds a `Replica` calls `tick`, `receive` and `propose`, and after each of them `take_ready`. It
carries a `Ready` out in the order of its fields: what has to be stored is on disk before a message is sent or an entry
applied. No answer of this replica is binding before that. One task at a time may call a replica.

Each role has a module: `follower`, `candidate`, `leader`, `recovery`; `roles` has the transitions between them.
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

    def __init__(self, settings: ReplicaSettings, durable: DurableState | None) -> None:
        """Start from what the disk holds; None: the disk is empty although the region exists already.

        Raises ValueError where the replica is not among the members.
        """
        if settings.name not in settings.members:
            raise ValueError(f"{settings.name!r} is not among the members {', '.join(settings.members)}")
        self.settings = settings
        self._state = ReplicaState(settings, durable)
        self._recovery = Recovery(self._state)
        self._follower = self.follower_type(self._state, self._recovery)
        self._leader = Leader(self._state)
        self._candidate = Candidate(self._state, self._leader)
        self._state.restart_election_timer()

    @property
    def term(self) -> int:
        """The highest term that this replica has taken part in."""
        return self._state.term

    @property
    def role(self) -> Role:
        """The present role."""
        return self._state.role

    @property
    def leader(self) -> str:
        """The leader of the present term as far as it is known, or empty."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Whether it leads its own term; a newer term may exist that it does not know of."""
        return self.role is Role.LEADER

    @property
    def has_committed_in_term(self) -> bool:
        """Whether it leads and has committed an entry of its own term.

        Only then does it know of everything that earlier leaders committed.
        """
        return self.is_leader and self.term_at(self.commit_index) == self.term

    @property
    def hard_state(self) -> HardState:
        """Term and vote."""
        return self._state.hard_state

    @property
    def log(self) -> list[Entry]:
        """All entries. The caller must not change them."""
        return self._state.log

    @property
    def last_index(self) -> int:
        """The index of the last entry, 0 for an empty log."""
        return self._state.last_index

    @property
    def commit_index(self) -> int:
        """The index of the last entry known to be committed, 0 without one."""
        return self._state.commit_index

    def term_at(self, index: int) -> int:
        """Return the term of an entry, 0 before the first."""
        return self._state.term_at(index)

    def take_ready(self) -> Ready:
        """Return all that has to be done since the last call."""
        return self._state.take_ready()

    def tick(self) -> None:
        """Count one tick of the embedding process's clock."""
        self._state.elapsed_ticks += 1
        if self.role is Role.LEADER:
            self._leader.tick()
        elif self.role is Role.RECOVERING:
            self._recovery.tick()
        elif self._state.elapsed_ticks >= self._state.timeout_ticks:
            self._candidate.on_election_timeout()

    def propose(self, command: bytes) -> int:
        """Append a command and return its index; it counts once that index is committed in this term.

        Raises NotLeaderError on any replica that does not lead.
        """
        return self._leader.propose(command)

    def receive(self, sender: str, message: Message) -> None:
        """Take a message of another member. Raises ProtocolError where no member can have sent it."""
        if sender not in self.settings.peers:
            raise ProtocolError(f"{sender!r} is not another member of this region")
        if isinstance(message, RecoveryResponse):
            self._recovery.on_response(sender, message)
        elif self.role is Role.RECOVERING:
            return  # nothing on its disk to answer with
        elif isinstance(message, RecoveryRequest):
            self._state.send(sender, RecoveryResponse(message.nonce, self.term))
        else:
            self._receive_in_term(sender, message)

    def _receive_in_term(
        self, sender: str, message: RequestVote | VoteResponse | AppendEntries | AppendResponse
    ) -> None:
        """Take a message that carries its sender's term."""
        if message.term > self.term:
            self._state.enter_higher_term(message.term)
        if isinstance(message, RequestVote):
            self._follower.on_request_vote(sender, message)
        elif isinstance(message, AppendEntries):
            self._follower.on_append_entries(sender, message)
        elif message.term < self.term:
            return  # answers a request of an earlier term
        elif isinstance(message, VoteResponse):
            self._candidate.on_vote_response(sender, message)
        else:
            self._leader.on_append_response(sender, message)
