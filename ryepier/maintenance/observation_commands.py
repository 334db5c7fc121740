"""Applies the commands that record observations of the region's converters and the needs of other regions."""

from __future__ import annotations

from ryepier.maintenance.commands import RecordCapacityNeeds, RecordObservation
from ryepier.maintenance.ledger_context import LedgerContext
from ryepier.maintenance.results import Observed, Rejected, Result
from ryepier.maintenance.state import Lease, ObservedState, PeerReport
from ryepier.maintenance.tables import LEASE_TABLE, LeaseEvent, LeaseState


class ObservationCommandHandler:
    """Applies observations and the reports of other regions. Only an observation can close a lease."""

    def __init__(self, context: LedgerContext) -> None:
        """Create a handler whose methods read and change the ledger state in `context`."""
        self.context = context
        self.state = context.state

    def record_observation(self, command: RecordObservation) -> Result:
        """Record an observation, close leases whose converters have recovered, and revoke leases if too much is lost.

        An observation that began before a lease was released does not close that lease.
        """
        reason = self._observation_rejection(command)
        if reason:
            return Rejected(f"observation {command.sequence} of {command.observer!r}: {reason}")
        self.state.observers[command.observer] = command.sequence
        closed_names: list[str] = []
        for observation in command.observations:
            observed_state = ObservedState(observation.ready, observation.warmth, command.as_of)
            last_state = self.state.observed.get(observation.converter)
            if last_state is None or last_state.as_of <= observed_state.as_of:
                self.state.observed[observation.converter] = observed_state
                closed_names += self.mark_recovered(observation.converter, observed_state)
        return Observed(tuple(closed_names), self.context.revoke_leases_below_agreement())

    def _observation_rejection(self, command: RecordObservation) -> str | None:
        """Return why an observation cannot be recorded, in one line, or None if it can."""
        last_sequence = self.state.observers.get(command.observer, 0)
        if command.sequence <= last_sequence:
            return f"{last_sequence} was recorded before"
        if command.as_of >= self.state.applied:
            return f"it refers to log index {command.as_of}, which has not been applied"
        for observation in command.observations:
            converter = self.context.agreement.converters.get(observation.converter)
            if converter is None or converter.region != self.context.region:
                return f"converter {observation.converter!r} does not belong to region {self.context.region!r}"
        return None

    def mark_recovered(self, converter: str, observed_state: ObservedState) -> list[str]:
        """Remove a converter from its lease if it has recovered, and return the names of the leases that this closes.

        It has recovered if an observation that began after the lease's release or revocation shows it ready and warm.
        """
        closed_names = []
        for lease in list(self.state.leases.values()):
            next_state = LEASE_TABLE.next_state(lease.state, LeaseEvent.ALL_RECOVERED)
            if converter not in lease.unavailable or next_state is None:
                continue
            if self.context.view.is_recovered(observed_state) and observed_state.as_of >= lease.released_index:
                self._return_converter(lease, converter)
                if not lease.unavailable:
                    closed_names.append(lease.name)
                    self.context.close(lease)
        return closed_names

    def _return_converter(self, lease: Lease, converter: str) -> None:
        """Remove a converter from its lease, and mark it as done for the request unless the lease was revoked."""
        lease.unavailable.remove(converter)
        if lease.state is LeaseState.RETURNING:
            self.state.requests[lease.request].done.append(converter)

    def record_needs(self, command: RecordCapacityNeeds) -> Result:
        """Record the needs that another region reported, unless this report or a newer one has been recorded."""
        if command.region == self.context.region or command.region not in self.context.agreement.regions:
            return Rejected(f"standing of {command.region!r}: not another region of the agreement")
        unknown_services = sorted(set(command.needs) - set(self.context.agreement.services))
        if unknown_services:
            return Rejected(f"standing of {command.region!r}: unknown service {unknown_services[0]!r}")
        last_report = self.state.peers.get(command.region)
        if last_report is not None and command.number <= last_report.number:
            return Rejected(f"standing of {command.region!r}: number {last_report.number} was recorded before")
        self.state.peers[command.region] = PeerReport(command.number, command.needs)
        return Observed((), self.context.revoke_leases_below_agreement())
