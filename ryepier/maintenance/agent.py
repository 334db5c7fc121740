"""The agent: acquires leases from one region's coordinators and carries out the maintenance of the leased converters.

An agent acts on a converter only under a lease whose drain is committed, and sends the lease's fencing token with every
step. Releasing a lease does not close it: the coordinators close it after they have observed that its converters are
ready and warm.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import ReleaseLease, StartDrain
from ryepier.maintenance.fleet import Action, Fleet, FleetError
from ryepier.maintenance.results import DrainStarted, Granted, Rejected, Result
from ryepier.maintenance.tables import LeaseState

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 10.0
WINDOW_POLL_INTERVAL_S = 0.2  # delay between lease requests if none was granted
RETRY_DELAY_S = 0.5
IN_FLIGHT_POLL_INTERVAL_S = 0.1
DRAIN_TIMEOUT_S = 10.0
RESUMABLE_STATES = (LeaseState.GRANTED, LeaseState.DRAINING)


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """The settings of an agent.

    `drain_grace_s` is how long sidecars may still send requests to a converter after it is listed as draining. `work_s`
    is the duration of the simulated maintenance work. The agent holds at most `max_concurrent_leases` at a time.
    """

    name: str
    drain_grace_s: float = 0.5
    work_s: float = 0.5
    max_concurrent_leases: int = 8


class Agent:
    """One agent of a region. Only one process at a time may use an agent's name."""

    def __init__(self, settings: AgentSettings, client: RegionClient, fleet: Fleet) -> None:
        """Start without leases; `client` calls the region's coordinators, and `fleet` acts on converters."""
        self.settings = settings
        self.client = client
        self.fleet = fleet
        self.incarnation = uuid.uuid4().hex[:8]
        self.next_lease_number = 0
        self.active_leases: set[str] = set()

    async def run(self) -> None:
        """Acquire leases and maintain their converters until cancelled.

        First resumes the leases that an earlier process of this agent has acquired and not released.
        """
        async with asyncio.TaskGroup() as group:
            for lease in await self._fetch_resumable_leases():
                self._start_maintenance(group, lease)
            while True:
                acquired_lease = await self._acquire_lease()
                if acquired_lease is None:
                    await asyncio.sleep(WINDOW_POLL_INTERVAL_S)
                else:
                    self._start_maintenance(group, acquired_lease)

    def _start_maintenance(self, group: asyncio.TaskGroup, lease: Granted) -> None:
        """Count a lease as active, and start the task that maintains its converters."""
        self.active_leases.add(lease.lease)
        group.create_task(self._carry_out_maintenance(lease))

    async def _fetch_resumable_leases(self) -> list[Granted]:
        """Return this agent's leases that are neither released nor revoked. Retries until the status is available."""
        while True:
            try:
                status = await self.client.status(CALL_TIMEOUT_S)
            except CallError as error:
                log.warning("region status unavailable: %s", error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            own_leases = [
                lease
                for lease in status.leases
                if lease.agent == self.settings.name and lease.state in RESUMABLE_STATES
            ]
            return [Granted(lease.name, lease.agent, lease.token, lease.converters) for lease in own_leases]

    async def _acquire_lease(self) -> Granted | None:
        """Request a lease; return None if none was granted or `max_concurrent_leases` leases are active.

        If the outcome of a request is unknown, the next call repeats the request with the same lease name.
        """
        if len(self.active_leases) >= self.settings.max_concurrent_leases:
            return None
        name = f"{self.settings.name}-{self.incarnation}-{self.next_lease_number}"
        try:
            result = await self.client.acquire_lease(name, CALL_TIMEOUT_S)
        except CallError as error:
            log.warning("lease not acquired: %s", error)
            return None
        if result is None:
            return None
        self.next_lease_number += 1
        if isinstance(result, Granted):
            return result
        log.info("lease not granted: %s", result.reason if isinstance(result, Rejected) else result)
        return None

    async def _carry_out_maintenance(self, lease: Granted) -> None:
        """Drain and maintain the converters of a lease, then release it. Abandons the lease if a step fails."""
        log_fields = {"lease": lease.lease, "token": lease.token}
        log.info("maintenance started", extra={**log_fields, "converters": lease.converters})
        try:
            if await self._start_drain(lease):
                await asyncio.gather(*(self._maintain_converter(name, lease.token) for name in lease.converters))
                await self._release_lease(lease)
                log.info("maintenance completed", extra=log_fields)
        except FleetError as error:
            log.warning("maintenance abandoned: %s", error, extra=log_fields)
        finally:
            self.active_leases.discard(lease.lease)

    async def _start_drain(self, lease: Granted) -> bool:
        """Ask the coordinators to start the drain of a lease; return whether they have committed the start."""
        command = StartDrain(lease.lease, lease.token)
        result = await self._retry_until_acknowledged(lambda: self.client.command(command, CALL_TIMEOUT_S))
        if isinstance(result, DrainStarted):
            return True
        log.info("drain not started: %s", result, extra={"lease": lease.lease})
        return False

    async def _release_lease(self, lease: Granted) -> None:
        """Release a lease whose converters have been maintained. A rejection is only logged."""
        command = ReleaseLease(lease.lease, lease.token)
        result = await self._retry_until_acknowledged(lambda: self.client.command(command, CALL_TIMEOUT_S))
        if isinstance(result, Rejected):
            log.info("release rejected: %s", result.reason, extra={"lease": lease.lease})

    @staticmethod
    async def _retry_until_acknowledged(call: Callable[[], Awaitable[Result]]) -> Result:
        """Repeat an idempotent call until a leader has replied to it."""
        while True:
            try:
                return await call()
            except CallError as error:
                log.warning("call to the coordinators failed, retrying: %s", error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _maintain_converter(self, converter: str, token: int) -> None:
        """Drain and stop a converter, do the maintenance work, then start and list it again.

        Raises FleetError if a step fails; the converter then stays in its current state.
        """
        await self.fleet.perform(Action.DRAIN, converter, token)
        await asyncio.sleep(self.settings.drain_grace_s)
        await self._wait_until_idle(converter, token)
        await self.fleet.perform(Action.STOP, converter, token)
        await self.fleet.perform(Action.REMOVE, converter, token)
        await asyncio.sleep(self.settings.work_s)
        reply = await self.fleet.perform(Action.START, converter, token)
        await self.fleet.perform(Action.LIST, converter, token, reply.uid)

    async def _wait_until_idle(self, converter: str, token: int) -> None:
        """Wait until a converter has no requests in flight. Raises FleetError after DRAIN_TIMEOUT_S."""
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                while (await self.fleet.perform(Action.IN_FLIGHT, converter, token)).in_flight > 0:
                    await asyncio.sleep(IN_FLIGHT_POLL_INTERVAL_S)
        except TimeoutError:
            raise FleetError(f"{converter} still has requests in flight after {DRAIN_TIMEOUT_S:g} s") from None
