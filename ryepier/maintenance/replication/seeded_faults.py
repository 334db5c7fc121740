"""Replicas with one named mistake put in on purpose, to show that the tests and experiments find it."""

from __future__ import annotations

from dataclasses import replace

from ryepier.maintenance.replication.core import Ready, Replica
from ryepier.maintenance.replication.storage import FileStorage


class VoteTwiceReplica(Replica):
    """`vote-twice`: votes for every candidate of a term."""

    def _may_vote_for(self, candidate: str) -> bool:
        """Forget the vote that was given."""
        return True


class ForgetGrantStorage(FileStorage):
    """`forget-grant`: an entry is acknowledged before it is on disk, and lost with the process."""

    def save(self, ready: Ready) -> None:
        """Keep the term and the vote only."""
        super().save(replace(ready, first_index=0, entries=()))


class ForgetVoteStorage(FileStorage):
    """`vote-twice`, over a restart: term and vote are not on disk, so a replica votes again in the same term."""

    def save(self, ready: Ready) -> None:
        """Keep the entries only."""
        super().save(replace(ready, hard_state=None))
