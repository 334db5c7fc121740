"""Requests, attempts and answers, as the parts of a sidecar pass them to each other."""

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
    """Return False: the client can't disconnect."""
    return False


@dataclass(slots=True, eq=False, repr=False)
class ClientRequest(Record):
    """A request of the application, as it was read. Times are in microseconds."""

    method: bytes
    target: bytes
    headers: list[Header]  # those that are forwarded
    body: bytes
    arrived_us: int
    deadline_us: int  # counted from its arrival
    class_index: int
    request_id: bytes = b""  # X-Request-Id
    tenant: int = 0
    key: int = 0
    cost_us: int = 0
    marked_as_retry: bool = False
    forwards_client_errors: bool = False  # an upstream's 4xx is the final answer
    due_us: int = 0  # when the sidecar has to give its answer; 0 = no such time
    accepted_type: bytes = b""  # the media type that the client accepts, where its front end reads it
    # Checks whether the client has disconnected, also if the event loop has not noticed yet.
    client_disconnected: Callable[[], bool] = never_disconnects


class FinalOutcome(enum.Enum):
    """The outcome of a request, as its client learns it."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True, eq=False, repr=False)
class FinalAnswer(Record):
    """The one final answer to a request."""

    outcome: FinalOutcome
    body: bytes = b""
    content_type: bytes = b""
    retry_after_us: int = 0
    status: int = 200  # of the upstream's response, where it served


@dataclass(slots=True, eq=False, repr=False)
class AttemptResult(Record):
    """How an attempt ended."""

    outcome: api.Outcome
    body: bytes = b""
    content_type: bytes = b""
    status: int = 200


class InFlightAttempt(Protocol):
    """An attempt that has not ended."""

    @property
    def written(self) -> bool:
        """Whether all of it has left the process: before, it can't run."""

    def cancel(self) -> None:
        """Write nothing more; a connection that has carried part of it is closed."""


class UpstreamTransport(Protocol):
    """Carries attempts to upstreams."""

    def start(
        self,
        upstream: int,
        address: Address,
        request: ClientRequest,
        timeout_us: int,
        on_end: Callable[[AttemptResult], None],
        latest_write_us: int = 0,
    ) -> InFlightAttempt:
        """Start an attempt. Nothing of it is written after `latest_write_us`, unless that is 0, nor, where its
        connection has to come up first, after the client has disconnected: then it ends as not sent. `on_end` is
        called once, later, unless the attempt is cancelled first."""

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to an upstream."""

    def remove_upstream(self, upstream: int) -> None:
        """Close the idle connections to an upstream, and the busy ones after their responses."""
