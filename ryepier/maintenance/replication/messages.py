"""What the replicas of one region say to one another, and the state that each of them keeps on disk."""

from __future__ import annotations

from typing import Annotated

import msgspec

NOBODY = ""
Term = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Index = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log. An empty command is the no-op that each leader begins its term with."""

    term: Term
    command: bytes


class HardState(msgspec.Struct, frozen=True):
    """What a replica must have on disk before it answers anything that depends on it.

    `recovered_at_term` is above 0 while the replica has lost its disk and may not vote yet: a term above every one that
    it may have voted or answered in before.
    """

    term: Term = 0
    voted_for: str = NOBODY
    recovered_at_term: Term = 0


class RequestVote(msgspec.Struct, frozen=True, tag="request-vote"):
    """A candidate asks for a vote; it tells how far its log goes."""

    term: Term
    last_log_index: Index
    last_log_term: Term


class VoteResponse(msgspec.Struct, frozen=True, tag="vote-response"):
    """The answer to `RequestVote`."""

    term: Term
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, tag="append-entries"):
    """Entries from the leader, behind the one that it names; without entries it is a heartbeat."""

    term: Term
    previous_index: Index
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: Index


class AppendResponse(msgspec.Struct, frozen=True, tag="append-response"):
    """The answer to `AppendEntries`.

    `match_index` is the last index up to which the log is the leader's, where `success`; else an index beyond which
    the leader need not look for agreement.
    """

    term: Term
    success: bool
    match_index: Index


class RecoveryRequest(msgspec.Struct, frozen=True, tag="recovery-request"):
    """A replica that came back with an empty disk asks for the term; `nonce` belongs to this life of it alone."""

    nonce: int


class RecoveryResponse(msgspec.Struct, frozen=True, tag="recovery-response"):
    """The answer to `RecoveryRequest`: the term that this member has on disk."""

    nonce: int
    term: Term


Message = RequestVote | VoteResponse | AppendEntries | AppendResponse | RecoveryRequest | RecoveryResponse


class Envelope(msgspec.Struct, frozen=True):
    """A message and the member that it goes to."""

    receiver: str
    message: Message
