"""Experiment `graphql-resets`: while connections are reset, no mutation runs twice, and queries are retried.

Clients send queries and mutations in many GraphQL notations; converters reset connections before and after they have
executed a request. The claims require enough requests and resets for a significant result, that no mutation ran twice,
a high service level of queries, and that queries are retried as far as the retry budget allows. The share of the
retried queries that has to be served is a quantile of the binomial distribution for the share of resets in the run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import msgspec

from ryepier.emulator.records import NEVER, AttemptOutcome, RequestOutcome
from ryepier.emulator.world import Effect, World
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import load
from ryepier.experiments.graphql.reset_queries import MIN_RETRIED_SHARE, count_query_resets

WORLD_NAME = "graphql-resets"
FULL_RATE_PER_S = 2000.0
FULL_DURATION_S = 52.0
FULL_SIDECARS = 3
MIN_REQUESTS = 5_000
MIN_REQUESTS_AT_FULL_SCALE = 100_000
MIN_RESET_SHARE = 0.05  # share of the requests with at least one reset
MIN_QUERY_SERVICE = 0.98


def _world(scale: Scale) -> World:
    world = load(WORLD_NAME)
    if scale is Scale.SMALL:
        return world
    replace = msgspec.structs.replace
    duration_factor = FULL_DURATION_S / world.duration_s
    return replace(
        world,
        duration_s=FULL_DURATION_S,
        clients=replace(world.clients, rate_per_s=FULL_RATE_PER_S),
        faults=[replace(fault, for_s=fault.for_s * duration_factor) for fault in world.faults],
        sidecars=replace(world.sidecars, count=FULL_SIDECARS),
        harness=replace(world.harness, client_processes=2, converter_processes=3),
    )


def _effects(run: Run) -> dict[str, Effect]:
    """Return the effect of each request's class, by request id."""
    return {
        request.request_id: run.world.classes[request.request_class].effect for request in run.history.client_attempts
    }


def count_duplicated_mutations(run: Run) -> int:
    """Return how many at-most-once requests were executed more than once, according to the converters' records."""
    effects = _effects(run)
    executions = Counter(
        attempt.request_id for attempt in run.history.converter_attempts if attempt.started_us != NEVER
    )
    return sum(count > 1 and effects.get(request_id) is Effect.AT_MOST_ONCE for request_id, count in executions.items())


def _figures(run: Run) -> Mapping[str, float]:
    effects = _effects(run)
    request_count = len(run.history.client_attempts)
    reset_ids = {
        attempt.request_id for attempt in run.history.converter_attempts if attempt.outcome is AttemptOutcome.RESET
    }
    served_ids = {
        request.request_id for request in run.history.client_attempts if request.outcome is RequestOutcome.SERVED
    }
    reset_query_ids = [request_id for request_id in reset_ids if effects.get(request_id) is Effect.IDEMPOTENT]
    return {
        "requests": request_count,
        "reset_share": len(reset_ids) / max(1, request_count),
        "duplicated_mutations": count_duplicated_mutations(run),
        "queries_reset": len(reset_query_ids),
        "queries_reset_and_served": sum(request_id in served_ids for request_id in reset_query_ids)
        / max(1, len(reset_query_ids)),
        "mutations_reset": sum(effects.get(request_id) is Effect.AT_MOST_ONCE for request_id in reset_ids),
    }


def _claims(run: Run) -> list[Claim]:
    run_figures = _figures(run)
    resets = count_query_resets(run)
    is_full_scale = run.world.duration_s >= FULL_DURATION_S
    min_requests = MIN_REQUESTS_AT_FULL_SCALE if is_full_scale else MIN_REQUESTS
    classes = run.world.classes
    query_operations = [
        operation
        for operation in run.operations
        if classes[operation.first_attempt.request_class].effect is Effect.IDEMPOTENT
    ]
    retried_claim_name = "resets of queries, with retries to spare, that were sent again"
    served_claim_name = "queries sent again after a reset that were served"
    return [
        Claim("requests", run_figures["requests"], ">=", min_requests),
        Claim(
            "share of requests that were reset after they were sent", run_figures["reset_share"], ">=", MIN_RESET_SHARE
        ),
        Claim("mutations that ran twice", run_figures["duplicated_mutations"], "==", 0),
        Claim("service of queries", figures.service_level(query_operations), ">=", MIN_QUERY_SERVICE),
        Claim(retried_claim_name, resets.retried_share, ">=", MIN_RETRIED_SHARE),
        Claim(served_claim_name, resets.served_share, ">=", resets.min_served_share),
    ]


EXPERIMENT = Experiment(
    name="graphql-resets",
    description="mutations in many guises while converters reset what they have run",
    world=_world,
    claims=_claims,
    seeded_faults=("first-word",),
    extra_figures=_figures,
)
