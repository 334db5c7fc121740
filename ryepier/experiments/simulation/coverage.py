"""Counts how often each fault action hit a request in each state, to show the combinations that were rarely tried.

The module has no side effects: it works on the records of clients and converters. An action counts for the requests
that it could harm. For a fault of a converter these are the requests with an attempt at that converter and those that
wait for an attempt, for a fault of a sidecar or of its discovery the requests at that sidecar, and for a fault of a
planner all requests.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from ryepier.emulator import timeline
from ryepier.emulator.records import NEVER, ClientAttempt, ConverterAttempt, History
from ryepier.emulator.timeline import FaultAction, Step, TargetKind
from ryepier.emulator.world import World

MIN_EXPOSURES = 20  # an action and a state with fewer exposures than this count as rarely tried
DEADLINE_FACTOR = 2  # requests sent up to this many times the longest deadline before an action are examined
US_PER_MS = 1000


class RequestState(StrEnum):
    """The progress of a request, from when the client sends it until no attempt is left at a converter."""

    NOT_SENT = "not sent"
    ARRIVING = "arriving"
    QUEUED = "queued"
    RUNNING = "running"
    ANSWERING = "run"
    BETWEEN_ATTEMPTS = "between"
    ABANDONED_ATTEMPT = "late"


STATE_DESCRIPTIONS = {
    RequestState.NOT_SENT: "taken by the sidecar, no attempt at any converter yet",
    RequestState.ARRIVING: "partly at a converter",
    RequestState.QUEUED: "whole at a converter, not begun",
    RequestState.RUNNING: "being run",
    RequestState.ANSWERING: "run or turned away, its answer on the way",
    RequestState.BETWEEN_ATTEMPTS: "an attempt failed, no further one has come yet",
    RequestState.ABANDONED_ATTEMPT: "answered, while an attempt given up is still at a converter",
}


@dataclass(frozen=True, slots=True, order=True)
class FaultExposure:
    """A fault action, and the state in which a request was when the action took place."""

    action: str
    state: RequestState


@dataclass(frozen=True, slots=True)
class Position:
    """The state of a request at a given time. `uid` is the converter that processes it, or empty if there is none."""

    state: RequestState
    uid: str = ""


@dataclass(slots=True)
class Coverage:
    """The number of exposures by action and state, summed over runs."""

    counts: dict[FaultExposure, int] = field(default_factory=lambda: defaultdict(int))

    def add(self, other: Coverage) -> None:
        """Add the counts of another run."""
        for exposure, count in other.counts.items():
            self.counts[exposure] += count

    def actions(self) -> list[str]:
        """Return the names of all actions that hit at least one request, sorted."""
        return sorted({exposure.action for exposure in self.counts})

    def rarely_tried_share(self, action: str) -> float:
        """Return the share of the request states in which an action was rarely tried."""
        rarely_tried = sum(self.counts.get(FaultExposure(action, state), 0) < MIN_EXPOSURES for state in RequestState)
        return rarely_tried / len(RequestState)

    def rows(self) -> list[list[str]]:
        """Return a table with a header row, a row for each action and a column for each state."""
        header = ["", *(state.value for state in RequestState)]
        return [header, *(self._row(action) for action in self.actions())]

    def _row(self, action: str) -> list[str]:
        return [action, *(str(self.counts.get(FaultExposure(action, state), 0)) for state in RequestState)]

    def as_lists(self) -> list[tuple[str, str, int]]:
        """Return the counts as (action, state, count), for coverage.json."""
        return [(exposure.action, exposure.state.value, count) for exposure, count in sorted(self.counts.items())]


# a fault has at most one of these actions (and its reversal), so the name of the fault identifies the action
ACTIONS_NAMED_BY_FAULT = frozenset(
    (
        FaultAction.BEGIN,
        FaultAction.SUSPEND,
        FaultAction.KILL,
        FaultAction.SET_CLOCK_RATE,
        FaultAction.SHIFT_WALL_CLOCK,
        FaultAction.DOWN,
        FaultAction.MUTE,
        FaultAction.BREAK_WATCHES,
    )
)


def action_name(step: Step) -> str:
    """Return the name under which a step is counted."""
    if step.action is FaultAction.NOTIFY:
        return f"told {step.state}"
    return str(step.fault) if step.action in ACTIONS_NAMED_BY_FAULT else f"{step.fault}: {step.action.value}"


def position_at(request: ClientAttempt, attempts: Sequence[ConverterAttempt], at_us: int) -> Position | None:
    """Return the position of a request at a time, or None if it has ended and no attempt is left at a converter."""
    arrived_attempts = [attempt for attempt in attempts if attempt.first_byte_us <= at_us]
    if at_us >= request.ended_us:
        remaining_attempts = [
            attempt for attempt in arrived_attempts if attempt.ended_us == NEVER or attempt.ended_us > at_us
        ]
        return Position(RequestState.ABANDONED_ATTEMPT, remaining_attempts[-1].uid) if remaining_attempts else None
    if not arrived_attempts:
        return Position(RequestState.NOT_SENT)
    return _position_of_attempt(arrived_attempts[-1], at_us)


def _position_of_attempt(attempt: ConverterAttempt, at_us: int) -> Position:
    if at_us < attempt.received_us:
        return Position(RequestState.ARRIVING, attempt.uid)
    has_ended = _has_passed(attempt.ended_us, at_us)
    if has_ended and attempt.status != 200:
        return Position(RequestState.BETWEEN_ATTEMPTS)
    if has_ended or _has_passed(attempt.finished_us, at_us):
        return Position(RequestState.ANSWERING, attempt.uid)
    if _has_passed(attempt.started_us, at_us):
        return Position(RequestState.RUNNING, attempt.uid)
    return Position(RequestState.QUEUED, attempt.uid)


def _has_passed(event_us: int, at_us: int) -> bool:
    return event_us != NEVER and event_us <= at_us


def can_harm(step: Step, target_uid: str, request: ClientAttempt, position: Position) -> bool:
    """Return whether a step could harm a request; `target_uid` is the converter on which a converter step acts."""
    if step.target is TargetKind.CONVERTER:
        is_waiting = position.state in (RequestState.NOT_SENT, RequestState.BETWEEN_ATTEMPTS)
        return position.uid == target_uid or is_waiting
    if step.target is TargetKind.PLANNER:
        return True
    if step.action is FaultAction.NOTIFY and position.uid and position.uid != step.uid:
        return False
    return request.sidecar == step.index


def measure_coverage(world: World, seed: int, history: History) -> Coverage:
    """Count the exposures of one run, which `world` and `seed` produced."""
    fault_timeline = timeline.build(world, seed)
    uids = {instance.index: instance.uid for instance in fault_timeline.instances}
    attempts: dict[str, list[ConverterAttempt]] = defaultdict(list)
    for attempt in history.converter_attempts:
        attempts[attempt.request_id].append(attempt)
    sent_us = [request.sent_us for request in history.client_attempts]
    lookback_us = int(DEADLINE_FACTOR * US_PER_MS * max(request_class.deadline_ms for request_class in world.classes))
    coverage = Coverage()
    for step in fault_timeline.steps:
        action = action_name(step)
        begin = bisect.bisect_left(sent_us, step.at_us - lookback_us)
        end = bisect.bisect_right(sent_us, step.at_us)
        for request in history.client_attempts[begin:end]:
            position = position_at(request, attempts.get(request.request_id, []), step.at_us)
            if position is not None and can_harm(step, uids.get(step.index, ""), request, position):
                coverage.counts[FaultExposure(action, position.state)] += 1
    return coverage
