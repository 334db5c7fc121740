"""The status of a region as its leader reports it to operators."""

from __future__ import annotations

from ryepier.maintenance.api import NO_START_MS, CapacityStatus, LeaseStatus, RequestStatus, StatusReply
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.planner import Planner
from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.state import Lease


def make_status_reply(number: int, now_ms: int, replica: Replica, planner: Planner) -> StatusReply:
    """Return the region's state as its leader has applied it, at the region's time `now_ms`."""
    ledger = planner.ledger
    return StatusReply(
        number=number,
        region=ledger.region,
        leader=replica.settings.name,
        term=replica.term,
        applied=ledger.applied,
        now_ms=now_ms,
        requests=_request_statuses(planner),
        leases=tuple(_lease_status(lease) for lease in ledger.open_leases()),
        capacities=tuple(_capacity_status(ledger, service) for service in ledger.agreement.services),
    )


def _request_statuses(planner: Planner) -> tuple[RequestStatus, ...]:
    """Return the open requests, each with its next window or the reason why it has none."""
    schedule = planner.current_schedule()
    reasons = {delayed.request: delayed.reason for delayed in schedule.delayed_requests}
    reasons |= {unplaced.request: unplaced.reason for unplaced in schedule.unplaced_requests}
    starts_ms: dict[str, int] = {}
    for window in schedule.windows:
        starts_ms[window.request] = min(window.start_ms, starts_ms.get(window.request, window.start_ms))
    return tuple(
        RequestStatus(
            name=record.request.name,
            service=record.request.service,
            remaining=tuple(record.remaining()),
            deadline_ms=record.request.deadline_ms,
            starts_ms=starts_ms.get(record.request.name, NO_START_MS),
            reason=reasons.get(record.request.name, ""),
        )
        for record in planner.ledger.open_requests()
    )


def _lease_status(lease: Lease) -> LeaseStatus:
    """Return an open lease as it is reported."""
    return LeaseStatus(
        name=lease.name,
        request=lease.request,
        agent=lease.agent,
        token=lease.token,
        state=lease.state,
        converters=lease.converters,
        unavailable=tuple(lease.unavailable),
    )


def _capacity_status(ledger: Ledger, service: str) -> CapacityStatus:
    """Return a service's figures as they are reported."""
    capacity = ledger.capacity(service)
    return CapacityStatus(service, capacity.available, capacity.unavailable, capacity.lost, capacity.allowance)
