"""What a planner keeps over a restart: its highest term, and which converters rest. Evidence is not kept: it comes
anew with the forwarders' whole reports within a second.

The file is one MessagePack list behind a line that holds a version and a checksum. It is replaced as a whole, so a
reader finds the old one or the new one; a torn, foreign or old one is refused, and the planner starts without.
"""

from __future__ import annotations

import os
import zlib
from pathlib import Path

import msgspec

from ryepier.plan.compute import Judged, State
from ryepier.plan.messages import Term

MAGIC = b"ryepier-plan-1"
LONGEST = 16 * 1024 * 1024
NAME = "planner.snapshot"


class SnapshotError(Exception):
    """A snapshot that is not to be trusted; says why."""


class Kept(msgspec.Struct, frozen=True):
    """The content. `judged`: uid to state, for how long it has been so (us), and its step."""

    saved_ms: int  # Unix time
    term: Term
    judged: dict[str, tuple[State, int, int]]

    def revive(self, now_us: int) -> dict[str, Judged]:
        """What was judged, on a new clock."""
        return {uid: Judged(state, now_us - for_us, step) for uid, (state, for_us, step) in self.judged.items()}


def keep(now_us: int, unix_ms: int, term: Term, judged: dict[str, Judged]) -> Kept:
    return Kept(unix_ms, term, {uid: (one.state, now_us - one.since_us, one.step) for uid, one in judged.items()})


def encode(kept: Kept) -> bytes:
    body = msgspec.msgpack.encode(kept)
    return b"%s %08x %d\n" % (MAGIC, zlib.crc32(body), len(body)) + body


def decode(data: bytes, unix_ms: int, oldest_ms: int) -> Kept:
    """The content of a snapshot that is whole and at most `oldest_ms` old. Raises SnapshotError."""
    head, newline, body = data.partition(b"\n")
    if not newline or not head.startswith(MAGIC + b" "):
        raise SnapshotError("not a snapshot of this version")
    if head != b"%s %08x %d" % (MAGIC, zlib.crc32(body), len(body)):
        raise SnapshotError("torn or altered")
    try:
        kept = msgspec.msgpack.decode(body, type=Kept)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"unreadable: {error}") from None
    age_ms = unix_ms - kept.saved_ms
    if not 0 <= age_ms <= oldest_ms:
        raise SnapshotError(f"{age_ms / 1000:.1f} s old; at most {oldest_ms / 1000:.0f} s are trusted")
    return kept


def save(folder: Path, kept: Kept) -> None:
    """Replace the snapshot in `folder`. Raises OSError."""
    new = folder / (NAME + ".new")
    with open(new, "wb") as file:
        file.write(encode(kept))
        file.flush()
        os.fsync(file.fileno())
    os.replace(new, folder / NAME)


def load(folder: Path, unix_ms: int, oldest_ms: int) -> Kept | None:
    """The snapshot in `folder`, or None where there is none. Raises SnapshotError and OSError."""
    try:
        with open(folder / NAME, "rb") as file:
            data = file.read(LONGEST + 1)
    except FileNotFoundError:
        return None
    if len(data) > LONGEST:
        raise SnapshotError("longer than any snapshot")
    return decode(data, unix_ms, oldest_ms)
