"""The messages that the replicas of one region exchange, and the state that each replica stores."""

from __future__ import annotations

from typing import Annotated

import msgspec

NO_MEMBER = ""  # an unknown leader, or no vote
Term = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Index = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log. An empty command is the no-op entry that each leader appends at the start of its term."""

    term: Term
    command: bytes


class HardState(msgspec.Struct, frozen=True):
    """The state that must be on disk before the replica sends any message that depends on it.

    `recovered_at_term` is positive while a replica that has lost its disk may not vote yet. It is higher than every
    term in which the replica may have voted or responded before the loss.
    """

    term: Term = 0
    voted_for: str = NO_MEMBER
    recovered_at_term: Term = 0


class RequestVote(msgspec.Struct, frozen=True, tag="request-vote"):
    """A request for a vote. The index and term of the last entry show how up to date the candidate's log is."""

    term: Term
    last_log_index: Index
    last_log_term: Term


class VoteResponse(msgspec.Struct, frozen=True, tag="vote-response"):
    """The response to `RequestVote`."""

    term: Term
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, tag="append-entries"):
    """Entries to append after the entry at `previous_index`; a message without entries is a heartbeat."""

    term: Term
    previous_index: Index
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: Index


class AppendResponse(msgspec.Struct, frozen=True, tag="append-response"):
    """The response to `AppendEntries`.

    If `success`, `match_index` is the last index up to which the log is known to match the leader's. Otherwise the
    leader continues to search for the last matching entry at `match_index` or below.
    """

    term: Term
    success: bool
    match_index: Index


class RecoveryRequest(msgspec.Struct, frozen=True, tag="recovery-request"):
    """A request for a member's term, sent after the loss of a disk; `nonce` identifies the sender's process."""

    nonce: int


class RecoveryResponse(msgspec.Struct, frozen=True, tag="recovery-response"):
    """The response to `RecoveryRequest`, with the term that the responding member has stored."""

    nonce: int
    term: Term


Message = RequestVote | VoteResponse | AppendEntries | AppendResponse | RecoveryRequest | RecoveryResponse


class Envelope(msgspec.Struct, frozen=True):
    """A message and the name of the member that it is sent to."""

    receiver: str
    message: Message
