"""Tests of the claims of `graphql-resets` on retries: the sidecar satisfies them, and faulty variants of it do not."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import msgspec
import pytest

from ryepier.balancer import retries, tuning
from ryepier.balancer.interface import Outcome
from ryepier.balancer.retries import RetryPolicy
from ryepier.balancer.upstream import PendingRequest
from ryepier.emulator import simulated
from ryepier.experiments.core.contract import Run
from ryepier.experiments.core.quantiles import binomial_quantile
from ryepier.experiments.core.worlds import load
from ryepier.experiments.graphql.reset_queries import (
    BUDGET_RATIO,
    MIN_RETRIED_SHARE,
    QueryResetCounts,
    count_query_resets,
)

SHORT_DURATION_S = 4.0
SKIPPED_QUERY_INTERVAL = 10  # one in this many reset queries is not retried by the faulty sidecar


def simulate_resets() -> QueryResetCounts:
    """Simulate a short run of the experiment's world, and return the counts of its resets."""
    world = msgspec.structs.replace(load("graphql-resets"), duration_s=SHORT_DURATION_S)
    return count_query_resets(Run(world, 1, simulated.run_world(world, 1), [], [], Path()))


def claims_hold(resets: QueryResetCounts) -> bool:
    return resets.retried_share >= MIN_RETRIED_SHARE and resets.served_share >= resets.min_served_share


def test_sidecar_retries_queries_as_far_as_its_budget_allows() -> None:
    resets = simulate_resets()
    assert resets.spare_budget_count >= 100
    assert claims_hold(resets)


def test_sidecar_that_retries_no_reset_query_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        retries,
        "RETRIABLE_OUTCOMES",
        tuple(outcome for outcome in retries.RETRIABLE_OUTCOMES if outcome is not Outcome.RESET),
    )
    assert simulate_resets().retried_share == 0


def test_sidecar_that_retries_only_some_reset_queries_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    original_may_send = RetryPolicy.may_send

    def may_send_with_skips(self: RetryPolicy, request: PendingRequest, now_us: int) -> bool:
        return original_may_send(self, request, now_us) and not (
            request.attempts and request.event.request % SKIPPED_QUERY_INTERVAL == 0
        )

    monkeypatch.setattr(RetryPolicy, "may_send", may_send_with_skips)
    assert not claims_hold(simulate_resets())


def test_sidecar_with_a_smaller_retry_budget_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tuning, "RETRY_BUDGET_RATIO", BUDGET_RATIO / 2)
    assert not claims_hold(simulate_resets())


def test_lost_responses_of_retried_queries_are_detected() -> None:
    valid_resets = QueryResetCounts(
        attempt_count=1000,
        reset_count=200,
        retriable_count=200,
        spare_budget_count=200,
        retried_count=200,
        retried_query_count=200,
        served_query_count=190,
    )
    assert claims_hold(valid_resets)
    assert not claims_hold(dataclasses.replace(valid_resets, served_query_count=180))


@pytest.mark.parametrize(
    ("trials", "probability", "level", "quantile"),
    [
        (10, 0.5, 0.0009, 0),
        (10, 0.5, 0.001, 1),
        (10, 0.5, 0.5, 5),
        (700, 0.8, 0.001, 526),
        (5, 1.0, 0.1, 5),
        (5, 0.0, 0.9, 0),
    ],
)
def test_quantile_of_the_binomial_distribution(trials: int, probability: float, level: float, quantile: int) -> None:
    assert binomial_quantile(trials, probability, level) == quantile
