"""Accepts the connections of clients, and looks after those that have waited for long in the listener's queue."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from typing import Protocol

from ryepier.sidecar import system
from ryepier.sidecar.accept_queue import AcceptQueue
from ryepier.sidecar.client_connection import render_rejection
from ryepier.sidecar.read_pacer import READ_BYTES, ReadPacer
from ryepier.sidecar.request_parsing import RequestError
from ryepier.sidecar.request_reader import MAX_CHUNKED_BYTES, RequestReader
from ryepier.sidecar.requests import Address

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
ACCEPT_BATCH_SIZE = 16  # connections per loop iteration; accepting hundreds at once would delay the open ones
ACCEPT_PAUSE_S = 0.05  # time until accepting is tried again after there was no capacity


class ConnectionAcceptor(Protocol):
    """The part of the server that its listener uses."""

    max_clients: int
    partial_retry_after_us: int  # Retry-After of rejected requests, whose class is not known yet; 0 = no such header
    read_pacer: ReadPacer

    def has_capacity(self) -> bool:
        """Return whether a connection may be opened, if need be after an eviction."""

    def free_capacity(self) -> bool:
        """Evict a connection that has no open request, and return whether there is capacity now."""

    def has_spare_capacity(self) -> bool:
        """Return whether a connection may be opened for a request that has waited too long."""

    def add_connection(self, sock: socket.socket, arrived_after: float | None) -> None:
        """Start to serve an accepted connection.

        It has not arrived before `arrived_after`; None means that it has just arrived.
        """


class ClientListener:
    """A listening socket that is read in batches, and not while there is no capacity."""

    def __init__(self, acceptor: ConnectionAcceptor, address: Address, patience_s: float) -> None:
        """Prepare to listen; connections that wait for longer than `patience_s` are overdue."""
        self.loop = asyncio.get_running_loop()
        self.acceptor = acceptor
        self.address = address
        self.patience_s = patience_s
        self.queue = AcceptQueue(LISTEN_BACKLOG)
        self.trusts_queue_length = True  # False once a connection came from a queue that was reported as empty
        self.knows_queue_length = False
        self.sock: socket.socket | None = None

    def open(self) -> None:
        """Start listening and accepting."""
        self.sock = system.listen(self.address, LISTEN_BACKLOG)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)

    def close(self) -> None:
        """Accept the waiting connections, then stop listening, which would reset any that still wait."""
        if self.sock is not None:
            self.accept_up_to(self.acceptor.max_clients)
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def is_overdue(self) -> bool:
        """Return whether the next connection has waited so much that its request may come too late."""
        return self.queue.has_waited(self.patience_s, system.monotonic())

    def accept(self) -> None:
        """Accept a batch of waiting connections.

        asyncio's own server would accept all of them at once, and pause for a second if no descriptor is left.
        """
        self.accept_up_to(ACCEPT_BATCH_SIZE, is_readable=True)

    def accept_up_to(self, limit: int, is_readable: bool = False) -> None:
        """Accept up to `limit` waiting connections.

        If there is no capacity for too long, a connection is accepted only to look at it: one with a complete request
        gets a spare connection, any other is rejected or, if it is silent, closed. Otherwise requests would wait behind
        a crowd for longer than their time. A listener that `is_readable` has a connection, whatever the length says.
        """
        assert self.sock is not None
        for index in range(limit):
            length = self.observe_queue(self.sock)
            if length == 0 and (index or not is_readable):
                return
            has_capacity = self.acceptor.has_capacity()
            if not has_capacity and not self.is_overdue():
                self.pause()
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.queue.observe(0, system.monotonic())
                return
            except OSError as error:
                log.warning("connection not accepted: %r", error)
                self.acceptor.free_capacity()
                self.pause()
                return
            self.trusts_queue_length &= length != 0
            self.serve_or_reject(sock, has_capacity)
        if self.observe_queue(self.sock) != 0:
            # Without waiting for the listener to be readable: where the system does not report the queue's length, only
            # an attempt shows that it is empty.
            self.loop.remove_reader(self.sock)
            self.loop.call_soon(self.resume)

    def observe_queue(self, sock: socket.socket) -> int | None:
        """Record and return how many connections wait, or None if the system does not report it."""
        length = system.accept_queue_length(sock) if self.trusts_queue_length else None
        self.knows_queue_length = length is not None
        self.queue.observe(length, system.monotonic())
        return length

    def serve_or_reject(self, sock: socket.socket, has_capacity: bool) -> None:
        """Let the server serve an accepted connection, or reject it if there is no capacity for it."""
        sock.setblocking(False)
        arrived_after = self.earliest_arrival()
        if has_capacity or (self.acceptor.has_spare_capacity() and self.holds_request(sock)):
            self.acceptor.add_connection(sock, arrived_after)
        else:
            self.reject(sock)

    def earliest_arrival(self) -> float | None:
        """Return the earliest time at which the connection that was just accepted may have arrived; None: just now."""
        arrived_after = self.queue.on_accepted()
        if arrived_after is None or self.knows_queue_length:
            return arrived_after
        # An overdue connection is accepted in any case, so none has waited for much longer.
        return max(arrived_after, system.monotonic() - self.patience_s - ACCEPT_PAUSE_S)

    def reject(self, sock: socket.socket) -> None:
        """Reject what has arrived on an accepted connection, if anything has, and close it."""
        log.info("connection closed after a long wait: all %d are in use", self.acceptor.max_clients)
        received_bytes = 0
        with contextlib.suppress(OSError):  # nothing more has arrived, or the connection was reset
            # A close over unread bytes would reset the connection, and the client might lose the response.
            while received_bytes < MAX_CHUNKED_BYTES and (data := sock.recv(READ_BYTES)):
                received_bytes += len(data)
        self.acceptor.read_pacer.count_unparsed(received_bytes)
        with contextlib.suppress(OSError):
            if received_bytes:
                sock.send(render_rejection(self.acceptor.partial_retry_after_us))
        sock.close()

    def holds_request(self, sock: socket.socket) -> bool:
        """Return whether a complete request waits in a socket; it stays there."""
        reader = RequestReader()
        try:
            reader.feed(sock.recv(READ_BYTES, socket.MSG_PEEK))
        except (OSError, RequestError):  # nothing has arrived, the connection was reset, or it is no proper request
            return False
        finally:
            self.acceptor.read_pacer.turn_work += reader.callback_count
            reader.release()
        return reader.is_complete

    def pause(self) -> None:
        """Stop accepting for ACCEPT_PAUSE_S. The listener stays readable, so the event loop would otherwise spin."""
        if self.sock is not None:
            self.observe_queue(self.sock)
            self.loop.remove_reader(self.sock)
            self.loop.call_later(ACCEPT_PAUSE_S, self.resume)

    def resume(self) -> None:
        """Accept connections again after a pause."""
        if self.sock is not None:
            self.loop.add_reader(self.sock, self.accept)
            self.accept_up_to(ACCEPT_BATCH_SIZE)
