"""Applies the commands that submit requests, cancel requests and advance the region's time."""

from __future__ import annotations

from ryepier.maintenance import submission
from ryepier.maintenance.commands import CancelRequest, Request, SubmitRequest
from ryepier.maintenance.ledger_context import LedgerContext
from ryepier.maintenance.results import Accepted, Advanced, Cancelled, Rejected, Result
from ryepier.maintenance.state import RequestRecord
from ryepier.maintenance.tables import LeaseState


class RequestCommandHandler:
    """Applies the commands that open and cancel requests, and completes requests whose deadline has passed."""

    def __init__(self, context: LedgerContext) -> None:
        """Create a handler whose methods read and change the ledger state in `context`."""
        self.context = context
        self.state = context.state

    def submit(self, command: SubmitRequest) -> Result:
        """Open a request. An identical request is accepted again; a different one with the same name is rejected."""
        request = command.request
        existing_request = self._find_request(request.name)
        if existing_request is not None:
            if existing_request == request:
                return Accepted(request.name)
            return Rejected(f"request {request.name!r} already exists with different content")
        converters = submission.requested_converters(self.context.agreement, request)
        reason = submission.rejection_reason(self.context.agreement, self.state, request, converters)
        if reason:
            return Rejected(f"request {request.name!r}: {reason}")
        self.state.requests[request.name] = RequestRecord(request, converters, self.state.now_ms)
        return Accepted(request.name)

    def _find_request(self, name: str) -> Request | None:
        """Return the open or completed request with this name, or None."""
        record = self.state.requests.get(name)
        return record.request if record else self.state.completed.get(name)

    def cancel(self, command: CancelRequest) -> Result:
        """Stop granting leases to a request, and revoke its leases whose drain has not started."""
        name = command.request
        record = self.state.requests.get(name)
        if record is None:
            is_completed = name in self.state.completed
            return Cancelled(name) if is_completed else Rejected(f"request {name!r} is unknown")
        record.cancelled = True
        granted_leases = [lease for lease in self.context.leases_of(name) if lease.state is LeaseState.GRANTED]
        for lease in granted_leases:
            self.context.revoke(lease)
        self.context.complete_if_finished(record)
        return Cancelled(name, tuple(lease.name for lease in granted_leases))

    def advance_time(self, now_ms: int) -> Result:
        """Advance the region's time, which never goes back, and complete requests whose deadline has passed.

        A request with open leases stays open until they are closed.
        """
        self.state.now_ms = max(self.state.now_ms, now_ms)
        missed_requests = []
        for record in list(self.state.requests.values()):
            is_overdue = record.request.deadline_ms < self.state.now_ms
            if is_overdue and self.context.complete_if_finished(record, deadline_passed=True):
                missed_requests.append(record.request.name)
        return Advanced(self.state.now_ms, tuple(missed_requests))
