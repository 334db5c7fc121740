"""A coordinator process: a replica of its region's log and, while it is the leader, the region's scheduler.

A call is answered only after its command is committed, so a deposed replica that still considers itself the leader
cannot grant a lease.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from ryepier.maintenance.leader import ProposalTasks
from ryepier.maintenance.node import FatalError, Node
from ryepier.maintenance.peers import PeerConnections
from ryepier.maintenance.planner import Planner
from ryepier.maintenance.region_clock import RegionClock
from ryepier.maintenance.region_link import RegionLink
from ryepier.maintenance.replica_disk import open_storage
from ryepier.maintenance.replication.model import ReplicaSettings
from ryepier.maintenance.server import Server
from ryepier.maintenance.settings import CoordinatorComponents, CoordinatorSettings

log = logging.getLogger(__name__)

TICK_S = 0.05
LISTEN_BACKLOG = 256  # maximum number of connections that wait to be accepted

DEFAULT_COMPONENTS = CoordinatorComponents()


class Coordinator:
    """One replica with its server, peer connections and background tasks."""

    def __init__(self, settings: CoordinatorSettings, components: CoordinatorComponents | None = None) -> None:
        """Open the replica's storage; `components` defaults to DEFAULT_COMPONENTS.

        Raises StorageError if the log file cannot be used, KeyError if the region is unknown, or ValueError if the
        replica is unknown.
        """
        self.settings = settings
        self.peer_connections = PeerConnections(settings)
        self.node = self._make_node(components or DEFAULT_COMPONENTS)
        self.clock = RegionClock(self.node.replica, self.node.ledger)
        self.planner = Planner(self.node.ledger, settings.freeze_ms)
        self.stop_event = asyncio.Event()
        self.fatal_error: FatalError | None = None

    def _make_node(self, components: CoordinatorComponents) -> Node:
        """Return a node with the opened storage, a replica in the stored state and an empty ledger."""
        settings = self.settings
        ledger = components.ledger_type(settings.agreement, settings.region)
        members = tuple(settings.addresses)
        if settings.replica not in members:
            raise ValueError(f"region {settings.region!r} has no replica {settings.replica!r}")
        opened_storage = open_storage(settings.folder, settings.identity, settings.bootstrap, components.storage_type)
        replica = components.replica_type(
            ReplicaSettings(settings.replica, members, settings.seed), opened_storage.state
        )
        return Node(replica, opened_storage.storage, ledger, self.peer_connections.send)

    async def run(self) -> None:
        """Serve until `stop_event` is set. Raises FatalError, or OSError if the address cannot be bound."""
        address = self.settings.addresses[self.settings.replica]
        server = Server(self.settings, self.node, self.planner, self.clock, self._stop_with_error)
        socket_server = await asyncio.start_server(server.serve, *address, backlog=LISTEN_BACKLOG)
        log.info("coordinator is up", extra={"region": self.settings.region, "replica": self.settings.replica})
        tasks = [asyncio.create_task(coroutine) for coroutine in self._background_tasks()]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        await self.stop_event.wait()
        socket_server.close()
        for task in tasks:
            task.cancel()
        self.node.close()
        if self.fatal_error is not None:
            raise self.fatal_error

    def _background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run alongside the server."""
        proposal_tasks = ProposalTasks(self.settings, self.node, self.planner, self.clock)
        agreement, region = self.settings.agreement, self.settings.region
        links = [
            RegionLink(agreement, region, remote_region)
            for remote_region in agreement.regions
            if remote_region != region
        ]
        return [
            self._tick_replica(),
            proposal_tasks.advance_time(),
            proposal_tasks.observe(),
            *(self.peer_connections.keep_connected(peer) for peer in self.node.replica.settings.peers),
            *(proposal_tasks.exchange_with(link) for link in links),
        ]

    async def _tick_replica(self) -> None:
        """Advance the replica's clock every TICK_S. Ticks missed while the process was suspended are skipped."""
        while True:
            await asyncio.sleep(TICK_S)
            self.node.tick()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Stop the process if a background task has failed."""
        if not task.cancelled() and (error := task.exception()) is not None:
            self._stop_with_error(error)

    def _stop_with_error(self, error: BaseException) -> None:
        """Stop the process. `run` then raises `error`, wrapped in a FatalError if it is of another type."""
        log.error("coordinator stops after an error: %s", error)
        self.fatal_error = error if isinstance(error, FatalError) else FatalError(f"{type(error).__name__}: {error}")
        self.stop_event.set()
