"""Applies the commands that transfer allowance between regions, and computes a region's needs and due transfers."""

from __future__ import annotations

from ryepier.maintenance import escrow
from ryepier.maintenance.agreement import format_capacity
from ryepier.maintenance.capacity import Capacity
from ryepier.maintenance.commands import CapacityNeed, Transfer
from ryepier.maintenance.ledger_context import LedgerContext
from ryepier.maintenance.results import Acknowledged, Credited, Debited, Rejected, Result
from ryepier.maintenance.tables import TransferState

REBALANCE_HORIZON_MS = 600_000  # only requests that may start within this time count as needing allowance


class TransferCommandHandler:
    """Applies transfer commands to one region's part of the escrow. Capacities are in thousandths."""

    def __init__(self, context: LedgerContext) -> None:
        """Create a handler whose methods read and change the ledger state in `context`."""
        self.context = context
        self.state = context.state

    def debit(self, transfer: Transfer) -> Result:
        """Subtract a transfer's amount from this region's allowance. A repeated debit has no further effect."""
        reason = self._transfer_rejection(transfer, transfer.giver, transfer.receiver)
        if reason is None:
            reason = self.state.escrow.debit(transfer, self.transferable_allowance(transfer.service))
        if reason:
            return Rejected(reason)
        if self.state.escrow.giver_state(transfer) is TransferState.ACKNOWLEDGED:
            return Acknowledged(transfer)
        return Debited(transfer)

    def transferable_allowance(self, service: str) -> int:
        """Return how much of the allowance can be transferred to other regions.

        The region keeps enough for its unavailable and lost capacity, and at least its minimum allowance.
        """
        capacity = self._capacity(service)
        used_allowance = capacity.unavailable + capacity.lost
        return capacity.allowance - max(used_allowance, self.context.agreement.services[service].min_allowance)

    def credit(self, transfer: Transfer) -> Result:
        """Add a transfer's amount to this region's allowance. A repeated credit has no further effect."""
        reason = self._transfer_rejection(transfer, transfer.receiver, transfer.giver)
        if reason:
            return Rejected(reason)
        if self.is_credited(transfer):
            return Credited(transfer)
        new_allowance = self.state.escrow.allowances[transfer.service] + transfer.amount
        total_allowance = self.context.agreement.max_unavailable(transfer.service)
        if new_allowance > total_allowance:
            excess = format_capacity(new_allowance - total_allowance)
            name = escrow.format_transfer(transfer)
            return Rejected(f"transfer {name}: {excess} more than the total of all allowances")
        self.state.escrow.credit(transfer)
        return Credited(transfer)

    def is_credited(self, transfer: Transfer) -> bool:
        """Return whether a transfer to this region has already been credited."""
        return self.state.escrow.receiver_state(transfer) is TransferState.CREDITED

    def acknowledge(self, transfer: Transfer) -> Result:
        """Stop resending a transfer whose credit the receiver has committed."""
        reason = self._transfer_rejection(transfer, transfer.giver, transfer.receiver)
        reason = reason or self.state.escrow.acknowledge(transfer)
        return Rejected(reason) if reason else Acknowledged(transfer)

    def _transfer_rejection(self, transfer: Transfer, own_region: str, other_region: str) -> str | None:
        """Return why a transfer is invalid, or None if it is valid.

        `own_region` is the giver or receiver that must apply the command, `other_region` the other end of the transfer.
        """
        name = escrow.format_transfer(transfer)
        region = self.context.region
        if own_region != region:
            return f"transfer {name} must be handled by region {own_region!r}; this is {region!r}"
        if other_region == region or other_region not in self.context.agreement.regions:
            return f"transfer {name}: {other_region!r} is not another region of the agreement"
        if transfer.service not in self.context.agreement.services:
            return f"transfer {name}: unknown service {transfer.service!r}"
        return None

    def due_transfers(self) -> list[Transfer]:
        """Return the transfers that this region should debit to cover the needs reported by its peers."""
        spare_allowances = {service: self._spare_allowance(service) for service in self.context.agreement.services}
        peer_needs = {name: peer.needs for name, peer in self.state.peers.items()}
        return escrow.plan_transfers(self.context.region, self.state.escrow, spare_allowances, peer_needs)

    def capacity_need(self, service: str) -> CapacityNeed:
        """Return the need for a service to report to the other regions."""
        capacity = self._capacity(service)
        deficit = max(0, capacity.unavailable + capacity.lost - capacity.allowance)
        shortage = max(0, self._requested_capacity(service) + capacity.lost - capacity.allowance)
        return CapacityNeed(deficit, shortage)

    def _spare_allowance(self, service: str) -> int:
        """Return the allowance that this region does not need itself.

        It needs allowance for its leases, its losses and the requests that may start soon, and at least the minimum
        allowance.
        """
        capacity = self._capacity(service)
        needed_allowance = max(capacity.unavailable, self._requested_capacity(service)) + capacity.lost
        return max(
            0, capacity.allowance - max(needed_allowance, self.context.agreement.services[service].min_allowance)
        )

    def _requested_capacity(self, service: str) -> int:
        """Return the capacity that would be unavailable if the open requests all ran at the same time.

        Only requests that may start within `REBALANCE_HORIZON_MS` are counted. The result is at most the capacity that
        may be unavailable in this region.
        """
        requested_capacity = 0
        horizon_end_ms = self.state.now_ms + REBALANCE_HORIZON_MS
        for record in self.state.open_requests():
            request = record.request
            if request.service == service and request.earliest_ms <= horizon_end_ms:
                converters = self.context.agreement.converters
                sizes = sorted((converters[name].size for name in record.remaining_converters()), reverse=True)
                requested_capacity += sum(sizes[: request.max_unavailable])
        return min(requested_capacity, self.context.agreement.max_unavailable_in(service, self.context.region))

    def _capacity(self, service: str) -> Capacity:
        """Return the current capacity of a service in this region."""
        return self.context.view.capacity(service)
