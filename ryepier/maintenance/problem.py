"""The input of the scheduler: requests, limits, losses, active leases, and the windows of the previous schedule."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ryepier.maintenance.agreement import Converter
from ryepier.maintenance.commands import Request
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.state import Lease
from ryepier.maintenance.tables import LeaseState

AGING_MS = 600_000  # a request that could have started rises one priority for each of these
MIN_REMAINING_LEASE_MS = 1_000  # how long an overdue lease is assumed to go on


@dataclass(frozen=True, slots=True)
class Window:
    """Converters of a request that go out together; `end_ms` is when they should be warm again."""

    request: str
    converters: tuple[str, ...]
    start_ms: int
    end_ms: int


@dataclass(frozen=True, slots=True)
class Job:
    """The part of a request that remains to be placed."""

    request: Request
    converters: tuple[Converter, ...]
    length_ms: int  # of one converter, with its warm-up
    submitted_ms: int = 0

    def work(self) -> int:
        """Return capacity times time that the request takes out, in thousandths of a size times ms."""
        return sum(converter.size for converter in self.converters) * self.length_ms


@dataclass(frozen=True, slots=True)
class ActiveLease:
    """The converters that an open lease has out, until about `until_ms`."""

    lease: str
    request: str
    converters: tuple[Converter, ...]
    until_ms: int


@dataclass(frozen=True, slots=True)
class SchedulingProblem:
    """Everything that a schedule depends on. Times are the region's, in milliseconds."""

    now_ms: int
    jobs: tuple[Job, ...]
    limits: tuple[Limit, ...]
    lost: Mapping[str, int] = field(default_factory=dict)  # by converter under no lease, thousandths
    converters: Mapping[str, Converter] = field(default_factory=dict)  # of the region
    active_leases: tuple[ActiveLease, ...] = ()
    previous_windows: tuple[Window, ...] = ()  # of the last schedule

    def desired_start_ms(self, job: Job) -> int:
        """Return when a request would start if nothing delayed it."""
        return max(self.now_ms, job.request.earliest_ms)

    def priority(self, job: Job) -> int:
        """Return a request's priority, raised by the time that it has waited."""
        waited_ms = self.now_ms - max(job.submitted_ms, job.request.earliest_ms)
        return max(0, job.request.priority - max(0, waited_ms) // AGING_MS)


def build_problem(ledger: Ledger, previous_windows: Sequence[Window] = ()) -> SchedulingProblem:
    """Return the problem that a ledger poses now."""
    leased = ledger.view.leased_converters()
    here = {name: one for name, one in ledger.agreement.converters.items() if one.region == ledger.region}
    return SchedulingProblem(
        now_ms=ledger.now_ms,
        jobs=_jobs(ledger, leased),
        limits=tuple(limit for service in ledger.agreement.services for limit in ledger.limits(service)),
        lost={name: ledger.view.lost(one) for name, one in here.items() if name not in leased},
        converters=here,
        active_leases=tuple(_active_lease(ledger, lease) for lease in ledger.open_leases()),
        previous_windows=tuple(previous_windows),
    )


def _jobs(ledger: Ledger, leased: set[str]) -> tuple[Job, ...]:
    """Return what remains to be placed of the open requests."""
    jobs = []
    for record in ledger.open_requests():
        names = [name for name in record.remaining() if name not in leased]
        if names:
            converters = tuple(ledger.agreement.converters[name] for name in names)
            jobs.append(Job(record.request, converters, _length_ms(ledger, record.request), record.submitted_ms))
    return tuple(jobs)


def _active_lease(ledger: Ledger, lease: Lease) -> ActiveLease:
    """Return what a lease has out, with its expected end. A revoked one has taken nothing down."""
    request = ledger.state.requests[lease.request].request
    until_ms = ledger.now_ms + MIN_REMAINING_LEASE_MS
    if lease.state is not LeaseState.REVOKED:
        until_ms = max(until_ms, lease.granted_ms + _length_ms(ledger, request))
    converters = tuple(ledger.agreement.converters[name] for name in lease.unavailable)
    return ActiveLease(lease.name, request.name, converters, until_ms)


def _length_ms(ledger: Ledger, request: Request) -> int:
    """Return how long one converter of a request is out, with its warm-up."""
    return request.duration_ms + ledger.agreement.services[request.service].warm_up_ms
