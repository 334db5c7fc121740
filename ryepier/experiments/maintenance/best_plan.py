"""Computes the optimal maintenance plan with the CP-SAT solver, as a reference for the scheduler's plan.

OR-Tools is a dependency of the development extra only, so it is imported inside the function that uses it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ryepier.maintenance.agreement import Converter
from ryepier.maintenance.problem import Job, SchedulingProblem

MAX_SOLVER_TIME = 1.0  # in the solver's deterministic seconds, so that a slow machine gives the same plan


@dataclass(frozen=True, slots=True)
class BestPlan:
    """The requests that end by their deadline, their total value, and an upper bound on the value of any plan.

    If `value` equals `bound`, the plan is optimal. The bound also holds if the solver ran out of time.
    """

    feasible: frozenset[str]
    value: int
    bound: int


@dataclass(frozen=True, slots=True)
class _Outage:
    """An interval variable of the model, during which a converter is out of service for a request."""

    interval: Any
    converter: Converter
    request: str


def best_plan(problem: SchedulingProblem, value: Callable[[Job], int]) -> BestPlan:
    """Return the plan with the greatest total value that the solver found within its time limit."""
    from ortools.sat.python import cp_model

    model = cp_model.CpModel()
    presence = {job.request.name: model.new_bool_var(job.request.name) for job in problem.jobs}
    outages = [outage for job in problem.jobs for outage in _job_outages(model, problem, job, presence)]
    outages += _lease_outages(model, problem)
    _add_limits(model, problem, outages)
    model.maximize(sum(value(job) * presence[job.request.name] for job in problem.jobs))
    solver = cp_model.CpSolver()
    solver.parameters.num_workers = 1
    solver.parameters.random_seed = 1
    solver.parameters.max_deterministic_time = MAX_SOLVER_TIME
    status = solver.solve(model)
    if status not in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        return BestPlan(frozenset(), 0, sum(map(value, problem.jobs)))
    feasible = frozenset(name for name, literal in presence.items() if solver.value(literal))
    return BestPlan(feasible, round(solver.objective_value), int(solver.best_objective_bound))


def _job_outages(model: Any, problem: SchedulingProblem, job: Job, presence: dict[str, Any]) -> list[_Outage]:
    """Add and return the optional intervals of a request. Exclude a request that cannot end by its deadline."""
    name = job.request.name
    desired_ms = problem.desired_start_ms(job)
    latest_start_ms = job.request.deadline_ms - job.length_ms
    if latest_start_ms < desired_ms:
        model.add(presence[name] == 0)
        return []
    outages = []
    for converter in job.converters:
        start = model.new_int_var(desired_ms, latest_start_ms, converter.name)
        interval = model.new_optional_fixed_size_interval_var(start, job.length_ms, presence[name], converter.name)
        outages.append(_Outage(interval, converter, name))
    return outages


def _lease_outages(model: Any, problem: SchedulingProblem) -> list[_Outage]:
    """Add and return the fixed intervals of the active leases."""
    outages = []
    for lease in problem.active_leases:
        for converter in lease.converters:
            length_ms = lease.expected_end_ms - problem.now_ms
            interval = model.new_fixed_size_interval_var(problem.now_ms, length_ms, converter.name)
            outages.append(_Outage(interval, converter, lease.request))
    return outages


def _add_limits(model: Any, problem: SchedulingProblem, outages: list[_Outage]) -> None:
    """Bound the unavailable capacity under each limit, and the unavailable converters of each request."""
    for limit in problem.limits:
        limited_outages = [outage for outage in outages if limit.applies_to(outage.converter)]
        lost_capacity = sum(
            amount for name, amount in problem.lost_by_converter.items() if limit.applies_to(problem.converters[name])
        )
        demands = [
            outage.converter.size - problem.lost_by_converter.get(outage.converter.name, 0)
            for outage in limited_outages
        ]
        model.add_cumulative(
            [outage.interval for outage in limited_outages], demands, max(0, limit.bound - lost_capacity)
        )
    for job in problem.jobs:
        intervals = [outage.interval for outage in outages if outage.request == job.request.name]
        model.add_cumulative(intervals, [1] * len(intervals), job.request.max_unavailable)
