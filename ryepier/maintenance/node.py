"""A replica with its storage and ledger: stores state, sends messages and applies entries in the required order."""

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

SendMessage = Callable[[str, Message], None]


class DeposedError(RyepierError):
    """The replica lost its leadership before the command was committed. Another leader may still commit it."""


class FatalError(RyepierError):
    """The storage failed, or the log has an entry that this version cannot decode. The replica has to stop."""


@dataclass(slots=True)
class PendingProposal:
    """A command that was proposed in `term` and is not committed yet; `result` resolves when it is applied."""

    term: int
    result: asyncio.Future[Result]


@dataclass(frozen=True, slots=True)
class _RoleInTerm:
    """A replica's role and its current term."""

    role: Role
    term: int


class Node:
    """Runs a replica and applies its committed entries to a ledger. All calls must come from one event loop."""

    def __init__(self, replica: Replica, disk: storage.Storage, ledger: Ledger, send: SendMessage) -> None:
        """Start without pending proposals.

        `disk` stores the replica's state, and `send` sends a message to a peer or drops it.
        """
        self.replica = replica
        self.disk = disk
        self.ledger = ledger
        self.send = send
        self.pending_proposals: dict[int, PendingProposal] = {}
        self.failed = False
        self.last_logged_role = _RoleInTerm(replica.role, replica.term)

    def tick(self) -> None:
        """Advance the replica's clock by one tick. Raises FatalError."""
        self.replica.tick()
        self._process_ready()

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message from a peer. Raises ProtocolError if no correct peer can have sent it, or FatalError."""
        try:
            self.replica.receive(sender, message)
        finally:
            self._process_ready()

    async def propose(self, command: Command) -> Result:
        """Commit a command and return the result of applying it. Raises NotLeaderError, DeposedError, FatalError."""
        index = self.replica.propose(commands.encode(command))
        result: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self.pending_proposals[index] = PendingProposal(self.replica.term, result)
        self._process_ready()
        return await result

    def close(self) -> None:
        """Close the storage. Pending proposals fail with DeposedError."""
        self._fail_pending_proposals()
        self.disk.close()

    def _process_ready(self) -> None:
        """Store pending state, then send messages, then apply committed entries.

        Raises FatalError if one of these steps fails, and on every later call.
        """
        if self.failed:
            raise FatalError("this replica has already failed")
        ready = self.replica.take_ready()
        try:
            self.disk.save(ready)
            for envelope in ready.messages:
                self.send(envelope.receiver, envelope.message)
            for committed_entry in ready.committed_entries:
                self._apply_entry(committed_entry)
        except (OSError, storage.StorageError, CommandError) as error:
            self.failed = True
            raise FatalError(str(error)) from error
        self._log_role_change()

    def _apply_entry(self, committed_entry: CommittedEntry) -> None:
        """Apply a committed entry to the ledger, and resolve the pending proposal at its index, if there is one."""
        proposal = self.pending_proposals.pop(committed_entry.index, None)
        if not committed_entry.entry.command:
            self._resolve_proposal(proposal, None)
            return
        result = self.ledger.apply(committed_entry.index, commands.decode(committed_entry.entry.command))
        is_own_entry = proposal is not None and proposal.term == committed_entry.entry.term
        self._resolve_proposal(proposal, result if is_own_entry else None)

    @staticmethod
    def _resolve_proposal(proposal: PendingProposal | None, result: Result | None) -> None:
        """Resolve a pending proposal with its result, or fail it with DeposedError if `result` is None.

        The result is None if this replica was deposed or an entry of another leader was committed at the same index.
        """
        if proposal is None or proposal.result.done():
            return
        if result is None:
            proposal.result.set_exception(DeposedError())
        else:
            proposal.result.set_result(result)

    def _log_role_change(self) -> None:
        """Log a change of role or term, and fail the pending proposals if this replica is no longer the leader."""
        current_role = _RoleInTerm(self.replica.role, self.replica.term)
        if current_role == self.last_logged_role:
            return
        self.last_logged_role = current_role
        replica_name = self.replica.settings.name
        log.info("%s in term %d", current_role.role.value, current_role.term, extra={"replica": replica_name})
        if not self.replica.is_leader:
            self._fail_pending_proposals()

    def _fail_pending_proposals(self) -> None:
        """Fail all pending proposals with DeposedError, because it is unknown whether they will be committed."""
        pending_proposals, self.pending_proposals = self.pending_proposals, {}
        for proposal in pending_proposals.values():
            self._resolve_proposal(proposal, None)
