"""One region's ledger: the state machine that the region's replicas apply their log of commands to.

The rule that it keeps: at no moment have leases more of a service's capacity out than the agreement leaves, globally
and in the region. Capacity is out from the grant of a lease until its converter has been seen ready and warm again.
Deterministic: the same commands at the same indexes give the same state and results on every replica.
"""

from __future__ import annotations

from typing import ClassVar

from ryepier.maintenance import escrow, state, submission
from ryepier.maintenance.agreement import Agreement, format_units
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
    Request,
    RevokeLease,
    StartDrain,
    SubmitRequest,
    TakeOverLease,
    Transfer,
)
from ryepier.maintenance.escrow import Escrow
from ryepier.maintenance.limits import Limit
from ryepier.maintenance.results import (
    Accepted,
    Acknowledged,
    Advanced,
    AlreadyApplied,
    Cancelled,
    Credited,
    Debited,
    DrainStarted,
    Granted,
    LeaseRevoked,
    Observed,
    Rejected,
    Released,
    Result,
)
from ryepier.maintenance.state import Lease, LedgerState, ObservedState, PeerRegion, RequestRecord
from ryepier.maintenance.tables import LEASES, LeaseEvent, LeaseState, TransferState

REBALANCE_HORIZON_MS = 600_000  # requests that may begin within this draw allowances to their region
MAX_COMPLETED_REQUESTS = 10_000  # remembered, so that a repeated submission is not taken for a new request

LeaseCommand = TakeOverLease | StartDrain | ReleaseLease | RevokeLease


class Ledger:
    """The state of one region and the only way to change it: `apply`."""

    view_type: ClassVar[type[CapacityView]] = CapacityView

    def __init__(self, agreement: Agreement, region: str) -> None:
        """An empty ledger. Raises KeyError where the agreement has no such region."""
        if region not in agreement.regions:
            raise KeyError(region)
        allowances = {one.name: one.allowances.get(region, 0) for one in agreement.services.values()}
        self._attach(agreement, LedgerState(region, agreement.digest, Escrow(allowances)))

    def _attach(self, agreement: Agreement, ledger_state: LedgerState) -> None:
        self.agreement = agreement
        self.region = ledger_state.region
        self.state = ledger_state
        self.view = self.view_type(agreement, self.region, ledger_state)

    @classmethod
    def restore(cls, agreement: Agreement, region: str, snapshot: bytes) -> Ledger:
        """The ledger that a snapshot was taken of. Raises state.SnapshotError."""
        ledger = cls(agreement, region)
        ledger._attach(agreement, state.decode(snapshot, region, agreement.digest))
        return ledger

    def snapshot(self) -> bytes:
        """The whole state; equal for replicas that have applied the same commands."""
        return state.encode(self.state)

    # what may be asked

    @property
    def applied(self) -> int:
        """The index of the last command that was applied."""
        return self.state.applied

    @property
    def now_ms(self) -> int:
        """The region's time, for scheduling only."""
        return self.state.now_ms

    def capacity(self, service: str) -> Capacity:
        """How much of a service is in force, out and lost here. Raises KeyError."""
        return self.view.capacity(service)

    def limits(self, service: str) -> tuple[Limit, ...]:
        """What bounds the capacity out or lost here, as it is now. Raises KeyError."""
        return self.view.limits(service)

    def charge(self, limit: Limit) -> int:
        """What stands against a limit now."""
        return self.view.charge(limit, self.view.leased_converters())

    def is_below_agreement(self, service: str) -> bool:
        """Whether less is in force than agreed, as far as this region knows."""
        return self.view.over(service, self.view.leased_converters()) is not None

    def open_leases(self) -> list[Lease]:
        """All leases that still have a converter out, oldest first. Not to be changed."""
        return list(self.state.leases.values())

    def open_requests(self) -> list[RequestRecord]:
        """All requests that are neither done, cancelled nor missed, oldest first. Not to be changed."""
        return [one for one in self.state.requests.values() if not one.cancelled]

    def fencing_token(self, converter: str) -> int:
        """The token under which a converter may be taken down; 0 where none is."""
        states = (LeaseState.GRANTED, LeaseState.DRAINING)
        for lease in self.state.leases.values():
            if converter in lease.unavailable and lease.state in states:
                return lease.token
        return 0

    def pending_transfers(self) -> list[Transfer]:
        """Transfers to send, again and again, until each is acknowledged."""
        return list(self.state.escrow.pending)

    def needs(self) -> dict[str, CapacityNeed]:
        """What to tell the other regions, under the number `applied`."""
        return {service: self._capacity_need(service) for service in self.agreement.services}

    def transfers_due(self) -> list[Transfer]:
        """Transfers that this region should debit for what its peers told."""
        spare = {service: self._spare_allowance(service) for service in self.agreement.services}
        peers = {name: peer.needs for name, peer in self.state.peers.items()}
        return escrow.rebalance(self.region, self.state.escrow, spare, peers)

    def _capacity_need(self, service: str) -> CapacityNeed:
        capacity = self.capacity(service)
        deficit = max(0, capacity.unavailable + capacity.lost - capacity.allowance)
        shortage = max(0, self._wanted_capacity(service) + capacity.lost - capacity.allowance)
        return CapacityNeed(deficit, shortage)

    def _spare_allowance(self, service: str) -> int:
        capacity = self.capacity(service)
        used = max(capacity.unavailable, self._wanted_capacity(service)) + capacity.lost
        return max(0, capacity.allowance - max(used, self.agreement.services[service].min_allowance))

    def _wanted_capacity(self, service: str) -> int:
        """What the open requests that may soon begin would have out at once, if they all ran together."""
        wanted = 0
        soon_ms = self.state.now_ms + REBALANCE_HORIZON_MS
        for record in self.open_requests():
            if record.request.service == service and record.request.earliest_ms <= soon_ms:
                sizes = sorted((self.agreement.converters[name].size for name in record.remaining()), reverse=True)
                wanted += sum(sizes[: record.request.max_unavailable])
        return min(wanted, self.agreement.max_unavailable_in(service, self.region))

    # commands

    def apply(self, index: int, command: Command) -> Result:
        """Apply the command at a log index. An index that was applied before changes nothing."""
        if index <= self.state.applied:
            return AlreadyApplied(index)
        self.state.applied = index
        match command:
            case SubmitRequest():
                return self._submit(command.request)
            case CancelRequest():
                return self._cancel(command.request)
            case GrantLease():
                return self._grant(command)
            case TakeOverLease() | StartDrain() | ReleaseLease() | RevokeLease():
                return self._change_lease(command)
            case RecordObservation():
                return self._observe(command)
            case RecordCapacityNeeds():
                return self._record_standing(command)
            case DebitTransfer():
                return self._debit(command.transfer)
            case CreditTransfer():
                return self._credit(command.transfer)
            case AcknowledgeTransfer():
                return self._acknowledge(command.transfer)
            case AdvanceTime():
                return self._advance(command.now_ms)

    # requests

    def _submit(self, request: Request) -> Result:
        known = self._known_request(request.name)
        if known is not None:
            same = known == request
            return Accepted(request.name) if same else Rejected(f"request {request.name!r} is there with other content")
        converters = submission.requested_converters(self.agreement, request)
        reason = submission.rejection_reason(self.agreement, self.state, request, converters)
        if reason:
            return Rejected(f"request {request.name!r}: {reason}")
        self.state.requests[request.name] = RequestRecord(request, converters, self.state.now_ms)
        return Accepted(request.name)

    def _known_request(self, name: str) -> Request | None:
        record = self.state.requests.get(name)
        return record.request if record else self.state.completed.get(name)

    def _cancel(self, name: str) -> Result:
        record = self.state.requests.get(name)
        if record is None:
            known = name in self.state.completed
            return Cancelled(name) if known else Rejected(f"request {name!r} is unknown")
        record.cancelled = True
        begun_not = [one for one in self._leases_of(name) if one.state is LeaseState.GRANTED]
        for lease in begun_not:
            self._revoke(lease)
        self._finish_if_done(record)
        return Cancelled(name, tuple(one.name for one in begun_not))

    def _leases_of(self, request: str) -> list[Lease]:
        return [one for one in self.state.leases.values() if one.request == request]

    def _finish_if_done(self, record: RequestRecord, *, missed: bool = False) -> bool:
        """Put a request away when nothing is left to do for it."""
        name = record.request.name
        if self._leases_of(name) or not (record.cancelled or missed or not record.remaining()):
            return False
        del self.state.requests[name]
        self.state.completed[name] = record.request
        if len(self.state.completed) > MAX_COMPLETED_REQUESTS:
            del self.state.completed[next(iter(self.state.completed))]
        return True

    # leases

    def _grant(self, command: GrantLease) -> Result:
        known = self.state.leases.get(command.lease)
        if known is not None:
            return self._grant_again(known, command)
        reason = self._grant_rejection(command)
        if reason:
            return Rejected(f"lease {command.lease!r}: {reason}")
        self.state.requests[command.request].leases.append(command.lease)
        lease = Lease(
            name=command.lease,
            request=command.request,
            agent=command.agent,
            token=self._next_token(),
            converters=command.converters,
            unavailable=list(command.converters),
            granted_ms=self.state.now_ms,
        )
        self.state.leases[lease.name] = lease
        return _granted(lease)

    def _grant_again(self, lease: Lease, command: GrantLease) -> Result:
        same = (lease.request, lease.agent, lease.converters) == (command.request, command.agent, command.converters)
        if not same:
            return Rejected(f"lease {lease.name!r} is there with other content")
        if lease.state not in (LeaseState.GRANTED, LeaseState.DRAINING):
            return Rejected(f"lease {lease.name!r} is {lease.state}")
        return _granted(lease)

    def _grant_rejection(self, command: GrantLease) -> str | None:
        record = self.state.requests.get(command.request)
        if record is None or record.cancelled:
            return f"request {command.request!r} is not open"
        if command.lease in record.leases:
            return "it is closed"
        if not command.converters or len(set(command.converters)) < len(command.converters):
            return "names no converter, or one twice"
        out = self.view.leased_converters()
        for name in command.converters:
            if name not in record.remaining():
                return f"converter {name!r} is not to be done for request {command.request!r}"
            if name in out:
                return f"converter {name!r} is out already"
        request = record.request
        together = sum(len(one.unavailable) for one in self._leases_of(request.name)) + len(command.converters)
        if together > request.max_unavailable:
            return (
                f"{together} converters of request {request.name!r} would be out and {request.max_unavailable} may be"
            )
        return self.view.over(request.service, out | set(command.converters))

    def _next_token(self) -> int:
        self.state.last_token += 1
        return self.state.last_token

    def _change_lease(self, command: LeaseCommand) -> Result:
        lease = self.state.leases.get(command.lease)
        if lease is None:
            return Rejected(f"lease {command.lease!r} is not open")
        if isinstance(command, TakeOverLease) and (command.agent, command.token) == (lease.agent, lease.previous_token):
            return _granted(lease)  # told before
        if not isinstance(command, RevokeLease) and command.token != lease.token:
            return Rejected(f"lease {lease.name!r}: token {command.token} is not the current one, {lease.token}")
        event = _event_of(command)
        after = LEASES.after(lease.state, event)
        if after is None:
            return Rejected(f"lease {lease.name!r} is {lease.state}: no {event}")
        match command:
            case TakeOverLease():
                return self._take_over(lease, command.agent)
            case RevokeLease():
                self._revoke(lease)
                return LeaseRevoked(lease.name)
            case StartDrain():
                lease.state = after
                return DrainStarted(lease.name)
            case ReleaseLease():
                self._settle(lease, after)
                return Released(lease.name, tuple(lease.unavailable))

    def _take_over(self, lease: Lease, agent: str) -> Result:
        lease.previous_token = lease.token
        lease.token = self._next_token()
        lease.agent = agent
        return _granted(lease)

    def _revoke(self, lease: Lease) -> None:
        self._settle(lease, LeaseState.REVOKED)

    def _settle(self, lease: Lease, after: LeaseState) -> None:
        """The holder has no more right to take converters down; what is seen from here on may end the lease."""
        if lease.state is not after:
            lease.released_index = self.state.applied
        lease.state = after

    # what is seen, and told by other regions

    def _observe(self, command: RecordObservation) -> Result:
        reason = self._observation_rejection(command)
        if reason:
            return Rejected(f"observation {command.sequence} of {command.observer!r}: {reason}")
        self.state.observers[command.observer] = command.sequence
        closed: list[str] = []
        for observation in command.observations:
            seen = ObservedState(observation.ready, observation.warmth, command.as_of)
            last = self.state.observed.get(observation.converter)
            if last is None or last.as_of <= seen.as_of:
                self.state.observed[observation.converter] = seen
                closed += self._mark_recovered(observation.converter, seen)
        return Observed(tuple(closed), self._revoke_below_agreement())

    def _observation_rejection(self, command: RecordObservation) -> str | None:
        last = self.state.observers.get(command.observer, 0)
        if command.sequence <= last:
            return f"{last} was recorded before"
        if command.as_of >= self.state.applied:
            return f"it says that it came after log index {command.as_of}, which was not there"
        for observation in command.observations:
            converter = self.agreement.converters.get(observation.converter)
            if converter is None or converter.region != self.region:
                return f"converter {observation.converter!r} is none of region {self.region!r}"
        return None

    def _mark_recovered(self, converter: str, seen: ObservedState) -> list[str]:
        """End what leases hold of a converter that was seen ready and warm; gives those that it closes."""
        closed = []
        for lease in list(self.state.leases.values()):
            after = LEASES.after(lease.state, LeaseEvent.ALL_RECOVERED)
            if converter not in lease.unavailable or after is None:
                continue
            if self.view.is_recovered(seen) and seen.as_of >= lease.released_index:
                self._free(lease, converter)
                if not lease.unavailable:
                    closed.append(lease.name)
                    self._close(lease)
        return closed

    def _free(self, lease: Lease, converter: str) -> None:
        lease.unavailable.remove(converter)
        if lease.state is LeaseState.RETURNING:
            self.state.requests[lease.request].done.append(converter)

    def _close(self, lease: Lease) -> None:
        lease.state = LeaseState.CLOSED
        del self.state.leases[lease.name]
        self._finish_if_done(self.state.requests[lease.request])

    def _revoke_below_agreement(self) -> tuple[str, ...]:
        """Call off every drain that has not begun of services that are under the agreement."""
        revoked = []
        for service in self.agreement.services:
            granted = [
                one
                for one in self.state.leases.values()
                if one.state is LeaseState.GRANTED and self.state.requests[one.request].request.service == service
            ]
            if granted and self.is_below_agreement(service):
                for lease in granted:
                    self._revoke(lease)
                    revoked.append(lease.name)
        return tuple(revoked)

    def _record_standing(self, command: RecordCapacityNeeds) -> Result:
        if command.region == self.region or command.region not in self.agreement.regions:
            return Rejected(f"standing of {command.region!r}: it is no other region")
        unknown = sorted(set(command.needs) - set(self.agreement.services))
        if unknown:
            return Rejected(f"standing of {command.region!r}: unknown service {unknown[0]!r}")
        last = self.state.peers.get(command.region)
        if last is not None and command.number <= last.number:
            return Rejected(f"standing of {command.region!r}: number {last.number} was recorded before")
        self.state.peers[command.region] = PeerRegion(command.number, command.needs)
        return Observed((), self._revoke_below_agreement())

    # transfers

    def _debit(self, transfer: Transfer) -> Result:
        reason = self._transfer_rejection(transfer, transfer.giver, transfer.receiver)
        if reason is None:
            reason = self.state.escrow.debit(transfer, self._transferable(transfer.service))
        if reason:
            return Rejected(reason)
        if self.state.escrow.giver_state(transfer) is TransferState.ACKNOWLEDGED:
            return Acknowledged(transfer)
        return Debited(transfer)

    def _transferable(self, service: str) -> int:
        """What may be given away of the allowance: nothing that is out or lost, nor the region's least part."""
        capacity = self.capacity(service)
        return capacity.allowance - max(
            capacity.unavailable + capacity.lost, self.agreement.services[service].min_allowance
        )

    def _credit(self, transfer: Transfer) -> Result:
        reason = self._transfer_rejection(transfer, transfer.receiver, transfer.giver)
        if reason:
            return Rejected(reason)
        if self._is_credited(transfer):
            return Credited(transfer)
        after = self.state.escrow.allowances[transfer.service] + transfer.amount
        whole = self.agreement.max_unavailable(transfer.service)
        if after > whole:
            over = format_units(after - whole)
            return Rejected(
                f"transfer {escrow.format_transfer(transfer)}: {over} more than the whole of all allowances"
            )
        self.state.escrow.credit(transfer)
        return Credited(transfer)

    def _is_credited(self, transfer: Transfer) -> bool:
        return self.state.escrow.receiver_state(transfer) is TransferState.CREDITED

    def _acknowledge(self, transfer: Transfer) -> Result:
        reason = self._transfer_rejection(transfer, transfer.giver, transfer.receiver)
        reason = reason or self.state.escrow.acknowledge(transfer)
        return Rejected(reason) if reason else Acknowledged(transfer)

    def _transfer_rejection(self, transfer: Transfer, own: str, other: str) -> str | None:
        """Whether a transfer is between this region and another one, and of a service that there is."""
        name = escrow.format_transfer(transfer)
        if own != self.region:
            return f"transfer {name} is a matter of region {own!r}; this is {self.region!r}"
        if other == self.region or other not in self.agreement.regions:
            return f"transfer {name}: {other!r} is no other region"
        if transfer.service not in self.agreement.services:
            return f"transfer {name}: unknown service {transfer.service!r}"
        return None

    # time

    def _advance(self, now_ms: int) -> Result:
        self.state.now_ms = max(self.state.now_ms, now_ms)
        missed = []
        for record in list(self.state.requests.values()):
            late = record.request.deadline_ms < self.state.now_ms
            if late and self._finish_if_done(record, missed=True):
                missed.append(record.request.name)
        return Advanced(self.state.now_ms, tuple(missed))


def _granted(lease: Lease) -> Granted:
    return Granted(lease.name, lease.agent, lease.token, lease.converters)


def _event_of(command: LeaseCommand) -> LeaseEvent:
    match command:
        case TakeOverLease():
            return LeaseEvent.TAKE_OVER
        case StartDrain():
            return LeaseEvent.BEGIN
        case ReleaseLease():
            return LeaseEvent.RELEASE
        case RevokeLease():
            return LeaseEvent.REVOKE
