"""What happens to queries whose attempts are reset, given each sidecar's retry budget."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from ryepier.emulator.records import NEVER, AttemptOutcome, ClientAttempt, ConverterAttempt, RequestOutcome
from ryepier.emulator.world import Effect
from ryepier.experiments.core.contract import Run
from ryepier.experiments.core.quantiles import binomial_quantile

# the smallest retry budget that a sidecar may have; a smaller one retries less and fails the claim
BUDGET_RATIO = 0.2  # retries that a first attempt earns
MAX_BUDGET = 5.0  # retries
SPARE_BUDGET = 2.0  # retries: one is available even if another is in transit between the two processes
MIN_RETRIED_SHARE = 0.98  # of the resets with a spare budget; attempts that never arrived are in no converter's records
QUANTILE_LEVEL = 0.001  # one run in a thousand falls below the bound by chance


@dataclass(frozen=True, slots=True)
class QueryResets:
    """Counts of the queries whose attempts were reset."""

    attempts: int  # of queries
    resets: int  # of those
    with_available_retry: int  # of the resets: the query had attempts left, and its sidecar's budget a retry
    with_spare_budget: int  # of those: the budget was `SPARE_BUDGET` or more
    retried: int  # of those
    retried_queries: int  # queries with a further attempt after a reset
    served_queries: int  # of those

    @property
    def retried_share(self) -> float:
        """Return the retried share of the resets at which a retry was certainly available."""
        return self.retried / max(1, self.with_spare_budget)

    @property
    def served_share(self) -> float:
        """Return the served share of the queries that were retried."""
        return self.served_queries / max(1, self.retried_queries)

    @property
    def min_served_share(self) -> float:
        """Return the share that two further attempts serve, except with a probability of `QUANTILE`.

        By the run's own share of resets. The second further attempt is made only as often as a reset found a retry in
        the budget; a third is not counted on.
        """
        reset_share = self.resets / max(1, self.attempts)
        second_attempt_share = reset_share * self.with_available_retry / max(1, self.resets)
        probability = (1.0 - reset_share) * (1.0 + second_attempt_share)
        return binomial_quantile(self.retried_queries, probability, QUANTILE_LEVEL) / max(1, self.retried_queries)


@dataclass(frozen=True, slots=True, order=True)
class SentAttempt:
    """One attempt of a sidecar, as a converter received it."""

    at_us: int
    sidecar: int
    is_retry: bool


class RetryBudgets:
    """Each sidecar's retry budget over a run, from the attempts that converters received.

    A first attempt earns a share of a retry, a retry costs one, and a budget never exceeds `MAX_BUDGET`.
    """

    def __init__(self, attempts: Iterable[SentAttempt]) -> None:
        """Compute all budgets."""
        self._times_us: dict[int, list[int]] = defaultdict(lambda: [NEVER])
        self._budgets: dict[int, list[float]] = defaultdict(lambda: [MAX_BUDGET])
        for attempt in sorted(attempts):
            change = -1.0 if attempt.is_retry else BUDGET_RATIO
            budgets = self._budgets[attempt.sidecar]
            budgets.append(min(MAX_BUDGET, budgets[-1] + change))
            self._times_us[attempt.sidecar].append(attempt.at_us)

    def lowest_between(self, sidecar: int, from_us: int, until_us: int) -> float:
        """Return the lowest budget from one time until just before another."""
        times_us = self._times_us[sidecar]
        first = bisect.bisect_right(times_us, from_us) - 1
        end = max(first + 1, bisect.bisect_left(times_us, until_us))
        return min(self._budgets[sidecar][first:end])


def find_query_resets(run: Run) -> QueryResets:
    """Count the resets of queries, with the retry budget at each.

    A sidecar decides at some time between a reset and the next event that its converters or its client see, so a retry
    was available only if there was one all that time.
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
        for reset in _find_query_resets(requests[request_id], attempts[request_id], budgets, max_attempts)
    ]
    return _count_resets(query_ids, requests, attempts, resets)


@dataclass(frozen=True, slots=True)
class _Reset:
    """A reset that left its query an attempt."""

    lowest_budget: float  # until the query was retried or given up
    was_retried: bool


def _find_query_resets(
    request: ClientAttempt, query_attempts: Sequence[ConverterAttempt], budgets: RetryBudgets, max_attempts: int
) -> Iterator[_Reset]:
    """Yield the resets of one query that left it an attempt."""
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
) -> QueryResets:
    resets_with_spare_budget = [reset for reset in resets if reset.lowest_budget >= SPARE_BUDGET]
    retried_query_ids = [
        query_id
        for query_id in query_ids
        if any(attempt.outcome is AttemptOutcome.RESET for attempt in attempts[query_id][:-1])
    ]
    return QueryResets(
        attempts=sum(len(attempts[query_id]) for query_id in query_ids),
        resets=sum(attempt.outcome is AttemptOutcome.RESET for query_id in query_ids for attempt in attempts[query_id]),
        with_available_retry=sum(reset.lowest_budget >= 1.0 for reset in resets),
        with_spare_budget=len(resets_with_spare_budget),
        retried=sum(reset.was_retried for reset in resets_with_spare_budget),
        retried_queries=len(retried_query_ids),
        served_queries=sum(requests[query_id].outcome is RequestOutcome.SERVED for query_id in retried_query_ids),
    )
