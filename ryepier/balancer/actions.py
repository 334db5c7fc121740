"""Actions that the decision module returns, for the sidecar to carry out in their order.

Times are whole microseconds (`_us`) on the sidecar's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.balancer.records import Record


@dataclass(slots=True, eq=False, repr=False)
class Send(Record):
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client disconnects
    latest_write_us: int = 0  # must not be written later, however long its connection takes; 0 = no limit


@dataclass(slots=True, eq=False, repr=False)
class Reject(Record):
    """Final answer: rejected; the client may safely retry."""

    request: int
    retry_after_us: int = 0  # 0 = no Retry-After


@dataclass(slots=True, eq=False, repr=False)
class Fail(Record):
    """Final answer: failed; it may have run."""

    request: int


@dataclass(slots=True, eq=False, repr=False)
class Cancel(Record):
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True, eq=False, repr=False)
class Probe(Record):
    """Send a health probe to an upstream."""

    upstream: int


@dataclass(slots=True, eq=False, repr=False)
class SetTimer(Record):
    """Request a timer at `at_us`."""

    at_us: int
    token: int = 0


@dataclass(slots=True, eq=False, repr=False)
class Subscribe(Record):
    """Begin or end the subscription to the endpoint list; where lists are polled, poll it once."""

    active: bool = True


@dataclass(slots=True, eq=False, repr=False)
class FetchList(Record):
    """Fetch the complete endpoint list."""


@dataclass(slots=True, eq=False, repr=False)
class CloseIdle(Record):
    """Close the idle connections to an upstream."""

    upstream: int


@dataclass(slots=True, eq=False, repr=False)
class SendToPeer(Record):
    """Send a message to another sidecar, or to all."""

    payload: bytes
    to: int | None = None  # None = every peer


@dataclass(slots=True, eq=False, repr=False)
class Log(Record):
    """Write a line to the log."""

    text: str
    upstream: int | None = None  # that the line is about


Action = (
    Send | Reject | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle | SendToPeer | Log
)
