"""Counts the queries that were retried after a reset, considering the retry budget of each sidecar."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from ryepier.emulator.records import NEVER, AttemptOutcome, ClientAttempt, ConverterAttempt, RequestOutcome
from ryepier.emulator.world import Effect
from ryepier.experiments.core.contract import Run
from ryepier.experiments.core.quantiles import binomial_quantile

# The smallest retry budget that satisfies the claim: with a smaller one, a sidecar retries too few queries.
BUDGET_RATIO = 0.2  # retries added to the budget per first attempt
MAX_BUDGET = 5.0  # retries that the budget allows at most
# With this budget (in retries), one retry is available even if another was sent that no converter has received yet.
SPARE_BUDGET = 2.0
# The share of the resets with a spare budget that must be followed by a retry. It is less than 1, because a retry that
# never reached a converter is not recorded.
MIN_RETRIED_SHARE = 0.98
QUANTILE_LEVEL = 0.001  # probability with which a correct sidecar falls below the bound by chance


@dataclass(frozen=True, slots=True)
class QueryResetCounts:
    """Counts of retried queries, of the attempts of all queries, and of the attempts that were reset."""

    attempt_count: int  # attempts of all queries, as received by converters
    reset_count: int  # those attempts that were reset
    retriable_count: int  # resets after which the query had an attempt left and the budget at least one retry
    spare_budget_count: int  # resets among the retriable ones with a budget of at least `SPARE_BUDGET`
    retried_count: int  # resets among those with a spare budget that were followed by a retry
    retried_query_count: int  # queries with a further attempt after a reset
    served_query_count: int  # queries among the retried ones that were served

    @property
    def retried_share(self) -> float:
        """Return the share of the resets with a spare budget that were followed by a retry."""
        return self.retried_count / max(1, self.spare_budget_count)

    @property
    def served_share(self) -> float:
        """Return the share of the retried queries that were served."""
        return self.served_query_count / max(1, self.retried_query_count)

    @property
    def min_served_share(self) -> float:
        """Return the lower bound on `served_share`, assuming at most two retries per query.

        The bound is the quantile at `QUANTILE_LEVEL` of a binomial distribution. A query
        succeeds if its first retry is not reset, or if that is reset but a second retry is possible and is not reset. A
        retry is reset with the frequency of resets in the run, and a second retry is possible with the frequency of
        resets after which the query had an attempt left and the budget a retry. Third retries are ignored.
        """
        reset_share = self.reset_count / max(1, self.attempt_count)
        second_retry_share = reset_share * self.retriable_count / max(1, self.reset_count)
        probability = (1.0 - reset_share) * (1.0 + second_retry_share)
        return binomial_quantile(self.retried_query_count, probability, QUANTILE_LEVEL) / max(
            1, self.retried_query_count
        )


@dataclass(frozen=True, slots=True, order=True)
class SentAttempt:
    """An attempt of a sidecar, with the time at which a converter received it."""

    at_us: int
    sidecar: int
    is_retry: bool


class RetryBudgets:
    """Each sidecar's retry budget over the time of a run, computed from the attempts that converters received.

    A first attempt adds `BUDGET_RATIO` to the budget, a retry takes 1 from it, and it never exceeds `MAX_BUDGET`.
    """

    def __init__(self, attempts: Iterable[SentAttempt]) -> None:
        """Compute the budgets of all sidecars, which start at `MAX_BUDGET`, from attempts in any order."""
        self._times_us: dict[int, list[int]] = defaultdict(lambda: [NEVER])
        self._budgets: dict[int, list[float]] = defaultdict(lambda: [MAX_BUDGET])
        for attempt in sorted(attempts):
            budget_change = -1.0 if attempt.is_retry else BUDGET_RATIO
            budgets = self._budgets[attempt.sidecar]
            budgets.append(min(MAX_BUDGET, budgets[-1] + budget_change))
            self._times_us[attempt.sidecar].append(attempt.at_us)

    def lowest_between(self, sidecar: int, from_us: int, until_us: int) -> float:
        """Return the lowest budget of a sidecar from `from_us` (inclusive) to `until_us` (exclusive)."""
        times_us = self._times_us[sidecar]
        first_index = bisect.bisect_right(times_us, from_us) - 1
        end_index = max(first_index + 1, bisect.bisect_left(times_us, until_us))
        return min(self._budgets[sidecar][first_index:end_index])


def count_query_resets(run: Run) -> QueryResetCounts:
    """Count the resets of queries in a run, those after which the retry budget allowed a retry, and those retried.

    A sidecar decides on a retry at an unknown time after the reset, and before a converter receives the retry or the
    client the final answer. So a retry counts as available only if the budget allowed one during all of this time.
    """
    requests = {request.request_id: request for request in run.history.client_attempts}
    attempts: dict[str, list[ConverterAttempt]] = defaultdict(list)
    for attempt in run.history.converter_attempts:
        if attempt.request_id in requests:
            attempts[attempt.request_id].append(attempt)
    budgets = RetryBudgets(
        SentAttempt(attempt.first_byte_us, requests[request_id].sidecar, number > 0)
        for request_id, query_attempts in attempts.items()
        for number, attempt in enumerate(query_attempts)
    )
    query_ids = [
        request_id
        for request_id in attempts
        if run.world.classes[requests[request_id].request_class].effect is Effect.IDEMPOTENT
    ]
    max_attempts = run.world.sidecars.max_attempts
    resets = [
        reset
        for request_id in query_ids
        for reset in _resets_of_query(requests[request_id], attempts[request_id], budgets, max_attempts)
    ]
    return _count_resets(query_ids, requests, attempts, resets)


@dataclass(frozen=True, slots=True)
class _Reset:
    """A reset after which the query had at least one attempt left."""

    lowest_budget: float  # the sidecar's lowest budget between the reset and the retry, or the end of the query
    was_retried: bool


def _resets_of_query(
    request: ClientAttempt, query_attempts: Sequence[ConverterAttempt], budgets: RetryBudgets, max_attempts: int
) -> Iterator[_Reset]:
    """Yield the resets of one query after which it had at least one attempt left."""
    for number, attempt in enumerate(query_attempts[: max_attempts - 1]):
        if attempt.outcome is not AttemptOutcome.RESET:
            continue
        was_retried = number + 1 < len(query_attempts)
        until_us = query_attempts[number + 1].first_byte_us if was_retried else request.ended_us
        yield _Reset(budgets.lowest_between(request.sidecar, attempt.ended_us, until_us), was_retried)


def _count_resets(
    query_ids: Sequence[str],
    requests: Mapping[str, ClientAttempt],
    attempts: Mapping[str, Sequence[ConverterAttempt]],
    resets: Sequence[_Reset],
) -> QueryResetCounts:
    resets_with_spare_budget = [reset for reset in resets if reset.lowest_budget >= SPARE_BUDGET]
    retried_query_ids = [
        query_id
        for query_id in query_ids
        if any(attempt.outcome is AttemptOutcome.RESET for attempt in attempts[query_id][:-1])
    ]
    return QueryResetCounts(
        attempt_count=sum(len(attempts[query_id]) for query_id in query_ids),
        reset_count=sum(
            attempt.outcome is AttemptOutcome.RESET for query_id in query_ids for attempt in attempts[query_id]
        ),
        retriable_count=sum(reset.lowest_budget >= 1.0 for reset in resets),
        spare_budget_count=len(resets_with_spare_budget),
        retried_count=sum(reset.was_retried for reset in resets_with_spare_budget),
        retried_query_count=len(retried_query_ids),
        served_query_count=sum(requests[query_id].outcome is RequestOutcome.SERVED for query_id in retried_query_ids),
    )
