"""The state that a ledger's command handlers share, and the state changes that end leases and requests."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.capacity import CapacityView
from ryepier.maintenance.state import Lease, LedgerState, RequestRecord
from ryepier.maintenance.tables import LeaseState

MAX_COMPLETED_REQUESTS = 10_000  # per region; completed requests are kept to recognize repeated submissions


@dataclass(frozen=True, slots=True)
class LedgerContext:
    """One region's agreement, state and capacity view. Call methods that change the state only in `Ledger.apply`."""

    agreement: Agreement
    region: str
    state: LedgerState
    view: CapacityView

    def leases_of(self, request: str) -> list[Lease]:
        """Return the open leases of a request, oldest first."""
        return [lease for lease in self.state.leases.values() if lease.request == request]

    def is_below_agreed_capacity(self, service: str) -> bool:
        """Return whether, as far as this region knows, less than the agreed capacity is available."""
        return self.view.describe_first_exceeded_limit(service, self.view.leased_converters()) is not None

    def next_token(self) -> int:
        """Issue a fencing token, higher than all tokens before it."""
        self.state.last_token += 1
        return self.state.last_token

    def begin_recovery(self, lease: Lease, next_state: LeaseState) -> None:
        """End the agent's right to take converters down, by moving the lease to `next_state`, RETURNING or REVOKED.

        From then on the lease waits for its converters to be observed ready and warm. Only observations that begin
        after the current log index count.
        """
        if lease.state is not next_state:
            lease.released_index = self.state.applied
        lease.state = next_state

    def revoke(self, lease: Lease) -> None:
        """Revoke a lease whose drain has not started."""
        self.begin_recovery(lease, LeaseState.REVOKED)

    def revoke_leases_below_agreement(self) -> tuple[str, ...]:
        """Revoke leases of services that are below their agreed capacity, and return the names of the revoked leases.

        Only leases whose drain has not started are revoked.
        """
        revoked_names = []
        for service in self.agreement.services:
            granted_leases = self._granted_leases(service)
            if granted_leases and self.is_below_agreed_capacity(service):
                for lease in granted_leases:
                    self.revoke(lease)
                    revoked_names.append(lease.name)
        return tuple(revoked_names)

    def _granted_leases(self, service: str) -> list[Lease]:
        """Return the leases on a service's converters whose drain has not started."""
        return [
            lease
            for lease in self.state.leases.values()
            if lease.state is LeaseState.GRANTED and self.state.requests[lease.request].request.service == service
        ]

    def close(self, lease: Lease) -> None:
        """Close a lease, so that its converters are no longer charged, and complete its request if it is finished."""
        lease.state = LeaseState.CLOSED
        del self.state.leases[lease.name]
        self.complete_if_finished(self.state.requests[lease.request])

    def complete_if_finished(self, record: RequestRecord, *, deadline_passed: bool = False) -> bool:
        """Move a request to the completed requests if it has no open lease and needs no further one.

        A request needs no further lease if it is cancelled, all its converters are done, or its deadline has passed
        (`deadline_passed`). Returns whether the request was moved.
        """
        name = record.request.name
        if self.leases_of(name) or not (record.cancelled or deadline_passed or not record.remaining_converters()):
            return False
        del self.state.requests[name]
        self.state.completed[name] = record.request
        if len(self.state.completed) > MAX_COMPLETED_REQUESTS:
            del self.state.completed[next(iter(self.state.completed))]
        return True
