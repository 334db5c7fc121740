"""One coordinator process: a replica of its region's log, and, while it leads, the region's scheduler.

A call is answered only after its command is committed, so a leader that was deposed without knowing grants nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ryepier.maintenance import commands
from ryepier.maintenance.agreement import Agreement
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
    Refusal,
    Reply,
    StatusCall,
    UncertainReply,
)
from ryepier.maintenance.commands import (
    AdvanceTime,
    BeginDrain,
    CancelRequest,
    Command,
    CommandError,
    CreditTransfer,
    GrantLease,
    RecordStanding,
    ReleaseLease,
    SubmitRequest,
    TakeOverLease,
)
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.node import DeposedError, FatalError, Node, OpenedDisk, open_disk
from ryepier.maintenance.observer import ListingError, WarmthTracker, fetch_listing
from ryepier.maintenance.placement import FREEZE_MS
from ryepier.maintenance.region_link import RegionLink
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.core import NotLeaderError, ProtocolError, Replica, ReplicaSettings
from ryepier.maintenance.replication.messages import Message as ReplicaMessage
from ryepier.maintenance.status import Planning, status_of
from ryepier.maintenance.transport import Connection, TransportError, parse_address

log = logging.getLogger(__name__)

TICK_S = 0.05
REDIAL_S = 0.2
HELLO_WITHIN_S = 3.0
LOOK_EVERY_S = 0.3
LISTING_WITHIN_S = 1.0
ADVANCE_EVERY_S = 0.5
IDLE_ADVANCE_MS = 10_000  # without a request: each step of the time is an entry in the log
MAX_CALLS_PER_CONNECTION = 64  # that wait for their commit

ALLOWED_COMMANDS: dict[ClientKind, tuple[type[Command], ...]] = {
    "operator": (SubmitRequest, CancelRequest),
    "agent": (TakeOverLease, BeginDrain, ReleaseLease),
    "region": (RecordStanding, CreditTransfer),
}


@dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """What a coordinator is told. `discovery` is asked for the converters; None: nobody is seen.

    Planned windows that start within `freeze_ms` are not moved by new requests.
    """

    agreement: Agreement
    region: str
    replica: str
    folder: Path
    seed: int
    bootstrap: bool = False
    discovery: tuple[str, int] | None = None
    freeze_ms: int = FREEZE_MS

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """All replicas of the region."""
        return addresses_of(self.agreement, self.region)

    @property
    def identity(self) -> storage.Identity:
        """Whose disk it is."""
        return storage.Identity(self.region, self.replica, tuple(self.addresses))


@dataclass(frozen=True, slots=True)
class CoordinatorParts:
    """The classes that a coordinator is made of; experiments put in ones with a mistake."""

    replica: type[Replica] = Replica
    storage: type[storage.FileStorage] = storage.FileStorage
    ledger: type[Ledger] = Ledger


USUAL_PARTS = CoordinatorParts()


def addresses_of(agreement: Agreement, region: str) -> dict[str, tuple[str, int]]:
    """The replicas of a region, by name. Raises KeyError, ValueError."""
    return {one.name: parse_address(one.address) for one in agreement.regions[region].replicas}


class Coordinator:
    """One replica on its sockets."""

    def __init__(self, settings: CoordinatorSettings, parts: CoordinatorParts | None = None) -> None:
        """Open the disk; by default with the usual parts.

        Raises StorageError, KeyError for an unknown region, ValueError for an unknown replica.
        """
        parts = parts or USUAL_PARTS
        self.settings = settings
        self.hello = PeerHello(VERSION, settings.region, settings.replica, settings.agreement.digest)
        self.peers: dict[str, Connection] = {}
        self.ledger = parts.ledger(settings.agreement, settings.region)
        members = tuple(settings.addresses)
        replica_settings = ReplicaSettings(settings.replica, members, settings.seed)
        if settings.replica not in members:
            raise ValueError(f"region {settings.region!r} has no replica {settings.replica!r}")
        disk = open_disk(settings.folder, settings.identity, settings.bootstrap, parts.storage)
        self.node = self._make_node(parts, replica_settings, disk)
        self.planning = Planning(self.ledger, settings.freeze_ms)
        self.granting = asyncio.Lock()
        self.led_term = 0  # whose region time is counted from `zero_ms`
        self.zero_ms = 0
        self.tracker = WarmthTracker(_warm_up_times(settings.agreement, settings.region))
        self.links = [RegionLink(settings.agreement, settings.region, other) for other in self._other_regions()]
        self.stop = asyncio.Event()
        self.fatal: FatalError | None = None

    def _make_node(self, parts: CoordinatorParts, settings: ReplicaSettings, disk: OpenedDisk) -> Node:
        """The replica with its disk."""
        return Node(parts.replica(settings, disk.state), disk.storage, self.ledger, self._send_to_peer)

    def _other_regions(self) -> list[str]:
        """All regions but this one."""
        return [name for name in self.settings.agreement.regions if name != self.settings.region]

    async def run(self) -> None:
        """Serve until `stop` is set. Raises FatalError, or OSError where the address can't be had."""
        address = self.settings.addresses[self.settings.replica]
        server = await asyncio.start_server(self._serve, *address, backlog=256)
        log.info("coordinator is up", extra={"region": self.settings.region, "replica": self.settings.replica})
        jobs: list[Coroutine[Any, Any, None]] = [self._tick(), self._advance(), self._look()]
        jobs += [self._keep_peer(name) for name in self.node.replica.settings.peers]
        jobs += [self._trade_with(link) for link in self.links]
        tasks = [asyncio.create_task(job) for job in jobs]
        for task in tasks:
            task.add_done_callback(self._note_end)
        await self.stop.wait()
        server.close()
        for task in tasks:
            task.cancel()
        self.node.close()
        if self.fatal is not None:
            raise self.fatal

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """A job of this process runs until the end; one that raises ends it all."""
        if not task.cancelled() and (error := task.exception()) is not None:
            self._fail(error)

    def _fail(self, error: BaseException) -> None:
        """Stop for good."""
        log.error("coordinator stops: %s", error)
        self.fatal = error if isinstance(error, FatalError) else FatalError(f"{type(error).__name__}: {error}")
        self.stop.set()

    # The replicas among themselves

    async def _tick(self) -> None:
        """The replica's clock. One that stood still has missed its ticks: they are not made up for."""
        while True:
            await asyncio.sleep(TICK_S)
            self.node.tick()

    def _send_to_peer(self, peer: str, message: ReplicaMessage) -> None:
        """Send, or drop it where the peer is away: it will be sent again."""
        connection = self.peers.get(peer)
        if connection is not None:
            connection.send(message)

    async def _keep_peer(self, name: str) -> None:
        """Hold a connection to a peer that carries this replica's messages to it."""
        while True:
            with contextlib.suppress(OSError, EOFError, TransportError):
                connection = await Connection.dial(self.settings.addresses[name], self.hello)
                self.peers[name] = connection
                try:
                    await self._read_refusal(name, connection)
                finally:
                    self.peers.pop(name, None)
                    connection.close()
            await asyncio.sleep(REDIAL_S)

    @staticmethod
    async def _read_refusal(name: str, connection: Connection) -> None:
        """Until the peer ends the connection; it sends nothing but a refusal on it."""
        frame = await connection.receive()
        reason = frame.reason if isinstance(frame, Refusal) else f"a {type(frame).__name__} out of turn"
        log.warning("peer %s refuses: %s", name, reason)

    # Who connects

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, to its end."""
        connection = Connection(reader, writer)
        try:
            await self._serve_connection(connection)
        except (TransportError, ProtocolError) as error:
            log.info("a connection is refused: %s", error)
            with contextlib.suppress(OSError):
                connection.send(Refusal(str(error)[:1000]))
        except FatalError as error:
            self._fail(error)
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the other side has gone, or this process ends
        finally:
            connection.close()

    async def _serve_connection(self, connection: Connection) -> None:
        """Greeting first. Raises TransportError, ProtocolError on what is refused."""
        try:
            async with asyncio.timeout(HELLO_WITHIN_S):
                hello = await connection.receive()
        except TimeoutError:
            raise TransportError(f"no greeting within {HELLO_WITHIN_S:g} s") from None
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
            reply = Refusal(str(error)[:1000])
        except FatalError as error:
            self._fail(error)
            return
        finally:
            slots.release()
        with contextlib.suppress(OSError):
            connection.send(reply)

    async def _answer(self, hello: ClientHello, call: Call) -> Reply:
        """The reply of a leader. Raises NotLeaderError, DeposedError, CommandError."""
        replica = self.node.replica
        if not replica.has_committed_in_term:  # a leader that has only just been elected may not know all yet
            raise NotLeaderError("" if replica.is_leader else replica.leader)
        if isinstance(call, StatusCall):
            return status_of(call.number, self._region_now_ms(), replica, self.planning)
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
            known = self.ledger.state.leases.get(call.lease)
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

    # What the leader does by itself

    async def _advance(self) -> None:
        """Let the region's time go on, by this leader's own clock from where the last one left it."""
        while True:
            await asyncio.sleep(ADVANCE_EVERY_S)
            if not self.node.replica.has_committed_in_term:
                continue
            now_ms = self._region_now_ms()
            idle = not self.ledger.state.requests
            if not idle or now_ms >= self.ledger.now_ms + IDLE_ADVANCE_MS:
                await self._try_propose(AdvanceTime(now_ms))

    def _region_now_ms(self) -> int:
        """The region's time, as far as this leader's clock has gone since it took the lead."""
        if self.node.replica.term != self.led_term:
            self.led_term = self.node.replica.term
            self.zero_ms = monotonic_ms() - self.ledger.now_ms
        return max(self.ledger.now_ms, monotonic_ms() - self.zero_ms)

    async def _look(self) -> None:
        """Look at the converters; the leader records what has changed."""
        if self.settings.discovery is None:
            return
        reachable = True
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            as_of, region_ms = self.ledger.applied, self.ledger.now_ms
            try:
                listing = await fetch_listing(self.settings.discovery, LISTING_WITHIN_S)
            except ListingError as error:
                if reachable:
                    log.warning("no listing: %s", error)
                reachable = False
                continue
            reachable = True
            looks = self.tracker.look(monotonic_ms(), region_ms, listing)
            for converter in self.planning.doubtful(looks):
                self.tracker.doubt(converter, monotonic_ms(), region_ms)
            if self.node.replica.has_committed_in_term:
                observation = self.planning.observation(self.settings.replica, as_of, looks)
                if observation is not None:
                    await self._try_propose(observation)

    async def _trade_with(self, link: RegionLink) -> None:
        """Tell another region where this one stands, and move allowances."""
        while True:
            await asyncio.sleep(link.EVERY_S)
            if not self.node.replica.has_committed_in_term:
                link.forget()
                continue
            for command in link.commands_due(self.ledger):
                await self._try_propose(command)
            for command in await link.exchange(self.ledger):
                await self._try_propose(command)

    async def _try_propose(self, command: Command) -> None:
        """Propose; a replica that does not lead any more leaves it to the one that does."""
        with contextlib.suppress(NotLeaderError, DeposedError):
            await self.node.propose(command)


def _warm_up_times(agreement: Agreement, region: str) -> dict[str, int]:
    """Each converter of the region, with its time to warm up in milliseconds."""
    return {
        one.name: agreement.services[one.service].warm_up_ms
        for one in agreement.converters.values()
        if one.region == region
    }


def monotonic_ms() -> int:
    """This process's own clock."""
    return time.monotonic_ns() // 1_000_000
