"""Seeded faults of a sidecar that the search in simulation must find.

Each function installs one fault by patching classes. The patch cannot be undone, so call it in a separate process.
"""

from __future__ import annotations

import weakref
from collections.abc import Callable
from typing import Any

from ryepier.sidecar.discovery import DiscoveryClient
from ryepier.sidecar.endpoint_watch import EndpointWatch
from ryepier.sidecar.request_parsing import Response
from ryepier.sidecar.upstream_attempt import UpstreamAttempt
from ryepier.sidecar.upstream_connection import ConnectionState, UpstreamConnection

ANSWERS_PER_DUPLICATE = 40  # one of this many answers is written twice


def answer_twice() -> None:
    """Install a fault: one of every `ANSWERS_PER_DUPLICATE` answers is followed by a second, empty answer."""
    from ryepier.sidecar.client_connection import ClientConnection

    original_write, answer_count = ClientConnection.write, 0

    def write_twice(self: ClientConnection, response: Response, last: bool = False) -> None:
        nonlocal answer_count
        answer_count += 1
        original_write(self, response, last)
        is_served = response.status == 200 and response.body
        if answer_count % ANSWERS_PER_DUPLICATE == 0 and self.transport is not None and is_served:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    ClientConnection.write = write_twice  # type: ignore[method-assign]


def keep_after_time_out() -> None:
    """Install a fault: the connection of a cancelled attempt is reused although its answer may still arrive."""
    original_cancel = UpstreamAttempt.cancel

    def cancel_and_keep(self: UpstreamAttempt) -> None:
        connection, written = self.connection, self.fully_written
        if not isinstance(connection, UpstreamConnection) or not written:
            original_cancel(self)
            return
        self.cancelled, self.connection, connection.attempt = True, None, None
        connection.pool.put_idle(connection)

    def is_usable(self: UpstreamConnection) -> bool:
        return self.state is ConnectionState.OPEN and self.transport is not None and not self.transport.is_closing()

    def data_received(self: UpstreamConnection, data: bytes) -> None:
        if self.attempt is not None:
            original_data_received(self, data)

    original_data_received = UpstreamConnection.data_received
    UpstreamAttempt.cancel = cancel_and_keep  # type: ignore[method-assign]
    UpstreamConnection.is_usable = is_usable  # type: ignore[method-assign]
    UpstreamConnection.data_received = data_received  # type: ignore[method-assign]


def forget_drain() -> None:
    """Install a fault: converters that started to drain while the watch was disconnected count as ready afterwards."""
    original_on_list = DiscoveryClient.on_list
    initialized_watches: weakref.WeakSet[EndpointWatch] = weakref.WeakSet()

    def on_list_without_draining(self: DiscoveryClient, message: Any) -> None:
        # the first message of a watch contains the changes that were missed while the sidecar was disconnected
        if self.watch is not None and self.watch not in initialized_watches:
            initialized_watches.add(self.watch)
            message["targets"] = [target for target in message["targets"] if target["state"] != "leaving"]
        original_on_list(self, message)

    DiscoveryClient.on_list = on_list_without_draining  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "answer-twice": answer_twice,
    "keep-after-time-out": keep_after_time_out,
    "forget-drain": forget_drain,
}
