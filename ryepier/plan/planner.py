"""A planner on its sockets: takes reports, talks to its peers, and hands out plans while it leads."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from ryepier.plan import snapshot
from ryepier.plan.compute import Planner
from ryepier.plan.follow import Rules
from ryepier.plan.lead import Leadership
from ryepier.plan.machine import Machine
from ryepier.plan.merge import Evidence
from ryepier.plan.messages import VERSION, Beat, Frames, Hello, Message, ProtocolError, Refusal, Report, encode

log = logging.getLogger(__name__)

TICK_S = 0.25  # beats, and whether to lead
PLAN_TICKS = 2  # a plan every so many ticks
SNAPSHOT_TICKS = 4
FORGET_TICKS = 40
MOST_UNREAD = 512 * 1024  # bytes that a connection may leave unread: it hangs, and would fill the memory
HELLO_WITHIN_S = 3.0
LEAST_GAP_US = 100_000  # reports that come sooner are dropped unread: their counters come again with the next
PEER_AGAIN_S = 0.3
BUSY_RETRY_MS = 5_000
OLDEST_SNAPSHOT_MS = 120_000  # what rested longer ago says nothing of now


@dataclass(frozen=True, slots=True)
class Settings:
    """What a planner is told."""

    name: str
    listen: tuple[str, int]
    peers: dict[str, tuple[str, int]]  # the other planners, by name
    rules: Rules
    tenant_shares: list[float]
    class_limits: list[float]
    most_forwarders: int
    folder: Path | None = None  # for its snapshot


class Link(asyncio.Protocol):
    """A connection from a forwarder or a peer, or to a peer."""

    def __init__(self, server: Server, dialled: bool = False) -> None:
        self.server = server
        self.dialled = dialled
        self.transport: asyncio.Transport | None = None
        self.frames = Frames()
        self.hello: Hello | None = None
        self.merged_us = 0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.links[self] = None
        if self.dialled:
            self.write(encode(Hello(VERSION, self.server.settings.name, self.server.boot, peer=True)))
        else:
            self.timer = asyncio.get_running_loop().call_later(HELLO_WITHIN_S, self.refuse, "no hello")

    def data_received(self, data: bytes) -> None:
        self.server.counts["bytes in"] += len(data)
        try:
            for message in self.frames.feed(data):
                self.take(message)
        except ProtocolError as error:
            self.refuse(str(error))

    def take(self, message: Message) -> None:
        if isinstance(message, Beat):
            self.server.leadership.beat(self.server.machine.clock_us(), message)
        elif isinstance(message, Refusal) and self.dialled:
            log.warning("a peer refuses: %s", message.why)
        elif isinstance(message, Hello) and self.hello is None and not self.dialled:
            self.greeted(message)
        elif isinstance(message, Report) and self.hello is not None and not self.hello.peer:
            self.report(message)
        else:
            raise ProtocolError(f"a {type(message).__name__.lower()} out of turn")

    def greeted(self, hello: Hello) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if not hello.peer and self.server.forwarders() >= self.server.settings.most_forwarders:
            self.refuse("as many forwarders as this planner takes", BUSY_RETRY_MS)
            return
        self.hello = hello
        plan = self.server.last_plan
        if plan is not None and not hello.peer:
            self.write(plan)

    def report(self, report: Report) -> None:
        """Hazard: a forwarder that reports without a pause must not take the planner's time from the others."""
        assert self.hello is not None
        now_us = self.server.machine.clock_us()
        if now_us < self.merged_us + LEAST_GAP_US:
            self.server.counts["reports dropped"] += 1
            return
        self.merged_us = now_us
        self.server.counts["reports"] += 1
        self.server.evidence.merge(now_us, self.hello.name, self.hello.boot, report)

    def write(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > MOST_UNREAD:
            self.transport.abort()
            return
        self.server.counts["bytes out"] += len(data)
        self.transport.write(data)

    def refuse(self, why: str, retry_ms: int = 0) -> None:
        log.info("a connection is refused: %s", why)
        self.write(encode(Refusal(why, retry_ms)))
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.links.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()


class Server:
    """One planner."""

    def __init__(self, settings: Settings, machine: Machine) -> None:
        now_us = machine.clock_us()
        self.settings = settings
        self.machine = machine
        self.boot = machine.unix_us()  # greater with each life
        self.evidence = Evidence(now_us)
        self.planner = Planner(settings.rules, settings.tenant_shares, settings.class_limits)
        names = sorted([settings.name, *settings.peers])
        self.leadership = Leadership(settings.name, names.index(settings.name), now_us)
        self.links: dict[Link, None] = {}  # in the order of their coming, which a set has not
        self.led = False  # at the last tick
        self.number = 0
        self.last_plan: bytes | None = None
        self.counts: Counter[str] = Counter()
        self.restore(now_us)

    def restore(self, now_us: int) -> None:
        if self.settings.folder is None:
            return
        try:
            kept = snapshot.load(self.settings.folder, self.machine.unix_us() // 1000, OLDEST_SNAPSHOT_MS)
        except (snapshot.SnapshotError, OSError) as error:
            log.warning("the snapshot is not used: %s", error)
            return
        if kept is not None:
            self.leadership.heard_term(kept.term)
            self.planner.judged = kept.revive(now_us)
            log.info("snapshot of epoch %d, %d converters not as usual", kept.term.epoch, len(kept.judged))

    def forwarders(self) -> int:
        return sum(link.hello is not None and not link.hello.peer for link in self.links)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop. Raises OSError where the address can't be had."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Link(self), *self.settings.listen, backlog=1024)
        log.info("planner %s is up", self.settings.name)
        tasks = [loop.create_task(self.keep_peer(name, address)) for name, address in self.settings.peers.items()]
        tasks.append(loop.create_task(self.work()))
        await stop.wait()
        server.close()
        for task in tasks:
            task.cancel()
        self.save()
        for link in list(self.links):
            if link.transport is not None:
                link.transport.close()

    async def keep_peer(self, name: str, address: tuple[str, int]) -> None:
        """A connection to a peer, for as long as both are there."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                transport, link = await loop.create_connection(lambda: Link(self, dialled=True), *address)
                while not transport.is_closing() and link in self.links:
                    await asyncio.sleep(PEER_AGAIN_S)
            except OSError:
                pass
            await asyncio.sleep(PEER_AGAIN_S * (0.5 + self.machine.random.random()))

    async def work(self) -> None:
        tick = 0
        while True:
            await asyncio.sleep(TICK_S)
            tick += 1
            try:
                self.tick(self.machine.clock_us(), tick)
            except Exception:
                # hazard: one report of a kind that nobody thought of must not end the planning for all
                log.exception("a plan could not be made")

    def tick(self, now_us: int, tick: int) -> None:
        """Beat, lead or follow, plan, save."""
        heard = self.evidence.heard(now_us)
        # a leader's evidence is weighed with each plan; only one that may take over has to know beforehand
        sound = not self.leadership.leads and self.planner.sound(self.planner.basis(now_us, self.evidence))
        leads = self.leadership.tick(now_us, heard, sound)
        if leads != self.led:  # it may have stepped down between two ticks, on a beat
            self.led = leads
            log.info("%s, epoch %d", "leads" if leads else "follows", self.leadership.highest.epoch)
            self.number, self.last_plan = 0, None
        beat = encode(Beat(self.leadership.highest, leads, len(heard)))
        for link in list(self.links):
            link.write(beat)
        if leads or tick % PLAN_TICKS == 0:
            self.publish(now_us, due=tick % PLAN_TICKS == 0)
        if tick % SNAPSHOT_TICKS == 0:
            self.save()
        if tick % FORGET_TICKS == 0:
            self.evidence.forget(now_us)

    def publish(self, now_us: int, due: bool) -> None:
        """A plan to all forwarders, when one is due or another converter rests. A planner that follows makes one too,
        so that it knows who rests when it leads."""
        term = self.leadership.term
        rested = self.planner.resting()
        plan = self.planner.plan(now_us, self.evidence, term or self.leadership.highest, self.number + 1)
        if plan is None or term is None:
            self.last_plan = None
            return
        if not due and self.planner.resting() == rested:
            return
        self.number += 1
        self.last_plan = encode(plan)
        self.counts["plans"] += 1
        for link in list(self.links):
            if link.hello is not None and not link.hello.peer:
                link.write(self.last_plan)

    def save(self) -> None:
        if self.settings.folder is None or self.leadership.highest.epoch == 0:
            return
        machine = self.machine
        kept = snapshot.keep(
            machine.clock_us(), machine.unix_us() // 1000, self.leadership.highest, self.planner.judged
        )
        try:
            snapshot.save(self.settings.folder, kept)
        except OSError as error:
            log.warning("no snapshot: %s", error)
