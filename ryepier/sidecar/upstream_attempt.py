"""One attempt at an upstream: what is written, and until when."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ryepier.sidecar.request_parsing import DEADLINE_LINE
from ryepier.sidecar.requests import Address, AttemptResult, ClientRequest
from ryepier.sidecar.system import clock_us


def request_head(request: ClientRequest, address: Address, remaining_us: int) -> bytes:
    """Return the head of an attempt: the client's own, with the time that remains for the response."""
    host = f"[{address[0]}]" if ":" in address[0] else address[0]
    lines = [b"%s %s HTTP/1.1\r\nHost: %s:%d" % (request.method, request.target, host.encode(), address[1])]
    lines.extend([b"%s: %s" % header for header in request.headers])
    lines.append(DEADLINE_LINE % max(1, remaining_us // 1000))
    if request.method != b"GET" or request.body:
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


class AttemptConnection(Protocol):
    """The connection of an attempt, as far as the attempt needs it."""

    attempt: UpstreamAttempt | None
    partly_written: bool  # part of the request waits in the process

    def close(self) -> None:
        """Close the connection at once."""


class UpstreamAttempt:
    """An attempt that has a connection, or waits until its connection is up."""

    def __init__(
        self,
        request: ClientRequest,
        address: Address,
        timeout_at_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_us: int = 0,
    ) -> None:
        """Prepare an attempt; it must not be written after `latest_write_us`, unless that is 0."""
        self.request = request
        self.address = address
        self.timeout_at_us = timeout_at_us
        self.latest_write_us = latest_write_us
        self.on_end = on_end
        self.connection: AttemptConnection | None = None
        self.write_started = False
        self.cancelled = False
        self.upstream_removed = False  # before its connection was dialled

    @property
    def written(self) -> bool:
        """Whether all of it has left the process. Part of it may wait until its upstream reads on; it runs once the
        last byte is there."""
        return self.write_started and (self.connection is None or not self.connection.partly_written)

    def remaining_us(self) -> int:
        """Return how long the response may take: until its timeout, and until its client's deadline."""
        return min(self.timeout_at_us, self.request.due_us or self.timeout_at_us) - clock_us()

    def is_expired(self) -> bool:
        """Return whether it is too late to write it."""
        return self.remaining_us() <= 0 or 0 < self.latest_write_us <= clock_us()

    def render(self) -> bytes:
        """Return the request as it has to be written now: its connection may have taken long to come up, and the
        upstream must not be given time that the client does not have."""
        return request_head(self.request, self.address, self.remaining_us()) + self.request.body

    def cancel(self) -> None:
        """Expect no result. A connection that has carried part of it is closed; one still coming up stays."""
        self.cancelled = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            if self.write_started:
                connection.close()

    def end(self, result: AttemptResult) -> None:
        """Report the result."""
        self.connection = None
        self.on_end(result)
