"""A replica with its disk and ledger: nothing is sent or applied before it is stored; proposals get their result."""

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
class Disk:
    """A stub that records what is stored, or fails."""

    saved: list[Ready] = field(default_factory=list)
    full: bool = False

    def save(self, ready: Ready) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        if ready.must_store:
            self.saved.append(ready)

    def close(self) -> None:
        pass


@dataclass
class NodeUnderTest:
    """A node, what it stored and what it sent."""

    node: Node
    disk: Disk
    sent: list[Message]


def start_node(state: DurableState | None = None) -> NodeUnderTest:
    sent: list[Message] = []
    disk = Disk()
    replica = Replica(ReplicaSettings("north-0", MEMBERS, 1), state or DurableState())
    node = Node(replica, disk, Ledger(small_agreement(), "north"), lambda peer, message: sent.append(message))
    return NodeUnderTest(node, disk, sent)


def leading() -> NodeUnderTest:
    started = start_node()
    while started.node.replica.term == 0:
        started.node.tick()
    started.node.receive("north-1", VoteResponse(1, True))
    started.node.receive("north-1", AppendResponse(1, True, 1))
    return started


def test_a_command_is_answered_once_a_majority_has_it() -> None:
    async def test() -> Result:
        started = leading()
        answer = asyncio.create_task(started.node.propose(AdvanceTime(500)))
        await asyncio.sleep(0)
        assert started.disk.saved[-1].entries[-1].command and not answer.done() and started.node.ledger.now_ms == 0
        started.node.receive("north-2", AppendResponse(1, True, 2))
        return await answer

    assert asyncio.run(test()) == Advanced(500)


def test_a_proposal_at_a_deposed_leader_fails_as_uncertain() -> None:
    async def test() -> None:
        started = leading()
        answer = asyncio.create_task(started.node.propose(AdvanceTime(500)))
        await asyncio.sleep(0)
        started.node.receive("north-2", AppendEntries(2, 1, 1, (Entry(2, b""),), 2))
        with pytest.raises(DeposedError):
            await answer
        with pytest.raises(NotLeaderError):
            await started.node.propose(AdvanceTime(600))
        assert started.node.ledger.now_ms == 0

    asyncio.run(test())


def test_a_disk_that_fails_stops_the_replica_before_anything_is_sent() -> None:
    started = start_node(DurableState(HardState(1)))
    started.disk.full = True
    with pytest.raises(FatalError, match="No space left"):
        started.node.receive("north-1", AppendEntries(1, 0, 0, (Entry(1, b""),), 0))
    started.disk.full = False
    with pytest.raises(FatalError, match="has already failed"):
        started.node.tick()
    assert started.sent == []


def test_a_log_with_an_unknown_command_stops_the_replica() -> None:
    started = start_node(DurableState(HardState(1)))
    with pytest.raises(FatalError, match="unreadable command"):
        started.node.receive("north-1", AppendEntries(1, 0, 0, (Entry(1, b"\x81\xa4type\xa3new"),), 1))


def test_an_empty_disk_has_no_file_until_there_is_something_to_store(tmp_path: Path) -> None:
    disk = open_storage(tmp_path / "a", IDENTITY, bootstrap=False)
    assert disk.state is None
    disk.storage.save(Ready(None, 0, (), (), ()))
    assert not storage.exists(tmp_path / "a")
    disk.storage.save(Ready(HardState(5, "", 5), 0, (), (), ()))
    disk.storage.close()
    again = open_storage(tmp_path / "a", IDENTITY, bootstrap=False)
    assert again.state == DurableState(HardState(5, "", 5))
    again.storage.close()


def test_the_storage_with_a_seeded_fault_loses_the_vote(tmp_path: Path) -> None:
    disk = open_storage(tmp_path, IDENTITY, bootstrap=True, storage_type=ForgetVoteStorage)
    disk.storage.save(Ready(HardState(5, "north-1"), 1, (Entry(5, b"kept"),), (), ()))
    disk.storage.close()
    again = open_storage(tmp_path, IDENTITY, bootstrap=False)
    assert again.state == DurableState(HardState(), (Entry(5, b"kept"),))
    again.storage.close()
