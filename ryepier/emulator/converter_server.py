"""One process of an emulated converter on sockets: drives the model and applies the scheduled faults."""

from __future__ import annotations

import asyncio
import http
import socket
from dataclasses import dataclass
from typing import Protocol

from ryepier.emulator import draws, graphql
from ryepier.emulator.converter_connection import ConverterConnection, ReceivedRequest, encode_response
from ryepier.emulator.converter_faults import ConverterFaults
from ryepier.emulator.converter_model import (
    Action,
    ConverterModel,
    Crashed,
    Done,
    IdempotencyCache,
    Rejected,
    Started,
    Work,
)
from ryepier.emulator.process import Clock, Plan
from ryepier.emulator.records import NEVER, AttemptOutcome, ConverterAttempt, RoleRecords
from ryepier.emulator.response_delivery import ConverterResponse, deliver
from ryepier.emulator.timeline import FaultAction, Instance, Step
from ryepier.emulator.world import FaultKind
from ryepier.sidecar import system

LISTEN_BACKLOG = 1024
DEFAULT_WORK_US = b"1000"  # value assumed for a request without the X-Work-Us header


class ServerOwner(Protocol):
    """The parts of an emulator process that its converters use."""

    plan: Plan
    clock: Clock
    records: RoleRecords
    backlog_filler_count: int  # number of connections that fill a listener's backlog, which blocks new connections

    def sidecar_of(self, request_id: bytes) -> int:
        """Return the sidecar that a client sent the request to."""

    def record_event(self, text: str) -> None:
        """Record an event at the current time."""

    def answer_released_repeats(self, cache: IdempotencyCache) -> None:
        """Answer the repeats whose first request has finished at another converter of their pod."""


@dataclass(frozen=True, slots=True)
class _InFlightRequest:
    """A request that has been passed to the model, with its connection."""

    connection: ConverterConnection
    attempt: ConverterAttempt


class ConverterServer:
    """One process of a converter. It has at most one fault at a time."""

    def __init__(self, owner: ServerOwner, instance: Instance, cache: IdempotencyCache) -> None:
        """Prepare the process without opening its socket; `listen` does that. A pod's converters share `cache`."""
        self.owner = owner
        self.clock = owner.clock
        self.instance = instance
        world = owner.plan.world
        self.model = ConverterModel(
            instance.machine,
            world.warm_up,
            world.reports,
            cache,
            draws.stream(owner.plan.seed, f"reports {instance.uid}"),
            instance.start_us,
        )
        self.in_flight: dict[int, _InFlightRequest] = {}  # requests by token
        self._speaks_graphql = world.clients.speak_graphql
        self._window_us_by_class = {
            request_class.name.encode(): int(request_class.idempotency_window_ms * 1000)
            for request_class in world.classes
        }
        self._faults = ConverterFaults(self.uid, owner.sidecar_of)
        self._connections: dict[ConverterConnection, None] = {}  # in the order in which they were opened
        self._listener: asyncio.Server | None = None
        self._blocking_sockets: list[socket.socket] = []
        self._last_token = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_us = NEVER

    @property
    def uid(self) -> str:
        """The converter's uid."""
        return self.instance.uid

    async def listen(self) -> None:
        """Accept connections."""
        address, port = self.owner.plan.converter_address(self.instance.index)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._make_connection, address, port, backlog=LISTEN_BACKLOG)

    def _make_connection(self) -> ConverterConnection:
        return ConverterConnection(self, over_limit=len(self._connections) >= self.instance.machine.group.connections)

    # Faults

    def _check_partition(self, connection: ConverterConnection) -> bool:
        """Return whether a zone partition drops the attempt on a connection, and if so, mark the connection."""
        attempt = connection.attempt
        if attempt is None or not self._faults.affects(FaultKind.ZONE_CUT, attempt.request_id.encode("latin-1")):
            return False
        connection.is_partitioned = True
        return True

    @property
    def drops_output(self) -> bool:
        """Whether a fault discards everything that is written."""
        return self._faults.is_any_of(FaultKind.CUT)

    def resets_before_request(self, request_id: bytes) -> bool:
        """Return whether a fault resets the connection once a request's headers have been received."""
        return self._faults.affects(FaultKind.RESET_BEFORE, request_id)

    async def apply(self, step: Step) -> None:
        """Carry out one step of the fault schedule. After a crash, only a drain or a stop has an effect."""
        if step.action is FaultAction.DRAIN:
            self.model.draining = True
        elif step.action is FaultAction.STOP:
            self.stop()
        elif self.model.crashed:
            return
        elif step.action is FaultAction.BEGIN:
            self.begin_fault(step)
        elif step.action is FaultAction.END:
            await self.end_fault()

    def begin_fault(self, step: Step) -> None:
        """Begin a fault, which replaces the current one."""
        self._unblock()
        self._faults.begin(step)
        if step.fault is FaultKind.HANG:
            self.model.hang(self.clock.now_us())
        elif step.fault is FaultKind.SLOW:
            self.model.slowdown = step.factor
        elif step.fault is FaultKind.REFUSE:
            self._close_sockets()
        elif step.fault is FaultKind.CUT:
            self._block_new_connections()

    async def end_fault(self) -> None:
        """End the current fault, and reset the connections on which it dropped data."""
        ended_fault = self._faults.end()
        self._unblock()
        self.model.slowdown = 1.0
        if ended_fault is FaultKind.HANG:
            self.carry_out(self.model.resume(self.clock.now_us()))
        elif ended_fault is FaultKind.CUT:
            self._abort(list(self._connections))
        elif ended_fault is FaultKind.ZONE_CUT:
            self._abort([connection for connection in self._connections if connection.is_partitioned])
        if ended_fault in (FaultKind.REFUSE, FaultKind.CUT) and self._listener is None:
            await self.listen()

    @staticmethod
    def _abort(connections: list[ConverterConnection]) -> None:
        for connection in connections:
            connection.abort()

    # Events of connections

    def on_connected(self, connection: ConverterConnection) -> None:
        """Record a new connection, and account for its handshake."""
        self.owner.records.connections.append(connection.record)
        self._connections[connection] = None
        if not self._faults.is_unresponsive:
            self.carry_out(self.model.on_connection(self.clock.now_us()))

    def on_closed(self, connection: ConverterConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(connection, None)

    def on_probe(self, connection: ConverterConnection, target: bytes) -> None:
        """Answer a health check or a request for the load report."""
        if self._faults.is_unresponsive:
            return
        now_us = self.clock.now_us()
        report = self.model.load_report(now_us)
        body = report.encode() if target != b"/alive" else b""
        connection.write(encode_response(http.HTTPStatus.OK, body, ""))
        self.carry_out(self.model.on_probe(now_us))

    def on_request(self, connection: ConverterConnection, request: ReceivedRequest) -> None:
        """Record a request, and pass it to the model unless it is dropped or rejected immediately."""
        request_id = request.headers[b"x-request-id"].decode("latin-1")
        if self._speaks_graphql:
            try:
                request_id = graphql.operation_id(request.body)
            except ValueError:
                body = b'{"errors":[{"message":"no operation"}]}'
                connection.write(encode_response(http.HTTPStatus.BAD_REQUEST, body, ""))
                return
        attempt = self._record_attempt(request, request_id)
        connection.end_attempt(AttemptOutcome.CLOSED)  # if this request is pipelined, completes the previous record
        connection.attempt = attempt
        if self._faults.is_any_of(FaultKind.CUT) or self._check_partition(connection):
            return
        if connection.over_limit:
            self._reject(connection)
            connection.close()
        elif self._faults.affects(FaultKind.TURN_AWAY, request_id.encode("latin-1")):
            self._reject(connection)
        else:
            window_us = self._window_us_by_class.get(request.headers.get(b"x-class", b""), 0)
            self._accept(connection, attempt, window_us)

    def _record_attempt(self, request: ReceivedRequest, request_id: str) -> ConverterAttempt:
        attempt = ConverterAttempt(
            request_id,
            request.headers.get(b"idempotency-key", b"").decode("latin-1"),
            self.uid,
            self.instance.machine.pod,
            request.first_byte_us,
            self.clock.now_us(),
            work_us=int(request.headers.get(b"x-work-us", DEFAULT_WORK_US)),
        )
        self.owner.records.converter_attempts.append(attempt)
        return attempt

    def _accept(self, connection: ConverterConnection, attempt: ConverterAttempt, window_us: int) -> None:
        self._last_token += 1
        self.in_flight[self._last_token] = _InFlightRequest(connection, attempt)
        work = Work(self._last_token, attempt.key if window_us else "", attempt.work_us, window_us)
        self.carry_out(self.model.on_request(attempt.received_us, work))

    # Actions of the model

    def carry_out(self, actions: list[Action]) -> None:
        """Carry out the model's actions: record them, answer requests, or stop after a crash."""
        for action in actions:
            if isinstance(action, Crashed):
                self._crash()
                return
            self._carry_out_action(action)
        self.owner.answer_released_repeats(self.model.cache)
        self._arm_timer()

    def _carry_out_action(self, action: Started | Done | Rejected) -> None:
        if isinstance(action, Started):
            self.in_flight[action.token].attempt.started_us = self.clock.now_us()
            return
        request = self.in_flight.pop(action.token)
        if isinstance(action, Done) and action.executed:
            request.attempt.finished_us = self.clock.now_us()
        if request.connection.attempt is not request.attempt:
            return  # the connection has ended, or carries a different request
        if isinstance(action, Rejected):
            self._reject(request.connection)
        else:
            self._reply(request.connection, http.HTTPStatus.OK, self._success_body(request.attempt.request_id))

    def _crash(self) -> None:
        self.owner.records.overload_crashes.append((self.clock.now_us(), self.uid))
        self.owner.record_event(f"{self.uid} is pushed over")
        self.stop()

    def _success_body(self, request_id: str) -> bytes:
        response_ids = b'{"for":"%s","by":"%s"}' % (request_id.encode("latin-1"), self.uid.encode())
        return b'{"data":{"done":true},"extensions":%s}' % response_ids if self._speaks_graphql else response_ids

    def _reject(self, connection: ConverterConnection) -> None:
        self._reply(connection, http.HTTPStatus.SERVICE_UNAVAILABLE, b"", not_run=True)

    def _reply(
        self, connection: ConverterConnection, status: http.HTTPStatus, body: bytes, not_run: bool = False
    ) -> None:
        """Answer the connection's request, unless the current fault drops, resets or truncates the response."""
        if self._faults.is_unresponsive or self._check_partition(connection):
            return
        assert connection.attempt is not None
        fault = self._faults.affecting(connection.attempt.request_id.encode("latin-1"))
        response = ConverterResponse(status, body, self.model.load_report(self.clock.now_us()), not_run)
        deliver(connection, response, fault, self.clock)

    def _arm_timer(self) -> None:
        next_us = self.model.next_us
        if next_us is None or (self._timer is not None and self._timer_due_us <= next_us):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_us = next_us
        self._timer = self.clock.handle_at(next_us, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.carry_out(self.model.advance(self.clock.now_us()))

    # Sockets

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _close_sockets(self) -> None:
        """Reset all connections and refuse new ones, which emulates the end of the process."""
        self._close_listener()
        for connection in list(self._connections):
            connection.end_attempt(AttemptOutcome.RESET)
            connection.abort()

    def _block_new_connections(self) -> None:
        """Listen with a full backlog, so that connection attempts receive no answer."""
        self._close_listener()
        address = self.owner.plan.converter_address(self.instance.index)
        self._blocking_sockets = [system.listen(address, 0)]
        for _ in range(self.owner.backlog_filler_count):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self._blocking_sockets.append(filler)

    def _unblock(self) -> None:
        for sock in self._blocking_sockets:
            sock.close()
        self._blocking_sockets.clear()

    def close_idle_connections(self, now_us: int) -> None:
        """Close the connections that have been idle for longer than the group's `idle_close_s`."""
        cutoff_us = now_us - int(self.instance.machine.group.idle_close_s * 1e6)
        for connection in list(self._connections):
            if connection.attempt is None and connection.last_data_us < cutoff_us:
                connection.close()

    def stop(self) -> None:
        """End the process: all work is lost, and all connections are reset."""
        self.model.stop()
        self._close_sockets()
        self._unblock()
        self.in_flight.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
