"""Errors that a replica raises to its embedding process."""

from __future__ import annotations

from ryepier.errors import RyepierError


class NotLeaderError(RyepierError):
    """The replica is not the leader; `leader` names the last known leader, empty if there is none."""

    def __init__(self, leader: str) -> None:
        """Store the name of the leader, so that the caller can be redirected to it."""
        super().__init__(f"not the leader; last known leader: {leader or 'none'}")
        self.leader = leader


class ProtocolError(RyepierError):
    """A message that no correct member can have sent; the replica ignores it."""
