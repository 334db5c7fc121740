"""Sends capacity needs and allowance transfers from the leader of one region to another region."""

from __future__ import annotations

import logging
from typing import ClassVar

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
from ryepier.maintenance.settings import replica_addresses

log = logging.getLogger(__name__)


class RegionLink:
    """The link from this region's leader to the coordinators of another region. One task at a time may use it."""

    EXCHANGE_INTERVAL_S: ClassVar[float] = 0.5
    CALL_TIMEOUT_S: ClassVar[float] = 2.0

    def __init__(self, agreement: Agreement, region: str, remote_region: str) -> None:
        """Start without a connection and without a last report; the remote replicas' addresses are in `agreement`."""
        self.region = region
        self.remote_region = remote_region
        self.client = RegionClient(
            remote_region, replica_addresses(agreement, remote_region), region, ClientKind.REGION
        )
        self.reachable = True
        self.last_reported_needs: dict[str, CapacityNeed] | None = None

    def forget_last_report(self) -> None:
        """Have the next exchange report the needs again, because another leader may have reported different needs."""
        self.last_reported_needs = None

    def debits_due(self, ledger: Ledger) -> list[Command]:
        """Return the debits for the remote region. This region must commit them before their transfers are sent."""
        return [
            DebitTransfer(transfer) for transfer in ledger.transfers_due() if transfer.receiver == self.remote_region
        ]

    async def exchange(self, ledger: Ledger) -> list[Command]:
        """Report the capacity needs and send the pending transfers; return the acknowledgements to commit."""
        pending_transfers = [
            transfer for transfer in ledger.pending_transfers() if transfer.receiver == self.remote_region
        ]
        acknowledgements: list[Command] = []
        try:
            await self._report_needs(ledger)
            for transfer in pending_transfers:
                result = await self.client.command(CreditTransfer(transfer), self.CALL_TIMEOUT_S)
                if isinstance(result, Credited):
                    acknowledgements.append(AcknowledgeTransfer(transfer))
        except CallError as error:
            self._log_reachability(False, str(error))
        else:
            self._log_reachability(True, "reachable again")
        return acknowledgements

    async def _report_needs(self, ledger: Ledger) -> None:
        """Report the capacity needs if they have changed since the last report.

        Unchanged needs are not sent because each report is an entry in the remote region's log. Raises CallError.
        """
        needs = ledger.capacity_needs()
        if needs == self.last_reported_needs:
            return
        self.last_reported_needs = None  # if the call fails, the next exchange reports the needs again
        report = RecordCapacityNeeds(self.region, max(1, ledger.applied), needs)
        await self.client.command(report, self.CALL_TIMEOUT_S)
        self.last_reported_needs = needs

    def _log_reachability(self, reachable: bool, message: str) -> None:
        """Log the message if the region's reachability has changed since the last exchange."""
        if reachable != self.reachable:
            log.warning("region %s: %s", self.remote_region, message)
        self.reachable = reachable
