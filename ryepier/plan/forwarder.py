"""A forwarder's connections to its planners: reports go out, plans come in, and the module gets its advice.

Nothing here is waited for by a request. Without planners the sidecar is what it was: advice fades and is gone.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ryepier.balancer.interface import Outcome, PlanUpdated
from ryepier.plan.follow import Follower, Rules
from ryepier.plan.machine import Machine
from ryepier.plan.messages import (
    VERSION,
    Beat,
    Frames,
    Hello,
    Message,
    Plan,
    ProtocolError,
    Refusal,
    Report,
    Term,
    encode,
)
from ryepier.plan.report import Reporter

log = logging.getLogger(__name__)

ADVICE_S = 0.25  # how often advice is worked out anew, as it fades with time
SILENT_US = 3_000_000  # a planner that says nothing for so long, a dozen beats, hangs: its connection is given up
DIAL_S = 1.0
FIRST_AGAIN_S = 0.2
LONGEST_AGAIN_S = 5.0
MOST_UNREAD = 256 * 1024


@dataclass(frozen=True, slots=True)
class Settings:
    """What a forwarder is told of its planners."""

    name: str
    planners: list[tuple[str, int]]
    rules: Rules
    report_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Sidecar:
    """What a forwarder needs of its sidecar."""

    idents: Callable[[], Mapping[str, int]]  # the ready converters, uid to the module's number
    planned: Callable[[PlanUpdated], None]
    silent_us: list[int]  # by class
    tenants: int


class Link(asyncio.Protocol):
    """The connection to one planner."""

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.transport: asyncio.Transport | None = None
        self.frames = Frames()
        self.heard_us = forwarder.machine.clock_us()
        self.whole = True  # it has to be told all there is
        self.retry_s = 0.0
        self.lost = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.forwarder.links[self] = None
        transport.write(encode(Hello(VERSION, self.forwarder.settings.name, self.forwarder.boot)))

    def data_received(self, data: bytes) -> None:
        self.heard_us = self.forwarder.machine.clock_us()
        try:
            for message in self.frames.feed(data):
                self.take(message)
        except ProtocolError as error:
            log.warning("a planner can't be understood: %s", error)
            self.abort()

    def take(self, message: Message) -> None:
        if isinstance(message, Plan):
            self.forwarder.offer(message)
        elif isinstance(message, Refusal):
            log.warning("a planner refuses: %s", message.why)
            self.retry_s = message.retry_ms / 1000
            self.abort()
        elif not isinstance(message, Beat):
            raise ProtocolError(f"a {type(message).__name__.lower()} from a planner")

    def tell(self, report: Report) -> bool:
        """Whether it was written; one that does not read gets no more, and all of it once it does."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MOST_UNREAD:
            self.whole = True
            return False
        self.transport.write(encode(report))
        self.whole = False
        return True

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.forwarder.links.pop(self, None)
        if not self.lost.done():
            self.lost.set_result(None)


class Forwarder:
    """The part of a sidecar that reports and follows; `Host` tells it of sends and ends as its observer."""

    def __init__(self, settings: Settings, sidecar: Sidecar, machine: Machine) -> None:
        self.settings = settings
        self.sidecar = sidecar
        self.machine = machine
        self.boot = machine.unix_us()
        self.reporter = Reporter(sidecar.silent_us, sidecar.tenants)
        self.follower = Follower(settings.name, settings.rules)
        self.links: dict[Link, None] = {}  # in the order of their coming, which a set has not
        self.tasks: list[asyncio.Task[None]] = []
        self.told = PlanUpdated()
        self.names: dict[int, str] = {}
        self.refused_logged = ""
        self.followed = Term()  # as logged

    # What the host observes

    def on_request(self, tenant: int, class_index: int) -> None:
        self.reporter.arrived(tenant, class_index)

    def on_rejection(self) -> None:
        self.reporter.was_refused()

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        uid = self.names.get(upstream)
        if uid is None:
            self.learn_names()
            uid = self.names.get(upstream)
        if uid is not None:
            self.reporter.sent(self.machine.clock_us(), uid, token, class_index)

    def on_attempt_ended(self, upstream: int, token: int, outcome: Outcome, elapsed_us: int) -> None:
        uid = self.names.get(upstream)
        if uid is not None:
            self.reporter.ended(uid, token, outcome, elapsed_us)

    def learn_names(self) -> None:
        """Names of converters that have left stay until nothing is out to them."""
        idents = self.sidecar.idents()
        self.reporter.keep(set(idents))
        self.names = {ident: uid for ident, uid in self.names.items() if uid in self.reporter.notes}
        self.names |= {ident: uid for uid, ident in idents.items()}

    # The connections

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.keep(address)) for address in self.settings.planners]
        self.tasks += [loop.create_task(self.report()), loop.create_task(self.advise())]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for link in list(self.links):
            link.abort()

    async def keep(self, address: tuple[str, int]) -> None:
        """A connection to one planner. Hazard: all forwarders lose theirs at one moment when a planner dies; so each
        waits a random while, from nothing up to a bound that doubles."""
        loop = asyncio.get_running_loop()
        bound_s = FIRST_AGAIN_S
        while True:
            link: Link | None = None
            try:
                async with asyncio.timeout(DIAL_S):
                    _, link = await loop.create_connection(lambda: Link(self), *address)
            except OSError:
                pass
            if link is not None:
                bound_s = FIRST_AGAIN_S
                await self.until_lost(link)
            least_s = link.retry_s if link is not None else 0.0
            await asyncio.sleep(least_s + self.draw_s(bound_s))
            bound_s = min(LONGEST_AGAIN_S, 2 * bound_s)

    def draw_s(self, bound_s: float) -> float:
        return bound_s * self.machine.random.random()

    async def until_lost(self, link: Link) -> None:
        """Hazard: a planner that hangs leaves its connection open for ever."""
        while not link.lost.done():
            await asyncio.wait([link.lost], timeout=SILENT_US / 2e6)
            if self.machine.clock_us() > link.heard_us + SILENT_US:
                link.abort()

    async def report(self) -> None:
        await asyncio.sleep(self.draw_s(self.settings.report_s))  # not all forwarders at one moment
        while True:
            self.learn_names()
            self.write_reports()
            await asyncio.sleep(self.settings.report_s)

    def write_reports(self) -> None:
        links = list(self.links)
        if not links:
            return
        now_us, follower = self.machine.clock_us(), self.follower
        listed = len(self.sidecar.idents())
        whole = any(link.whole for link in links)
        report = self.reporter.report(now_us, listed, follower.term, follower.age_ms(now_us), whole)
        for link in links:
            if not link.tell(report):
                link.whole = True

    # Plans

    def offer(self, plan: Plan) -> None:
        why = self.follower.offer(self.machine.clock_us(), plan, set(self.sidecar.idents()))
        if why and why != self.refused_logged:
            log.warning("a plan of %s, epoch %d, is refused: %s", plan.term.planner, plan.term.epoch, why)
        elif not why and plan.term != self.followed:
            self.followed = plan.term
            log.info("follows the plans of %s, epoch %d", plan.term.planner, plan.term.epoch)
        self.refused_logged = why
        if not why:
            self.tell_module()

    async def advise(self) -> None:
        while True:
            await asyncio.sleep(ADVICE_S)
            self.tell_module()

    def tell_module(self) -> None:
        now_us = self.machine.clock_us()
        event = PlanUpdated(
            self.follower.advice(now_us, dict(self.sidecar.idents())),
            self.follower.tenant_worth(now_us),
            self.follower.class_admit(now_us),
        )
        if event != self.told:
            self.told = event
            self.sidecar.planned(event)
