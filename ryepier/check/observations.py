"""What the environment observes of requests: attempts as converters see them, answers as clients do."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ryepier.balancer import interface as api
from ryepier.sidecar.requests import AttemptResult, FinalAnswer

NEVER_RAN = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)


@dataclass(slots=True)
class SentAttempt:
    """An attempt, as the environment knows it."""

    number: int  # among all of the path
    request: int
    upstream: int
    on_end: Callable[[AttemptResult], None]
    at_us: int
    fully_written: bool
    over: bool = False  # no event of it will follow
    outcome: api.Outcome | None = None  # None: in flight, or cancelled

    def cancel(self) -> None:
        """Cancel the attempt, as the dispatcher does."""
        self.over = True

    def may_have_run(self) -> bool:
        """Return whether a converter may have executed the request."""
        return self.fully_written and self.outcome not in NEVER_RAN


@dataclass(slots=True)
class ClientRequestState:
    """One request, as its client knows it."""

    kind: api.RequestClass
    ident: int = 0  # the dispatcher's; 0 = it has not arrived
    due_us: int = 0
    answers: list[FinalAnswer] = field(default_factory=list)
    disconnected: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)

    @property
    def waiting(self) -> bool:
        """Whether the client waits for an answer."""
        return self.ident > 0 and not self.disconnected and not self.answers
