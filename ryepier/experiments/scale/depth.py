"""`scale-depth`: how many attempts reach the last service of a chain while it fails, by the depth of the chain?

The sidecars of each hop may retry a fifth of their requests. If all of them did, the attempts at the last service would
multiply by 1.2 per hop, by 7.4 over 11 hops. Chains of up to 11 services run in virtual time, so no figure depends on
the machine. At the greatest depth, further runs have a shorter deadline, the same latency objective at every hop, or a
non-idempotent class. Claims: no run is aborted, every call has an answer, attempts at the last service stay within the
retry budgets of all hops, and a non-idempotent class is never retried.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ryepier.balancer.interface import Idempotency
from ryepier.balancer.tuning import MAX_RETRY_BUDGET, RETRY_BUDGET_RATIO
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.scale import slopes
from ryepier.experiments.scale.chains import Chain, ChainOutcome, run_chain

DEPTHS = (1, 3, 7, 11)
FAILING_SHARES = (0.1, 0.5, 1.0)  # shares of the attempts at the last service that fail
VARIED_FAILING_SHARE = 0.5  # failing share in the runs with another deadline, objective or class
CALL_COUNTS: dict[Scale, int] = {Scale.SMALL: 300, Scale.FULL: 3000}
RATE_PER_S = 100.0
SHORT_DEADLINE_US = 150_000  # nearly used up by a chain of 11 hops at 10 ms per hop
FIXED_OBJECTIVE_US = 150_000  # latency objective of every hop, independent of the number of hops after it
MAX_ATTEMPTS_PER_CALL = 20  # at the last service; runs that reach it are aborted, so their figures are lower bounds
NON_IDEMPOTENT_RUN = "unsafe_11_deep_0.5_failing"
US_PER_MS = 1000


def max_attempts_per_call(chain: Chain, call_count: int) -> float:
    """Return the highest number of attempts at the last service, per call, that the retry budgets allow.

    The sidecars of a hop start with a budget of a few retries, and earn a fraction of a retry with each call.
    """
    attempts = float(call_count)
    for _ in range(chain.depth):
        attempts = (1.0 + RETRY_BUDGET_RATIO) * attempts + MAX_RETRY_BUDGET * chain.instance_count
    return attempts / call_count


@dataclass(frozen=True, slots=True)
class ChainFigures:
    """The figures of one run. The names of the fields become parts of the figures' names."""

    attempts_a_call: float  # at the last service, per call of a first caller
    theory: float = 0.0  # attempts per call if every hop used its whole retry budget
    over_bound: float = 0.0  # attempts per call, divided by the highest number that the retry budgets allow
    attempts_a_call_of_the_last_hop: float = 0.0  # at the last service, per call of the service before it
    served_share: float = 0.0
    answered_share: float = 0.0
    longest_ms: float = 0.0
    broken_off: float = 0.0

    @classmethod
    def from_outcome(cls, chain: Chain, outcome: ChainOutcome) -> ChainFigures:
        """Calculate the figures of a run from its counts."""
        attempts_per_call = outcome.attempts[-1] / chain.call_count
        return cls(
            attempts_a_call=attempts_per_call,
            theory=(1.0 + RETRY_BUDGET_RATIO) ** chain.depth,
            over_bound=attempts_per_call / max_attempts_per_call(chain, chain.call_count),
            attempts_a_call_of_the_last_hop=outcome.attempts[-1] / max(1, outcome.calls[-1]),
            served_share=outcome.served_count / chain.call_count,
            answered_share=outcome.answered_count / chain.call_count,
            longest_ms=outcome.longest_wait_us / US_PER_MS,
            broken_off=float(outcome.is_aborted),
        )


def _run_name(depth: int, failing_share: float) -> str:
    return f"{depth}_deep_{failing_share:g}_failing"


def _make_chain(depth: int, failing_share: float, seed: int, scale: Scale) -> Chain:
    call_count = CALL_COUNTS[scale]
    return Chain(depth, failing_share, call_count, RATE_PER_S, seed, max_attempts=MAX_ATTEMPTS_PER_CALL * call_count)


def make_chains(seed: int, scale: Scale) -> dict[str, Chain]:
    """Return the chains by name: each depth with each share of failures, and variations of the deepest chain."""
    chains = {
        _run_name(depth, failing_share): _make_chain(depth, failing_share, seed, scale)
        for failing_share in FAILING_SHARES
        for depth in DEPTHS
    }
    deepest_chain = _make_chain(DEPTHS[-1], VARIED_FAILING_SHARE, seed, scale)
    replace = msgspec.structs.replace
    return chains | {
        NON_IDEMPOTENT_RUN: replace(deepest_chain, idempotency=Idempotency.NON_IDEMPOTENT),
        "same_aim_11_deep_0.5_failing": replace(deepest_chain, fixed_objective_us=FIXED_OBJECTIVE_US),
        "short_11_deep_0.5_failing": replace(deepest_chain, deadline_us=SHORT_DEADLINE_US),
    }


def summarize(runs: Mapping[str, ChainFigures]) -> dict[str, float]:
    """Return the figures of all runs, and for each share of failures the factor by which a hop multiplies attempts.

    A line is fitted to the logarithms of attempts per call by depth, and the factor is the exponential of its slope.
    """
    figures: dict[str, float] = {}
    for name, run_figures in runs.items():
        figures |= {f"{field}_{name}": value for field, value in dataclasses.asdict(run_figures).items()}
    for failing_share in FAILING_SHARES:
        logarithms = [math.log(runs[_run_name(depth, failing_share)].attempts_a_call) for depth in DEPTHS]
        slope = slopes.fit(DEPTHS, logarithms)
        figures[f"factor_a_hop_{failing_share:g}_failing"] = math.exp(slope.per_unit)
        for key, value in msgspec.to_builtins(slope).items():
            figures[f"fit_log_attempts_{failing_share:g}_failing_{key}"] = float(value)
    return figures


def make_claims(runs: Mapping[str, ChainFigures]) -> list[Claim]:
    """Return the claims on the figures of all runs."""
    aborted_count = sum(run_figures.broken_off for run_figures in runs.values())
    lowest_answered_share = min(run_figures.answered_share for run_figures in runs.values())
    highest_over_bound = max(run_figures.over_bound for run_figures in runs.values())
    bound_claim_name = "attempts at the last service over what the hops' budgets allow, the most of all runs"
    non_idempotent_claim_name = "attempts at the last service for a call of a class that is never sent twice"
    return [
        Claim("runs broken off, as attempts had no end", aborted_count, "==", 0),
        Claim("least share of calls that had an answer", lowest_answered_share, ">=", 1.0),
        Claim(bound_claim_name, highest_over_bound, "<=", 1.0),
        Claim(non_idempotent_claim_name, runs[NON_IDEMPOTENT_RUN].attempts_a_call, "<=", 1.0),
    ]


def measure(trial: TrialConfig) -> Measurement:
    """Run all chains in this process. A seeded fault stays installed in the process afterwards."""
    if trial.seeded_fault:
        seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
    chains = make_chains(trial.seed, trial.scale)
    runs = {name: ChainFigures.from_outcome(chain, run_chain(chain)) for name, chain in chains.items()}
    return Measurement(make_claims(runs), summarize(runs))


EXPERIMENT = Benchmark(
    name="scale-depth",
    description="attempts at the last of up to 11 services that call each other, while it fails",
    measure=measure,
    seeded_faults=("no-budget",),
)
