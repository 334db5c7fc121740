"""Several regions under lost, late and doubled messages and restarts: the rule holds, and planted mistakes break it."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ryepier.maintenance import agreement_file, judge
from ryepier.maintenance.commands import (
    AcknowledgeTransfer,
    AdvanceTime,
    CancelRequest,
    CreditTransfer,
    DebitTransfer,
    RevokeLease,
    SubmitRequest,
    Transfer,
)
from ryepier.maintenance.judge import Change
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.results import Acknowledged, Credited, Debited, Rejected
from ryepier.maintenance.seeded_faults import FAULTY_LEDGERS
from tests.maintenance_cluster import Cluster
from tests.maintenance_world import SERVICE, TEXT, converters_text, regions_text, request, small_agreement

WEST = '[[services.regions]]\nregion = "west"\nleast = 2\nallowance = 2\n'
THREE = ("north", "south", "west")
TEXTS = (
    TEXT,
    SERVICE.replace("least = 8", "least = 12") + WEST + regions_text(THREE) + converters_text(THREE),
    TEXT.replace("least = 2", "least = 4"),
    TEXT.replace("least = 8\n", 'least = 5\nsurvives = "zone"\n').replace("least = 2", "least = 1"),
)
AGREEMENTS = tuple(agreement_file.parse(text.encode()) for text in TEXTS)
PICK = st.integers(0, 30)
THROUGH = ("look after", "look late", "no look")  # a whole drain at once
STEPS = ("begin", "bring_up", "release", "take_over", *THROUGH, *THROUGH)


class Regions(RuleBasedStateMachine):
    """Every rule picks from what there is, so that any sequence of numbers is a run."""

    ledger_type: type[Ledger] = Ledger
    cluster: Cluster

    @initialize(number=st.integers(0, len(AGREEMENTS) - 1))
    def begin(self, number: int) -> None:
        self.cluster = Cluster(AGREEMENTS[number], self.ledger_type)
        self.names = 0

    def region(self, pick: int) -> str:
        regions = list(self.cluster.replicas)
        return regions[pick % len(regions)]

    @rule(where=PICK, first=PICK, count=st.integers(1, 4), max_unavailable=st.integers(1, 4))
    def submit_and_grant(self, where: int, first: int, count: int, max_unavailable: int) -> None:
        region = self.region(where)
        held = {name for one in self.cluster.ledger(region).open_requests() for name in one.remaining()}
        here = [one.name for one in self.cluster.agreement.converters_of("convert", region) if one.name not in held]
        names = tuple(here[(first + i) % len(here)] for i in range(min(count, len(here))))
        self.names += 1
        self.cluster.submit(region, f"r{self.names}", names, max_unavailable)
        self.cluster.grant(region, f"l{self.names}", f"r{self.names}", names[:max_unavailable])

    @rule(where=PICK, which=PICK, count=st.integers(1, 4))
    def grant(self, where: int, which: int, count: int) -> None:
        ledger = self.cluster.ledger(self.region(where))
        out = {name for lease in ledger.open_leases() for name in lease.unavailable}
        requests = [one for one in ledger.open_requests() if set(one.remaining()) - out]
        if requests:
            record = requests[which % len(requests)]
            room = record.request.max_unavailable - len(out & set(record.converters))
            names = [name for name in record.remaining() if name not in out][: max(1, min(count, room))]
            self.names += 1
            self.cluster.grant(ledger.region, f"l{self.names}", record.request.name, tuple(names))

    @rule(where=PICK)
    def fill(self, where: int) -> None:
        """Ask for every converter by itself, until the region has all out that it may have."""
        ledger = self.cluster.ledger(self.region(where))
        held = {name for one in ledger.open_requests() for name in one.remaining()}
        for converter in ledger.agreement.converters_of("convert", ledger.region):
            if converter.name not in held:
                self.names += 1
                self.cluster.submit(ledger.region, f"r{self.names}", (converter.name,), 1)
        for record in ledger.open_requests():
            for name in record.remaining():
                self.names += 1
                self.cluster.grant(ledger.region, f"l{self.names}", record.request.name, (name,))

    @precondition(lambda self: self.cluster.agents)
    @rule(which=PICK)
    def grant_again(self, which: int) -> None:
        agent = self.cluster.agents[-1 - which % len(self.cluster.agents)]
        request = agent.lease.replace("l", "r", 1)
        self.cluster.grant(agent.region, agent.lease, request, agent.converters)

    @precondition(lambda self: self.cluster.agents)
    @rule(which=PICK, step=st.sampled_from(STEPS))
    def agent(self, which: int, step: str) -> None:
        agents = [one for one in self.cluster.agents if not (which % 3 and (one.void or one.released))]
        if not agents:
            return
        agent = agents[-1 - which % len(agents)]
        if step == "look late":
            self.cluster.look(agent.region)
        for name in ("begin", "bring_up", "release") if step in THROUGH else (step,):
            getattr(self.cluster, name)(agent)
        if step == "look after":
            self.cluster.look(agent.region)
        if step in ("look after", "look late"):
            self.cluster.report(-1)

    @rule(which=PICK, step=st.sampled_from(["lose", "return_cold", "warm"]))
    def converter(self, which: int, step: str) -> None:
        names = list(self.cluster.truth)
        getattr(self.cluster, step)(names[which % len(names)])

    @rule(where=PICK, zone=st.integers(0, 1), steps=st.sampled_from([("lose",), ("return_cold", "warm"), ("warm",)]))
    def zone(self, where: int, zone: int, steps: tuple[str, ...]) -> None:
        region = self.region(where)
        for converter in self.cluster.agreement.converters_of("convert", region):
            if converter.zone == f"z{zone}":
                for step in steps:
                    getattr(self.cluster, step)(converter.name)
        self.cluster.look(region)
        self.cluster.report(-1)

    @rule(where=PICK, now=st.booleans())
    def look(self, where: int, now: bool) -> None:
        self.cluster.look(self.region(where))
        if now:
            self.cluster.report(-1)

    @precondition(lambda self: self.cluster.probes)
    @rule(which=PICK, keep=st.booleans())
    def report(self, which: int, keep: bool) -> None:
        """Most often the oldest look that is on its way."""
        self.cluster.report(max(0, which - 20) % len(self.cluster.probes), keep=keep)

    @rule(where=PICK, to=PICK, amount=st.integers(1, 4), now=st.booleans())
    def give(self, where: int, to: int, amount: int, now: bool) -> None:
        giver = self.region(where)
        receiver = self.region(where + 1 + to % (len(self.cluster.replicas) - 1))
        self.cluster.debit(giver, receiver, amount * 500)
        self.cluster.send_transfers(giver)
        if now and self.cluster.network:
            self.cluster.deliver(-1)

    @rule(where=PICK)
    def rebalance(self, where: int) -> None:
        self.cluster.rebalance(self.region(where))
        self.cluster.send(self.region(where))

    @precondition(lambda self: self.cluster.network)
    @rule(which=PICK, keep=st.booleans())
    def deliver(self, which: int, keep: bool) -> None:
        self.cluster.deliver(which % len(self.cluster.network), keep=keep)

    @precondition(lambda self: self.cluster.network)
    @rule()
    def deliver_all(self) -> None:
        self.cluster.deliver_all()

    @precondition(lambda self: self.cluster.network)
    @rule(which=PICK)
    def drop(self, which: int) -> None:
        self.cluster.network.pop(which % len(self.cluster.network))

    @rule(where=PICK, which=PICK, kind=st.sampled_from(["call-off", "cancel"]))
    def withdraw(self, where: int, which: int, kind: str) -> None:
        region = self.region(where)
        if leases := self.cluster.ledger(region).open_leases():
            lease = leases[which % len(leases)]
            self.cluster.apply(region, RevokeLease(lease.name) if kind == "call-off" else CancelRequest(lease.request))

    @rule(where=PICK)
    def advance(self, where: int) -> None:
        region = self.region(where)
        self.cluster.apply(region, AdvanceTime(self.cluster.ledger(region).now_ms + 20_000))

    @rule(where=PICK)
    def checkpoint(self, where: int) -> None:
        self.cluster.checkpoint(self.region(where))

    @rule(where=PICK)
    def restart(self, where: int) -> None:
        region = self.region(where)
        before = self.cluster.ledger(region).snapshot()
        self.cluster.restart(region)
        assert self.cluster.ledger(region).snapshot() == before, "a restart changed the state"

    @invariant()
    def the_rule_holds(self) -> None:
        assert not self.cluster.breaches, "; ".join(map(str, self.cluster.breaches))

    @invariant()
    def allowances_add_up(self) -> None:
        assert self.cluster.whole() == self.cluster.agreement.max_unavailable("convert")


TestRegions = Regions.TestCase
TestRegions.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    derandomize=True,
    database=None,
)


@pytest.mark.parametrize("name", FAULTY_LEDGERS)
def test_drawn_runs_find_each_planted_mistake(name: str) -> None:
    machine = type("PlantedRegions", (Regions,), {"ledger_type": FAULTY_LEDGERS[name]})
    few = settings(TestRegions.settings, max_examples=2000, phases=[Phase.generate], report_multiple_bugs=False)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=few)


# one run a mistake, with the rule alone as the judge


def cold(cluster: Cluster) -> None:
    agent = cluster.hold("north", "r1", "n00", "n01")
    assert agent
    cluster.bring_up(agent)
    cluster.release(agent)
    cluster.look("north")
    cluster.report(0)
    cluster.hold("north", "r2", "n02", "n10")
    cluster.hold("south", "r3", "s00", "s01")


def expired(cluster: Cluster) -> None:
    cluster.hold("north", "r1", "n00", "n01")
    cluster.apply("north", AdvanceTime(20_000))
    cluster.hold("north", "r2", "n02", "n10")
    cluster.hold("south", "r3", "s00", "s01")


def doubled(cluster: Cluster) -> None:
    cluster.debit("south", "north", 1000)
    cluster.send("south")
    credit = next(i for i, one in enumerate(cluster.network) if isinstance(one.command, CreditTransfer))
    cluster.deliver(credit, keep=True)
    cluster.deliver(credit)
    cluster.hold("north", "r1", "n00", "n01", "n02")
    cluster.hold("north", "r2", "n10")
    cluster.hold("south", "r3", "s00")


def cut(cluster: Cluster) -> None:
    cluster.hold("north", "r1", "n00", "n01", "n02")
    cluster.hold("north", "r2", "n10", "n11")
    cluster.hold("south", "r3", "s00", "s01")


def forgotten(cluster: Cluster) -> None:
    cluster.hold("north", "r1", "n00", "n01")
    cluster.checkpoint("north")
    cluster.restart("north")
    cluster.hold("north", "r2", "n02", "n10")
    cluster.hold("south", "r3", "s00", "s01")


def lost(cluster: Cluster) -> None:
    for name in ("n10", "n11", "n12"):
        cluster.lose(name)
    cluster.look("north")
    cluster.report(0)
    cluster.hold("north", "r1", "n00", "n01")


def late_look(cluster: Cluster) -> None:
    cluster.look("north")
    agent = cluster.hold("north", "r1", "n00", "n01")
    assert agent
    cluster.bring_up(agent)
    cluster.release(agent)
    cluster.report(0)
    cluster.hold("north", "r2", "n02", "n10")
    cluster.hold("south", "r3", "s00", "s01")


def overdrawn(cluster: Cluster) -> None:
    cluster.hold("north", "r1", "n00", "n01")
    cluster.debit("north", "south", 1000)
    cluster.send_transfers("north")
    cluster.deliver_all()
    cluster.hold("south", "r2", "s00", "s01", "s02")


RUNS: dict[str, Callable[[Cluster], None]] = {
    "cold-counts": cold,
    "expiry-frees": expired,
    "double-credit": doubled,
    "borrow": cut,
    "forget-grant": forgotten,
    "ignore-loss": lost,
    "stale-look": late_look,
    "overdraw": overdrawn,
}


@pytest.mark.parametrize("name", FAULTY_LEDGERS)
def test_each_planted_mistake_breaks_the_rule_where_the_ledger_keeps_it(name: str) -> None:
    sound = Cluster(small_agreement())
    RUNS[name](sound)
    assert sound.breaches == []
    planted = Cluster(small_agreement(), FAULTY_LEDGERS[name])
    RUNS[name](planted)
    assert planted.breaches, f"the judge did not see {name}"


def test_the_judge_counts_by_itself() -> None:
    agreed = small_agreement()
    taken = [Change(i, name, 1000, planned=True) for i, name in enumerate(("n00", "n01", "s00", "s01"))]
    assert list(judge.breaches(agreed, taken)) == []
    found = list(judge.breaches(agreed, [*taken, Change(9, "s02", 100, planned=True)]))
    assert [(one.at_ms, one.region, one.available) for one in found] == [(9, "", 7000)], "cold is missing as a whole"
    back = [*taken, Change(9, "s02", 1000, planned=True), Change(9, "n00", 0, planned=True)]
    assert list(judge.breaches(agreed, back)) == []
    loss = Change(2, "n02", 600, planned=False)
    assert list(judge.grants_during_shortage(agreed, [*taken, loss], 1)) and not list(
        judge.breaches(agreed, [*taken, loss])
    )
    assert not list(judge.grants_during_shortage(agreed, [*taken, loss], 6000)), "not known for long enough"
    survives = AGREEMENTS[3]
    regional = [Change(i, name, 1000, planned=True) for i, name in enumerate(("n00", "n01", "n02"))]
    assert [one.region for one in judge.breaches(survives, regional)] == ["north"]


def test_transfers_that_come_late_twice_and_in_any_order_are_counted_once() -> None:
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
    assert south.pending_transfers() == transfers, "sent until acknowledged, whatever the time"
    for transfer in reversed(transfers):
        assert cluster.apply("south", AcknowledgeTransfer(transfer)) == Acknowledged(transfer)
        assert cluster.apply("south", AcknowledgeTransfer(transfer)) == Acknowledged(transfer)
    assert south.pending_transfers() == []
    assert cluster.apply("south", DebitTransfer(transfers[0])) == Acknowledged(transfers[0])


def test_a_transfer_with_another_content_is_refused() -> None:
    cluster = Cluster(small_agreement())
    cluster.debit("south", "north", 500)
    other = Transfer("south", "north", 1, "convert", 700)
    for command in (DebitTransfer(other), AcknowledgeTransfer(other)):
        result = cluster.apply("south", command)
        assert isinstance(result, Rejected) and "another content" in result.reason
    assert cluster.whole() == 4000


def test_rebalancing_follows_requests_and_leaves_each_region_its_least_part() -> None:
    cluster = Cluster(small_agreement())
    cluster.submit("north", "r1", ("n00", "n01", "n02", "n10"), 4)
    cluster.send("north")
    cluster.deliver_all()
    cluster.rebalance("south")
    assert cluster.ledger("south").capacity("convert").allowance == 500
    cluster.rebalance("south")
    assert len(cluster.ledger("south").pending_transfers()) == 1, "no second one while the first is on its way"
    cluster.send("south")
    cluster.deliver_all()
    assert cluster.ledger("north").capacity("convert").allowance == 3500
    assert cluster.ledger("south").pending_transfers() == [] and cluster.whole() == 4000
    assert cluster.ledger("north").transfers_due() == []


def test_a_request_far_ahead_draws_no_allowance_yet() -> None:
    cluster = Cluster(small_agreement())
    ledger = cluster.ledger("north")
    far = request("far", converters=("n00", "n01", "n02"), max_unavailable=3, earliest_ms=10**6, deadline_ms=10**9)
    cluster.apply("north", SubmitRequest(far))
    assert ledger.needs()["convert"].shortage == 0
    cluster.apply("north", AdvanceTime(500_000))
    assert ledger.needs()["convert"].shortage == 1000


def test_a_region_that_wants_its_part_itself_gives_none_and_a_deficit_goes_before_a_shortage() -> None:
    cluster = Cluster(AGREEMENTS[1])
    cluster.submit("north", "r1", ("n00", "n01", "n02"), 3)
    for name in ("w00", "w01", "w02"):
        cluster.lose(name)
    cluster.look("west")
    cluster.report(0)
    for region in ("north", "west"):
        cluster.send(region)
    cluster.deliver_all()
    assert cluster.ledger("north").transfers_due() == []
    due = [(one.receiver, one.amount) for one in cluster.ledger("south").transfers_due()]
    assert due == [("west", 1000), ("north", 500)]
