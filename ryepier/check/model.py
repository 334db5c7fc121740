"""What the checker explores: models, the steps of a path, and the rules that no path may violate."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ryepier.balancer import interface as api

OBJECTIVE_US, DEADLINE_US = 100_000, 240_000
IDEMPOTENCY_WINDOW_US = 90_000  # shorter than an attempt may take, so that a key can expire while it is in flight
LATE_WEIGHT = 0.5
CLASSES = {
    "once": api.RequestClass(
        "once",
        OBJECTIVE_US,
        DEADLINE_US,
        priority_weight=2.0,
        late_weight=LATE_WEIGHT,
        idempotency=api.Idempotency.NON_IDEMPOTENT,
    ),
    "ask": api.RequestClass("ask", OBJECTIVE_US, DEADLINE_US, late_weight=LATE_WEIGHT),
    "cell": api.RequestClass(
        "cell",
        OBJECTIVE_US,
        DEADLINE_US,
        late_weight=LATE_WEIGHT,
        idempotency=api.Idempotency.IDEMPOTENCY_KEY,
        idempotency_scope=api.IdempotencyScope.FAILURE_DOMAIN,
        idempotency_window_us=IDEMPOTENCY_WINDOW_US,
    ),
    "all": api.RequestClass(
        "all",
        OBJECTIVE_US,
        DEADLINE_US,
        late_weight=LATE_WEIGHT,
        idempotency=api.Idempotency.IDEMPOTENCY_KEY,
        idempotency_scope=api.IdempotencyScope.ALL,
        idempotency_window_us=IDEMPOTENCY_WINDOW_US,
    ),
}
"""The request classes, by the names that commands and files use."""

OUTCOMES = {
    "ok": api.Outcome.OK,
    "error": api.Outcome.ERROR,
    "full": api.Outcome.REJECTED,
    "reset": api.Outcome.RESET,
}
"""How a converter may answer an attempt, by the names that commands and files use."""


@dataclass(frozen=True, slots=True)
class Model:
    """A bounded environment: the converters, the requests, and how often the rest may happen on a path."""

    name: str
    converters: int
    requests: tuple[str, ...]  # the class of each, in the order of their arrival
    failure_domains: tuple[int, ...] = ()  # of each converter; by default each has one of its own
    max_attempts: int = 3
    list_changes: int = 0
    client_disconnects: int = 0
    outcomes: tuple[str, ...] = tuple(OUTCOMES)
    connects_first: bool = False  # whether an attempt has to connect first, which may fail
    depth: int = 0  # steps of a path; 0 = until everything has ended

    def failure_domain(self, upstream: int) -> int:
        """Return a converter's failure domain; converters are numbered from 1."""
        return self.failure_domains[upstream - 1] if self.failure_domains else upstream


class Action(enum.StrEnum):
    """What the environment does in a step. The values are written to files and charts."""

    ARRIVE = "arrive"  # a request arrives
    DISCONNECT = "leave"  # a client disconnects
    CONNECTED = "up"  # an attempt's connection is established, and the request written
    CONNECT_FAILED = "fail"
    ANSWER = "answer"  # a converter answers an attempt
    DRAIN = "drain"  # a converter is listed as draining
    REMOVE = "gone"  # a draining converter is removed from the list
    RELIST = "back"  # a removed converter is listed again
    UNLIST = "unlist"  # a full list omits a converter
    ADVANCE_TIME = "tick"  # time passes until something is due
    FIRE_TIMER = "fire"


@dataclass(frozen=True, slots=True)
class Step:
    """One action of the environment. `draws` are the results of the random draws that it causes."""

    action: Action
    index: int = 0  # of a request, attempt or converter
    detail: str = ""  # ANSWER: the outcome
    draws: tuple[int, ...] = ()

    def __str__(self) -> str:
        """Return the step as charts show it."""
        text = " ".join(str(part) for part in (self.action.value, self.index, self.detail) if part != "")
        return text + (f" (draws {', '.join(map(str, self.draws))})" if self.draws else "")


class Rule(enum.StrEnum):
    """The invariants; docs/design/checking.md describes each."""

    ANSWERS = "answers"
    IN_TIME = "in time"
    AT_ONCE = "at once"
    TOGETHER = "together"
    RESEND = "resend"
    REFUSED = "refused"
    ATTEMPTS = "attempts"
    DRAIN = "drain"
    SLOTS = "slots"
    LEAK = "leak"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a path violates, and how."""

    rule: Rule
    text: str
