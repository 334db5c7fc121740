"""Serves the connections of peers and clients; a client's command is answered only after its commit."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from ryepier.maintenance import api, commands
from ryepier.maintenance.api import Call, ClientHello, ClientKind, Frame, PeerHello, Rejection, Reply
from ryepier.maintenance.commands import Command, CommandError, GrantLease
from ryepier.maintenance.node import DeposedError, FatalError, Node
from ryepier.maintenance.planner import Planner
from ryepier.maintenance.region_clock import RegionClock
from ryepier.maintenance.replication.errors import NotLeaderError, ProtocolError
from ryepier.maintenance.replication.messages import Message as ReplicaMessage
from ryepier.maintenance.results import Granted, Rejected
from ryepier.maintenance.settings import CoordinatorSettings
from ryepier.maintenance.status import make_status_reply
from ryepier.maintenance.transport import Connection, TransportError

log = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 3.0
MAX_CALLS_PER_CONNECTION = 64  # calls that are processed concurrently
MAX_REASON_LENGTH = 1000  # characters
LEASE_GRANTED_MESSAGE = "lease granted"  # log message that the experiments look for

ALLOWED_COMMANDS: dict[ClientKind, tuple[type[Command], ...]] = {
    ClientKind.OPERATOR: (commands.SubmitRequest, commands.CancelRequest),
    ClientKind.AGENT: (commands.TakeOverLease, commands.StartDrain, commands.ReleaseLease),
    ClientKind.REGION: (commands.RecordCapacityNeeds, commands.CreditTransfer),
}


class Server:
    """Serves the connections of one coordinator, each in its own task."""

    def __init__(
        self,
        settings: CoordinatorSettings,
        node: Node,
        planner: Planner,
        clock: RegionClock,
        stop_with_error: Callable[[BaseException], None],
    ) -> None:
        """Start without connections; `stop_with_error` is called with errors that must stop the process."""
        self.settings = settings
        self.node = node
        self.planner = planner
        self.clock = clock
        self.stop_with_error = stop_with_error
        self.grant_lock = asyncio.Lock()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it is closed."""
        connection = Connection(reader, writer)
        try:
            await self._serve_connection(connection)
        except (TransportError, ProtocolError) as error:
            log.info("connection rejected: %s", error)
            with contextlib.suppress(OSError):
                connection.send(_make_rejection(error))
        except FatalError as error:
            self.stop_with_error(error)
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the remote end has disconnected, or this process is stopping
        finally:
            connection.close()

    async def _serve_connection(self, connection: Connection) -> None:
        """Read the hello, then serve a peer or a client. Raises TransportError, ProtocolError or FatalError."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await connection.receive()
        except TimeoutError:
            raise TransportError(f"no hello within {HELLO_TIMEOUT_S:g} s") from None
        if isinstance(hello, PeerHello):
            self._check_peer(hello)
            await self._serve_peer(hello.replica, connection)
        elif isinstance(hello, ClientHello):
            self._check_version_and_region(hello.version, hello.region)
            await self._serve_client(hello, connection)
        else:
            raise TransportError(f"unexpected {type(hello).__name__} before a hello")

    def _check_peer(self, hello: PeerHello) -> None:
        """Raise TransportError unless a hello is from a peer of this replica with the same agreement."""
        self._check_version_and_region(hello.version, hello.region)
        if hello.replica not in self.node.replica.settings.peers:
            raise TransportError(f"{hello.replica!r} is not a peer of this replica in region {self.settings.region!r}")
        if hello.agreement != self.settings.agreement.digest:
            raise TransportError(f"replica {hello.replica!r} has a different agreement")

    def _check_version_and_region(self, version: int, region: str) -> None:
        """Raise TransportError if a hello has another protocol version or is for another region."""
        if version != api.VERSION:
            raise TransportError(f"unsupported protocol version {version}; this replica uses {api.VERSION}")
        if region != self.settings.region:
            raise TransportError(f"hello for region {region!r}, but this replica belongs to {self.settings.region!r}")

    async def _serve_peer(self, peer_name: str, connection: Connection) -> None:
        """Pass a peer's replication messages to the node. Raises TransportError for any other frame."""
        while True:
            frame = await connection.receive()
            if not isinstance(frame, ReplicaMessage):
                raise TransportError(f"unexpected {type(frame).__name__} from a peer")
            self.node.receive(peer_name, frame)

    async def _serve_client(self, hello: ClientHello, connection: Connection) -> None:
        """Answer calls, at most MAX_CALLS_PER_CONNECTION at a time. Raises TransportError for any other frame."""
        call_slots = asyncio.Semaphore(MAX_CALLS_PER_CONNECTION)
        tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                await call_slots.acquire()
                frame = await connection.receive()
                if not isinstance(frame, Call):
                    raise TransportError(f"unexpected {type(frame).__name__} from a client")
                task = asyncio.create_task(self._answer_call(hello, connection, frame, call_slots))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:  # commands that were already proposed may still be committed
                task.cancel()

    async def _answer_call(
        self, hello: ClientHello, connection: Connection, call: Call, call_slots: asyncio.Semaphore
    ) -> None:
        """Answer one call and release its slot. A rejection closes the connection."""
        try:
            response: Frame = await self._execute_call(hello, call)
        except NotLeaderError as error:
            response = api.NotLeaderReply(call.number, error.leader)
        except DeposedError:
            response = api.UncertainReply(call.number)
        except CommandError as error:
            response = _make_rejection(error)
        except FatalError as error:
            self.stop_with_error(error)
            return
        finally:
            call_slots.release()
        with contextlib.suppress(OSError):
            connection.send(response)
        if isinstance(response, Rejection):
            connection.close()

    async def _execute_call(self, hello: ClientHello, call: Call) -> Reply:
        """Carry out a call as the leader and return its reply.

        Raises NotLeaderError, DeposedError, CommandError or FatalError.
        """
        replica = self.node.replica
        if not replica.has_committed_in_term:  # a new leader may not know all committed entries yet
            raise NotLeaderError("" if replica.is_leader else replica.leader)
        if isinstance(call, api.StatusCall):
            return make_status_reply(call.number, self.clock.now_ms(), replica, self.planner)
        if isinstance(call, api.LeaseCall):
            return await self._grant_lease(hello, call)
        command = self._allowed_command(hello.kind, call)
        return api.CommandReply(call.number, await self.node.propose(command))

    @staticmethod
    def _allowed_command(kind: ClientKind, call: api.CommandCall) -> Command:
        """Return the command of a call. Raises CommandError if a client of this kind may not send it."""
        command = commands.decode(call.command)
        if not isinstance(command, ALLOWED_COMMANDS[kind]):
            raise CommandError(f"a client of kind {kind.value!r} may not send {type(command).__name__}")
        return command

    async def _grant_lease(self, hello: ClientHello, call: api.LeaseCall) -> Reply:
        """Propose a lease on a window that is due; the ledger grants or rejects it when it applies the command."""
        if hello.kind is not ClientKind.AGENT:
            raise CommandError(f"a client of kind {hello.kind.value!r} may not acquire leases")
        async with self.grant_lock:  # the next call must see the converters that this call leases
            command = self._make_grant_command(hello.name, call.lease)
            if command is None:
                return api.NoWindowReply(call.number)
            result = await self.node.propose(command)
        log_fields = {"lease": call.lease, "agent": hello.name}
        if isinstance(result, Granted):
            log.info(
                LEASE_GRANTED_MESSAGE, extra={**log_fields, "token": result.token, "converters": result.converters}
            )
        else:
            reason = result.reason if isinstance(result, Rejected) else str(result)
            log.info("lease not granted: %s", reason, extra=log_fields)
        return api.CommandReply(call.number, result)

    def _make_grant_command(self, agent: str, lease: str) -> GrantLease | None:
        """Return the command that grants a lease on a window that is due, or None if no window is due.

        If a lease with this name already exists, returns the command that grants the existing lease again.
        """
        existing_lease = self.planner.ledger.state.leases.get(lease)
        if existing_lease is not None:
            return GrantLease(existing_lease.name, existing_lease.request, agent, existing_lease.converters)
        window = self.planner.due_window()
        return None if window is None else GrantLease(lease, window.request, agent, window.converters)


def _make_rejection(error: Exception) -> Rejection:
    """Return the frame that reports an error to a client or peer. The reason is truncated to MAX_REASON_LENGTH."""
    return Rejection(str(error)[:MAX_REASON_LENGTH])
