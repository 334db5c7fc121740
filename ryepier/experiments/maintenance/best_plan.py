"""The best maintenance plan there is, by CP-SAT: what the scheduler's plan is measured against.

OR-Tools is in the development extra only, so it is imported where a plan is asked for.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ryepier.maintenance.problem import Job, Problem

WORK_LIMIT = 1.0  # of the solver's own deterministic seconds: the same plan on a slow machine


@dataclass(frozen=True, slots=True)
class BestPlan:
    """Which requests end by their deadline, and the worth that no plan exceeds. Where the two are equal the plan is
    the best; where the solver ran out of time the bound is still one."""

    feasible: frozenset[str]
    value: int
    bound: int


def best_plan(problem: Problem, value: Callable[[Job], int]) -> BestPlan:
    """The plan whose requests have the greatest worth together."""
    from ortools.sat.python import cp_model

    model = cp_model.CpModel()
    present = {job.request.name: model.new_bool_var(job.request.name) for job in problem.jobs}
    intervals = []  # of (interval, converter, request)
    for job in problem.jobs:
        desired = problem.desired_start_ms(job)
        latest = job.request.deadline_ms - job.length_ms
        if latest < desired:
            model.add(present[job.request.name] == 0)
            continue
        for converter in job.converters:
            start = model.new_int_var(desired, latest, converter.name)
            interval = model.new_optional_fixed_size_interval_var(
                start, job.length_ms, present[job.request.name], converter.name
            )
            intervals.append((interval, converter, job.request.name))
    for held in problem.active_leases:
        for converter in held.converters:
            interval = model.new_fixed_size_interval_var(problem.now_ms, held.until_ms - problem.now_ms, converter.name)
            intervals.append((interval, converter, held.request))
    for limit in problem.limits:
        counted = [(interval, converter) for interval, converter, _ in intervals if limit.applies_to(converter)]
        lost = sum(value for name, value in problem.lost.items() if limit.applies_to(problem.converters[name]))
        demands = [converter.size - problem.lost.get(converter.name, 0) for _, converter in counted]
        model.add_cumulative([interval for interval, _ in counted], demands, max(0, limit.bound - lost))
    for job in problem.jobs:
        own = [interval for interval, _, request in intervals if request == job.request.name]
        model.add_cumulative(own, [1] * len(own), job.request.max_unavailable)
    model.maximize(sum(value(job) * present[job.request.name] for job in problem.jobs))
    solver = cp_model.CpSolver()
    solver.parameters.num_workers = 1
    solver.parameters.random_seed = 1
    solver.parameters.max_deterministic_time = WORK_LIMIT
    status = solver.solve(model)
    if status not in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        return BestPlan(frozenset(), 0, sum(map(value, problem.jobs)))
    feasible = frozenset(name for name, literal in present.items() if solver.value(literal))
    return BestPlan(feasible, round(solver.objective_value), int(solver.best_objective_bound))
