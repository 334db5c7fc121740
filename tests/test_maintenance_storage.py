"""Tests of a replica's log file that is torn, shortened, altered, locked or that of another replica."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.messages import Entry, HardState
from ryepier.maintenance.replication.model import DurableState, Ready
from ryepier.maintenance.replication.seeded_faults import ForgetGrantStorage

IDENTITY = storage.Identity("north", "a", ("a", "b", "c"))
# Limit of the processor time of one example. Wall-clock time would include the waits for a busy disk.
MAX_EXAMPLE_CPU_S = 0.2


def make_ready(term: int, first_index: int, *commands: bytes) -> Ready:
    return Ready(HardState(term, "a"), first_index, tuple(Entry(term, command) for command in commands), (), ())


@pytest.fixture
def replica_folder(tmp_path: Path) -> Path:
    storage.create(tmp_path, IDENTITY)
    file = storage.FileStorage(tmp_path, IDENTITY)
    file.save(make_ready(1, 1, b"one", b"two", b"three"))
    file.save(make_ready(2, 2, b"other"))
    file.close()
    return tmp_path


def reopen_and_read(replica_folder: Path, identity: storage.Identity = IDENTITY) -> DurableState:
    file = storage.FileStorage(replica_folder, identity)
    file.close()
    return file.state


def test_saved_state_is_read_back(replica_folder: Path) -> None:
    assert reopen_and_read(replica_folder) == DurableState(HardState(2, "a"), (Entry(1, b"one"), Entry(2, b"other")))


@settings(deadline=None)
@given(cut_bytes=st.integers(1, 200))
def test_unacknowledged_torn_tail_is_truncated(cut_bytes: int, tmp_path_factory: pytest.TempPathFactory) -> None:
    started_at_cpu_s = time.process_time()
    replica_folder = tmp_path_factory.mktemp("torn")
    storage.create(replica_folder, IDENTITY)
    file = storage.FileStorage(replica_folder, IDENTITY)
    file.save(make_ready(1, 1, b"one"))
    content_before_second_save, acknowledged_offset = file.path.read_bytes(), file.offset
    file.save(make_ready(2, 2, b"x" * 200))
    file.close()
    content = file.path.read_bytes()
    file.path.write_bytes(
        content_before_second_save[:20] + content[20 : max(acknowledged_offset, len(content) - cut_bytes)]
    )
    file = storage.FileStorage(replica_folder, IDENTITY)
    file.save(make_ready(5, 2, b"two"))
    file.close()
    assert reopen_and_read(replica_folder) == DurableState(HardState(5, "a"), (Entry(1, b"one"), Entry(5, b"two")))
    assert time.process_time() - started_at_cpu_s <= MAX_EXAMPLE_CPU_S


def test_missing_acknowledged_records_are_rejected(replica_folder: Path) -> None:
    path = replica_folder / storage.FILE_NAME
    path.write_bytes(path.read_bytes()[:-3])
    with pytest.raises(storage.StorageError, match=r"replica\.log: ends at byte \d+, but \d+ bytes were acknowledged"):
        reopen_and_read(replica_folder)


def test_any_altered_byte_is_rejected(replica_folder: Path) -> None:
    path = replica_folder / storage.FILE_NAME
    content = path.read_bytes()
    for byte_index in range(len(content)):
        altered_content = bytearray(content)
        altered_content[byte_index] ^= 0x40
        path.write_bytes(altered_content)
        with pytest.raises(storage.StorageError, match=r"replica\.log: "):
            reopen_and_read(replica_folder)


def test_file_of_another_replica_or_region_is_rejected(replica_folder: Path) -> None:
    other_identities = (
        storage.Identity("north", "b", IDENTITY.members),
        storage.Identity("south", "a", IDENTITY.members),
        storage.Identity("north", "a", ("a", "b", "d")),
    )
    for other_identity in other_identities:
        with pytest.raises(storage.StorageError, match="belongs to replica a of region north"):
            reopen_and_read(replica_folder, other_identity)


def test_open_file_is_locked(replica_folder: Path) -> None:
    file = storage.FileStorage(replica_folder, IDENTITY)
    with pytest.raises(storage.StorageError, match="in use by another process"):
        storage.FileStorage(replica_folder, IDENTITY)
    file.close()


def test_create_rejects_existing_and_open_rejects_missing_files(replica_folder: Path, tmp_path: Path) -> None:
    with pytest.raises(storage.StorageError, match="already exists"):
        storage.create(replica_folder, IDENTITY)
    with pytest.raises(storage.StorageError, match="No such file"):
        storage.FileStorage(tmp_path / "elsewhere", IDENTITY)


def test_forget_grant_storage_loses_entries(replica_folder: Path) -> None:
    file = ForgetGrantStorage(replica_folder, IDENTITY)
    file.save(make_ready(3, 3, b"lost"))
    file.close()
    assert reopen_and_read(replica_folder) == DurableState(HardState(3, "a"), (Entry(1, b"one"), Entry(2, b"other")))
