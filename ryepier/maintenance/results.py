"""The results of applying commands. A rejected command has changed nothing.

Tags and keys on the wire are fixed: a field with another name here maps to its key by `name=`, a class by its tag.
"""

from __future__ import annotations

import msgspec

from ryepier.maintenance.commands import Transfer


class Accepted(msgspec.Struct, tag="accepted", tag_field="type", frozen=True):
    """The request is open."""

    request: str


class Cancelled(msgspec.Struct, tag="cancelled", tag_field="type", frozen=True):
    """The request gets no further leases; `revoked` names those that were revoked."""

    request: str
    revoked: tuple[str, ...] = msgspec.field(name="called_off", default=())


class Granted(msgspec.Struct, tag="granted", tag_field="type", frozen=True):
    """The agent holds the lease under this fencing token."""

    lease: str
    agent: str
    token: int
    converters: tuple[str, ...]


class DrainStarted(msgspec.Struct, tag="begun", tag_field="type", frozen=True):
    """The agent may drain."""

    lease: str


class Released(msgspec.Struct, tag="released", tag_field="type", frozen=True):
    """The maintenance is done; `unavailable` names converters that have not been observed ready and warm since."""

    lease: str
    unavailable: tuple[str, ...] = msgspec.field(name="waiting")


class LeaseRevoked(msgspec.Struct, tag="called-off", tag_field="type", frozen=True):
    """The lease was revoked before its drain started."""

    lease: str


class Observed(msgspec.Struct, tag="observed", tag_field="type", frozen=True):
    """The observation was recorded. It closed the leases `closed`; those in `revoked` were revoked for a loss."""

    closed: tuple[str, ...] = ()
    revoked: tuple[str, ...] = msgspec.field(name="called_off", default=())


class Debited(msgspec.Struct, tag="debited", tag_field="type", frozen=True):
    """The transfer may be sent, again and again, until it is acknowledged."""

    transfer: Transfer


class Credited(msgspec.Struct, tag="credited", tag_field="type", frozen=True):
    """The receiver has counted the transfer, now or before; the giver may acknowledge it."""

    transfer: Transfer


class Acknowledged(msgspec.Struct, tag="acknowledged", tag_field="type", frozen=True):
    """The giver need not send the transfer again."""

    transfer: Transfer


class Advanced(msgspec.Struct, tag="advanced", tag_field="type", frozen=True):
    """The region's time after the command; `missed` names requests that were given up at their deadline."""

    now_ms: int
    missed: tuple[str, ...] = ()


class AlreadyApplied(msgspec.Struct, tag="already-applied", tag_field="type", frozen=True):
    """The entry at this index was applied before."""

    index: int


class Rejected(msgspec.Struct, tag="refused", tag_field="type", frozen=True):
    """Nothing was changed; `reason` is one line that names the obstacle."""

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
