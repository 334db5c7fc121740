"""Which fault met which state of a request, by what all sides saw: so that it is known what was never tried.

Pure. The states are those between a request's sending and its end; a fault meets the requests that it could harm: a
converter's those with an attempt at it and those that wait to be sent, a sidecar's and its discovery's those that it
holds, a planner's all.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field

from ryepier.emulator import timeline
from ryepier.emulator.records import NEVER, ClientAttempt, ConverterAttempt, History
from ryepier.emulator.timeline import FaultAction, Step, TargetKind
from ryepier.emulator.world import World

STATES = ("not sent", "arriving", "queued", "running", "run", "between", "late")
LEGEND = {
    "not sent": "taken by the sidecar, no attempt at any converter yet",
    "arriving": "partly at a converter",
    "queued": "whole at a converter, not begun",
    "running": "being run",
    "run": "run or turned away, its answer on the way",
    "between": "an attempt failed, no further one has come yet",
    "late": "answered, while an attempt given up is still at a converter",
}
RARE = 20  # meetings below which a pair counts as hardly tried
Cell = tuple[str, str]  # what struck, and the state that it met


@dataclass(slots=True)
class Coverage:
    """Counts of meetings; adds up over runs."""

    cells: dict[Cell, int] = field(default_factory=lambda: defaultdict(int))

    def add(self, other: Coverage) -> None:
        for cell, count in other.cells.items():
            self.cells[cell] += count

    def strikes(self) -> list[str]:
        return sorted({strike for strike, _ in self.cells})

    def rare(self, strike: str) -> float:
        """The share of the states that what struck has hardly met."""
        return sum(self.cells.get((strike, state), 0) < RARE for state in STATES) / len(STATES)

    def rows(self) -> list[list[str]]:
        """A table: a line for all that struck, a column a state."""
        head = ["", *STATES]
        return [
            head,
            *([strike, *(str(self.cells.get((strike, state), 0)) for state in STATES)] for strike in self.strikes()),
        ]

    def as_lists(self) -> list[tuple[str, str, int]]:
        return sorted((strike, state, count) for (strike, state), count in self.cells.items())


def strike_of(step: Step) -> str:
    """What a step is called in the table."""
    if step.action is FaultAction.NOTIFY:
        return f"told {step.state}"
    return (
        str(step.fault)
        if step.action
        in (
            FaultAction.BEGIN,
            FaultAction.SUSPEND,
            FaultAction.KILL,
            FaultAction.SET_CLOCK_RATE,
            FaultAction.SET_CALENDAR,
            FaultAction.DOWN,
            FaultAction.MUTE,
            FaultAction.BREAK_WATCHES,
        )
        else f"{step.fault}: {step.action.value}"
    )


def state_at(item: ClientAttempt, attempts: list[ConverterAttempt], at_us: int) -> tuple[str, str]:
    """The state of a request, and the converter that has to do with it (empty: none)."""
    begun = [one for one in attempts if one.first_byte_us <= at_us]
    if at_us >= item.ended_us:
        still = [one for one in begun if one.ended_us == NEVER or one.ended_us > at_us]
        return ("late", still[-1].uid) if still else ("", "")
    if not begun:
        return "not sent", ""
    last = begun[-1]
    if at_us < last.received_us:
        return "arriving", last.uid
    over = last.ended_us != NEVER and last.ended_us <= at_us
    if over and last.status != 200:
        return "between", ""
    if over or (last.finished_us != NEVER and last.finished_us <= at_us):
        return "run", last.uid
    if last.started_us != NEVER and last.started_us <= at_us:
        return "running", last.uid
    return "queued", last.uid


def meets(step: Step, uid: str, item: ClientAttempt, state: str, at: str) -> bool:
    """Whether a step has to do with a request; `uid` is the converter that it strikes."""
    if step.target is TargetKind.CONVERTER:
        return at == uid or state in ("not sent", "between")
    if step.target is TargetKind.PLANNER:
        return True
    if step.action is FaultAction.NOTIFY and at and at != step.uid:
        return False
    return item.sidecar == step.index


def cover(world: World, seed: int, history: History) -> Coverage:
    """The meetings of one run."""
    built = timeline.build(world, seed)
    uids = {instance.index: instance.uid for instance in built.instances}
    by_ident: dict[str, list[ConverterAttempt]] = defaultdict(list)
    for attempt in history.converter_attempts:
        by_ident[attempt.request_id].append(attempt)
    sent = [item.sent_us for item in history.client_attempts]
    longest_us = int(2000 * max(kind.deadline_ms for kind in world.classes))
    found = Coverage()
    for step in built.steps:
        strike = strike_of(step)
        first = bisect.bisect_left(sent, step.at_us - longest_us)
        for item in history.client_attempts[first : bisect.bisect_right(sent, step.at_us)]:
            state, at = state_at(item, by_ident.get(item.request_id, []), step.at_us)
            if state and meets(step, uids.get(step.index, ""), item, state, at):
                found.cells[strike, state] += 1
    return found
