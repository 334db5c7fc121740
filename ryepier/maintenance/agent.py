"""An agent: takes leases of one region and carries their windows out, one step after another.

What it does to converters it does only under a lease whose drain was committed, with the lease's token. Its word ends
no lease: the coordinators look for themselves whether a converter is ready and warm.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import ReleaseLease, StartDrain
from ryepier.maintenance.fleet import Fleet, FleetError
from ryepier.maintenance.results import DrainStarted, Granted, Rejected
from ryepier.maintenance.tables import LeaseState

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.2  # without a window that is due
RETRY_DELAY_S = 0.5
IN_FLIGHT_POLL_S = 0.1
DRAIN_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """How an agent works.

    `drain_grace_s` is how long sidecars may go on sending to a converter that was listed as draining. `work_s` stands
    for the maintenance itself. At most `max_concurrent_leases` windows are carried out together.
    """

    name: str
    drain_grace_s: float = 0.5
    work_s: float = 0.5
    max_concurrent_leases: int = 8


class Agent:
    """One agent of a region."""

    def __init__(self, settings: AgentSettings, client: RegionClient, fleet: Fleet) -> None:
        """Use `client` to reach the region's coordinators, and `fleet` for the converters."""
        self.settings = settings
        self.client = client
        self.fleet = fleet
        self.incarnation = uuid.uuid4().hex[:8]
        self.next_lease_number = 0
        self.active_leases: set[str] = set()

    async def run(self) -> None:
        """Take windows for ever; first those that an earlier life of this agent has left open."""
        async with asyncio.TaskGroup() as group:
            for left in await self._resume_open_leases():
                self._begin(group, left)
            while True:
                lease = await self._acquire_lease()
                if lease is None:
                    await asyncio.sleep(POLL_INTERVAL_S)
                else:
                    self._begin(group, lease)

    def _begin(self, group: asyncio.TaskGroup, lease: Granted) -> None:
        """Carry a window out beside the others."""
        self.active_leases.add(lease.lease)
        group.create_task(self._process_ready(lease))

    async def _resume_open_leases(self) -> list[Granted]:
        """Leases of this agent's name that are not settled."""
        while True:
            try:
                status = await self.client.status(CALL_TIMEOUT_S)
            except CallError as error:
                log.warning("no status: %s", error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            unsettled = (LeaseState.GRANTED, LeaseState.DRAINING)
            mine = [one for one in status.leases if one.agent == self.settings.name and one.state in unsettled]
            return [Granted(one.name, one.agent, one.token, one.converters) for one in mine]

    async def _acquire_lease(self) -> Granted | None:
        """Ask for a window; under the same name until it is known what became of it."""
        if len(self.active_leases) >= self.settings.max_concurrent_leases:
            return None
        name = f"{self.settings.name}-{self.incarnation}-{self.next_lease_number}"
        try:
            result = await self.client.acquire_lease(name, CALL_TIMEOUT_S)
        except CallError as error:
            log.warning("no lease: %s", error)
            return None
        if result is None:
            return None
        self.next_lease_number += 1
        if isinstance(result, Granted):
            return result
        log.info("no lease: %s", result.reason if isinstance(result, Rejected) else result)
        return None

    async def _process_ready(self, lease: Granted) -> None:
        """One window, from its drain to its report."""
        log.info("window begins", extra={"lease": lease.lease, "token": lease.token, "converters": lease.converters})
        try:
            if await self._begin_drain(lease):
                await asyncio.gather(*(self._maintain(name, lease.token) for name in lease.converters))
                await self._release(lease)
                log.info("window is over", extra={"lease": lease.lease})
        except FleetError as error:
            log.warning("window is left: %s", error, extra={"lease": lease.lease, "token": lease.token})
        finally:
            self.active_leases.discard(lease.lease)

    async def _begin_drain(self, lease: Granted) -> bool:
        """Whether the coordinators have committed that the drain begins."""
        result = await self._retry_until_acknowledged(
            lambda: self.client.command(StartDrain(lease.lease, lease.token), CALL_TIMEOUT_S)
        )
        if isinstance(result, DrainStarted):
            return True
        log.info("window was called off: %s", result, extra={"lease": lease.lease})
        return False

    async def _release(self, lease: Granted) -> None:
        """Report that the work is done."""
        command = ReleaseLease(lease.lease, lease.token)
        result = await self._retry_until_acknowledged(lambda: self.client.command(command, CALL_TIMEOUT_S))
        if isinstance(result, Rejected):
            log.info("report is refused: %s", result.reason, extra={"lease": lease.lease})

    @staticmethod
    async def _retry_until_acknowledged(call: Callable[[], Awaitable[object]]) -> object:
        """Ask until a leader has answered; all that is asked so may be asked twice."""
        while True:
            try:
                return await call()
            except CallError as error:
                log.warning("no answer: %s", error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _maintain(self, converter: str, token: int) -> None:
        """Drain, down, work, up. Raises FleetError, and then leaves it as it is."""
        await self.fleet.do("drain", converter, token)
        await asyncio.sleep(self.settings.drain_grace_s)
        await self._wait_until_idle(converter, token)
        await self.fleet.do("stop", converter, token)
        await self.fleet.do("remove", converter, token)
        await asyncio.sleep(self.settings.work_s)
        started = await self.fleet.do("start", converter, token)
        await self.fleet.do("list", converter, token, started.uid)

    async def _wait_until_idle(self, converter: str, token: int) -> None:
        """Wait for the answers in flight. Raises FleetError where they do not end."""
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                while (await self.fleet.do("in-flight", converter, token)).in_flight > 0:
                    await asyncio.sleep(IN_FLIGHT_POLL_S)
        except TimeoutError:
            raise FleetError(f"{converter} has requests in flight after {DRAIN_TIMEOUT_S:g} s") from None
