"""Who connects to a coordinator: peers with their messages, and callers, who are answered only after a commit."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from ryepier.maintenance import commands
from ryepier.maintenance.api import (
    VERSION,
    Call,
    ClientHello,
    ClientKind,
    CommandCall,
    CommandReply,
    Frame,
    LeaseCall,
    NotLeaderReply,
    NoWindowReply,
    PeerHello,
    Rejection,
    Reply,
    StatusCall,
    UncertainReply,
)
from ryepier.maintenance.commands import (
    CancelRequest,
    Command,
    CommandError,
    CreditTransfer,
    GrantLease,
    RecordCapacityNeeds,
    ReleaseLease,
    StartDrain,
    SubmitRequest,
    TakeOverLease,
)
from ryepier.maintenance.node import DeposedError, FatalError, Node
from ryepier.maintenance.region_clock import RegionClock
from ryepier.maintenance.replication.errors import NotLeaderError, ProtocolError
from ryepier.maintenance.replication.messages import Message as ReplicaMessage
from ryepier.maintenance.settings import CoordinatorSettings
from ryepier.maintenance.status import Planner, status_of
from ryepier.maintenance.transport import Connection, TransportError

log = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 3.0
MAX_CALLS_PER_CONNECTION = 64  # that wait for their commit

ALLOWED_COMMANDS: dict[ClientKind, tuple[type[Command], ...]] = {
    "operator": (SubmitRequest, CancelRequest),
    "agent": (TakeOverLease, StartDrain, ReleaseLease),
    "region": (RecordCapacityNeeds, CreditTransfer),
}


class Server:
    """Serves the connections of one coordinator."""

    def __init__(
        self,
        settings: CoordinatorSettings,
        node: Node,
        planning: Planner,
        clock: RegionClock,
        fail: Callable[[BaseException], None],
    ) -> None:
        """Answer from these parts; `fail` is told of what must end the process."""
        self.settings = settings
        self.node = node
        self.planning = planning
        self.clock = clock
        self.fail = fail
        self.granting = asyncio.Lock()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, to its end."""
        connection = Connection(reader, writer)
        try:
            await self._serve_connection(connection)
        except (TransportError, ProtocolError) as error:
            log.info("a connection is refused: %s", error)
            with contextlib.suppress(OSError):
                connection.send(Rejection(str(error)[:1000]))
        except FatalError as error:
            self.fail(error)
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the other side has gone, or this process ends
        finally:
            connection.close()

    async def _serve_connection(self, connection: Connection) -> None:
        """Greeting first. Raises TransportError, ProtocolError on what is refused."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await connection.receive()
        except TimeoutError:
            raise TransportError(f"no greeting within {HELLO_TIMEOUT_S:g} s") from None
        if isinstance(hello, PeerHello):
            self._check_peer(hello)
            await self._serve_peer(hello.replica, connection)
        elif isinstance(hello, ClientHello):
            self._check_client(hello)
            await self._serve_client(hello, connection)
        else:
            raise TransportError(f"a {type(hello).__name__} before any greeting")

    def _check_peer(self, hello: PeerHello) -> None:
        """Refuse whoever is no member of this region's log under the same agreement."""
        self._check_version_and_region(hello.version, hello.region)
        if hello.replica not in self.node.replica.settings.peers:
            raise TransportError(f"{hello.replica!r} is not another replica of region {self.settings.region!r}")
        if hello.agreement != self.settings.agreement.digest:
            raise TransportError(f"replica {hello.replica!r} holds another agreement")

    def _check_client(self, hello: ClientHello) -> None:
        """Refuse who means another region."""
        self._check_version_and_region(hello.version, hello.region)

    def _check_version_and_region(self, version: int, region: str) -> None:
        """What every greeting has to agree on."""
        if version != VERSION:
            raise TransportError(f"version {version}; this side speaks {VERSION}")
        if region != self.settings.region:
            raise TransportError(f"region {region!r} is meant; this is {self.settings.region!r}")

    async def _serve_peer(self, name: str, connection: Connection) -> None:
        """Take a peer's messages."""
        while True:
            frame = await connection.receive()
            if not isinstance(frame, ReplicaMessage):
                raise TransportError(f"a {type(frame).__name__} among the replicas' messages")
            self.node.receive(name, frame)

    async def _serve_client(self, hello: ClientHello, connection: Connection) -> None:
        """Answer calls; several may wait for their commit at a time."""
        slots = asyncio.Semaphore(MAX_CALLS_PER_CONNECTION)
        tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                await slots.acquire()
                frame = await connection.receive()
                if not isinstance(frame, Call):
                    raise TransportError(f"a {type(frame).__name__} out of turn")
                task = asyncio.create_task(self._reply(hello, connection, frame, slots))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:  # what was proposed is committed all the same; nobody is left to be told
                task.cancel()

    async def _reply(self, hello: ClientHello, connection: Connection, call: Call, slots: asyncio.Semaphore) -> None:
        """Answer one call."""
        try:
            reply: Frame = await self._answer(hello, call)
        except NotLeaderError as error:
            reply = NotLeaderReply(call.number, error.leader)
        except DeposedError:
            reply = UncertainReply(call.number)
        except CommandError as error:
            reply = Rejection(str(error)[:1000])
        except FatalError as error:
            self.fail(error)
            return
        finally:
            slots.release()
        with contextlib.suppress(OSError):
            connection.send(reply)
        if isinstance(reply, Rejection):
            connection.close()

    async def _answer(self, hello: ClientHello, call: Call) -> Reply:
        """The reply of a leader. Raises NotLeaderError, DeposedError, CommandError."""
        replica = self.node.replica
        if not replica.has_committed_in_term:  # a leader that has only just been elected may not know all yet
            raise NotLeaderError("" if replica.is_leader else replica.leader)
        if isinstance(call, StatusCall):
            return status_of(call.number, self.clock.now_ms(), replica, self.planning)
        if isinstance(call, LeaseCall):
            return await self._grant(hello, call)
        command = self._allowed_command(hello.kind, call)
        return CommandReply(call.number, await self.node.propose(command))

    @staticmethod
    def _allowed_command(kind: ClientKind, call: CommandCall) -> Command:
        """The command, if such a caller may give it. Raises CommandError."""
        command = commands.decode(call.command)
        if not isinstance(command, ALLOWED_COMMANDS[kind]):
            raise CommandError(f"a caller of kind {kind!r} may not give {type(command).__name__}")
        return command

    async def _grant(self, hello: ClientHello, call: LeaseCall) -> Reply:
        """Give an agent a window that is due. The ledger decides, when the command is applied."""
        if hello.kind != "agent":
            raise CommandError(f"a caller of kind {hello.kind!r} takes no leases")
        async with self.granting:  # the next one has to see what this one took
            known = self.planning.ledger.state.leases.get(call.lease)
            if known is not None:
                command = GrantLease(known.name, known.request, hello.name, known.converters)
            else:
                window = self.planning.due_window()
                if window is None:
                    return NoWindowReply(call.number)
                command = GrantLease(call.lease, window.request, hello.name, window.converters)
            result = await self.node.propose(command)
        log.info("lease", extra={"lease": call.lease, "agent": hello.name, "result": str(result)})
        return CommandReply(call.number, result)
