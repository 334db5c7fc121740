"""Escrow: what may be out globally, divided into one allowance a region, and how allowances move.

The giver debits before anything is sent, so a transfer on its way is in nobody's allowance: the allowances of all
regions never add up to more than the whole, in whatever order, how often or how late messages come.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ryepier.maintenance.agreement import format_units
from ryepier.maintenance.commands import CapacityNeed, Transfer
from ryepier.maintenance.tables import GIVER, RECEIVER, TransferEvent, TransferState


class ReceivedNumbers(msgspec.Struct):
    """The numbers of transfers that were credited from one giver, kept short."""

    up_to: int = 0  # all from 1 to this
    above: list[int] = []  # and these

    def has(self, number: int) -> bool:
        """Whether the transfer with this number was credited."""
        return number <= self.up_to or number in self.above

    def add(self, number: int) -> None:
        """Note a number as credited."""
        self.above = sorted({*self.above, number})
        while self.above and self.above[0] <= self.up_to + 1:
            self.up_to = max(self.up_to, self.above.pop(0))


class Escrow(msgspec.Struct):
    """One region's side of the escrow."""

    allowances: dict[str, int]  # by service, thousandths
    last_sent: dict[str, int] = {}  # by receiver, the highest number
    pending: list[Transfer] = []  # debited and not acknowledged, to be sent again
    received: dict[str, ReceivedNumbers] = {}  # by giver

    def next_number(self, receiver: str) -> int:
        """The number that the next transfer to `receiver` must have."""
        return self.last_sent.get(receiver, 0) + 1

    def giver_state(self, transfer: Transfer) -> TransferState:
        """How far a transfer of this region has come."""
        if transfer.number >= self.next_number(transfer.receiver):
            return TransferState.UNKNOWN
        return TransferState.DEBITED if self._pending_match(transfer) else TransferState.ACKNOWLEDGED

    def receiver_state(self, transfer: Transfer) -> TransferState:
        """Whether a transfer to this region was credited."""
        numbers = self.received.get(transfer.giver)
        credited = numbers is not None and numbers.has(transfer.number)
        return TransferState.CREDITED if credited else TransferState.UNKNOWN

    def debit(self, transfer: Transfer, spare: int) -> str | None:
        """Take the amount away, once; gives the reason where that is refused."""
        before = self.giver_state(transfer)
        if before is TransferState.DEBITED and self._pending_match(transfer) != transfer:
            return f"transfer {format_transfer(transfer)} was debited with another content"
        if before is not TransferState.UNKNOWN:
            return None
        number = self.next_number(transfer.receiver)
        if transfer.number != number:
            return f"transfer {format_transfer(transfer)}: the next number to {transfer.receiver!r} is {number}"
        if transfer.amount > spare:
            over = format_units(transfer.amount - max(0, spare))
            return f"transfer {format_transfer(transfer)} takes {over} more of {transfer.service!r} than can be spared"
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
        """Stop sending the transfer; gives the reason where that is refused."""
        before = self.giver_state(transfer)
        if GIVER.after(before, TransferEvent.ACKNOWLEDGE) is None:
            return f"transfer {format_transfer(transfer)} was never debited"
        if before is TransferState.DEBITED and self._pending_match(transfer) != transfer:
            return f"transfer {format_transfer(transfer)} was debited with another content"
        self.pending = [one for one in self.pending if one != transfer]
        return None

    def _pending_match(self, transfer: Transfer) -> Transfer | None:
        """The pending transfer of the same identity."""
        same = (one for one in self.pending if (one.receiver, one.number) == (transfer.receiver, transfer.number))
        return next(same, None)


def format_transfer(transfer: Transfer) -> str:
    """The identity of a transfer as people read it."""
    return f"{transfer.giver}->{transfer.receiver}#{transfer.number}"


def rebalance(
    region: str, escrow: Escrow, spare: Mapping[str, int], peers: Mapping[str, Mapping[str, CapacityNeed]]
) -> list[Transfer]:
    """Transfers that this region should debit: what it can spare, to peers that told of a need.

    `spare` by service is what its own leases, losses, requests and least part leave; `peers` by region and service.
    Deficits go before shortages, the greater before the smaller. A peer that has one on its way gets no second.
    """
    transfers = []
    left = dict(spare)
    numbers = {peer: escrow.next_number(peer) for peer in peers}
    busy = {(one.receiver, one.service) for one in escrow.pending}
    needs = [
        (need.deficit, max(need.deficit, need.shortage), peer, service)
        for peer, needs in peers.items()
        for service, need in needs.items()
        if (peer, service) not in busy
    ]
    for _, need, peer, service in sorted(needs, key=lambda one: (-one[0], -one[1], one[2:])):
        amount = min(need, left.get(service, 0))
        if amount > 0:
            transfers.append(Transfer(region, peer, numbers[peer], service, amount))
            numbers[peer] += 1
            left[service] -= amount
    return transfers
