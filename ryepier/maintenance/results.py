"""The results of applying commands. A rejected command has changed nothing.

Types and keys on the wire are fixed. A class declares its type with `tag=`, and a field whose name differs from its key
declares the key with `name=`.
"""

from __future__ import annotations

import msgspec

from ryepier.maintenance.commands import Transfer


class Accepted(msgspec.Struct, tag="accepted", tag_field="type", frozen=True):
    """The request has been accepted, by this command or an earlier one."""

    request: str


class Cancelled(msgspec.Struct, tag="cancelled", tag_field="type", frozen=True):
    """The request gets no further leases. `revoked` names its leases that were revoked."""

    request: str
    revoked: tuple[str, ...] = msgspec.field(name="called_off", default=())


class Granted(msgspec.Struct, tag="granted", tag_field="type", frozen=True):
    """The agent holds the lease under this fencing token."""

    lease: str
    agent: str
    token: int
    converters: tuple[str, ...]


class DrainStarted(msgspec.Struct, tag="begun", tag_field="type", frozen=True):
    """The agent may drain the lease's converters."""

    lease: str


class Released(msgspec.Struct, tag="released", tag_field="type", frozen=True):
    """The maintenance is done. `unavailable` names the converters still to be observed ready and warm."""

    lease: str
    unavailable: tuple[str, ...] = msgspec.field(name="waiting")


class LeaseRevoked(msgspec.Struct, tag="called-off", tag_field="type", frozen=True):
    """The lease was revoked before its drain started."""

    lease: str


class Observed(msgspec.Struct, tag="observed", tag_field="type", frozen=True):
    """The observation or report was recorded.

    `closed` names the leases that it closed, `revoked` those revoked because too little capacity is available.
    """

    closed: tuple[str, ...] = ()
    revoked: tuple[str, ...] = msgspec.field(name="called_off", default=())


class Debited(msgspec.Struct, tag="debited", tag_field="type", frozen=True):
    """The transfer may be sent, repeatedly, until it is acknowledged."""

    transfer: Transfer


class Credited(msgspec.Struct, tag="credited", tag_field="type", frozen=True):
    """The receiver has credited the transfer, by this command or an earlier one; the giver may acknowledge it."""

    transfer: Transfer


class Acknowledged(msgspec.Struct, tag="acknowledged", tag_field="type", frozen=True):
    """The giver need not send the transfer again."""

    transfer: Transfer


class Advanced(msgspec.Struct, tag="advanced", tag_field="type", frozen=True):
    """The region's time after the command. `missed` names the requests completed because their deadline passed."""

    now_ms: int
    missed: tuple[str, ...] = ()


class AlreadyApplied(msgspec.Struct, tag="already-applied", tag_field="type", frozen=True):
    """The entry at this index had already been applied."""

    index: int


class Rejected(msgspec.Struct, tag="refused", tag_field="type", frozen=True):
    """The command changed nothing. `reason` explains why, in one line."""

    reason: str


Result = (
    Accepted
    | Cancelled
    | Granted
    | DrainStarted
    | Released
    | LeaseRevoked
    | Observed
    | Debited
    | Credited
    | Acknowledged
    | Advanced
    | AlreadyApplied
    | Rejected
)
