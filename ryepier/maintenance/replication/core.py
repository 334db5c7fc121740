"""Raft without I/O, clock or randomness of its own: ticks and messages in, state to store and messages out.

Who embeds a `Replica` calls `tick`, `receive` and `propose`, and after each of them `take_ready`. A `Ready` is carried
out in the order of its fields: what is to be stored is on disk before a message is sent or an entry applied. Nothing
else makes an answer of this replica binding.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from ryepier.maintenance.replication.messages import (
    NOBODY,
    AppendEntries,
    AppendResponse,
    Entry,
    Envelope,
    HardState,
    Message,
    RecoveryRequest,
    RecoveryResponse,
    RequestVote,
    VoteResponse,
)
from ryepier.maintenance.replication.roles import TRANSITIONS, Event, Role

NO_OP = b""
MAX_ENTRIES_PER_MESSAGE = 64
MAX_BYTES_PER_MESSAGE = 512 * 1024  # of commands; a single larger one goes alone
DEFAULT_ELECTION_TICKS = 10
DEFAULT_HEARTBEAT_TICKS = 2


class NotLeaderError(Exception):
    """Only the leader takes proposals; `leader` is the one last heard of, or empty."""

    def __init__(self, leader: str) -> None:
        """Keep who may be asked instead."""
        super().__init__(f"not the leader; last heard of: {leader or 'none'}")
        self.leader = leader


class ProtocolError(Exception):
    """A message that no correct member can have sent; it changes nothing."""


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """A replica's place among the fixed members. An election timeout is drawn from once to twice `election_ticks`."""

    name: str
    members: tuple[str, ...]
    seed: int
    election_ticks: int = DEFAULT_ELECTION_TICKS
    heartbeat_ticks: int = DEFAULT_HEARTBEAT_TICKS

    @property
    def peers(self) -> tuple[str, ...]:
        """The other members."""
        return tuple(member for member in self.members if member != self.name)

    @property
    def majority(self) -> int:
        """How many members are a quorum."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True, slots=True)
class DurableState:
    """What a replica finds on its disk."""

    hard_state: HardState = HardState()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class CommittedEntry:
    """An entry that no later leader can lack; indexes begin at 1."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Ready:
    """What is to be done now, in this order.

    First `hard_state` (None: as it was) and the log from `first_index` on, which `entries` replace (`first_index` 0:
    the log is as it was), both durable; then `messages` are sent; then `committed` is applied.
    """

    hard_state: HardState | None
    first_index: int
    entries: tuple[Entry, ...]
    messages: tuple[Envelope, ...]
    committed: tuple[CommittedEntry, ...]

    @property
    def must_store(self) -> bool:
        """Whether the disk is to be written."""
        return self.hard_state is not None or self.first_index > 0


@dataclass(slots=True)
class PeerProgress:
    """How far a leader knows a peer's log to be its own."""

    next_index: int
    match_index: int = 0


@dataclass(slots=True)
class _Output:
    """What has come up since the last `Ready`."""

    hard_state_changed: bool = False
    first_index: int = 0
    messages: list[Envelope] = field(default_factory=list)


class Replica:
    """One member of a region's replicated log."""

    def __init__(self, settings: ReplicaSettings, durable: DurableState | None) -> None:
        """Start from what the disk holds; None: the disk is empty although the region exists already."""
        if settings.name not in settings.members:
            raise ValueError(f"{settings.name!r} is not among the members {', '.join(settings.members)}")
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.hard_state = durable.hard_state if durable is not None else HardState()
        self.log: list[Entry] = list(durable.entries) if durable is not None else []
        self.role = self._first_role(durable)
        self.leader = NOBODY
        self.commit_index = 0
        self.applied_index = 0
        self.votes: set[str] = set()
        self.progress: dict[str, PeerProgress] = {}
        self.responded: set[str] = set()  # peers that have answered this leader since it last counted them
        self.recovery_nonce = self.random.getrandbits(63)
        self.recovery_terms: dict[str, int] = {}
        self.elapsed_ticks = 0
        self.timeout_ticks = 0
        self.output = _Output()
        self._restart_election_timer()

    @staticmethod
    def _first_role(durable: DurableState | None) -> Role:
        """The role that the disk allows."""
        if durable is None:
            return Role.RECOVERING
        return Role.LEARNER if durable.hard_state.recovered_at_term > 0 else Role.FOLLOWER

    # What the embedding process reads

    @property
    def term(self) -> int:
        """The highest term that this replica has taken part in."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Whether it leads its own term; a newer term may exist that it has not heard of."""
        return self.role is Role.LEADER

    @property
    def has_committed_in_term(self) -> bool:
        """Whether it leads and has committed an entry of its own term.

        Only then is all that earlier leaders committed known here to be so; before, its state may be an old one.
        """
        return self.is_leader and self.term_at(self.commit_index) == self.term

    @property
    def last_index(self) -> int:
        """The index of the last entry, 0 for an empty log."""
        return len(self.log)

    def term_at(self, index: int) -> int:
        """The term of an entry, 0 before the first."""
        return self.log[index - 1].term if index > 0 else 0

    def take_ready(self) -> Ready:
        """All that has to be done since the last call."""
        output, self.output = self.output, _Output()
        committed = tuple(
            CommittedEntry(index, self.log[index - 1]) for index in range(self.applied_index + 1, self.commit_index + 1)
        )
        self.applied_index = self.commit_index
        return Ready(
            hard_state=self.hard_state if output.hard_state_changed else None,
            first_index=output.first_index,
            entries=tuple(self.log[output.first_index - 1 :]) if output.first_index else (),
            messages=tuple(output.messages),
            committed=committed,
        )

    # What the embedding process tells

    def tick(self) -> None:
        """One tick of the embedding process's own clock has gone by."""
        self.elapsed_ticks += 1
        if self.role is Role.LEADER:
            self._tick_as_leader()
        elif self.role is Role.RECOVERING:
            self._tick_as_recovering()
        elif self.elapsed_ticks >= self.timeout_ticks:
            self._election_timeout()

    def propose(self, command: bytes) -> int:
        """Append a command and return its index; it counts once that index is committed in this term.

        Raises NotLeaderError on any replica that does not lead.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        index = self._append(Entry(self.term, command))
        self._replicate_to_all()
        self._advance_commit_index()
        return index

    def receive(self, sender: str, message: Message) -> None:
        """Take a message of another member. Raises ProtocolError where no member can have sent it."""
        if sender not in self.settings.peers:
            raise ProtocolError(f"{sender!r} is not another member of this region")
        if isinstance(message, RecoveryResponse):
            self._on_recovery_response(sender, message)
        elif self.role is Role.RECOVERING:
            return  # it knows nothing that it could answer with
        elif isinstance(message, RecoveryRequest):
            self._send(sender, RecoveryResponse(message.nonce, self.term))
        else:
            self._receive_in_term(sender, message)

    def _receive_in_term(
        self, sender: str, message: RequestVote | VoteResponse | AppendEntries | AppendResponse
    ) -> None:
        """A message that carries its sender's term."""
        if message.term > self.term:
            self._take_higher_term(message.term)
        if isinstance(message, RequestVote):
            self._on_request_vote(sender, message)
        elif isinstance(message, AppendEntries):
            self._on_append_entries(sender, message)
        elif message.term < self.term:
            return  # an answer to what this replica asked in an earlier term
        elif isinstance(message, VoteResponse):
            self._on_vote_response(sender, message)
        else:
            self._on_append_response(sender, message)

    # Terms and roles

    def _change_role(self, event: Event) -> None:
        """Follow the table of transitions; a pair that is not in it is an error of this module."""
        self.role = TRANSITIONS[self.role, event]

    def _set_hard_state(self, term: int, voted_for: str, recovered_at_term: int) -> None:
        """Change what the disk must hold before the next message goes out."""
        self.hard_state = HardState(term, voted_for, recovered_at_term)
        self.output.hard_state_changed = True

    def _take_higher_term(self, term: int) -> None:
        """Enter a term that another member has begun."""
        self._set_hard_state(term, NOBODY, self.hard_state.recovered_at_term)
        self._change_role(Event.HIGHER_TERM)
        self.leader = NOBODY
        self.votes = set()

    def _restart_election_timer(self) -> None:
        """Draw the next election timeout."""
        base = self.settings.election_ticks
        self.timeout_ticks = self.random.randint(base, 2 * base - 1)
        self.elapsed_ticks = 0

    # Elections

    def _election_timeout(self) -> None:
        """Nobody has led for long enough: stand for election, where this replica may."""
        self._restart_election_timer()
        self.leader = NOBODY
        if self.role is Role.LEARNER:
            return
        self._change_role(Event.ELECTION_TIMEOUT)
        self._set_hard_state(self.term + 1, self.settings.name, self.hard_state.recovered_at_term)
        self.votes = {self.settings.name}
        request = RequestVote(self.term, self.last_index, self.term_at(self.last_index))
        for peer in self.settings.peers:
            self._send(peer, request)
        self._count_votes()

    def _on_request_vote(self, candidate: str, request: RequestVote) -> None:
        """Vote at most once a term, and only for a log that goes as far as the own one."""
        if self.role is Role.LEARNER:
            return
        granted = request.term == self.term and self._may_vote_for(candidate) and self._is_up_to_date(request)
        if granted:
            self._set_hard_state(self.term, candidate, self.hard_state.recovered_at_term)
            self._restart_election_timer()
        self._send(candidate, VoteResponse(self.term, granted))

    def _may_vote_for(self, candidate: str) -> bool:
        """Whether the vote of this term is still free, or was this candidate's already."""
        return self.hard_state.voted_for in (NOBODY, candidate)

    def _is_up_to_date(self, request: RequestVote) -> bool:
        """Whether the candidate's log goes at least as far as this one."""
        own = (self.term_at(self.last_index), self.last_index)
        return (request.last_log_term, request.last_log_index) >= own

    def _on_vote_response(self, sender: str, response: VoteResponse) -> None:
        """Count a vote of this term."""
        if self.role is Role.CANDIDATE and response.granted:
            self.votes.add(sender)
            self._count_votes()

    def _count_votes(self) -> None:
        """Lead, once a majority has voted."""
        if len(self.votes) < self.settings.majority:
            return
        self._change_role(Event.MAJORITY_VOTED)
        self.leader = self.settings.name
        self.progress = {peer: PeerProgress(self.last_index + 1) for peer in self.settings.peers}
        self.responded = set()
        self.elapsed_ticks = 0
        # entries of earlier terms can only be committed by one of this term behind them
        self._append(Entry(self.term, NO_OP))
        self._replicate_to_all()
        self._advance_commit_index()

    # The leader's part

    def _tick_as_leader(self) -> None:
        """Send heartbeats, and step down where no majority answers any more."""
        if self.elapsed_ticks % self.settings.heartbeat_ticks == 0:
            self._replicate_to_all()
        if self.elapsed_ticks < 2 * self.settings.election_ticks:
            return
        self.elapsed_ticks = 0
        if len(self.responded) + 1 < self.settings.majority:
            self._change_role(Event.QUORUM_SILENT)
            self.leader = NOBODY
            self._restart_election_timer()
        self.responded = set()

    def _append(self, *entries: Entry) -> int:
        """Append to the own log, to be stored; returns the last index."""
        self._mark_unstored(self.last_index + 1)
        self.log.extend(entries)
        return self.last_index

    def _mark_unstored(self, index: int) -> None:
        """The log from this index on has to be written."""
        self.output.first_index = min(self.output.first_index or index, index)

    def _replicate_to_all(self) -> None:
        """Send each peer what it lacks, or a heartbeat."""
        for peer in self.settings.peers:
            self._replicate_to(peer)

    def _replicate_to(self, peer: str) -> None:
        """Send one peer the next entries that it lacks."""
        previous = self.progress[peer].next_index - 1
        entries = self._batch_after(previous)
        message = AppendEntries(self.term, previous, self.term_at(previous), entries, self.commit_index)
        self._send(peer, message)

    def _batch_after(self, index: int) -> tuple[Entry, ...]:
        """As many entries behind an index as go into one message."""
        batch: list[Entry] = []
        size = 0
        for entry in self.log[index : index + MAX_ENTRIES_PER_MESSAGE]:
            size += len(entry.command)
            if batch and size > MAX_BYTES_PER_MESSAGE:
                break
            batch.append(entry)
        return tuple(batch)

    def _on_append_response(self, sender: str, response: AppendResponse) -> None:
        """Learn how far a peer's log agrees, and commit what a majority has."""
        if self.role is not Role.LEADER:
            return
        self.responded.add(sender)
        progress = self.progress[sender]
        if not response.success:
            lower = min(progress.next_index - 1, response.match_index + 1)
            progress.next_index = max(progress.match_index + 1, lower)
            self._replicate_to(sender)
            return
        progress.match_index = max(progress.match_index, response.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._advance_commit_index()
        if response.match_index == progress.match_index < self.last_index:
            progress.next_index = progress.match_index + 1
            self._replicate_to(sender)

    def _advance_commit_index(self) -> None:
        """Commit the last index that a majority has, if its entry is of this term."""
        matches = sorted([self.last_index, *(progress.match_index for progress in self.progress.values())])
        majority_index = matches[-self.settings.majority]
        if majority_index > self.commit_index and self.term_at(majority_index) == self.term:
            self.commit_index = majority_index

    # The follower's part

    def _on_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Take a leader's entries where they fit behind the own log."""
        if message.term < self.term:
            self._send(sender, AppendResponse(self.term, False, self.last_index))
            return
        if self.role is Role.LEADER:
            raise ProtocolError(f"{sender} claims to lead term {self.term}, which this replica leads")
        self._change_role(Event.LEADER_HEARD)
        self.leader = sender
        self._restart_election_timer()
        if not self._agrees_at(message.previous_index, message.previous_term):
            self._send(sender, AppendResponse(self.term, False, self._last_possible_agreement(message)))
            return
        self._store_entries(message.previous_index, message.entries)
        match_index = message.previous_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit_index, match_index))
        self._become_voter_if_caught_up()
        self._send(sender, AppendResponse(self.term, True, match_index))

    def _agrees_at(self, index: int, term: int) -> bool:
        """Whether this log has an entry of that term at that index."""
        return index <= self.last_index and self.term_at(index) == term

    def _last_possible_agreement(self, message: AppendEntries) -> int:
        """The index below which the leader should look on: before the own entries of the term that differs."""
        if message.previous_index > self.last_index:
            return self.last_index
        index = message.previous_index
        differing_term = self.term_at(index)
        while index > self.commit_index and self.term_at(index) == differing_term:
            index -= 1
        return index

    def _store_entries(self, previous_index: int, entries: Sequence[Entry]) -> None:
        """Append what is new; what conflicts goes, with all behind it.

        What agrees stays, so that a message that comes again, or late, takes nothing away.
        """
        for offset, entry in enumerate(entries):
            index = previous_index + 1 + offset
            if index <= self.last_index and self.term_at(index) == entry.term:
                continue
            if index <= self.commit_index:
                raise ProtocolError(f"entry {index} is committed and cannot be replaced")
            del self.log[index - 1 :]
            self._append(*entries[offset:])
            return

    # A replica that came back with an empty disk

    def _tick_as_recovering(self) -> None:
        """Ask every other member for its term, again and again."""
        if self.elapsed_ticks % self.settings.heartbeat_ticks == 0:
            for peer in self.settings.peers:
                self._send(peer, RecoveryRequest(self.recovery_nonce))

    def _on_recovery_response(self, sender: str, response: RecoveryResponse) -> None:
        """Once all others have answered, begin above every term in which this replica may have voted or answered.

        A majority of the others is not enough: the candidate that the lost vote went to may be the one left out.
        """
        if self.role is not Role.RECOVERING or response.nonce != self.recovery_nonce:
            return
        self.recovery_terms[sender] = response.term
        if len(self.recovery_terms) < len(self.settings.peers):
            return
        highest = max(self.recovery_terms.values())
        self._change_role(Event.ALL_MEMBERS_ANSWERED)
        self._set_hard_state(highest + 1, NOBODY, highest + 1)
        self._restart_election_timer()

    def _become_voter_if_caught_up(self) -> None:
        """An entry of a leader that was elected without this replica shows that the log before it is whole."""
        recovered_at_term = self.hard_state.recovered_at_term
        if recovered_at_term > 0 and self.term_at(self.last_index) >= recovered_at_term:
            self._set_hard_state(self.term, self.leader, 0)
            self._change_role(Event.CAUGHT_UP)

    def _send(self, receiver: str, message: Message) -> None:
        """Send once what this message depends on is stored."""
        self.output.messages.append(Envelope(receiver, message))
