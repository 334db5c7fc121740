"""One region's ledger: leases, fencing tokens, losses, limits, and rejected commands."""

from __future__ import annotations

import msgspec
import pytest

from ryepier.maintenance import agreement_file, commands, state
from ryepier.maintenance.commands import (
    AcknowledgeTransfer,
    AdvanceTime,
    CancelRequest,
    CapacityNeed,
    Command,
    CommandError,
    ConverterObservation,
    CreditTransfer,
    DebitTransfer,
    GrantLease,
    RecordCapacityNeeds,
    RecordObservation,
    ReleaseLease,
    RevokeLease,
    StartDrain,
    SubmitRequest,
    TakeOverLease,
    Transfer,
)
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.results import (
    Accepted,
    Advanced,
    AlreadyApplied,
    Cancelled,
    Granted,
    LeaseRevoked,
    Observed,
    Rejected,
    Released,
)
from ryepier.maintenance.tables import GIVER_TABLE, LEASE_TABLE, RECEIVER_TABLE, LeaseState
from tests.maintenance_world import AGREEMENT_TEXT, RegionLedger, north_region, request, small_agreement


def test_a_lease_is_charged_until_its_converter_is_observed_ready_and_warm() -> None:
    region = north_region()
    granted = region.request_and_grant("r1", "n00")
    assert region.ledger.capacity("convert").unavailable == 1000
    region.observe("n00")  # ready before the drain starts: the observation must not close the lease
    region.apply(StartDrain("r1/1", granted.token))
    region.apply(AdvanceTime(10_000_000))
    region.observe("n00")
    before_release = region.ledger.applied
    assert region.apply(ReleaseLease("r1/1", granted.token)) == Released("r1/1", ("n00",))
    region.observe("n00", as_of=before_release)  # n00 may have gone down after this observation
    region.observe("n00", ready=False)
    region.observe("n00", warmth=999)
    assert region.ledger.capacity("convert").unavailable == 1000
    assert region.observe("n00") == Observed(("r1/1",))
    assert region.ledger.capacity("convert").unavailable == 0 and region.ledger.open_leases() == []
    assert region.apply(SubmitRequest(request("r1"))) == Accepted("r1"), (
        "a repeated submission of a completed request is accepted"
    )


def test_a_repeated_grant_returns_the_same_lease_and_an_index_is_applied_once() -> None:
    region = north_region()
    first_grant = region.request_and_grant("r1", "n00")
    assert region.grant("r1/1", "r1", "n00") == first_grant
    assert isinstance(region.grant("r1/1", "r1", "n00", agent="agent-2"), Rejected)
    snapshot = region.ledger.snapshot()
    assert region.ledger.apply(3, RevokeLease("r1/1")) == AlreadyApplied(3) and region.ledger.snapshot() == snapshot
    region.drain_and_release(first_grant)
    assert isinstance(region.grant("r1/1", "r1", "n00"), Rejected)
    region.observe("n00")
    assert isinstance(region.grant("r1/1", "r1", "n00"), Rejected)


def test_fencing_tokens_increase_and_outdated_tokens_are_rejected() -> None:
    region = north_region()
    first_grant = region.request_and_grant("r1", "n00")
    second_grant = region.apply(TakeOverLease("r1/1", "agent-2", first_grant.token))
    assert isinstance(second_grant, Granted) and second_grant.token > first_grant.token
    assert region.apply(TakeOverLease("r1/1", "agent-2", first_grant.token)) == second_grant, (
        "a repeated take-over returns the same lease"
    )
    for command in (
        StartDrain("r1/1", first_grant.token),
        ReleaseLease("r1/1", first_grant.token),
        TakeOverLease("r1/1", "agent-3", first_grant.token),
    ):
        result = region.apply(command)
        assert isinstance(result, Rejected) and f"token {first_grant.token}" in result.reason
    assert region.ledger.fencing_token("n00") == second_grant.token
    region.drain_and_release(second_grant)
    assert region.ledger.fencing_token("n00") == 0
    assert region.request_and_grant("r2", "n01").token > second_grant.token


def test_a_revoked_lease_is_charged_until_a_later_observation_and_can_be_granted_again() -> None:
    region = north_region()
    granted = region.request_and_grant("r1", "n00")
    assert region.apply(RevokeLease("r1/1")) == LeaseRevoked("r1/1")
    assert isinstance(region.apply(StartDrain("r1/1", granted.token)), Rejected)
    assert region.ledger.capacity("convert").unavailable == 1000
    assert region.observe("n00") == Observed(("r1/1",))
    assert isinstance(region.grant("r1/2", "r1", "n00"), Granted)
    region.apply(StartDrain("r1/2", granted.token + 1))
    result = region.apply(RevokeLease("r1/2"))
    assert isinstance(result, Rejected) and "draining" in result.reason


def test_losses_are_charged_first_and_revoke_leases_whose_drain_has_not_started() -> None:
    region = north_region()
    draining_grant = region.request_and_grant("r1", "n00")
    region.apply(StartDrain("r1/1", draining_grant.token))
    region.request_and_grant("r2", "n01")
    region.apply(SubmitRequest(request("r3", converters=("n02",))))
    assert region.observe("n10", ready=False) == Observed((), ("r2/1",))
    assert region.ledger.is_below_agreed_capacity("convert")
    assert region.ledger.capacity("convert").lost == 1000
    region.observe("n10", warmth=500)  # ready again, with half of the warm-up done
    assert region.ledger.capacity("convert").lost == 500
    # Closes the revoked lease. Of the allowance of 2, the draining lease uses 1 and the loss of n10 uses 0.5.
    region.observe("n01")
    result = region.grant("r3/1", "r3", "n02")
    assert isinstance(result, Rejected) and "0.5 too much" in result.reason and "allowance" in result.reason
    region.observe("n10")
    assert isinstance(region.grant("r3/1", "r3", "n02"), Granted)


def test_unobserved_converters_count_as_unavailable() -> None:
    region = RegionLedger(Ledger(small_agreement(), "north"))
    region.apply(SubmitRequest(request()))
    assert isinstance(region.grant("r1/1", "r1", "n00"), Rejected)


def test_a_deficit_in_another_region_blocks_grants_until_a_report_clears_it() -> None:
    region = north_region()
    region.request_and_grant("r1", "n00")
    result = region.apply(RecordCapacityNeeds("south", 5, {"convert": CapacityNeed(deficit=2000)}))
    assert result == Observed((), ("r1/1",))
    region.apply(SubmitRequest(request("r2", converters=("n01",))))
    assert isinstance(region.grant("r2/1", "r2", "n01"), Rejected)
    assert isinstance(region.apply(RecordCapacityNeeds("south", 4, {})), Rejected), "an older report is rejected"
    region.apply(RecordCapacityNeeds("south", 6, {}))
    assert isinstance(region.grant("r2/1", "r2", "n01"), Granted)


def test_zone_loss_tolerance_keeps_the_agreement_with_the_largest_zone_lost() -> None:
    text = AGREEMENT_TEXT.replace("least = 8\n", 'least = 7\nsurvives = "zone"\n')
    text = text.replace("allowance = 2", "allowance = 1")
    region = RegionLedger(Ledger(agreement_file.parse(text.encode()), "north"))
    region.observe_all()
    # Leaves 2 converters in zone z0, which alone provide the regional minimum if zone z1 is lost.
    region.request_and_grant("r1", "n00")
    region.apply(CreditTransfer(Transfer("south", "north", 1, "convert", 1000)))
    region.apply(SubmitRequest(request("r2", converters=("n01",))))
    result = region.grant("r2/1", "r2", "n01")
    assert isinstance(result, Rejected) and "without zone 'z1'" in result.reason
    region.request_and_grant("r3", "n10")


def test_cancelling_revokes_leases_before_their_drain_and_lets_the_others_finish() -> None:
    region = north_region()
    granted = region.request_and_grant("r1", "n00")
    region.request_and_grant("r2", "n01")
    region.apply(StartDrain("r1/1", granted.token))
    assert region.apply(CancelRequest("r1")) == Cancelled("r1")
    assert region.apply(CancelRequest("r2")) == Cancelled("r2", ("r2/1",))
    assert region.ledger.open_requests() == [] and len(region.ledger.open_leases()) == 2
    region.apply(ReleaseLease("r1/1", granted.token))
    assert region.observe("n00", "n01") == Observed(("r1/1", "r2/1"))
    assert isinstance(region.apply(CancelRequest("r1")), Cancelled)


def test_a_request_that_missed_its_deadline_is_completed_and_time_never_goes_back() -> None:
    region = north_region()
    region.apply(SubmitRequest(request()))
    assert region.apply(AdvanceTime(100_001)) == Advanced(100_001, ("r1",))
    assert region.apply(AdvanceTime(5)) == Advanced(100_001)
    assert isinstance(region.grant("r1/1", "r1", "n00"), Rejected)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"service": "print"}, "unknown service 'print'"),
        ({"region": "south"}, "for region 'south'"),
        ({"converters": ("n00", "n99")}, "'n99' does not belong to service"),
        ({"converters": ("s00",)}, "'s00' does not belong to service"),
        ({"converters": ("n00", "n00")}, "'n00' is named twice"),
        ({"converters": ("n05", "n12")}, "'n05' does not belong to service"),
        ({"converters": ("n12",)}, "'n12' is already in request 'held'"),
        ({"converters": ()}, "either converters or a zone"),
        ({"zone": "z0"}, "either converters or a zone"),
        ({"converters": (), "zone": "z7"}, "no converter in zone 'z7'"),
        ({"duration_ms": 99_000}, "needs 101000 ms for 1 rounds and has 100000 ms, 1000 ms too little"),
        ({"deadline_ms": 0}, "its deadline passed 0 ms ago"),
        ({"name": "held"}, "already exists with different content"),
    ],
)
def test_an_invalid_request_is_rejected_in_one_line_and_changes_nothing(
    changes: dict[str, object], message: str
) -> None:
    region = north_region()
    region.apply(SubmitRequest(request("held", converters=("n12",))))
    snapshot_before = region.ledger.snapshot()
    result = region.apply(SubmitRequest(request(**{"name": "r1", **changes})))  # type: ignore[arg-type]
    assert isinstance(result, Rejected) and message in result.reason and "\n" not in result.reason
    region.ledger.state.applied -= 1
    assert region.ledger.snapshot() == snapshot_before


def test_a_request_is_rejected_if_a_converter_exceeds_the_capacity_that_may_be_unavailable() -> None:
    text = AGREEMENT_TEXT.replace('name = "n00"', 'name = "n00"\nsize = 2.5').replace("least = 8", "least = 9.5")
    region = RegionLedger(Ledger(agreement_file.parse(text.encode()), "north"))
    assert region.apply(SubmitRequest(request())) == Accepted("r1")
    text = text.replace("least = 9.5", "least = 11.5").replace("allowance = 2", "allowance = 1")
    region = RegionLedger(Ledger(agreement_file.parse(text.encode()), "north"))
    result = region.apply(SubmitRequest(request()))
    assert (
        isinstance(result, Rejected)
        and "takes 2.5 of 'convert' and at most 2 may be unavailable, 0.5 too" in result.reason
    )


@pytest.mark.parametrize(
    ("command", "message"),
    [
        (GrantLease("l", "nobody", "a", ("n00",)), "request 'nobody' is not open"),
        (GrantLease("l", "held", "a", ("n00",)), "'n00' is not pending in request"),
        (GrantLease("l", "held", "a", ()), "no converter is named"),
        (GrantLease("l", "held", "a", ("n11", "n11")), "or one is named twice"),
        (
            GrantLease("l", "held", "a", ("n11", "n12")),
            "2 converters of request 'held' would be out of service; at most 1 may",
        ),
        (RevokeLease("l"), "lease 'l' is not open"),
        (CancelRequest("nobody"), "'nobody' is unknown"),
        (RecordObservation("watch", 1, 0, ()), "1 was recorded before"),
        (RecordObservation("other", 1, 99, ()), "log index 99, which has not been applied"),
        (
            RecordObservation("other", 1, 0, (ConverterObservation("s00", True, 0),)),
            "'s00' does not belong to region 'north'",
        ),
        (RecordCapacityNeeds("north", 1, {}), "not another region"),
        (RecordCapacityNeeds("west", 1, {}), "not another region"),
        (RecordCapacityNeeds("south", 1, {"print": CapacityNeed()}), "unknown service 'print'"),
        (DebitTransfer(Transfer("south", "north", 1, "convert", 1)), "must be handled by region 'south'"),
        (DebitTransfer(Transfer("north", "west", 1, "convert", 1)), "'west' is not another region"),
        (DebitTransfer(Transfer("north", "north", 1, "convert", 1)), "'north' is not another region"),
        (DebitTransfer(Transfer("north", "south", 1, "print", 1)), "unknown service 'print'"),
        (DebitTransfer(Transfer("north", "south", 2, "convert", 1)), "next number to 'south' is 1"),
        (DebitTransfer(Transfer("north", "south", 1, "convert", 1501)), "takes 0.001 more"),
        (CreditTransfer(Transfer("north", "south", 1, "convert", 1)), "must be handled by region 'south'"),
        (CreditTransfer(Transfer("west", "north", 1, "convert", 1)), "'west' is not another region"),
        (
            CreditTransfer(Transfer("south", "north", 1, "convert", 2001)),
            "0.001 more than the total of all allowances",
        ),
        (AcknowledgeTransfer(Transfer("north", "south", 1, "convert", 1)), "never debited"),
    ],
)
def test_an_invalid_command_is_rejected_in_one_line_and_changes_nothing(command: Command, message: str) -> None:
    region = north_region()
    region.apply(SubmitRequest(request("held", converters=("n11", "n12"))))
    snapshot_before = region.ledger.snapshot()
    result = region.apply(commands.decode(commands.encode(command)))
    assert isinstance(result, Rejected) and message in result.reason and "\n" not in result.reason
    region.ledger.state.applied -= 1
    assert region.ledger.snapshot() == snapshot_before


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"x" * (commands.MAX_COMMAND_BYTES + 1),
        commands.encode(AdvanceTime(1)).replace(b"advance-time", b"advance-tame"),
        msgspec.msgpack.encode({"type": "advance-time", "now_ms": -1}),
        msgspec.msgpack.encode({"type": "advance-time", "now_ms": 1, "more": 2}),
        msgspec.msgpack.encode({"type": "call-off", "lease": "two\nlines"}),
    ],
)
def test_bytes_that_are_not_a_command_are_rejected(data: bytes) -> None:
    with pytest.raises(CommandError):
        commands.decode(data)


def test_a_truncated_altered_or_foreign_snapshot_is_rejected() -> None:
    agreement = small_agreement()
    snapshot = north_region().ledger.snapshot()
    assert Ledger.restore(agreement, "north", snapshot).snapshot() == snapshot
    other_agreement = agreement_file.parse(AGREEMENT_TEXT.replace("warm_up_s = 2", "warm_up_s = 3").encode())
    for restored_agreement, region, data, message in (
        (agreement, "north", snapshot[:-1], "truncated or altered"),
        (agreement, "north", snapshot[:-1] + b"\x00", "truncated or altered"),
        (agreement, "north", b"hello", "not a snapshot"),
        (agreement, "south", snapshot, "taken in region 'north', not in 'south'"),
        (other_agreement, "north", snapshot, "another agreement"),
    ):
        with pytest.raises(state.SnapshotError, match=message):
            Ledger.restore(restored_agreement, region, data)


def test_state_machines_print_as_tables_and_a_closed_lease_allows_no_event() -> None:
    text = "\n\n".join(map(str, (LEASE_TABLE, GIVER_TABLE, RECEIVER_TABLE)))
    assert "| granted | begin | draining |" in text and "| debited | send | debited |" in text
    assert all(state_before is not LeaseState.CLOSED for state_before, _ in LEASE_TABLE.transitions)
