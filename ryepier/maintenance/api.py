"""What goes over a coordinator's port, beside the replicas' own messages: greetings, calls and replies."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from ryepier.maintenance.commands import Name, NonNegative
from ryepier.maintenance.replication.messages import Message as ReplicaMessage
from ryepier.maintenance.results import Result

VERSION = 1
ClientKind = Literal["operator", "agent", "region"]
Text = Annotated[str, msgspec.Meta(max_length=2000)]


class PeerHello(msgspec.Struct, tag="peer-hello", frozen=True):
    """The first frame between two replicas of one region; both must hold the same agreement."""

    version: int
    region: Name
    replica: Name
    agreement: str  # its digest


class ClientHello(msgspec.Struct, tag="client-hello", frozen=True):
    """The first frame of anybody else; `region` is the one that is meant."""

    version: int
    region: Name
    name: Name
    kind: ClientKind


class Rejection(msgspec.Struct, tag="refusal", frozen=True):
    """Why the other side is not served; the connection closes behind it."""

    reason: Text


class CommandCall(msgspec.Struct, tag="command-call", frozen=True):
    """Commit this command; the reply comes after the commit."""

    number: NonNegative
    command: bytes


class LeaseCall(msgspec.Struct, tag="lease-call", frozen=True):
    """An agent asks for a window that is due, under a name of its own; the same name again is the same lease."""

    number: NonNegative
    lease: Name


class StatusCall(msgspec.Struct, tag="status-call", frozen=True):
    """What the leader knows."""

    number: NonNegative


class CommandReply(msgspec.Struct, tag="command-reply", frozen=True):
    """What applying the committed command gave."""

    number: NonNegative
    result: Result


class NoWindowReply(msgspec.Struct, tag="no-window-reply", frozen=True):
    """No window is due for an agent."""

    number: NonNegative


class RequestStatus(msgspec.Struct, frozen=True):
    """An open request. `starts_ms` is the region's time of its next window, -1 without one."""

    name: str
    service: str
    remaining: tuple[str, ...]
    deadline_ms: int
    starts_ms: int
    reason: str  # why it waits, or does not fit; empty where neither


class LeaseStatus(msgspec.Struct, frozen=True):
    """An open lease."""

    name: str
    request: str
    agent: str
    token: int
    state: str
    converters: tuple[str, ...]
    unavailable: tuple[str, ...] = msgspec.field(name="out")


class CapacityStatus(msgspec.Struct, frozen=True):
    """A service's capacity in the region, in thousandths."""

    service: str
    available: int = msgspec.field(name="in_force")
    unavailable: int = msgspec.field(name="out")
    lost: int
    allowance: int


class StatusReply(msgspec.Struct, tag="status-reply", frozen=True):
    """The state of a region as its leader has applied it."""

    number: NonNegative
    region: str
    leader: str
    term: int
    applied: int
    now_ms: int
    requests: tuple[RequestStatus, ...]
    leases: tuple[LeaseStatus, ...]
    capacities: tuple[CapacityStatus, ...]


class NotLeaderReply(msgspec.Struct, tag="not-leader-reply", frozen=True):
    """Nothing was done here; `leader` may be asked, or is empty."""

    number: NonNegative
    leader: str


class UncertainReply(msgspec.Struct, tag="uncertain-reply", frozen=True):
    """The replica lost its lead before the command was committed; another leader may commit it yet."""

    number: NonNegative


Call = CommandCall | LeaseCall | StatusCall
Reply = CommandReply | NoWindowReply | StatusReply | NotLeaderReply | UncertainReply
Frame = PeerHello | ClientHello | Rejection | Call | Reply | ReplicaMessage
