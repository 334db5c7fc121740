"""Replicas with one seeded fault each, which the tests and experiments have to detect."""

from __future__ import annotations

from dataclasses import replace

from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.follower import Follower
from ryepier.maintenance.replication.model import Ready
from ryepier.maintenance.replication.storage import FileStorage


class VoteTwiceFollower(Follower):
    """Votes for every candidate of a term."""

    def may_vote_for(self, candidate: str) -> bool:
        """Ignore the vote that was given."""
        return True


class VoteTwiceReplica(Replica):
    """`vote-twice`: votes for every candidate of a term."""

    follower_type = VoteTwiceFollower


class ForgetGrantStorage(FileStorage):
    """`forget-grant`: an entry is acknowledged before it is on disk, and lost with the process."""

    def save(self, ready: Ready) -> None:
        """Store the term and the vote only."""
        super().save(replace(ready, first_index=0, entries=()))


class ForgetVoteStorage(FileStorage):
    """`vote-twice`, over a restart: term and vote are not on disk, so a replica votes again in the same term."""

    def save(self, ready: Ready) -> None:
        """Store the entries only."""
        super().save(replace(ready, hard_state=None))
