"""What an experiment is and what it leaves behind: claims with bounds, figures, and one result file."""

from __future__ import annotations

import dataclasses
import operator
import os
import platform
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
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
Backend = Literal["sockets", "sim"]
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


class Result(msgspec.Struct):
    """The content of result.json."""

    name: str
    seed: int
    scale: Scale
    claims: list[dict[str, object]]
    figures: dict[str, float]
    versions: dict[str, str]
    plant: str = ""
    backend: Backend = "sockets"


@dataclass(frozen=True, slots=True)
class Run:
    """A run as the claims see it."""

    world: World
    seed: int
    history: History
    orders: list[figures.Order]
    breaches: list[judge.Breach]
    folder: Path
    other: Run | None = None  # the paired one


@dataclass(frozen=True, slots=True)
class Experiment:
    """A named world and what is claimed of it."""

    name: str
    about: str
    world: Callable[[Scale], World]
    claims: Callable[[Run], list[Claim]]
    plants: Sequence[str]  # mistakes that make at least one claim fail
    more_figures: Callable[[Run], Mapping[str, float]] = lambda run: {}
    rules: Sequence[str] = tuple(judge.RULES)  # those that must hold in it
    measured_until: Callable[[Run], float] | None = None  # seconds that count; by default the whole run
    planner_restart: str = ""  # a planner that was killed comes back with this mistake
    odd_sidecars: Mapping[int, str] = field(default_factory=dict)  # sidecars with a mistake of their own, by index
    paired: Callable[[World], World] | None = None  # played too, on the same seed, to compare with
    cores: int = 0  # run on so many only; 0 = all there are
    measures_cpu: bool = False  # which virtual time has none of


@dataclass(frozen=True, slots=True)
class Measured:
    """An experiment without a world: it measures a part by itself, and leaves no history."""

    name: str
    about: str
    measure: Callable[[int, Scale, Path, str], tuple[list[Claim], Mapping[str, float]]]  # seed, scale, folder, plant
    plants: Sequence[str]


def versions() -> dict[str, str]:
    found = {"python": platform.python_version(), "cores": str(os.cpu_count())}
    return found | {name: metadata.version(name) for name in LIBRARIES}


def on_time(run: Run, measured_until: Callable[[Run], float] | None) -> Claim:
    """The emulator kept up; otherwise the run is void, as it would have measured the rig."""
    bound_ms = run.world.harness.lateness_ms
    if measured_until is None:
        worst_us = max((late.p999_us for late in run.history.lateness), default=0)
        return Claim("the emulator's lateness (99.9%, ms)", worst_us / 1000, "<=", bound_ms)
    until_s = int(measured_until(run))
    seconds = [late.max_by_second_us[:until_s] for late in run.history.lateness]
    worst_us = max(map(max, filter(None, seconds)), default=0)
    return Claim(f"the emulator's lateness (most in the first {until_s} s, ms)", worst_us / 1000, "<=", bound_ms)


def make_cast(experiment: Experiment, plant: str) -> harness.RoleAssignment:
    """Who plays, with the experiment's own mistakes and the planted one."""
    cast = harness.RoleAssignment(
        sidecar_overrides={index: seeded_faults.command(name) for index, name in experiment.odd_sidecars.items()}
    )
    if experiment.planner_restart:
        cast = dataclasses.replace(cast, planner_restart=seeded_faults.command(experiment.planner_restart))
    if plant in seeded_faults.PLANNER_FAULTS:
        return dataclasses.replace(cast, planner_command=seeded_faults.command(plant))
    return dataclasses.replace(cast, sidecar_command=seeded_faults.command(plant)) if plant else cast


def perform(
    experiment: Experiment,
    seed: int,
    scale: Scale,
    folder: Path,
    plant: str = "",
    watcher: harness.Watcher | None = None,
    backend: Backend = "sockets",
) -> list[Claim]:
    """Play it, judge it, and write all that came out into `folder`. Raises HarnessError where the rig failed."""
    world = experiment.world(scale)
    play = _simulating(experiment, plant) if backend == "sim" else _on_sockets(experiment, plant, watcher)
    other = None
    if experiment.paired is not None:
        other = _seen(experiment.paired(world), seed, folder / "paired", play, paired=True)
    run = dataclasses.replace(_seen(world, seed, folder, play, paired=False), other=other)
    counts = Counter(breach.rule for breach in run.breaches)
    claims = [on_time(run, experiment.measured_until)]
    claims += [Claim(f"rule {rule}: breaches", counts[rule], "==", 0) for rule in experiment.rules]
    claims += experiment.claims(run)
    found = {**figures.summary(world, run.history, run.orders), **experiment.more_figures(run)}
    result = make_result(experiment.name, seed, scale, claims, found, plant)
    result.backend = backend
    save(folder, run, result)
    return claims


Play = Callable[[World, int, Path, bool], History]  # the last: whether it is the paired run


def _on_sockets(experiment: Experiment, plant: str, watcher: harness.Watcher | None) -> Play:
    def play(world: World, seed: int, folder: Path, paired: bool) -> History:
        cast = make_cast(experiment, plant)
        if paired:
            cast = dataclasses.replace(cast, sidecar_command=None)
        had = os.sched_getaffinity(0)
        if experiment.cores:
            os.sched_setaffinity(0, set(sorted(had)[: experiment.cores]))  # the run's processes inherit it
        try:
            return harness.play(world, seed, folder, cast, watcher)
        finally:
            os.sched_setaffinity(0, had)

    return play


def _simulating(experiment: Experiment, plant: str) -> Play:
    """Raises harness.HarnessError where that would say nothing. A mistake is put into this very process, and stays."""
    if experiment.measures_cpu or experiment.odd_sidecars or experiment.planner_restart:
        raise harness.HarnessError(f"{experiment.name} measures CPU, or has processes that differ: not simulated")

    def play(world: World, seed: int, folder: Path, paired: bool) -> History:
        if plant and not paired:
            seeded_faults.SEEDED_FAULTS[plant]()
        return simulated.play(world, seed, folder)

    return play


def perform_measured(experiment: Measured, seed: int, scale: Scale, folder: Path, plant: str = "") -> list[Claim]:
    """Measure, and write the result into `folder`. Raises harness.HarnessError where it could not be done."""
    folder.mkdir(parents=True, exist_ok=True)
    claims, found = experiment.measure(seed, scale, folder, plant)
    save_result(folder, make_result(experiment.name, seed, scale, claims, found, plant))
    return claims


def make_result(
    name: str, seed: int, scale: Scale, claims: list[Claim], found: Mapping[str, float], plant: str
) -> Result:
    return Result(
        name,
        seed,
        scale,
        [msgspec.to_builtins(claim) | {"holds": claim.holds} for claim in claims],
        dict(found),
        versions(),
        plant,
    )


def _seen(world: World, seed: int, folder: Path, play: Play, paired: bool) -> Run:
    history = play(world, seed, folder, paired)
    return Run(
        world, seed, history, figures.orders(world, history.client_attempts), judge.judge(world, history), folder
    )


def save(folder: Path, run: Run, result: Result) -> None:
    save_result(folder, result)
    (folder / HISTORY).write_bytes(msgspec.msgpack.encode(run.history))
    (folder / WORLD).write_bytes(msgspec.json.encode(run.world))
    (folder / BREACHES).write_bytes(msgspec.json.format(msgspec.json.encode(run.breaches), indent=1))


def save_result(folder: Path, result: Result) -> None:
    (folder / RESULT).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))
