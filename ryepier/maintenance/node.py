"""A replica with its disk and its ledger: carries out what the replicated log requires, in its order."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ryepier.errors import RyepierError
from ryepier.maintenance import commands
from ryepier.maintenance.commands import Command, CommandError
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.replication.messages import Message
from ryepier.maintenance.replication.model import CommittedEntry
from ryepier.maintenance.replication.roles import Role
from ryepier.maintenance.results import Result

log = logging.getLogger(__name__)

Send = Callable[[str, Message], None]


class DeposedError(RyepierError):
    """The replica lost its leadership before the command was committed; another leader may still commit it."""


class FatalError(RyepierError):
    """The disk failed, or the log holds what this version cannot read: the replica has to stop."""


@dataclass(slots=True)
class PendingProposal:
    """A command that was proposed in a term and awaits its commit."""

    term: int
    result: asyncio.Future[Result]


@dataclass(frozen=True, slots=True)
class _Leadership:
    """A replica's role in a term."""

    role: Role
    term: int


class Node:
    """One coordinator's part in its region's log, without its sockets. All calls come from one event loop."""

    def __init__(self, replica: Replica, disk: storage.Storage, ledger: Ledger, send: Send) -> None:
        """Join the parts; `send` may drop a message."""
        self.replica = replica
        self.disk = disk
        self.ledger = ledger
        self.send = send
        self.pending: dict[int, PendingProposal] = {}
        self.failed = False
        self.logged_leadership = _Leadership(replica.role, replica.term)

    def tick(self) -> None:
        """Advance the replica's clock by one tick. Raises FatalError."""
        self.replica.tick()
        self._process_ready()

    def receive(self, sender: str, message: Message) -> None:
        """Take a peer's message. Raises ProtocolError where no peer can have sent it, and FatalError."""
        try:
            self.replica.receive(sender, message)
        finally:
            self._process_ready()

    async def propose(self, command: Command) -> Result:
        """Commit a command and return the result of applying it. Raises NotLeaderError, DeposedError, FatalError."""
        index = self.replica.propose(commands.encode(command))
        result: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self.pending[index] = PendingProposal(self.replica.term, result)
        self._process_ready()
        return await result

    def close(self) -> None:
        """Stop; proposals that await their commit fail with DeposedError."""
        self._fail_pending()
        self.disk.close()

    def _process_ready(self) -> None:
        """Write the disk, then send messages, then apply entries. Raises FatalError; nothing is done after one."""
        if self.failed:
            raise FatalError("this replica has failed before")
        ready = self.replica.take_ready()
        try:
            self.disk.save(ready)
            for envelope in ready.messages:
                self.send(envelope.receiver, envelope.message)
            for committed in ready.committed:
                self._apply(committed)
        except (OSError, storage.StorageError, CommandError) as error:
            self.failed = True
            raise FatalError(str(error)) from error
        self._log_leadership()

    def _apply(self, committed: CommittedEntry) -> None:
        """Apply a committed entry, and resolve the proposal that waits for its index."""
        proposal = self.pending.pop(committed.index, None)
        if not committed.entry.command:
            self._resolve(proposal, None)
            return
        result = self.ledger.apply(committed.index, commands.decode(committed.entry.command))
        is_own = proposal is not None and proposal.term == committed.entry.term
        self._resolve(proposal, result if is_own else None)

    @staticmethod
    def _resolve(proposal: PendingProposal | None, result: Result | None) -> None:
        """Give a proposal its result, or fail it where another leader's entry has taken its index."""
        if proposal is None or proposal.result.done():
            return
        if result is None:
            proposal.result.set_exception(DeposedError())
        else:
            proposal.result.set_result(result)

    def _log_leadership(self) -> None:
        """Log a change of role or term; fail what is pending where this replica does not lead any more."""
        leadership = _Leadership(self.replica.role, self.replica.term)
        if leadership == self.logged_leadership:
            return
        self.logged_leadership = leadership
        replica = self.replica.settings.name
        log.info("%s in term %d", leadership.role.value, leadership.term, extra={"replica": replica})
        if not self.replica.is_leader:
            self._fail_pending()

    def _fail_pending(self) -> None:
        """Fail all pending proposals: they are neither known to be committed nor known to be lost."""
        pending, self.pending = self.pending, {}
        for proposal in pending.values():
            self._resolve(proposal, None)
