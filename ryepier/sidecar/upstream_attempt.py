"""An attempt at an upstream: the bytes that are written and the time limits for writing them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ryepier.sidecar.request_parsing import DEADLINE_LINE
from ryepier.sidecar.requests import Address, AttemptResult, ClientRequest
from ryepier.sidecar.system import clock_us


def request_head(request: ClientRequest, address: Address, remaining_us: int) -> bytes:
    """Return the head of an attempt: the client's headers, and the remaining time as the deadline header."""
    host = f"[{address[0]}]" if ":" in address[0] else address[0]
    lines = [b"%s %s HTTP/1.1\r\nHost: %s:%d" % (request.method, request.target, host.encode(), address[1])]
    lines.extend([b"%s: %s" % header for header in request.headers])
    lines.append(DEADLINE_LINE % max(1, remaining_us // 1000))
    if request.method != b"GET" or request.body:
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


class AttemptConnection(Protocol):
    """The part of a connection that its attempt uses."""

    attempt: UpstreamAttempt | None
    partly_written: bool  # a part of the request is still in the write buffer

    def close(self) -> None:
        """Close the connection at once."""


class UpstreamAttempt:
    """An attempt that has a connection or waits for one to be established."""

    def __init__(
        self,
        request: ClientRequest,
        address: Address,
        timeout_at_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_at_us: int = 0,
    ) -> None:
        """Prepare an attempt without a connection.

        It times out at `timeout_at_us`, and must not be written after `latest_write_at_us`, unless that is 0. `on_end`
        receives its result.
        """
        self.request = request
        self.address = address
        self.timeout_at_us = timeout_at_us
        self.latest_write_at_us = latest_write_at_us
        self.on_end = on_end
        self.connection: AttemptConnection | None = None
        self.write_started = False
        self.cancelled = False
        self.upstream_removed = False  # the upstream was removed before the connection was dialled

    @property
    def fully_written(self) -> bool:
        """Whether all of the attempt was written to the network.

        A part may stay in the write buffer until the upstream reads more; the upstream runs the request only once the
        last byte has arrived.
        """
        return self.write_started and (self.connection is None or not self.connection.partly_written)

    def remaining_us(self) -> int:
        """Return the time in microseconds until the attempt times out or the request is due, whichever is first."""
        return min(self.timeout_at_us, self.request.due_at_us or self.timeout_at_us) - clock_us()

    def is_expired(self) -> bool:
        """Return whether it is too late to write the attempt."""
        return self.remaining_us() <= 0 or 0 < self.latest_write_at_us <= clock_us()

    def render(self) -> bytes:
        """Return the bytes of the request.

        The deadline header is computed from the current time: establishing the connection may have taken long, and the
        upstream must not be given time that the client does not have.
        """
        return request_head(self.request, self.address, self.remaining_us()) + self.request.body

    def cancel(self) -> None:
        """Give up the attempt: `on_end` is not called any more.

        A connection on which a part was already written is closed; one that is still being established is kept.
        """
        self.cancelled = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            if self.write_started:
                connection.close()

    def end(self, result: AttemptResult) -> None:
        """Report the result to `on_end`, and detach the attempt from its connection."""
        self.connection = None
        self.on_end(result)
