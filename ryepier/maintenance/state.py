"""The state of a ledger, and its snapshot.

A snapshot is a line with a version and a checksum, followed by one MessagePack map. It is rejected unless it is
complete and of this version, region and agreement. Its keys are fixed: a field with another name here maps to its key
by `name=`.
"""

from __future__ import annotations

import zlib

import msgspec

from ryepier.errors import RyepierError
from ryepier.maintenance.commands import CapacityNeed, Request
from ryepier.maintenance.escrow import Escrow
from ryepier.maintenance.tables import LeaseState

MAGIC = b"ryepier-ledger-1"


class SnapshotError(RyepierError):
    """A snapshot that cannot be trusted, with the reason."""


class Lease(msgspec.Struct):
    """The right of one agent to take converters down.

    `unavailable` names the converters that have not been observed ready and warm again; `granted_ms` is the region's
    time. Only what was observed after `released_index`, the log index of the release or revocation, can close a lease.
    `previous_token` is the fencing token before the last take-over.
    """

    name: str
    request: str
    agent: str
    token: int
    converters: tuple[str, ...]
    unavailable: list[str] = msgspec.field(name="out")
    granted_ms: int
    state: LeaseState = LeaseState.GRANTED
    released_index: int = msgspec.field(name="settled_index", default=0)
    previous_token: int = msgspec.field(name="replaced_token", default=0)


class RequestRecord(msgspec.Struct):
    """A request that is open. `done` names the maintained converters, `leases` every lease ever granted for it."""

    request: Request
    converters: tuple[str, ...]
    submitted_ms: int
    done: list[str] = []
    leases: list[str] = []
    cancelled: bool = False

    def remaining(self) -> list[str]:
        """Return the converters that have not been maintained."""
        return [name for name in self.converters if name not in self.done]


class ObservedState(msgspec.Struct, frozen=True):
    """A converter as it was last observed."""

    ready: bool
    warmth: int  # thousandths
    as_of: int  # log index


class PeerRegion(msgspec.Struct, frozen=True):
    """The last report of another region."""

    number: int
    needs: dict[str, CapacityNeed] = msgspec.field(name="standings")


class LedgerState(msgspec.Struct):
    """Everything that applying commands changes.

    `completed` holds the last completed requests, oldest first; `leases` the open ones; `observers` the last sequence
    of each observer; `observed` and `peers` are by converter and by region.
    """

    region: str
    digest: str  # of the agreement
    escrow: Escrow
    applied: int = 0
    now_ms: int = 0
    last_token: int = 0
    requests: dict[str, RequestRecord] = {}
    completed: dict[str, Request] = msgspec.field(name="finished", default_factory=dict)
    leases: dict[str, Lease] = {}
    observers: dict[str, int] = {}
    observed: dict[str, ObservedState] = msgspec.field(name="seen", default_factory=dict)
    peers: dict[str, PeerRegion] = {}

    def open_requests(self) -> list[RequestRecord]:
        """Return the requests that may get leases, oldest first."""
        return [record for record in self.requests.values() if not record.cancelled]


def encode(state: LedgerState) -> bytes:
    """Return the snapshot of a state."""
    body = msgspec.msgpack.encode(state)
    return _header(body) + body


def decode(data: bytes, region: str, digest: str) -> LedgerState:
    """Return the state in a snapshot. Raises SnapshotError."""
    header, newline, body = data.partition(b"\n")
    if not newline or not header.startswith(MAGIC + b" "):
        raise SnapshotError("not a snapshot of this version")
    if data[: len(header) + 1] != _header(body):
        raise SnapshotError("torn or altered")
    try:
        state = msgspec.msgpack.decode(body, type=LedgerState)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SnapshotError(f"unreadable: {error}") from None
    if state.region != region:
        raise SnapshotError(f"of region {state.region!r}, not of {region!r}")
    if state.digest != digest:
        raise SnapshotError("made under another agreement")
    return state


def _header(body: bytes) -> bytes:
    """Return the line before the body."""
    return b"%s %08x %d\n" % (MAGIC, zlib.crc32(body), len(body))
