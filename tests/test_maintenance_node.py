"""Tests of `Node` and storage: state is stored before messages are sent, and proposals get their results."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from ryepier.maintenance.commands import AdvanceTime
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.node import DeposedError, FatalError, Node
from ryepier.maintenance.replica_disk import open_storage
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.errors import NotLeaderError
from ryepier.maintenance.replication.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    HardState,
    Message,
    VoteResponse,
)
from ryepier.maintenance.replication.model import DurableState, Ready, ReplicaSettings
from ryepier.maintenance.replication.seeded_faults import ForgetVoteStorage
from ryepier.maintenance.results import Advanced, Result
from tests.maintenance_world import small_agreement

MEMBERS = ("north-0", "north-1", "north-2")
IDENTITY = storage.Identity("north", "north-0", MEMBERS)


@dataclass
class StubDisk:
    """A stub of the storage that records what is saved; while `is_full`, saving fails."""

    saved_updates: list[Ready] = field(default_factory=list)
    is_full: bool = False

    def save(self, ready: Ready) -> None:
        if self.is_full:
            raise OSError(28, "No space left on device")
        if ready.must_store:
            self.saved_updates.append(ready)

    def close(self) -> None:
        pass


@dataclass
class NodeUnderTest:
    """A node with its stub storage and the messages that it has sent."""

    node: Node
    disk: StubDisk
    sent_messages: list[Message]


def start_node(state: DurableState | None = None) -> NodeUnderTest:
    sent_messages: list[Message] = []
    disk = StubDisk()
    replica = Replica(ReplicaSettings("north-0", MEMBERS, 1), state or DurableState())
    node = Node(replica, disk, Ledger(small_agreement(), "north"), lambda peer, message: sent_messages.append(message))
    return NodeUnderTest(node, disk, sent_messages)


def start_leader() -> NodeUnderTest:
    node_under_test = start_node()
    while node_under_test.node.replica.term == 0:
        node_under_test.node.tick()
    node_under_test.node.receive("north-1", VoteResponse(1, True))
    node_under_test.node.receive("north-1", AppendResponse(1, True, 1))
    return node_under_test


def test_command_is_answered_after_a_majority_has_stored_it() -> None:
    async def scenario() -> Result:
        node_under_test = start_leader()
        proposal = asyncio.create_task(node_under_test.node.propose(AdvanceTime(500)))
        await asyncio.sleep(0)
        assert (
            node_under_test.disk.saved_updates[-1].entries[-1].command
            and not proposal.done()
            and node_under_test.node.ledger.now_ms == 0
        )
        node_under_test.node.receive("north-2", AppendResponse(1, True, 2))
        return await proposal

    assert asyncio.run(scenario()) == Advanced(500)


def test_pending_proposal_fails_when_the_leader_is_deposed() -> None:
    async def scenario() -> None:
        node_under_test = start_leader()
        proposal = asyncio.create_task(node_under_test.node.propose(AdvanceTime(500)))
        await asyncio.sleep(0)
        node_under_test.node.receive("north-2", AppendEntries(2, 1, 1, (Entry(2, b""),), 2))
        with pytest.raises(DeposedError):
            await proposal
        with pytest.raises(NotLeaderError):
            await node_under_test.node.propose(AdvanceTime(600))
        assert node_under_test.node.ledger.now_ms == 0

    asyncio.run(scenario())


def test_disk_failure_stops_the_replica_before_it_sends() -> None:
    node_under_test = start_node(DurableState(HardState(1)))
    node_under_test.disk.is_full = True
    with pytest.raises(FatalError, match="No space left"):
        node_under_test.node.receive("north-1", AppendEntries(1, 0, 0, (Entry(1, b""),), 0))
    node_under_test.disk.is_full = False
    with pytest.raises(FatalError, match="has already failed"):
        node_under_test.node.tick()
    assert node_under_test.sent_messages == []


def test_unknown_command_in_the_log_stops_the_replica() -> None:
    node_under_test = start_node(DurableState(HardState(1)))
    with pytest.raises(FatalError, match="unreadable command"):
        node_under_test.node.receive("north-1", AppendEntries(1, 0, 0, (Entry(1, b"\x81\xa4type\xa3new"),), 1))


def test_lazy_storage_creates_its_file_at_the_first_write(tmp_path: Path) -> None:
    opened_storage = open_storage(tmp_path / "a", IDENTITY, bootstrap=False)
    assert opened_storage.state is None
    opened_storage.storage.save(Ready(None, 0, (), (), ()))
    assert not storage.exists(tmp_path / "a")
    opened_storage.storage.save(Ready(HardState(5, "", 5), 0, (), (), ()))
    opened_storage.storage.close()
    reopened_storage = open_storage(tmp_path / "a", IDENTITY, bootstrap=False)
    assert reopened_storage.state == DurableState(HardState(5, "", 5))
    reopened_storage.storage.close()


def test_forget_vote_storage_loses_the_vote(tmp_path: Path) -> None:
    opened_storage = open_storage(tmp_path, IDENTITY, bootstrap=True, storage_type=ForgetVoteStorage)
    opened_storage.storage.save(Ready(HardState(5, "north-1"), 1, (Entry(5, b"kept"),), (), ()))
    opened_storage.storage.close()
    reopened_storage = open_storage(tmp_path, IDENTITY, bootstrap=False)
    assert reopened_storage.state == DurableState(HardState(), (Entry(5, b"kept"),))
    reopened_storage.storage.close()
