"""The replicated log: any order of messages, losses, repeats, crashes and lost disks; and the file that holds it."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.errors import NotLeaderError, ProtocolError
from ryepier.maintenance.replication.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    HardState,
    Message,
    RequestVote,
    VoteResponse,
)
from ryepier.maintenance.replication.model import CommittedEntry, DurableState, Ready, ReplicaSettings
from ryepier.maintenance.replication.roles import Role
from ryepier.maintenance.replication.seeded_faults import ForgetGrantStorage, VoteTwiceReplica

NAMES = ("a", "b", "c", "d", "e")
ACTIONS = (
    "tick", "deliver", "deliver", "repeat", "lose", "propose", "run", "run", "crash", "crash-unsaved", "restart",
    "wipe",
)  # fmt: skip
WEIGHTS = {"run": 8, "deliver": 8, "propose": 4, "tick": 4, "restart": 6, "repeat": 2, "lose": 2, "crash": 1,
           "crash-unsaved": 1}  # fmt: skip
WITH_WIPES = WEIGHTS | {"wipe": 0.2}
RUN_ROUNDS = 8


class BrokenInvariantError(AssertionError):
    """A promise of the replicated log that did not hold."""


@dataclass
class Member:
    """A replica that may be down, and its disk."""

    name: str
    disk: DurableState | None
    replica: Replica | None = None
    incarnations: int = 0


@dataclass
class Cluster:
    """Members, messages on their way, and all that was ever promised."""

    size: int
    seed: int
    kind: type[Replica] = Replica
    forgets_entries: bool = False
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
        member.replica = self.kind(ReplicaSettings(name, NAMES[: self.size], seed), member.disk)

    def carry_out(self, member: Member, saved: bool = True) -> None:
        """Do what a `Ready` says, or crash before it is stored."""
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
        if ready.first_index > 0 and not self.forgets_entries:
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
        self.carry_out(member)

    def tick(self, name: str, saved: bool = True) -> None:
        member = self.members[name]
        if member.replica is not None:
            member.replica.tick()
            self.carry_out(member, saved)

    def propose(self, name: str, saved: bool = True) -> None:
        member = self.members[name]
        if member.replica is None:
            return
        self.proposals += 1
        try:
            member.replica.propose(b"command %d" % self.proposals)
        except NotLeaderError:
            return
        self.carry_out(member, saved)

    def run(self, rounds: int, without: str = "") -> None:
        """Everybody's clock goes on and all messages arrive, but for one member that is cut off."""
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

    def act(self, action: str, name: str, pick: int) -> None:
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
        """The leader of the highest term, empty without one."""
        leading = [m.replica for m in self.members.values() if m.replica is not None and m.replica.is_leader]
        return max(leading, key=lambda replica: replica.term).settings.name if leading else ""

    def elect(self) -> str:
        for _ in range(60):
            self.run(RUN_ROUNDS)
            if self.leader():
                return self.leader()
        raise AssertionError("no leader")


def explore(cluster: Cluster, seed: int, steps: int, weights: Mapping[str, float]) -> None:
    drawn = random.Random(seed)
    for action in drawn.choices(tuple(weights), tuple(weights.values()), k=steps):
        cluster.act(action, drawn.choice(tuple(cluster.members)), drawn.randrange(10**6))


drawn_steps = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.sampled_from(NAMES), st.integers(0, 10**6)), min_size=30, max_size=150
)


@settings(max_examples=150, deadline=None)
@given(st.sampled_from((3, 5)), st.integers(0, 2**32), drawn_steps)
def test_any_order_of_events_keeps_the_promises(size: int, seed: int, steps: list[tuple[str, str, int]]) -> None:
    cluster = Cluster(size, seed)
    for action, name, pick in steps:
        if name in cluster.members:
            cluster.act(action, name, pick)


@pytest.mark.parametrize("weights", [WEIGHTS, WITH_WIPES], ids=["crashes", "wipes"])
@pytest.mark.parametrize("size", [3, 5])
def test_long_walks_keep_the_promises_and_commit(size: int, weights: Mapping[str, float]) -> None:
    committed = 0
    for seed in range(40):
        cluster = Cluster(size, seed)
        explore(cluster, seed, 300, weights)
        committed += len(cluster.committed)
    assert committed > 40 * 5


def broken_within(walks: int, kind: type[Replica] = Replica, forgets: bool = False) -> list[str]:
    """What the first broken walk broke."""
    for seed in range(walks):
        cluster = Cluster(3, seed, kind, forgets)
        try:
            explore(cluster, seed, 300, WEIGHTS)
        except BrokenInvariantError as error:
            return [str(error)]
    return []


def test_a_replica_that_votes_twice_is_caught() -> None:
    assert broken_within(200, VoteTwiceReplica)


def test_an_entry_acknowledged_before_it_is_stored_is_caught() -> None:
    assert broken_within(200, forgets=True)


def test_a_leader_commits_and_all_have_it() -> None:
    cluster = Cluster(3, 1)
    leader = cluster.elect()
    for _ in range(200):
        cluster.propose(leader)
    cluster.run(2 * RUN_ROUNDS)
    assert [replica.commit_index for m in cluster.members.values() if (replica := m.replica)] == [201, 201, 201]


def test_a_leader_that_is_cut_off_commits_nothing_and_steps_down() -> None:
    cluster = Cluster(3, 1)
    old = cluster.elect()
    replica = cluster.members[old].replica
    assert replica is not None
    before = replica.commit_index
    cluster.propose(old)
    cluster.network.clear()
    cluster.run(60, without=old)
    new = cluster.leader()
    assert replica.commit_index == before and new != old
    for _ in range(60):
        cluster.tick(old)
        cluster.network = [m for m in cluster.network if old not in m[:2]]
    assert not replica.is_leader


def test_a_follower_far_behind_catches_up() -> None:
    cluster = Cluster(3, 2)
    leader = cluster.elect()
    behind = next(name for name in cluster.members if name != leader)
    cluster.members[behind].replica = None
    for _ in range(150):
        cluster.propose(leader)
        cluster.network = [m for m in cluster.network if behind not in m[:2]]
        cluster.run(1, without=behind)
    cluster.start(behind)
    cluster.run(30)
    replica = cluster.members[behind].replica
    assert replica is not None and replica.commit_index >= 150


def test_a_new_leader_does_not_vouch_for_its_state_before_it_has_committed_in_its_term() -> None:
    replica = follower((Entry(3, b"old"),))
    while replica.role is not Role.CANDIDATE:
        replica.tick()
    replica.receive("b", VoteResponse(replica.term, True))
    assert replica.is_leader and not replica.has_committed_in_term
    replica.receive("b", AppendResponse(replica.term, True, 2))
    assert replica.has_committed_in_term and replica.commit_index == 2


# A replica that comes back with an empty disk


def wiped(cluster: Cluster, name: str) -> Replica:
    cluster.members[name].replica = None
    cluster.members[name].disk = None
    cluster.start(name)
    replica = cluster.members[name].replica
    assert replica is not None
    return replica


def test_a_replica_with_an_empty_disk_neither_votes_nor_stands() -> None:
    cluster = Cluster(3, 3)
    cluster.elect()
    replica = wiped(cluster, "a")
    replica.receive("b", RequestVote(99, 50, 50))
    for _ in range(100):
        replica.tick()
    messages = [envelope.message for envelope in replica.take_ready().messages]
    assert replica.role is Role.RECOVERING
    assert not any(isinstance(message, VoteResponse | RequestVote) for message in messages)


def test_it_is_a_learner_until_it_has_an_entry_of_a_leader_elected_without_it() -> None:
    cluster = Cluster(3, 3)
    leader = cluster.elect()
    cluster.propose(leader)
    cluster.run(RUN_ROUNDS)
    before = cluster.members[leader].replica
    assert before is not None
    term = before.term
    replica = wiped(cluster, next(name for name in cluster.members if name != leader))
    cluster.run(100)
    assert replica.role in (Role.FOLLOWER, Role.LEADER)
    assert replica.hard_state.recovered_at_term == 0 and replica.term > term
    assert replica.commit_index >= 3


def test_it_stays_out_while_one_other_member_is_silent() -> None:
    cluster = Cluster(3, 4)
    cluster.elect()
    cluster.members["b"].replica = None
    replica = wiped(cluster, "a")
    cluster.run(100)
    assert replica.role is Role.RECOVERING
    cluster.start("b")
    cluster.run(100)
    assert replica.role in (Role.FOLLOWER, Role.LEADER)


def test_a_learner_that_restarts_is_a_learner_still() -> None:
    settings_ = ReplicaSettings("a", NAMES[:3], 0)
    learner = Replica(settings_, DurableState(HardState(7, "", 7), (Entry(3, b""),)))
    assert learner.role is Role.LEARNER
    learner.receive("b", RequestVote(8, 9, 8))
    assert learner.take_ready().messages == ()


# Messages that no correct member can have sent


def follower(entries: tuple[Entry, ...] = ()) -> Replica:
    return Replica(ReplicaSettings("a", NAMES[:3], 0), DurableState(HardState(3), entries))


def test_a_stranger_is_refused() -> None:
    with pytest.raises(ProtocolError, match="'x' is not another member"):
        follower().receive("x", RequestVote(9, 0, 0))


def test_committed_entries_are_not_replaced() -> None:
    replica = follower((Entry(1, b"one"),))
    replica.receive("b", AppendEntries(3, 1, 1, (), 1))
    with pytest.raises(ProtocolError, match="entry 1 is committed"):
        replica.receive("b", AppendEntries(3, 0, 0, (Entry(3, b"other"),), 0))
    assert replica.log == [Entry(1, b"one")]


def test_a_second_leader_of_a_term_is_refused() -> None:
    cluster = Cluster(3, 1)
    leader = cluster.members[cluster.elect()].replica
    assert leader is not None
    other = leader.settings.peers[0]
    with pytest.raises(ProtocolError, match="claims to lead term"):
        leader.receive(other, AppendEntries(leader.term, 0, 0, (), 0))


def test_entries_of_a_past_term_are_answered_with_the_present_one() -> None:
    replica = follower()
    replica.receive("b", AppendEntries(2, 0, 0, (Entry(2, b"late"),), 1))
    ready = replica.take_ready()
    assert replica.log == [] and ready.messages[0].message == AppendResponse(3, False, 0)


def test_only_a_leader_takes_proposals() -> None:
    with pytest.raises(NotLeaderError):
        follower().propose(b"command")


# The file

IDENTITY = storage.Identity("north", "a", ("a", "b", "c"))


def a_ready(term: int, first_index: int, *commands: bytes) -> Ready:
    return Ready(HardState(term, "a"), first_index, tuple(Entry(term, c) for c in commands), (), ())


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    storage.create(tmp_path, IDENTITY)
    file = storage.FileStorage(tmp_path, IDENTITY)
    file.save(a_ready(1, 1, b"one", b"two", b"three"))
    file.save(a_ready(2, 2, b"other"))
    file.close()
    return tmp_path


def reopened(folder: Path, identity: storage.Identity = IDENTITY) -> DurableState:
    file = storage.FileStorage(folder, identity)
    file.close()
    return file.state


def test_what_was_saved_is_read_again(folder: Path) -> None:
    assert reopened(folder) == DurableState(HardState(2, "a"), (Entry(1, b"one"), Entry(2, b"other")))


@given(cut=st.integers(1, 200))
def test_a_torn_tail_that_was_never_acknowledged_is_cut(cut: int, tmp_path_factory: pytest.TempPathFactory) -> None:
    folder = tmp_path_factory.mktemp("torn")
    storage.create(folder, IDENTITY)
    file = storage.FileStorage(folder, IDENTITY)
    file.save(a_ready(1, 1, b"one"))
    kept, acknowledged = file.path.read_bytes(), file.offset
    file.save(a_ready(2, 2, b"x" * 200))
    file.close()
    whole = file.path.read_bytes()
    file.path.write_bytes(kept[:20] + whole[20 : max(acknowledged, len(whole) - cut)])
    file = storage.FileStorage(folder, IDENTITY)
    file.save(a_ready(5, 2, b"two"))
    file.close()
    assert reopened(folder) == DurableState(HardState(5, "a"), (Entry(1, b"one"), Entry(5, b"two")))


def test_a_file_that_has_lost_what_was_acknowledged_is_refused(folder: Path) -> None:
    path = folder / storage.FILE_NAME
    path.write_bytes(path.read_bytes()[:-3])
    with pytest.raises(storage.StorageError, match=r"replica\.log: ends at byte \d+, but \d+ bytes were acknowledged"):
        reopened(folder)


def test_any_altered_byte_is_refused(folder: Path) -> None:
    path = folder / storage.FILE_NAME
    whole = path.read_bytes()
    for position in range(len(whole)):
        altered = bytearray(whole)
        altered[position] ^= 0x40
        path.write_bytes(altered)
        with pytest.raises(storage.StorageError, match=r"replica\.log: "):
            reopened(folder)


def test_another_replicas_or_regions_file_is_refused(folder: Path) -> None:
    others = (
        storage.Identity("north", "b", IDENTITY.members),
        storage.Identity("south", "a", IDENTITY.members),
        storage.Identity("north", "a", ("a", "b", "d")),
    )
    for other in others:
        with pytest.raises(storage.StorageError, match="belongs to replica a of region north"):
            reopened(folder, other)


def test_a_file_has_one_process(folder: Path) -> None:
    file = storage.FileStorage(folder, IDENTITY)
    with pytest.raises(storage.StorageError, match="in use by another process"):
        storage.FileStorage(folder, IDENTITY)
    file.close()


def test_no_file_is_made_over_another_and_none_is_opened_that_is_not_there(folder: Path, tmp_path: Path) -> None:
    with pytest.raises(storage.StorageError, match="exists already"):
        storage.create(folder, IDENTITY)
    with pytest.raises(storage.StorageError, match="No such file"):
        storage.FileStorage(tmp_path / "elsewhere", IDENTITY)


def test_the_planted_storage_forgets_entries(folder: Path) -> None:
    file = ForgetGrantStorage(folder, IDENTITY)
    file.save(a_ready(3, 3, b"lost"))
    file.close()
    assert reopened(folder) == DurableState(HardState(3, "a"), (Entry(1, b"one"), Entry(2, b"other")))
