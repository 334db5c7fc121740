"""Pool of the connections to all upstreams; dials new connections and reuses idle ones."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from ryepier.balancer.interface import Outcome
from ryepier.sidecar import system
from ryepier.sidecar.read_pacer import ReadPacer
from ryepier.sidecar.requests import Address, AttemptResult, ClientRequest
from ryepier.sidecar.system import clock_us
from ryepier.sidecar.upstream_attempt import UpstreamAttempt
from ryepier.sidecar.upstream_connection import UpstreamConnection

log = logging.getLogger(__name__)

# A surplus response to the previous request may arrive within this time. Responses are acknowledged at once, so no peer
# holds one back for longer than it takes to write it.
MIN_IDLE_BEFORE_REUSE_US = 30_000
# Idle connections are closed this long before the upstream would close them, as a request might then be on its way.
IDLE_MARGIN_US = 300_000
BREAK_SHARE_WINDOW = 16  # number of reuses that the moving average of broken connections covers
# If more than this share of the reused connections breaks, new connections are cheaper, as a lost request costs about
# as much as ten of them.
MAX_BREAK_SHARE = 0.15
BREAK_SHARE_DECAY_FACTOR = 0.99  # applied for each connection that is not reused, so that reuse is tried again later
SWEEP_INTERVAL_S = 0.1
FIRST_SWEEP_DELAY_S = 1.0  # after the pool is created


class ConnectionPool:
    """Holds the connections to all upstreams and carries attempts on them.

    Connections are keyed by upstream, not by address, as a new upstream may get the address of a removed one. The
    connection that has been idle for longest is reused first: on one that has just become idle, a close or surplus
    bytes from the upstream may still be on the way.
    """

    def __init__(self, upstream_idle_timeout_us: int, dial_timeout_us: int, max_connections: int) -> None:
        """Start without connections.

        Upstreams close a connection that has been idle for `upstream_idle_timeout_us`. A dial may take up to
        `dial_timeout_us`; 0 sets no limit. `max_connections` includes connections that are being dialled or closed.
        """
        self.loop = asyncio.get_running_loop()
        self.read_pacer = ReadPacer()
        self.max_idle_us = max(0, upstream_idle_timeout_us - IDLE_MARGIN_US)
        # Moving average of the share of reused connections that broke at their next request, by log2 of the idle time.
        self.break_shares = [0.0] * 64
        self.dial_timeout_us = dial_timeout_us
        self.max_connections = max_connections
        self.connections: dict[int, set[UpstreamConnection]] = {}  # by upstream; includes those being dialled
        self.idle_connections: dict[int, list[UpstreamConnection]] = {}
        self.closing_connections: set[UpstreamConnection] = set()  # closed, but their descriptors are not free yet
        self.dial_tasks: set[asyncio.Task[None]] = set()
        self.pending_dials: dict[UpstreamAttempt, int] = {}  # upstreams of the attempts that have no connection yet
        self.sweep_timer = self.loop.call_later(FIRST_SWEEP_DELAY_S, self.sweep)

    def start_attempt(
        self,
        upstream: int,
        address: Address,
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_at_us: int = 0,
    ) -> UpstreamAttempt:
        """Start an attempt on an idle connection or on a new one; see `UpstreamTransport.start_attempt`."""
        now_us = clock_us()
        attempt = UpstreamAttempt(request, address, now_us + timeout_us, on_end, latest_write_at_us)
        while idle_connections := self.idle_connections.get(upstream):
            connection = idle_connections[0]
            idle_us = now_us - connection.idle_since_us
            if idle_us < MIN_IDLE_BEFORE_REUSE_US:
                break
            if idle_us < self.max_idle_us and self.may_reuse(idle_us) and connection.is_usable():
                self.take_idle(connection)
                connection.idle_us = idle_us
                connection.send(attempt)
                return attempt
            connection.close()
        self.pending_dials[attempt] = upstream
        task = self.loop.create_task(self.dial(upstream, address, attempt))
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)
        return attempt

    async def dial(self, upstream: int, address: Address, attempt: UpstreamAttempt) -> None:
        """Open a connection for an attempt. The connection sends the attempt once it is established."""
        has_capacity = await self.free_capacity(attempt)
        del self.pending_dials[attempt]
        if attempt.cancelled:
            return
        if attempt.upstream_removed or not has_capacity:
            attempt.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        connection: UpstreamConnection | None = None
        try:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            sock = system.tcp_socket(family)
            connection = UpstreamConnection(self, upstream, sock)
            connection.attempt = attempt
            attempt.connection = connection
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.dial_timeout_us / 1e6 or None):
                await self.loop.sock_connect(sock, address)
            dialled_connection = connection
            await self.loop.create_connection(lambda: dialled_connection, sock=sock)
        # The connection was refused or timed out, the host is unreachable, or no descriptor was left.
        except OSError:
            self._on_dial_failed(connection, attempt)
        # Any other error must end the attempt and free its descriptor too.
        except Exception as error:  # noqa: BLE001
            log.warning("connection to upstream %d failed: %r", upstream, error, extra={"upstream": upstream})
            self._on_dial_failed(connection, attempt)

    def _on_dial_failed(self, connection: UpstreamConnection | None, attempt: UpstreamAttempt) -> None:
        """Remove a connection that was not established, and end its attempt."""
        if connection is not None:
            connection.attempt = None
            connection.sock.close()
            self.remove(connection)
        if not attempt.cancelled and not attempt.write_started:
            attempt.end(AttemptResult(Outcome.CONNECT_FAILED))

    async def free_capacity(self, attempt: UpstreamAttempt) -> bool:
        """Close idle connections until one more may be opened, and return whether that succeeded.

        Without a limit, silent upstreams or a burst of dials would use up the descriptors. A closed connection keeps
        its descriptor until the next iteration of the event loop.
        """
        while self._descriptor_count() >= self.max_connections and not attempt.cancelled:
            idle_connections = [connection for group in self.idle_connections.values() for connection in group]
            if idle_connections:
                min(idle_connections, key=lambda connection: connection.idle_since_us).close()
            elif not self.closing_connections:
                return False
            await asyncio.sleep(0)
        return True

    def _descriptor_count(self) -> int:
        return sum(map(len, self.connections.values())) + len(self.closing_connections)

    def may_reuse(self, idle_us: int) -> bool:
        """Return whether connections that were idle for this long may be reused.

        A middlebox may drop idle connections without notice and before the configured idle timeout. A request that is
        sent on such a connection is lost.
        """
        bucket = idle_us.bit_length()
        if self.break_shares[bucket] > MAX_BREAK_SHARE:
            self.break_shares[bucket] *= BREAK_SHARE_DECAY_FACTOR
            return False
        return True

    def record_reuse(self, idle_us: int, broke: bool) -> None:
        """Record whether a reused connection, which had been idle for `idle_us`, broke at its next request."""
        bucket = idle_us.bit_length()
        self.break_shares[bucket] += (float(broke) - self.break_shares[bucket]) / BREAK_SHARE_WINDOW

    def add(self, connection: UpstreamConnection) -> None:
        """Add a connection that is about to be dialled."""
        self.connections.setdefault(connection.upstream, set()).add(connection)

    def put_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for later attempts."""
        connection.idle_since_us = clock_us()
        self.idle_connections.setdefault(connection.upstream, []).append(connection)

    def take_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle ones, if it is idle."""
        idle_connections = self.idle_connections.get(connection.upstream, [])
        if connection in idle_connections:
            idle_connections.remove(connection)
            if not idle_connections:
                del self.idle_connections[connection.upstream]

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the pool."""
        self.take_idle(connection)
        group = self.connections.get(connection.upstream, set())
        group.discard(connection)
        if not group:
            self.connections.pop(connection.upstream, None)

    def on_closing(self, connection: UpstreamConnection) -> None:
        """Record that a connection is closing; it keeps its descriptor until `on_closed`."""
        self.closing_connections.add(connection)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection whose descriptor is freed before the next iteration of the event loop."""
        self.remove(connection)
        self.closing_connections.discard(connection)

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to an upstream."""
        for connection in self.idle_connections.get(upstream, [])[:]:
            connection.close()

    def remove_upstream(self, upstream: int) -> None:
        """Close the idle connections to an upstream now, and its busy ones after their current responses."""
        self.close_idle(upstream)
        for connection in self.connections.get(upstream, set()):
            connection.upstream_removed = True
        for attempt, attempt_upstream in self.pending_dials.items():
            attempt.upstream_removed |= attempt_upstream == upstream

    def sweep(self) -> None:
        """Close the idle connections that upstreams are about to close, every SWEEP_INTERVAL_S."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        idle_before_us = clock_us() - self.max_idle_us
        for connections in list(self.idle_connections.values()):
            for connection in [connection for connection in connections if connection.idle_since_us <= idle_before_us]:
                connection.close()
