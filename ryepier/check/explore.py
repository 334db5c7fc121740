"""Breadth-first exploration of a model's state space, which finds a shortest path to a violation.

It runs in several processes, stops once it has found `MAX_STATES` states, and can be continued from a checkpoint.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from ryepier.check.canonical import digester
from ryepier.check.environment import UndecidedDraw
from ryepier.check.formats import Checkpoint, decode_step, encode_step, model_signature
from ryepier.check.model import Model, Step, Violation
from ryepier.check.state import ModelState, replay

CHUNK_SIZE = 64  # number of paths that a worker process expands per task
MAX_STATES = 3_000_000  # an exploration stops above this; the digests take about 300 MB then
Steps = tuple[Step, ...]
FaultInstaller = Callable[[], None]


@dataclass(slots=True)
class Expansion:
    """The successors of a path, or the first successor that violates a rule."""

    children: list[tuple[bytes, Steps]] = field(default_factory=list)  # digest and path of each successor
    violation: Violation | None = None
    path: Steps = ()  # path to the violation
    transitions: int = 0
    terminal_states: int = 0  # successors in which all requests have ended


@dataclass(slots=True)
class Exploration:
    """Counts of an exploration, and a shortest path to a violation if one was found."""

    states: int = 1
    transitions: int = 0
    terminal_states: int = 0
    depth: int = 0  # number of steps of the longest explored paths
    seconds: float = 0.0  # duration, including the time recorded in a checkpoint
    complete: bool = False  # the whole state space was explored without a violation
    violation: Violation | None = None
    path: Steps = ()


def successors(model: Model, path: Steps) -> Iterator[tuple[Steps, ModelState]]:
    """Yield each path that continues `path` by one step, with the state at its end.

    A step that makes random draws is tried once for each combination of results.
    """
    for step in replay(model, path).enabled_steps():
        pending_steps = [step]
        while pending_steps:
            candidate = pending_steps.pop()
            state = replay(model, path)
            try:
                state.apply(candidate)
            except UndecidedDraw as undecided:
                pending_steps += [
                    replace(candidate, draws=(*candidate.draws, result)) for result in range(undecided.choice_count)
                ]
                continue
            yield (*path, candidate), state


def expand(model: Model, path: Steps) -> Expansion:
    """Return the successors of a path, or stop at the first successor that violates a rule."""
    expansion, digest = Expansion(), digester(model)
    for longer_path, state in successors(model, path):
        expansion.transitions += 1
        has_ended = not state.violations and not state.enabled_steps()
        if has_ended:
            expansion.terminal_states += 1
            state.settle()
        if state.violations:
            expansion.violation, expansion.path = state.violations[0], longer_path
            return expansion
        if not has_ended:
            expansion.children.append((digest(state), longer_path))
    return expansion


def _expand_all(model: Model, paths: list[Steps]) -> list[Expansion]:
    return [expand(model, path) for path in paths]


def save(path: Path, model: Model, seen: set[bytes], frontier: list[Steps], progress: Exploration) -> None:
    """Write a checkpoint to a temporary file, and replace the previous checkpoint with it."""
    checkpoint = Checkpoint(
        model_signature(model),
        list(seen),
        [[encode_step(step) for step in steps] for steps in frontier],
        progress.transitions,
        progress.terminal_states,
        progress.depth,
        progress.seconds,
    )
    temporary_path = path.with_name(path.name + ".part")
    temporary_path.write_bytes(msgspec.msgpack.encode(checkpoint))
    os.replace(temporary_path, path)


def load(path: Path, model: Model) -> tuple[set[bytes], list[Steps], Exploration]:
    """Read a checkpoint, and return the digests of explored states, the frontier and the counts.

    Raises OSError, msgspec.MsgspecError, and ValueError if the checkpoint belongs to another model.
    """
    checkpoint = msgspec.msgpack.decode(path.read_bytes(), type=Checkpoint)
    if checkpoint.model != model_signature(model):
        raise ValueError("the checkpoint belongs to another model")
    frontier = [tuple(decode_step(step) for step in steps) for steps in checkpoint.frontier]
    progress = Exploration(
        len(checkpoint.seen), checkpoint.transitions, checkpoint.ends, checkpoint.depth, checkpoint.seconds
    )
    return set(checkpoint.seen), frontier, progress


class _Explorer:
    """Explores the states of a model level by level.

    Holds the digests of all states found, the paths to expand next, and the counts of the exploration.
    """

    def __init__(self, model: Model, checkpoint: Path | None) -> None:
        self.model = model
        self.checkpoint = checkpoint
        self.seen_digests: set[bytes] = {digester(model)(replay(model, ()))}
        self.frontier: list[Steps] = [()]
        self.progress = Exploration()
        if checkpoint is not None and checkpoint.exists():
            self.seen_digests, self.frontier, self.progress = load(checkpoint, model)
        self._previous_seconds = self.progress.seconds
        self._start_s = time.monotonic()

    @property
    def elapsed_s(self) -> float:
        """The time in seconds since this object was created, without the time recorded in a checkpoint."""
        return time.monotonic() - self._start_s

    def can_continue(self) -> bool:
        """Return whether there is another level of paths to explore."""
        is_depth_reached = 0 < self.model.depth <= self.progress.depth
        return bool(self.frontier) and self.progress.violation is None and not is_depth_reached

    def explore_level(self, pool: ProcessPoolExecutor) -> None:
        """Expand all paths of the frontier, and replace the frontier with the paths to new states."""
        paths, self.frontier = self.frontier, []
        chunks = [paths[begin : begin + CHUNK_SIZE] for begin in range(0, len(paths), CHUNK_SIZE)]
        for expansions in pool.map(_expand_all, [self.model] * len(chunks), chunks):
            for expansion in expansions:
                self._add_expansion(expansion)
        self.progress.depth += 1
        self.progress.states = len(self.seen_digests)
        self.progress.seconds = self._previous_seconds + self.elapsed_s

    def _add_expansion(self, expansion: Expansion) -> None:
        progress = self.progress
        progress.transitions += expansion.transitions
        progress.terminal_states += expansion.terminal_states
        if expansion.violation is not None and progress.violation is None:
            progress.violation, progress.path = expansion.violation, expansion.path
        for digest, path in expansion.children:
            if digest not in self.seen_digests:
                self.seen_digests.add(digest)
                self.frontier.append(path)

    def save(self) -> None:
        """Write the checkpoint, if its path was given."""
        if self.checkpoint is not None:
            save(self.checkpoint, self.model, self.seen_digests, self.frontier, self.progress)


def explore(
    model: Model,
    processes: int | None = None,
    install_fault: FaultInstaller | None = None,
    checkpoint: Path | None = None,
    max_seconds: float = float("inf"),
    on_progress: Callable[[Exploration], None] = lambda progress: None,
) -> Exploration:
    """Explore level by level until the state space is complete, a rule is violated, or a limit is reached.

    The limits are the model's depth, `max_seconds` and `MAX_STATES`. `processes` defaults to the number of cores.
    `install_fault` is called in each worker process. If the file `checkpoint` exists, the exploration continues from
    it, and errors of `load` are raised. `on_progress` is called after each level.
    """
    explorer = _Explorer(model, checkpoint)
    with ProcessPoolExecutor(processes or os.cpu_count(), initializer=install_fault) as pool:
        while explorer.can_continue():
            explorer.explore_level(pool)
            on_progress(explorer.progress)
            explorer.save()
            if len(explorer.seen_digests) > MAX_STATES or explorer.elapsed_s > max_seconds:
                break
    explorer.progress.complete = not explorer.frontier and explorer.progress.violation is None
    return explorer.progress
