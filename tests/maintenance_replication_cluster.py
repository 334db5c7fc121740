"""A simulated cluster of replicas with their disks and messages in transit, which checks Raft's invariants."""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.errors import NotLeaderError, ProtocolError
from ryepier.maintenance.replication.messages import Entry, Message
from ryepier.maintenance.replication.model import CommittedEntry, DurableState, Ready, ReplicaSettings

MEMBER_NAMES = ("a", "b", "c", "d", "e")
ROUNDS_PER_RUN = 8  # rounds of ticks and deliveries in one `run` action


class BrokenInvariantError(AssertionError):
    """An invariant of the replicated log does not hold."""


@dataclass
class Member:
    """A member's disk and its replica; `replica` is None while the member is down, `disk` is None if it was wiped."""

    name: str
    disk: DurableState | None
    replica: Replica | None = None
    incarnation_count: int = 0


@dataclass
class Cluster:
    """All members, the messages in transit, and the leaders and entries seen so far, to check the invariants.

    `loses_entries` is a seeded fault: the members' disks store only the hard state.
    """

    size: int
    seed: int
    replica_type: type[Replica] = Replica
    loses_entries: bool = False
    members: dict[str, Member] = field(default_factory=dict)
    network: list[tuple[str, str, Message]] = field(default_factory=list)
    leaders_by_term: dict[int, str] = field(default_factory=dict)
    # (index, term) of an entry to (term of the previous entry, command)
    known_entries: dict[tuple[int, int], tuple[int, bytes]] = field(default_factory=dict)
    committed_entries: dict[int, Entry] = field(default_factory=dict)
    # index of a committed entry to the term of the replica that first applied it
    first_commit_terms: dict[int, int] = field(default_factory=dict)
    proposal_count: int = 0

    def __post_init__(self) -> None:
        for name in MEMBER_NAMES[: self.size]:
            self.members[name] = Member(name, DurableState())
            self.start(name)

    def start(self, name: str) -> None:
        member = self.members[name]
        if member.replica is not None:
            return
        member.incarnation_count += 1
        seed = hash((self.seed, MEMBER_NAMES.index(name), member.incarnation_count))
        member.replica = self.replica_type(ReplicaSettings(name, MEMBER_NAMES[: self.size], seed), member.disk)

    def process_ready(self, member: Member, store_ready: bool = True) -> None:
        """Store, send and apply the replica's `Ready`; without `store_ready`, crash before it is stored."""
        replica = member.replica
        assert replica is not None
        ready = replica.take_ready()
        if not store_ready:
            member.replica = None
            return
        self.save(member, ready)
        self.check_log(replica, ready.first_index)
        for envelope in ready.messages:
            self.network.append((member.name, envelope.receiver, envelope.message))
        for committed_entry in ready.committed_entries:
            self.check_committed(committed_entry, replica.term)
        if replica.is_leader:
            self.check_leader(replica)

    def save(self, member: Member, ready: Ready) -> None:
        if not ready.must_store:
            return
        previous_state = member.disk or DurableState()
        entries = previous_state.entries
        if ready.first_index > 0 and not self.loses_entries:
            entries = entries[: ready.first_index - 1] + ready.entries
        member.disk = DurableState(ready.hard_state or previous_state.hard_state, entries)

    def check_log(self, replica: Replica, first_index: int) -> None:
        for index in range(first_index or replica.last_index + 1, replica.last_index + 1):
            entry = replica.log[index - 1]
            content = (replica.term_at(index - 1), entry.command)
            if self.known_entries.setdefault((index, entry.term), content) != content:
                raise BrokenInvariantError(f"two different entries at index {index} of term {entry.term}")

    def check_committed(self, committed_entry: CommittedEntry, term: int) -> None:
        self.first_commit_terms.setdefault(committed_entry.index, term)
        if self.committed_entries.setdefault(committed_entry.index, committed_entry.entry) != committed_entry.entry:
            raise BrokenInvariantError(f"two different committed entries at index {committed_entry.index}")

    def check_leader(self, replica: Replica) -> None:
        name = replica.settings.name
        if self.leaders_by_term.setdefault(replica.term, name) != name:
            raise BrokenInvariantError(f"two leaders of term {replica.term}")
        for index, entry in self.committed_entries.items():
            must_hold_entry = replica.term >= self.first_commit_terms[index]
            if must_hold_entry and (index > replica.last_index or replica.log[index - 1] != entry):
                raise BrokenInvariantError(f"the leader of term {replica.term} lacks committed entry {index}")

    def deliver(self, message_index: int, keep_copy: bool = False) -> None:
        sender, receiver, message = self.network[message_index] if keep_copy else self.network.pop(message_index)
        member = self.members[receiver]
        if member.replica is None:
            return
        try:
            member.replica.receive(sender, message)
        except ProtocolError as error:
            raise BrokenInvariantError(str(error)) from error
        self.process_ready(member)

    def tick(self, name: str, store_ready: bool = True) -> None:
        member = self.members[name]
        if member.replica is not None:
            member.replica.tick()
            self.process_ready(member, store_ready)

    def propose(self, name: str, store_ready: bool = True) -> None:
        member = self.members[name]
        if member.replica is None:
            return
        self.proposal_count += 1
        try:
            member.replica.propose(b"command %d" % self.proposal_count)
        except NotLeaderError:
            return
        self.process_ready(member, store_ready)

    def run(self, rounds: int, partitioned_member: str = "") -> None:
        """Tick all members and deliver all messages, except those of the partitioned member."""
        for _ in range(rounds):
            for name in self.members:
                if name != partitioned_member:
                    self.tick(name)
            message_count = len(self.network)
            for _ in range(message_count):
                sender, receiver, _message = self.network[0]
                if partitioned_member in (sender, receiver):
                    self.network.pop(0)
                else:
                    self.deliver(0)

    def perform(self, action: str, name: str, random_number: int) -> None:
        message_index = random_number % len(self.network) if self.network else -1
        if action == "run":
            self.run(ROUNDS_PER_RUN, partitioned_member=name if random_number % 2 else "")
        elif action == "tick":
            self.tick(name)
        elif action == "propose":
            self.propose(name)
        elif action == "crash":
            self.members[name].replica = None
        elif action == "crash-unsaved" and random_number % 2:
            self.propose(name, store_ready=False)
        elif action == "crash-unsaved":
            self.tick(name, store_ready=False)
        elif action == "restart":
            self.start(name)
        elif action == "wipe":
            self.members[name].replica = None
            self.members[name].disk = None
        elif message_index >= 0 and action == "lose":
            self.network.pop(message_index)
        elif message_index >= 0:
            self.deliver(message_index, keep_copy=action == "repeat")

    def leader(self) -> str:
        """Return the name of the leader with the highest term, or an empty string if there is none."""
        leaders = [
            member.replica
            for member in self.members.values()
            if member.replica is not None and member.replica.is_leader
        ]
        return max(leaders, key=lambda replica: replica.term).settings.name if leaders else ""

    def elect(self) -> str:
        for _ in range(60):
            self.run(ROUNDS_PER_RUN)
            if self.leader():
                return self.leader()
        raise AssertionError("no leader was elected")
