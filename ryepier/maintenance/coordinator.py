"""One coordinator process: a replica of its region's log, and, while it leads, the region's scheduler.

A call is answered only after its command is committed, so a leader that was deposed without knowing grants nothing.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from ryepier.maintenance.leader import LeaderTasks
from ryepier.maintenance.node import FatalError, Node, open_storage
from ryepier.maintenance.peers import PeerConnections
from ryepier.maintenance.region_clock import RegionClock
from ryepier.maintenance.region_link import RegionLink
from ryepier.maintenance.replication.model import ReplicaSettings
from ryepier.maintenance.server import Server
from ryepier.maintenance.settings import CoordinatorComponents, CoordinatorSettings
from ryepier.maintenance.status import Planner

log = logging.getLogger(__name__)

TICK_S = 0.05
BACKLOG = 256

DEFAULT_COMPONENTS = CoordinatorComponents()


class Coordinator:
    """One replica on its sockets."""

    def __init__(self, settings: CoordinatorSettings, parts: CoordinatorComponents | None = None) -> None:
        """Open the disk; by default with the usual parts.

        Raises StorageError, KeyError for an unknown region, ValueError for an unknown replica.
        """
        self.settings = settings
        self.peers = PeerConnections(settings)
        self.node = self._make_node(parts or DEFAULT_COMPONENTS)
        self.clock = RegionClock(self.node.replica, self.node.ledger)
        self.planning = Planner(self.node.ledger, settings.freeze_ms)
        self.stop = asyncio.Event()
        self.fatal: FatalError | None = None

    def _make_node(self, parts: CoordinatorComponents) -> Node:
        """The replica with its disk and an empty ledger."""
        settings = self.settings
        ledger = parts.ledger(settings.agreement, settings.region)
        members = tuple(settings.addresses)
        if settings.replica not in members:
            raise ValueError(f"region {settings.region!r} has no replica {settings.replica!r}")
        disk = open_storage(settings.folder, settings.identity, settings.bootstrap, parts.storage)
        replica = parts.replica(ReplicaSettings(settings.replica, members, settings.seed), disk.state)
        return Node(replica, disk.storage, ledger, self.peers.send)

    async def run(self) -> None:
        """Serve until `stop` is set. Raises FatalError, or OSError where the address can't be had."""
        address = self.settings.addresses[self.settings.replica]
        server = Server(self.settings, self.node, self.planning, self.clock, self._fail)
        listener = await asyncio.start_server(server.serve, *address, backlog=BACKLOG)
        log.info("coordinator is up", extra={"region": self.settings.region, "replica": self.settings.replica})
        tasks = [asyncio.create_task(job) for job in self._background_tasks()]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        await self.stop.wait()
        listener.close()
        for task in tasks:
            task.cancel()
        self.node.close()
        if self.fatal is not None:
            raise self.fatal

    def _background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """All that goes on beside the connections that are served."""
        leader = LeaderTasks(self.settings, self.node, self.planning, self.clock)
        agreement, region = self.settings.agreement, self.settings.region
        links = [RegionLink(agreement, region, other) for other in agreement.regions if other != region]
        return [
            self._tick(),
            leader.advance(),
            leader.observe(),
            *(self.peers.keep(name) for name in self.node.replica.settings.peers),
            *(leader.exchange_with(link) for link in links),
        ]

    async def _tick(self) -> None:
        """The replica's clock. One that stood still has missed its ticks: they are not made up for."""
        while True:
            await asyncio.sleep(TICK_S)
            self.node.tick()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """A job of this process runs until the end; one that raises ends it all."""
        if not task.cancelled() and (error := task.exception()) is not None:
            self._fail(error)

    def _fail(self, error: BaseException) -> None:
        """Stop for good."""
        log.error("coordinator stops: %s", error)
        self.fatal = error if isinstance(error, FatalError) else FatalError(f"{type(error).__name__}: {error}")
        self.stop.set()
