"""What a schedule rests on: requests, limits, losses, what leases hold, and the last schedule's windows."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ryepier.maintenance.agreement import Converter
from ryepier.maintenance.commands import Request
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.tables import LeaseState

AGING_MS = 600_000  # a request that could have started goes up one priority for each of these
MIN_REMAINING_LEASE_MS = 1_000  # for which a lease that should be over is taken to go on


@dataclass(frozen=True, slots=True)
class Window:
    """Converters of a request that go out together; `end_ms` is when they should be warm again."""

    request: str
    converters: tuple[str, ...]
    start_ms: int
    end_ms: int


@dataclass(frozen=True, slots=True)
class Job:
    """What is left to place of a request."""

    request: Request
    converters: tuple[Converter, ...]
    length_ms: int  # of one converter, with warming up
    submitted_ms: int = 0

    def work(self) -> int:
        """Capacity times time that the request takes out, in thousandths of a size times ms."""
        return sum(converter.size for converter in self.converters) * self.length_ms


@dataclass(frozen=True, slots=True)
class ActiveLease:
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
    active_leases: tuple[ActiveLease, ...] = ()
    previous: tuple[Window, ...] = ()  # the last schedule's

    def desired_start_ms(self, job: Job) -> int:
        """When a request would begin if nothing were in its way."""
        return max(self.now_ms, job.request.earliest_ms)

    def priority(self, job: Job) -> int:
        """A request's priority, raised by the time that it has waited."""
        waited_ms = self.now_ms - max(job.submitted_ms, job.request.earliest_ms)
        return max(0, job.request.priority - max(0, waited_ms) // AGING_MS)


def build_problem(ledger: Ledger, previous: Sequence[Window] = ()) -> Problem:
    """The problem that a ledger poses now."""
    out = ledger.view.leased_converters()
    everything = ledger.agreement.converters
    here = {name: one for name, one in everything.items() if one.region == ledger.region}
    requests = {record.request.name: record.request for record in ledger.state.requests.values()}
    held = []
    for lease in ledger.open_leases():
        request = requests[lease.request]
        until = lease.granted_ms + _length(ledger, request) if lease.state is not LeaseState.REVOKED else 0
        until = max(until, ledger.now_ms + MIN_REMAINING_LEASE_MS)
        held.append(ActiveLease(lease.name, request.name, tuple(everything[name] for name in lease.unavailable), until))
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
        active_leases=tuple(held),
        previous=tuple(previous),
    )


def _length(ledger: Ledger, request: Request) -> int:
    return request.duration_ms + ledger.agreement.services[request.service].warm_up_ms
