"""Builds the status that a region's leader reports to its clients."""

from __future__ import annotations

from ryepier.maintenance.api import NO_START_MS, CapacityStatus, LeaseStatus, RequestStatus, StatusReply
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.planner import Planner
from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.state import Lease


def make_status_reply(number: int, now_ms: int, replica: Replica, planner: Planner) -> StatusReply:
    """Return the reply to status call `number`: the region's applied state at the region's time `now_ms`."""
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
    """Return the open requests, each with the start of its next window or the reason for its delay."""
    schedule = planner.current_schedule()
    reasons = {delayed.request: delayed.reason for delayed in schedule.delayed_requests}
    reasons |= {unplaced.request: unplaced.reason for unplaced in schedule.unplaced_requests}
    start_ms_by_request: dict[str, int] = {}
    for window in schedule.windows:
        start_ms_by_request[window.request] = min(
            window.start_ms, start_ms_by_request.get(window.request, window.start_ms)
        )
    return tuple(
        RequestStatus(
            name=record.request.name,
            service=record.request.service,
            remaining=tuple(record.remaining_converters()),
            deadline_ms=record.request.deadline_ms,
            starts_ms=start_ms_by_request.get(record.request.name, NO_START_MS),
            reason=reasons.get(record.request.name, ""),
        )
        for record in planner.ledger.open_requests()
    )


def _lease_status(lease: Lease) -> LeaseStatus:
    """Convert an open lease of the ledger to the form that is sent to clients."""
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
    """Return how much of a service's capacity is available, unavailable and lost, and the region's allowance."""
    capacity = ledger.capacity(service)
    return CapacityStatus(service, capacity.available, capacity.unavailable, capacity.lost, capacity.allowance)
