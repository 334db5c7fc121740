"""Snapshot of a planner: its highest term, and the converters' statuses.

Evidence is not stored: it is rebuilt from the forwarders' complete reports within a second. The file is one MessagePack
list behind a line that holds a version and a checksum. It is replaced atomically; a torn, foreign or old one is
rejected, and the planner starts without.
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
    """A snapshot that must not be used, with the reason."""


class Snapshot(msgspec.Struct, frozen=True):
    """The content; `statuses` by uid: the state, for how long (us), and the step of the recovery."""

    saved_ms: int  # Unix time
    term: Term
    statuses: dict[str, tuple[ConverterState, int, int]] = msgspec.field(name="judged")

    def restore(self, now_us: int) -> dict[str, ConverterStatus]:
        """Return the statuses on a new clock."""
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
    """Return the content of the file."""
    body = msgspec.msgpack.encode(snapshot)
    return b"%s %08x %d\n" % (MAGIC, zlib.crc32(body), len(body)) + body


def decode(data: bytes, unix_ms: int, max_age_ms: int) -> Snapshot:
    """Return a snapshot that is intact and at most `max_age_ms` old. Raises SnapshotError."""
    header, newline, body = data.partition(b"\n")
    if not newline or not header.startswith(MAGIC + b" "):
        raise SnapshotError("not a snapshot of this version")
    if header != b"%s %08x %d" % (MAGIC, zlib.crc32(body), len(body)):
        raise SnapshotError("torn or altered")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"unreadable: {error}") from None
    age_ms = unix_ms - snapshot.saved_ms
    if not 0 <= age_ms <= max_age_ms:
        raise SnapshotError(f"{age_ms / 1000:.1f} s old; at most {max_age_ms / 1000:.0f} s are trusted")
    return snapshot


def save(folder: Path, snapshot: Snapshot) -> None:
    """Replace the snapshot in `folder`. Raises OSError."""
    temporary_path = folder / (FILE_NAME + ".new")
    with open(temporary_path, "wb") as file:
        file.write(encode(snapshot))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, folder / FILE_NAME)


def load(folder: Path, unix_ms: int, max_age_ms: int) -> Snapshot | None:
    """Return the snapshot in `folder`, or None without one. Raises SnapshotError and OSError."""
    try:
        with open(folder / FILE_NAME, "rb") as file:
            data = file.read(MAX_BYTES + 1)
    except FileNotFoundError:
        return None
    if len(data) > MAX_BYTES:
        raise SnapshotError("longer than any snapshot")
    return decode(data, unix_ms, max_age_ms)
