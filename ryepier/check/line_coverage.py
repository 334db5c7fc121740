"""Line coverage of the code under test during an exploration."""

from __future__ import annotations

import dis
import importlib
import inspect
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import CodeType, FrameType, ModuleType
from typing import Any, NamedTuple

from ryepier.sidecar import dispatcher

DECISION_MODULES = (
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
    "wake_ups",
)
MODULES: tuple[ModuleType, ...] = (
    *(importlib.import_module(f"ryepier.balancer.{name}") for name in DECISION_MODULES),
    dispatcher,
)
LINE_EVENT = "line"  # event name of sys.settrace
Lines = dict[str, set[int]]  # line numbers by file


@dataclass(frozen=True, slots=True)
class Method:
    """A method of a class that is defined in one of `MODULES`."""

    name: str  # class name and method name
    code: CodeType


class UncoveredLines(NamedTuple):
    """The lines of a method that were not executed; the method may have been executed in part."""

    name: str  # module name, class name and method name
    lines: list[int]  # line numbers that were not executed


def code_lines(code: CodeType) -> set[int]:
    """Return the line numbers of a function and of the functions defined in it, without its own `def` line."""
    lines = {line for _, line in dis.findlinestarts(code) if line is not None and line != code.co_firstlineno}
    for constant in code.co_consts:
        if isinstance(constant, CodeType):
            lines |= code_lines(constant)
    return lines


def methods(module: ModuleType) -> Iterator[Method]:
    """Yield the methods of all classes that are defined in a module."""
    for class_name, class_object in vars(module).items():
        if not inspect.isclass(class_object) or class_object.__module__ != module.__name__:
            continue
        for name, member in vars(class_object).items():
            if not inspect.isfunction(member) or member.__module__ != module.__name__:
                continue
            if member.__code__.co_filename == module.__file__:
                yield Method(f"{class_name}.{name}", member.__code__)


@contextmanager
def record_lines() -> Iterator[Lines]:
    """Record the executed lines of `MODULES` within the context."""
    files = {str(module.__file__) for module in MODULES}
    executed: Lines = {name: set() for name in files}

    def trace_function(frame: FrameType, event: str, argument: Any) -> Callable[..., Any]:
        if event == LINE_EVENT:
            executed[frame.f_code.co_filename].add(frame.f_lineno)
        return trace_function

    def trace_call(frame: FrameType, event: str, argument: Any) -> Callable[..., Any] | None:
        return trace_function if frame.f_code.co_filename in files else None

    original = sys.gettrace()
    sys.settrace(trace_call)
    try:
        yield executed
    finally:
        sys.settrace(original)


def uncovered_lines(executed: Lines) -> list[UncoveredLines]:
    """Return the uncovered lines of each method in `MODULES` that was not executed completely."""
    uncovered = []
    for module in MODULES:
        for method in methods(module):
            missing = sorted(code_lines(method.code) - executed[str(module.__file__)])
            if missing:
                uncovered.append(UncoveredLines(f"{module.__name__}: {method.name}", missing))
    return uncovered
