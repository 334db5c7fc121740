"""HTTP server for clients: accepts connections, limits and evicts them, and shuts them down gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import socket
from collections.abc import Iterator
from typing import NamedTuple

from ryepier.balancer.interface import Settings
from ryepier.sidecar import system
from ryepier.sidecar.accept_queue import AcceptQueue
from ryepier.sidecar.client_connection import STATE_TIMEOUTS_S, ClientConnection, ClientState, render_rejection
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.read_pacer import READ_BYTES, ReadPacer
from ryepier.sidecar.request_buffers import RequestBuffers
from ryepier.sidecar.request_ids import RecentRequestIds
from ryepier.sidecar.request_parsing import Dialect, PlatformDialect, RequestError
from ryepier.sidecar.request_reader import MAX_CHUNKED_BYTES, RequestReader
from ryepier.sidecar.requests import Address

log = logging.getLogger(__name__)

FIRST_REQUEST_GRACE_S = 0.25  # new connections are not evicted for this long, as clients send a request at once
CROWD_GRACE_S = 0.03  # the same while connections wait for long
QUEUE_PATIENCE_SHARE = 0.25  # of the shortest deadline; after this wait a crowd has to move on
SPARE_CLIENTS_SHARE = 8  # one more connection for this many, for requests that have waited so long
SWEEP_INTERVAL_S = 0.1
LISTEN_BACKLOG = 1024
ACCEPT_BATCH_SIZE = 16  # connections per loop iteration; accepting hundreds at once would delay the open ones
ACCEPT_PAUSE_S = 0.05  # time until accepting is tried again after there was no capacity
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
        self.address = address
        self.dialect = dialect or PlatformDialect(settings)
        self.recent_ids = RecentRequestIds(max(request_class.deadline_us for request_class in settings.classes) / 1e6)
        self.max_clients = max_clients
        max_retry_after_us = settings.max_retry_after_us if settings.retry_after else 0
        self.partial_retry_after_us = min(PARTIAL_RETRY_AFTER_US, max_retry_after_us)
        # Each group is in the order in which its connections entered the state, so the oldest one comes first.
        self.clients_by_state: dict[ClientState, dict[ClientConnection, None]] = {state: {} for state in ClientState}
        self.request_buffers = RequestBuffers[ClientConnection](max_buffered_bytes)
        self.connection_start_tasks: set[asyncio.Task[object]] = set()
        self.read_pacer = ReadPacer()
        self.accept_queue = AcceptQueue(LISTEN_BACKLOG)
        shortest_deadline_us = min(request_class.deadline_us for request_class in settings.classes)
        self.queue_patience_s = QUEUE_PATIENCE_SHARE * shortest_deadline_us / 1e6
        self.is_stopping = False
        self.sock: socket.socket | None = None

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
        self.sock = system.listen(self.address, LISTEN_BACKLOG)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)
        self.sweep()

    def accept(self) -> None:
        """Accept a batch of waiting connections.

        asyncio's own server would accept all of them at once, and pause for a second if no descriptor is left.
        """
        self.accept_up_to(ACCEPT_BATCH_SIZE)

    def accept_up_to(self, limit: int) -> None:
        """Accept up to `limit` waiting connections.

        If there is no capacity for too long, a connection is accepted only to look at it: one with a complete request
        gets a spare connection, any other is rejected or, if it is silent, closed. Otherwise requests would wait behind
        a crowd for longer than their time.
        """
        assert self.sock is not None
        for _ in range(limit):
            has_capacity = self.connection_count() < self.max_clients or self.free_capacity()
            if not has_capacity and not self.is_queue_overdue():
                self.pause_accepting()
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.accept_queue.on_empty()
                return
            except OSError as error:
                log.warning("connection not accepted: %r", error)
                self.free_capacity()
                self.pause_accepting()
                return
            sock.setblocking(False)
            waiting_since = self.accept_queue.on_accepted(system.monotonic())
            if has_capacity or (self.has_spare_connection() and self.holds_request(sock)):
                self.add_connection(sock, waiting_since)
            else:
                self.reject_waiting(sock)
        self.accept_queue.on_left_waiting(system.monotonic())
        # Without waiting for the listener to be readable, as only an attempt shows that the queue is empty.
        self.loop.remove_reader(self.sock)
        self.loop.call_soon(self.resume_accepting)

    def is_queue_overdue(self) -> bool:
        """Return whether connections wait in the listener's queue for so long that requests may come too late."""
        return self.accept_queue.has_waited(self.queue_patience_s, system.monotonic())

    def reject_waiting(self, sock: socket.socket) -> None:
        """Reject what has arrived on an accepted connection, if anything has, and close it."""
        log.info("connection closed after a long wait: all %d are in use", self.max_clients)
        received_bytes = 0
        with contextlib.suppress(OSError):  # nothing more has arrived, or the connection was reset
            # A close over unread bytes would reset the connection, and the client might lose the response.
            while received_bytes < MAX_CHUNKED_BYTES and (data := sock.recv(READ_BYTES)):
                received_bytes += len(data)
        with contextlib.suppress(OSError):
            if received_bytes:
                sock.send(render_rejection(self.partial_retry_after_us))
        sock.close()

    def add_connection(self, sock: socket.socket, waiting_since: float | None) -> None:
        """Start to serve an accepted connection; its first bytes may have arrived since `waiting_since`."""
        client = ClientConnection(self, sock)
        if waiting_since is not None and not client.has_no_unread_bytes():
            client.unread_since = waiting_since
        self.clients_by_state[ClientState.NEW][client] = None
        task = self.loop.create_task(self.start_connection(client, sock))
        self.connection_start_tasks.add(task)
        task.add_done_callback(self.connection_start_tasks.discard)

    def holds_request(self, sock: socket.socket) -> bool:
        """Return whether a complete request waits in a socket; it stays there."""
        reader = RequestReader()
        try:
            reader.feed(sock.recv(READ_BYTES, socket.MSG_PEEK))
        except (OSError, RequestError):  # nothing has arrived, the connection was reset, or it is no proper request
            return False
        finally:
            self.read_pacer.turn_work += reader.callback_count
            reader.release()
        return reader.is_complete

    async def start_connection(self, client: ClientConnection, sock: socket.socket) -> None:
        """Create the transport of an accepted connection, which starts reading from it."""
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            self.remove(client)
            sock.close()

    def pause_accepting(self) -> None:
        """Stop accepting for ACCEPT_PAUSE_S. The listener stays readable, so the event loop would otherwise spin."""
        if self.sock is not None:
            self.accept_queue.on_left_waiting(system.monotonic())
            self.loop.remove_reader(self.sock)
            self.loop.call_later(ACCEPT_PAUSE_S, self.resume_accepting)

    def resume_accepting(self) -> None:
        """Accept connections again after a pause."""
        if self.sock is not None:
            self.loop.add_reader(self.sock, self.accept)
            self.accept()

    # Capacity

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
        return (self.is_queue_overdue() and self.evict(CROWD_EVICTION_RULE)) or self.evict(LAST_EVICTION_RULE)

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

    def has_spare_connection(self) -> bool:
        """Return whether a connection may be opened beyond `max_clients`."""
        return self.connection_count() < self.max_clients + self.max_clients // SPARE_CLIENTS_SHARE

    def change_state(self, client: ClientConnection, state: ClientState) -> None:
        """Move a connection to another state, unless it was removed."""
        if client in self.clients_by_state[client.state]:
            del self.clients_by_state[client.state][client]
            client.state, client.state_since = state, system.monotonic()
            self.clients_by_state[state][client] = None

    def account_for_request(self, client: ClientConnection) -> bool:
        """Account for the memory of a connection's request; return False if it was rejected to save memory.

        Above the limit the largest partial requests are rejected: they have not begun, and a client that sends slowly
        needs little. Open requests are never given up.
        """
        buffers = self.request_buffers
        buffers.set_buffered(client, client.reader.buffered_bytes)
        while buffers.is_over_limit:
            largest = buffers.largest_of(itertools.chain(*(self.clients_by_state[state] for state in READING_STATES)))
            if largest is None:
                break
            largest.reject_partial("requests take too much memory")
            buffers.release(largest)  # also if its connection is closing and nothing more is written
        return client in buffers.bytes_by_client

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
        """Accept the waiting connections, then close the listener, which would reset any that still wait."""
        if self.sock is not None:
            self.accept_up_to(self.max_clients)
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def reject_partial_requests(self) -> None:
        """Reject partial requests, as the rest of them may arrive too late for the shutdown."""
        for state in READING_STATES:
            for client in list(self.clients_by_state[state]):
                if client.transport is not None:
                    client.reject_partial("the sidecar shuts down")
