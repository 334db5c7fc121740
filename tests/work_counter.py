"""Counts the work of calls in executed bytecode instructions, which do not depend on the speed of the machine."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


class WorkCounter:
    """Counts the bytecode instructions of the product's Python code; work inside C functions is not counted."""

    def __init__(self) -> None:
        self.instructions = 0

    def count(self, call: Callable[..., object], *arguments: object) -> int:
        """Return how many instructions one call executes."""
        before = self.instructions
        previous = sys.gettrace()
        sys.settrace(self._trace)
        try:
            call(*arguments)
        finally:
            sys.settrace(previous)
        return self.instructions - before

    def _trace(self, frame: FrameType, event: str, _argument: Any) -> Callable[..., Any]:
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        if event == "opcode":
            self.instructions += 1
        return self._trace
