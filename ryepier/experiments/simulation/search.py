"""Searches random worlds for rule violations in simulation, and reduces a finding to the faults that cause it.

A finding is saved as a file with the world, the seed and the rules that were broken. Running it again gives the same
history, byte for byte.
"""

from __future__ import annotations

import hashlib
import os
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ryepier.emulator import simulated
from ryepier.emulator.records import History
from ryepier.emulator.world import World
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import judge
from ryepier.experiments.simulation.coverage import Coverage, measure_coverage
from ryepier.experiments.simulation.random_worlds import FAULT_WEIGHTS, LOAD_FAULTS, draw_world
from ryepier.sim.loop import NoProgressError
from ryepier.sim.run import SimulationError

ROUND_SIZE = 200  # worlds in a round; after each round the fault weights are adapted to the coverage
MAX_BOOST = 4.0  # added to the weight factor of a fault kind that was rarely tried in every state
CHUNK_SIZE = 4  # worlds that are sent to a worker process at a time
FAILED_RUN = "failed"  # stands in place of a rule name for a run that failed
DIGEST_BYTES = 16


class Finding(msgspec.Struct, rename={"first_violation": "first", "seeded_fault": "plant", "history_hash": "trace"}):
    """A run that broke a rule or failed; the content of a finding's file."""

    seed: int
    world: World
    rules: dict[str, int]  # number of breaches by rule name, or by `FAILED_RUN`
    first_violation: str  # description of the first breach, or the error message of a failed run
    seeded_fault: str = ""
    history_hash: str = ""


@dataclass(frozen=True, slots=True)
class WorldRun:
    """The result of running a world: a finding if it broke a rule or failed, and the records unless it failed."""

    finding: Finding | None
    history: History | None


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The result for one world of a search: a finding, if there is one, and the fault coverage of the run."""

    finding: Finding | None
    coverage: Coverage


def hash_history(history: History) -> str:
    """Return a hash of all records of a run."""
    return hashlib.blake2b(msgspec.msgpack.encode(history), digest_size=DIGEST_BYTES).hexdigest()


def run_world(world: World, seed: int, seeded_fault: str = "") -> WorldRun:
    """Run a world in this process. `seeded_fault` is only recorded in the finding; `install_fault` installs it."""
    try:
        history = simulated.run_world(world, seed)
    except (NoProgressError, SimulationError) as error:
        return WorldRun(Finding(seed, world, {FAILED_RUN: 1}, str(error), seeded_fault), None)
    except Exception as error:  # noqa: BLE001 - an emulator error in one world must not end the search
        return WorldRun(Finding(seed, world, {FAILED_RUN: 1}, f"the emulator: {error!r}", seeded_fault), None)
    breaches = judge.find_breaches(world, history)
    if not breaches:
        return WorldRun(None, history)
    first_breach = breaches[0]
    description = f"{first_breach.rule} at {first_breach.at_us / 1e6:.6f} s: {first_breach.text}"
    rules = dict(Counter(breach.rule for breach in breaches))
    return WorldRun(Finding(seed, world, rules, description, seeded_fault, hash_history(history)), history)


def install_fault(seeded_fault: str) -> None:
    """Install a seeded fault in this process, where it cannot be removed again; do nothing for an empty name."""
    if seeded_fault:
        seeded_faults.SEEDED_FAULTS[seeded_fault]()


def search(seeds: range, seeded_fault: str = "", processes: int | None = None) -> Iterator[SearchResult]:
    """Run the world of each seed, and yield the results in the order of the seeds.

    Uses `processes` worker processes, by default one for each core. After each round, rarely tried faults are drawn
    more often, so a seed's world also depends on the first seed of the search.
    """
    total = Coverage()
    workers = processes or os.cpu_count()
    with ProcessPoolExecutor(workers, initializer=install_fault, initargs=(seeded_fault,)) as pool:
        for start in range(0, len(seeds), ROUND_SIZE):
            batch = seeds[start : start + ROUND_SIZE]
            boosts = boosts_from_coverage(total) if start else {}
            arguments = (batch, [seeded_fault] * len(batch), [boosts] * len(batch))
            for result in pool.map(_search_world, *arguments, chunksize=CHUNK_SIZE):
                total.add(result.coverage)
                yield result


def _search_world(seed: int, seeded_fault: str, boosts: Mapping[str, float]) -> SearchResult:
    world = draw_world(seed, boosts)
    run = run_world(world, seed, seeded_fault)
    coverage = measure_coverage(world, seed, run.history) if run.history is not None else Coverage()
    return SearchResult(run.finding, coverage)


def boosts_from_coverage(coverage: Coverage) -> dict[str, float]:
    """Return a weight factor for each fault kind, which grows with the share of states in which it was rarely tried."""
    actions: dict[str, list[str]] = defaultdict(list)
    for action in coverage.actions():
        actions[_fault_kind(action)].append(action)
    return {kind: 1.0 + MAX_BOOST * _rarely_tried_share(coverage, kind, actions[kind]) for kind in FAULT_WEIGHTS}


def _fault_kind(action: str) -> str:
    kind = action.partition(":")[0]
    return "release" if kind.startswith("told") else kind


def _rarely_tried_share(coverage: Coverage, kind: str, actions: list[str]) -> float:
    if not actions:
        return float(kind not in LOAD_FAULTS)
    return sum(map(coverage.rarely_tried_share, actions)) / len(actions)


def shrink(finding: Finding, still_breaks: Callable[[World], bool] | None = None) -> Finding:
    """Return the finding reduced to the faults, sidecars and retries that are needed to break one of its rules.

    `still_breaks` returns whether a reduced world still breaks such a rule; by default the world is run.
    """

    def breaks_same_rule(world: World) -> bool:
        rerun_finding = run_world(world, finding.seed, finding.seeded_fault).finding
        return rerun_finding is not None and bool(rerun_finding.rules.keys() & finding.rules.keys())

    still_breaks = still_breaks or breaks_same_rule
    world = _drop_faults(finding.world, still_breaks)
    replace = msgspec.structs.replace
    simpler_worlds = (
        replace(world, sidecars=replace(world.sidecars, count=1)),
        replace(world, clients=replace(world.clients, retries=0)),
    )
    for simpler_world in simpler_worlds:
        if still_breaks(simpler_world):
            world = simpler_world
    return run_world(world, finding.seed, finding.seeded_fault).finding or finding


def _drop_faults(world: World, still_breaks: Callable[[World], bool]) -> World:
    """Remove faults one by one as long as the world still breaks a rule."""
    index = 0
    while index < len(world.faults):
        faults = world.faults[:index] + world.faults[index + 1 :]
        smaller_world = msgspec.structs.replace(world, faults=faults)
        if still_breaks(smaller_world):
            world, index = smaller_world, 0
        else:
            index += 1
    return world


def first_request_id(description: str) -> str | None:
    """Return the first request id in the description of a violation, or None if it contains none."""
    words = description.replace(":", " ").replace(",", " ").split()
    return next((word for word in words if word.count("-") == 2), None)


def save(finding: Finding, path: Path) -> None:
    """Write a finding to a file. Raises OSError."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(finding), indent=1))


def load(path: Path) -> Finding:
    """Read a finding from a file. Raises OSError and msgspec.MsgspecError."""
    return msgspec.json.decode(path.read_bytes(), type=Finding)
