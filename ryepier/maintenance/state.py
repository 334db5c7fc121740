"""What a ledger remembers, and its snapshot.

A snapshot is a line with a version and a checksum, and one MessagePack map. Whole, of this version, region and
agreement, or it is refused.
"""

from __future__ import annotations

import zlib

import msgspec

from ryepier.maintenance.commands import CapacityNeed, Request
from ryepier.maintenance.escrow import Escrow
from ryepier.maintenance.tables import LeaseState

MAGIC = b"ryepier-ledger-1"


class SnapshotError(Exception):
    """A snapshot that is not to be trusted; says why."""


class Lease(msgspec.Struct):
    """The right to have converters out, held by one agent."""

    name: str
    request: str
    agent: str
    token: int
    converters: tuple[str, ...]
    unavailable: list[str] = msgspec.field(name="out")  # of them, those that have not been seen ready and warm again
    granted_ms: int  # the region's time
    state: LeaseState = LeaseState.GRANTED
    released_index: int = msgspec.field(
        name="settled_index", default=0
    )  # of the release or call-off: only what was seen after it counts
    previous_token: int = msgspec.field(name="replaced_token", default=0)  # the token before the last take-over


class RequestRecord(msgspec.Struct):
    """A request that is open."""

    request: Request
    converters: tuple[str, ...]
    submitted_ms: int
    done: list[str] = []
    leases: list[str] = []  # every name ever used for it
    cancelled: bool = False

    def remaining(self) -> list[str]:
        """Converters that have not been maintained."""
        return [name for name in self.converters if name not in self.done]


class ObservedState(msgspec.Struct, frozen=True):
    """The last that was seen of a converter."""

    ready: bool
    warmth: int  # thousandths
    as_of: int  # log index


class PeerRegion(msgspec.Struct, frozen=True):
    """The last that another region told of itself."""

    number: int
    needs: dict[str, CapacityNeed] = msgspec.field(name="standings")


class LedgerState(msgspec.Struct):
    """Everything that applying commands changes."""

    region: str
    digest: str  # of the agreement
    escrow: Escrow
    applied: int = 0
    now_ms: int = 0
    last_token: int = 0
    requests: dict[str, RequestRecord] = {}
    completed: dict[str, Request] = msgspec.field(name="finished", default_factory=dict)  # the last ones, oldest first
    leases: dict[str, Lease] = {}  # the open ones
    observers: dict[str, int] = {}  # the last sequence of each
    observed: dict[str, ObservedState] = msgspec.field(name="seen", default_factory=dict)  # by converter
    peers: dict[str, PeerRegion] = {}

    def open_requests(self) -> list[RequestRecord]:
        """Return the requests that may get leases, oldest first."""
        return [record for record in self.requests.values() if not record.cancelled]


def encode(state: LedgerState) -> bytes:
    """The snapshot of a state."""
    body = msgspec.msgpack.encode(state)
    return _header(body) + body


def decode(data: bytes, region: str, digest: str) -> LedgerState:
    """The state in a snapshot. Raises SnapshotError."""
    head, newline, body = data.partition(b"\n")
    if not newline or not head.startswith(MAGIC + b" "):
        raise SnapshotError("not a snapshot of this version")
    if data[: len(head) + 1] != _header(body):
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
    return b"%s %08x %d\n" % (MAGIC, zlib.crc32(body), len(body))
