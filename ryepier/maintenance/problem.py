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

AGING_INTERVAL_MS = 600_000  # a request's priority rises by one level for each interval that it has waited
MIN_REMAINING_LEASE_MS = 1_000  # remaining time assumed for overdue and revoked leases


@dataclass(frozen=True, slots=True)
class Window:
    """Converters of a request that go out of service together. `end_ms` is when they are expected to be warm again."""

    request: str
    converters: tuple[str, ...]
    start_ms: int
    end_ms: int


@dataclass(frozen=True, slots=True)
class Job:
    """The part of a request that remains to be scheduled."""

    request: Request
    converters: tuple[Converter, ...]
    length_ms: int  # outage of one converter, including its warm-up
    submitted_at_ms: int = 0

    def work(self) -> int:
        """Return the product of capacity and time out of service, in thousandths of a unit times milliseconds."""
        return sum(converter.size for converter in self.converters) * self.length_ms


@dataclass(frozen=True, slots=True)
class ActiveLease:
    """The converters that an open lease has out of service, and when they are expected to be warm again."""

    lease: str
    request: str
    converters: tuple[Converter, ...]
    expected_end_ms: int


@dataclass(frozen=True, slots=True)
class SchedulingProblem:
    """Everything that a schedule depends on. Times are in the region's time, in milliseconds."""

    now_ms: int
    jobs: tuple[Job, ...]
    limits: tuple[Limit, ...]
    lost_by_converter: Mapping[str, int] = field(default_factory=dict)  # thousandths; only converters without a lease
    converters: Mapping[str, Converter] = field(default_factory=dict)  # all converters of the region, by name
    active_leases: tuple[ActiveLease, ...] = ()
    previous_windows: tuple[Window, ...] = ()  # windows of the previous schedule; those about to start are not moved

    def desired_start_ms(self, job: Job) -> int:
        """Return the earliest time at which the outages of a job may start."""
        return max(self.now_ms, job.request.earliest_ms)

    def priority(self, job: Job) -> int:
        """Return the priority of a job's request, raised by one level for each `AGING_INTERVAL_MS` that it has waited.

        A request waits from its submission or its earliest start, whichever is later. Lower values are more urgent.
        """
        waited_ms = self.now_ms - max(job.submitted_at_ms, job.request.earliest_ms)
        return max(0, job.request.priority - max(0, waited_ms) // AGING_INTERVAL_MS)


def build_problem(ledger: Ledger, previous_windows: Sequence[Window] = ()) -> SchedulingProblem:
    """Build the scheduling problem from the current state of a ledger."""
    leased_names = ledger.view.leased_converters()
    region_converters = {
        name: converter for name, converter in ledger.agreement.converters.items() if converter.region == ledger.region
    }
    return SchedulingProblem(
        now_ms=ledger.now_ms,
        jobs=_jobs(ledger, leased_names),
        limits=tuple(limit for service in ledger.agreement.services for limit in ledger.limits(service)),
        lost_by_converter={
            name: ledger.view.lost_capacity(converter)
            for name, converter in region_converters.items()
            if name not in leased_names
        },
        converters=region_converters,
        active_leases=tuple(_active_lease(ledger, lease) for lease in ledger.open_leases()),
        previous_windows=tuple(previous_windows),
    )


def _jobs(ledger: Ledger, leased_names: set[str]) -> tuple[Job, ...]:
    """Return one job for each open request with remaining converters that are not under a lease."""
    jobs = []
    for record in ledger.open_requests():
        names = [name for name in record.remaining_converters() if name not in leased_names]
        if names:
            converters = tuple(ledger.agreement.converters[name] for name in names)
            jobs.append(Job(record.request, converters, _length_ms(ledger, record.request), record.submitted_at_ms))
    return tuple(jobs)


def _active_lease(ledger: Ledger, lease: Lease) -> ActiveLease:
    """Return an open lease with its unavailable converters and its expected end.

    A revoked lease has taken no converter down, so it is expected to end soon.
    """
    request = ledger.state.requests[lease.request].request
    expected_end_ms = ledger.now_ms + MIN_REMAINING_LEASE_MS
    if lease.state is not LeaseState.REVOKED:
        expected_end_ms = max(expected_end_ms, lease.granted_at_ms + _length_ms(ledger, request))
    converters = tuple(ledger.agreement.converters[name] for name in lease.unavailable)
    return ActiveLease(lease.name, request.name, converters, expected_end_ms)


def _length_ms(ledger: Ledger, request: Request) -> int:
    """Return how long each converter of a request is out of service, including its warm-up."""
    return request.duration_ms + ledger.agreement.services[request.service].warm_up_ms
