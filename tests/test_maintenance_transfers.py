"""Transfers of allowance between regions: delivery in any order, and transfers that cover reported needs."""

from __future__ import annotations

from ryepier.maintenance.commands import (
    AcknowledgeTransfer,
    AdvanceTime,
    CreditTransfer,
    DebitTransfer,
    SubmitRequest,
    Transfer,
)
from ryepier.maintenance.results import Acknowledged, Credited, Debited, Rejected
from tests.maintenance_cluster import Cluster
from tests.maintenance_world import AGREEMENTS, request, small_agreement


def test_late_repeated_and_reordered_transfers_are_credited_once() -> None:
    cluster = Cluster(small_agreement())
    south, north = cluster.ledger("south"), cluster.ledger("north")
    transfers = [Transfer("south", "north", number, "convert", 500) for number in (1, 2, 3)]
    for transfer in transfers:
        assert cluster.apply("south", DebitTransfer(transfer)) == Debited(transfer)
        assert cluster.apply("south", DebitTransfer(transfer)) == Debited(transfer)
    for transfer in (transfers[2], transfers[0], transfers[2], transfers[1], transfers[0]):
        assert cluster.apply("north", CreditTransfer(transfer)) == Credited(transfer)
        cluster.restart("north")
    north = cluster.ledger("north")
    assert north.capacity("convert").allowance == 3500 and south.capacity("convert").allowance == 500
    assert south.pending_transfers() == transfers, "transfers stay pending until acknowledged"
    for transfer in reversed(transfers):
        assert cluster.apply("south", AcknowledgeTransfer(transfer)) == Acknowledged(transfer)
        assert cluster.apply("south", AcknowledgeTransfer(transfer)) == Acknowledged(transfer)
    assert south.pending_transfers() == []
    assert cluster.apply("south", DebitTransfer(transfers[0])) == Acknowledged(transfers[0])


def test_a_transfer_number_with_different_content_is_rejected() -> None:
    cluster = Cluster(small_agreement())
    cluster.debit("south", "north", 500)
    conflicting_transfer = Transfer("south", "north", 1, "convert", 700)
    for command in (DebitTransfer(conflicting_transfer), AcknowledgeTransfer(conflicting_transfer)):
        result = cluster.apply("south", command)
        assert isinstance(result, Rejected) and "different content" in result.reason
    assert cluster.total_allowance() == 4000


def test_rebalancing_follows_requests_and_keeps_each_regions_minimum_allowance() -> None:
    cluster = Cluster(small_agreement())
    cluster.submit("north", "r1", ("n00", "n01", "n02", "n10"), 4)
    cluster.send_needs_and_transfers("north")
    cluster.deliver_all()
    cluster.rebalance("south")
    assert cluster.ledger("south").capacity("convert").allowance == 500
    cluster.rebalance("south")
    assert len(cluster.ledger("south").pending_transfers()) == 1, "no second transfer while the first is in transit"
    cluster.send_needs_and_transfers("south")
    cluster.deliver_all()
    assert cluster.ledger("north").capacity("convert").allowance == 3500
    assert cluster.ledger("south").pending_transfers() == [] and cluster.total_allowance() == 4000
    assert cluster.ledger("north").transfers_due() == []


def test_a_request_that_starts_beyond_the_rebalance_horizon_causes_no_shortage() -> None:
    cluster = Cluster(small_agreement())
    ledger = cluster.ledger("north")
    later_request = request(
        "far", converters=("n00", "n01", "n02"), max_unavailable=3, earliest_ms=10**6, deadline_ms=10**9
    )
    cluster.apply("north", SubmitRequest(later_request))
    assert ledger.capacity_needs()["convert"].shortage == 0
    cluster.apply("north", AdvanceTime(500_000))
    assert ledger.capacity_needs()["convert"].shortage == 1000


def test_needed_allowance_is_kept_and_deficits_are_covered_before_shortages() -> None:
    cluster = Cluster(AGREEMENTS[1])
    cluster.submit("north", "r1", ("n00", "n01", "n02"), 3)
    for name in ("w00", "w01", "w02"):
        cluster.lose_converter(name)
    cluster.observe("west")
    cluster.record_observation(0)
    for region in ("north", "west"):
        cluster.send_needs_and_transfers(region)
    cluster.deliver_all()
    assert cluster.ledger("north").transfers_due() == []
    due_amounts = [(transfer.receiver, transfer.amount) for transfer in cluster.ledger("south").transfers_due()]
    assert due_amounts == [("west", 1000), ("north", 500)]
