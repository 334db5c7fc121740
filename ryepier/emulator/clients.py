"""Stand-in clients: an open-loop load on the sidecars (or on the converters directly), with retries as drawn."""

from __future__ import annotations

import asyncio
import random
import socket
import zlib
from collections import Counter

import httptools
import msgspec

from ryepier.emulator import draws, graphql
from ryepier.emulator.process import Clock, LatenessMeter, Plan, say
from ryepier.emulator.records import NEVER, ClientAttempt, Ending, RoleRecords
from ryepier.emulator.timeline import Timeline
from ryepier.emulator.world import RequestClass, World
from ryepier.sidecar import system

SLACK_US = 100_000  # a client goes on reading for so long past its time, so that a late answer is seen as one
SUMMARY_S = 0.5
LONGEST_WAIT_US = 10_000_000
BACKOFF_GROWTH = 2.0


class Body(msgspec.Struct):
    """What a converter writes into its answers."""

    made_for: str = msgspec.field(name="for")
    made_by: str = msgspec.field(name="by")


class GraphqlBody(msgspec.Struct):
    """What one writes that speaks GraphQL."""

    extensions: Body


def may_retry(kind: RequestClass, ending: Ending, first_sent_us: int, now_us: int) -> bool:
    """Whether a client may send it again, by the protocol: anything after a refusal or where nobody was there,
    after a failure only what is harmless to repeat."""
    if ending in ("served", "left"):
        return False
    if ending in ("refused", "unreachable"):
        return True
    if kind.effect == "idempotent":
        return True
    return (
        kind.effect == "deduplicated"
        and kind.group == "all"
        and now_us - first_sent_us < kind.idempotency_window_ms * 1000
    )


class Line(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, target: Target, flight: Flight | None) -> None:
        self.target = target
        self.flight = flight
        self.transport: asyncio.Transport | None = None
        self.answered = 0
        self.parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        self.retry_after_us = 0
        self.body = b""
        self.whole = self.keeps = False
        self.heard = False
        self.last: ClientAttempt | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.flight is None or self.flight.over:
            self.target.idle.append(self)
        else:
            self.flight.send(self)

    def data_received(self, data: bytes) -> None:
        if self.flight is None:
            if self.last is not None:
                self.last.trailing_bytes += len(data)
            self.close()
            return
        self.heard = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.end("broken")
            return
        if self.whole:
            self.finish()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.retry_after_us = int(float(value) * 1e6)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.whole = True
        self.keeps = self.parser.should_keep_alive()  # later the parser has forgotten the head, and says no

    def finish(self) -> None:
        """The answer is whole."""
        flight, status = self.flight, self.parser.get_status_code()
        assert flight is not None
        keep = self.keeps and not flight.closes
        item = flight.item
        item.status, item.retry_after_us = status, self.retry_after_us
        ending: Ending = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        if status == 200:
            try:
                body = flight.host.read_body(self.body)
                item.response_request_id, item.responder_uid = body.made_for, body.made_by
            except msgspec.DecodeError:
                pass  # the judge finds no converter that made it
        self.flight = None
        self.answered += 1
        self.reset()
        self.last = item
        self.parser = httptools.HttpResponseParser(self)
        if keep:
            self.target.idle.append(self)
        else:
            self.close()
        flight.end(ending)

    def end(self, ending: Ending) -> None:
        flight, self.flight = self.flight, None
        self.close()
        if flight is not None:
            flight.end(ending)

    def close(self) -> None:
        if self in self.target.idle:
            self.target.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self in self.target.idle:
            self.target.idle.remove(self)
        flight, self.flight = self.flight, None
        if flight is None:
            return
        item, now_us = flight.item, flight.host.clock.now_us()
        item.may_be_unread = not self.heard and self.answered > 0
        if (
            item.may_be_unread
            and not flight.again
            and may_retry(flight.host.world.classes[item.request_class], "broken", item.sent_us, now_us)
        ):
            # the close may have crossed the request, which then was never read: sent once more, on a new connection,
            # if it does no harm should it have been
            flight.again = True
            flight.start(fresh=True)
        else:
            flight.end("broken")


class Target:
    """Whom some clients talk to: a sidecar, or a converter."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle: list[Line] = []
        self.host = b"%s:%d" % (address[0].encode(), address[1])


class Flight:
    """One try on its way."""

    def __init__(self, host: Host, target: Target, item: ClientAttempt, closes: bool) -> None:
        self.host = host
        self.target = target
        self.item = item
        self.closes = closes  # the client closes its connection after it
        self.again = False
        self.over = False
        self.line: Line | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self, fresh: bool = False) -> None:
        while self.target.idle and not fresh:
            line = self.target.idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                line.flight = self
                self.send(line)
                return
        self.host.spawn(self.dial())

    async def dial(self) -> None:
        """Connect and send, or end as unreachable."""
        loop = asyncio.get_running_loop()
        sock = system.tcp_socket(socket.AF_INET)
        try:
            sock.setblocking(False)
            # a client waits no longer for that than for all. Hazard: a limit on more than this, run out in the turn in
            # which the request is sent, would call what a sidecar has got unreachable, and it would be sent again
            async with asyncio.timeout(self.item.deadline_us / 1e6):
                await loop.sock_connect(sock, self.target.address)
            await loop.create_connection(lambda: Line(self.target, self), sock=sock)
        except OSError:  # TimeoutError is one
            sock.close()
            self.end("unreachable")

    def send(self, line: Line) -> None:
        assert line.transport is not None
        self.line = line
        line.last = None
        now_us = self.host.clock.now_us()
        if self.item.sent_us == NEVER:
            self.item.sent_us = now_us
            self.timer = self.host.clock.handle_at(now_us + self.host.patience_us(self.item), self.give_up)
        line.transport.write(self.host.message(self))

    def give_up(self) -> None:
        line = self.line
        if line is not None and line.flight is self:
            line.flight = None
            line.close()
        left = self.host.clock.now_us() < self.item.sent_us + self.item.deadline_us
        self.end("left" if left else "timeout")

    def end(self, ending: Ending) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        self.host.ended(self, ending)


class Host:
    """All clients of one process."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline, simulated: bool = False) -> None:
        self.plan = plan
        self.processes = 1 if simulated else plan.world.harness.client_processes
        self.tells = not simulated  # a rig listens
        self.world: World = plan.world
        self.clock = clock
        self.records = RoleRecords(f"clients {plan.index}")
        self.meter = LatenessMeter(clock)
        self.random = random.Random(f"{plan.seed} clients {plan.index}")
        if plan.targets:
            addresses = plan.targets
        elif plan.world.sidecars.count:
            addresses = [plan.sidecar_address(i) for i in range(plan.world.sidecars.count)]
        else:
            addresses = [plan.converter_address(i.index) for i in timeline.instances if i.start_us is None]
        self.targets = [Target(address) for address in addresses]
        self.arrivals = draws.arrivals(plan.world, plan.seed)
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()
        self.open = 0

    def spawn(self, work: object) -> None:
        assert asyncio.iscoroutine(work)
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self) -> None:
        pass  # clients connect as they come

    async def run(self) -> RoleRecords:
        """Send all arrivals, and wait until the run is over."""
        telling = asyncio.create_task(self.tell()) if self.tells else None
        # without sidecars each converter, or each given address, gets its turn
        spread = self.world.sidecars.count == 0 or bool(self.plan.targets)
        processes, mine = self.processes, self.plan.index
        times = self.arrivals.at_us.tolist()
        sidecars = self.arrivals.sidecar.tolist()
        for index in range(mine, len(times), processes):
            at_us, place = times[index], index if spread else sidecars[index]
            wait_us = at_us - self.clock.now_us()
            if wait_us > 0:
                await asyncio.sleep(wait_us / 1e6)
            self.meter.note(at_us)
            self.arrive(index, place % len(self.targets))
        await asyncio.sleep(max(0.0, (self.plan.end_us - self.clock.now_us()) / 1e6))
        if telling is not None:
            telling.cancel()
        return self.records

    async def tell(self) -> None:
        """What a live summary shows."""
        while True:
            await asyncio.sleep(SUMMARY_S)
            say({"open": self.open, **self.counts})

    def arrive(self, index: int, place: int) -> None:
        drawn, kind_index = self.arrivals, int(self.arrivals.request_class[index])
        kind = self.world.classes[kind_index]
        ident = f"{self.plan.seed & 0xFFFF:04x}-{index:06x}-0"
        self.counts["offered"] += 1
        self.send(
            ClientAttempt(
                arrival=index,
                number=0,
                request_id=ident,
                key=f"k{index:x}" if kind.effect == "deduplicated" else "",
                request_class=kind_index,
                tenant=int(drawn.tenant[index]),
                sidecar=place,
                work_us=int(drawn.work_us[index]),
                planned_us=int(drawn.at_us[index]),
                sent_us=NEVER,
                deadline_us=int(kind.deadline_ms * 1000 * drawn.patience[index]),
                ended_us=NEVER,
                outcome="timeout",
            )
        )

    def send(self, item: ClientAttempt) -> None:
        self.records.client_attempts.append(item)
        self.open += 1
        closes = self.random.random() < self.world.clients.closes_after
        Flight(self, self.targets[item.sidecar], item, closes).start()

    def patience_us(self, item: ClientAttempt) -> int:
        """How long this client reads: past its time, so that late answers are seen, or shorter if it goes away."""
        if self.random.random() < self.world.clients.disconnect_share:
            return int(self.world.classes[item.request_class].objective_ms * 1000 * self.random.random())
        return item.deadline_us + SLACK_US

    def read_body(self, data: bytes) -> Body:
        """Raises msgspec.DecodeError."""
        if self.world.clients.speak_graphql:
            return msgspec.json.decode(data, type=GraphqlBody).extensions
        return msgspec.json.decode(data, type=Body)

    def message(self, flight: Flight) -> bytes:
        """The request as it is written, with the time that is left to it."""
        if self.world.clients.speak_graphql:
            return self.graphql_message(flight)
        item, kind = flight.item, self.world.classes[flight.item.request_class]
        name = kind.name.encode()
        left_ms = max(1, (item.sent_us + item.deadline_us - self.clock.now_us()) // 1000)
        hint = int(self.arrivals.hint_us[item.arrival])
        lines = [
            b"%s /%s/%d HTTP/1.1" % (b"GET" if kind.effect == "idempotent" else b"POST", name, item.arrival),
            b"Host: " + flight.target.host,
            b"X-Request-Id: " + item.request_id.encode(),
            b"X-Class: " + name,
            b"X-Tenant: " + self.world.tenants[item.tenant].name.encode(),
            b"X-Deadline-Ms: %d" % left_ms,
            b"X-Work-Us: %d" % item.work_us,
        ]
        if item.key:
            lines.append(b"Idempotency-Key: " + item.key.encode())
        if hint:
            lines.append(b"X-Cost-Hint: %d" % hint)
        if item.number and self.world.clients.marks_retries:
            lines.append(b"X-Retry: 1")
        body = b"" if kind.effect == "idempotent" else b"file=%d" % item.arrival
        if body:
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def graphql_message(self, flight: Flight) -> bytes:
        item, kind = flight.item, self.world.classes[flight.item.request_class]
        left_ms = max(1, (item.sent_us + item.deadline_us - self.clock.now_us()) // 1000)
        method, target, body = graphql.request(
            kind, item.arrival, item.request_id, item.key, self.world.clients.graphql == "unique"
        )
        lines = [
            method + b" " + target + b" HTTP/1.1",
            b"Host: " + flight.target.host,
            b"X-Request-Id: " + item.request_id.encode(),
            b"X-Deadline-Ms: %d" % left_ms,
            b"X-Tenant: " + self.world.tenants[item.tenant].name.encode(),
            b"X-Work-Us: %d" % item.work_us,
        ]
        if body:
            lines += [b"Content-Type: application/json", b"Content-Length: %d" % len(body)]
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def ended(self, flight: Flight, ending: Ending) -> None:
        item, now_us = flight.item, self.clock.now_us()
        item.outcome, item.ended_us = ending, now_us
        if item.sent_us == NEVER:
            item.sent_us = now_us
        self.open -= 1
        self.counts[ending] += 1
        kind, clients = self.world.classes[item.request_class], self.world.clients
        if item.number >= clients.retries or not may_retry(kind, ending, item.sent_us, now_us):
            return
        wait_us = self.wait_us(item)
        left_us = item.planned_us + int(kind.deadline_ms * 1000) - now_us - wait_us
        if left_us > 0:
            self.clock.handle_at(now_us + wait_us, self.retry, item, left_us)

    def wait_us(self, item: ClientAttempt) -> int:
        clients = self.world.clients
        wait_us = clients.wait_ms * 1000
        if clients.backoff == "none":
            wait_us = 0.0
        elif clients.backoff == "exponential":
            wait_us *= BACKOFF_GROWTH**item.number * (0.5 + self.random.random())
        if clients.honours_retry_after and zlib.crc32(b"obeys %d" % item.arrival) < clients.obedient * 2**32:
            wait_us = max(wait_us, item.retry_after_us)
        return int(min(wait_us, LONGEST_WAIT_US))

    def retry(self, old: ClientAttempt, left_us: int) -> None:
        kind = self.world.classes[old.request_class]
        patient_us = int(kind.deadline_ms * 1000 * self.random.uniform(*self.world.clients.patience))
        number = old.number + 1
        self.counts["retries"] += 1
        self.send(
            ClientAttempt(
                arrival=old.arrival,
                number=number,
                request_id=f"{old.request_id.rpartition('-')[0]}-{number}",
                key=old.key,
                request_class=old.request_class,
                tenant=old.tenant,
                sidecar=old.sidecar,
                work_us=old.work_us,
                planned_us=old.planned_us,
                sent_us=NEVER,
                deadline_us=min(patient_us, left_us),
                ended_us=NEVER,
                outcome="timeout",
            )
        )
