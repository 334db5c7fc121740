"""Actions that the decision module returns, for the sidecar to carry out in their order.

Times are whole microseconds (`_us`) on the sidecar's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client disconnects
    latest_us: int = 0  # must not be written later, however long its connection takes; 0 = no limit


@dataclass(slots=True)
class Reject:
    """Final answer: rejected; the client may safely retry."""

    request: int
    retry_after_us: int = 0  # 0 = no Retry-After


@dataclass(slots=True)
class Fail:
    """Final answer: failed; it may have run."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a health probe to an upstream."""

    upstream: int


@dataclass(slots=True)
class SetTimer:
    """Request a timer at `at_us`."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Begin or end the subscription to the endpoint list; where lists are polled, poll it once."""

    active: bool = True


@dataclass(slots=True)
class FetchList:
    """Fetch the complete endpoint list."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an upstream."""

    upstream: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to another sidecar, or to all."""

    payload: bytes
    to: int | None = None  # None = every peer


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send | Reject | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle | SendToPeer | Log
)
