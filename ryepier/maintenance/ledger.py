"""One region's ledger: the state machine that the region's replicas apply their log of commands to.

Invariant: at no moment do leases have more of a service's capacity out than the agreement allows, globally and in the
region. Capacity is out from the grant of a lease until its converter has been observed ready and warm again.
Deterministic: the same commands at the same indexes give the same state and results on every replica.
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
from ryepier.maintenance.lease_commands import LeaseCommands
from ryepier.maintenance.ledger_context import LedgerContext
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.observation_commands import ObservationCommands
from ryepier.maintenance.request_commands import RequestCommands
from ryepier.maintenance.results import AlreadyApplied, Result
from ryepier.maintenance.state import Lease, LedgerState, RequestRecord
from ryepier.maintenance.tables import LeaseState
from ryepier.maintenance.transfer_commands import TransferCommands


class Ledger:
    """The state of one region; `apply` is the only way to change it. Only the event loop's thread may call a ledger."""

    view_type: ClassVar[type[CapacityView]] = CapacityView
    request_commands_type: ClassVar[type[RequestCommands]] = RequestCommands
    observation_commands_type: ClassVar[type[ObservationCommands]] = ObservationCommands
    transfer_commands_type: ClassVar[type[TransferCommands]] = TransferCommands

    def __init__(self, agreement: Agreement, region: str) -> None:
        """Begin without leases and requests. Raises KeyError where the agreement has no such region."""
        if region not in agreement.regions:
            raise KeyError(region)
        allowances = {service.name: service.allowances.get(region, 0) for service in agreement.services.values()}
        self._attach(agreement, LedgerState(region, agreement.digest, Escrow(allowances)))

    def _attach(self, agreement: Agreement, ledger_state: LedgerState) -> None:
        """Work on a state, with handlers of its own."""
        self.agreement = agreement
        self.region = ledger_state.region
        self.state = ledger_state
        self.view = self.view_type(agreement, self.region, ledger_state)
        self._context = LedgerContext(agreement, self.region, ledger_state, self.view)
        self._request_commands = self.request_commands_type(self._context)
        self._lease_commands = LeaseCommands(self._context)
        self._observation_commands = self.observation_commands_type(self._context)
        self._transfer_commands = self.transfer_commands_type(self._context)

    @classmethod
    def restore(cls, agreement: Agreement, region: str, snapshot: bytes) -> Ledger:
        """Return the ledger that a snapshot was taken of. Raises state.SnapshotError."""
        ledger = cls(agreement, region)
        ledger._attach(agreement, state.decode(snapshot, region, agreement.digest))
        return ledger

    def snapshot(self) -> bytes:
        """Return the whole state; the bytes are equal on replicas that have applied the same commands."""
        return state.encode(self.state)

    def apply(self, index: int, command: Command) -> Result:
        """Apply the command at a log index. An index that was applied before changes nothing."""
        if index <= self.state.applied:
            return AlreadyApplied(index)
        self.state.applied = index
        match command:
            case SubmitRequest():
                return self._request_commands.submit(command)
            case CancelRequest():
                return self._request_commands.cancel(command)
            case AdvanceTime():
                return self._request_commands.advance_time(command.now_ms)
            case GrantLease():
                return self._lease_commands.grant(command)
            case TakeOverLease() | StartDrain() | ReleaseLease() | RevokeLease():
                return self._lease_commands.change_lease(command)
            case RecordObservation():
                return self._observation_commands.record_observation(command)
            case RecordCapacityNeeds():
                return self._observation_commands.record_needs(command)
            case DebitTransfer():
                return self._transfer_commands.debit(command.transfer)
            case CreditTransfer():
                return self._transfer_commands.credit(command.transfer)
            case AcknowledgeTransfer():
                return self._transfer_commands.acknowledge(command.transfer)

    @property
    def applied(self) -> int:
        """The index of the last command that was applied."""
        return self.state.applied

    @property
    def now_ms(self) -> int:
        """The region's time, for scheduling only."""
        return self.state.now_ms

    def capacity(self, service: str) -> Capacity:
        """Return how much of a service is available, out and lost here. Raises KeyError."""
        return self.view.capacity(service)

    def limits(self, service: str) -> tuple[Limit, ...]:
        """Return what bounds the capacity out or lost here at present. Raises KeyError."""
        return self.view.limits(service)

    def charge(self, limit: Limit) -> int:
        """Return what is charged against a limit at present."""
        return self.view.charge(limit, self.view.leased_converters())

    def is_below_agreement(self, service: str) -> bool:
        """Return whether less capacity is available than agreed, as far as this region knows."""
        return self._context.is_below_agreement(service)

    def open_leases(self) -> list[Lease]:
        """Return all leases that still have a converter out, oldest first. The caller must not change them."""
        return list(self.state.leases.values())

    def open_requests(self) -> list[RequestRecord]:
        """Return all requests that may get leases, oldest first. The caller must not change them."""
        return self.state.open_requests()

    def fencing_token(self, converter: str) -> int:
        """Return the token under which a converter may be taken down; 0 where there is none."""
        for lease in self.state.leases.values():
            if converter in lease.unavailable and lease.state in (LeaseState.GRANTED, LeaseState.DRAINING):
                return lease.token
        return 0

    def pending_transfers(self) -> list[Transfer]:
        """Return the transfers to send, again and again, until each is acknowledged."""
        return list(self.state.escrow.pending)

    def transfers_due(self) -> list[Transfer]:
        """Return the transfers that this region should debit for the needs that its peers reported."""
        return self._transfer_commands.due_transfers()

    def capacity_needs(self) -> dict[str, CapacityNeed]:
        """Return what to report to the other regions, by service, under the number `applied`."""
        return {service: self._transfer_commands.capacity_need(service) for service in self.agreement.services}
