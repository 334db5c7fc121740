"""Server of a planner: receives reports, exchanges heartbeats with its peers, and publishes plans while it leads."""

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

TICK_S = 0.25  # between two heartbeats
TICKS_PER_PLAN = 2
TICKS_PER_SNAPSHOT = 4
TICKS_PER_EXPIRY = 40  # between two removals of expired evidence
MAX_UNREAD_BYTES = 512 * 1024  # of one connection; its peer hangs, and would fill the memory
HELLO_TIMEOUT_S = 3.0  # from the connection to its first message
MIN_REPORT_INTERVAL_US = 100_000  # earlier reports are dropped: the next one has their counters
PEER_RETRY_S = 0.3  # between two connections to a peer
BUSY_RETRY_MS = 5_000  # for a forwarder that is rejected because there are too many
MAX_SNAPSHOT_AGE_MS = 120_000  # older ejections are obsolete


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a planner."""

    name: str
    listen: tuple[str, int]
    peers: dict[str, tuple[str, int]]  # the other planners, by name
    rules: AcceptanceRules
    tenant_shares: list[float]
    class_limits: list[float]
    max_forwarders: int
    folder: Path | None = None  # for its snapshot


class ForwarderConnection(asyncio.Protocol):
    """A connection from a forwarder or a peer, or to a peer."""

    def __init__(self, server: PlannerServer, dialled: bool = False) -> None:
        """Prepare a connection, `dialled` if this planner opens it."""
        self.server = server
        self.dialled = dialled
        self.transport: asyncio.Transport | None = None
        self.frames = FrameDecoder()
        self.hello: Hello | None = None
        self.last_report_us = 0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a hello, or wait for one."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections[self] = None
        if self.dialled:
            self.write(encode(Hello(VERSION, self.server.settings.name, self.server.incarnation, is_peer=True)))
        else:
            self.timer = asyncio.get_running_loop().call_later(HELLO_TIMEOUT_S, self.reject, "no hello")

    def data_received(self, data: bytes) -> None:
        """Handle the messages that are complete."""
        self.server.counts["bytes in"] += len(data)
        try:
            for message in self.frames.feed(data):
                self.on_message(message)
        except ProtocolError as error:
            self.reject(str(error))

    def on_message(self, message: Message) -> None:
        """Handle a message. Raises ProtocolError for one that is not allowed now."""
        if isinstance(message, Heartbeat):
            self.server.leadership.on_heartbeat(self.server.machine.clock_us(), message)
        elif isinstance(message, Rejection) and self.dialled:
            log.warning("connection rejected by a peer: %s", message.reason)
        elif isinstance(message, Hello) and self.hello is None and not self.dialled:
            self.on_hello(message)
        elif isinstance(message, Report) and self.hello is not None and not self.hello.is_peer:
            self.on_report(message)
        else:
            raise ProtocolError(f"a {type(message).__name__.lower()} out of turn")

    def on_hello(self, hello: Hello) -> None:
        """Accept a forwarder or a peer."""
        if self.timer is not None:
            self.timer.cancel()
        if not hello.is_peer and self.server.forwarders() >= self.server.settings.max_forwarders:
            self.reject("as many forwarders as this planner takes", BUSY_RETRY_MS)
            return
        self.hello = hello
        plan = self.server.last_plan
        if plan is not None and not hello.is_peer:
            self.write(plan)

    def on_report(self, report: Report) -> None:
        """Merge a report, unless it follows too soon: one forwarder must not use up the planner's time."""
        assert self.hello is not None
        now_us = self.server.machine.clock_us()
        if now_us < self.last_report_us + MIN_REPORT_INTERVAL_US:
            self.server.counts["reports dropped"] += 1
            return
        self.last_report_us = now_us
        self.server.counts["reports"] += 1
        self.server.evidence.merge(now_us, self.hello.name, self.hello.incarnation, report)

    def write(self, data: bytes) -> None:
        """Send a frame, or abort a connection that does not read."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.transport.abort()
            return
        self.server.counts["bytes out"] += len(data)
        self.transport.write(data)

    def reject(self, reason: str, retry_ms: int = 0) -> None:
        """Send the reason and close the connection."""
        log.info("connection rejected: %s", reason)
        self.write(encode(Rejection(reason, retry_ms)))
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Leave the server."""
        self.server.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()


class PlannerServer:
    """One planner."""

    def __init__(self, settings: Settings, machine: Machine) -> None:
        """Restore the snapshot, if there is one. Nothing is served before `run`."""
        now_us = machine.clock_us()
        self.settings = settings
        self.machine = machine
        self.incarnation = machine.unix_us()  # greater after each restart
        self.evidence = Evidence(now_us)
        self.planner = Planner(settings.rules, settings.tenant_shares, settings.class_limits)
        names = sorted([settings.name, *settings.peers])
        self.leadership = Leadership(settings.name, names.index(settings.name), now_us)
        self.connections: dict[ForwarderConnection, None] = {}  # ordered, unlike a set
        self.was_leader = False  # at the last tick
        self.number = 0
        self.last_plan: bytes | None = None
        self.counts: Counter[str] = Counter()
        self.restore(now_us)

    def restore(self, now_us: int) -> None:
        """Restore the snapshot, if there is one."""
        if self.settings.folder is None:
            return
        try:
            restored = snapshot.load(self.settings.folder, self.machine.unix_us() // 1000, MAX_SNAPSHOT_AGE_MS)
        except (snapshot.SnapshotError, OSError) as error:
            log.warning("snapshot not used: %s", error)
            return
        if restored is not None:
            self.leadership.observe_term(restored.term)
            self.planner.statuses = restored.restore(now_us)
            log.info(
                "snapshot of epoch %d restored, %d converters ejected or recovering",
                restored.term.epoch,
                len(restored.statuses),
                extra=term_fields(restored.term),
            )

    def forwarders(self) -> int:
        """Return how many forwarders are connected."""
        return sum(link.hello is not None and not link.hello.is_peer for link in self.connections)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set. Raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ForwarderConnection(self), *self.settings.listen, backlog=1024)
        log.info("planner %s is up", self.settings.name)
        tasks = [loop.create_task(self.maintain_peer(name, address)) for name, address in self.settings.peers.items()]
        tasks.append(loop.create_task(self.run_ticks()))
        await stop.wait()
        server.close()
        for task in tasks:
            task.cancel()
        self.save()
        for link in list(self.connections):
            if link.transport is not None:
                link.transport.close()

    async def maintain_peer(self, name: str, address: tuple[str, int]) -> None:
        """Keep a connection to a peer open."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                transport, link = await loop.create_connection(
                    lambda: ForwarderConnection(self, dialled=True), *address
                )
                while not transport.is_closing() and link in self.connections:
                    await asyncio.sleep(PEER_RETRY_S)
            except OSError:
                pass
            await asyncio.sleep(PEER_RETRY_S * (0.5 + self.machine.random.random()))

    async def run_ticks(self) -> None:
        """Tick forever."""
        tick = 0
        while True:
            await asyncio.sleep(TICK_S)
            tick += 1
            try:
                self.tick(self.machine.clock_us(), tick)
            except Exception:  # one unforeseen report must not end the planning for all
                log.exception("planning failed")

    def tick(self, now_us: int, tick: int) -> None:
        """Send heartbeats, elect, plan, and save."""
        active = self.evidence.active(now_us)
        # a leader checks its evidence with each plan; only a follower has to know before it takes over
        has_enough_evidence = not self.leadership.is_leader and self.planner.has_enough_evidence(
            self.planner.basis(now_us, self.evidence)
        )
        is_leader = self.leadership.tick(now_us, active, has_enough_evidence)
        if is_leader != self.was_leader:  # it may have stepped down between two ticks, on a heartbeat
            self.was_leader = is_leader
            term = self.leadership.highest_term
            line = "leads, epoch %d" if is_leader else "follows, epoch %d"
            log.info(line, term.epoch, extra=term_fields(term))
            self.number, self.last_plan = 0, None
        heartbeat = encode(Heartbeat(self.leadership.highest_term, is_leader, len(active)))
        for link in list(self.connections):
            link.write(heartbeat)
        if is_leader or tick % TICKS_PER_PLAN == 0:
            self.publish_plan(now_us, due=tick % TICKS_PER_PLAN == 0)
        if tick % TICKS_PER_SNAPSHOT == 0:
            self.save()
        if tick % TICKS_PER_EXPIRY == 0:
            self.evidence.expire(now_us)

    def publish_plan(self, now_us: int, due: bool) -> None:
        """Send a plan to all forwarders, if one is due or another converter is ejected. A follower computes it too, to
        know the ejected converters when it takes over."""
        term = self.leadership.term
        ejected_before = self.planner.ejected()
        plan = self.planner.plan(now_us, self.evidence, term or self.leadership.highest_term, self.number + 1)
        if plan is None or term is None:
            self.last_plan = None
            return
        if not due and self.planner.ejected() == ejected_before:
            return
        self.number += 1
        self.last_plan = encode(plan)
        self.counts["plans"] += 1
        for link in list(self.connections):
            if link.hello is not None and not link.hello.is_peer:
                link.write(self.last_plan)

    def save(self) -> None:
        """Save a snapshot."""
        if self.settings.folder is None or self.leadership.highest_term.epoch == 0:
            return
        machine = self.machine
        restored = snapshot.take(
            machine.clock_us(), machine.unix_us() // 1000, self.leadership.highest_term, self.planner.statuses
        )
        try:
            snapshot.save(self.settings.folder, restored)
        except OSError as error:
            log.warning("snapshot not saved: %s", error)
