"""Background tasks that advance the region's time, observe converters and call other regions."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.commands import AdvanceTime, Command
from ryepier.maintenance.discovery_listing import ListingError, fetch_listing
from ryepier.maintenance.node import DeposedError, Node
from ryepier.maintenance.observer import ListedConverter, WarmthTracker
from ryepier.maintenance.planner import Planner
from ryepier.maintenance.region_clock import RegionClock, monotonic_ms
from ryepier.maintenance.region_link import RegionLink
from ryepier.maintenance.replication.errors import NotLeaderError
from ryepier.maintenance.settings import CoordinatorSettings

log = logging.getLogger(__name__)

OBSERVE_INTERVAL_S = 0.3
LISTING_TIMEOUT_S = 1.0
ADVANCE_INTERVAL_S = 0.5
# Minimum step of the region's time while there are no requests. It is longer than ADVANCE_INTERVAL_S, because each
# advance adds an entry to the log.
IDLE_ADVANCE_MS = 10_000


class ProposalTasks:
    """Background tasks that propose commands to the region's log.

    They run on every replica until they are cancelled, but only the leader proposes.
    """

    def __init__(self, settings: CoordinatorSettings, node: Node, planner: Planner, clock: RegionClock) -> None:
        """Start with an empty warmth tracker for the converters of the region; no task is running yet."""
        self.settings = settings
        self.node = node
        self.ledger = node.ledger
        self.planner = planner
        self.clock = clock
        self.tracker = WarmthTracker(_warm_up_times(settings.agreement, settings.region))
        self.listing_available = True

    async def advance_time(self) -> None:
        """Advance the region's time by this leader's clock, starting from the last committed time."""
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            if not self.node.replica.has_committed_in_term:
                continue
            now_ms = self.clock.now_ms()
            is_idle = not self.ledger.state.requests
            if not is_idle or now_ms >= self.ledger.now_ms + IDLE_ADVANCE_MS:
                await self._try_propose(AdvanceTime(now_ms))

    async def observe(self) -> None:
        """Fetch discovery's list periodically and track the converters' warmth. Only the leader proposes changes."""
        if self.settings.discovery is None:
            return
        while True:
            await asyncio.sleep(OBSERVE_INTERVAL_S)
            as_of, region_time_ms = self.ledger.applied, self.ledger.now_ms
            try:
                listing = await fetch_listing(self.settings.discovery, LISTING_TIMEOUT_S)
            except ListingError as error:
                if self.listing_available:
                    log.warning("cannot fetch the list of converters: %s", error)
                self.listing_available = False
                continue
            self.listing_available = True
            await self._record_listing(listing, as_of, region_time_ms)

    async def _record_listing(self, listing: list[ListedConverter], as_of: int, region_time_ms: int) -> None:
        """Update the warmth tracker from a listing; as the leader, propose the observations that the ledger lacks.

        `as_of` is the last applied log index and `region_time_ms` the region's time, both from before the listing was
        fetched.
        """
        probes = self.tracker.observe(monotonic_ms(), region_time_ms, listing)
        for converter in self.planner.warm_ups_to_restart(probes):
            self.tracker.restart_warm_up(converter, monotonic_ms(), region_time_ms)
        if self.node.replica.has_committed_in_term:
            command = self.planner.observation_command(self.settings.replica, as_of, probes)
            if command is not None:
                await self._try_propose(command)

    async def exchange_with(self, link: RegionLink) -> None:
        """Report this region's capacity needs to another region periodically, and transfer allowances to it."""
        while True:
            await asyncio.sleep(link.EXCHANGE_INTERVAL_S)
            if not self.node.replica.has_committed_in_term:
                link.forget_last_report()
                continue
            for command in link.debits_due(self.ledger):
                await self._try_propose(command)
            for command in await link.exchange(self.ledger):
                await self._try_propose(command)

    async def _try_propose(self, command: Command) -> None:
        """Propose a command. Ignores a loss of leadership: the new leader proposes what is still needed."""
        with contextlib.suppress(NotLeaderError, DeposedError):
            await self.node.propose(command)


def _warm_up_times(agreement: Agreement, region: str) -> dict[str, int]:
    """Return the warm-up time of each converter of a region, in milliseconds."""
    return {
        converter.name: agreement.services[converter.service].warm_up_ms
        for converter in agreement.converters.values()
        if converter.region == region
    }
