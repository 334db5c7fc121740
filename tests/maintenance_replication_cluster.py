"""A replicated log's members, their disks and messages in transit, with the invariants that must hold."""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.errors import NotLeaderError, ProtocolError
from ryepier.maintenance.replication.messages import Entry, Message
from ryepier.maintenance.replication.model import CommittedEntry, DurableState, Ready, ReplicaSettings

NAMES = ("a", "b", "c", "d", "e")
RUN_ROUNDS = 8


class BrokenInvariantError(AssertionError):
    """An invariant of the replicated log that did not hold."""


@dataclass
class Member:
    """A replica that may be down, and its disk."""

    name: str
    disk: DurableState | None
    replica: Replica | None = None
    incarnations: int = 0


@dataclass
class Cluster:
    """Members, messages in transit, and all that was ever stored or committed."""

    size: int
    seed: int
    replica_type: type[Replica] = Replica
    loses_entries: bool = False
    members: dict[str, Member] = field(default_factory=dict)
    network: list[tuple[str, str, Message]] = field(default_factory=list)
    leaders: dict[int, str] = field(default_factory=dict)
    entries: dict[tuple[int, int], tuple[int, bytes]] = field(default_factory=dict)  # (index, term): before, command
    committed: dict[int, Entry] = field(default_factory=dict)
    committed_in: dict[int, int] = field(default_factory=dict)  # the term of the first replica that applied it
    proposals: int = 0

    def __post_init__(self) -> None:
        for name in NAMES[: self.size]:
            self.members[name] = Member(name, DurableState())
            self.start(name)

    def start(self, name: str) -> None:
        member = self.members[name]
        if member.replica is not None:
            return
        member.incarnations += 1
        seed = hash((self.seed, NAMES.index(name), member.incarnations))
        member.replica = self.replica_type(ReplicaSettings(name, NAMES[: self.size], seed), member.disk)

    def process_ready(self, member: Member, saved: bool = True) -> None:
        """Carry a `Ready` out, or crash before it is stored."""
        replica = member.replica
        assert replica is not None
        ready = replica.take_ready()
        if not saved:
            member.replica = None
            return
        self.save(member, ready)
        self.check_log(replica, ready.first_index)
        for envelope in ready.messages:
            self.network.append((member.name, envelope.receiver, envelope.message))
        for item in ready.committed:
            self.check_committed(item, replica.term)
        if replica.is_leader:
            self.check_leader(replica)

    def save(self, member: Member, ready: Ready) -> None:
        if not ready.must_store:
            return
        before = member.disk or DurableState()
        entries = before.entries
        if ready.first_index > 0 and not self.loses_entries:
            entries = entries[: ready.first_index - 1] + ready.entries
        member.disk = DurableState(ready.hard_state or before.hard_state, entries)

    def check_log(self, replica: Replica, first_index: int) -> None:
        for index in range(first_index or replica.last_index + 1, replica.last_index + 1):
            entry = replica.log[index - 1]
            found = (replica.term_at(index - 1), entry.command)
            if self.entries.setdefault((index, entry.term), found) != found:
                raise BrokenInvariantError(f"log matching at {index} of term {entry.term}")

    def check_committed(self, item: CommittedEntry, term: int) -> None:
        self.committed_in.setdefault(item.index, term)
        if self.committed.setdefault(item.index, item.entry) != item.entry:
            raise BrokenInvariantError(f"two committed entries at {item.index}")

    def check_leader(self, replica: Replica) -> None:
        name = replica.settings.name
        if self.leaders.setdefault(replica.term, name) != name:
            raise BrokenInvariantError(f"two leaders of term {replica.term}")
        for index, entry in self.committed.items():
            later = replica.term >= self.committed_in[index]
            if later and (index > replica.last_index or replica.log[index - 1] != entry):
                raise BrokenInvariantError(f"the leader of term {replica.term} lacks committed entry {index}")

    def deliver(self, position: int, keep: bool = False) -> None:
        sender, receiver, message = self.network[position] if keep else self.network.pop(position)
        member = self.members[receiver]
        if member.replica is None:
            return
        try:
            member.replica.receive(sender, message)
        except ProtocolError as error:
            raise BrokenInvariantError(str(error)) from error
        self.process_ready(member)

    def tick(self, name: str, saved: bool = True) -> None:
        member = self.members[name]
        if member.replica is not None:
            member.replica.tick()
            self.process_ready(member, saved)

    def propose(self, name: str, saved: bool = True) -> None:
        member = self.members[name]
        if member.replica is None:
            return
        self.proposals += 1
        try:
            member.replica.propose(b"command %d" % self.proposals)
        except NotLeaderError:
            return
        self.process_ready(member, saved)

    def run(self, rounds: int, without: str = "") -> None:
        """Tick all members and deliver all messages, but for one partitioned member."""
        for _ in range(rounds):
            for name in self.members:
                if name != without:
                    self.tick(name)
            waiting = len(self.network)
            for _ in range(waiting):
                sender, receiver, _message = self.network[0]
                if without in (sender, receiver):
                    self.network.pop(0)
                else:
                    self.deliver(0)

    def perform(self, action: str, name: str, pick: int) -> None:
        position = pick % len(self.network) if self.network else -1
        if action == "run":
            self.run(RUN_ROUNDS, without=name if pick % 2 else "")
        elif action == "tick":
            self.tick(name)
        elif action == "propose":
            self.propose(name)
        elif action == "crash":
            self.members[name].replica = None
        elif action == "crash-unsaved" and pick % 2:
            self.propose(name, saved=False)
        elif action == "crash-unsaved":
            self.tick(name, saved=False)
        elif action == "restart":
            self.start(name)
        elif action == "wipe":
            self.members[name].replica = None
            self.members[name].disk = None
        elif position >= 0 and action == "lose":
            self.network.pop(position)
        elif position >= 0:
            self.deliver(position, keep=action == "repeat")

    def leader(self) -> str:
        """Return the leader of the highest term, empty without one."""
        leading = [m.replica for m in self.members.values() if m.replica is not None and m.replica.is_leader]
        return max(leading, key=lambda replica: replica.term).settings.name if leading else ""

    def elect(self) -> str:
        for _ in range(60):
            self.run(RUN_ROUNDS)
            if self.leader():
                return self.leader()
        raise AssertionError("no leader")
