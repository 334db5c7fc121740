"""Sequence charts of paths, with the lines of code that caused each attempt and each rejection or failure."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from types import FrameType
from typing import Any

from ryepier.balancer import balancer
from ryepier.check.model import Model, Step, Violation
from ryepier.check.state import ModelState

DECISIONS_FOLDER = Path(balancer.__file__).parent
DISPATCHER_FILE = "dispatcher.py"
PASS_THROUGH_FUNCTIONS = ("handle", "_handle", "_dispatch")  # charts omit these functions, which only dispatch events
MAX_FRAMES = 3  # number of stack frames that a chart shows for a decision
INDENT = " " * 22  # width of the time column


def calling_lines(depth: int) -> str:
    """Return the lines of the code under test on the call stack, innermost first.

    The `depth` innermost frames, of which the first is the one of this function, are skipped.
    """
    frame: FrameType | None = sys._getframe(depth)
    lines = []
    while frame is not None:
        path = Path(frame.f_code.co_filename)
        is_code_under_test = path.parent == DECISIONS_FOLDER or path.name == DISPATCHER_FILE
        if is_code_under_test and frame.f_code.co_name not in PASS_THROUGH_FUNCTIONS:
            lines.append(f"{path.name}:{frame.f_lineno} {frame.f_code.co_name}")
        frame = frame.f_back
    return " < ".join(lines[:MAX_FRAMES])


class _TracedState:
    """A state whose balancer records the lines of code from which it sends, rejects or fails requests."""

    def __init__(self, model: Model) -> None:
        self.state = ModelState(model)
        self.decisions: list[str] = []
        self._record_calls(self.state.dispatcher.balancer, "send")
        self._record_calls(self.state.dispatcher.balancer, "reject_or_fail")

    def _record_calls(self, target: Any, name: str) -> None:
        original = getattr(target, name)

        def record_and_call(*arguments: Any) -> Any:
            self.decisions.append(f"{name} by {calling_lines(2)}")
            return original(*arguments)

        setattr(target, name, record_and_call)


def _violation_lines(violations: Sequence[Violation]) -> list[str]:
    return [f"{INDENT}BREAKS {violation.rule}: {violation.text}" for violation in violations]


def chart(model: Model, path: Sequence[Step], settle: bool = True) -> list[str]:
    """Return the lines of a path's chart: for each step, its time, its effects, and the lines of code that caused them.

    With `settle`, a path that ends in a terminal state without violations is also checked for leaks.
    """
    traced = _TracedState(model)
    state = traced.state
    lines = ["", *(f"request {number} is of class {name}" for number, name in enumerate(model.requests)), ""]
    start_us = state.timers.now_us
    for step in path:
        event_count, decision_count = len(state.events), len(traced.decisions)
        violation_count = len(state.violations)
        state.apply(step)
        lines.append(f"{(state.timers.now_us - start_us) / 1000:8.1f} ms  {step}")
        lines += [f"{INDENT}{text}" for text in state.events[event_count:]]
        lines += [f"{INDENT}    {text}" for text in traced.decisions[decision_count:]]
        lines += _violation_lines(state.violations[violation_count:])
    if settle and not state.violations and not state.enabled_steps():
        state.settle()
        lines += _violation_lines(state.violations)
    return lines
