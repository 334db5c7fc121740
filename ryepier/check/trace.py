"""A path as people read it: a sequence chart, with the lines of code that brought about what was sent."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from types import FrameType
from typing import Any

from ryepier.balancer import balancer
from ryepier.check.model import Model, ModelState, Step

DECISIONS = Path(balancer.__file__).parent
COLUMN = 22


def who_called(depth: int) -> str:
    """The lines of the module and the host on the stack, the innermost first."""
    frame: FrameType | None = sys._getframe(depth)
    found = []
    while frame is not None:
        path = Path(frame.f_code.co_filename)
        name = path.name
        watched = path.parent == DECISIONS or name == "dispatcher.py"
        if watched and frame.f_code.co_name not in ("handle", "_handle", "_dispatch"):
            found.append(f"{name}:{frame.f_lineno} {frame.f_code.co_name}")
        frame = frame.f_back
    return " < ".join(found[:3])


class _Watched:
    """A world whose module says which of its lines decide."""

    def __init__(self, model: Model) -> None:
        self.world = ModelState(model)
        self.lines: list[str] = []
        self.wrap(self.world.host.balancer, "send")
        self.wrap(self.world.host.balancer, "finish")

    def wrap(self, owner: Any, name: str) -> None:
        real = getattr(owner, name)

        def call(*arguments: Any) -> Any:
            self.lines.append(f"{name} by {who_called(2)}")
            return real(*arguments)

        setattr(owner, name, call)


def chart(model: Model, path: Sequence[Step], settle: bool = True) -> list[str]:
    """Time, the step, what came of it, and by which lines."""
    watched = _Watched(model)
    world = watched.world
    lines = ["", *(f"request {number} is of class {name}" for number, name in enumerate(model.requests)), ""]
    begun_us = world.timers.now_us
    for step in path:
        seen, decided = len(world.events), len(watched.lines)
        breaches = len(world.violations)
        world.do(step)
        lines.append(f"{(world.timers.now_us - begun_us) / 1000:8.1f} ms  {step}")
        lines += [f"{'':{COLUMN}}{text}" for text in world.events[seen:]]
        lines += [f"{'':{COLUMN}}    {text}" for text in watched.lines[decided:]]
        lines += [f"{'':{COLUMN}}BREAKS {breach.rule}: {breach.text}" for breach in world.violations[breaches:]]
    if settle and not world.violations and not world.steps():
        world.settle()
        lines += [f"{'':{COLUMN}}BREAKS {breach.rule}: {breach.text}" for breach in world.violations]
    return lines
