"""One plan: converters placed one by one at the earliest time at which every limit holds until they are warm again.

A later request may take a gap that earlier ones left, and never moves them. What was about to start by the last
schedule is placed first, as it was.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ryepier.maintenance.agreement import Converter, format_units
from ryepier.maintenance.commands import Priority
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.problem import Job, Problem, Window
from ryepier.maintenance.profile import Profile

FREEZE_MS = 30_000  # windows that start sooner are not moved by new requests


@dataclass(frozen=True, slots=True)
class DelayedRequest:
    """A request whose first window is later than it asked for: which limit, and behind which window or loss."""

    request: str
    limit: str
    blocked_by: str
    reason: str


@dataclass(frozen=True, slots=True)
class UnplacedRequest:
    """A request that can't be done by its deadline, and by how much: in time or in capacity (thousandths)."""

    request: str
    late_ms: int
    excess: int
    reason: str


@dataclass(frozen=True, slots=True)
class Schedule:
    """The plan. A misfit has no windows, but for those that were about to start when it became one."""

    windows: tuple[Window, ...]
    delayed_requests: tuple[DelayedRequest, ...]
    unplaced_requests: tuple[UnplacedRequest, ...]


@dataclass(frozen=True, slots=True)
class Placement:
    """A converter on its way through a window or a lease."""

    label: str
    request: str
    converter: Converter
    start_ms: int
    end_ms: int


class Attempt:
    """One pass over the requests in one order."""

    def __init__(self, problem: Problem, order: list[Job]) -> None:
        """Place them all."""
        self.problem = problem
        self.order = order
        self.placed: list[Placement] = []
        self.unplaced_requests: list[UnplacedRequest] = []
        self.delayed_requests: list[DelayedRequest] = []
        self._profiles = {limit: Profile(self._lost(limit)) for limit in problem.limits}
        self._unavailable_profiles = {job.request.name: Profile(0) for job in order}
        for held in problem.active_leases:
            for converter in held.converters:
                self._take(Placement(f"lease {held.lease}", held.request, converter, 0, held.until_ms))
        self._windows: dict[str, list[Placement]] = {}
        frozen = self._freeze()
        for job in order:
            self._place_job(job, frozen.get(job.request.name, []))

    def job(self, name: str) -> Job:
        """The job of a request."""
        return next(job for job in self.order if job.request.name == name)

    def unplaced_names(self) -> list[str]:
        """The requests that do not fit."""
        return [unplaced.request for unplaced in self.unplaced_requests]

    def score(self) -> tuple[tuple[int, ...], int]:
        """What makes one attempt better than another: the work that fits, the urgent first; then earlier ends."""
        failed = set(self.unplaced_names())
        fits = [0] * len(Priority)
        for job in self.order:
            if job.request.name not in failed:
                fits[self.problem.priority(job)] += job.work()
        ends = sum(one.end_ms for placed in self._windows.values() for one in placed)
        return tuple(fits), -ends

    def schedule(self) -> Schedule:
        """The attempt as a plan, in the order of starts."""
        windows = []
        for request, placed in self._windows.items():
            starts = sorted({(one.start_ms, one.end_ms) for one in placed})
            for start, end in starts:
                names = tuple(one.converter.name for one in placed if one.start_ms == start)
                windows.append(Window(request, names, start, end))
        windows.sort(key=lambda window: (window.start_ms, window.request))
        return Schedule(tuple(windows), tuple(self.delayed_requests), tuple(self.unplaced_requests))

    def _lost(self, limit: Limit) -> int:
        return sum(lost for name, lost in self.problem.lost.items() if limit.applies_to(self.problem.converters[name]))

    def _limits_of(self, converter: Converter) -> list[Limit]:
        return [limit for limit in self.problem.limits if limit.applies_to(converter)]

    def _added(self, converter: Converter) -> int:
        """What taking a converter out adds to the charge: less than its size where a part of it is lost."""
        return converter.size - self.problem.lost.get(converter.name, 0)

    def _take(self, placed: Placement, sign: int = 1) -> None:
        """Charge a converter's time, or with sign -1 take it back."""
        amount = sign * self._added(placed.converter)
        for limit in self._limits_of(placed.converter):
            self._profiles[limit].add(placed.start_ms, placed.end_ms, amount)
        if placed.request in self._unavailable_profiles:
            self._unavailable_profiles[placed.request].add(placed.start_ms, placed.end_ms, sign)
        if sign > 0:
            self.placed.append(placed)
        else:
            self.placed.remove(placed)

    def _freeze(self) -> dict[str, list[Placement]]:
        """Place what is about to start as it was, where it still fits."""
        frozen: dict[str, list[Placement]] = {}
        jobs = {job.request.name: job for job in self.order}
        soon = self.problem.now_ms + FREEZE_MS
        for window in self.problem.previous:
            job = jobs.get(window.request)
            if job is None or not self.problem.now_ms <= window.start_ms <= soon:
                continue
            for converter in job.converters:
                if converter.name in window.converters and self._earliest(job, converter, window.start_ms) == (
                    window.start_ms
                ):
                    frozen.setdefault(window.request, []).append(self._put(job, converter, window.start_ms))
        return frozen

    def _put(self, job: Job, converter: Converter, start_ms: int) -> Placement:
        placed = Placement(
            f"window {job.request.name}", job.request.name, converter, start_ms, start_ms + job.length_ms
        )
        self._take(placed)
        return placed

    def _place_job(self, job: Job, frozen: Iterable[Placement]) -> None:
        """Place all of a request, or none of it and a misfit."""
        kept = list(frozen)
        placed = list(kept)
        names = {one.converter.name for one in placed}
        desired = self.problem.desired_start_ms(job)
        unplaced: UnplacedRequest | None = None
        blocked: DelayedRequest | None = None
        for converter in job.converters:
            if converter.name in names:
                continue
            start = self._earliest(job, converter, desired)
            if start is None:
                unplaced = self._exceeds_limit(job, converter)
                break
            if not placed and start > desired:
                blocked = self._describe_delay(job, converter, desired, start)
            late_ms = start + job.length_ms - job.request.deadline_ms
            if late_ms > 0 and (unplaced is None or late_ms > unplaced.late_ms):
                unplaced = self._misses_deadline(job, late_ms, blocked)
            placed.append(self._put(job, converter, start))
        if unplaced is not None:
            self.unplaced_requests.append(unplaced)
            for one in placed[len(kept) :]:
                self._take(one, -1)
            self._windows[job.request.name] = kept
            return
        self._windows[job.request.name] = placed
        if blocked is not None:
            self.delayed_requests.append(blocked)

    def _earliest(self, job: Job, converter: Converter, from_ms: int) -> int | None:
        """The first time at which a converter can go out with every limit held until it is back; None: never."""
        searches = [
            (self._profiles[limit], limit.bound - self._added(converter)) for limit in self._limits_of(converter)
        ]
        searches.append((self._unavailable_profiles[job.request.name], job.request.max_unavailable - 1))
        start = from_ms
        while True:
            before = start
            for profile, highest in searches:
                found = profile.earliest(start, job.length_ms, highest)
                if found is None:
                    return None
                start = found
            if start == before:
                return start

    def _exceeds_limit(self, job: Job, converter: Converter) -> UnplacedRequest:
        """The limit that a converter exceeds whatever else is out."""
        over = [
            (self._lost(limit) + self._added(converter) - limit.bound, limit) for limit in self._limits_of(converter)
        ]
        amount, limit = max(over, key=lambda one: one[0])
        lost = self._lost(limit)
        rest = f"while {format_units(lost)} is lost" if lost else "with nothing else out"
        reason = f"{limit.name}: taking {converter.name!r} out is {format_units(amount)} too much, {rest}"
        return UnplacedRequest(job.request.name, 0, amount, reason)

    def _misses_deadline(self, job: Job, late_ms: int, blocked: DelayedRequest | None) -> UnplacedRequest:
        why = f"; {blocked.reason}" if blocked else ""
        return UnplacedRequest(job.request.name, late_ms, 0, f"would end {late_ms} ms after its deadline{why}")

    def _describe_delay(self, job: Job, converter: Converter, desired: int, start: int) -> DelayedRequest:
        """The limit that keeps a converter from going out when it was asked for, and who stands before it."""
        limit = self._exhausted_limit(job, converter, desired)
        overlapping = [
            one
            for one in self.placed
            if (limit.applies_to(one.converter) if limit else one.request == job.request.name)
            and one.start_ms < desired + job.length_ms
            and one.end_ms > desired
        ]
        last = max(overlapping, key=lambda one: (one.end_ms == start, one.end_ms), default=None)
        name = limit.name if limit else f"at_once of request {job.request.name!r}"
        blocked_by = last.label if last else "losses"
        reason = f"waits until {start} ms for {name}, behind {blocked_by}"
        return DelayedRequest(job.request.name, name, blocked_by, reason)

    def _exhausted_limit(self, job: Job, converter: Converter, at_ms: int) -> Limit | None:
        for limit in self._limits_of(converter):
            found = self._profiles[limit].earliest(at_ms, job.length_ms, limit.bound - self._added(converter))
            if found != at_ms:
                return limit
        return None
