"""Which lines of the code under test an exploration executes."""

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
LINE_EVENT = "line"  # of sys.settrace
Lines = dict[str, set[int]]  # line numbers by file


@dataclass(frozen=True, slots=True)
class Method:
    """A method of a class that one of the modules defines."""

    name: str
    code: CodeType


class UnreachedFunction(NamedTuple):
    """A function and its lines that were not executed."""

    name: str
    lines: list[int]


def code_lines(code: CodeType) -> set[int]:
    """Return the lines of a function, with those of functions defined in it, and without its `def`."""
    found = {line for _, line in dis.findlinestarts(code) if line is not None and line != code.co_firstlineno}
    for constant in code.co_consts:
        if isinstance(constant, CodeType):
            found |= code_lines(constant)
    return found


def methods(module: ModuleType) -> Iterator[Method]:
    """Yield the methods of all classes that a module defines."""
    for class_name, found in vars(module).items():
        if not inspect.isclass(found) or found.__module__ != module.__name__:
            continue
        for name, member in vars(found).items():
            if not inspect.isfunction(member) or member.__module__ != module.__name__:
                continue
            if member.__code__.co_filename == module.__file__:
                yield Method(f"{class_name}.{name}", member.__code__)


@contextmanager
def record_lines() -> Iterator[Lines]:
    """Record the lines of the modules that are executed within the context."""
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


def unreached_functions(executed: Lines) -> list[UnreachedFunction]:
    """Return the functions of which some lines were not executed."""
    found = []
    for module in MODULES:
        for method in methods(module):
            missing = sorted(code_lines(method.code) - executed[str(module.__file__)])
            if missing:
                found.append(UnreachedFunction(f"{module.__name__}: {method.name}", missing))
    return found
