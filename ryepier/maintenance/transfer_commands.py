"""Commands that move allowances between regions, and the needs and transfers that follow from a ledger's state."""

from __future__ import annotations

from ryepier.maintenance import escrow
from ryepier.maintenance.agreement import format_capacity
from ryepier.maintenance.capacity import Capacity
from ryepier.maintenance.commands import CapacityNeed, Transfer
from ryepier.maintenance.ledger_context import LedgerContext
from ryepier.maintenance.results import Acknowledged, Credited, Debited, Rejected, Result
from ryepier.maintenance.tables import TransferState

REBALANCE_HORIZON_MS = 600_000  # requests that may start within this draw allowances to their region


class TransferCommands:
    """Applies the commands of one region's side of the escrow. Capacities are in thousandths."""

    def __init__(self, context: LedgerContext) -> None:
        """Apply commands to the state in `context`."""
        self.context = context
        self.state = context.state

    def debit(self, transfer: Transfer) -> Result:
        """Take a transfer's amount from this region's allowance, once."""
        reason = self._transfer_rejection(transfer, transfer.giver, transfer.receiver)
        if reason is None:
            reason = self.state.escrow.debit(transfer, self.transferable(transfer.service))
        if reason:
            return Rejected(reason)
        if self.state.escrow.giver_state(transfer) is TransferState.ACKNOWLEDGED:
            return Acknowledged(transfer)
        return Debited(transfer)

    def transferable(self, service: str) -> int:
        """Return how much of the allowance can be given away: nothing that is out or lost, nor the minimum kept."""
        capacity = self._capacity(service)
        used = capacity.unavailable + capacity.lost
        return capacity.allowance - max(used, self.context.agreement.services[service].min_allowance)

    def credit(self, transfer: Transfer) -> Result:
        """Add a transfer's amount to this region's allowance, once."""
        reason = self._transfer_rejection(transfer, transfer.receiver, transfer.giver)
        if reason:
            return Rejected(reason)
        if self.is_credited(transfer):
            return Credited(transfer)
        after = self.state.escrow.allowances[transfer.service] + transfer.amount
        total = self.context.agreement.max_unavailable(transfer.service)
        if after > total:
            excess = format_capacity(after - total)
            name = escrow.format_transfer(transfer)
            return Rejected(f"transfer {name}: {excess} more than the whole of all allowances")
        self.state.escrow.credit(transfer)
        return Credited(transfer)

    def is_credited(self, transfer: Transfer) -> bool:
        """Return whether a transfer to this region was counted before."""
        return self.state.escrow.receiver_state(transfer) is TransferState.CREDITED

    def acknowledge(self, transfer: Transfer) -> Result:
        """Stop sending a transfer whose credit is committed."""
        reason = self._transfer_rejection(transfer, transfer.giver, transfer.receiver)
        reason = reason or self.state.escrow.acknowledge(transfer)
        return Rejected(reason) if reason else Acknowledged(transfer)

    def _transfer_rejection(self, transfer: Transfer, own: str, other: str) -> str | None:
        """Return why a transfer is not between this region and another one, of a known service; None where it is."""
        name = escrow.format_transfer(transfer)
        region = self.context.region
        if own != region:
            return f"transfer {name} is a matter of region {own!r}; this is {region!r}"
        if other == region or other not in self.context.agreement.regions:
            return f"transfer {name}: {other!r} is no other region"
        if transfer.service not in self.context.agreement.services:
            return f"transfer {name}: unknown service {transfer.service!r}"
        return None

    def due(self) -> list[Transfer]:
        """Return the transfers that this region should debit for the needs that its peers reported."""
        spare = {service: self._spare_allowance(service) for service in self.context.agreement.services}
        peers = {name: peer.needs for name, peer in self.state.peers.items()}
        return escrow.rebalance(self.context.region, self.state.escrow, spare, peers)

    def need(self, service: str) -> CapacityNeed:
        """Return what to report of a service to the other regions."""
        capacity = self._capacity(service)
        deficit = max(0, capacity.unavailable + capacity.lost - capacity.allowance)
        shortage = max(0, self._wanted_capacity(service) + capacity.lost - capacity.allowance)
        return CapacityNeed(deficit, shortage)

    def _spare_allowance(self, service: str) -> int:
        """Return the part of the allowance that neither leases, losses nor requests of this region need."""
        capacity = self._capacity(service)
        used = max(capacity.unavailable, self._wanted_capacity(service)) + capacity.lost
        return max(0, capacity.allowance - max(used, self.context.agreement.services[service].min_allowance))

    def _wanted_capacity(self, service: str) -> int:
        """Return what the open requests that may soon start would have out at once, if they all ran together."""
        wanted = 0
        horizon_ms = self.state.now_ms + REBALANCE_HORIZON_MS
        for record in self.state.open_requests():
            request = record.request
            if request.service == service and request.earliest_ms <= horizon_ms:
                converters = self.context.agreement.converters
                sizes = sorted((converters[name].size for name in record.remaining()), reverse=True)
                wanted += sum(sizes[: request.max_unavailable])
        return min(wanted, self.context.agreement.max_unavailable_in(service, self.context.region))

    def _capacity(self, service: str) -> Capacity:
        """Return the present figures of a service."""
        return self.context.view.capacity(service)
