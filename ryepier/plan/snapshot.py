"""Snapshot of a planner: its highest term, and the statuses of ejected and recovering converters.

Evidence is not stored, as the forwarders' complete reports restore it within a second. The file is a header line with
version, checksum and length, followed by one MessagePack map. It is replaced atomically. A file that is truncated,
corrupt, too old or no snapshot at all is rejected, and the planner starts without a snapshot.
"""

from __future__ import annotations

import os
import zlib
from pathlib import Path

import msgspec

from ryepier.errors import RyepierError
from ryepier.plan.messages import Term
from ryepier.plan.plan_computation import ConverterState, ConverterStatus

MAGIC = b"ryepier-plan-1"
MAX_BYTES = 16 * 1024 * 1024
FILE_NAME = "planner.snapshot"


class SnapshotError(RyepierError):
    """The snapshot must not be used; the message gives the reason."""


class Snapshot(msgspec.Struct, frozen=True):
    """Content of a snapshot. `statuses` maps uids to the state, its duration in microseconds, and the recovery step."""

    saved_ms: int  # Unix time
    term: Term
    statuses: dict[str, tuple[ConverterState, int, int]] = msgspec.field(name="judged")

    def restore(self, now_us: int) -> dict[str, ConverterStatus]:
        """Return the statuses with their times converted to the clock of this process, which now shows `now_us`."""
        return {
            uid: ConverterStatus(state, now_us - duration_us, step)
            for uid, (state, duration_us, step) in self.statuses.items()
        }


def take(now_us: int, unix_ms: int, term: Term, statuses: dict[str, ConverterStatus]) -> Snapshot:
    """Return a snapshot of the current statuses."""
    return Snapshot(
        unix_ms, term, {uid: (status.state, now_us - status.since_us, status.step) for uid, status in statuses.items()}
    )


def encode(snapshot: Snapshot) -> bytes:
    """Return the content of the snapshot file."""
    body = msgspec.msgpack.encode(snapshot)
    return b"%s %08x %d\n" % (MAGIC, zlib.crc32(body), len(body)) + body


def decode(data: bytes, unix_ms: int, max_age_ms: int) -> Snapshot:
    """Return the snapshot in `data`. Raises SnapshotError unless it is intact and at most `max_age_ms` old."""
    header, newline, body = data.partition(b"\n")
    if not newline or not header.startswith(MAGIC + b" "):
        raise SnapshotError("file is not a snapshot of this version")
    if header != b"%s %08x %d" % (MAGIC, zlib.crc32(body), len(body)):
        raise SnapshotError("checksum or length differs: file is truncated or altered")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"content can't be decoded: {error}") from None
    age_ms = unix_ms - snapshot.saved_ms
    if not 0 <= age_ms <= max_age_ms:
        raise SnapshotError(f"{age_ms / 1000:.1f} s old; at most {max_age_ms / 1000:.0f} s are allowed")
    return snapshot


def save(folder: Path, snapshot: Snapshot) -> None:
    """Replace the snapshot in `folder` atomically. Raises OSError if it can't be written."""
    temporary_path = folder / (FILE_NAME + ".new")
    with open(temporary_path, "wb") as file:
        file.write(encode(snapshot))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, folder / FILE_NAME)


def load(folder: Path, unix_ms: int, max_age_ms: int) -> Snapshot | None:
    """Return the snapshot in `folder`, or None if there is none. Raises SnapshotError if it is invalid or too old, and
    OSError if it can't be read."""
    try:
        with open(folder / FILE_NAME, "rb") as file:
            data = file.read(MAX_BYTES + 1)
    except FileNotFoundError:
        return None
    if len(data) > MAX_BYTES:
        raise SnapshotError("file exceeds the size limit of snapshots")
    return decode(data, unix_ms, max_age_ms)
