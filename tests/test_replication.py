"""Tests of the replicated log with reordered, lost and repeated messages, crashes and wiped disks."""

from __future__ import annotations

import random
from collections.abc import Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.errors import NotLeaderError, ProtocolError
from ryepier.maintenance.replication.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    HardState,
    RequestVote,
    VoteResponse,
)
from ryepier.maintenance.replication.model import DurableState, ReplicaSettings
from ryepier.maintenance.replication.roles import Role
from ryepier.maintenance.replication.seeded_faults import VoteTwiceReplica
from tests.maintenance_replication_cluster import MEMBER_NAMES, ROUNDS_PER_RUN, BrokenInvariantError, Cluster

ACTIONS = (
    "tick", "deliver", "deliver", "repeat", "lose", "propose", "run", "run", "crash", "crash-unsaved", "restart",
    "wipe",
)  # fmt: skip
ACTION_WEIGHTS = {"run": 8, "deliver": 8, "propose": 4, "tick": 4, "restart": 6, "repeat": 2, "lose": 2, "crash": 1,
                  "crash-unsaved": 1}  # fmt: skip
ACTION_WEIGHTS_WITH_WIPES = ACTION_WEIGHTS | {"wipe": 0.2}


def run_random_walk(cluster: Cluster, seed: int, step_count: int, weights: Mapping[str, float]) -> None:
    generator = random.Random(seed)
    for action in generator.choices(tuple(weights), tuple(weights.values()), k=step_count):
        cluster.perform(action, generator.choice(tuple(cluster.members)), generator.randrange(10**6))


event_lists = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.sampled_from(MEMBER_NAMES), st.integers(0, 10**6)), min_size=30, max_size=150
)


@settings(max_examples=150, deadline=None)
@given(st.sampled_from((3, 5)), st.integers(0, 2**32), event_lists)
def test_any_order_of_events_keeps_the_invariants(
    member_count: int, seed: int, drawn_events: list[tuple[str, str, int]]
) -> None:
    cluster = Cluster(member_count, seed)
    for action, name, random_number in drawn_events:
        if name in cluster.members:
            cluster.perform(action, name, random_number)


@pytest.mark.parametrize("weights", [ACTION_WEIGHTS, ACTION_WEIGHTS_WITH_WIPES], ids=["crashes", "wipes"])
@pytest.mark.parametrize("member_count", [3, 5])
def test_long_random_walks_keep_the_invariants_and_commit_entries(
    member_count: int, weights: Mapping[str, float]
) -> None:
    committed_count = 0
    for seed in range(40):
        cluster = Cluster(member_count, seed)
        run_random_walk(cluster, seed, 300, weights)
        committed_count += len(cluster.committed_entries)
    assert committed_count > 40 * 5


def first_broken_invariant(walk_count: int, replica_type: type[Replica] = Replica, loses_entries: bool = False) -> str:
    """Return the invariant that the first failing random walk breaks, or an empty string if all walks pass."""
    for seed in range(walk_count):
        cluster = Cluster(3, seed, replica_type, loses_entries)
        try:
            run_random_walk(cluster, seed, 300, ACTION_WEIGHTS)
        except BrokenInvariantError as error:
            return str(error)
    return ""


def test_voting_twice_is_detected() -> None:
    assert first_broken_invariant(200, VoteTwiceReplica)


def test_acknowledging_unstored_entries_is_detected() -> None:
    assert first_broken_invariant(200, loses_entries=True)


def test_committed_entries_reach_all_members() -> None:
    cluster = Cluster(3, 1)
    leader = cluster.elect()
    for _ in range(200):
        cluster.propose(leader)
    cluster.run(2 * ROUNDS_PER_RUN)
    assert [replica.commit_index for member in cluster.members.values() if (replica := member.replica)] == [
        201,
        201,
        201,
    ]


def test_partitioned_leader_commits_nothing_and_steps_down() -> None:
    cluster = Cluster(3, 1)
    old_leader = cluster.elect()
    replica = cluster.members[old_leader].replica
    assert replica is not None
    commit_index_before = replica.commit_index
    cluster.propose(old_leader)
    cluster.network.clear()
    cluster.run(60, partitioned_member=old_leader)
    new_leader = cluster.leader()
    assert replica.commit_index == commit_index_before and new_leader != old_leader
    for _ in range(60):
        cluster.tick(old_leader)
        cluster.network = [envelope for envelope in cluster.network if old_leader not in envelope[:2]]
    assert not replica.is_leader


def test_follower_far_behind_catches_up() -> None:
    cluster = Cluster(3, 2)
    leader = cluster.elect()
    lagging_follower = next(name for name in cluster.members if name != leader)
    cluster.members[lagging_follower].replica = None
    for _ in range(150):
        cluster.propose(leader)
        cluster.network = [envelope for envelope in cluster.network if lagging_follower not in envelope[:2]]
        cluster.run(1, partitioned_member=lagging_follower)
    cluster.start(lagging_follower)
    cluster.run(30)
    replica = cluster.members[lagging_follower].replica
    assert replica is not None and replica.commit_index >= 150


def test_new_leader_must_commit_an_entry_in_its_term() -> None:
    replica = make_follower((Entry(3, b"old"),))
    while replica.role is not Role.CANDIDATE:
        replica.tick()
    replica.receive("b", VoteResponse(replica.term, True))
    assert replica.is_leader and not replica.has_committed_in_term
    replica.receive("b", AppendResponse(replica.term, True, 2))
    assert replica.has_committed_in_term and replica.commit_index == 2


# A replica that restarts with an empty disk


def restart_with_empty_disk(cluster: Cluster, name: str) -> Replica:
    cluster.members[name].replica = None
    cluster.members[name].disk = None
    cluster.start(name)
    replica = cluster.members[name].replica
    assert replica is not None
    return replica


def test_replica_with_an_empty_disk_neither_votes_nor_becomes_a_candidate() -> None:
    cluster = Cluster(3, 3)
    cluster.elect()
    replica = restart_with_empty_disk(cluster, "a")
    replica.receive("b", RequestVote(99, 50, 50))
    for _ in range(100):
        replica.tick()
    messages = [envelope.message for envelope in replica.take_ready().messages]
    assert replica.role is Role.RECOVERING
    assert not any(isinstance(message, VoteResponse | RequestVote) for message in messages)


def test_recovered_replica_becomes_a_voter_after_an_entry_of_a_later_leader() -> None:
    cluster = Cluster(3, 3)
    leader = cluster.elect()
    cluster.propose(leader)
    cluster.run(ROUNDS_PER_RUN)
    leader_replica = cluster.members[leader].replica
    assert leader_replica is not None
    term = leader_replica.term
    replica = restart_with_empty_disk(cluster, next(name for name in cluster.members if name != leader))
    cluster.run(100)
    assert replica.role in (Role.FOLLOWER, Role.LEADER)
    assert replica.hard_state.recovered_at_term == 0 and replica.term > term
    assert replica.commit_index >= 3


def test_recovering_replica_does_not_vote_while_another_member_is_down() -> None:
    cluster = Cluster(3, 4)
    cluster.elect()
    cluster.members["b"].replica = None
    replica = restart_with_empty_disk(cluster, "a")
    cluster.run(100)
    assert replica.role is Role.RECOVERING
    cluster.start("b")
    cluster.run(100)
    assert replica.role in (Role.FOLLOWER, Role.LEADER)


def test_restarted_learner_is_still_a_learner() -> None:
    replica_settings = ReplicaSettings("a", MEMBER_NAMES[:3], 0)
    learner = Replica(replica_settings, DurableState(HardState(7, "", 7), (Entry(3, b""),)))
    assert learner.role is Role.LEARNER
    learner.receive("b", RequestVote(8, 9, 8))
    assert learner.take_ready().messages == ()


# Messages that no correct member can have sent


def make_follower(entries: tuple[Entry, ...] = ()) -> Replica:
    return Replica(ReplicaSettings("a", MEMBER_NAMES[:3], 0), DurableState(HardState(3), entries))


def test_message_from_a_non_member_is_rejected() -> None:
    with pytest.raises(ProtocolError, match="'x' is not a peer"):
        make_follower().receive("x", RequestVote(9, 0, 0))


def test_committed_entries_are_not_replaced() -> None:
    replica = make_follower((Entry(1, b"one"),))
    replica.receive("b", AppendEntries(3, 1, 1, (), 1))
    with pytest.raises(ProtocolError, match="entry 1 is committed"):
        replica.receive("b", AppendEntries(3, 0, 0, (Entry(3, b"other"),), 0))
    assert replica.log == [Entry(1, b"one")]


def test_second_leader_of_a_term_is_rejected() -> None:
    cluster = Cluster(3, 1)
    leader = cluster.members[cluster.elect()].replica
    assert leader is not None
    peer = leader.settings.peers[0]
    with pytest.raises(ProtocolError, match="claims to lead term"):
        leader.receive(peer, AppendEntries(leader.term, 0, 0, (), 0))


def test_entries_of_an_earlier_term_are_answered_with_the_current_term() -> None:
    replica = make_follower()
    replica.receive("b", AppendEntries(2, 0, 0, (Entry(2, b"late"),), 1))
    ready = replica.take_ready()
    assert replica.log == [] and ready.messages[0].message == AppendResponse(3, False, 0)


def test_only_a_leader_accepts_proposals() -> None:
    with pytest.raises(NotLeaderError):
        make_follower().propose(b"command")
