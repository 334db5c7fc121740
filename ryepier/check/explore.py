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
from ryepier.check.model import Breach, Model, Step, Undecided, World, walk

CHUNK = 64  # paths that a process takes at a time
MOST_STATES = 3_000_000  # digests kept: some 300 MB
Steps = tuple[Step, ...]
Plant = Callable[[], None]


@dataclass(slots=True)
class Found:
    """What one path leads to."""

    children: list[tuple[bytes, Steps]] = field(default_factory=list)
    breach: Breach | None = None
    path: Steps = ()  # to the breach
    transitions: int = 0
    ends: int = 0  # paths on which all is over


@dataclass(slots=True)
class Outcome:
    """What was explored, and the shortest path to a breach, if there is one."""

    states: int = 1
    transitions: int = 0
    ends: int = 0
    depth: int = 0
    seconds: float = 0.0
    whole: bool = False  # nothing is left to explore
    breach: Breach | None = None
    path: Steps = ()


class Kept(msgspec.Struct):
    """An exploration that goes on later."""

    model: str
    seen: list[bytes]
    frontier: list[list[tuple[str, int, str, tuple[int, ...]]]]
    transitions: int
    ends: int
    depth: int
    seconds: float


def successors(model: Model, path: Steps) -> Iterable[tuple[Steps, World]]:
    """Each path that is one step longer, with its world; a step in which the module draws comes once for each draw."""
    for step in walk(model, path).steps():
        waiting = [step]
        while waiting:
            one = waiting.pop()
            world = walk(model, path)
            try:
                world.do(one)
            except Undecided as draw:
                waiting += [Step(one.what, one.index, one.how, (*one.picks, pick)) for pick in range(draw.choices)]
                continue
            yield (*path, one), world


def expand(model: Model, path: Steps) -> Found:
    """One path's successors, and the first of them that breaks a rule."""
    found, digest = Found(), digester(model)
    for longer, world in successors(model, path):
        found.transitions += 1
        over = not world.breaches and not world.steps()
        if over:
            found.ends += 1
            world.settle()
        if world.breaches:
            found.breach, found.path = world.breaches[0], longer
            return found
        if not over:
            found.children.append((digest(world), longer))
    return found


def expand_some(model: Model, paths: list[Steps]) -> list[Found]:
    return [expand(model, path) for path in paths]


def save(path: Path, model: Model, seen: set[bytes], frontier: list[Steps], so_far: Outcome) -> None:
    steps = [[(step.what, step.index, step.how, step.picks) for step in one] for one in frontier]
    kept = Kept(repr(model), list(seen), steps, so_far.transitions, so_far.ends, so_far.depth, so_far.seconds)
    part = path.with_name(path.name + ".part")
    part.write_bytes(msgspec.msgpack.encode(kept))
    os.replace(part, path)


def load(path: Path, model: Model) -> tuple[set[bytes], list[Steps], Outcome]:
    """Raises OSError, msgspec.MsgspecError, and ValueError where it is of another model."""
    kept = msgspec.msgpack.decode(path.read_bytes(), type=Kept)
    if kept.model != repr(model):
        raise ValueError("it is of another model")
    frontier = [tuple(Step(*step) for step in one) for one in kept.frontier]
    return set(kept.seen), frontier, Outcome(len(kept.seen), kept.transitions, kept.ends, kept.depth, kept.seconds)


def explore(
    model: Model,
    processes: int | None = None,
    plant: Plant | None = None,
    keep: Path | None = None,
    most_s: float = float("inf"),
    told: Callable[[Outcome], None] = lambda outcome: None,
) -> Outcome:
    """Level by level, until all is explored, a rule breaks, the model's depth is reached or the time is out."""
    seen: set[bytes] = {digester(model)(walk(model, ()))}
    frontier: list[Steps] = [()]
    result = Outcome()
    if keep is not None and keep.exists():
        seen, frontier, result = load(keep, model)
    before_s, begun = result.seconds, time.monotonic()
    with ProcessPoolExecutor(processes or os.cpu_count(), initializer=plant) as pool:
        while frontier and result.breach is None and not 0 < model.depth <= result.depth:
            chunks = [frontier[at : at + CHUNK] for at in range(0, len(frontier), CHUNK)]
            frontier = []
            for found in (one for some in pool.map(expand_some, [model] * len(chunks), chunks) for one in some):
                result.transitions += found.transitions
                result.ends += found.ends
                if found.breach is not None and result.breach is None:
                    result.breach, result.path = found.breach, found.path
                for digest, path in found.children:
                    if digest not in seen:
                        seen.add(digest)
                        frontier.append(path)
            result.depth += 1
            result.states = len(seen)
            result.seconds = before_s + time.monotonic() - begun
            told(result)
            if keep is not None:
                save(keep, model, seen, frontier, result)
            if len(seen) > MOST_STATES or time.monotonic() - begun > most_s:
                break
    result.whole = not frontier and result.breach is None
    return result
