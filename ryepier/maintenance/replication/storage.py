"""The file that holds a replica's term, vote and log.

    8 bytes   file type
    12 bytes  how far the file has been acknowledged: offset (8), CRC-32 of it (4)
    records   length (4), CRC-32 of the length (4), CRC-32 of the content (4), content

All numbers are big-endian. The first record identifies the replica. A record is on disk (fsync) before `save` returns,
and only then is the acknowledged offset moved behind it. So when the file is opened again, an incomplete record behind
that offset is a write that was never acknowledged, and is truncated; all else that does not match was altered, and the
file is rejected. The offset itself reaches the disk with the next record at the latest: after a loss of power it may
lag, but never runs ahead.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from pathlib import Path
from typing import Protocol

import msgspec

from ryepier.errors import RyepierError
from ryepier.maintenance.replication.messages import Entry, HardState
from ryepier.maintenance.replication.model import DurableState, Ready

FILE_NAME = "replica.log"
FILE_SIGNATURE = b"RYELOG01"
ACKNOWLEDGED_OFFSET = struct.Struct(">QI")
RECORD_HEADER = struct.Struct(">III")
OFFSET_BYTES = 8
LENGTH_BYTES = 4
RECORDS_OFFSET = len(FILE_SIGNATURE) + ACKNOWLEDGED_OFFSET.size
MAX_RECORD_BYTES = 64 * 1024 * 1024


class StorageError(RyepierError):
    """A replica's file cannot be used; the message names it and the reason."""


class Identity(msgspec.Struct, frozen=True):
    """The replica that a file belongs to. Members are fixed, so a file of other members is another region's."""

    region: str
    replica: str
    members: tuple[str, ...]


class Record(msgspec.Struct, frozen=True):
    """One atomic change: a new hard state, and the log from `first_index` on (0: unchanged)."""

    hard_state: HardState | None
    first_index: int
    entries: tuple[Entry, ...]


class Storage(Protocol):
    """Stores what a `Ready` requires to be durable."""

    def save(self, ready: Ready) -> None:
        """Store what is to be durable, and return once it is on disk. Raises OSError, StorageError."""

    def close(self) -> None:
        """Close the file."""


def exists(folder: Path) -> bool:
    """Return whether a replica has stored its state here before."""
    return (folder / FILE_NAME).exists()


def create(folder: Path, identity: Identity) -> None:
    """Write the file of a replica without any entry. Raises StorageError where one exists."""
    path = folder / FILE_NAME
    if path.exists():
        raise StorageError(f"{path}: exists already")
    folder.mkdir(parents=True, exist_ok=True)
    record = _encode_record(msgspec.msgpack.encode(identity))
    temporary_path = path.with_suffix(".new")
    with temporary_path.open("wb") as file:
        file.write(FILE_SIGNATURE + _encode_acknowledged_offset(RECORDS_OFFSET + len(record)) + record)
        file.flush()
        os.fsync(file.fileno())
    temporary_path.rename(path)
    _sync_folder(folder)


class FileStorage:
    """A replica's open file. `state` is what it held when it was opened."""

    def __init__(self, folder: Path, identity: Identity) -> None:
        """Open and check the file. Raises StorageError where it is missing, locked, altered or another replica's."""
        self.path = folder / FILE_NAME
        self.descriptor = self._open_locked()
        try:
            reader = _LogFileReader(self.path, self._read_all(), identity)
            self.state = reader.read()
            if reader.offset < reader.size:
                os.ftruncate(self.descriptor, reader.offset)
                os.fsync(self.descriptor)
        except BaseException:
            os.close(self.descriptor)
            raise
        self.truncated_bytes = reader.size - reader.offset
        self.offset = reader.offset

    def _open_locked(self) -> int:
        """Open the file for this process alone."""
        try:
            descriptor = os.open(self.path, os.O_RDWR | os.O_CLOEXEC)
        except OSError as error:
            raise StorageError(f"{self.path}: {error.strerror}") from error
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise StorageError(f"{self.path}: in use by another process") from error
        return descriptor

    def _read_all(self) -> bytes:
        """Return the whole file."""
        return self.path.read_bytes()

    def save(self, ready: Ready) -> None:
        """Write what a `Ready` requires to be durable; it is on disk when this returns."""
        if not ready.must_store:
            return
        content = msgspec.msgpack.encode(Record(ready.hard_state, ready.first_index, ready.entries))
        record = _encode_record(content)
        self._write_at(record, self.offset)
        os.fsync(self.descriptor)
        self.offset += len(record)
        self._write_at(_encode_acknowledged_offset(self.offset), len(FILE_SIGNATURE))

    def _write_at(self, data: bytes, offset: int) -> None:
        """Write all of `data`."""
        while data:
            written = os.pwrite(self.descriptor, data, offset)
            data = data[written:]
            offset += written

    def close(self) -> None:
        """Close the file and release its lock."""
        os.close(self.descriptor)


class _LogFileReader:
    """Reads a file once, from its start."""

    def __init__(self, path: Path, data: bytes, identity: Identity) -> None:
        """Read the file of the replica `identity`."""
        self.path = path
        self.data = data
        self.size = len(data)
        self.identity = identity
        self.offset = RECORDS_OFFSET
        self.acknowledged_offset = 0

    def read(self) -> DurableState:
        """Return the state after the last complete record; `offset` is then behind it. Raises StorageError."""
        self._read_acknowledged_offset()
        self._check_identity()
        hard_state = HardState()
        entries: list[Entry] = []
        while (content := self._read_next_content()) is not None:
            record = self._decode_record(content)
            hard_state = record.hard_state or hard_state
            if record.first_index > 0:
                entries[record.first_index - 1 :] = record.entries
        if self.offset < self.acknowledged_offset:
            raise StorageError(
                f"{self.path}: ends at byte {self.offset}, but {self.acknowledged_offset} bytes were acknowledged"
            )
        return DurableState(hard_state, tuple(entries))

    def _read_acknowledged_offset(self) -> None:
        """Check the file's type and read how far it was acknowledged."""
        if self.data[: len(FILE_SIGNATURE)] != FILE_SIGNATURE:
            raise StorageError(f"{self.path}: not a replica's log")
        if self.size < RECORDS_OFFSET:
            raise StorageError(f"{self.path}: ends within its head")
        self.acknowledged_offset, checksum = ACKNOWLEDGED_OFFSET.unpack_from(self.data, len(FILE_SIGNATURE))
        if checksum != zlib.crc32(self.data[len(FILE_SIGNATURE) : len(FILE_SIGNATURE) + OFFSET_BYTES]):
            raise StorageError(f"{self.path}: the acknowledged offset does not match its checksum")

    def _check_identity(self) -> None:
        """Raise StorageError for another replica's file."""
        content = self._read_next_content()
        if content is None:
            raise StorageError(f"{self.path}: ends before it says whose it is")
        try:
            stored = msgspec.msgpack.decode(content, type=Identity)
        except msgspec.DecodeError as error:
            raise StorageError(f"{self.path}: does not say whose it is: {error}") from error
        if stored != self.identity:
            raise StorageError(
                f"{self.path}: belongs to {_describe_identity(stored)}, not to {_describe_identity(self.identity)}"
            )

    def _read_next_content(self) -> bytes | None:
        """Return the next record's content; None at the end, or at a torn write that was never acknowledged."""
        content_offset = self.offset + RECORD_HEADER.size
        if content_offset > self.size:
            return None
        length, length_checksum, checksum = RECORD_HEADER.unpack_from(self.data, self.offset)
        if self._is_zero_filled_tail():
            return None
        if (
            length_checksum != zlib.crc32(self.data[self.offset : self.offset + LENGTH_BYTES])
            or length > MAX_RECORD_BYTES
        ):
            raise self._checksum_error("length")
        content = self.data[content_offset : content_offset + length]
        if len(content) < length:
            return None
        if checksum != zlib.crc32(content):
            raise self._checksum_error("content")
        self.offset = content_offset + length
        return content

    def _is_zero_filled_tail(self) -> bool:
        """Return whether only zeros follow, as where the file had grown before its content reached the disk."""
        return self.offset >= self.acknowledged_offset and not any(self.data[self.offset :])

    def _checksum_error(self, part: str) -> StorageError:
        """Return the error for a record that does not match its checksum: an unfinished write would be shorter."""
        return StorageError(f"{self.path}: the {part} of the record at byte {self.offset} does not match its checksum")

    def _decode_record(self, content: bytes) -> Record:
        """Return a record whose checksum matches."""
        try:
            return msgspec.msgpack.decode(content, type=Record)
        except msgspec.DecodeError as error:
            raise StorageError(f"{self.path}: the record before byte {self.offset} is none: {error}") from error


def _encode_record(content: bytes) -> bytes:
    """Return a record with its lengths and checksums. Raises StorageError where it is too long."""
    if len(content) > MAX_RECORD_BYTES:
        raise StorageError(f"a record of {len(content)} bytes is over the limit of {MAX_RECORD_BYTES}")
    length = len(content).to_bytes(LENGTH_BYTES, "big")
    return RECORD_HEADER.pack(len(content), zlib.crc32(length), zlib.crc32(content)) + content


def _encode_acknowledged_offset(offset: int) -> bytes:
    """Return the acknowledged offset with its checksum."""
    return ACKNOWLEDGED_OFFSET.pack(offset, zlib.crc32(offset.to_bytes(OFFSET_BYTES, "big")))


def _describe_identity(identity: Identity) -> str:
    """Describe an identity for messages."""
    return f"replica {identity.replica} of region {identity.region} ({', '.join(identity.members)})"


def _sync_folder(folder: Path) -> None:
    """Make the name of a new file durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
