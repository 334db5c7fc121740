"""Opens a replica's disk, also where it is empty although its region is not new."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from pathlib import Path

from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.model import DurableState, Ready

log = logging.getLogger(__name__)


class LazyStorage:
    """The disk of a replica that came back empty: the file is created with the first state that has to be stored."""

    def __init__(self, folder: Path, identity: storage.Identity) -> None:
        """Write nothing yet."""
        self.folder = folder
        self.identity = identity
        self.file: storage.FileStorage | None = None

    def save(self, ready: Ready) -> None:
        """Create the file if need be, then save. Raises StorageError, OSError."""
        if not ready.must_store:
            return
        if self.file is None:
            storage.create(self.folder, self.identity)
            self.file = storage.FileStorage(self.folder, self.identity)
        self.file.save(ready)

    def close(self) -> None:
        """Close the file, if there is one."""
        if self.file is not None:
            self.file.close()


@dataclass(frozen=True, slots=True)
class OpenedStorage:
    """A replica's disk and what it held; `state` is None where it is empty though the region is not new."""

    storage: storage.Storage
    state: DurableState | None


def open_storage(
    folder: Path,
    identity: storage.Identity,
    bootstrap: bool,
    storage_type: type[storage.FileStorage] = storage.FileStorage,
) -> OpenedStorage:
    """Open a replica's disk; `bootstrap`: the region starts for the first time.

    Raises StorageError where the file cannot be used, and where a region is to be bootstrapped over a file.
    """
    if bootstrap:
        storage.create(folder, identity)
    elif not storage.exists(folder):
        log.warning("%s is empty: this replica does not vote until the others have brought it up to date", folder)
        return OpenedStorage(LazyStorage(folder, identity), None)
    file = storage_type(folder, identity)
    if file.truncated_bytes:
        log.warning("%s: %d bytes of an unfinished write were cut off", file.path, file.truncated_bytes)
    return OpenedStorage(file, file.state)
