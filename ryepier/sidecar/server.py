"""HTTP server for clients: accepts connections, limits and evicts them, and shuts them down gracefully."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Iterator
from typing import NamedTuple

from ryepier.balancer.interface import Settings
from ryepier.sidecar import system
from ryepier.sidecar.client_connection import STATE_TIMEOUTS_S, ClientConnection, ClientState
from ryepier.sidecar.client_listener import ACCEPT_BATCH_SIZE, ClientListener
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.read_pacer import ReadPacer
from ryepier.sidecar.request_buffers import RequestBuffers
from ryepier.sidecar.request_parsing import Dialect, PlatformDialect
from ryepier.sidecar.requests import Address

FIRST_REQUEST_GRACE_S = 0.25  # new connections are not evicted for this long, as clients send a request at once
CROWD_GRACE_S = 0.03  # the same while connections wait for long
QUEUE_PATIENCE_SHARE = 0.25  # of the shortest deadline; after this wait a crowd has to move on
MAX_QUEUE_PATIENCE_S = 1.5  # a peer must get an error or a close within 3 s of connecting
SPARE_CLIENTS_SHARE = 8  # one more connection for this many, for requests that have waited longer than that
SWEEP_INTERVAL_S = 0.1
PARTIAL_RETRY_AFTER_US = 250_000  # Retry-After of rejected partial requests, whose class may be unknown yet


READING_STATES = (ClientState.NEW, ClientState.READING)  # a request may have arrived in part


class EvictionRule(NamedTuple):
    """Describes the connections that may be evicted to make room for a new one."""

    state: ClientState
    min_inactive_s: float  # time since the state changed and since the last byte arrived
    partial: bool  # True: a part of a request must have arrived; False: none of a request may have arrived


# Tried in this order. Connections within the grace period are not evicted, as their first request is about to arrive.
# If no rule matches, new connections wait in the listener's queue.
EVICTION_RULES = (
    EvictionRule(ClientState.CLOSING, 0.0, partial=False),
    EvictionRule(ClientState.NEW, FIRST_REQUEST_GRACE_S, partial=False),
    EvictionRule(ClientState.IDLE, 2.0, partial=False),
    EvictionRule(ClientState.NEW, FIRST_REQUEST_GRACE_S, partial=True),
    EvictionRule(ClientState.READING, FIRST_REQUEST_GRACE_S, partial=True),
)
LAST_EVICTION_RULE = EvictionRule(ClientState.IDLE, 0.0, partial=False)
# Tried before the last one once connections have waited in the listener's queue for long: they may have sent requests
# whose time runs, so a crowd of silent ones has to move on.
CROWD_EVICTION_RULE = EvictionRule(ClientState.NEW, CROWD_GRACE_S, partial=False)


class Server:
    """Accepts client connections and keeps track of all of them."""

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        settings: Settings,
        address: Address,
        max_clients: int,
        max_buffered_bytes: int,
        dialect: Dialect | None = None,
    ) -> None:
        """Prepare a server for up to `max_clients` connections; it serves at `address` once `listen` is called.

        Requests that have arrived in part or are open may take up to `max_buffered_bytes` of memory together.
        """
        self.loop = asyncio.get_running_loop()
        self.dispatcher = dispatcher
        self.dialect = dialect or PlatformDialect(settings)
        self.max_clients = max_clients
        max_retry_after_us = settings.max_retry_after_us if settings.retry_after else 0
        self.partial_retry_after_us = min(PARTIAL_RETRY_AFTER_US, max_retry_after_us)
        # Each group is in the order in which its connections entered the state, so the oldest one comes first.
        self.clients_by_state: dict[ClientState, dict[ClientConnection, None]] = {state: {} for state in ClientState}
        self.request_buffers = RequestBuffers[ClientConnection](max_buffered_bytes)
        self.connection_start_tasks: set[asyncio.Task[object]] = set()
        self.read_pacer = ReadPacer()
        shortest_deadline_us = min(request_class.deadline_us for request_class in settings.classes)
        patience_s = min(QUEUE_PATIENCE_SHARE * shortest_deadline_us / 1e6, MAX_QUEUE_PATIENCE_S)
        self.listener = ClientListener(self, address, patience_s)
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the server accepts requests and has upstreams to send them to."""
        return self.dispatcher.has_upstreams and not self.is_stopping

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return sum(len(group) for group in self.clients_by_state.values())

    def has_many_connections(self) -> bool:
        """Return whether more than half of the allowed connections are open; new ones then close after one response."""
        return self.connection_count() > self.max_clients // 2

    # Accepting

    def listen(self) -> None:
        """Start listening, accepting connections, and checking state timeouts."""
        self.listener.open()
        self.sweep()

    def add_connection(self, sock: socket.socket, arrived_after: float | None) -> None:
        """Start to serve an accepted connection.

        It has not arrived before `arrived_after`; None means that it has just arrived.
        """
        client = ClientConnection(self, sock)
        if arrived_after is not None:
            client.state_since = arrived_after  # the peer's time for its first request began when it connected
            if not client.has_no_unread_bytes():
                client.unread_since = arrived_after
        self.clients_by_state[ClientState.NEW][client] = None
        task = self.loop.create_task(self.start_connection(client, sock))
        self.connection_start_tasks.add(task)
        task.add_done_callback(self.connection_start_tasks.discard)

    async def start_connection(self, client: ClientConnection, sock: socket.socket) -> None:
        """Create the transport of an accepted connection, which starts reading from it."""
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            self.remove(client)
            sock.close()

    # Capacity

    def has_capacity(self) -> bool:
        """Return whether a connection may be opened, if need be after an eviction."""
        return self.connection_count() < self.max_clients or self.free_capacity()

    def free_capacity(self) -> bool:
        """Evict a connection that has no open request.

        Returns whether there is capacity now. Partial requests are rejected instead of closed, and free capacity only
        once their clients have read the response. Without the limit on connections no descriptors would be left for
        upstreams and discovery.
        """
        for rule in EVICTION_RULES:
            if not rule.partial:
                if self.evict(rule):
                    return True
                continue
            for client in list(itertools.islice(self.evictable(rule), ACCEPT_BATCH_SIZE)):
                client.reject_partial("its connection is needed")
        return (self.listener.is_overdue() and self.evict(CROWD_EVICTION_RULE)) or self.evict(LAST_EVICTION_RULE)

    def evict(self, rule: EvictionRule) -> bool:
        """Close the connection that a rule names first, and return whether there was one."""
        client = next(self.evictable(rule), None)
        if client is None:
            return False
        client.close()
        self.remove(client)
        return True

    def evictable(self, rule: EvictionRule) -> Iterator[ClientConnection]:
        """Yield the connections that may be evicted by a rule, beginning with the one longest in its state."""
        inactive_since = system.monotonic() - rule.min_inactive_s
        for client in self.clients_by_state[rule.state]:
            if client.state_since > inactive_since:
                return
            if (
                client.transport is not None
                and client.reader.is_partial is rule.partial
                and client.is_flushed
                and client.last_received_at <= inactive_since
                and (rule.state is ClientState.CLOSING or client.has_no_unread_bytes())
            ):
                yield client

    def has_spare_capacity(self) -> bool:
        """Return whether a connection may be opened beyond `max_clients`, for a request that has waited too long."""
        return self.connection_count() < self.max_clients + self.max_clients // SPARE_CLIENTS_SHARE

    def change_state(self, client: ClientConnection, state: ClientState) -> None:
        """Move a connection to another state, unless it was removed."""
        if client in self.clients_by_state[client.state]:
            del self.clients_by_state[client.state][client]
            client.state, client.state_since = state, system.monotonic()
            self.clients_by_state[state][client] = None

    def account_for_request(self, client: ClientConnection) -> bool:
        """Account for the memory of a connection's request; return False if it was rejected to save memory.

        Above the limit the costliest partial requests are rejected, as they have not begun. Open requests are never
        given up.
        """
        buffers = self.request_buffers
        now = system.monotonic()
        buffers.set_buffered(client, client.reader.buffered_bytes, now)
        while buffers.is_over_limit:
            reading_clients = itertools.chain(*(self.clients_by_state[state] for state in READING_STATES))
            costliest = buffers.costliest_of(reading_clients, now)
            if costliest is None:
                break
            costliest.reject_partial("requests take too much memory")
            buffers.release(costliest)  # also if its connection is closing and nothing more is written
        return client in buffers

    def release_request(self, client: ClientConnection) -> None:
        """Record that a connection's request needs no more memory."""
        self.request_buffers.release(client)

    def remove(self, client: ClientConnection) -> None:
        """Stop tracking a connection."""
        self.request_buffers.release(client)
        self.clients_by_state[client.state].pop(client, None)

    def sweep(self) -> None:
        """Check the state timeouts every SWEEP_INTERVAL_S; otherwise silent clients would hold connections forever."""
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = system.monotonic()
        for state, timeout_s in STATE_TIMEOUTS_S.items():
            timed_out_clients = []
            for client in self.clients_by_state[state]:
                if client.state_since > now - timeout_s:
                    break
                timed_out_clients.append(client)
            for client in timed_out_clients:
                client.on_state_timeout()

    # Graceful shutdown

    def close_idle(self) -> None:
        """Make each further response the last of its connection, and close idle connections.

        A connection within its grace period stays open, as its first request may be on its way.
        """
        self.is_stopping = True
        grace_period_start = system.monotonic() - FIRST_REQUEST_GRACE_S
        for state in (ClientState.IDLE, ClientState.NEW):
            for client in list(self.clients_by_state[state]):
                awaits_request = state is ClientState.NEW and client.state_since > grace_period_start
                if (
                    client.reader.received_bytes == 0
                    and client.transport is not None
                    and client.is_flushed
                    and client.has_no_unread_bytes()
                    and not awaits_request
                ):
                    client.close()

    def stop_listening(self) -> None:
        """Accept the waiting connections, then stop listening."""
        self.listener.close()

    def reject_partial_requests(self) -> None:
        """Reject partial requests, as the rest of them may arrive too late for the shutdown."""
        for state in READING_STATES:
            for client in list(self.clients_by_state[state]):
                if client.transport is not None:
                    client.reject_partial("the sidecar shuts down")
