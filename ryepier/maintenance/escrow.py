"""Escrow: what may be out globally, divided into one allowance a region, and how allowances move.

The giver debits before anything is sent, so a transfer in transit is in no region's allowance: the allowances of all
regions never add up to more than the total, in whatever order, how often or how late messages arrive.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from ryepier.maintenance.agreement import format_capacity
from ryepier.maintenance.commands import CapacityNeed, Transfer
from ryepier.maintenance.tables import GIVER, RECEIVER, TransferEvent, TransferState


class ReceivedNumbers(msgspec.Struct):
    """The numbers of the transfers that were credited from one giver: 1 to `up_to`, and those in `above`."""

    up_to: int = 0
    above: list[int] = []

    def has(self, number: int) -> bool:
        """Return whether the transfer with this number was credited."""
        return number <= self.up_to or number in self.above

    def add(self, number: int) -> None:
        """Record a number as credited."""
        self.above = sorted({*self.above, number})
        while self.above and self.above[0] <= self.up_to + 1:
            self.up_to = max(self.up_to, self.above.pop(0))


class Escrow(msgspec.Struct):
    """One region's side of the escrow.

    `allowances` are by service, in thousandths; `last_sent` is the highest number by receiver; `pending` holds the
    transfers that were debited and not acknowledged, to be sent again; `received` is by giver.
    """

    allowances: dict[str, int]
    last_sent: dict[str, int] = {}
    pending: list[Transfer] = []
    received: dict[str, ReceivedNumbers] = {}

    def next_number(self, receiver: str) -> int:
        """Return the number that the next transfer to `receiver` must have."""
        return self.last_sent.get(receiver, 0) + 1

    def giver_state(self, transfer: Transfer) -> TransferState:
        """Return the state of a transfer that this region gives."""
        if transfer.number >= self.next_number(transfer.receiver):
            return TransferState.UNKNOWN
        return TransferState.DEBITED if self._pending_match(transfer) else TransferState.ACKNOWLEDGED

    def receiver_state(self, transfer: Transfer) -> TransferState:
        """Return the state of a transfer that this region receives."""
        numbers = self.received.get(transfer.giver)
        credited = numbers is not None and numbers.has(transfer.number)
        return TransferState.CREDITED if credited else TransferState.UNKNOWN

    def debit(self, transfer: Transfer, spare: int) -> str | None:
        """Take the amount away, once, where `spare` covers it; return the reason where that is rejected."""
        before = self.giver_state(transfer)
        if before is TransferState.DEBITED and self._pending_match(transfer) != transfer:
            return f"transfer {format_transfer(transfer)} was debited with another content"
        if before is not TransferState.UNKNOWN:
            return None
        number = self.next_number(transfer.receiver)
        if transfer.number != number:
            return f"transfer {format_transfer(transfer)}: the next number to {transfer.receiver!r} is {number}"
        if transfer.amount > spare:
            excess = format_capacity(transfer.amount - max(0, spare))
            name = format_transfer(transfer)
            return f"transfer {name} takes {excess} more of {transfer.service!r} than can be spared"
        assert GIVER.after(before, TransferEvent.DEBIT) is TransferState.DEBITED
        self.allowances[transfer.service] -= transfer.amount
        self.last_sent[transfer.receiver] = transfer.number
        self.pending.append(transfer)
        return None

    def credit(self, transfer: Transfer) -> None:
        """Add the amount."""
        assert RECEIVER.after(self.receiver_state(transfer), TransferEvent.CREDIT) is TransferState.CREDITED
        self.received.setdefault(transfer.giver, ReceivedNumbers()).add(transfer.number)
        self.allowances[transfer.service] += transfer.amount

    def acknowledge(self, transfer: Transfer) -> str | None:
        """Stop sending the transfer; return the reason where that is rejected."""
        before = self.giver_state(transfer)
        if GIVER.after(before, TransferEvent.ACKNOWLEDGE) is None:
            return f"transfer {format_transfer(transfer)} was never debited"
        if before is TransferState.DEBITED and self._pending_match(transfer) != transfer:
            return f"transfer {format_transfer(transfer)} was debited with another content"
        self.pending = [one for one in self.pending if one != transfer]
        return None

    def _pending_match(self, transfer: Transfer) -> Transfer | None:
        """Return the pending transfer of the same identity."""
        same = (one for one in self.pending if (one.receiver, one.number) == (transfer.receiver, transfer.number))
        return next(same, None)


class _PeerNeed(NamedTuple):
    """What one peer needs of one service. Deficits go before shortages, the greater before the smaller."""

    negative_deficit: int
    negative_need: int
    peer: str
    service: str


def format_transfer(transfer: Transfer) -> str:
    """Return the identity of a transfer for messages."""
    return f"{transfer.giver}->{transfer.receiver}#{transfer.number}"


def rebalance(
    region: str, escrow: Escrow, spare: Mapping[str, int], peers: Mapping[str, Mapping[str, CapacityNeed]]
) -> list[Transfer]:
    """Return the transfers that this region should debit for the needs of its peers.

    `spare` by service is what its own leases, losses, requests and minimum allowance leave; `peers` is by region and
    service. A peer with a transfer of a service in transit gets no second one.
    """
    transfers = []
    remaining = dict(spare)
    numbers = {peer: escrow.next_number(peer) for peer in peers}
    in_transit = {(transfer.receiver, transfer.service) for transfer in escrow.pending}
    needs = [
        _PeerNeed(-need.deficit, -max(need.deficit, need.shortage), peer, service)
        for peer, by_service in peers.items()
        for service, need in by_service.items()
        if (peer, service) not in in_transit
    ]
    for _, negative_need, peer, service in sorted(needs):
        amount = min(-negative_need, remaining.get(service, 0))
        if amount > 0:
            transfers.append(Transfer(region, peer, numbers[peer], service, amount))
            numbers[peer] += 1
            remaining[service] -= amount
    return transfers
