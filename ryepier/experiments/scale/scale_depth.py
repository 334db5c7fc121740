"""`scale-depth`: how often the last service of a chain is called while it fails in part, by the depth of the chain.

Each hop's sidecar may resend a fifth of what it is asked for, which is 1.2 to the power of the depth: 7.4 at 11. What
it really is, and which of the bounds holds it: the retry budget of each hop, the time that is left, and the classes
that are never sent twice. In virtual time (`chains`), so no figure depends on the machine.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from ryepier.balancer.interface import Idempotency
from ryepier.balancer.tuning import MAX_RETRY_BUDGET, RETRY_BUDGET_RATIO
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.scale import slopes
from ryepier.experiments.scale.chains import Chain, Seen, play

DEPTHS = (1, 3, 7, 11)
FAILING = (0.1, 0.5, 1.0)
CALLS: dict[Scale, int] = {Scale.SMALL: 300, Scale.FULL: 3000}
RATE_PER_S = 100.0
SHORT_US = 150_000  # a deadline that 11 hops hardly leave anything of: each takes 10 ms of it for its answer
SAME_AIM_US = 150_000  # for all hops alike, as where nobody has thought of what lies below
MOST_ATTEMPTS_A_CALL = 20  # at the last service; a run that goes beyond is broken off, and its figure is a lower bound


def bound(chain: Chain, calls: int) -> float:
    """The most attempts at the last service that the hops' retry budgets allow, over the calls. Pure.

    A hop's sidecars earn a fifth of an attempt with each call, and hold a few in hand from the start."""
    most = float(calls)
    for _ in range(chain.depth):
        most = (1.0 + RETRY_BUDGET_RATIO) * most + MAX_RETRY_BUDGET * chain.instances
    return most / calls


def row(chain: Chain, seen: Seen) -> dict[str, float]:
    """Figures of one run. Pure."""
    last_first = max(1, seen.first[-1])
    return {
        "attempts_a_call": seen.attempts[-1] / chain.calls,
        "theory": (1.0 + RETRY_BUDGET_RATIO) ** chain.depth,
        "over_bound": seen.attempts[-1] / chain.calls / bound(chain, chain.calls),
        "attempts_a_call_of_the_last_hop": seen.attempts[-1] / last_first,
        "served_share": seen.served / chain.calls,
        "answered_share": seen.answered / chain.calls,
        "longest_ms": seen.latest_us / 1000,
        "broken_off": float(seen.broken_off),
    }


def chain_of(depth: int, failing: float, seed: int, scale: Scale) -> Chain:
    calls = CALLS[scale]
    return Chain(depth, failing, calls, RATE_PER_S, seed, most_attempts=MOST_ATTEMPTS_A_CALL * calls)


def runs(seed: int, scale: Scale) -> dict[str, Chain]:
    """By name: each depth and share of failures, and at the greatest depth one bound after another made tighter."""
    found = {
        f"{depth}_deep_{failing:g}_failing": chain_of(depth, failing, seed, scale)
        for failing in FAILING
        for depth in DEPTHS
    }
    deepest = chain_of(DEPTHS[-1], 0.5, seed, scale)
    return found | {
        "unsafe_11_deep_0.5_failing": msgspec.structs.replace(deepest, idempotency=Idempotency.NON_IDEMPOTENT),
        "same_aim_11_deep_0.5_failing": msgspec.structs.replace(deepest, same_aim_us=SAME_AIM_US),
        "short_11_deep_0.5_failing": msgspec.structs.replace(deepest, deadline_us=SHORT_US),
    }


def summary(rows: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    """All figures, and by share of failures what a hop multiplies attempts by, from a line through the logarithms.
    Pure."""
    found = {f"{key}_{name}": value for name, each in rows.items() for key, value in each.items()}
    for failing in FAILING:
        values = [math.log(rows[f"{depth}_deep_{failing:g}_failing"]["attempts_a_call"]) for depth in DEPTHS]
        line = slopes.fit(DEPTHS, values)
        found[f"factor_a_hop_{failing:g}_failing"] = math.exp(line.per_unit)
        found |= {
            f"fit_log_attempts_{failing:g}_failing_{key}": float(value)
            for key, value in msgspec.to_builtins(line).items()
        }
    return found


def claims_of(rows: Mapping[str, Mapping[str, float]]) -> list[Claim]:
    """Pure."""
    return [
        Claim("runs broken off, as attempts had no end", sum(each["broken_off"] for each in rows.values()), "==", 0),
        Claim(
            "least share of calls that had an answer", min(each["answered_share"] for each in rows.values()), ">=", 1.0
        ),
        Claim(
            "attempts at the last service over what the hops' budgets allow, the most of all runs",
            max(each["over_bound"] for each in rows.values()),
            "<=",
            1.0,
        ),
        Claim(
            "attempts at the last service for a call of a class that is never sent twice",
            rows["unsafe_11_deep_0.5_failing"]["attempts_a_call"],
            "<=",
            1.0,
        ),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """All runs, one after another, in this process; a mistake that is planted stays in it."""
    if trial.seeded_fault:
        seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
    rows = {name: row(chain, play(chain)) for name, chain in runs(trial.seed, trial.scale).items()}
    return Measurement(claims_of(rows), summary(rows))


EXPERIMENTS = (
    Benchmark(
        "scale-depth",
        "attempts at the last of up to 11 services that call each other, while it fails",
        perform,
        ("no-budget",),
    ),
)
