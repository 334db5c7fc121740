"""What the leader of one region has to do with another region: standings told, transfers sent until acknowledged."""

from __future__ import annotations

import logging
from typing import ClassVar

from ryepier.maintenance.address import parse_address
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.api import ClientKind
from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import (
    AcknowledgeTransfer,
    CapacityNeed,
    Command,
    CreditTransfer,
    DebitTransfer,
    RecordCapacityNeeds,
)
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.results import Credited

log = logging.getLogger(__name__)

KIND: ClientKind = "region"


class RegionLink:
    """One direction: from this region's leader to another region's coordinators."""

    INTERVAL_S: ClassVar[float] = 0.5
    TIMEOUT_S: ClassVar[float] = 2.0

    def __init__(self, agreement: Agreement, region: str, other: str) -> None:
        """Know the other region's replicas; nothing is opened yet."""
        self.region = region
        self.other = other
        addresses = {one.name: parse_address(one.address) for one in agreement.regions[other].replicas}
        self.client = RegionClient(other, addresses, region, KIND)
        self.reachable = True
        self.last_reported: dict[str, CapacityNeed] | None = None

    def reset(self) -> None:
        """Another leader may have told something else meanwhile."""
        self.last_reported = None

    def commands_due(self, ledger: Ledger) -> list[Command]:
        """Debits that this region should commit for the other, before they are sent."""
        return [DebitTransfer(one) for one in ledger.transfers_due() if one.receiver == self.other]

    async def exchange(self, ledger: Ledger) -> list[Command]:
        """Tell the standing and send what is on its way; gives what to commit for what came back."""
        pending = [one for one in ledger.pending_transfers() if one.receiver == self.other]
        due: list[Command] = []
        try:
            await self._report_needs(ledger)
            for transfer in pending:
                result = await self.client.command(CreditTransfer(transfer), self.TIMEOUT_S)
                if isinstance(result, Credited):
                    due.append(AcknowledgeTransfer(transfer))
        except CallError as error:
            self._log_reachability(False, str(error))
        else:
            self._log_reachability(True, "")
        return due

    async def _report_needs(self, ledger: Ledger) -> None:
        """Tell them where they have changed: each telling is an entry in the other region's log. Raises CallError."""
        needs = ledger.needs()
        if needs == self.last_reported:
            return
        self.last_reported = None  # until it is known that they have come
        await self.client.command(RecordCapacityNeeds(self.region, max(1, ledger.applied), needs), self.TIMEOUT_S)
        self.last_reported = needs

    def _log_reachability(self, reachable: bool, reason: str) -> None:
        """Log a change, not every try."""
        if reachable != self.reachable:
            log.warning("region %s: %s", self.other, reason or "is reached again")
        self.reachable = reachable
