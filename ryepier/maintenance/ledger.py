"""One region's ledger: the state machine to which the region's replicas apply their replicated log of commands.

Invariant: leases never take more of a service's capacity out of service than the agreement allows, over all regions or
in this one. Capacity counts as out of service from the grant of a lease until the converter is observed ready and warm
again. The ledger is deterministic: the same commands at the same indexes give the same state and results on every
replica.
"""

from __future__ import annotations

from typing import ClassVar

from ryepier.maintenance import state
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.capacity import Capacity, CapacityView
from ryepier.maintenance.commands import (
    AcknowledgeTransfer,
    AdvanceTime,
    CancelRequest,
    CapacityNeed,
    Command,
    CreditTransfer,
    DebitTransfer,
    GrantLease,
    RecordCapacityNeeds,
    RecordObservation,
    ReleaseLease,
    RevokeLease,
    StartDrain,
    SubmitRequest,
    TakeOverLease,
    Transfer,
)
from ryepier.maintenance.escrow import Escrow
from ryepier.maintenance.lease_commands import LeaseCommandHandler
from ryepier.maintenance.ledger_context import LedgerContext
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.observation_commands import ObservationCommandHandler
from ryepier.maintenance.request_commands import RequestCommandHandler
from ryepier.maintenance.results import AlreadyApplied, Result
from ryepier.maintenance.state import Lease, LedgerState, RequestRecord
from ryepier.maintenance.tables import LeaseState
from ryepier.maintenance.transfer_commands import TransferCommandHandler


class Ledger:
    """The maintenance state of one region, changed only by `apply`. Not thread-safe: use it on the event loop only.

    Subclasses replace the view and the command handlers through the `..._type` attributes to seed faults.
    """

    view_type: ClassVar[type[CapacityView]] = CapacityView
    request_handler_type: ClassVar[type[RequestCommandHandler]] = RequestCommandHandler
    observation_handler_type: ClassVar[type[ObservationCommandHandler]] = ObservationCommandHandler
    transfer_handler_type: ClassVar[type[TransferCommandHandler]] = TransferCommandHandler

    def __init__(self, agreement: Agreement, region: str) -> None:
        """Start with the initial allowances and no leases or requests. Raises KeyError if the region is unknown."""
        if region not in agreement.regions:
            raise KeyError(region)
        allowances = {service.name: service.allowances.get(region, 0) for service in agreement.services.values()}
        self._attach(agreement, LedgerState(region, agreement.digest, Escrow(allowances)))

    def _attach(self, agreement: Agreement, ledger_state: LedgerState) -> None:
        """Replace the state by `ledger_state`, and create the view and the command handlers for it."""
        self.agreement = agreement
        self.region = ledger_state.region
        self.state = ledger_state
        self.view = self.view_type(agreement, self.region, ledger_state)
        self._context = LedgerContext(agreement, self.region, ledger_state, self.view)
        self._request_handler = self.request_handler_type(self._context)
        self._lease_handler = LeaseCommandHandler(self._context)
        self._observation_handler = self.observation_handler_type(self._context)
        self._transfer_handler = self.transfer_handler_type(self._context)

    @classmethod
    def restore(cls, agreement: Agreement, region: str, snapshot: bytes) -> Ledger:
        """Restore a ledger from a snapshot. Raises state.SnapshotError."""
        ledger = cls(agreement, region)
        ledger._attach(agreement, state.decode(snapshot, region, agreement.digest))
        return ledger

    def snapshot(self) -> bytes:
        """Encode the whole state. Replicas that have applied the same commands return equal bytes."""
        return state.encode(self.state)

    def apply(self, index: int, command: Command) -> Result:
        """Apply the command at a log index. Does nothing if this index or a later one has already been applied."""
        if index <= self.state.applied:
            return AlreadyApplied(index)
        self.state.applied = index
        match command:
            case SubmitRequest():
                return self._request_handler.submit(command)
            case CancelRequest():
                return self._request_handler.cancel(command)
            case AdvanceTime():
                return self._request_handler.advance_time(command.now_ms)
            case GrantLease():
                return self._lease_handler.grant(command)
            case TakeOverLease() | StartDrain() | ReleaseLease() | RevokeLease():
                return self._lease_handler.change_lease(command)
            case RecordObservation():
                return self._observation_handler.record_observation(command)
            case RecordCapacityNeeds():
                return self._observation_handler.record_needs(command)
            case DebitTransfer():
                return self._transfer_handler.debit(command.transfer)
            case CreditTransfer():
                return self._transfer_handler.credit(command.transfer)
            case AcknowledgeTransfer():
                return self._transfer_handler.acknowledge(command.transfer)

    @property
    def applied(self) -> int:
        """The log index of the last applied command."""
        return self.state.applied

    @property
    def now_ms(self) -> int:
        """The region's time in milliseconds, for scheduling only."""
        return self.state.now_ms

    def capacity(self, service: str) -> Capacity:
        """Return the current capacity of a service in this region. Raises KeyError if the service is unknown."""
        return self.view.capacity(service)

    def limits(self, service: str) -> tuple[Limit, ...]:
        """Return the current limits on a service in this region. Raises KeyError if the service is unknown."""
        return self.view.limits(service)

    def charge(self, limit: Limit) -> int:
        """Return the capacity currently charged against a limit."""
        return self.view.charge(limit, self.view.leased_converters())

    def is_below_agreed_capacity(self, service: str) -> bool:
        """Return whether, as far as this region knows, less than the agreed capacity is available."""
        return self._context.is_below_agreed_capacity(service)

    def open_leases(self) -> list[Lease]:
        """Return all leases with a converter still out of service, oldest first. The caller must not modify them."""
        return list(self.state.leases.values())

    def open_requests(self) -> list[RequestRecord]:
        """Return all requests that can still get leases, oldest first. The caller must not modify them."""
        return self.state.open_requests()

    def fencing_token(self, converter: str) -> int:
        """Return the fencing token under which a converter may be taken down, or 0 if none is valid."""
        for lease in self.state.leases.values():
            if converter in lease.unavailable and lease.state in (LeaseState.GRANTED, LeaseState.DRAINING):
                return lease.token
        return 0

    def pending_transfers(self) -> list[Transfer]:
        """Return the debited transfers, each of which must be sent repeatedly until it is acknowledged."""
        return list(self.state.escrow.pending)

    def transfers_due(self) -> list[Transfer]:
        """Return the transfers that this region should debit to cover the needs reported by its peers."""
        return self._transfer_handler.due_transfers()

    def capacity_needs(self) -> dict[str, CapacityNeed]:
        """Return the needs to report to the other regions, by service. The caller numbers the report with `applied`."""
        return {service: self._transfer_handler.capacity_need(service) for service in self.agreement.services}
