"""The messages between the replicas of one region, and the state that each of them stores."""

from __future__ import annotations

from typing import Annotated

import msgspec

NO_MEMBER = ""  # in place of a member's name
Term = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Index = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log. An empty command is the no-op entry with which each leader begins its term."""

    term: Term
    command: bytes


class HardState(msgspec.Struct, frozen=True):
    """What a replica must have on disk before it sends anything that depends on it.

    `recovered_at_term` is above 0 while the replica has lost its disk and may not vote yet: a term above every one in
    which it may have voted or answered before.
    """

    term: Term = 0
    voted_for: str = NO_MEMBER
    recovered_at_term: Term = 0


class RequestVote(msgspec.Struct, frozen=True, tag="request-vote"):
    """Request a vote; the last entry shows how up to date the candidate's log is."""

    term: Term
    last_log_index: Index
    last_log_term: Term


class VoteResponse(msgspec.Struct, frozen=True, tag="vote-response"):
    """The answer to `RequestVote`."""

    term: Term
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, tag="append-entries"):
    """Append entries behind the one that is named; without entries it is a heartbeat."""

    term: Term
    previous_index: Index
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: Index


class AppendResponse(msgspec.Struct, frozen=True, tag="append-response"):
    """The answer to `AppendEntries`.

    `match_index` is the last index up to which the log agrees with the leader's, where `success`; else an index beyond
    which the leader need not search for agreement.
    """

    term: Term
    success: bool
    match_index: Index


class RecoveryRequest(msgspec.Struct, frozen=True, tag="recovery-request"):
    """Request the term of another member, after the loss of a disk; `nonce` identifies the sender's incarnation."""

    nonce: int


class RecoveryResponse(msgspec.Struct, frozen=True, tag="recovery-response"):
    """The answer to `RecoveryRequest`: the term that this member has stored."""

    nonce: int
    term: Term


Message = RequestVote | VoteResponse | AppendEntries | AppendResponse | RecoveryRequest | RecoveryResponse


class Envelope(msgspec.Struct, frozen=True):
    """A message and the member that receives it."""

    receiver: str
    message: Message
