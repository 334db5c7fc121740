"""Defines experiments and benchmarks, their claims, and the result that a run writes."""

from __future__ import annotations

import operator
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Literal

import msgspec

from ryepier.emulator.records import History
from ryepier.emulator.world import World
from ryepier.experiments.core import figures, judge

Operator = Literal["<=", ">=", "=="]
OPERATORS: dict[str, Callable[[float, float], bool]] = {"<=": operator.le, ">=": operator.ge, "==": operator.eq}
RESULT_FILE = "result.json"
HISTORY_FILE = "history.msgpack"
WORLD_FILE = "world.json"
BREACHES_FILE = "breaches.json"


class Scale(StrEnum):
    """The scale at which an experiment runs, which determines the world's size, load and duration."""

    SMALL = "small"  # finishes within 45 s on eight shared cores
    FULL = "full"


class Backend(StrEnum):
    """Where an experiment's world runs."""

    SOCKETS = "sockets"
    SIM = "sim"  # simulated in one process, under virtual time


class Claim(msgspec.Struct, frozen=True):
    """A measured value and the bound that it has to satisfy."""

    name: str
    value: float
    op: Operator
    bound: float

    @property
    def holds(self) -> bool:
        """Return whether the value satisfies the bound."""
        return OPERATORS[self.op](self.value, self.bound)

    def __str__(self) -> str:
        """Return the verdict, the value and the bound in one line."""
        return f"{'holds' if self.holds else 'FAILS'}  {self.name}: {self.value:.4g} {self.op} {self.bound:g}"

    def as_fields(self) -> dict[str, object]:
        """Return the fields that the claim has in result.json, including whether it holds."""
        fields: dict[str, object] = msgspec.to_builtins(self)
        return fields | {"holds": self.holds}


class Result(msgspec.Struct, rename={"seeded_fault": "plant"}):
    """The content of result.json."""

    name: str
    seed: int
    scale: Scale
    claims: list[dict[str, object]]
    figures: dict[str, float | None]  # None stands for infinity, which JSON can't express
    versions: dict[str, str]
    seeded_fault: str = ""
    backend: Backend = Backend.SOCKETS


@dataclass(frozen=True, slots=True)
class TrialConfig:
    """The parameters of one run of an experiment or a benchmark."""

    seed: int
    scale: Scale
    folder: Path  # where the result and the files of the processes are written
    seeded_fault: str = ""  # name of the seeded fault; empty if there is none


@dataclass(frozen=True, slots=True)
class Run:
    """All records of one run of a world, from which claims and figures are computed."""

    world: World
    seed: int
    history: History
    operations: list[figures.Operation]
    breaches: list[judge.Breach]
    folder: Path
    control: Run | None = None  # run of the control world with the same seed; None if there is no control world


@dataclass(frozen=True, slots=True)
class Experiment:
    """A world, and the claims that are checked on a run of it."""

    name: str
    description: str  # one line on what happens in the world
    world: Callable[[Scale], World]
    claims: Callable[[Run], list[Claim]]
    seeded_faults: Sequence[str]  # names of seeded faults, each of which makes at least one claim fail
    extra_figures: Callable[[Run], Mapping[str, float]] = lambda run: {}  # in addition to `figures.summary`
    rules: Sequence[str] = tuple(judge.RULES)  # names of the rules that a run must not breach
    # returns the time of the run until which the emulator has to be on time; None: until the end of the run
    valid_until_s: Callable[[Run], float] | None = None
    restarted_planner_fault: str = ""  # seeded fault of planners that restart after a kill; empty if there is none
    sidecar_faults: Mapping[int, str] = field(default_factory=dict)  # seeded faults by sidecar index
    # returns the control world, which is run with the same seed for comparison; None: there is no control run
    control_world: Callable[[World], World] | None = None
    cores: int = 0  # number of cores that the run may use; 0 for all
    measures_cpu: bool = False  # whether claims depend on CPU time, which can't be measured under virtual time


@dataclass(frozen=True, slots=True)
class Measurement:
    """The checked claims and the figures of one trial of a benchmark."""

    claims: list[Claim]
    figures: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Benchmark:
    """A measurement of a single component, without a world and its recorded history."""

    name: str
    description: str
    measure: Callable[[TrialConfig], Measurement]
    seeded_faults: Sequence[str]
