"""Opens a replica's storage, which may be empty after the loss of a disk."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from pathlib import Path

from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.model import DurableState, Ready

log = logging.getLogger(__name__)


class LazyStorage:
    """The storage of a replica that has lost its disk. The file is created when there is state to store."""

    def __init__(self, folder: Path, identity: storage.Identity) -> None:
        """Start without a file; the first write creates it in `folder` for the replica `identity`."""
        self.folder = folder
        self.identity = identity
        self.file: storage.FileStorage | None = None

    def save(self, ready: Ready) -> None:
        """Store the state, and create the file before the first write. Raises StorageError or OSError."""
        if not ready.must_store:
            return
        if self.file is None:
            storage.create(self.folder, self.identity)
            self.file = storage.FileStorage(self.folder, self.identity)
        self.file.save(ready)

    def close(self) -> None:
        """Close the file if it was created."""
        if self.file is not None:
            self.file.close()


@dataclass(frozen=True, slots=True)
class OpenedStorage:
    """A replica's storage and the state that was read from it.

    `state` is None if the disk is empty although the region already exists.
    """

    storage: storage.Storage
    state: DurableState | None


def open_storage(
    folder: Path,
    identity: storage.Identity,
    bootstrap: bool,
    storage_type: type[storage.FileStorage] = storage.FileStorage,
) -> OpenedStorage:
    """Open a replica's storage; `bootstrap` creates the log file of a region that starts for the first time.

    Raises StorageError if the file cannot be used, or if `bootstrap` is set and the file already exists.
    """
    if bootstrap:
        storage.create(folder, identity)
    elif not storage.exists(folder):
        log.warning("%s has no log file: this replica does not vote until it has caught up with its peers", folder)
        return OpenedStorage(LazyStorage(folder, identity), None)
    file = storage_type(folder, identity)
    if file.truncated_bytes:
        log.warning("%s: truncated %d bytes of an unfinished write", file.path, file.truncated_bytes)
    return OpenedStorage(file, file.state)
