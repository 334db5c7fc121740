"""Which windows to open, and when: earliest deadline first with backfill, urgent before convenient.

Pure: a `SchedulingProblem` in, a `Schedule` out, the same for the same. The schedule only proposes: the ledger grants.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ryepier.maintenance.placement import Attempt
from ryepier.maintenance.problem import Job, SchedulingProblem
from ryepier.maintenance.schedule import Schedule

MAX_ORDERS = 60  # of requests that are tried where some do not fit
MAX_PLACEMENTS = 4_000  # of converters over all orders, so that a large fleet's schedule is not late


class _JobKey(NamedTuple):
    """The sort key of a job: by priority, then by a criterion, then by age."""

    priority: int
    criterion: int
    submitted_ms: int
    name: str


Criterion = Callable[[SchedulingProblem, Job], int]


def make_schedule(problem: SchedulingProblem) -> Schedule:
    """Return the best schedule that a few orders of the requests give, by `Attempt.score`."""
    best = Attempt(problem, _ordered(problem, _deadline_ms))
    if best.unplaced_requests:
        others = [Attempt(problem, _ordered(problem, criterion)) for criterion in (_slack_ms, _negative_work)]
        best = max(best, *others, key=Attempt.score)
        best = _improve(problem, best)
    return best.schedule()


def _improve(problem: SchedulingProblem, best: Attempt) -> Attempt:
    """Move requests that do not fit before others of their priority, for as long as that raises the score."""
    impossible = {name for name in best.unplaced_names() if Attempt(problem, [best.job(name)]).unplaced_requests}
    converters = sum(len(job.converters) for job in problem.jobs)
    remaining_attempts = min(MAX_ORDERS, MAX_PLACEMENTS // converters)
    orders = _moved_orders(problem, best, impossible)
    while remaining_attempts > 0 and (order := next(orders, None)) is not None:
        attempt = Attempt(problem, order)
        remaining_attempts -= 1
        if attempt.score() > best.score():
            best = attempt
            orders = _moved_orders(problem, best, impossible)
    return best


def _moved_orders(problem: SchedulingProblem, attempt: Attempt, impossible: set[str]) -> Iterator[list[Job]]:
    """Yield the attempt's order with an unplaced request moved to each earlier place among those of its priority."""
    for name in attempt.unplaced_names():
        if name in impossible:
            continue
        job = attempt.job(name)
        others = [one for one in attempt.order if one is not job]
        for place in range(attempt.order.index(job)):
            if problem.priority(attempt.order[place]) == problem.priority(job):
                yield [*others[:place], job, *others[place:]]


def _ordered(problem: SchedulingProblem, criterion: Criterion) -> list[Job]:
    """Return the jobs by priority and, within one, by the criterion."""

    def key(job: Job) -> _JobKey:
        return _JobKey(problem.priority(job), criterion(problem, job), job.submitted_ms, job.request.name)

    return sorted(problem.jobs, key=key)


def _deadline_ms(problem: SchedulingProblem, job: Job) -> int:
    """Return a request's deadline."""
    return job.request.deadline_ms


def _negative_work(problem: SchedulingProblem, job: Job) -> int:
    """Return a request's work, negated so that more goes first."""
    return -job.work()


def _slack_ms(problem: SchedulingProblem, job: Job) -> int:
    """Return by how much a request could start later and still end in time."""
    rounds = -(-len(job.converters) // job.request.max_unavailable)
    return job.request.deadline_ms - problem.desired_start_ms(job) - rounds * job.length_ms
