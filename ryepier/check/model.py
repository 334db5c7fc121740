"""Definitions of the model checker: models, the steps of a path, and the rules that no path may violate."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ryepier.balancer import interface as api

OBJECTIVE_US, DEADLINE_US = 100_000, 240_000
# Shorter than the longest attempt, so that an idempotency key can expire while an attempt is in flight.
IDEMPOTENCY_WINDOW_US = 90_000
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
"""Request classes by the names that are used on the command line and in files."""

OUTCOMES = {
    "ok": api.Outcome.OK,
    "error": api.Outcome.ERROR,
    "full": api.Outcome.REJECTED,
    "reset": api.Outcome.RESET,
}
"""Outcomes that a converter can give an attempt, by the names that are used on the command line and in files."""


@dataclass(frozen=True, slots=True)
class Model:
    """A bounded environment: the converters, the requests, and limits on the other events of a path."""

    name: str
    converters: int  # number of converters
    requests: tuple[str, ...]  # class names of the requests, in the order of arrival
    failure_domains: tuple[int, ...] = ()  # by converter; empty: each converter has its own failure domain
    max_attempts: int = 3
    list_changes: int = 0  # maximum number of changes of the endpoint list
    client_disconnects: int = 0  # maximum number of clients that disconnect
    outcomes: tuple[str, ...] = tuple(OUTCOMES)  # the outcomes that attempts may have
    connects_first: bool = False  # whether connecting is a separate step, which may fail
    depth: int = 0  # maximum number of steps of a path; 0: paths end when all requests have ended

    def failure_domain(self, upstream: int) -> int:
        """Return a converter's failure domain; converters are numbered from 1."""
        return self.failure_domains[upstream - 1] if self.failure_domains else upstream


class Action(enum.StrEnum):
    """The kinds of steps that the environment can take. The values are written to files and charts."""

    ARRIVE = "arrive"  # a request arrives at the sidecar
    DISCONNECT = "leave"  # a client disconnects
    CONNECTED = "up"  # an attempt's connection is established, and its request is written
    CONNECT_FAILED = "fail"  # an attempt cannot connect
    ANSWER = "answer"  # a converter answers an attempt
    DRAIN = "drain"  # a converter is listed as draining
    REMOVE = "gone"  # a draining converter is removed from the list
    RELIST = "back"  # a removed converter is listed again
    UNLIST = "unlist"  # a full endpoint list omits a converter
    ADVANCE_TIME = "tick"  # time advances until a timer is due or an answer is overdue
    FIRE_TIMER = "fire"  # the next timer, which is due, fires


@dataclass(frozen=True, slots=True)
class Step:
    """One action of the environment. `draws` are the results of the random draws that the balancer makes during it."""

    action: Action
    index: int = 0  # index of the request or attempt, or id of the converter, that the action concerns
    detail: str = ""  # name of the outcome for ANSWER; otherwise empty
    draws: tuple[int, ...] = ()

    def __str__(self) -> str:
        """Return the step as sequence charts show it."""
        text = " ".join(str(part) for part in (self.action.value, self.index, self.detail) if part != "")
        return text + (f" (draws {', '.join(map(str, self.draws))})" if self.draws else "")


class Rule(enum.StrEnum):
    """Names of the invariants, which docs/design/checking.md describes."""

    ANSWERS = "answers"  # a request has at most one answer, none after a disconnect, and "served" only after a success
    IN_TIME = "in time"  # a request is answered by its deadline
    AT_ONCE = "at once"  # a request that the balancer has given up is answered immediately
    TOGETHER = "together"  # a request has at most one attempt in flight
    RESEND = "resend"  # a request is not sent after it has ended, or if an earlier attempt makes a resend unsafe
    REFUSED = "refused"  # a request that may have run is rejected only if repeating it is safe
    ATTEMPTS = "attempts"  # a request has at most `max_attempts` attempts
    DRAIN = "drain"  # attempts go only to converters that are ready
    SLOTS = "slots"  # the balancer's count of attempts in flight at a converter is correct
    LEAK = "leak"  # requests, timers and slots are released once all requests have ended


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a path violates, and a description of the violation."""

    rule: Rule
    text: str
