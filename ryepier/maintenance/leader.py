"""What a leader does by itself: lets the region's time go on, looks at converters, trades with the other regions."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.commands import AdvanceTime, Command
from ryepier.maintenance.node import DeposedError, Node
from ryepier.maintenance.observer import ListingError, WarmthTracker, fetch_listing
from ryepier.maintenance.region_clock import RegionClock, monotonic_ms
from ryepier.maintenance.region_link import RegionLink
from ryepier.maintenance.replication.errors import NotLeaderError
from ryepier.maintenance.settings import CoordinatorSettings
from ryepier.maintenance.status import Planner

log = logging.getLogger(__name__)

OBSERVE_INTERVAL_S = 0.3
LISTING_TIMEOUT_S = 1.0
ADVANCE_INTERVAL_S = 0.5
IDLE_ADVANCE_MS = 10_000  # without a request: each step of the time is an entry in the log


class LeaderTasks:
    """Runs on every replica; only the leader's commands count."""

    def __init__(self, settings: CoordinatorSettings, node: Node, planning: Planner, clock: RegionClock) -> None:
        """Work with these parts."""
        self.settings = settings
        self.node = node
        self.ledger = node.ledger
        self.planning = planning
        self.clock = clock
        self.tracker = WarmthTracker(_warm_up_times(settings.agreement, settings.region))

    async def advance(self) -> None:
        """Let the region's time go on, by this leader's own clock from where the last one left it."""
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            if not self.node.replica.has_committed_in_term:
                continue
            now_ms = self.clock.now_ms()
            idle = not self.ledger.state.requests
            if not idle or now_ms >= self.ledger.now_ms + IDLE_ADVANCE_MS:
                await self._try_propose(AdvanceTime(now_ms))

    async def observe(self) -> None:
        """Look at the converters; the leader records what has changed."""
        if self.settings.discovery is None:
            return
        reachable = True
        while True:
            await asyncio.sleep(OBSERVE_INTERVAL_S)
            as_of, region_ms = self.ledger.applied, self.ledger.now_ms
            try:
                listing = await fetch_listing(self.settings.discovery, LISTING_TIMEOUT_S)
            except ListingError as error:
                if reachable:
                    log.warning("no listing: %s", error)
                reachable = False
                continue
            reachable = True
            probes = self.tracker.observe(monotonic_ms(), region_ms, listing)
            for converter in self.planning.probes_to_restart(probes):
                self.tracker.restart_warm_up(converter, monotonic_ms(), region_ms)
            if self.node.replica.has_committed_in_term:
                observation = self.planning.observation(self.settings.replica, as_of, probes)
                if observation is not None:
                    await self._try_propose(observation)

    async def exchange_with(self, link: RegionLink) -> None:
        """Tell another region where this one stands, and move allowances."""
        while True:
            await asyncio.sleep(link.INTERVAL_S)
            if not self.node.replica.has_committed_in_term:
                link.reset()
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
