"""Escrow: divides the capacity that may be unavailable globally into one allowance per region, and moves allowances.

The giver debits its allowance before it sends a transfer, so a transfer in transit is in no region's allowance. The
allowances of all regions therefore never add up to more than the total, even if messages are delayed, repeated or
reordered.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from ryepier.maintenance.agreement import format_capacity
from ryepier.maintenance.commands import CapacityNeed, Transfer
from ryepier.maintenance.tables import GIVER_TABLE, RECEIVER_TABLE, TransferEvent, TransferState


class ReceivedNumbers(msgspec.Struct):
    """The numbers of the transfers credited from one giver: all from 1 to `up_to`, and those in `above`."""

    up_to: int = 0
    above: list[int] = []

    def has(self, number: int) -> bool:
        """Return whether the transfer with this number was credited."""
        return number <= self.up_to or number in self.above

    def add(self, number: int) -> None:
        """Record a number as credited, and raise `up_to` past the numbers in `above` that follow it without a gap."""
        self.above = sorted({*self.above, number})
        while self.above and self.above[0] <= self.up_to + 1:
            self.up_to = max(self.up_to, self.above.pop(0))


class Escrow(msgspec.Struct):
    """One region's part of the escrow.

    `allowances` holds the current allowance in thousandths by service, `last_sent` the highest debited transfer number
    by receiver, and `received` the numbers of the credited transfers by giver. `pending` holds the transfers that are
    debited but not yet acknowledged and must be resent.
    """

    allowances: dict[str, int]
    last_sent: dict[str, int] = {}
    pending: list[Transfer] = []
    received: dict[str, ReceivedNumbers] = {}

    def next_number(self, receiver: str) -> int:
        """Return the number that the next transfer to `receiver` must have."""
        return self.last_sent.get(receiver, 0) + 1

    def giver_state(self, transfer: Transfer) -> TransferState:
        """Return the state of a transfer of which this region is the giver."""
        if transfer.number >= self.next_number(transfer.receiver):
            return TransferState.UNKNOWN
        return TransferState.DEBITED if self._pending_match(transfer) else TransferState.ACKNOWLEDGED

    def receiver_state(self, transfer: Transfer) -> TransferState:
        """Return the state of a transfer of which this region is the receiver."""
        numbers = self.received.get(transfer.giver)
        is_credited = numbers is not None and numbers.has(transfer.number)
        return TransferState.CREDITED if is_credited else TransferState.UNKNOWN

    def debit(self, transfer: Transfer, transferable_allowance: int) -> str | None:
        """Debit a transfer if `transferable_allowance` covers its amount. Repeating a debit has no effect.

        Returns the reason if the transfer is rejected, else None.
        """
        state = self.giver_state(transfer)
        if state is TransferState.DEBITED and self._pending_match(transfer) != transfer:
            return f"transfer {format_transfer(transfer)} was debited with different content"
        if state is not TransferState.UNKNOWN:
            return None
        number = self.next_number(transfer.receiver)
        if transfer.number != number:
            return f"transfer {format_transfer(transfer)}: the next number to {transfer.receiver!r} is {number}"
        if transfer.amount > transferable_allowance:
            excess = format_capacity(transfer.amount - max(0, transferable_allowance))
            name = format_transfer(transfer)
            return f"transfer {name} takes {excess} more of {transfer.service!r} than can be spared"
        assert GIVER_TABLE.next_state(state, TransferEvent.DEBIT) is TransferState.DEBITED
        self.allowances[transfer.service] -= transfer.amount
        self.last_sent[transfer.receiver] = transfer.number
        self.pending.append(transfer)
        return None

    def credit(self, transfer: Transfer) -> None:
        """Add the amount to the allowance and record the transfer as received.

        Must be called only once for each transfer.
        """
        assert RECEIVER_TABLE.next_state(self.receiver_state(transfer), TransferEvent.CREDIT) is TransferState.CREDITED
        self.received.setdefault(transfer.giver, ReceivedNumbers()).add(transfer.number)
        self.allowances[transfer.service] += transfer.amount

    def acknowledge(self, transfer: Transfer) -> str | None:
        """Stop resending a transfer.

        Returns the reason if the acknowledgement is rejected, else None.
        """
        state = self.giver_state(transfer)
        if GIVER_TABLE.next_state(state, TransferEvent.ACKNOWLEDGE) is None:
            return f"transfer {format_transfer(transfer)} was never debited"
        if state is TransferState.DEBITED and self._pending_match(transfer) != transfer:
            return f"transfer {format_transfer(transfer)} was debited with different content"
        self.pending = [candidate for candidate in self.pending if candidate != transfer]
        return None

    def _pending_match(self, transfer: Transfer) -> Transfer | None:
        """Return the pending transfer with the same receiver and number, or None."""
        matches = (
            candidate
            for candidate in self.pending
            if (candidate.receiver, candidate.number) == (transfer.receiver, transfer.number)
        )
        return next(matches, None)


class _PeerNeed(NamedTuple):
    """The sort key of a peer's need for one service: larger deficits first, then larger needs."""

    negative_deficit: int
    negative_need: int
    peer: str
    service: str


def format_transfer(transfer: Transfer) -> str:
    """Format the identity of a transfer for messages."""
    return f"{transfer.giver}->{transfer.receiver}#{transfer.number}"


def plan_transfers(
    region: str,
    escrow: Escrow,
    spare_allowances: Mapping[str, int],
    peer_needs: Mapping[str, Mapping[str, CapacityNeed]],
) -> list[Transfer]:
    """Return the transfers that this region should debit to cover the needs of its peers.

    `spare_allowances` holds, by service, the allowance that is not needed for the region's own leases, losses, requests
    and minimum allowance. `peer_needs` holds the needs by region and service. While a transfer of a service to a peer
    is in transit, no further one is planned.
    """
    transfers = []
    remaining_allowances = dict(spare_allowances)
    next_numbers = {peer: escrow.next_number(peer) for peer in peer_needs}
    in_transit = {(transfer.receiver, transfer.service) for transfer in escrow.pending}
    needs = [
        _PeerNeed(-need.deficit, -max(need.deficit, need.shortage), peer, service)
        for peer, needs_by_service in peer_needs.items()
        for service, need in needs_by_service.items()
        if (peer, service) not in in_transit
    ]
    for _, negative_need, peer, service in sorted(needs):
        amount = min(-negative_need, remaining_allowances.get(service, 0))
        if amount > 0:
            transfers.append(Transfer(region, peer, next_numbers[peer], service, amount))
            next_numbers[peer] += 1
            remaining_allowances[service] -= amount
    return transfers
