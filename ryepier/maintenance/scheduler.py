"""Schedules maintenance windows by priority, then earliest deadline first, with backfill.

Deterministic and without I/O: equal problems give equal schedules. A schedule is only a proposal; the ledger decides
which leases are granted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ryepier.maintenance.placement import PlacementAttempt
from ryepier.maintenance.problem import Job, SchedulingProblem
from ryepier.maintenance.schedule import Schedule

MAX_ORDERS = 60  # number of request orders tried if some requests cannot be placed
MAX_PLACEMENTS = 4_000  # converters placed in all tried orders together; bounds the scheduling time for large fleets


class _JobKey(NamedTuple):
    """The sort key of a job: priority, then a criterion, then the time of submission."""

    priority: int
    criterion: int
    submitted_at_ms: int
    name: str


Criterion = Callable[[SchedulingProblem, Job], int]  # within a priority, jobs with lower values are placed first


def make_schedule(problem: SchedulingProblem) -> Schedule:
    """Return the best schedule found over several orders of the requests, compared by `PlacementAttempt.score`."""
    best = PlacementAttempt(problem, _sorted_jobs(problem, _deadline_ms))
    if best.unplaced_requests:
        alternatives = [
            PlacementAttempt(problem, _sorted_jobs(problem, criterion)) for criterion in (_slack_ms, _negative_work)
        ]
        best = max(best, *alternatives, key=PlacementAttempt.score)
        best = _improve_order(problem, best)
    return best.schedule()


def _improve_order(problem: SchedulingProblem, best: PlacementAttempt) -> PlacementAttempt:
    """Try to move unplaced requests ahead of others of the same priority, and keep each order that raises the score.

    Stops after `MAX_ORDERS` orders or about `MAX_PLACEMENTS` placements.
    """
    infeasible_names = {
        name for name in best.unplaced_names() if PlacementAttempt(problem, [best.job(name)]).unplaced_requests
    }
    converter_count = sum(len(job.converters) for job in problem.jobs)
    remaining_attempts = min(MAX_ORDERS, MAX_PLACEMENTS // converter_count)
    orders = _orders_with_unplaced_moved_earlier(problem, best, infeasible_names)
    while remaining_attempts > 0 and (order := next(orders, None)) is not None:
        attempt = PlacementAttempt(problem, order)
        remaining_attempts -= 1
        if attempt.score() > best.score():
            best = attempt
            orders = _orders_with_unplaced_moved_earlier(problem, best, infeasible_names)
    return best


def _orders_with_unplaced_moved_earlier(
    problem: SchedulingProblem, attempt: PlacementAttempt, infeasible_names: set[str]
) -> Iterator[list[Job]]:
    """Yield variants of the attempt's order, each with one unplaced request moved before an earlier job.

    Only jobs of the same priority are overtaken in this way, and requests in `infeasible_names` are not moved.
    """
    for name in attempt.unplaced_names():
        if name in infeasible_names:
            continue
        job = attempt.job(name)
        other_jobs = [other for other in attempt.order if other is not job]
        for position in range(attempt.order.index(job)):
            if problem.priority(attempt.order[position]) == problem.priority(job):
                yield [*other_jobs[:position], job, *other_jobs[position:]]


def _sorted_jobs(problem: SchedulingProblem, criterion: Criterion) -> list[Job]:
    """Return the jobs sorted by priority and, within a priority, by the criterion."""

    def key(job: Job) -> _JobKey:
        return _JobKey(problem.priority(job), criterion(problem, job), job.submitted_at_ms, job.request.name)

    return sorted(problem.jobs, key=key)


def _deadline_ms(problem: SchedulingProblem, job: Job) -> int:
    """Return the deadline of a job's request, for use as a sorting criterion."""
    return job.request.deadline_ms


def _negative_work(problem: SchedulingProblem, job: Job) -> int:
    """Return the negated work of a job, so that jobs with more work sort first."""
    return -job.work()


def _slack_ms(problem: SchedulingProblem, job: Job) -> int:
    """Return by how much a job could start later and still meet its deadline."""
    round_count = -(-len(job.converters) // job.request.max_unavailable)
    return job.request.deadline_ms - problem.desired_start_ms(job) - round_count * job.length_ms
