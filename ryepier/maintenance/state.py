"""The state of a ledger, and the encoding of its snapshots.

A snapshot is a header line with a version, a checksum and a length, followed by one MessagePack map. It is rejected
unless it is complete and belongs to this version, region and agreement. Its keys are fixed; a field whose name
differs from its key declares the key with `name=`.
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
    """A snapshot was rejected; the message gives the reason."""


class Lease(msgspec.Struct):
    """The right of one agent to take converters down.

    `unavailable` names the converters that have not yet been observed ready and warm again. `granted_at_ms` is in the
    region's time. `released_index` is the log index of the release or revocation; only observations that began after it
    can close the lease. `previous_token` is the fencing token before the last take-over.
    """

    name: str
    request: str
    agent: str
    token: int
    converters: tuple[str, ...]
    unavailable: list[str] = msgspec.field(name="out")
    granted_at_ms: int = msgspec.field(name="granted_ms")
    state: LeaseState = LeaseState.GRANTED
    released_index: int = msgspec.field(name="settled_index", default=0)
    previous_token: int = msgspec.field(name="replaced_token", default=0)


class RequestRecord(msgspec.Struct):
    """An open request. `done` names the converters already maintained, `leases` every lease ever granted for it.

    `submitted_at_ms` is in the region's time.
    """

    request: Request
    converters: tuple[str, ...]
    submitted_at_ms: int = msgspec.field(name="submitted_ms")
    done: list[str] = []
    leases: list[str] = []
    cancelled: bool = False

    def remaining_converters(self) -> list[str]:
        """Return the names of the converters that have not been maintained yet."""
        return [name for name in self.converters if name not in self.done]


class ObservedState(msgspec.Struct, frozen=True):
    """The last observed state of a converter."""

    ready: bool
    warmth: int  # thousandths
    as_of: int  # highest log index applied before the observation began


class PeerReport(msgspec.Struct, frozen=True):
    """The last report of another region's capacity needs, by service, and the number of the report."""

    number: int
    needs: dict[str, CapacityNeed] = msgspec.field(name="standings")


class LedgerState(msgspec.Struct):
    """The complete state of a ledger, changed only by applying commands.

    `requests` and `leases` hold the open requests and leases by name, `completed` the most recently completed requests,
    oldest first. `observers` holds the last sequence number by observer, `observed` the last observed state by
    converter, `peers` the last report by region. `now_ms` is the region's time.
    """

    region: str
    digest: str  # SHA-256 hash of the agreement file
    escrow: Escrow
    applied: int = 0  # log index of the last applied command
    now_ms: int = 0
    last_token: int = 0
    requests: dict[str, RequestRecord] = {}
    completed: dict[str, Request] = msgspec.field(name="finished", default_factory=dict)
    leases: dict[str, Lease] = {}
    observers: dict[str, int] = {}
    observed: dict[str, ObservedState] = msgspec.field(name="seen", default_factory=dict)
    peers: dict[str, PeerReport] = {}

    def open_requests(self) -> list[RequestRecord]:
        """Return the requests that can still get leases, oldest first."""
        return [record for record in self.requests.values() if not record.cancelled]


def encode(state: LedgerState) -> bytes:
    """Encode a state as a snapshot."""
    body = msgspec.msgpack.encode(state)
    return _header(body) + body


def decode(data: bytes, region: str, digest: str) -> LedgerState:
    """Decode a snapshot. Raises SnapshotError if it is damaged or belongs to another version, region or agreement."""
    header, newline, body = data.partition(b"\n")
    if not newline or not header.startswith(MAGIC + b" "):
        raise SnapshotError("not a snapshot of this version")
    if data[: len(header) + 1] != _header(body):
        raise SnapshotError("truncated or altered")
    try:
        state = msgspec.msgpack.decode(body, type=LedgerState)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SnapshotError(f"unreadable: {error}") from None
    if state.region != region:
        raise SnapshotError(f"taken in region {state.region!r}, not in {region!r}")
    if state.digest != digest:
        raise SnapshotError("taken under another agreement")
    return state


def _header(body: bytes) -> bytes:
    """Return the header line of a snapshot: version, and CRC-32 checksum and length of `body`."""
    return b"%s %08x %d\n" % (MAGIC, zlib.crc32(body), len(body))
