"""Planner server: receives reports, exchanges heartbeats with its peers, and publishes plans while it is the leader."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from ryepier.plan import snapshot
from ryepier.plan.evidence import Evidence
from ryepier.plan.leadership import Leadership
from ryepier.plan.machine import Machine
from ryepier.plan.messages import (
    VERSION,
    FrameDecoder,
    Heartbeat,
    Hello,
    Message,
    ProtocolError,
    Rejection,
    Report,
    encode,
    term_fields,
)
from ryepier.plan.plan_computation import Planner
from ryepier.plan.plan_follower import AcceptanceRules

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.25  # heartbeat interval
TICKS_PER_PLAN = 2
TICKS_PER_SNAPSHOT = 4
TICKS_PER_EXPIRY = 40  # interval between removals of expired evidence
MAX_UNREAD_BYTES = 512 * 1024  # buffered output per connection; bounds the memory when a peer stops reading
HELLO_TIMEOUT_S = 3.0  # time within which a hello must arrive on an accepted connection
MIN_REPORT_INTERVAL_US = 100_000  # reports that follow sooner are dropped; the next one includes their counters
PEER_RETRY_S = 0.3  # interval between attempts to connect to a peer
BUSY_RETRY_MS = 5_000  # retry delay for forwarders that are rejected because `max_forwarders` are connected
MAX_SNAPSHOT_AGE_MS = 120_000  # ejections in older snapshots are obsolete


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a planner, with the addresses of its peers and its limits."""

    name: str
    listen: tuple[str, int]
    peers: dict[str, tuple[str, int]]  # the other planners, by name
    rules: AcceptanceRules
    tenant_shares: list[float]  # quotas by tenant, as shares of all arrivals
    class_limits: list[float]  # by class: arrivals per second over all forwarders; 0 means no limit
    max_forwarders: int  # number of forwarders that may be connected at a time
    folder: Path | None = None  # where snapshots are stored; None disables them


class PlannerServerConnection(asyncio.Protocol):
    """A connection accepted from a forwarder or a peer, or opened to a peer."""

    def __init__(self, server: PlannerServer, is_outgoing: bool = False) -> None:
        """Start unconnected and without a hello; `is_outgoing` if this planner opens the connection to a peer."""
        self.server = server
        self.is_outgoing = is_outgoing
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.hello: Hello | None = None  # the received hello; always None on an outgoing connection
        self.last_report_at_us = 0
        self.hello_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; send a hello if it is outgoing, otherwise start the timeout for receiving one."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections[self] = None
        if self.is_outgoing:
            self.write(encode(Hello(VERSION, self.server.settings.name, self.server.incarnation, is_peer=True)))
        else:
            self.hello_timer = asyncio.get_running_loop().call_later(HELLO_TIMEOUT_S, self.reject, "no hello")

    def data_received(self, data: bytes) -> None:
        """Handle all complete messages; reject the connection on a protocol error."""
        self.server.counts["bytes in"] += len(data)
        try:
            for message in self.decoder.feed(data):
                self.on_message(message)
        except ProtocolError as error:
            self.reject(str(error))

    def on_message(self, message: Message) -> None:
        """Handle a message. Raises ProtocolError if it is not allowed in the connection's present state."""
        if isinstance(message, Heartbeat):
            self.server.leadership.on_heartbeat(self.server.machine.clock_us(), message)
        elif isinstance(message, Rejection) and self.is_outgoing:
            log.warning("connection rejected by a peer: %s", message.reason)
        elif isinstance(message, Hello) and self.hello is None and not self.is_outgoing:
            self.on_hello(message)
        elif isinstance(message, Report) and self.hello is not None and not self.hello.is_peer:
            self.on_report(message)
        else:
            raise ProtocolError(f"unexpected {type(message).__name__.lower()} message")

    def on_hello(self, hello: Hello) -> None:
        """Accept a peer, or a forwarder unless `max_forwarders` are connected; send the current plan to a forwarder."""
        if self.hello_timer is not None:
            self.hello_timer.cancel()
        if not hello.is_peer and self.server.forwarder_count() >= self.server.settings.max_forwarders:
            self.reject("as many forwarders as this planner takes", BUSY_RETRY_MS)
            return
        self.hello = hello
        frame = self.server.last_plan_frame
        if frame is not None and not hello.is_peer:
            self.write(frame)

    def on_report(self, report: Report) -> None:
        """Merge a report, or drop it if it arrives within MIN_REPORT_INTERVAL_US of the last one, so that no forwarder
        can use up the planner's CPU time."""
        assert self.hello is not None
        now_us = self.server.machine.clock_us()
        if now_us < self.last_report_at_us + MIN_REPORT_INTERVAL_US:
            self.server.counts["reports dropped"] += 1
            return
        self.last_report_at_us = now_us
        self.server.counts["reports"] += 1
        self.server.evidence.merge(now_us, self.hello.name, self.hello.incarnation, report)

    def write(self, data: bytes) -> None:
        """Send a frame; abort the connection if the peer does not read what was sent before."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.transport.abort()
            return
        self.server.counts["bytes out"] += len(data)
        self.transport.write(data)

    def reject(self, reason: str, retry_ms: int = 0) -> None:
        """Send the reason for the rejection and close the connection."""
        log.info("connection rejected: %s", reason)
        self.write(encode(Rejection(reason, retry_ms)))
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Deregister the connection and stop the hello timer."""
        self.server.connections.pop(self, None)
        if self.hello_timer is not None:
            self.hello_timer.cancel()


class PlannerServer:
    """One planner: its evidence, leadership, plan computation and connections."""

    def __init__(self, settings: Settings, machine: Machine) -> None:
        """Start as a follower without evidence, and restore the snapshot if there is one. `run` starts to serve."""
        now_us = machine.clock_us()
        self.settings = settings
        self.machine = machine
        self.incarnation = machine.unix_us()  # greater after each restart
        self.evidence = Evidence(now_us)
        self.planner = Planner(settings.rules, settings.tenant_shares, settings.class_limits)
        planner_names = sorted([settings.name, *settings.peers])
        self.leadership = Leadership(settings.name, planner_names.index(settings.name), now_us)
        self.connections: dict[PlannerServerConnection, None] = {}  # a dict keeps the order of insertion, unlike a set
        self.was_leader = False  # whether this planner led at the last tick
        self.plan_number = 0
        self.last_plan_frame: bytes | None = None  # encoded; sent to each forwarder that connects
        self.counts: Counter[str] = Counter()
        self.restore(now_us)

    def restore(self, now_us: int) -> None:
        """Restore the term and the converter statuses from the snapshot, if there is a valid one."""
        if self.settings.folder is None:
            return
        try:
            restored_snapshot = snapshot.load(self.settings.folder, self.machine.unix_us() // 1000, MAX_SNAPSHOT_AGE_MS)
        except (snapshot.SnapshotError, OSError) as error:
            log.warning("snapshot not used: %s", error)
            return
        if restored_snapshot is not None:
            self.leadership.observe_term(restored_snapshot.term)
            self.planner.statuses = restored_snapshot.restore(now_us)
            log.info(
                "snapshot of epoch %d restored, %d converters ejected or recovering",
                restored_snapshot.term.epoch,
                len(restored_snapshot.statuses),
                extra=term_fields(restored_snapshot.term),
            )

    def forwarder_count(self) -> int:
        """Return the number of connected forwarders."""
        return sum(connection.hello is not None and not connection.hello.is_peer for connection in self.connections)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then save a snapshot. Raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: PlannerServerConnection(self), *self.settings.listen, backlog=1024)
        log.info("planner %s is up", self.settings.name)
        tasks = [loop.create_task(self.maintain_peer(name, address)) for name, address in self.settings.peers.items()]
        tasks.append(loop.create_task(self.run_ticks()))
        await stop.wait()
        server.close()
        for task in tasks:
            task.cancel()
        self.save()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()

    async def maintain_peer(self, name: str, address: tuple[str, int]) -> None:
        """Keep a connection to a peer open until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                transport, connection = await loop.create_connection(
                    lambda: PlannerServerConnection(self, is_outgoing=True), *address
                )
                while not transport.is_closing() and connection in self.connections:
                    await asyncio.sleep(PEER_RETRY_S)
            except OSError:
                pass
            await asyncio.sleep(PEER_RETRY_S * (0.5 + self.machine.random.random()))

    async def run_ticks(self) -> None:
        """Run a tick every `TICK_INTERVAL_S` until the task is cancelled."""
        tick_number = 0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            tick_number += 1
            try:
                self.tick(self.machine.clock_us(), tick_number)
            except Exception:  # a single unexpected report must not stop planning for all forwarders
                log.exception("planning failed")

    def tick(self, now_us: int, tick_number: int) -> None:
        """Update the leadership, send heartbeats and plans, save snapshots and drop expired evidence."""
        active_forwarders = self.evidence.active_forwarders(now_us)
        # Only a follower needs this check, before it takes over; a leader checks its evidence with each plan.
        has_enough_evidence = not self.leadership.is_leader and self.planner.has_enough_evidence(
            self.planner.basis(now_us, self.evidence)
        )
        is_leader = self.leadership.tick(now_us, active_forwarders, has_enough_evidence)
        # compared with the last tick, because a heartbeat may have made this planner step down since then
        if is_leader != self.was_leader:
            self.was_leader = is_leader
            term = self.leadership.highest_term
            message = "leads, epoch %d" if is_leader else "follows, epoch %d"
            log.info(message, term.epoch, extra=term_fields(term))
            self.plan_number, self.last_plan_frame = 0, None
        heartbeat = encode(Heartbeat(self.leadership.highest_term, is_leader, len(active_forwarders)))
        for connection in list(self.connections):
            connection.write(heartbeat)
        if is_leader or tick_number % TICKS_PER_PLAN == 0:
            self.publish_plan(now_us, is_due=tick_number % TICKS_PER_PLAN == 0)
        if tick_number % TICKS_PER_SNAPSHOT == 0:
            self.save()
        if tick_number % TICKS_PER_EXPIRY == 0:
            self.evidence.expire(now_us)

    def publish_plan(self, now_us: int, is_due: bool) -> None:
        """Send a plan to all forwarders if one is due or the set of ejected converters has changed. A planner that is
        not the leader computes plans too, without sending them, so that it knows the ejected converters when it takes
        over."""
        term = self.leadership.term
        previously_ejected_uids = self.planner.ejected_uids()
        plan = self.planner.plan(now_us, self.evidence, term or self.leadership.highest_term, self.plan_number + 1)
        if plan is None or term is None:
            self.last_plan_frame = None
            return
        if not is_due and self.planner.ejected_uids() == previously_ejected_uids:
            return
        self.plan_number += 1
        self.last_plan_frame = encode(plan)
        self.counts["plans"] += 1
        for connection in list(self.connections):
            if connection.hello is not None and not connection.hello.is_peer:
                connection.write(self.last_plan_frame)

    def save(self) -> None:
        """Save a snapshot, unless snapshots are disabled or no term is known yet."""
        if self.settings.folder is None or self.leadership.highest_term.epoch == 0:
            return
        machine = self.machine
        current_snapshot = snapshot.take(
            machine.clock_us(), machine.unix_us() // 1000, self.leadership.highest_term, self.planner.statuses
        )
        try:
            snapshot.save(self.settings.folder, current_snapshot)
        except OSError as error:
            log.warning("snapshot not saved: %s", error)
