"""The frames that clients and replicas exchange with a coordinator: hellos, calls, replies and replication messages.

Tags and keys on the wire are fixed. A field whose Python name differs from its key sets the key with `name=`, and a
class sets its tag with `tag=`.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from ryepier.maintenance.commands import Name, NonNegative
from ryepier.maintenance.replication.messages import Message as ReplicaMessage
from ryepier.maintenance.results import Result
from ryepier.maintenance.tables import LeaseState

VERSION = 1  # version of the protocol between coordinators and their clients and peers
NO_START_MS = -1  # `starts_ms` of a request that has no scheduled window

ReasonText = Annotated[str, msgspec.Meta(max_length=2000)]


class ClientKind(enum.StrEnum):
    """The kind of a coordinator's client, which determines the commands that it may send."""

    OPERATOR = "operator"
    AGENT = "agent"
    REGION = "region"


class PeerHello(msgspec.Struct, tag="peer-hello", frozen=True):
    """The first frame that a replica sends to a peer; both must have the same agreement."""

    version: int
    region: Name
    replica: Name
    agreement: str  # digest of the sender's agreement


class ClientHello(msgspec.Struct, tag="client-hello", frozen=True):
    """The first frame that a client sends; `region` is the region whose coordinators the client calls."""

    version: int
    region: Name
    name: Name
    kind: ClientKind


class Rejection(msgspec.Struct, tag="refusal", frozen=True):
    """Says why a hello, call or message was rejected; the sender closes the connection after this frame."""

    reason: ReasonText


class _NumberedFrame(msgspec.Struct, frozen=True):
    """A call, or the reply to the call with the same number on the same connection."""

    number: NonNegative


class CommandCall(_NumberedFrame, tag="command-call", frozen=True):
    """Requests the commit of the encoded `command`; the reply is sent after the commit."""

    command: bytes


class LeaseCall(_NumberedFrame, tag="lease-call", frozen=True):
    """Requests a lease on a window that is due. The agent chooses the name; repeating a name returns the same lease."""

    lease: Name


class StatusCall(_NumberedFrame, tag="status-call", frozen=True):
    """Requests the state of the region."""


class CommandReply(_NumberedFrame, tag="command-reply", frozen=True):
    """The result of applying the committed command."""

    result: Result


class NoWindowReply(_NumberedFrame, tag="no-window-reply", frozen=True):
    """The reply to a `LeaseCall` if no window is due."""


class RequestStatus(msgspec.Struct, frozen=True):
    """An open maintenance request.

    `remaining` names the converters that still have to be maintained. `deadline_ms` and `starts_ms`, the start of the
    request's next window, are in the region's time; `starts_ms` is NO_START_MS if no window is scheduled. `reason` says
    why the request is delayed or cannot be scheduled, and is empty otherwise.
    """

    name: str
    service: str
    remaining: tuple[str, ...]
    deadline_ms: int
    starts_ms: int
    reason: str


class LeaseStatus(msgspec.Struct, frozen=True):
    """An open lease; `unavailable` names the converters that have not yet been observed ready and warm again."""

    name: str
    request: str
    agent: str
    token: int
    state: LeaseState
    converters: tuple[str, ...]
    unavailable: tuple[str, ...] = msgspec.field(name="out")


class CapacityStatus(msgspec.Struct, frozen=True):
    """A service's capacity in the region, in thousandths of a unit of capacity.

    `unavailable` is the capacity of converters under a lease, `lost` the capacity that is missing without a lease, and
    `allowance` how much the region may take out of service.
    """

    service: str
    available: int = msgspec.field(name="in_force")
    unavailable: int = msgspec.field(name="out")
    lost: int
    allowance: int


class StatusReply(_NumberedFrame, tag="status-reply", frozen=True):
    """The state of a region after its leader has applied the log up to the index `applied`.

    `now_ms` is the region's time in milliseconds.
    """

    region: str
    leader: str
    term: int
    applied: int
    now_ms: int
    requests: tuple[RequestStatus, ...]
    leases: tuple[LeaseStatus, ...]
    capacities: tuple[CapacityStatus, ...]


class NotLeaderReply(_NumberedFrame, tag="not-leader-reply", frozen=True):
    """The call was not processed because this replica is not the leader; `leader` is empty if it is not known."""

    leader: str


class UncertainReply(_NumberedFrame, tag="uncertain-reply", frozen=True):
    """The replica lost its leadership before the command was committed; another leader may still commit it."""


Call = CommandCall | LeaseCall | StatusCall
Reply = CommandReply | NoWindowReply | StatusReply | NotLeaderReply | UncertainReply
Frame = PeerHello | ClientHello | Rejection | Call | Reply | ReplicaMessage
