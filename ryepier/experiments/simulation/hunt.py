"""A search for faults in simulation: worlds drawn from seeds, played, judged; and what broke cut down to what matters.

A find is a file: the world, the seed and the rules that broke. Playing it again gives the same history to the byte.
"""

from __future__ import annotations

import hashlib
import os
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from ryepier.emulator import draws, simulated
from ryepier.emulator.records import ClientAttempt, History
from ryepier.emulator.world import (
    Clients,
    Converters,
    DeduplicationScope,
    Discovery,
    Effect,
    Fault,
    Planners,
    RequestClass,
    Sidecars,
    Tenant,
    Warmth,
    World,
)
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import judge
from ryepier.experiments.simulation.coverage import Coverage, cover
from ryepier.sim.loop import NoProgressError
from ryepier.sim.run import SimulationError

LENGTH_S = 5.0
CLASSES = [
    RequestClass(name="look", share=0.4, work_ms=(5.0, 15.0), objective_ms=150.0, deadline_ms=700.0, late_weight=0.5),
    RequestClass(
        name="pay",
        share=0.35,
        work_ms=(5.0, 25.0),
        objective_ms=150.0,
        deadline_ms=800.0,
        priority_weight=3.0,
        effect=Effect.AT_MOST_ONCE,
    ),
    RequestClass(
        name="mark",
        share=0.25,
        work_ms=(10.0, 40.0),
        objective_ms=200.0,
        deadline_ms=900.0,
        priority_weight=5.0,
        late_weight=0.5,
        effect=Effect.DEDUPLICATED,
        scope=DeduplicationScope.CELL,
        idempotency_window_ms=500.0,
    ),
]
# with how often each is drawn: what matters only together with another comes more often
KINDS = {
    "hang": 2,
    "refuse": 2,
    "reset-before": 2,
    "reset-after": 2,
    "half-answer": 2,
    "slow": 2,
    "release": 6,
    "discovery-down": 3,
    "discovery-silent": 3,
    "watch-break": 3,
    "surge": 1,
    "hot-sidecar": 1,
    "sidecar-kill": 2,
    "sidecar-hang": 2,
    "cut": 2,
    "turn-away": 2,
    "clock-jump": 1,
    "clock-drift": 1,
    "planner-kill": 1,
    "planner-hang": 1,
}
IN_ARRIVALS = frozenset(("surge", "hot-sidecar"))  # they strike nothing by themselves, and so meet no state
PLANNERS_KINDS = frozenset(("planner-kill", "planner-hang"))
MOST_FAULTS = 4
MOST_JUMP_S, MOST_DRIFT = 3600.0, 0.001  # a clock that nobody keeps is a few ten millionths off; ten times as much
ROUND = 200  # worlds between two looks at what was hardly tried
LEAN = 4.0  # a kind of which all is rare is drawn so many times more often
NO_WEIGHTS: Mapping[str, float] = {}


class Find(msgspec.Struct):
    """A run that broke a rule, or failed by itself; the content of a replay file."""

    seed: int
    world: World
    rules: dict[str, int]  # breaches by rule; "failed" for a run that failed
    first: str  # the first breach in words, or the failure
    plant: str = ""
    trace: str = ""


def draw_fault(random: np.random.Generator, kinds: Mapping[str, float]) -> Fault:
    weights = np.array(list(kinds.values()), dtype=np.float64)
    kind = str(random.choice(list(kinds), p=weights / weights.sum()))
    at_s = float(random.uniform(0.2, LENGTH_S - 1.5))
    factor = float(random.uniform(1.2, 6.0))
    if kind == "clock-drift":
        factor = 1.0 + MOST_DRIFT * float(random.uniform(-1, 1))
    return msgspec.convert(
        {
            "kind": kind,
            "at_s": at_s,
            "for_s": float(random.uniform(0.1, 2.5)),
            "part": float(random.uniform(0.1, 1.0)),
            "factor": factor,
            "share": float(random.uniform(0.05, 1.0)),
            "drain_s": float(random.uniform(0.0, 3.0)),
            "down_s": float(random.uniform(0.05, 1.0)),
            "jump_s": MOST_JUMP_S * float(random.uniform(-1, 1)) if kind == "clock-jump" else 0.0,
        },
        Fault,
    )


def draw_world(seed: int, lean: Mapping[str, float] = NO_WEIGHTS) -> World:
    """Small, short, and with some faults at once; `lean` multiplies how often kinds of faults are drawn."""
    random = draws.stream(seed, "hunt")
    count = int(random.integers(2, 9))
    backoff = str(random.choice(["none", "constant", "exponential"]))
    clients = msgspec.convert(
        {
            "rate_per_s": float(random.uniform(30, 220)),
            "retries": int(random.integers(0, 5)),
            "backoff": backoff,
            "closes_after": float(random.choice([0.0, 0.3])),
            "leaves": float(random.choice([0.0, 0.1])),
            "marks_retries": bool(random.random() < 0.3),
            "hints": bool(random.random() < 0.5),
            "graphql": str(random.choice(["no", "usual", "unique"], p=[0.8, 0.1, 0.1])),
        },
        Clients,
    )
    warmth = Warmth(initial_capacity_share=float(random.uniform(0.1, 0.5)), warm_up_s=float(random.uniform(0.5, 4.0)))
    planners = Planners(count=int(random.choice([0, 1, 2], p=[0.75, 0.1, 0.15])), snapshots=False)
    sidecars = int(random.integers(2 if planners.count else 1, 4))
    kinds = {
        kind: weight * lean.get(kind, 1.0)
        for kind, weight in KINDS.items()
        if planners.count or kind not in PLANNERS_KINDS
    }
    faults = [draw_fault(random, kinds) for _ in range(int(random.integers(1, MOST_FAULTS + 1)))]
    slices = random.random() < 0.2
    return World(
        name=f"hunt-{seed}",
        duration_s=LENGTH_S,
        clients=clients,
        warmth=warmth,
        faults=faults,
        classes=CLASSES,
        converters=[
            Converters(
                count=count,
                cores=int(random.integers(1, 4)),
                pod_size=int(random.integers(1, 4)),
                idle_close_s=float(random.choice([0.5, 5.0])),
            )
        ],
        tenants=[Tenant(name="one", share=0.6), Tenant(name="two", share=0.4)],
        planners=planners,
        sidecars=Sidecars(
            count=sidecars,
            max_attempts=int(random.integers(2, 5)),
            list_on_request=not slices and bool(random.random() < 0.3),
            storm=bool(random.random() < 0.3),
        ),
        discovery=Discovery(
            late_ms=(0.0, float(random.uniform(50, 900))),
            heartbeat_s=1.0,
            slice_size=int(random.integers(1, 6)) if slices else 0,
            conflict_share=float(random.choice([0.0, 0.5])) if slices else 0.0,
            watch_s=5,
        ),
    )


def trace_of(history: History) -> str:
    """A hash of all that was seen."""
    return hashlib.blake2b(msgspec.msgpack.encode(history), digest_size=16).hexdigest()


def play(world: World, seed: int, plant: str = "") -> tuple[Find | None, History | None]:
    """One run: what broke, if anything, and what was seen, unless the run itself failed."""
    try:
        history = simulated.play(world, seed)
    except (NoProgressError, SimulationError) as error:
        return Find(seed, world, {"failed": 1}, str(error), plant), None
    # Of the emulator's own; one world must not end the hunt.
    except Exception as error:  # noqa: BLE001
        return Find(seed, world, {"failed": 1}, f"the emulator: {error!r}", plant), None
    breaches = judge.judge(world, history)
    if not breaches:
        return None, history
    first = breaches[0]
    text = f"{first.rule} at {first.at_us / 1e6:.6f} s: {first.text}"
    return Find(seed, world, dict(Counter(breach.rule for breach in breaches)), text, plant, trace_of(history)), history


@dataclass(frozen=True, slots=True)
class Played:
    """One world of a hunt: what broke, if anything, and what it tried."""

    find: Find | None
    coverage: Coverage


def hunted(seed: int, plant: str, lean: Mapping[str, float]) -> Played:
    """One seed, in a process that may have a mistake planted."""
    world = draw_world(seed, lean)
    find, history = play(world, seed, plant)
    return Played(find, cover(world, seed, history) if history is not None else Coverage())


def plant_in_process(plant: str) -> None:
    if plant:
        seeded_faults.SEEDED_FAULTS[plant]()


def leaning(coverage: Coverage) -> dict[str, float]:
    """By what each kind of fault is drawn more often, by how much of it was hardly tried."""
    parts: dict[str, list[str]] = {kind: [] for kind in KINDS}
    for strike in coverage.strikes():
        kind = strike.partition(":")[0]
        parts.setdefault("release" if kind.startswith("told") else kind, []).append(strike)
    rare = {
        kind: sum(map(coverage.rare, strikes)) / len(strikes) if strikes else float(kind not in IN_ARRIVALS)
        for kind, strikes in parts.items()
    }
    return {kind: 1.0 + LEAN * share for kind, share in rare.items()}


def hunt(seeds: range, plant: str = "", processes: int | None = None) -> Iterator[Played]:
    """What came of each seed, in the order of the seeds. After each round the draws lean to what was hardly tried; so
    what a seed's world is depends on where the hunt began."""
    total = Coverage()
    with ProcessPoolExecutor(processes or os.cpu_count(), initializer=plant_in_process, initargs=(plant,)) as pool:
        for begin in range(0, len(seeds), ROUND):
            some = seeds[begin : begin + ROUND]
            lean = leaning(total) if begin else {}
            for played in pool.map(hunted, some, [plant] * len(some), [lean] * len(some), chunksize=4):
                total.add(played.coverage)
                yield played


def shrink(find: Find, breaks: Callable[[World], bool] | None = None) -> Find:
    """The same find with the fewest faults, then the fewest sidecars and converters, that break one of its rules."""

    def still(world: World) -> bool:
        again, _ = play(world, find.seed, find.plant)
        return again is not None and bool(again.rules.keys() & find.rules.keys())

    breaks = breaks or still
    world, replace = find.world, msgspec.structs.replace
    changed = True
    while changed:
        changed = False
        for index in range(len(world.faults)):
            smaller = replace(world, faults=world.faults[:index] + world.faults[index + 1 :])
            if breaks(smaller):
                world, changed = smaller, True
                break
    for smaller in (
        replace(world, sidecars=replace(world.sidecars, count=1)),
        replace(world, clients=replace(world.clients, retries=0)),
    ):
        if breaks(smaller):
            world = smaller
    again, _ = play(world, find.seed, find.plant)
    return again or find


def story(history: History, ident: str) -> list[str]:
    """What became of one request, a line an event, by those who saw it."""
    item: ClientAttempt | None = next((one for one in history.client_attempts if one.request_id == ident), None)
    lines: list[tuple[int, str]] = []
    if item is not None:
        lines.append(
            (item.sent_us, f"client sends {ident} to sidecar {item.sidecar}, and waits {item.deadline_us // 1000} ms")
        )
        lines.append((item.ended_us, f"client: {item.outcome}" + (f", status {item.status}" if item.status else "")))
    for attempt in history.converter_attempts:
        if attempt.request_id == ident:
            lines.append((attempt.first_byte_us, f"{attempt.uid}: its first byte"))
            lines.append((attempt.received_us, f"{attempt.uid}: whole"))
            if attempt.started_us >= 0:
                lines.append((attempt.started_us, f"{attempt.uid}: runs it"))
            lines.append((attempt.ended_us, f"{attempt.uid}: {attempt.outcome}"))
            if item is not None:
                lines += [
                    (told.at_us, f"sidecar {told.sidecar} is told: {told.uid} {told.state}")
                    for told in history.notices
                    if told.uid == attempt.uid and told.sidecar == item.sidecar and told.state != "active"
                ]
    return [f"{at_us / 1e6:10.6f} s  {text}" for at_us, text in sorted(set(lines))]


def request_in(text: str) -> str | None:
    """Return the first request id in a violation's text, if there is one."""
    words = text.replace(":", " ").replace(",", " ").split()
    return next((word for word in words if word.count("-") == 2), None)


def save(find: Find, path: Path) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(find), indent=1))


def load(path: Path) -> Find:
    """Raises OSError and msgspec.MsgspecError."""
    return msgspec.json.decode(path.read_bytes(), type=Find)
