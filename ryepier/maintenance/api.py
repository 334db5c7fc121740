"""The frames on a coordinator's port beside the replicas' own messages: greetings, calls and replies.

Tags and keys on the wire are fixed: a field with another name here maps to its key by `name=`, a class by its tag.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from ryepier.maintenance.commands import Name, NonNegative
from ryepier.maintenance.replication.messages import Message as ReplicaMessage
from ryepier.maintenance.results import Result
from ryepier.maintenance.tables import LeaseState

VERSION = 1
NO_START_MS = -1  # of a request without a scheduled window

Text = Annotated[str, msgspec.Meta(max_length=2000)]


class ClientKind(enum.StrEnum):
    """Who calls a coordinator; decides which commands it may give."""

    OPERATOR = "operator"
    AGENT = "agent"
    REGION = "region"


class PeerHello(msgspec.Struct, tag="peer-hello", frozen=True):
    """The first frame between two replicas of one region; both must hold the same agreement."""

    version: int
    region: Name
    replica: Name
    agreement: str  # its digest


class ClientHello(msgspec.Struct, tag="client-hello", frozen=True):
    """The first frame of any other caller; `region` is the one that it wants to reach."""

    version: int
    region: Name
    name: Name
    kind: ClientKind


class Rejection(msgspec.Struct, tag="refusal", frozen=True):
    """The other side is not served, for this reason; the connection closes after this frame."""

    reason: Text


class _Numbered(msgspec.Struct, frozen=True):
    """A call, or the reply to the call of the same number on the same connection."""

    number: NonNegative


class CommandCall(_Numbered, tag="command-call", frozen=True):
    """Commit this command; the reply follows the commit."""

    command: bytes


class LeaseCall(_Numbered, tag="lease-call", frozen=True):
    """An agent asks for a window that is due, under a name that it chooses; the same name is the same lease."""

    lease: Name


class StatusCall(_Numbered, tag="status-call", frozen=True):
    """Report the region's state."""


class CommandReply(_Numbered, tag="command-reply", frozen=True):
    """The result of applying the committed command."""

    result: Result


class NoWindowReply(_Numbered, tag="no-window-reply", frozen=True):
    """No window is due."""


class RequestStatus(msgspec.Struct, frozen=True):
    """An open request.

    `starts_ms` is the region's time of its next window, NO_START_MS without one. `reason` is why the request waits or
    does not fit; empty where neither.
    """

    name: str
    service: str
    remaining: tuple[str, ...]
    deadline_ms: int
    starts_ms: int
    reason: str


class LeaseStatus(msgspec.Struct, frozen=True):
    """An open lease."""

    name: str
    request: str
    agent: str
    token: int
    state: LeaseState
    converters: tuple[str, ...]
    unavailable: tuple[str, ...] = msgspec.field(name="out")


class CapacityStatus(msgspec.Struct, frozen=True):
    """A service's capacity in the region, in thousandths."""

    service: str
    available: int = msgspec.field(name="in_force")
    unavailable: int = msgspec.field(name="out")
    lost: int
    allowance: int


class StatusReply(_Numbered, tag="status-reply", frozen=True):
    """The state of a region as its leader has applied it."""

    region: str
    leader: str
    term: int
    applied: int
    now_ms: int
    requests: tuple[RequestStatus, ...]
    leases: tuple[LeaseStatus, ...]
    capacities: tuple[CapacityStatus, ...]


class NotLeaderReply(_Numbered, tag="not-leader-reply", frozen=True):
    """Nothing was done here; ask `leader`, where it is not empty."""

    leader: str


class UncertainReply(_Numbered, tag="uncertain-reply", frozen=True):
    """The replica lost its leadership before the command was committed; another leader may still commit it."""


Call = CommandCall | LeaseCall | StatusCall
Reply = CommandReply | NoWindowReply | StatusReply | NotLeaderReply | UncertainReply
Frame = PeerHello | ClientHello | Rejection | Call | Reply | ReplicaMessage
