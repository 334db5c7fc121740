"""Types for requests, attempts and answers that the modules of the sidecar share."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ryepier.balancer import interface as api
from ryepier.balancer.records import Record
from ryepier.sidecar.system import Address as Address

Header = tuple[bytes, bytes]


def never_disconnects() -> bool:
    """Return False; the default for requests whose client can't disconnect."""
    return False


@dataclass(slots=True, eq=False, repr=False)
class ClientRequest(Record):
    """A client's request as it was read. Times are in microseconds of `clock_us`."""

    method: bytes
    target: bytes
    headers: list[Header]  # the headers that are forwarded to the upstream
    body: bytes
    arrived_at_us: int
    deadline_us: int  # relative to `arrived_at_us`
    class_index: int
    request_id: bytes = b""  # X-Request-Id
    tenant: int = 0
    key: int = 0  # hash of X-Key; 0 = no key
    cost_us: int = 0  # X-Cost-Hint; 0 = unknown
    marked_as_retry: bool = False
    forwards_client_errors: bool = False  # an upstream's 4xx response is passed to the client as the final answer
    due_at_us: int = 0  # time by which the sidecar must answer; 0 = unset
    accepted_type: bytes = b""  # media type that the client accepts; empty if the front end does not read it
    # Checks whether the client has disconnected, even if the event loop has not read that yet.
    client_disconnected: Callable[[], bool] = never_disconnects


class FinalOutcome(enum.Enum):
    """The outcome of a request that is reported to its client."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True, eq=False, repr=False)
class FinalAnswer(Record):
    """The final answer to a request; each request gets exactly one."""

    outcome: FinalOutcome
    body: bytes = b""
    content_type: bytes = b""
    retry_after_us: int = 0
    status: int = 200  # status of the upstream's response, if the outcome is SERVED


@dataclass(slots=True, eq=False, repr=False)
class AttemptResult(Record):
    """How an attempt ended; with outcome OK also the upstream's response."""

    outcome: api.Outcome
    body: bytes = b""
    content_type: bytes = b""
    status: int = 200


class InFlightAttempt(Protocol):
    """An attempt that has not ended."""

    @property
    def fully_written(self) -> bool:
        """Whether all of the attempt was written to the network. Until then the upstream can't run it."""

    def cancel(self) -> None:
        """Write no more of the attempt. If a part was already written, its connection is closed."""


class UpstreamTransport(Protocol):
    """Carries attempts to upstreams."""

    def start_attempt(
        self,
        upstream: int,
        address: Address,
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_at_us: int = 0,
    ) -> InFlightAttempt:
        """Start an attempt.

        The attempt is not written after `latest_write_at_us`, unless that is 0. If it has to wait for a new connection
        and its client disconnects meanwhile, it is not written either, and ends with outcome NOT_SENT. `on_end` is
        called once, after this method has returned, unless the attempt is cancelled first.
        """

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to an upstream."""

    def remove_upstream(self, upstream: int) -> None:
        """Close the idle connections to an upstream now, and its busy ones after their current responses."""
