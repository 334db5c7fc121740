"""Which windows to open, and when: earliest deadline first with backfill, urgent before convenient.

Pure: a `Problem` in, a `Schedule` out, the same for the same. The schedule only proposes: the ledger grants.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ryepier.maintenance.placement import Attempt, Schedule
from ryepier.maintenance.problem import Job, Problem

MAX_ORDERS = 60  # of requests that are tried where some do not fit
MAX_PLACEMENTS = 4_000  # of converters over all of them, so that a large fleet's schedule is not late


def make_schedule(problem: Problem) -> Schedule:
    """The best schedule that a few orders of the requests give, by `Attempt.score`."""
    best = Attempt(problem, sorted(problem.jobs, key=_by_deadline(problem)))
    if best.unplaced_requests:
        orders = (_by_slack(problem), _by_work(problem))
        best = max(best, *(Attempt(problem, sorted(problem.jobs, key=key)) for key in orders), key=Attempt.score)
        best = _improve(problem, best)
    return best.schedule()


def _improve(problem: Problem, best: Attempt) -> Attempt:
    """Move requests that do not fit before others of their priority, for as long as that is worth more."""
    hopeless = {name for name in best.unplaced_names() if Attempt(problem, [best.job(name)]).unplaced_requests}
    converters = sum(len(job.converters) for job in problem.jobs)
    attempts_left = min(MAX_ORDERS, MAX_PLACEMENTS // converters)
    orders = _moved_orders(problem, best, hopeless)
    while attempts_left > 0 and (order := next(orders, None)) is not None:
        attempt = Attempt(problem, order)
        attempts_left -= 1
        if attempt.score() > best.score():
            best = attempt
            orders = _moved_orders(problem, best, hopeless)
    return best


def _moved_orders(problem: Problem, attempt: Attempt, hopeless: set[str]) -> Iterator[list[Job]]:
    """The attempt's order with one of its misfits moved to each place before it, among those of its priority."""
    for name in attempt.unplaced_names():
        if name in hopeless:
            continue
        job = attempt.job(name)
        for place in range(attempt.order.index(job)):
            if problem.priority(attempt.order[place]) == problem.priority(job):
                rest = [one for one in attempt.order if one is not job]
                yield [*rest[:place], job, *rest[place:]]


def _by_deadline(problem: Problem) -> Callable[[Job], tuple[int, int, int, str]]:
    return lambda job: (problem.priority(job), job.request.deadline_ms, job.submitted_ms, job.request.name)


def _by_slack(problem: Problem) -> Callable[[Job], tuple[int, int, int, str]]:
    return lambda job: (problem.priority(job), _slack(problem, job), job.submitted_ms, job.request.name)


def _by_work(problem: Problem) -> Callable[[Job], tuple[int, int, int, str]]:
    return lambda job: (problem.priority(job), -job.work(), job.submitted_ms, job.request.name)


def _slack(problem: Problem, job: Job) -> int:
    """By how much a request could start later and still end in time."""
    rounds = -(-len(job.converters) // job.request.max_unavailable)
    return job.request.deadline_ms - problem.desired_start_ms(job) - rounds * job.length_ms
