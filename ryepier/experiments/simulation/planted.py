"""Mistakes of a sidecar that the search in simulation finds.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

import weakref
from collections.abc import Callable
from typing import Any

from ryepier.sidecar import discovery
from ryepier.sidecar.upstreams import Attempt, Connection

EVERY_TWICE = 40  # answers; one of so many is written twice


def answer_twice() -> None:
    """One answer in many is written twice."""
    from ryepier.sidecar.server import Client

    write, count = Client.write, 0

    def write_twice(self: Client, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        nonlocal count
        count += 1
        write(self, status, body, head, last)
        if count % EVERY_TWICE == 0 and self.transport is not None and status == 200 and body:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    Client.write = write_twice  # type: ignore[method-assign]


def keep_after_time_out() -> None:
    """A connection whose attempt was given up is used again, its answer still on the way."""
    give_up = Attempt.give_up

    def give_up_and_keep(self: Attempt) -> None:
        connection, written = self.connection, self.written
        if connection is None or not written:
            give_up(self)
            return
        self.given_up, self.connection, connection.attempt = True, None, None
        connection.pool.put_idle(connection)

    def usable(self: Connection) -> bool:
        return not self.closed and self.transport is not None and not self.transport.is_closing()

    def data_received(self: Connection, data: bytes) -> None:
        if self.attempt is not None:
            receive(self, data)

    receive = Connection.data_received
    Attempt.give_up = give_up_and_keep  # type: ignore[method-assign]
    Connection.usable = usable  # type: ignore[method-assign]
    Connection.data_received = data_received  # type: ignore[method-assign]


def forget_drain() -> None:
    """What drained while the watch was away is taken for ready once it is back."""
    changed = discovery.Discovery.changed
    told: weakref.WeakSet[discovery.Watch] = weakref.WeakSet()

    def changed_since(self: discovery.Discovery, lines: Any) -> None:
        if self.watch is not None and self.watch not in told:  # the first that a watch says: what it missed
            told.add(self.watch)
            lines["targets"] = [line for line in lines["targets"] if line["state"] != "leaving"]
        changed(self, lines)

    discovery.Discovery.changed = changed_since  # type: ignore[method-assign]


PLANTS: dict[str, Callable[[], None]] = {
    "answer-twice": answer_twice,
    "keep-after-time-out": keep_after_time_out,
    "forget-drain": forget_drain,
}
