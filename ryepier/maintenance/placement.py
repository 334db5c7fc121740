"""Places the outages of converters one by one, at the earliest time from which every limit holds until the end.

An outage ends when the converter is warm again. A request may fill a gap between requests that were placed before it,
but never moves them. Windows of the previous schedule that are about to start are placed first, at the same time as
before. Times are in milliseconds, capacities in thousandths.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ryepier.maintenance.agreement import Converter, format_capacity
from ryepier.maintenance.commands import Priority
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.problem import Job, SchedulingProblem, Window
from ryepier.maintenance.profile import UsageProfile
from ryepier.maintenance.schedule import DelayedRequest, Schedule, UnplacedRequest

FREEZE_MS = 30_000  # new requests do not move windows that start within this time


@dataclass(frozen=True, slots=True)
class Placement:
    """The interval in which a window or a lease has one converter out of service."""

    holder: str  # "window REQUEST" or "lease NAME", for messages
    request: str
    converter: Converter
    start_ms: int
    end_ms: int


class Score(NamedTuple):
    """The score of a placement attempt; greater is better.

    Scores are compared by the placed work of each priority, most urgent first, and then by the sum of all end times,
    negated because earlier ends are better.
    """

    work: tuple[int, ...]
    negative_end_sum_ms: int


class _GapConstraint(NamedTuple):
    """A usage profile, and the highest level at which there is still room for a certain converter."""

    profile: UsageProfile
    max_level: int


class PlacementAttempt:
    """The result of placing all requests once, in a given order."""

    def __init__(self, problem: SchedulingProblem, order: list[Job]) -> None:
        """Place the active leases of `problem`, its windows that are about to start, and then the jobs in `order`."""
        self.problem = problem
        self.order = order
        self.unplaced_requests: list[UnplacedRequest] = []
        self.delayed_requests: list[DelayedRequest] = []
        self._placements: list[Placement] = []
        self._placements_by_request: dict[str, list[Placement]] = {}
        self._usage = {limit: UsageProfile(self._lost_capacity(limit)) for limit in problem.limits}
        self._concurrent_outages = {job.request.name: UsageProfile(0) for job in order}
        self._charge_active_leases()
        frozen_placements = self._place_frozen_windows()
        for job in order:
            self._place_job(job, frozen_placements.get(job.request.name, []))

    def job(self, name: str) -> Job:
        """Return the job of the request called `name`."""
        return next(job for job in self.order if job.request.name == name)

    def unplaced_names(self) -> list[str]:
        """Return the names of the requests that could not be placed."""
        return [unplaced_request.request for unplaced_request in self.unplaced_requests]

    def score(self) -> Score:
        """Return the score by which attempts are compared."""
        unplaced_names = set(self.unplaced_names())
        work = [0] * len(Priority)
        for job in self.order:
            if job.request.name not in unplaced_names:
                work[self.problem.priority(job)] += job.work()
        end_sum_ms = sum(
            placement.end_ms for placements in self._placements_by_request.values() for placement in placements
        )
        return Score(tuple(work), -end_sum_ms)

    def schedule(self) -> Schedule:
        """Return the schedule of this attempt, with its windows in the order of their start times."""
        windows = []
        for request, placements in self._placements_by_request.items():
            intervals = sorted({(placement.start_ms, placement.end_ms) for placement in placements})
            for start_ms, end_ms in intervals:
                names = tuple(placement.converter.name for placement in placements if placement.start_ms == start_ms)
                windows.append(Window(request, names, start_ms, end_ms))
        windows.sort(key=lambda window: (window.start_ms, window.request))
        return Schedule(tuple(windows), tuple(self.delayed_requests), tuple(self.unplaced_requests))

    def _lost_capacity(self, limit: Limit) -> int:
        """Return the lost capacity that is charged to a limit."""
        return sum(
            lost
            for name, lost in self.problem.lost_by_converter.items()
            if limit.applies_to(self.problem.converters[name])
        )

    def _limits_of(self, converter: Converter) -> list[Limit]:
        """Return the limits that a converter is charged to."""
        return [limit for limit in self.problem.limits if limit.applies_to(converter)]

    def _added_charge(self, converter: Converter) -> int:
        """Return the charge that an outage of a converter adds: its size less the part that is already lost."""
        return converter.size - self.problem.lost_by_converter.get(converter.name, 0)

    def _charge_active_leases(self) -> None:
        """Add the placements of the converters that open leases have out of service."""
        for lease in self.problem.active_leases:
            for converter in lease.converters:
                self._add_placement(
                    Placement(f"lease {lease.lease}", lease.request, converter, 0, lease.expected_end_ms)
                )

    def _add_placement(self, placement: Placement) -> None:
        """Add a placement, and charge it to its limits and its request."""
        self._change_usage(placement, 1)
        self._placements.append(placement)

    def _remove_placement(self, placement: Placement) -> None:
        """Remove a placement and its charges."""
        self._change_usage(placement, -1)
        self._placements.remove(placement)

    def _change_usage(self, placement: Placement, sign: int) -> None:
        """Add a placement to the usage profiles, or remove it if `sign` is -1."""
        amount = sign * self._added_charge(placement.converter)
        for limit in self._limits_of(placement.converter):
            self._usage[limit].add(placement.start_ms, placement.end_ms, amount)
        if placement.request in self._concurrent_outages:
            self._concurrent_outages[placement.request].add(placement.start_ms, placement.end_ms, sign)

    def _place_frozen_windows(self) -> dict[str, list[Placement]]:
        """Place the windows of the previous schedule that are about to start, without moving them, if they still fit.

        Returns the placements by request.
        """
        frozen_placements: dict[str, list[Placement]] = {}
        jobs = {job.request.name: job for job in self.order}
        frozen_until_ms = self.problem.now_ms + FREEZE_MS
        for window in self.problem.previous_windows:
            job = jobs.get(window.request)
            if job is None or not self.problem.now_ms <= window.start_ms <= frozen_until_ms:
                continue
            for converter in job.converters:
                if converter.name in window.converters and self._fits_at(job, converter, window.start_ms):
                    frozen_placements.setdefault(window.request, []).append(
                        self._place(job, converter, window.start_ms)
                    )
        return frozen_placements

    def _fits_at(self, job: Job, converter: Converter, start_ms: int) -> bool:
        """Return whether a converter can be taken out of service at `start_ms`."""
        return self._earliest_start_ms(job, converter, start_ms) == start_ms

    def _place(self, job: Job, converter: Converter, start_ms: int) -> Placement:
        """Place a converter at `start_ms` for the length of its job, and return the placement."""
        name = job.request.name
        placement = Placement(f"window {name}", name, converter, start_ms, start_ms + job.length_ms)
        self._add_placement(placement)
        return placement

    def _place_job(self, job: Job, frozen: Iterable[Placement]) -> None:
        """Place all converters of a job, or record its request as unplaced and keep only its frozen placements."""
        frozen_placements = list(frozen)
        placements = list(frozen_placements)
        frozen_names = {placement.converter.name for placement in placements}
        desired_ms = self.problem.desired_start_ms(job)
        unplaced_request: UnplacedRequest | None = None
        delayed_request: DelayedRequest | None = None
        for converter in job.converters:
            if converter.name in frozen_names:
                continue
            start_ms = self._earliest_start_ms(job, converter, desired_ms)
            if start_ms is None:
                unplaced_request = self._describe_exceeded_limit(job, converter)
                break
            if not placements and start_ms > desired_ms:
                delayed_request = self._describe_delay(job, converter, desired_ms, start_ms)
            late_ms = start_ms + job.length_ms - job.request.deadline_ms
            if late_ms > 0 and (unplaced_request is None or late_ms > unplaced_request.late_ms):
                unplaced_request = self._describe_missed_deadline(job, late_ms, delayed_request)
            placements.append(self._place(job, converter, start_ms))
        if unplaced_request is not None:
            self._mark_unplaced(unplaced_request, placements, frozen_placements)
            return
        self._placements_by_request[job.request.name] = placements
        if delayed_request is not None:
            self.delayed_requests.append(delayed_request)

    def _mark_unplaced(
        self, unplaced_request: UnplacedRequest, placements: list[Placement], frozen: list[Placement]
    ) -> None:
        """Record a request as unplaced; remove its placements except the frozen ones, which come first in the list."""
        self.unplaced_requests.append(unplaced_request)
        for placement in placements[len(frozen) :]:
            self._remove_placement(placement)
        self._placements_by_request[unplaced_request.request] = frozen

    def _earliest_start_ms(self, job: Job, converter: Converter, from_ms: int) -> int | None:
        """Return the first time, not before `from_ms`, at which an outage can start without ever exceeding a limit.

        Returns None if there is no such time.
        """
        constraints = [
            _GapConstraint(self._usage[limit], limit.bound - self._added_charge(converter))
            for limit in self._limits_of(converter)
        ]
        constraints.append(_GapConstraint(self._concurrent_outages[job.request.name], job.request.max_unavailable - 1))
        start_ms = from_ms
        while True:
            previous_start_ms = start_ms
            for constraint in constraints:
                next_start_ms = constraint.profile.earliest_gap_start_ms(start_ms, job.length_ms, constraint.max_level)
                if next_start_ms is None:
                    return None
                start_ms = next_start_ms
            if start_ms == previous_start_ms:
                return start_ms

    def _describe_exceeded_limit(self, job: Job, converter: Converter) -> UnplacedRequest:
        """Describe the limit that a converter exceeds most, even if no other converter is out of service."""
        excesses = {
            limit: self._lost_capacity(limit) + self._added_charge(converter) - limit.bound
            for limit in self._limits_of(converter)
        }
        limit = max(excesses, key=lambda candidate: excesses[candidate])
        excess = excesses[limit]
        lost_capacity = self._lost_capacity(limit)
        condition = (
            f"while {format_capacity(lost_capacity)} is lost" if lost_capacity else "with nothing else out of service"
        )
        reason = (
            f"{limit.name}: taking {converter.name!r} out of service exceeds it by "
            f"{format_capacity(excess)} {condition}"
        )
        return UnplacedRequest(job.request.name, 0, excess, reason)

    def _describe_missed_deadline(
        self, job: Job, late_ms: int, delayed_request: DelayedRequest | None
    ) -> UnplacedRequest:
        """Describe by how much a request would miss its deadline, and what delays it."""
        cause = f"; {delayed_request.reason}" if delayed_request else ""
        return UnplacedRequest(job.request.name, late_ms, 0, f"would end {late_ms} ms after its deadline{cause}")

    def _describe_delay(self, job: Job, converter: Converter, desired_ms: int, start_ms: int) -> DelayedRequest:
        """Describe the limit that delays a converter's outage, and the window, lease or losses that use it up."""
        limit = self._first_blocking_limit(job, converter, desired_ms)
        overlapping_placements = [
            placement
            for placement in self._placements
            if (limit.applies_to(placement.converter) if limit else placement.request == job.request.name)
            and placement.start_ms < desired_ms + job.length_ms
            and placement.end_ms > desired_ms
        ]
        blocking_placement = max(
            overlapping_placements, key=lambda placement: (placement.end_ms == start_ms, placement.end_ms), default=None
        )
        limit_name = limit.name if limit else f"at_once of request {job.request.name!r}"
        blocked_by = blocking_placement.holder if blocking_placement else "losses"
        reason = f"waits until {start_ms} ms for {limit_name}, behind {blocked_by}"
        return DelayedRequest(job.request.name, limit_name, blocked_by, reason)

    def _first_blocking_limit(self, job: Job, converter: Converter, at_ms: int) -> Limit | None:
        """Return the first limit that prevents taking a converter out of service at `at_ms`, or None."""
        for limit in self._limits_of(converter):
            max_level = limit.bound - self._added_charge(converter)
            if self._usage[limit].earliest_gap_start_ms(at_ms, job.length_ms, max_level) != at_ms:
                return limit
        return None
