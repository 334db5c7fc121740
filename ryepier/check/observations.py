"""The environment's view of requests: the attempts that converters observe, and the answers that clients receive."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ryepier.balancer import interface as api
from ryepier.sidecar.requests import AttemptResult, FinalAnswer

# Outcomes after which the converter has certainly not executed the request.
NOT_EXECUTED_OUTCOMES = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)


@dataclass(slots=True)
class SentAttempt:
    """An attempt as the environment observes it."""

    number: int  # index among the attempts of the path
    request: int  # index among the model's requests
    upstream: int
    on_end: Callable[[AttemptResult], None]
    started_at_us: int  # time at which the dispatcher started the attempt
    fully_written: bool  # whether the request has been written to a connection
    ended: bool = False  # the attempt was cancelled or has an outcome; no events of the attempt follow
    outcome: api.Outcome | None = None  # None: in flight or cancelled

    def cancel(self) -> None:
        """Mark the attempt as ended; the dispatcher calls this to cancel it."""
        self.ended = True

    def may_have_run(self) -> bool:
        """Return whether a converter may have executed the request in this attempt."""
        return self.fully_written and self.outcome not in NOT_EXECUTED_OUTCOMES


@dataclass(slots=True)
class ClientRequestState:
    """A request as its client observes it, with its attempts."""

    request_class: api.RequestClass
    ident: int = 0  # the dispatcher's id of the request; 0: the request has not arrived
    due_us: int = 0  # time of the deadline
    answers: list[FinalAnswer] = field(default_factory=list)
    disconnected: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)

    @property
    def waiting(self) -> bool:
        """Whether the request has arrived, and its client is waiting for an answer."""
        return self.ident > 0 and not self.disconnected and not self.answers
