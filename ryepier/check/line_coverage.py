"""Which lines of the module and the host an exploration reaches: what no path came to is listed, not guessed."""

from __future__ import annotations

import dis
import importlib
import inspect
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import CodeType, FrameType, ModuleType
from typing import Any

from ryepier.sidecar import dispatcher

DECISIONS = (
    "admission",
    "balancer",
    "concurrency",
    "endpoint_polling",
    "estimates",
    "feedback",
    "membership",
    "outlier_detection",
    "pool",
    "retries",
    "selection",
    "slow_start",
    "subsetting",
    "upstream",
)
WATCHED: tuple[ModuleType, ...] = (
    *(importlib.import_module(f"ryepier.balancer.{name}") for name in DECISIONS),
    dispatcher,
)
Lines = dict[str, set[int]]


def code_lines(code: CodeType) -> set[int]:
    """Those of one function and of what is defined in it; not its `def`."""
    found = {line for _, line in dis.findlinestarts(code) if line is not None and line != code.co_firstlineno}
    for constant in code.co_consts:
        if isinstance(constant, CodeType):
            found |= code_lines(constant)
    return found


def functions(module: ModuleType) -> Iterator[tuple[str, CodeType]]:
    """All methods of the classes that a module defines."""
    for name, kind in vars(module).items():
        if inspect.isclass(kind) and kind.__module__ == module.__name__:
            for method, what in vars(kind).items():
                if (
                    inspect.isfunction(what)
                    and what.__module__ == module.__name__
                    and (what.__code__.co_filename == module.__file__)
                ):
                    yield f"{name}.{method}", what.__code__


@contextmanager
def record_lines() -> Iterator[Lines]:
    """The lines that run meanwhile, by file."""
    files = {str(module.__file__) for module in WATCHED}
    seen: Lines = {name: set() for name in files}

    def local(frame: FrameType, event: str, argument: Any) -> Callable[..., Any]:
        if event == "line":
            seen[frame.f_code.co_filename].add(frame.f_lineno)
        return local

    def begin(frame: FrameType, event: str, argument: Any) -> Callable[..., Any] | None:
        return local if frame.f_code.co_filename in files else None

    before = sys.gettrace()
    sys.settrace(begin)
    try:
        yield seen
    finally:
        sys.settrace(before)


def unreached(seen: Lines) -> list[tuple[str, list[int]]]:
    """Each function that is not reached whole, with its lines that are not."""
    found = []
    for module in WATCHED:
        for name, code in functions(module):
            missing = sorted(code_lines(code) - seen[str(module.__file__)])
            if missing:
                found.append((f"{module.__name__}: {name}", missing))
    return found
