"""Which windows to open, and when: earliest deadline first with backfill, urgent before convenient.

Pure: a `Problem` in, a `Schedule` out, the same for the same. Converters are placed one by one at the earliest time at
which every limit holds until they should be warm again, requests in the order of their rank. A later request may
take a gap that earlier ones left, and never moves them. The schedule only proposes: the ledger grants.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from ryepier.maintenance.agreement import Converter, show_units
from ryepier.maintenance.commands import Priority, Request
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.profile import Profile
from ryepier.maintenance.tables import LeaseState

FREEZE_MS = 30_000  # windows that start sooner are not moved by new requests
AGING_MS = 600_000  # a request that could have started goes up one priority for each of these
LEAST_HELD_MS = 1_000  # for which a lease that should be over is taken to go on
MOST_ORDERS = 60  # of requests that are tried where some do not fit
MOST_PLACEMENTS = 4_000  # of converters over all of them, so that a large fleet's schedule is not late


@dataclass(frozen=True, slots=True)
class Window:
    """Converters of a request that go out together; `end_ms` is when they should be warm again."""

    request: str
    converters: tuple[str, ...]
    start_ms: int
    end_ms: int


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request whose first window is later than it asked for: which limit, and behind which window or loss."""

    request: str
    limit: str
    behind: str
    reason: str


@dataclass(frozen=True, slots=True)
class Misfit:
    """A request that can't be done by its deadline, and by how much: in time or in capacity (thousandths)."""

    request: str
    late_ms: int
    too_much: int
    reason: str


@dataclass(frozen=True, slots=True)
class Schedule:
    """The plan. A misfit has no windows, but for those that were about to start when it became one."""

    windows: tuple[Window, ...]
    waiting: tuple[Waiting, ...]
    misfits: tuple[Misfit, ...]


@dataclass(frozen=True, slots=True)
class Job:
    """What is left to place of a request."""

    request: Request
    converters: tuple[Converter, ...]
    length_ms: int  # of one converter, with warming up
    submitted_ms: int = 0


@dataclass(frozen=True, slots=True)
class Held:
    """What an open lease has out, until about `until_ms`."""

    lease: str
    request: str
    converters: tuple[Converter, ...]
    until_ms: int


@dataclass(frozen=True, slots=True)
class Problem:
    """All that a schedule rests on."""

    now_ms: int
    jobs: tuple[Job, ...]
    limits: tuple[Limit, ...]
    lost: Mapping[str, int] = field(default_factory=dict)  # by converter under no lease, thousandths
    converters: Mapping[str, Converter] = field(default_factory=dict)  # of the region
    held: tuple[Held, ...] = ()
    previous: tuple[Window, ...] = ()  # the last schedule's


def problem_of(ledger: Ledger, previous: Sequence[Window] = ()) -> Problem:
    """The problem that a ledger poses now."""
    out = ledger.view.out_converters()
    everything = ledger.agreement.converters
    here = {name: one for name, one in everything.items() if one.region == ledger.region}
    requests = {record.request.name: record.request for record in ledger.state.requests.values()}
    held = []
    for lease in ledger.open_leases():
        request = requests[lease.request]
        until = lease.granted_ms + _length(ledger, request) if lease.state is not LeaseState.CALLED_OFF else 0
        until = max(until, ledger.now_ms + LEAST_HELD_MS)
        held.append(Held(lease.name, request.name, tuple(everything[name] for name in lease.out), until))
    jobs = []
    for record in ledger.open_requests():
        left = tuple(everything[name] for name in record.remaining() if name not in out)
        if left:
            jobs.append(Job(record.request, left, _length(ledger, record.request), record.submitted_ms))
    return Problem(
        now_ms=ledger.now_ms,
        jobs=tuple(jobs),
        limits=tuple(limit for service in ledger.agreement.services for limit in ledger.limits(service)),
        lost={name: ledger.view.lost(one) for name, one in here.items() if name not in out},
        converters=here,
        held=tuple(held),
        previous=tuple(previous),
    )


def _length(ledger: Ledger, request: Request) -> int:
    return request.duration_ms + ledger.agreement.services[request.service].warm_up_ms


def make_schedule(problem: Problem) -> Schedule:
    """The best schedule that a few orders of the requests give, by `_Attempt.worth`."""
    best = _Attempt(problem, sorted(problem.jobs, key=_by_deadline(problem)))
    if best.misfits:
        orders = (_by_slack(problem), _by_work(problem))
        best = max(best, *(_Attempt(problem, sorted(problem.jobs, key=key)) for key in orders), key=_Attempt.worth)
        best = _improve(problem, best)
    return best.schedule()


def _improve(problem: Problem, best: _Attempt) -> _Attempt:
    """Move requests that do not fit before others of their priority, for as long as that is worth more."""
    hopeless = {name for name in best.misfit_names() if _Attempt(problem, [best.job(name)]).misfits}
    converters = sum(len(job.converters) for job in problem.jobs)
    tries = min(MOST_ORDERS, MOST_PLACEMENTS // converters)
    orders = _moved_orders(problem, best, hopeless)
    while tries > 0 and (order := next(orders, None)) is not None:
        attempt = _Attempt(problem, order)
        tries -= 1
        if attempt.worth() > best.worth():
            best = attempt
            orders = _moved_orders(problem, best, hopeless)
    return best


def _moved_orders(problem: Problem, attempt: _Attempt, hopeless: set[str]) -> Iterator[list[Job]]:
    """The attempt's order with one of its misfits moved to each place before it, among those of its priority."""
    for name in attempt.misfit_names():
        if name in hopeless:
            continue
        job = attempt.job(name)
        for place in range(attempt.order.index(job)):
            if _priority(problem, attempt.order[place]) == _priority(problem, job):
                rest = [one for one in attempt.order if one is not job]
                yield [*rest[:place], job, *rest[place:]]


def _priority(problem: Problem, job: Job) -> int:
    """The priority with the time that the request has waited."""
    waited_ms = problem.now_ms - max(job.submitted_ms, job.request.earliest_ms)
    return max(0, job.request.priority - max(0, waited_ms) // AGING_MS)


def _by_deadline(problem: Problem) -> Callable[[Job], tuple[int, int, int, str]]:
    return lambda job: (_priority(problem, job), job.request.deadline_ms, job.submitted_ms, job.request.name)


def _by_slack(problem: Problem) -> Callable[[Job], tuple[int, int, int, str]]:
    return lambda job: (_priority(problem, job), _slack(problem, job), job.submitted_ms, job.request.name)


def _by_work(problem: Problem) -> Callable[[Job], tuple[int, int, int, str]]:
    return lambda job: (_priority(problem, job), -_work(job), job.submitted_ms, job.request.name)


def _work(job: Job) -> int:
    """Capacity times time that a request takes out."""
    return sum(converter.size for converter in job.converters) * job.length_ms


def _slack(problem: Problem, job: Job) -> int:
    """By how much a request could start later and still end in time."""
    rounds = -(-len(job.converters) // job.request.at_once)
    return job.request.deadline_ms - max(problem.now_ms, job.request.earliest_ms) - rounds * job.length_ms


@dataclass(frozen=True, slots=True)
class _Placed:
    """A converter on its way through a window or a lease."""

    label: str
    request: str
    converter: Converter
    start_ms: int
    end_ms: int


class _Attempt:
    """One pass over the requests in one order."""

    def __init__(self, problem: Problem, order: list[Job]) -> None:
        self.problem = problem
        self.order = order
        self.placed: list[_Placed] = []
        self.misfits: list[Misfit] = []
        self.waiting: list[Waiting] = []
        self._profiles = {limit: Profile(self._lost(limit)) for limit in problem.limits}
        self._at_once = {job.request.name: Profile(0) for job in order}
        for held in problem.held:
            for converter in held.converters:
                self._take(_Placed(f"lease {held.lease}", held.request, converter, 0, held.until_ms))
        self._windows: dict[str, list[_Placed]] = {}
        frozen = self._freeze()
        for job in order:
            self._place_job(job, frozen.get(job.request.name, []))

    def job(self, name: str) -> Job:
        """The job of a request."""
        return next(job for job in self.order if job.request.name == name)

    def misfit_names(self) -> list[str]:
        """The requests that do not fit."""
        return [misfit.request for misfit in self.misfits]

    def worth(self) -> tuple[tuple[int, ...], int]:
        """What makes one attempt better than another: the work that fits, the urgent first; then earlier ends."""
        failed = set(self.misfit_names())
        fits = [0] * len(Priority)
        for job in self.order:
            if job.request.name not in failed:
                fits[_priority(self.problem, job)] += _work(job)
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
        return Schedule(tuple(windows), tuple(self.waiting), tuple(self.misfits))

    def _lost(self, limit: Limit) -> int:
        return sum(lost for name, lost in self.problem.lost.items() if limit.counts(self.problem.converters[name]))

    def _limits_of(self, converter: Converter) -> list[Limit]:
        return [limit for limit in self.problem.limits if limit.counts(converter)]

    def _added(self, converter: Converter) -> int:
        """What taking a converter out adds to the charge: less than its size where a part of it is lost."""
        return converter.size - self.problem.lost.get(converter.name, 0)

    def _take(self, placed: _Placed, sign: int = 1) -> None:
        """Charge a converter's time, or with sign -1 take it back."""
        amount = sign * self._added(placed.converter)
        for limit in self._limits_of(placed.converter):
            self._profiles[limit].add(placed.start_ms, placed.end_ms, amount)
        if placed.request in self._at_once:
            self._at_once[placed.request].add(placed.start_ms, placed.end_ms, sign)
        if sign > 0:
            self.placed.append(placed)
        else:
            self.placed.remove(placed)

    def _freeze(self) -> dict[str, list[_Placed]]:
        """Place what is about to start as it was, where it still fits."""
        frozen: dict[str, list[_Placed]] = {}
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

    def _put(self, job: Job, converter: Converter, start_ms: int) -> _Placed:
        placed = _Placed(f"window {job.request.name}", job.request.name, converter, start_ms, start_ms + job.length_ms)
        self._take(placed)
        return placed

    def _place_job(self, job: Job, frozen: Iterable[_Placed]) -> None:
        """Place all of a request, or none of it and a misfit."""
        kept = list(frozen)
        placed = list(kept)
        names = {one.converter.name for one in placed}
        desired = max(self.problem.now_ms, job.request.earliest_ms)
        misfit: Misfit | None = None
        blocked: Waiting | None = None
        for converter in job.converters:
            if converter.name in names:
                continue
            start = self._earliest(job, converter, desired)
            if start is None:
                misfit = self._too_much(job, converter)
                break
            if not placed and start > desired:
                blocked = self._why_waiting(job, converter, desired, start)
            late_ms = start + job.length_ms - job.request.deadline_ms
            if late_ms > 0 and (misfit is None or late_ms > misfit.late_ms):
                misfit = self._too_late(job, late_ms, blocked)
            placed.append(self._put(job, converter, start))
        if misfit is not None:
            self.misfits.append(misfit)
            for one in placed[len(kept) :]:
                self._take(one, -1)
            self._windows[job.request.name] = kept
            return
        self._windows[job.request.name] = placed
        if blocked is not None:
            self.waiting.append(blocked)

    def _earliest(self, job: Job, converter: Converter, from_ms: int) -> int | None:
        """The first time at which a converter can go out with every limit held until it is back; None: never."""
        searches = [
            (self._profiles[limit], limit.bound - self._added(converter)) for limit in self._limits_of(converter)
        ]
        searches.append((self._at_once[job.request.name], job.request.at_once - 1))
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

    def _too_much(self, job: Job, converter: Converter) -> Misfit:
        """The limit that a converter exceeds whatever else is out."""
        over = [
            (self._lost(limit) + self._added(converter) - limit.bound, limit) for limit in self._limits_of(converter)
        ]
        amount, limit = max(over, key=lambda one: one[0])
        lost = self._lost(limit)
        rest = f"while {show_units(lost)} is lost" if lost else "with nothing else out"
        reason = f"{limit.name}: taking {converter.name!r} out is {show_units(amount)} too much, {rest}"
        return Misfit(job.request.name, 0, amount, reason)

    def _too_late(self, job: Job, late_ms: int, blocked: Waiting | None) -> Misfit:
        why = f"; {blocked.reason}" if blocked else ""
        return Misfit(job.request.name, late_ms, 0, f"would end {late_ms} ms after its deadline{why}")

    def _why_waiting(self, job: Job, converter: Converter, desired: int, start: int) -> Waiting:
        """The limit that keeps a converter from going out when it was asked for, and who stands before it."""
        limit = self._full_limit(job, converter, desired)
        overlapping = [
            one
            for one in self.placed
            if (limit.counts(one.converter) if limit else one.request == job.request.name)
            and one.start_ms < desired + job.length_ms
            and one.end_ms > desired
        ]
        last = max(overlapping, key=lambda one: (one.end_ms == start, one.end_ms), default=None)
        name = limit.name if limit else f"at_once of request {job.request.name!r}"
        behind = last.label if last else "losses"
        reason = f"waits until {start} ms for {name}, behind {behind}"
        return Waiting(job.request.name, name, behind, reason)

    def _full_limit(self, job: Job, converter: Converter, at_ms: int) -> Limit | None:
        for limit in self._limits_of(converter):
            found = self._profiles[limit].earliest(at_ms, job.length_ms, limit.bound - self._added(converter))
            if found != at_ms:
                return limit
        return None
