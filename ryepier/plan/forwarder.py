"""Forwarder: sends reports to planners, receives plans, and advises the decision module.

No request waits for it. Without planners the advice fades out, and the sidecar decides alone.
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

ADVICE_INTERVAL_S = 0.25  # advice fades with time
SILENCE_TIMEOUT_US = 3_000_000  # a dozen heartbeats: the planner hangs, and its connection is closed
DIAL_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
MAX_UNREAD_BYTES = 256 * 1024  # of reports; the planner hangs, and they would fill the memory


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a forwarder."""

    name: str
    planners: list[tuple[str, int]]
    rules: AcceptanceRules
    report_interval_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Sidecar:
    """The parts of a sidecar that a forwarder needs."""

    upstream_ids: Callable[[], Mapping[str, int]]  # of the ready converters, by uid
    publish: Callable[[PlanUpdated], None]
    unanswered_after_us: list[int]  # by class
    tenants: int


class PlannerConnection(asyncio.Protocol):
    """The connection to one planner."""

    def __init__(self, forwarder: Forwarder) -> None:
        """Prepare a connection."""
        self.forwarder = forwarder
        self.transport: asyncio.Transport | None = None
        self.frames = FrameDecoder()
        self.last_received_us = forwarder.machine.clock_us()
        self.needs_complete_report = True
        self.retry_s = 0.0
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a hello."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.forwarder.connections[self] = None
        transport.write(encode(Hello(VERSION, self.forwarder.settings.name, self.forwarder.incarnation)))

    def data_received(self, data: bytes) -> None:
        """Handle the messages that are complete."""
        self.last_received_us = self.forwarder.machine.clock_us()
        try:
            for message in self.frames.feed(data):
                self.on_message(message)
        except ProtocolError as error:
            log.warning("message of a planner rejected: %s", error)
            self.abort()

    def on_message(self, message: Message) -> None:
        """Handle a message. Raises ProtocolError for one that is not allowed."""
        if isinstance(message, Plan):
            self.forwarder.on_plan(message)
        elif isinstance(message, Rejection):
            log.warning("connection rejected by a planner: %s", message.reason)
            self.retry_s = message.retry_ms / 1000
            self.abort()
        elif not isinstance(message, Heartbeat):
            raise ProtocolError(f"a {type(message).__name__.lower()} from a planner")

    def send_report(self, report: Report) -> bool:
        """Send a report. Returns whether it was sent: a planner that does not read gets a complete one later."""
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
        """Leave the forwarder."""
        self.forwarder.connections.pop(self, None)
        if not self.closed.done():
            self.closed.set_result(None)


class Forwarder:
    """Reports the sidecar's attempts and follows plans; an observer of the dispatcher."""

    def __init__(self, settings: Settings, sidecar: Sidecar, machine: Machine) -> None:
        """Prepare a forwarder; `start` connects it."""
        self.settings = settings
        self.sidecar = sidecar
        self.machine = machine
        self.incarnation = machine.unix_us()
        self.reporter = Reporter(sidecar.unanswered_after_us, sidecar.tenants)
        self.follower = PlanFollower(settings.name, settings.rules)
        self.connections: dict[PlannerConnection, None] = {}  # ordered, unlike a set
        self.tasks: list[asyncio.Task[None]] = []
        self.last_event = PlanUpdated()
        self.uids: dict[int, str] = {}
        self.last_rejection: PlanRejection | None = None
        self.followed_term = Term()

    # Observer of the dispatcher

    def on_request(self, tenant: int, class_index: int) -> None:
        """Count an accepted request."""
        self.reporter.on_request(tenant, class_index)

    def on_rejection(self) -> None:
        """Count a rejected request."""
        self.reporter.on_rejection()

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Count an attempt."""
        uid = self.uids.get(upstream)
        if uid is None:
            self.refresh_uids()
            uid = self.uids.get(upstream)
        if uid is not None:
            self.reporter.on_attempt_started(self.machine.clock_us(), uid, token, class_index)

    def on_attempt_ended(self, upstream: int, token: int, outcome: Outcome, elapsed_us: int) -> None:
        """Count the end of an attempt."""
        uid = self.uids.get(upstream)
        if uid is not None:
            self.reporter.on_attempt_ended(uid, token, outcome, elapsed_us)

    def refresh_uids(self) -> None:
        """Update the uids; those of unlisted converters stay until no attempt is in flight to them."""
        upstream_ids = self.sidecar.upstream_ids()
        self.reporter.retain(set(upstream_ids))
        self.uids = {upstream_id: uid for upstream_id, uid in self.uids.items() if uid in self.reporter.records}
        self.uids |= {upstream_id: uid for uid, upstream_id in upstream_ids.items()}

    # The connections

    def start(self) -> None:
        """Connect to the planners, report and advise from now on."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.maintain_connection(address)) for address in self.settings.planners]
        self.tasks += [loop.create_task(self.run_reports()), loop.create_task(self.run_advice())]

    def stop(self) -> None:
        """Close the connections."""
        for task in self.tasks:
            task.cancel()
        for link in list(self.connections):
            link.abort()

    async def maintain_connection(self, address: tuple[str, int]) -> None:
        """Keep a connection to a planner open, with backoff and full jitter: all forwarders lose theirs at the
        same moment when a planner fails."""
        loop = asyncio.get_running_loop()
        bound_s = FIRST_BACKOFF_S
        while True:
            link: PlannerConnection | None = None
            try:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    _, link = await loop.create_connection(lambda: PlannerConnection(self), *address)
            except OSError:
                pass
            if link is not None:
                bound_s = FIRST_BACKOFF_S
                await self.wait_until_closed(link)
            min_s = link.retry_s if link is not None else 0.0
            await asyncio.sleep(min_s + self.jitter_s(bound_s))
            bound_s = min(MAX_BACKOFF_S, 2 * bound_s)

    def jitter_s(self, bound_s: float) -> float:
        """Return a random time up to a bound."""
        return bound_s * self.machine.random.random()

    async def wait_until_closed(self, link: PlannerConnection) -> None:
        """Wait for the end of a connection, and close one whose planner hangs."""
        while not link.closed.done():
            await asyncio.wait([link.closed], timeout=SILENCE_TIMEOUT_US / 2e6)
            if self.machine.clock_us() > link.last_received_us + SILENCE_TIMEOUT_US:
                link.abort()

    async def run_reports(self) -> None:
        """Send reports forever."""
        await asyncio.sleep(self.jitter_s(self.settings.report_interval_s))  # not all forwarders at the same moment
        while True:
            self.refresh_uids()
            self.send_reports()
            await asyncio.sleep(self.settings.report_interval_s)

    def send_reports(self) -> None:
        """Send a report to each connected planner."""
        links = list(self.connections)
        if not links:
            return
        now_us, follower = self.machine.clock_us(), self.follower
        listed = len(self.sidecar.upstream_ids())
        needs_complete_report = any(link.needs_complete_report for link in links)
        report = self.reporter.report(now_us, listed, follower.term, follower.age_ms(now_us), needs_complete_report)
        for link in links:
            if not link.send_report(report):
                link.needs_complete_report = True

    # Plans

    def on_plan(self, plan: Plan) -> None:
        """Follow a plan if it is accepted."""
        rejection = self.follower.accept_plan(self.machine.clock_us(), plan, set(self.sidecar.upstream_ids()))
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

    async def run_advice(self) -> None:
        """Advise forever."""
        while True:
            await asyncio.sleep(ADVICE_INTERVAL_S)
            self.publish_advice()

    def publish_advice(self) -> None:
        """Advise the decision module, if the advice has changed."""
        now_us = self.machine.clock_us()
        event = PlanUpdated(
            self.follower.advice(now_us, dict(self.sidecar.upstream_ids())),
            self.follower.tenant_weight(now_us),
            self.follower.class_admission(now_us),
        )
        if event != self.last_event:
            self.last_event = event
            self.sidecar.publish(event)
