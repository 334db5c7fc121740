"""A discovery server that answers calls with faults, and a sidecar's discovery client connected to it."""

from __future__ import annotations

import asyncio
import enum
import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import pytest

from ryepier.balancer.interface import UpstreamsUpdated
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.discovery import DiscoveryClient
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.endpoint_registry import EndpointRegistry
from tests.balancer_harness import settings
from tests.loopback_ports import free_port
from tests.network_peers import endpoint_entry, endpoint_list, read_message

EMPTY_LINE_INTERVAL_S = 2.0  # between the empty lines of a watch
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REJECTION_STATUS_LINE = b"HTTP/1.1 503 Service Unavailable\r\n"
CLOSED_PORT = free_port()
NEW_VERSION = 2

OLD_LIST = endpoint_list(endpoint_entry("u0", 9000), rev=1)
NEW_LIST = endpoint_list(endpoint_entry("u0", 9000, "leaving"), rev=2, full=False)
NEW_LIST_BYTES = json.dumps(NEW_LIST).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Behaviour(enum.Enum):
    """How a connection attempt ends, or how a watch continues after its initial bytes."""

    REFUSE = enum.auto()  # the connection is refused
    HANG = enum.auto()  # the connection is never established
    STAY_SILENT = enum.auto()  # nothing more is sent
    RESET = enum.auto()  # the connection is reset
    TRICKLE = enum.auto()  # a space is sent every 0.2 s


class Fault(NamedTuple):
    """The bytes that are sent in response to a call, and the behaviour after them."""

    initial_bytes: bytes
    behaviour: Behaviour


FAULTS = {
    "refused": Fault(b"", Behaviour.REFUSE),
    "dial hangs": Fault(b"", Behaviour.HANG),
    "reset": Fault(b"", Behaviour.RESET),
    "silent": Fault(b"", Behaviour.STAY_SILENT),
    "head only": Fault(RESPONSE_HEAD, Behaviour.STAY_SILENT),
    "503": Fault(REJECTION_STATUS_LINE + b"Content-Length: 0\r\n\r\n", Behaviour.STAY_SILENT),
    "503 without end": Fault(
        REJECTION_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"busy"), Behaviour.STAY_SILENT
    ),
    "half a list": Fault(RESPONSE_HEAD + chunk(NEW_LIST_BYTES[:60]), Behaviour.RESET),
    "half a list, silent": Fault(RESPONSE_HEAD + chunk(NEW_LIST_BYTES[:60]), Behaviour.STAY_SILENT),
    "half a list, a byte at a time": Fault(RESPONSE_HEAD + chunk(NEW_LIST_BYTES[:60]), Behaviour.TRICKLE),
    "unreadable": Fault(
        RESPONSE_HEAD + chunk(b'{"rev": 2, "all": true, "targets": [{"uid": "u0"}]}\n'), Behaviour.STAY_SILENT
    ),
    "watch falls silent": Fault(RESPONSE_HEAD + chunk(json.dumps(OLD_LIST).encode() + b"\n"), Behaviour.STAY_SILENT),
    "watch breaks": Fault(RESPONSE_HEAD + chunk(json.dumps(OLD_LIST).encode() + b"\n"), Behaviour.RESET),
}


@dataclass
class FaultyDiscovery:
    """Answers each call with the next fault of `fault_order`, and serves all calls after the last fault.

    Discovery counts as reachable from the time of the last fault, which is stored in `reachable_at`.
    """

    fault_order: tuple[str, ...]
    response_delay_s: float
    call_times: list[float] = field(default_factory=list)
    reachable_at: float = 0.0
    port: int = 0
    server: asyncio.Server | None = None
    initial_data: bytes = NEW_LIST_BYTES
    """The messages that a served call gets first."""
    sends_empty_lines: bool = False

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def on_connect(self) -> Behaviour | None:
        """Record the time of a call and return how its connection behaves; None for a call that is served."""
        self.call_times.append(time.monotonic())
        if len(self.call_times) <= len(self.fault_order):
            self.reachable_at = self.call_times[-1]
        fault = self._current_fault()
        return fault.behaviour if fault is not None else None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call with the current fault, or with the endpoint list if there is none."""
        fault = self._current_fault()
        is_last_fault = len(self.call_times) == len(self.fault_order)
        try:
            await read_message(reader)
            if fault is None:
                await self._serve_list(writer)
            else:
                writer.write(fault.initial_bytes)
                await writer.drain()
                if is_last_fault:
                    self.reachable_at = time.monotonic()
                await self._behave_after_response(fault.behaviour, writer)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def _current_fault(self) -> Fault | None:
        if not 0 < len(self.call_times) <= len(self.fault_order):
            return None
        return FAULTS[self.fault_order[len(self.call_times) - 1]]

    async def _serve_list(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.response_delay_s)
        writer.write(RESPONSE_HEAD + (chunk(self.initial_data) if self.initial_data else b""))
        while self.sends_empty_lines:
            await asyncio.sleep(EMPTY_LINE_INTERVAL_S)
            writer.write(chunk(b"\n"))

    @staticmethod
    async def _behave_after_response(behaviour: Behaviour, writer: asyncio.StreamWriter) -> None:
        if behaviour is Behaviour.RESET:
            await asyncio.sleep(0.01)  # lets the written bytes arrive before the reset
            raise ConnectionResetError
        while behaviour is Behaviour.TRICKLE:
            await asyncio.sleep(0.2)
            writer.write(chunk(b" "))
            await writer.drain()


def apply_connection_faults(patch: pytest.MonkeyPatch, agents: dict[int, FaultyDiscovery]) -> None:
    """Make connections to these agents fail or hang if that is the agent's current fault; `agents` is keyed by port."""
    connect = asyncio.SelectorEventLoop.sock_connect

    async def connect_by_fault(loop: asyncio.SelectorEventLoop, sock: socket.socket, address: Any) -> None:
        behaviour = agents[address[1]].on_connect() if address[1] in agents else None
        if behaviour is Behaviour.HANG:
            await asyncio.Event().wait()
        await connect(loop, sock, ("127.0.0.1", CLOSED_PORT) if behaviour is Behaviour.REFUSE else address)

    patch.setattr(asyncio.SelectorEventLoop, "sock_connect", connect_by_fault)


def start_client(
    agent: FaultyDiscovery, is_pushed: bool, on_update: Callable[[UpstreamsUpdated], None]
) -> DiscoveryClient:
    """Start a sidecar's decision module and discovery client.

    The settings are those of a fleet so large that its polls are spread over the maximum interval. The random numbers
    are patched so that this sidecar always polls at the latest time in that interval.
    """
    config = settings(polls_endpoints=not is_pushed, max_poll_interval_us=10_000_000, instances=1_600)
    dispatcher = RequestDispatcher(config, 1, ConnectionPool(60_000_000, 200_000, max_connections=10))
    dispatcher.balancer.random.random = lambda: 0.999_999  # type: ignore[method-assign]

    def listener(event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        on_update(event)
        dispatcher.on_endpoints(event, addresses)

    registry = EndpointRegistry(["a"], ["m"])
    client = DiscoveryClient(("127.0.0.1", agent.port), registry, listener, is_pushed, cached_list=OLD_LIST)
    dispatcher.subscribe = client.subscribe
    client.restore_cached_list()
    dispatcher.start()
    client.start()
    return client
