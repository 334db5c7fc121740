"""Stand-in converters over sockets: many in one process, each at an address of its own, counting each execution."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import zlib

import httptools

from ryepier.emulator import draws, graphql, machine
from ryepier.emulator.process import Clock, LatenessMeter, Plan
from ryepier.emulator.records import (
    NEVER,
    AttemptEnding,
    ConnectionRecord,
    ConverterAttempt,
    RecordedEvent,
    RoleRecords,
)
from ryepier.emulator.timeline import FaultAction, Instance, Step, TargetKind, Timeline
from ryepier.sidecar import system

log = logging.getLogger(__name__)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BACKLOG = 1024
FILLERS = 4  # connections that fill a listener's queue, so that no further one comes up


def answer(status: int, body: bytes, load: str, not_run: bool = False) -> bytes:
    """A whole answer of a converter."""
    reason = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 500: b"Internal Server Error"}
    head = b"HTTP/1.1 %d %s\r\n" % (status, reason.get(status, b"Service Unavailable"))
    if load:
        head += b"X-Load: %s\r\n" % load.encode()
    if not_run:
        head += b"X-Not-Run: 1\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Line(asyncio.Protocol):
    """One connection to a converter; it carries one request at a time."""

    def __init__(self, server: Server, crowded: bool) -> None:
        self.server = server
        self.crowded = crowded
        self.transport: asyncio.Transport | None = None
        self.attempt: ConverterAttempt | None = None
        self.heard_us = 0
        self.severed = False  # a fault between it and its client has swallowed something
        self.life = ConnectionRecord(server.instance.uid, NEVER)
        self.reset()

    def reset(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.first_us = NEVER
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.heard_us = self.server.clock.now_us()
        self.life.opened_us = self.heard_us
        self.server.host.records.connections.append(self.life)
        self.server.lines[self] = None
        self.server.connected()

    def data_received(self, data: bytes) -> None:
        server = self.server
        self.heard_us = server.clock.now_us()
        if self.first_us == NEVER:
            self.first_us = self.heard_us
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.closing():
                self.write(answer(400, b"", ""))
                self.close()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_headers_complete(self) -> None:
        if self.server.fault == "reset-before" and self.server.strikes(self.headers.get(b"x-request-id", b"")):
            self.abort()

    def on_message_complete(self) -> None:
        if self.closing():
            return
        method, target, headers, first_us = self.parser.get_method(), self.target, self.headers, self.first_us
        body = self.body
        self.reset()
        if method == b"GET" and target in (b"/alive", b"/metrics/load"):
            self.server.probe(self, target)
        elif b"x-request-id" not in headers:
            self.write(answer(404, b"", ""))
        else:
            self.server.request(self, headers, body, first_us)

    def closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def write(self, data: bytes) -> None:
        if self.server.fault == "cut":
            return  # nor does anything leave
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End it with a reset, as the end of a process does."""
        if self.transport is None or self.transport.is_closing():
            return
        sock: socket.socket = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def end_attempt(self, ending: AttemptEnding, status: int = 0, not_run: bool = False) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.ended_us = self.server.clock.now_us()
            attempt.outcome, attempt.status, attempt.not_run = ending, status, not_run

    def eof_received(self) -> None:
        self.end_attempt("closed")

    def connection_lost(self, error: Exception | None) -> None:
        self.server.lines.pop(self, None)
        self.life.closed_us = self.server.clock.now_us()
        self.end_attempt("closed")


class Server:
    """One process life of a converter, on its sockets."""

    def __init__(self, host: Host, instance: Instance, memory: machine.PodMemory) -> None:
        self.host = host
        self.clock = host.clock
        self.instance = instance
        world = host.plan.world
        self.machine = machine.Converter(
            instance.machine,
            world.warmth,
            world.reports,
            memory,
            draws.stream(host.plan.seed, f"reports {instance.uid}"),
            instance.start_us,
        )
        self.work_of = {kind.name.encode(): kind for kind in world.classes}
        self.fault = ""
        self.fault_share = 1.0
        self.fault_via: frozenset[int] | None = None
        self.lines: dict[Line, None] = {}  # in the order of their coming, which a set has not
        self.server: asyncio.Server | None = None
        self.blocked: list[socket.socket] = []
        self.open: dict[int, tuple[Line, ConverterAttempt]] = {}  # by token
        self.last_token = 0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_us = NEVER

    async def listen(self) -> None:
        address, port = self.host.plan.converter_address(self.instance.index)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.line, address, port, backlog=BACKLOG)

    def line(self) -> Line:
        return Line(self, crowded=len(self.lines) >= self.instance.machine.group.connections)

    def strikes(self, ident: bytes) -> bool:
        """Whether the present fault strikes this request here: always the same for the same one."""
        if self.fault_via is not None and self.host.sidecar_of(ident) not in self.fault_via:
            return False
        return zlib.crc32(ident + self.instance.uid.encode()) < self.fault_share * 2**32

    def severs(self, line: Line) -> bool:
        """Whether the line's request comes from beyond the present cut between zones: neither it nor its answer
        gets through."""
        if (
            self.fault != "zone-cut"
            or line.attempt is None
            or not self.strikes(line.attempt.request_id.encode("latin-1"))
        ):
            return False
        line.severed = True
        return True

    # What comes in

    def connected(self) -> None:
        if self.fault not in ("cut", "hang"):
            self.carry_out(self.machine.connected(self.clock.now_us()))

    def probe(self, line: Line, target: bytes) -> None:
        if self.fault in ("hang", "cut"):
            return
        now_us = self.clock.now_us()
        report = self.machine.report(now_us)
        line.write(answer(200, report.encode() if target != b"/alive" else b"", ""))
        self.carry_out(self.machine.probed(now_us))

    def request(self, line: Line, headers: dict[bytes, bytes], body: bytes, first_us: int) -> None:
        now_us = self.clock.now_us()
        kind = self.work_of.get(headers.get(b"x-class", b""))
        ident = headers[b"x-request-id"].decode("latin-1")
        if self.host.plan.world.clients.speak_graphql:
            try:
                ident = graphql.operation_id(body)
            except ValueError:
                line.write(answer(400, b'{"errors":[{"message":"no operation"}]}', ""))
                return
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        work_us = int(headers.get(b"x-work-us", b"1000"))
        attempt = ConverterAttempt(
            ident, key, self.instance.uid, self.instance.machine.pod, first_us, now_us, work_us=work_us
        )
        self.host.records.converter_attempts.append(attempt)
        line.end_attempt("closed")  # hazard: a second request on a busy connection must not lose the first's record
        line.attempt = attempt
        if self.fault == "cut" or self.severs(line):
            return  # it has been sent, and never arrives
        if line.crowded:
            self.reply(line, 503, b"", not_run=True)
            line.close()
            return
        if self.fault == "turn-away" and self.strikes(ident.encode("latin-1")):
            self.reply(line, 503, b"", not_run=True)
            return
        self.last_token += 1
        self.open[self.last_token] = (line, attempt)
        memory_us = int(kind.idempotency_window_ms * 1000) if kind is not None else 0
        self.carry_out(
            self.machine.arrived(now_us, machine.Work(self.last_token, key if memory_us else "", work_us, memory_us))
        )

    # What goes out

    def carry_out(self, actions: list[machine.Action]) -> None:
        for action in actions:
            if isinstance(action, machine.FellOver):
                self.host.records.overload_crashes.append((self.clock.now_us(), self.instance.uid))
                self.host.happened(f"{self.instance.uid} is pushed over")
                self.stop()
                return
            line, attempt = self.open[action.token]
            if isinstance(action, machine.Began):
                attempt.started_us = self.clock.now_us()
                continue
            del self.open[action.token]
            if isinstance(action, machine.Done) and action.executed:
                attempt.finished_us = self.clock.now_us()
            if line.attempt is not attempt:
                continue  # its connection has gone or carries another
            if isinstance(action, machine.TurnedAway):
                self.reply(line, 503, b"", not_run=True)
            else:
                self.reply(line, 200, self.result(attempt.request_id))
        self.host.answer_repeats(self.machine.memory)
        self.arm()

    def result(self, ident: str) -> bytes:
        said = b'{"for":"%s","by":"%s"}' % (ident.encode("latin-1"), self.instance.uid.encode())
        return b'{"data":{"done":true},"extensions":%s}' % said if self.host.plan.world.clients.speak_graphql else said

    def reply(self, line: Line, status: int, body: bytes, not_run: bool = False) -> None:
        if self.fault in ("hang", "cut") or self.severs(line):
            return
        assert line.attempt is not None
        struck = self.strikes(line.attempt.request_id.encode("latin-1"))
        data = answer(status, body, self.machine.report(self.clock.now_us()), not_run)
        if self.fault == "reset-after" and struck:
            line.end_attempt("reset")
            line.abort()
        elif self.fault == "half-answer" and struck:
            line.write(data[: -max(1, len(body) // 2)])
            line.end_attempt("reset")
            line.close()
        else:
            line.write(data)
            line.end_attempt("answered", status, not_run)

    def arm(self) -> None:
        next_us = self.machine.next_us
        if next_us is None or (self.timer is not None and self.timer_us <= next_us):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_us = next_us
        self.timer = self.clock.handle_at(next_us, self.advance)

    def advance(self) -> None:
        self.timer = None
        self.carry_out(self.machine.advance(self.clock.now_us()))

    # Faults and the end

    async def take(self, step: Step) -> None:
        """One step of the timeline."""
        if step.action is FaultAction.DRAIN:
            self.machine.draining = True
        elif step.action is FaultAction.STOP:
            self.stop()
        elif self.machine.fallen:
            return
        elif step.action is FaultAction.BEGIN:
            self.begin(step)
        elif step.action is FaultAction.END:
            await self.end(step)

    def begin(self, step: Step) -> None:
        self.unblock()  # of a fault that this one overlaps
        self.fault, self.fault_share, self.fault_via = step.fault, step.share, step.via
        now_us = self.clock.now_us()
        if step.fault == "hang":
            self.machine.hang(now_us)
        elif step.fault == "slow":
            self.machine.slowness = step.factor
        elif step.fault == "refuse":
            self.close_sockets()
        elif step.fault == "cut":
            self.block()

    async def end(self, step: Step) -> None:
        was, self.fault = self.fault, ""
        self.unblock()
        self.machine.slowness = 1.0
        if was == "hang":
            self.carry_out(self.machine.unhang(self.clock.now_us()))
        elif was == "cut":
            for line in list(self.lines):
                line.abort()  # a machine that is back resets what it does not know
        elif was == "zone-cut":
            for line in [line for line in self.lines if line.severed]:
                line.abort()
        if was in ("refuse", "cut") and self.server is None:
            await self.listen()

    def close_listener(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def close_sockets(self) -> None:
        """As at the end of a process: connections are reset, new ones refused."""
        self.close_listener()
        for line in list(self.lines):
            line.end_attempt("reset")
            line.abort()

    def block(self) -> None:
        """New connections never come up: nobody accepts, and the listener's queue is full."""
        self.close_listener()
        address = self.host.plan.converter_address(self.instance.index)
        listener = system.listen(address, 0)
        self.blocked = [listener]
        for _ in range(self.host.fillers):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.blocked.append(filler)

    def unblock(self) -> None:
        for sock in self.blocked:
            sock.close()
        self.blocked.clear()

    def stop(self) -> None:
        self.machine.stop()
        self.close_sockets()
        self.unblock()
        self.open.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def close_idle(self, now_us: int) -> None:
        """What has been idle for too long is closed."""
        oldest_us = now_us - int(self.instance.machine.group.idle_close_s * 1e6)
        for line in [line for line in self.lines if line.attempt is None and line.heard_us < oldest_us]:
            line.close()


class Host:
    """All converters of one process; a pod is never split over two."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline, simulated: bool = False) -> None:
        self.plan = plan
        self.clock = clock
        self.records = RoleRecords(f"converters {plan.index}")
        self.meter = LatenessMeter(clock)
        processes = 1 if simulated else plan.world.harness.converter_processes
        self.instances = [i for i in timeline.instances if i.machine.pod % processes == plan.index]
        mine = {instance.index for instance in self.instances}
        self.steps = [step for step in timeline.steps if step.target is TargetKind.CONVERTER and step.index in mine]
        self.fillers = 0 if simulated else FILLERS  # in simulation a listener's queue may have no place at all
        self.memories: dict[int, machine.PodMemory] = {}
        self.servers: dict[int, Server] = {}
        self.sidecars: list[int] = []  # of each first try, once it is asked for

    def sidecar_of(self, ident: bytes) -> int:
        """By which sidecar a request comes, as it was drawn."""
        if not self.sidecars:
            self.sidecars = draws.arrivals(self.plan.world, self.plan.seed).sidecar.tolist()
        return self.sidecars[int(ident.split(b"-")[1], 16)]

    def happened(self, text: str) -> None:
        self.records.events.append(RecordedEvent(self.clock.now_us(), text))

    async def start(self) -> None:
        for instance in self.instances:
            if instance.start_us is None:
                await self.start_one(instance)

    async def start_one(self, instance: Instance) -> None:
        memory = self.memories.setdefault(instance.machine.pod, machine.PodMemory())
        server = self.servers[instance.index] = Server(self, instance, memory)
        await server.listen()

    async def run(self) -> RoleRecords:
        """Carry out the steps until the run is over."""
        sweeping = asyncio.create_task(self.sweep())
        by_index = {instance.index: instance for instance in self.instances}
        for step in self.steps:
            await asyncio.sleep(max(0.0, (step.at_us - self.clock.now_us()) / 1e6))
            self.meter.note(step.at_us)
            if step.action is FaultAction.START:
                await self.start_one(by_index[step.index])
            elif step.index in self.servers:
                await self.servers[step.index].take(step)
            uid = by_index[step.index].uid
            self.happened(f"{uid}: {step.fault} {step.action.value}")
        await asyncio.sleep(max(0.0, (self.plan.end_us - self.clock.now_us()) / 1e6))
        sweeping.cancel()
        for server in self.servers.values():
            server.stop()
        return self.records

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            for server in self.servers.values():
                server.close_idle(self.clock.now_us())

    def answer_repeats(self, memory: machine.PodMemory) -> None:
        """Repeats that waited for a run at another converter of their pod."""
        while memory.answered:
            converter, token = memory.answered.pop()
            for server in self.servers.values():
                if server.machine is converter and token in server.open:
                    server.carry_out([machine.Done(token, executed=False)])
