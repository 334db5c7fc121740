"""Errors that a replica raises to the process that embeds it."""

from __future__ import annotations

from ryepier.errors import RyepierError


class NotLeaderError(RyepierError):
    """Only the leader accepts proposals; `leader` is the last known one, or empty."""

    def __init__(self, leader: str) -> None:
        """Keep the name of the member to ask instead."""
        super().__init__(f"not the leader; last heard of: {leader or 'none'}")
        self.leader = leader


class ProtocolError(RyepierError):
    """A message that no correct member can have sent; it changes nothing."""
