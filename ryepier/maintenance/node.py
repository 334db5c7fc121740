"""A replica with its disk and its ledger: carries out what the replicated log wants done, in its order."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ryepier.maintenance import commands
from ryepier.maintenance.commands import Command, CommandError
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.messages import Message
from ryepier.maintenance.replication.model import CommittedEntry, DurableState, Ready
from ryepier.maintenance.results import Result

log = logging.getLogger(__name__)

Send = Callable[[str, Message], None]


class DeposedError(Exception):
    """The replica lost its lead before the command was committed; it may be committed yet, by another leader."""


class FatalError(Exception):
    """The disk failed, or the log holds what this version can't read: the replica has to stop."""


@dataclass(slots=True)
class PendingProposal:
    """A command that was proposed in a term and waits for its commit."""

    term: int
    result: asyncio.Future[Result]


class Node:
    """One coordinator's part in its region's log, without its sockets."""

    def __init__(self, replica: Replica, disk: storage.Storage, ledger: Ledger, send: Send) -> None:
        """Join the parts; `send` may drop a message."""
        self.replica = replica
        self.disk = disk
        self.ledger = ledger
        self.send = send
        self.pending: dict[int, PendingProposal] = {}
        self.failed = False
        self.logged_leadership = (replica.role, replica.term)

    def tick(self) -> None:
        """Some time has gone by."""
        self.replica.tick()
        self._process_ready()

    def receive(self, sender: str, message: Message) -> None:
        """A peer's message. Raises ProtocolError where no peer can have sent it."""
        try:
            self.replica.receive(sender, message)
        finally:
            self._process_ready()

    async def propose(self, command: Command) -> Result:
        """Commit a command and return what applying it gave. Raises NotLeaderError, DeposedError."""
        index = self.replica.propose(commands.encode(command))
        result: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self.pending[index] = PendingProposal(self.replica.term, result)
        self._process_ready()
        return await result

    def close(self) -> None:
        """Stop; whoever waits for a commit is told that it is uncertain."""
        self._fail_pending()
        self.disk.close()

    def _process_ready(self) -> None:
        """Disk, then messages, then the ledger. Raises FatalError; nothing is done after one."""
        if self.failed:
            raise FatalError("this replica has failed before")
        ready = self.replica.take_ready()
        try:
            self.disk.save(ready)
            for envelope in ready.messages:
                self.send(envelope.receiver, envelope.message)
            for item in ready.committed:
                self._apply(item)
        except (OSError, storage.StorageError, CommandError) as error:
            self.failed = True
            raise FatalError(str(error)) from error
        self._log_leadership()

    def _apply(self, item: CommittedEntry) -> None:
        """Apply a committed entry, and answer whoever proposed it here."""
        waiting = self.pending.pop(item.index, None)
        if not item.entry.command:
            self._answer(waiting, None)
            return
        result = self.ledger.apply(item.index, commands.decode(item.entry.command))
        ours = waiting is not None and waiting.term == item.entry.term
        self._answer(waiting, result if ours else None)

    @staticmethod
    def _answer(waiting: PendingProposal | None, result: Result | None) -> None:
        """Give the result, or say that another leader's entry has taken the place."""
        if waiting is None or waiting.result.done():
            return
        if result is None:
            waiting.result.set_exception(DeposedError())
        else:
            waiting.result.set_result(result)

    def _log_leadership(self) -> None:
        """Log changes, and fail what a replica proposed that leads no more."""
        leadership = (self.replica.role, self.replica.term)
        if leadership == self.logged_leadership:
            return
        self.logged_leadership = leadership
        log.info(
            "%s in term %d", self.replica.role.value, self.replica.term, extra={"replica": self.replica.settings.name}
        )
        if not self.replica.is_leader:
            self._fail_pending()

    def _fail_pending(self) -> None:
        """Nobody may take these for committed, or for lost."""
        pending, self.pending = self.pending, {}
        for one in pending.values():
            self._answer(one, None)


class LazyStorage:
    """The disk of a replica that came back empty: the file is made with the first state that has to be kept."""

    def __init__(self, folder: Path, identity: storage.Identity) -> None:
        """Write nothing yet."""
        self.folder = folder
        self.identity = identity
        self.file: storage.FileStorage | None = None

    def save(self, ready: Ready) -> None:
        """Make the file if need be, then save."""
        if not ready.must_store:
            return
        if self.file is None:
            storage.create(self.folder, self.identity)
            self.file = storage.FileStorage(self.folder, self.identity)
        self.file.save(ready)

    def close(self) -> None:
        """Let go of the file, if there is one."""
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
    file_type: type[storage.FileStorage] = storage.FileStorage,
) -> OpenedStorage:
    """Open a replica's disk; `bootstrap` says that the region starts for the first time.

    Raises StorageError where the file can't be used, and where a region is to be bootstrapped over a file.
    """
    if bootstrap:
        storage.create(folder, identity)
    elif not storage.exists(folder):
        log.warning("%s is empty: this replica does not vote until the others have brought it up to date", folder)
        return OpenedStorage(LazyStorage(folder, identity), None)
    file = file_type(folder, identity)
    if file.truncated_bytes:
        log.warning("%s: %d bytes of an unfinished write were cut off", file.path, file.truncated_bytes)
    return OpenedStorage(file, file.state)
