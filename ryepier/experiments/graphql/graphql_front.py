"""Experiments on the GraphQL front: no mutation twice while connections are reset, and what reading GraphQL costs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from pathlib import Path

import msgspec

from ryepier.emulator import harness
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.records import NEVER
from ryepier.emulator.world import World
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Benchmark, Claim, Experiment, Measurement, Run, Scale, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.graphql.query_resets import LEAST_SENT_AGAIN, query_resets

FULL_RATE, FULL_LENGTH_S = 2000.0, 52.0
COST_RATE, COST_LENGTH_S = 1500.0, 6.0
COST_FROM_S, COST_TO_S = 1.5, 5.5  # the sidecar has come up and its caches are filled
LEAST_RESETS = 0.05  # of the requests


def _resets_world(scale: Scale) -> World:
    world = load("graphql-resets")
    if scale == "small":
        return world
    replace = msgspec.structs.replace
    stretch = FULL_LENGTH_S / world.duration_s
    return replace(
        world,
        duration_s=FULL_LENGTH_S,
        clients=replace(world.clients, rate_per_s=FULL_RATE),
        faults=[replace(fault, for_s=fault.for_s * stretch) for fault in world.faults],
        sidecars=replace(world.sidecars, count=3),
        harness=replace(world.harness, client_processes=2, converter_processes=3),
    )


def _effects(run: Run) -> dict[str, str]:
    """By request id the effect of its class."""
    return {item.request_id: run.world.classes[item.request_class].effect for item in run.history.client_attempts}


def duplicated_mutations(run: Run) -> int:
    """Operations that must run at most once and ran more often, as converters counted them by the operation's id."""
    effects = _effects(run)
    runs = Counter(attempt.request_id for attempt in run.history.converter_attempts if attempt.started_us != NEVER)
    return sum(count > 1 and effects.get(ident) == "at_most_once" for ident, count in runs.items())


def _resets_figures(run: Run) -> Mapping[str, float]:
    effects, attempts = _effects(run), run.history.converter_attempts
    reset = {attempt.request_id for attempt in attempts if attempt.outcome == "reset"}
    served = {item.request_id for item in run.history.client_attempts if item.outcome == "served"}
    asked_again = [ident for ident in reset if effects.get(ident) == "idempotent"]
    return {
        "requests": len(run.history.client_attempts),
        "reset_share": len(reset) / max(1, len(run.history.client_attempts)),
        "duplicated_mutations": duplicated_mutations(run),
        "queries_reset": len(asked_again),
        "queries_reset_and_served": sum(ident in served for ident in asked_again) / max(1, len(asked_again)),
        "mutations_reset": sum(effects.get(ident) == "at_most_once" for ident in reset),
    }


def _resets_claims(run: Run) -> list[Claim]:
    got, resets = _resets_figures(run), query_resets(run)
    least = 100_000 if run.world.duration_s >= FULL_LENGTH_S else 5_000
    queries = [order for order in run.operations if run.world.classes[order.first.request_class].effect == "idempotent"]
    return [
        Claim("requests", got["requests"], ">=", least),
        Claim("share of requests that were reset after they were sent", got["reset_share"], ">=", LEAST_RESETS),
        Claim("mutations that ran twice", got["duplicated_mutations"], "==", 0),
        Claim("service of queries", figures.service_level(queries), ">=", 0.98),
        Claim(
            "resets of queries, with retries to spare, that were sent again",
            resets.share_sent_again,
            ">=",
            LEAST_SENT_AGAIN,
        ),
        Claim("queries sent again after a reset that were served", resets.share_served, ">=", resets.least_served),
    ]


# graphql-cost: CPU of a request, plain and in GraphQL


def _cost_world(graphql: str) -> World:
    world = load("graphql-resets")
    replace = msgspec.structs.replace
    clients = msgspec.convert(
        msgspec.to_builtins(world.clients) | {"graphql": graphql, "rate_per_s": COST_RATE}, type(world.clients)
    )
    return replace(
        world, duration_s=COST_LENGTH_S, clients=clients, faults=[], sidecars=replace(world.sidecars, count=1)
    )


def cpu_us(world: World, seed: int, folder: Path, cast: harness.RoleAssignment) -> float:
    """CPU of the sidecar for one request, over the middle of a run."""
    history = harness.play(world, seed, folder, cast)
    samples = [
        (at_us, cpu)
        for at_us, cpu, _ in history.incarnations[0].samples
        if COST_FROM_S * 1e6 <= at_us <= COST_TO_S * 1e6
    ]
    came = sum(samples[0][0] <= item.sent_us < samples[-1][0] for item in history.client_attempts)
    served = sum(item.outcome == "served" for item in history.client_attempts)
    if len(samples) < 2 or served < 0.98 * len(history.client_attempts):
        raise HarnessError("a run that served too little says nothing of what serving costs")
    return (samples[-1][1] - samples[0][1]) / max(1, came)


def perform_cost(trial: TrialConfig) -> Measurement:
    """Plain, GraphQL's usual documents, and documents that are never the same; all with the same command."""
    cast = harness.RoleAssignment(
        sidecar_command=seeded_faults.command(trial.seeded_fault) if trial.seeded_fault else harness.FORWARDER
    )
    got = {
        kind: cpu_us(
            _cost_world(kind),
            trial.seed,
            trial.folder / kind,
            cast if kind == "usual" else harness.RoleAssignment(sidecar_command=harness.FORWARDER),
        )
        for kind in ("no", "usual", "unique")
    }
    usual, unique = got["usual"] / got["no"], got["unique"] / got["no"]
    claims = [
        Claim("CPU of a request, GraphQL with usual documents over plain HTTP", usual, "<=", 1.3),
        Claim("CPU of a request, GraphQL with new documents over plain HTTP", unique, "<=", 3.0),
    ]
    return Measurement(
        claims,
        {
            "plain_us": got["no"],
            "usual_us": got["usual"],
            "unique_us": got["unique"],
            "usual_ratio": usual,
            "unique_ratio": unique,
        },
    )


EXPERIMENTS = (
    Experiment(
        "graphql-resets",
        "mutations in many guises while converters reset what they have run",
        _resets_world,
        _resets_claims,
        ("first-word",),
        _resets_figures,
    ),
)
BENCHMARKS = (
    Benchmark(
        "graphql-cost",
        "CPU of a request: plain, GraphQL with known and with new documents",
        perform_cost,
        ("forgetful",),
    ),
)
