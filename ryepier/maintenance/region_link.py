"""What the leader of one region has to do with another region: standings told, transfers sent until acknowledged."""

from __future__ import annotations

import logging
from typing import ClassVar

from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.api import ClientKind
from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import (
    AcknowledgeTransfer,
    Command,
    CreditTransfer,
    DebitTransfer,
    RecordStanding,
    Standing,
)
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.results import Credited
from ryepier.maintenance.transport import parse_address

log = logging.getLogger(__name__)

KIND: ClientKind = "region"


class RegionLink:
    """One direction: from this region's leader to another region's coordinators."""

    EVERY_S: ClassVar[float] = 0.5
    WITHIN_S: ClassVar[float] = 2.0

    def __init__(self, agreement: Agreement, region: str, other: str) -> None:
        """Know the other region's replicas; nothing is opened yet."""
        self.region = region
        self.other = other
        addresses = {one.name: parse_address(one.address) for one in agreement.regions[other].replicas}
        self.client = RegionClient(other, addresses, region, KIND)
        self.reachable = True
        self.told: dict[str, Standing] | None = None

    def forget(self) -> None:
        """Another leader may have told something else meanwhile."""
        self.told = None

    def commands_due(self, ledger: Ledger) -> list[Command]:
        """Debits that this region should commit for the other, before they are sent."""
        return [DebitTransfer(one) for one in ledger.transfers_due() if one.receiver == self.other]

    async def exchange(self, ledger: Ledger) -> list[Command]:
        """Tell the standing and send what is on its way; gives what to commit for what came back."""
        pending = [one for one in ledger.pending_transfers() if one.receiver == self.other]
        due: list[Command] = []
        try:
            await self._tell_standings(ledger)
            for transfer in pending:
                result = await self.client.command(CreditTransfer(transfer), self.WITHIN_S)
                if isinstance(result, Credited):
                    due.append(AcknowledgeTransfer(transfer))
        except CallError as error:
            self._note_reachable(False, str(error))
        else:
            self._note_reachable(True, "")
        return due

    async def _tell_standings(self, ledger: Ledger) -> None:
        """Tell them where they have changed: each telling is an entry in the other region's log. Raises CallError."""
        standings = ledger.standings()
        if standings == self.told:
            return
        self.told = None  # until it is known that they have come
        await self.client.command(RecordStanding(self.region, max(1, ledger.applied), standings), self.WITHIN_S)
        self.told = standings

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        """Log a change, not every try."""
        if reachable != self.reachable:
            log.warning("region %s: %s", self.other, reason or "is reached again")
        self.reachable = reachable
