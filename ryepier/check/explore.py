"""All paths of a model, breadth first, so that what is found first is shortest. Several processes, bounded memory, and
it goes on where it was left.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ryepier.check.canonical import digester
from ryepier.check.formats import Checkpoint, decode_step, encode_step, model_signature
from ryepier.check.model import Model, ModelState, Step, UndecidedDraw, Violation, replay

CHUNK = 64  # paths that a process takes at a time
MOST_STATES = 3_000_000  # digests kept: some 300 MB
Steps = tuple[Step, ...]
SeededFault = Callable[[], None]


@dataclass(slots=True)
class Expansion:
    """What one path leads to."""

    children: list[tuple[bytes, Steps]] = field(default_factory=list)
    violation: Violation | None = None
    path: Steps = ()  # to the breach
    transitions: int = 0
    ends: int = 0  # paths on which all is over


@dataclass(slots=True)
class Exploration:
    """What was explored, and the shortest path to a breach, if there is one."""

    states: int = 1
    transitions: int = 0
    ends: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = False  # nothing is left to explore
    violation: Violation | None = None
    path: Steps = ()


def successors(model: Model, path: Steps) -> Iterable[tuple[Steps, ModelState]]:
    """Each path that is one step longer, with its world; a step in which the module draws comes once for each draw."""
    for step in replay(model, path).steps():
        waiting = [step]
        while waiting:
            one = waiting.pop()
            world = replay(model, path)
            try:
                world.do(one)
            except UndecidedDraw as draw:
                waiting += [Step(one.action, one.index, one.detail, (*one.draws, pick)) for pick in range(draw.choices)]
                continue
            yield (*path, one), world


def expand(model: Model, path: Steps) -> Expansion:
    """One path's successors, and the first of them that breaks a rule."""
    found, digest = Expansion(), digester(model)
    for longer, world in successors(model, path):
        found.transitions += 1
        over = not world.violations and not world.steps()
        if over:
            found.ends += 1
            world.settle()
        if world.violations:
            found.violation, found.path = world.violations[0], longer
            return found
        if not over:
            found.children.append((digest(world), longer))
    return found


def expand_some(model: Model, paths: list[Steps]) -> list[Expansion]:
    return [expand(model, path) for path in paths]


def save(path: Path, model: Model, seen: set[bytes], frontier: list[Steps], so_far: Exploration) -> None:
    kept = Checkpoint(
        model_signature(model),
        list(seen),
        [[encode_step(step) for step in path] for path in frontier],
        so_far.transitions,
        so_far.ends,
        so_far.depth,
        so_far.seconds,
    )
    part = path.with_name(path.name + ".part")
    part.write_bytes(msgspec.msgpack.encode(kept))
    os.replace(part, path)


def load(path: Path, model: Model) -> tuple[set[bytes], list[Steps], Exploration]:
    """Raises OSError, msgspec.MsgspecError, and ValueError where it is of another model."""
    kept = msgspec.msgpack.decode(path.read_bytes(), type=Checkpoint)
    if kept.model != model_signature(model):
        raise ValueError("it is of another model")
    frontier = [tuple(decode_step(step) for step in one) for one in kept.frontier]
    return set(kept.seen), frontier, Exploration(len(kept.seen), kept.transitions, kept.ends, kept.depth, kept.seconds)


def explore(
    model: Model,
    processes: int | None = None,
    seeded_fault: SeededFault | None = None,
    checkpoint: Path | None = None,
    max_seconds: float = float("inf"),
    on_progress: Callable[[Exploration], None] = lambda outcome: None,
) -> Exploration:
    """Level by level, until all is explored, a rule breaks, the model's depth is reached or the time is out."""
    seen: set[bytes] = {digester(model)(replay(model, ()))}
    frontier: list[Steps] = [()]
    result = Exploration()
    if checkpoint is not None and checkpoint.exists():
        seen, frontier, result = load(checkpoint, model)
    before_s, begun = result.seconds, time.monotonic()
    with ProcessPoolExecutor(processes or os.cpu_count(), initializer=seeded_fault) as pool:
        while frontier and result.violation is None and not 0 < model.depth <= result.depth:
            chunks = [frontier[at : at + CHUNK] for at in range(0, len(frontier), CHUNK)]
            frontier = []
            for found in (one for some in pool.map(expand_some, [model] * len(chunks), chunks) for one in some):
                result.transitions += found.transitions
                result.ends += found.ends
                if found.violation is not None and result.violation is None:
                    result.violation, result.path = found.violation, found.path
                for digest, path in found.children:
                    if digest not in seen:
                        seen.add(digest)
                        frontier.append(path)
            result.depth += 1
            result.states = len(seen)
            result.seconds = before_s + time.monotonic() - begun
            on_progress(result)
            if checkpoint is not None:
                save(checkpoint, model, seen, frontier, result)
            if len(seen) > MOST_STATES or time.monotonic() - begun > max_seconds:
                break
    result.complete = not frontier and result.violation is None
    return result
