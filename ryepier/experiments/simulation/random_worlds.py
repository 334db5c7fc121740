"""Generates random worlds from seeds for the search: small fleets with random clients, settings and faults."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import numpy as np

from ryepier.emulator import draws
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
    WarmUp,
    World,
)

DURATION_S = 5.0
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
# relative frequency of each fault kind; higher for kinds that matter only in combination with another fault
FAULT_WEIGHTS = {
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
# relative frequency of each fault of how converters write responses; some worlds have one in addition to the others
RESPONSE_FAULT_WEIGHTS = {"second-answer": 2, "no-length": 1, "no-length-reset": 1}
RESPONSE_FAULT_WORLD_SHARE = 0.15
LOAD_FAULTS = frozenset(("surge", "hot-sidecar"))  # change the arrivals, and have no steps that could hit a request
PLANNER_FAULTS = frozenset(("planner-kill", "planner-hang"))
MAX_FAULTS = 4
MAX_CLOCK_JUMP_S = 3600.0
MAX_CLOCK_DRIFT = 0.001  # ten times the drift of an unsynchronized clock
SLICES_WORLD_SHARE = 0.2  # share of the worlds that use EndpointSlices as discovery
NO_BOOSTS: Mapping[str, float] = {}


def draw_fault(random: np.random.Generator, weights: Mapping[str, float]) -> Fault:
    """Return a random fault. `weights` are the relative frequencies of the fault kinds."""
    weight_values = np.array(list(weights.values()), dtype=np.float64)
    kind = str(random.choice(list(weights), p=weight_values / weight_values.sum()))
    at_s = float(random.uniform(0.2, DURATION_S - 1.5))
    factor = float(random.uniform(1.2, 6.0))
    if kind == "clock-drift":
        factor = 1.0 + MAX_CLOCK_DRIFT * float(random.uniform(-1, 1))
    fields = {
        "kind": kind,
        "at_s": at_s,
        "for_s": float(random.uniform(0.1, 2.5)),
        "part": float(random.uniform(0.1, 1.0)),
        "factor": factor,
        "share": float(random.uniform(0.05, 1.0)),
        "drain_s": float(random.uniform(0.0, 3.0)),
        "down_s": float(random.uniform(0.05, 1.0)),
        "jump_s": MAX_CLOCK_JUMP_S * float(random.uniform(-1, 1)) if kind == "clock-jump" else 0.0,
    }
    return msgspec.convert(fields, Fault)


def draw_world(seed: int, boosts: Mapping[str, float] = NO_BOOSTS) -> World:
    """Return the small, short random world of a seed. `boosts` are factors for the weights of fault kinds."""
    # changing the order of the draws would change the world that a seed gives
    random = draws.stream(seed, "hunt")
    converters = int(random.integers(2, 9))
    clients = _draw_clients(random)
    initial_capacity_share = float(random.uniform(0.1, 0.5))
    warm_up = WarmUp(initial_capacity_share=initial_capacity_share, warm_up_s=float(random.uniform(0.5, 4.0)))
    planners = Planners(count=int(random.choice([0, 1, 2], p=[0.75, 0.1, 0.15])), snapshots=False)
    sidecars = int(random.integers(2 if planners.count else 1, 4))
    faults = _draw_faults(random, boosts, has_planners=planners.count > 0)
    uses_slices = random.random() < SLICES_WORLD_SHARE
    world = World(
        name=f"hunt-{seed}",
        duration_s=DURATION_S,
        clients=clients,
        warm_up=warm_up,
        faults=faults,
        classes=CLASSES,
        converters=[_draw_converters(random, converters)],
        tenants=[Tenant(name="one", share=0.6), Tenant(name="two", share=0.4)],
        planners=planners,
        sidecars=_draw_sidecars(random, sidecars, uses_slices),
        discovery=_draw_discovery(random, uses_slices),
    )
    if random.random() < RESPONSE_FAULT_WORLD_SHARE:
        faults.append(draw_fault(random, RESPONSE_FAULT_WEIGHTS))
    return world


def _draw_clients(random: np.random.Generator) -> Clients:
    backoff = str(random.choice(["none", "constant", "exponential"]))
    fields = {
        "rate_per_s": float(random.uniform(30, 220)),
        "retries": int(random.integers(0, 5)),
        "backoff": backoff,
        "closes_after": float(random.choice([0.0, 0.3])),
        "leaves": float(random.choice([0.0, 0.1])),
        "marks_retries": bool(random.random() < 0.3),
        "hints": bool(random.random() < 0.5),
        "graphql": str(random.choice(["no", "usual", "unique"], p=[0.8, 0.1, 0.1])),
    }
    return msgspec.convert(fields, Clients)


def _draw_faults(random: np.random.Generator, boosts: Mapping[str, float], has_planners: bool) -> list[Fault]:
    weights = {
        kind: weight * boosts.get(kind, 1.0)
        for kind, weight in FAULT_WEIGHTS.items()
        if has_planners or kind not in PLANNER_FAULTS
    }
    return [draw_fault(random, weights) for _ in range(int(random.integers(1, MAX_FAULTS + 1)))]


def _draw_converters(random: np.random.Generator, count: int) -> Converters:
    return Converters(
        count=count,
        cores=int(random.integers(1, 4)),
        pod_size=int(random.integers(1, 4)),
        idle_close_s=float(random.choice([0.5, 5.0])),
    )


def _draw_sidecars(random: np.random.Generator, count: int, uses_slices: bool) -> Sidecars:
    return Sidecars(
        count=count,
        max_attempts=int(random.integers(2, 5)),
        list_on_request=not uses_slices and bool(random.random() < 0.3),
        storm_guard=bool(random.random() < 0.3),
    )


def _draw_discovery(random: np.random.Generator, uses_slices: bool) -> Discovery:
    return Discovery(
        notice_delay_ms=(0.0, float(random.uniform(50, 900))),
        heartbeat_s=1.0,
        slice_size=int(random.integers(1, 6)) if uses_slices else 0,
        conflict_share=float(random.choice([0.0, 0.5])) if uses_slices else 0.0,
        watch_s=5,
    )
