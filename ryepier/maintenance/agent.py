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
from ryepier.maintenance.commands import BeginDrain, ReleaseLease
from ryepier.maintenance.fleet import Fleet, FleetError
from ryepier.maintenance.results import Begun, Granted, Refused
from ryepier.maintenance.tables import LeaseState

log = logging.getLogger(__name__)

CALL_WITHIN_S = 10.0
POLL_S = 0.2  # without a window that is due
RETRY_S = 0.5
IN_FLIGHT_POLL_S = 0.1
IN_FLIGHT_WITHIN_S = 10.0


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """How an agent works.

    `drain_grace_s` is how long sidecars may go on sending to a converter that was listed as draining. `work_s` stands
    for the maintenance itself. At most `at_once` windows are carried out together.
    """

    name: str
    drain_grace_s: float = 0.5
    work_s: float = 0.5
    at_once: int = 8


class Agent:
    """One agent of a region."""

    def __init__(self, settings: AgentSettings, client: RegionClient, fleet: Fleet) -> None:
        """Use `client` to reach the region's coordinators, and `fleet` for the converters."""
        self.settings = settings
        self.client = client
        self.fleet = fleet
        self.life = uuid.uuid4().hex[:8]
        self.asked = 0
        self.open: set[str] = set()

    async def run(self) -> None:
        """Take windows for ever; first those that an earlier life of this agent has left open."""
        async with asyncio.TaskGroup() as group:
            for left in await self._left_open():
                self._begin(group, left)
            while True:
                lease = await self._next_lease()
                if lease is None:
                    await asyncio.sleep(POLL_S)
                else:
                    self._begin(group, lease)

    def _begin(self, group: asyncio.TaskGroup, lease: Granted) -> None:
        """Carry a window out beside the others."""
        self.open.add(lease.lease)
        group.create_task(self._carry_out(lease))

    async def _left_open(self) -> list[Granted]:
        """Leases of this agent's name that are not settled."""
        while True:
            try:
                status = await self.client.status(CALL_WITHIN_S)
            except CallError as error:
                log.warning("no status: %s", error)
                await asyncio.sleep(RETRY_S)
                continue
            unsettled = (LeaseState.GRANTED, LeaseState.DRAINING)
            mine = [one for one in status.leases if one.agent == self.settings.name and one.state in unsettled]
            return [Granted(one.name, one.agent, one.token, one.converters) for one in mine]

    async def _next_lease(self) -> Granted | None:
        """Ask for a window; under the same name until it is known what became of it."""
        if len(self.open) >= self.settings.at_once:
            return None
        name = f"{self.settings.name}-{self.life}-{self.asked}"
        try:
            result = await self.client.take_lease(name, CALL_WITHIN_S)
        except CallError as error:
            log.warning("no lease: %s", error)
            return None
        if result is None:
            return None
        self.asked += 1
        if isinstance(result, Granted):
            return result
        log.info("no lease: %s", result.reason if isinstance(result, Refused) else result)
        return None

    async def _carry_out(self, lease: Granted) -> None:
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
            self.open.discard(lease.lease)

    async def _begin_drain(self, lease: Granted) -> bool:
        """Whether the coordinators have committed that the drain begins."""
        result = await self._until_told(
            lambda: self.client.command(BeginDrain(lease.lease, lease.token), CALL_WITHIN_S)
        )
        if isinstance(result, Begun):
            return True
        log.info("window was called off: %s", result, extra={"lease": lease.lease})
        return False

    async def _release(self, lease: Granted) -> None:
        """Report that the work is done."""
        command = ReleaseLease(lease.lease, lease.token)
        result = await self._until_told(lambda: self.client.command(command, CALL_WITHIN_S))
        if isinstance(result, Refused):
            log.info("report is refused: %s", result.reason, extra={"lease": lease.lease})

    @staticmethod
    async def _until_told(call: Callable[[], Awaitable[object]]) -> object:
        """Ask until a leader has answered; all that is asked so may be asked twice."""
        while True:
            try:
                return await call()
            except CallError as error:
                log.warning("no answer: %s", error)
                await asyncio.sleep(RETRY_S)

    async def _maintain(self, converter: str, token: int) -> None:
        """Drain, down, work, up. Raises FleetError, and then leaves it as it is."""
        await self.fleet.do("drain", converter, token)
        await asyncio.sleep(self.settings.drain_grace_s)
        await self._until_idle(converter, token)
        await self.fleet.do("stop", converter, token)
        await self.fleet.do("remove", converter, token)
        await asyncio.sleep(self.settings.work_s)
        started = await self.fleet.do("start", converter, token)
        await self.fleet.do("list", converter, token, started.uid)

    async def _until_idle(self, converter: str, token: int) -> None:
        """Wait for the answers in flight. Raises FleetError where they do not end."""
        try:
            async with asyncio.timeout(IN_FLIGHT_WITHIN_S):
                while (await self.fleet.do("in-flight", converter, token)).in_flight > 0:
                    await asyncio.sleep(IN_FLIGHT_POLL_S)
        except TimeoutError:
            raise FleetError(f"{converter} has requests in flight after {IN_FLIGHT_WITHIN_S:g} s") from None
