"""Runs experiments and benchmarks, checks their claims, and writes their results."""

from __future__ import annotations

import dataclasses
import os
import platform
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from importlib import metadata
from pathlib import Path

import msgspec

from ryepier.emulator import harness, simulated
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.records import History
from ryepier.emulator.world import World
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import contract, figures, judge
from ryepier.experiments.core.contract import (
    Backend,
    Benchmark,
    Claim,
    Experiment,
    Result,
    Run,
    TrialConfig,
)

LIBRARIES = ("httptools", "numpy", "msgspec", "hdrhistogram")
CONTROL_FOLDER = "paired"  # subfolder of the run's folder for the files of the control run
US_PER_MS = 1000

WorldRunner = Callable[[World, Path, bool], History]  # arguments: world, folder, whether it is the control run


def run_experiment(
    experiment: Experiment,
    trial: TrialConfig,
    on_progress: harness.ProgressCallback | None = None,
    backend: Backend = Backend.SOCKETS,
) -> list[Claim]:
    """Run an experiment's world, write all results into the trial's folder, and return the checked claims.

    Raises HarnessError if the emulator failed or the experiment can't run on the backend.
    """
    world = experiment.world(trial.scale)
    if backend is Backend.SIM:
        run_world = _make_simulation_runner(experiment, trial)
    else:
        run_world = _make_socket_runner(experiment, trial, on_progress)
    control = None
    if experiment.control_world is not None:
        control_world = experiment.control_world(world)
        folder = trial.folder / CONTROL_FOLDER
        control = _make_run(control_world, trial.seed, folder, run_world(control_world, folder, True))
    history = run_world(world, trial.folder, False)
    run = dataclasses.replace(_make_run(world, trial.seed, trial.folder, history), control=control)
    claims = _check_claims(experiment, run)
    run_figures = {**figures.summary(world, run.history, run.operations), **experiment.extra_figures(run)}
    save_run(run, _make_result(experiment.name, trial, claims, run_figures, backend))
    return claims


def run_benchmark(benchmark: Benchmark, trial: TrialConfig) -> list[Claim]:
    """Run a benchmark, write its result into the trial's folder, and return the checked claims.

    Raises HarnessError if the benchmark could not be run.
    """
    trial.folder.mkdir(parents=True, exist_ok=True)
    measurement = benchmark.measure(trial)
    result = _make_result(benchmark.name, trial, measurement.claims, measurement.figures, Backend.SOCKETS)
    save_result(trial.folder, result)
    return measurement.claims


def lateness_claim(run: Run, valid_until_s: Callable[[Run], float] | None) -> Claim:
    """Return the claim that the emulator was on time. If the claim does not hold, the run is invalid.

    With `valid_until_s`, the claim covers only the part of the run before that time.
    """
    bound_ms = run.world.harness.lateness_ms
    process_lateness = run.history.lateness
    if valid_until_s is None:
        worst_us = max((lateness.p999_us for lateness in process_lateness), default=0)
        return Claim("the emulator's lateness (99.9%, ms)", worst_us / US_PER_MS, "<=", bound_ms)
    until_s = int(valid_until_s(run))
    worst_us = max(
        (lateness_us for lateness in process_lateness for lateness_us in lateness.max_by_second_us[:until_s]), default=0
    )
    name = f"the emulator's lateness (most in the first {until_s} s, ms)"
    return Claim(name, worst_us / US_PER_MS, "<=", bound_ms)


def save_run(run: Run, result: Result) -> None:
    """Write the result, the history, the world and the breaches into the run's folder."""
    save_result(run.folder, result)
    (run.folder / contract.HISTORY_FILE).write_bytes(msgspec.msgpack.encode(run.history))
    (run.folder / contract.WORLD_FILE).write_bytes(msgspec.json.encode(run.world))
    (run.folder / contract.BREACHES_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(run.breaches), indent=1))


def save_result(folder: Path, result: Result) -> None:
    """Write a result into result.json in a folder."""
    (folder / contract.RESULT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))


def library_versions() -> dict[str, str]:
    """Return the versions of Python and of the libraries that figures depend on, and the number of cores."""
    versions = {"python": platform.python_version(), "cores": str(os.cpu_count())}
    return versions | {name: metadata.version(name) for name in LIBRARIES}


def _check_claims(experiment: Experiment, run: Run) -> list[Claim]:
    """Return the claims on the emulator, on the protocol's rules, and on the experiment, in this order."""
    counts = Counter(breach.rule for breach in run.breaches)
    return [
        lateness_claim(run, experiment.valid_until_s),
        *(Claim(f"rule {rule}: breaches", counts[rule], "==", 0) for rule in experiment.rules),
        *experiment.claims(run),
    ]


def _make_run(world: World, seed: int, folder: Path, history: History) -> Run:
    return Run(
        world,
        seed,
        history,
        operations=figures.group_operations(world, history.client_attempts),
        breaches=judge.find_breaches(world, history),
        folder=folder,
    )


def _make_result(
    name: str, trial: TrialConfig, claims: Sequence[Claim], measured_figures: Mapping[str, float], backend: Backend
) -> Result:
    return Result(
        name,
        trial.seed,
        trial.scale,
        claims=[claim.as_fields() for claim in claims],
        figures=dict(measured_figures),
        versions=library_versions(),
        seeded_fault=trial.seeded_fault,
        backend=backend,
    )


def _make_socket_runner(
    experiment: Experiment, trial: TrialConfig, on_progress: harness.ProgressCallback | None
) -> WorldRunner:
    """Return a function that runs a world on real sockets. The control run's sidecars have no seeded fault."""

    def run_world(world: World, folder: Path, is_control: bool) -> History:
        roles = _assign_roles(experiment, trial.seeded_fault)
        if is_control:
            roles = dataclasses.replace(roles, sidecar_command=None)
        with _limit_to_cores(experiment.cores):
            return harness.run_world(world, trial.seed, folder, roles, on_progress)

    return run_world


def _assign_roles(experiment: Experiment, seeded_fault: str) -> harness.RoleAssignment:
    """Return the commands of the run's processes, with the experiment's own faults and the trial's seeded fault."""
    roles = harness.RoleAssignment(
        sidecar_overrides={
            index: seeded_faults.command_with_fault(name) for index, name in experiment.sidecar_faults.items()
        }
    )
    if experiment.restarted_planner_fault:
        roles = dataclasses.replace(
            roles, planner_restart_command=seeded_faults.command_with_fault(experiment.restarted_planner_fault)
        )
    if seeded_fault in seeded_faults.PLANNER_FAULTS:
        return dataclasses.replace(roles, planner_command=seeded_faults.command_with_fault(seeded_fault))
    if seeded_fault:
        return dataclasses.replace(roles, sidecar_command=seeded_faults.command_with_fault(seeded_fault))
    return roles


@contextmanager
def _limit_to_cores(count: int) -> Iterator[None]:
    """Limit this process and its children to `count` cores within the context; 0 for no limit."""
    allowed_cores = os.sched_getaffinity(0)
    if count:
        os.sched_setaffinity(0, set(sorted(allowed_cores)[:count]))
    try:
        yield
    finally:
        os.sched_setaffinity(0, allowed_cores)


def _make_simulation_runner(experiment: Experiment, trial: TrialConfig) -> WorldRunner:
    """Return a function that simulates a world in this process, where a seeded fault stays installed after the run.

    Raises HarnessError for an experiment that measures CPU time or seeds faults into only some of the processes.
    """
    if experiment.measures_cpu or experiment.sidecar_faults or experiment.restarted_planner_fault:
        raise HarnessError(
            f"{experiment.name} can't be simulated: it measures CPU or seeds faults into single processes"
        )

    def run_world(world: World, folder: Path, is_control: bool) -> History:
        if trial.seeded_fault and not is_control:
            seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
        return simulated.run_world(world, trial.seed, folder)

    return run_world
