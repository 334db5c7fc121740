"""Records of the requests without a final answer and of their attempts, and the log line of one that was not served."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ryepier.balancer import interface as api
from ryepier.sidecar.requests import ClientRequest, FinalAnswer, FinalOutcome, InFlightAttempt
from ryepier.sidecar.system import clock_us

log = logging.getLogger(__name__)


class Timer(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancel the call, if it has not happened yet."""


@dataclass(slots=True, eq=False, repr=False)
class TrackedAttempt:
    """An attempt of an open request."""

    upstream: int
    sent_at_us: int
    in_flight: InFlightAttempt | None = None
    timer: Timer | None = None
    outcome: api.Outcome | None = None  # None until the attempt ends

    @property
    def ended(self) -> bool:
        """Whether the attempt has an outcome."""
        return self.outcome is not None


@dataclass(slots=True, eq=False, repr=False)
class OpenRequest:
    """A request without a final answer, or with an attempt in flight."""

    ident: int  # assigned by the dispatcher; unlike `request_id` unique within the process
    request: ClientRequest
    reply: Callable[[FinalAnswer], None]
    attempts: list[TrackedAttempt] = field(default_factory=list)
    timer: Timer | None = None
    closed: bool = False  # the final answer was given, or the client has disconnected

    @property
    def due_at_us(self) -> int:
        """Time by which the request must be answered, in microseconds of `clock_us`."""
        return self.request.due_at_us


@dataclass(slots=True, eq=False, repr=False)
class UnservedLine:
    """Log line about a request that was not served.

    It is rendered only when it is written: in an overload the rate limit drops most of these lines.
    """

    open_request: OpenRequest
    outcome: FinalOutcome
    elapsed_us: int

    @property
    def request_id(self) -> str:
        """The client's X-Request-Id."""
        return self.open_request.request.request_id.decode()

    def __str__(self) -> str:
        """Render the outcome, the elapsed time and the attempts as one line."""
        request = self.open_request.request
        attempts = ", ".join(
            f"upstream {attempt.upstream} {attempt.outcome.value if attempt.outcome else 'in flight'} "
            f"sent at {(attempt.sent_at_us - request.arrived_at_us) // 1000} ms"
            for attempt in self.open_request.attempts
        )
        return (
            f"request {self.request_id} {self.outcome.value} after {self.elapsed_us // 1000} of "
            f"{request.deadline_us // 1000} ms: {attempts or 'not sent'}"
        )


def log_unserved(open_request: OpenRequest, outcome: FinalOutcome) -> None:
    """Log a request that has just got its final answer without being served."""
    line = UnservedLine(open_request, outcome, clock_us() - open_request.request.arrived_at_us)
    fields = {
        "request": line.request_id,
        "outcome": outcome.value,
        "upstreams": [attempt.upstream for attempt in open_request.attempts],
    }
    log.info("%s", line, extra=fields)
