"""What an experiment is and what it leaves behind: claims with bounds, figures, and one result file."""

from __future__ import annotations

import dataclasses
import operator
import os
import platform
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from importlib import metadata
from pathlib import Path
from typing import Literal

import msgspec

from ryepier.emulator import harness, simulated
from ryepier.emulator.records import History
from ryepier.emulator.world import World
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import figures, judge

Scale = Literal["small", "full"]


class Backend(StrEnum):
    """Where an experiment's world runs."""

    SOCKETS = "sockets"
    SIM = "sim"  # one process under virtual time


Operator = Literal["<=", ">=", "=="]
OPERATORS: dict[str, Callable[[float, float], bool]] = {"<=": operator.le, ">=": operator.ge, "==": operator.eq}
LIBRARIES = ("httptools", "numpy", "msgspec", "hdrhistogram")
RESULT, HISTORY, WORLD, BREACHES = "result.json", "history.msgpack", "world.json", "breaches.json"


class Claim(msgspec.Struct, frozen=True):
    """Something that is said of a run and may not hold."""

    name: str
    value: float
    op: Operator
    bound: float

    @property
    def holds(self) -> bool:
        return OPERATORS[self.op](self.value, self.bound)

    def __str__(self) -> str:
        return f"{'holds' if self.holds else 'FAILS'}  {self.name}: {self.value:.4g} {self.op} {self.bound:g}"


class Result(msgspec.Struct, rename={"seeded_fault": "plant"}):
    """The content of result.json."""

    name: str
    seed: int
    scale: Scale
    claims: list[dict[str, object]]
    figures: dict[str, float]
    versions: dict[str, str]
    seeded_fault: str = ""
    backend: Backend = Backend.SOCKETS


@dataclass(frozen=True, slots=True)
class Run:
    """A run as the claims see it."""

    world: World
    seed: int
    history: History
    operations: list[figures.Operation]
    breaches: list[judge.Breach]
    folder: Path
    control: Run | None = None  # the paired one


@dataclass(frozen=True, slots=True)
class Experiment:
    """A named world and what is claimed of it."""

    name: str
    question: str
    world: Callable[[Scale], World]
    claims: Callable[[Run], list[Claim]]
    seeded_faults: Sequence[str]  # mistakes that make at least one claim fail
    extra_figures: Callable[[Run], Mapping[str, float]] = lambda run: {}
    rules: Sequence[str] = tuple(judge.RULES)  # those that must hold in it
    valid_until_s: Callable[[Run], float] | None = None  # seconds that count; by default the whole run
    restarted_planner_fault: str = ""  # a planner that was killed comes back with this mistake
    sidecar_faults: Mapping[int, str] = field(default_factory=dict)  # sidecars with a mistake of their own, by index
    control_world: Callable[[World], World] | None = None  # played too, on the same seed, to compare with
    cores: int = 0  # run on so many only; 0 = all there are
    measures_cpu: bool = False  # which virtual time has none of


@dataclass(frozen=True, slots=True)
class TrialConfig:
    """How to run a benchmark once."""

    seed: int
    scale: Scale
    folder: Path  # for whatever its processes write
    seeded_fault: str = ""


@dataclass(frozen=True, slots=True)
class Measurement:
    """The result of one trial of a benchmark."""

    claims: list[Claim]
    figures: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Benchmark:
    """An experiment without a world: it measures a part by itself, and leaves no history."""

    name: str
    question: str
    measure: Callable[[TrialConfig], Measurement]
    seeded_faults: Sequence[str]


def library_versions() -> dict[str, str]:
    found = {"python": platform.python_version(), "cores": str(os.cpu_count())}
    return found | {name: metadata.version(name) for name in LIBRARIES}


def lateness_claim(run: Run, valid_until_s: Callable[[Run], float] | None) -> Claim:
    """The emulator kept up; otherwise the run is void, as it would have measured the rig."""
    bound_ms = run.world.harness.lateness_ms
    if valid_until_s is None:
        worst_us = max((late.p999_us for late in run.history.lateness), default=0)
        return Claim("the emulator's lateness (99.9%, ms)", worst_us / 1000, "<=", bound_ms)
    until_s = int(valid_until_s(run))
    seconds = [late.max_by_second_us[:until_s] for late in run.history.lateness]
    worst_us = max(map(max, filter(None, seconds)), default=0)
    return Claim(f"the emulator's lateness (most in the first {until_s} s, ms)", worst_us / 1000, "<=", bound_ms)


def _make_cast(experiment: Experiment, seeded_fault: str) -> harness.RoleAssignment:
    """Who plays, with the experiment's own mistakes and the planted one."""
    cast = harness.RoleAssignment(
        sidecar_overrides={index: seeded_faults.command(name) for index, name in experiment.sidecar_faults.items()}
    )
    if experiment.restarted_planner_fault:
        cast = dataclasses.replace(cast, planner_restart=seeded_faults.command(experiment.restarted_planner_fault))
    if seeded_fault in seeded_faults.PLANNER_FAULTS:
        return dataclasses.replace(cast, planner_command=seeded_faults.command(seeded_fault))
    return dataclasses.replace(cast, sidecar_command=seeded_faults.command(seeded_fault)) if seeded_fault else cast


def run_experiment(
    experiment: Experiment,
    seed: int,
    scale: Scale,
    folder: Path,
    seeded_fault: str = "",
    watcher: harness.Watcher | None = None,
    backend: Backend = Backend.SOCKETS,
) -> list[Claim]:
    """Play it, judge it, and write all that came out into `folder`. Raises HarnessError where the rig failed."""
    world = experiment.world(scale)
    if backend is Backend.SIM:
        run_trial = _simulating(experiment, seeded_fault)
    else:
        run_trial = _on_sockets(experiment, seeded_fault, watcher)
    control = None
    if experiment.control_world is not None:
        control = _observe(experiment.control_world(world), seed, folder / "paired", run_trial, is_control=True)
    run = dataclasses.replace(_observe(world, seed, folder, run_trial, is_control=False), control=control)
    counts = Counter(breach.rule for breach in run.breaches)
    claims = [lateness_claim(run, experiment.valid_until_s)]
    claims += [Claim(f"rule {rule}: breaches", counts[rule], "==", 0) for rule in experiment.rules]
    claims += experiment.claims(run)
    found = {**figures.summary(world, run.history, run.operations), **experiment.extra_figures(run)}
    result = make_result(experiment.name, seed, scale, claims, found, seeded_fault)
    result.backend = backend
    save(folder, run, result)
    return claims


Trial = Callable[[World, int, Path, bool], History]  # the last: whether it is the paired run


def _on_sockets(experiment: Experiment, seeded_fault: str, watcher: harness.Watcher | None) -> Trial:
    def run_trial(world: World, seed: int, folder: Path, is_control: bool) -> History:
        cast = _make_cast(experiment, seeded_fault)
        if is_control:
            cast = dataclasses.replace(cast, sidecar_command=None)
        affinity = os.sched_getaffinity(0)
        if experiment.cores:
            os.sched_setaffinity(0, set(sorted(affinity)[: experiment.cores]))  # the run's processes inherit it
        try:
            return harness.play(world, seed, folder, cast, watcher)
        finally:
            os.sched_setaffinity(0, affinity)

    return run_trial


def _simulating(experiment: Experiment, seeded_fault: str) -> Trial:
    """Raises harness.HarnessError where that would say nothing. A mistake is put into this very process, and stays."""
    if experiment.measures_cpu or experiment.sidecar_faults or experiment.restarted_planner_fault:
        raise harness.HarnessError(f"{experiment.name} measures CPU, or has processes that differ: not simulated")

    def run_trial(world: World, seed: int, folder: Path, is_control: bool) -> History:
        if seeded_fault and not is_control:
            seeded_faults.SEEDED_FAULTS[seeded_fault]()
        return simulated.play(world, seed, folder)

    return run_trial


def run_benchmark(experiment: Benchmark, seed: int, scale: Scale, folder: Path, seeded_fault: str = "") -> list[Claim]:
    """Measure, and write the result into `folder`. Raises harness.HarnessError where it could not be done."""
    folder.mkdir(parents=True, exist_ok=True)
    measured = experiment.measure(TrialConfig(seed, scale, folder, seeded_fault))
    save_result(folder, make_result(experiment.name, seed, scale, measured.claims, measured.figures, seeded_fault))
    return measured.claims


def as_fields(claim: Claim) -> dict[str, object]:
    """Return a claim as the fields that it has in result.json."""
    fields: dict[str, object] = msgspec.to_builtins(claim)
    return fields | {"holds": claim.holds}


def make_result(
    name: str, seed: int, scale: Scale, claims: list[Claim], found: Mapping[str, float], seeded_fault: str
) -> Result:
    return Result(
        name,
        seed,
        scale,
        [as_fields(claim) for claim in claims],
        dict(found),
        library_versions(),
        seeded_fault,
    )


def _observe(world: World, seed: int, folder: Path, run_trial: Trial, is_control: bool) -> Run:
    history = run_trial(world, seed, folder, is_control)
    return Run(
        world, seed, history, figures.operations(world, history.client_attempts), judge.judge(world, history), folder
    )


def save(folder: Path, run: Run, result: Result) -> None:
    save_result(folder, result)
    (folder / HISTORY).write_bytes(msgspec.msgpack.encode(run.history))
    (folder / WORLD).write_bytes(msgspec.json.encode(run.world))
    (folder / BREACHES).write_bytes(msgspec.json.format(msgspec.json.encode(run.breaches), indent=1))


def save_result(folder: Path, result: Result) -> None:
    (folder / RESULT).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))
