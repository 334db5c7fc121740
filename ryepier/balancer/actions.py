"""Actions that the decision module returns; the sidecar carries them out in the order given.

Times are whole microseconds (`_us`) on the sidecar's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.balancer.records import Record


@dataclass(slots=True, eq=False, repr=False)
class Send(Record):
    """Start an attempt. The attempts of a request are numbered from 0, in the order of sending."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client disconnects
    # The request must not be written later than this, however long connecting takes. 0 = no limit
    latest_write_at_us: int = 0


@dataclass(slots=True, eq=False, repr=False)
class Reject(Record):
    """Final answer: rejected; the client may safely retry."""

    request: int
    retry_after_us: int = 0  # 0 = no Retry-After


@dataclass(slots=True, eq=False, repr=False)
class Fail(Record):
    """Final answer: failed; the request may have run."""

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
    """Request a timer that fires at `at_us`; its `TimerFired` event carries the token."""

    at_us: int
    token: int = 0


@dataclass(slots=True, eq=False, repr=False)
class Subscribe(Record):
    """Start or end the subscription to the endpoint list. If the list is polled, poll it once."""

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
    to: int | None = None  # number of the sidecar; None = all


@dataclass(slots=True, eq=False, repr=False)
class Log(Record):
    """Write a line to the log."""

    text: str
    upstream: int | None = None  # the upstream that the line is about, if any


Action = (
    Send | Reject | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle | SendToPeer | Log
)
