"""One plan: converters placed one by one at the earliest time at which every limit holds until they are warm again.

A later request may take a gap that earlier ones left, and never moves them. What was about to start by the last
schedule is placed first, as it was. Times in milliseconds, capacities in thousandths.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ryepier.maintenance.agreement import Converter, format_capacity
from ryepier.maintenance.commands import Priority
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.problem import Job, SchedulingProblem, Window
from ryepier.maintenance.profile import Profile
from ryepier.maintenance.schedule import DelayedRequest, Schedule, UnplacedRequest

FREEZE_MS = 30_000  # windows that start sooner are not moved by new requests


@dataclass(frozen=True, slots=True)
class Placement:
    """The time for which a window or a lease has one converter out."""

    label: str
    request: str
    converter: Converter
    start_ms: int
    end_ms: int


class Score(NamedTuple):
    """The value of an attempt: the work that fits, by priority from the most urgent on; then earlier ends."""

    work: tuple[int, ...]
    negative_ends_ms: int


class _GapSearch(NamedTuple):
    """A profile, and the level that it may have while a converter is out."""

    profile: Profile
    max_level: int


class Attempt:
    """One pass over the requests in one order."""

    def __init__(self, problem: SchedulingProblem, order: list[Job]) -> None:
        """Place all requests."""
        self.problem = problem
        self.order = order
        self.unplaced_requests: list[UnplacedRequest] = []
        self.delayed_requests: list[DelayedRequest] = []
        self._placements: list[Placement] = []
        self._by_request: dict[str, list[Placement]] = {}
        self._usage = {limit: Profile(self._lost(limit)) for limit in problem.limits}
        self._concurrency = {job.request.name: Profile(0) for job in order}
        self._charge_active_leases()
        frozen = self._freeze()
        for job in order:
            self._place_job(job, frozen.get(job.request.name, []))

    def job(self, name: str) -> Job:
        """Return the job of a request."""
        return next(job for job in self.order if job.request.name == name)

    def unplaced_names(self) -> list[str]:
        """Return the names of the requests that do not fit."""
        return [unplaced.request for unplaced in self.unplaced_requests]

    def score(self) -> Score:
        """Return the value by which attempts are compared."""
        unplaced = set(self.unplaced_names())
        work = [0] * len(Priority)
        for job in self.order:
            if job.request.name not in unplaced:
                work[self.problem.priority(job)] += job.work()
        ends_ms = sum(one.end_ms for placements in self._by_request.values() for one in placements)
        return Score(tuple(work), -ends_ms)

    def schedule(self) -> Schedule:
        """Return the attempt as a plan, in the order of starts."""
        windows = []
        for request, placements in self._by_request.items():
            times = sorted({(one.start_ms, one.end_ms) for one in placements})
            for start_ms, end_ms in times:
                names = tuple(one.converter.name for one in placements if one.start_ms == start_ms)
                windows.append(Window(request, names, start_ms, end_ms))
        windows.sort(key=lambda window: (window.start_ms, window.request))
        return Schedule(tuple(windows), tuple(self.delayed_requests), tuple(self.unplaced_requests))

    def _lost(self, limit: Limit) -> int:
        """Return the losses that are charged to a limit."""
        return sum(lost for name, lost in self.problem.lost.items() if limit.applies_to(self.problem.converters[name]))

    def _limits_of(self, converter: Converter) -> list[Limit]:
        """Return the limits that a converter is charged to."""
        return [limit for limit in self.problem.limits if limit.applies_to(converter)]

    def _added_charge(self, converter: Converter) -> int:
        """Return what taking a converter out adds to the charge: less than its size where a part of it is lost."""
        return converter.size - self.problem.lost.get(converter.name, 0)

    def _charge_active_leases(self) -> None:
        """Charge what open leases have out."""
        for lease in self.problem.active_leases:
            for converter in lease.converters:
                self._charge(Placement(f"lease {lease.lease}", lease.request, converter, 0, lease.until_ms))

    def _charge(self, placement: Placement) -> None:
        """Charge a converter's time to its limits and its request."""
        self._change_usage(placement, 1)
        self._placements.append(placement)

    def _undo(self, placement: Placement) -> None:
        """Take a charge back."""
        self._change_usage(placement, -1)
        self._placements.remove(placement)

    def _change_usage(self, placement: Placement, sign: int) -> None:
        """Add a placement to the profiles, or remove it with sign -1."""
        amount = sign * self._added_charge(placement.converter)
        for limit in self._limits_of(placement.converter):
            self._usage[limit].add(placement.start_ms, placement.end_ms, amount)
        if placement.request in self._concurrency:
            self._concurrency[placement.request].add(placement.start_ms, placement.end_ms, sign)

    def _freeze(self) -> dict[str, list[Placement]]:
        """Place what is about to start as it was, where it still fits; return it by request."""
        frozen: dict[str, list[Placement]] = {}
        jobs = {job.request.name: job for job in self.order}
        frozen_until_ms = self.problem.now_ms + FREEZE_MS
        for window in self.problem.previous_windows:
            job = jobs.get(window.request)
            if job is None or not self.problem.now_ms <= window.start_ms <= frozen_until_ms:
                continue
            for converter in job.converters:
                if converter.name in window.converters and self._fits_at(job, converter, window.start_ms):
                    frozen.setdefault(window.request, []).append(self._place(job, converter, window.start_ms))
        return frozen

    def _fits_at(self, job: Job, converter: Converter, start_ms: int) -> bool:
        """Return whether a converter can go out at a time."""
        return self._earliest(job, converter, start_ms) == start_ms

    def _place(self, job: Job, converter: Converter, start_ms: int) -> Placement:
        """Place a converter at a time."""
        name = job.request.name
        placement = Placement(f"window {name}", name, converter, start_ms, start_ms + job.length_ms)
        self._charge(placement)
        return placement

    def _place_job(self, job: Job, frozen: Iterable[Placement]) -> None:
        """Place all of a request, or note it as unplaced and leave only what is frozen."""
        frozen_placements = list(frozen)
        placements = list(frozen_placements)
        names = {one.converter.name for one in placements}
        desired_ms = self.problem.desired_start_ms(job)
        unplaced: UnplacedRequest | None = None
        delayed: DelayedRequest | None = None
        for converter in job.converters:
            if converter.name in names:
                continue
            start_ms = self._earliest(job, converter, desired_ms)
            if start_ms is None:
                unplaced = self._exceeds_limit(job, converter)
                break
            if not placements and start_ms > desired_ms:
                delayed = self._describe_delay(job, converter, desired_ms, start_ms)
            late_ms = start_ms + job.length_ms - job.request.deadline_ms
            if late_ms > 0 and (unplaced is None or late_ms > unplaced.late_ms):
                unplaced = self._misses_deadline(job, late_ms, delayed)
            placements.append(self._place(job, converter, start_ms))
        if unplaced is not None:
            self._give_up(unplaced, placements, frozen_placements)
            return
        self._by_request[job.request.name] = placements
        if delayed is not None:
            self.delayed_requests.append(delayed)

    def _give_up(self, unplaced: UnplacedRequest, placements: list[Placement], frozen: list[Placement]) -> None:
        """Note a request as unplaced and undo its placements but for the frozen ones, which come first."""
        self.unplaced_requests.append(unplaced)
        for placement in placements[len(frozen) :]:
            self._undo(placement)
        self._by_request[unplaced.request] = frozen

    def _earliest(self, job: Job, converter: Converter, from_ms: int) -> int | None:
        """Return the first time from which every limit holds until a converter has recovered; None: there is none."""
        searches = [
            _GapSearch(self._usage[limit], limit.bound - self._added_charge(converter))
            for limit in self._limits_of(converter)
        ]
        searches.append(_GapSearch(self._concurrency[job.request.name], job.request.max_unavailable - 1))
        start_ms = from_ms
        while True:
            before_ms = start_ms
            for search in searches:
                found_ms = search.profile.earliest(start_ms, job.length_ms, search.max_level)
                if found_ms is None:
                    return None
                start_ms = found_ms
            if start_ms == before_ms:
                return start_ms

    def _exceeds_limit(self, job: Job, converter: Converter) -> UnplacedRequest:
        """Describe the limit that a converter exceeds whatever else is out."""
        excesses = {
            limit: self._lost(limit) + self._added_charge(converter) - limit.bound
            for limit in self._limits_of(converter)
        }
        limit = max(excesses, key=lambda one: excesses[one])
        excess = excesses[limit]
        lost = self._lost(limit)
        condition = f"while {format_capacity(lost)} is lost" if lost else "with nothing else out"
        reason = f"{limit.name}: taking {converter.name!r} out is {format_capacity(excess)} too much, {condition}"
        return UnplacedRequest(job.request.name, 0, excess, reason)

    def _misses_deadline(self, job: Job, late_ms: int, delayed: DelayedRequest | None) -> UnplacedRequest:
        """Describe by how much a request would miss its deadline, and why."""
        why = f"; {delayed.reason}" if delayed else ""
        return UnplacedRequest(job.request.name, late_ms, 0, f"would end {late_ms} ms after its deadline{why}")

    def _describe_delay(self, job: Job, converter: Converter, desired_ms: int, start_ms: int) -> DelayedRequest:
        """Describe the limit that keeps a converter in at the time it was asked for, and what blocks it."""
        limit = self._exhausted_limit(job, converter, desired_ms)
        overlapping = [
            one
            for one in self._placements
            if (limit.applies_to(one.converter) if limit else one.request == job.request.name)
            and one.start_ms < desired_ms + job.length_ms
            and one.end_ms > desired_ms
        ]
        last = max(overlapping, key=lambda one: (one.end_ms == start_ms, one.end_ms), default=None)
        name = limit.name if limit else f"at_once of request {job.request.name!r}"
        blocked_by = last.label if last else "losses"
        reason = f"waits until {start_ms} ms for {name}, behind {blocked_by}"
        return DelayedRequest(job.request.name, name, blocked_by, reason)

    def _exhausted_limit(self, job: Job, converter: Converter, at_ms: int) -> Limit | None:
        """Return the first limit under which a converter cannot go out at a time."""
        for limit in self._limits_of(converter):
            max_level = limit.bound - self._added_charge(converter)
            if self._usage[limit].earliest(at_ms, job.length_ms, max_level) != at_ms:
                return limit
        return None
