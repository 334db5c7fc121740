"""The file that holds a replica's term, vote and log.

    8 bytes   file signature
    12 bytes  acknowledged offset (8), CRC-32 of the acknowledged offset (4)
    records   length (4), CRC-32 of the length (4), CRC-32 of the content (4), content

All numbers are big-endian. The first record identifies the replica. `save` first writes a record to disk (fsync) and
then advances the acknowledged offset past it. When the file is opened again, an incomplete record after that offset is
therefore a write that was never acknowledged, and is truncated. Any other mismatch means that the file was altered, and
the file is rejected. The acknowledged offset itself is synced to disk with the next record at the latest: after a power
failure it may be too low, but never too high.
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
ACKNOWLEDGED_OFFSET_FORMAT = struct.Struct(">QI")
RECORD_HEADER_FORMAT = struct.Struct(">III")
OFFSET_BYTES = 8
LENGTH_BYTES = 4
RECORDS_OFFSET = len(FILE_SIGNATURE) + ACKNOWLEDGED_OFFSET_FORMAT.size
MAX_RECORD_BYTES = 64 * 1024 * 1024


class StorageError(RyepierError):
    """A replica's log file cannot be used; the message has the path and the reason."""


class Identity(msgspec.Struct, frozen=True):
    """The replica that a file belongs to. A region's members are fixed, so a file with other members is rejected."""

    region: str
    replica: str
    members: tuple[str, ...]


class Record(msgspec.Struct, frozen=True):
    """One atomic change: a new hard state (None if unchanged), and the log from `first_index` on (0 if unchanged)."""

    hard_state: HardState | None
    first_index: int
    entries: tuple[Entry, ...]


class Storage(Protocol):
    """Durable storage for the state that a `Ready` contains."""

    def save(self, ready: Ready) -> None:
        """Store the hard state and the entries; return once they are on disk. Raises OSError or StorageError."""

    def close(self) -> None:
        """Close the file."""


def exists(folder: Path) -> bool:
    """Return whether a folder has a replica's log file."""
    return (folder / FILE_NAME).exists()


def create(folder: Path, identity: Identity) -> None:
    """Create the log file of a replica, without entries. Raises StorageError if the file already exists."""
    path = folder / FILE_NAME
    if path.exists():
        raise StorageError(f"{path}: already exists")
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
    """A replica's log file, locked by this process. `state` is the state that was read when the file was opened."""

    def __init__(self, folder: Path, identity: Identity) -> None:
        """Open the file, check it, and truncate an unfinished write at its end.

        Raises StorageError if the file is missing, locked, altered or belongs to another replica.
        """
        self.path = folder / FILE_NAME
        self.descriptor = self._open_locked()
        try:
            reader = _LogFileReader(self.path, self._read_file(), identity)
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
        """Open the file and lock it exclusively. Raises StorageError if it is missing or locked by another process."""
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

    def _read_file(self) -> bytes:
        """Return the content of the whole file."""
        return self.path.read_bytes()

    def save(self, ready: Ready) -> None:
        """Write the hard state and entries of a `Ready`; they are on disk when this method returns."""
        if not ready.must_store:
            return
        content = msgspec.msgpack.encode(Record(ready.hard_state, ready.first_index, ready.entries))
        record = _encode_record(content)
        self._write_at(record, self.offset)
        os.fsync(self.descriptor)
        self.offset += len(record)
        self._write_at(_encode_acknowledged_offset(self.offset), len(FILE_SIGNATURE))

    def _write_at(self, data: bytes, offset: int) -> None:
        """Write all of `data` at an offset; a single write call may write only a part of it."""
        while data:
            written_bytes = os.pwrite(self.descriptor, data, offset)
            data = data[written_bytes:]
            offset += written_bytes

    def close(self) -> None:
        """Close the file and release its lock."""
        os.close(self.descriptor)


class _LogFileReader:
    """Reads and checks the content of a log file once, from its start."""

    def __init__(self, path: Path, data: bytes, identity: Identity) -> None:
        """Start at the first record; `data` is the content of the file, which must belong to the replica `identity`."""
        self.path = path
        self.data = data
        self.size = len(data)
        self.identity = identity
        self.offset = RECORDS_OFFSET
        self.acknowledged_offset = 0

    def read(self) -> DurableState:
        """Return the state after the last complete record, and leave `offset` at the end of that record.

        Raises StorageError if the file was altered or truncated, or belongs to another replica.
        """
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
        """Check the file signature and read the acknowledged offset. Raises StorageError."""
        if self.data[: len(FILE_SIGNATURE)] != FILE_SIGNATURE:
            raise StorageError(f"{self.path}: not a replica's log file")
        if self.size < RECORDS_OFFSET:
            raise StorageError(f"{self.path}: file header truncated")
        self.acknowledged_offset, checksum = ACKNOWLEDGED_OFFSET_FORMAT.unpack_from(self.data, len(FILE_SIGNATURE))
        if checksum != zlib.crc32(self.data[len(FILE_SIGNATURE) : len(FILE_SIGNATURE) + OFFSET_BYTES]):
            raise StorageError(f"{self.path}: the acknowledged offset does not match its checksum")

    def _check_identity(self) -> None:
        """Raise StorageError if the first record does not identify the expected replica."""
        content = self._read_next_content()
        if content is None:
            raise StorageError(f"{self.path}: identity record missing or incomplete")
        try:
            stored_identity = msgspec.msgpack.decode(content, type=Identity)
        except msgspec.DecodeError as error:
            raise StorageError(f"{self.path}: unreadable identity record: {error}") from error
        if stored_identity != self.identity:
            raise StorageError(
                f"{self.path}: belongs to {_describe_identity(stored_identity)}, "
                f"not to {_describe_identity(self.identity)}"
            )

    def _read_next_content(self) -> bytes | None:
        """Return the content of the next record; None at the end of the file or at an incomplete record.

        Raises StorageError if a checksum does not match.
        """
        content_offset = self.offset + RECORD_HEADER_FORMAT.size
        if content_offset > self.size:
            return None
        length, length_checksum, checksum = RECORD_HEADER_FORMAT.unpack_from(self.data, self.offset)
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
        """Return whether all bytes from `offset` on are zero and unacknowledged.

        A crash leaves such a tail if the file size was updated on disk before the content.
        """
        return self.offset >= self.acknowledged_offset and not any(self.data[self.offset :])

    def _checksum_error(self, record_part: str) -> StorageError:
        """Return the error for a record that does not match its checksum.

        The cause is not an unfinished write, which would have left an incomplete record.
        """
        return StorageError(
            f"{self.path}: the {record_part} of the record at byte {self.offset} does not match its checksum"
        )

    def _decode_record(self, content: bytes) -> Record:
        """Decode the content of a record whose checksum matches. Raises StorageError."""
        try:
            return msgspec.msgpack.decode(content, type=Record)
        except msgspec.DecodeError as error:
            raise StorageError(f"{self.path}: cannot decode record ending at byte {self.offset}: {error}") from error


def _encode_record(content: bytes) -> bytes:
    """Return a record: the header with its length and checksums, then the content. Raises StorageError if too long."""
    if len(content) > MAX_RECORD_BYTES:
        raise StorageError(f"a record of {len(content)} bytes exceeds the limit of {MAX_RECORD_BYTES}")
    length = len(content).to_bytes(LENGTH_BYTES, "big")
    return RECORD_HEADER_FORMAT.pack(len(content), zlib.crc32(length), zlib.crc32(content)) + content


def _encode_acknowledged_offset(offset: int) -> bytes:
    """Return the encoded acknowledged offset with its checksum."""
    return ACKNOWLEDGED_OFFSET_FORMAT.pack(offset, zlib.crc32(offset.to_bytes(OFFSET_BYTES, "big")))


def _describe_identity(identity: Identity) -> str:
    """Return a description of an identity for error messages."""
    return f"replica {identity.replica} of region {identity.region} ({', '.join(identity.members)})"


def _sync_folder(folder: Path) -> None:
    """Sync a folder to disk, so that the name of a new file is durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
