"""Replicas and storages with one seeded fault each, which the tests and experiments must detect."""

from __future__ import annotations

from dataclasses import replace

from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.follower import Follower
from ryepier.maintenance.replication.model import Ready
from ryepier.maintenance.replication.storage import FileStorage


class VoteTwiceFollower(Follower):
    """Grants a vote to every candidate of a term."""

    def may_vote_for(self, candidate: str) -> bool:
        """Return True even if this replica has voted for another candidate in the term."""
        return True


class VoteTwiceReplica(Replica):
    """`vote-twice`: grants a vote to every candidate of a term."""

    follower_type = VoteTwiceFollower


class ForgetGrantStorage(FileStorage):
    """`forget-grant`: entries are acknowledged without being written to disk, and are lost at a restart."""

    def save(self, ready: Ready) -> None:
        """Store only the hard state, without the entries."""
        super().save(replace(ready, first_index=0, entries=()))


class ForgetVoteStorage(FileStorage):
    """`vote-twice` across a restart: term and vote are not stored, so a replica may vote again in the same term."""

    def save(self, ready: Ready) -> None:
        """Store only the entries, without the hard state."""
        super().save(replace(ready, hard_state=None))
