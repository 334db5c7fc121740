"""Forwarder: sends reports to planners, receives plans, and passes their advice to the decision module.

Requests never wait for the forwarder. Without planners the advice fades out, and the sidecar decides on its own.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ryepier.balancer.interface import Outcome, PlanUpdated
from ryepier.plan.machine import Machine
from ryepier.plan.messages import (
    VERSION,
    FrameDecoder,
    Heartbeat,
    Hello,
    Message,
    Plan,
    ProtocolError,
    Rejection,
    Report,
    Term,
    encode,
    term_fields,
)
from ryepier.plan.plan_follower import AcceptanceRules, PlanFollower, PlanRejection
from ryepier.plan.reporter import Reporter

log = logging.getLogger(__name__)

ADVICE_INTERVAL_S = 0.25  # the advice is recomputed this often, as it fades with time
SILENCE_TIMEOUT_US = 3_000_000  # after twelve missed heartbeats, the connection to a planner is closed as hung
CONNECT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
MAX_UNREAD_BYTES = 256 * 1024  # buffered reports per planner; bounds the memory when a planner stops reading


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a forwarder, with the addresses of the planners that it connects to."""

    name: str
    planners: list[tuple[str, int]]
    rules: AcceptanceRules
    report_interval_s: float = 0.5


@dataclass(frozen=True, slots=True)
class SidecarInterface:
    """The callbacks and parameters that a forwarder gets from its sidecar."""

    upstream_ids: Callable[[], Mapping[str, int]]  # returns the upstream ids of the ready converters by uid
    publish: Callable[[PlanUpdated], None]  # passes advice to the decision module
    unanswered_after_us: list[int]  # by class: time after which an attempt without an answer counts as failed
    tenant_count: int


class PlannerConnection(asyncio.Protocol):
    """Forwarder's end of the connection to one planner."""

    def __init__(self, forwarder: Forwarder) -> None:
        """Start unconnected; the first report sent over the connection will be a complete one."""
        self.forwarder = forwarder
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.last_received_at_us = forwarder.machine.clock_us()
        self.needs_complete_report = True
        self.min_retry_s = 0.0  # delay that the planner requested when it rejected the connection
        self.closed_future = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and send a hello."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.forwarder.connections[self] = None
        transport.write(encode(Hello(VERSION, self.forwarder.settings.name, self.forwarder.incarnation)))

    def data_received(self, data: bytes) -> None:
        """Handle all complete messages; close the connection on a protocol error."""
        self.last_received_at_us = self.forwarder.machine.clock_us()
        try:
            for message in self.decoder.feed(data):
                self.on_message(message)
        except ProtocolError as error:
            log.warning("invalid message from a planner, closing the connection: %s", error)
            self.abort()

    def on_message(self, message: Message) -> None:
        """Handle a message. Raises ProtocolError if a planner must not send this type."""
        if isinstance(message, Plan):
            self.forwarder.on_plan(message)
        elif isinstance(message, Rejection):
            log.warning("connection rejected by a planner: %s", message.reason)
            self.min_retry_s = message.retry_ms / 1000
            self.abort()
        elif not isinstance(message, Heartbeat):
            raise ProtocolError(f"unexpected {type(message).__name__.lower()} message from a planner")

    def send_report(self, report: Report) -> bool:
        """Send a report. Returns False if it was not sent because the connection is closed or the planner does not
        read; the planner's next report is then a complete one."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.needs_complete_report = True
            return False
        self.transport.write(encode(report))
        self.needs_complete_report = False
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Deregister the connection and wake up the task that waits until it is closed."""
        self.forwarder.connections.pop(self, None)
        if not self.closed_future.done():
            self.closed_future.set_result(None)


class Forwarder:
    """Reports the sidecar's attempts to planners and follows their plans. The dispatcher notifies it as an observer."""

    def __init__(self, settings: Settings, sidecar: SidecarInterface, machine: Machine) -> None:
        """Start without connections and without a plan; `start` opens the connections."""
        self.settings = settings
        self.sidecar = sidecar
        self.machine = machine
        self.incarnation = machine.unix_us()
        self.reporter = Reporter(sidecar.unanswered_after_us, sidecar.tenant_count)
        self.plan_follower = PlanFollower(settings.name, settings.rules)
        self.connections: dict[PlannerConnection, None] = {}  # a dict keeps the order of insertion, unlike a set
        self.tasks: list[asyncio.Task[None]] = []
        self.last_published = PlanUpdated()
        self.uid_by_upstream: dict[int, str] = {}
        self.last_rejection: PlanRejection | None = None  # why the last plan was rejected; None if it was accepted
        self.followed_term = Term()

    # Observer of the dispatcher

    def on_request(self, tenant: int, class_index: int) -> None:
        """Count an accepted request."""
        self.reporter.on_request(tenant, class_index)

    def on_rejection(self) -> None:
        """Count a rejected request."""
        self.reporter.on_rejection()

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Count the start of an attempt."""
        uid = self.uid_by_upstream.get(upstream)
        if uid is None:
            self.refresh_uids()
            uid = self.uid_by_upstream.get(upstream)
        if uid is not None:
            self.reporter.on_attempt_started(self.machine.clock_us(), uid, token, class_index)

    def on_attempt_ended(self, upstream: int, token: int, outcome: Outcome, elapsed_us: int) -> None:
        """Count the end of an attempt."""
        uid = self.uid_by_upstream.get(upstream)
        if uid is not None:
            self.reporter.on_attempt_ended(uid, token, outcome, elapsed_us)

    def refresh_uids(self) -> None:
        """Update the uids of upstreams; unlisted converters are kept while attempts to them are in flight."""
        upstream_ids = self.sidecar.upstream_ids()
        self.reporter.retain(set(upstream_ids))
        self.uid_by_upstream = {
            upstream_id: uid for upstream_id, uid in self.uid_by_upstream.items() if uid in self.reporter.records
        }
        self.uid_by_upstream |= {upstream_id: uid for uid, upstream_id in upstream_ids.items()}

    # Connections to planners

    def start(self) -> None:
        """Start the tasks that connect to planners, send reports and publish advice."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.maintain_connection(address)) for address in self.settings.planners]
        self.tasks += [
            loop.create_task(self.send_reports_periodically()),
            loop.create_task(self.publish_advice_periodically()),
        ]

    def stop(self) -> None:
        """Cancel the tasks and close the connections."""
        for task in self.tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.abort()

    async def maintain_connection(self, address: tuple[str, int]) -> None:
        """Keep a connection to a planner open. Reconnects with exponential backoff and full jitter, because all
        forwarders lose their connections at the same moment when a planner fails."""
        loop = asyncio.get_running_loop()
        backoff_s = FIRST_BACKOFF_S
        while True:
            connection: PlannerConnection | None = None
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, connection = await loop.create_connection(lambda: PlannerConnection(self), *address)
            except OSError:
                pass
            if connection is not None:
                backoff_s = FIRST_BACKOFF_S
                await self.wait_until_closed(connection)
            min_delay_s = connection.min_retry_s if connection is not None else 0.0
            await asyncio.sleep(min_delay_s + self.jitter_s(backoff_s))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def jitter_s(self, bound_s: float) -> float:
        """Return a random delay between 0 and `bound_s`."""
        return bound_s * self.machine.random.random()

    async def wait_until_closed(self, connection: PlannerConnection) -> None:
        """Wait until a connection is closed; close it if the planner has been silent for too long."""
        while not connection.closed_future.done():
            await asyncio.wait([connection.closed_future], timeout=SILENCE_TIMEOUT_US / 2e6)
            if self.machine.clock_us() > connection.last_received_at_us + SILENCE_TIMEOUT_US:
                connection.abort()

    async def send_reports_periodically(self) -> None:
        """Send a report every `report_interval_s` until the task is cancelled."""
        # the first report is delayed by a random time, so that the forwarders do not all report at the same moment
        await asyncio.sleep(self.jitter_s(self.settings.report_interval_s))
        while True:
            self.refresh_uids()
            self.send_reports()
            await asyncio.sleep(self.settings.report_interval_s)

    def send_reports(self) -> None:
        """Send the same report to every connected planner, a complete one if any of the planners needs it."""
        connections = list(self.connections)
        if not connections:
            return
        now_us, follower = self.machine.clock_us(), self.plan_follower
        listed_count = len(self.sidecar.upstream_ids())
        needs_complete_report = any(connection.needs_complete_report for connection in connections)
        report = self.reporter.report(
            now_us, listed_count, follower.term, follower.age_ms(now_us), needs_complete_report
        )
        for connection in connections:
            if not connection.send_report(report):
                connection.needs_complete_report = True

    # Plans

    def on_plan(self, plan: Plan) -> None:
        """Check a plan against the acceptance rules, and publish its advice if it passes."""
        rejection = self.plan_follower.accept_plan(self.machine.clock_us(), plan, set(self.sidecar.upstream_ids()))
        if rejection and rejection != self.last_rejection:
            fields = term_fields(plan.term)
            log.warning(
                "plan of %s, epoch %d, rejected: %s", plan.term.planner, plan.term.epoch, rejection, extra=fields
            )
        elif not rejection and plan.term != self.followed_term:
            self.followed_term = plan.term
            fields = term_fields(plan.term)
            log.info("following plans of %s, epoch %d", plan.term.planner, plan.term.epoch, extra=fields)
        self.last_rejection = rejection
        if not rejection:
            self.publish_advice()

    async def publish_advice_periodically(self) -> None:
        """Publish the advice every `ADVICE_INTERVAL_S` until the task is cancelled."""
        while True:
            await asyncio.sleep(ADVICE_INTERVAL_S)
            self.publish_advice()

    def publish_advice(self) -> None:
        """Pass the current advice to the decision module if it has changed."""
        now_us = self.machine.clock_us()
        event = PlanUpdated(
            self.plan_follower.advice(now_us, dict(self.sidecar.upstream_ids())),
            self.plan_follower.tenant_shares_within_quota(now_us),
            self.plan_follower.class_admission(now_us),
        )
        if event != self.last_published:
            self.last_published = event
            self.sidecar.publish(event)
