"""What becomes of queries whose attempts are reset, beside the budget of retries that each sidecar has."""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ryepier.emulator.records import NEVER, ConverterAttempt
from ryepier.experiments.core.contract import Run

# The least budget of retries that a sidecar may have; a smaller one sends less again and fails the claim.
BUDGET_RATIO = 0.2  # retries that a first attempt earns
LARGEST_BUDGET = 5.0  # retries
SPARE_BUDGET = 2.0  # retries: with so many one is surely to be had, whatever is on its way between the two processes
LEAST_SENT_AGAIN = 0.98  # of the resets with a spare budget; attempts that never arrived are in no converter's records
QUANTILE = 0.001  # a play in a thousand falls under the bound by chance


@dataclass(frozen=True, slots=True)
class QueryResets:
    """What became of the queries whose attempts were reset."""

    attempts: int  # of queries
    resets: int  # of those
    with_retry: int  # of the resets: the query had attempts left, and its sidecar's budget a retry
    with_spare: int  # of those: the budget was `SPARE_BUDGET` or more
    sent_again: int  # of those
    queries_again: int  # queries that had a further attempt after a reset
    queries_served: int  # of those

    @property
    def share_sent_again(self) -> float:
        """Of the resets at which a retry was surely to be had."""
        return self.sent_again / max(1, self.with_spare)

    @property
    def share_served(self) -> float:
        """Of the queries that were sent again."""
        return self.queries_served / max(1, self.queries_again)

    @property
    def least_served(self) -> float:
        """The share that two further attempts serve, but for `QUANTILE`, at the play's own share of resets; the
        second is made only as often as a reset found a retry in the budget, and a third is not counted on."""
        reset = self.resets / max(1, self.attempts)
        chance = (1.0 - reset) * (1.0 + reset * self.with_retry / max(1, self.resets))
        return binomial_quantile(self.queries_again, chance, QUANTILE) / max(1, self.queries_again)


def binomial_quantile(trials: int, chance: float, level: float) -> int:
    """The least count of successes that is not exceeded with a probability of `level` or more."""
    if not 0.0 < chance < 1.0:
        return trials if chance >= 1.0 else 0
    below = 0.0
    for count in range(trials + 1):
        ways = math.lgamma(trials + 1) - math.lgamma(count + 1) - math.lgamma(trials - count + 1)
        below += math.exp(ways + count * math.log(chance) + (trials - count) * math.log1p(-chance))
        if below >= level:
            return count
    return trials


class Budgets:
    """Each sidecar's budget of retries over a run, as converters saw its attempts: a first attempt earns a share of a
    retry, a further one costs one, and there are never more than a few."""

    def __init__(self, sent: Iterable[tuple[int, int, bool]]) -> None:
        """`sent` has when each attempt came (us), its sidecar, and whether it was a further one."""
        self.times: dict[int, list[int]] = defaultdict(lambda: [NEVER])
        self.budgets: dict[int, list[float]] = defaultdict(lambda: [LARGEST_BUDGET])
        for at_us, sidecar, further in sorted(sent):
            change = -1.0 if further else BUDGET_RATIO
            self.times[sidecar].append(at_us)
            self.budgets[sidecar].append(min(LARGEST_BUDGET, self.budgets[sidecar][-1] + change))

    def least(self, sidecar: int, from_us: int, until_us: int) -> float:
        """The least there was from one moment until just before another."""
        times = self.times[sidecar]
        first = bisect.bisect_right(times, from_us) - 1
        end = max(first + 1, bisect.bisect_left(times, until_us))
        return min(self.budgets[sidecar][first:end])


def query_resets(run: Run) -> QueryResets:
    """Count the resets of queries, beside the budgets. A sidecar decides at some moment between a reset and what its
    converters or its client see next, so a retry was to be had if there was one all that time."""
    tries = {item.request_id: item for item in run.history.client_attempts}
    attempts: dict[str, list[ConverterAttempt]] = defaultdict(list)
    for attempt in run.history.converter_attempts:
        if attempt.request_id in tries:
            attempts[attempt.request_id].append(attempt)
    budgets = Budgets(
        (attempt.first_byte_us, tries[ident].sidecar, number > 0)
        for ident, sent in attempts.items()
        for number, attempt in enumerate(sent)
    )
    queries = {ident for ident in attempts if run.world.classes[tries[ident].request_class].effect == "idempotent"}
    with_retry = with_spare = sent_again = 0
    for ident in queries:
        sent, item = attempts[ident], tries[ident]
        for number, attempt in enumerate(sent[: run.world.sidecars.max_attempts - 1]):
            if attempt.outcome != "reset":
                continue
            again = number + 1 < len(sent)
            until_us = sent[number + 1].first_byte_us if again else item.ended_us
            least = budgets.least(item.sidecar, attempt.ended_us, until_us)
            with_retry += least >= 1.0
            with_spare += least >= SPARE_BUDGET
            sent_again += again and least >= SPARE_BUDGET
    again_queries = [ident for ident in queries if any(one.outcome == "reset" for one in attempts[ident][:-1])]
    return QueryResets(
        attempts=sum(len(attempts[ident]) for ident in queries),
        resets=sum(one.outcome == "reset" for ident in queries for one in attempts[ident]),
        with_retry=with_retry,
        with_spare=with_spare,
        sent_again=sent_again,
        queries_again=len(again_queries),
        queries_served=sum(tries[ident].outcome == "served" for ident in again_queries),
    )
