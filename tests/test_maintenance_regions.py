"""Several regions under lost, late, repeated messages and restarts: the agreement holds; seeded faults breach it."""

from __future__ import annotations

import enum
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

from ryepier.maintenance import judge
from ryepier.maintenance.commands import (
    AdvanceTime,
    CancelRequest,
    CreditTransfer,
    RevokeLease,
)
from ryepier.maintenance.judge import CapacityChange
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.seeded_faults import FAULTY_LEDGERS
from tests.maintenance_cluster import Cluster
from tests.maintenance_world import AGREEMENTS, small_agreement

PICK = st.integers(0, 30)


class CompleteDrain(enum.StrEnum):
    """All steps of a lease at once, and when its converters are observed."""

    OBSERVED_AFTER_RELEASE = "observed after the release"
    OBSERVED_BEFORE_START = "observed before the start"
    UNOBSERVED = "unobserved"


DRAIN_STEPS = ("begin", "restart_converters", "release")  # methods of Cluster
STEPS = (*DRAIN_STEPS, "take_over", *CompleteDrain, *CompleteDrain)
CONVERTER_STEPS = ("lose_converter", "restart_lost", "finish_warm_up")  # methods of Cluster
ZONE_STEPS = (("lose_converter",), ("restart_lost", "finish_warm_up"), ("finish_warm_up",))


class Regions(RuleBasedStateMachine):
    """Every rule picks from what exists, so that any sequence of numbers is a run."""

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
        requested = {name for one in self.cluster.ledger(region).open_requests() for name in one.remaining()}
        here = [
            one.name for one in self.cluster.agreement.converters_of("convert", region) if one.name not in requested
        ]
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
            remaining = record.request.max_unavailable - len(out & set(record.converters))
            names = [name for name in record.remaining() if name not in out][: max(1, min(count, remaining))]
            self.names += 1
            self.cluster.grant(ledger.region, f"l{self.names}", record.request.name, tuple(names))

    @rule(where=PICK)
    def fill(self, where: int) -> None:
        """Request every converter by itself, until the region has all out that it may have."""
        ledger = self.cluster.ledger(self.region(where))
        requested = {name for one in ledger.open_requests() for name in one.remaining()}
        for converter in ledger.agreement.converters_of("convert", ledger.region):
            if converter.name not in requested:
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
        agents = [one for one in self.cluster.agents if not (which % 3 and (one.superseded or one.released))]
        if not agents:
            return
        agent = agents[-1 - which % len(agents)]
        if step is CompleteDrain.OBSERVED_BEFORE_START:
            self.cluster.observe(agent.region)
        for name in DRAIN_STEPS if isinstance(step, CompleteDrain) else (step,):
            getattr(self.cluster, name)(agent)
        if step is CompleteDrain.OBSERVED_AFTER_RELEASE:
            self.cluster.observe(agent.region)
        if step in (CompleteDrain.OBSERVED_AFTER_RELEASE, CompleteDrain.OBSERVED_BEFORE_START):
            self.cluster.record_observation(-1)

    @rule(which=PICK, step=st.sampled_from(CONVERTER_STEPS))
    def converter(self, which: int, step: str) -> None:
        names = list(self.cluster.actual)
        getattr(self.cluster, step)(names[which % len(names)])

    @rule(where=PICK, zone=st.integers(0, 1), steps=st.sampled_from(ZONE_STEPS))
    def zone(self, where: int, zone: int, steps: tuple[str, ...]) -> None:
        region = self.region(where)
        for converter in self.cluster.agreement.converters_of("convert", region):
            if converter.zone == f"z{zone}":
                for step in steps:
                    getattr(self.cluster, step)(converter.name)
        self.cluster.observe(region)
        self.cluster.record_observation(-1)

    @rule(where=PICK, now=st.booleans())
    def observe(self, where: int, now: bool) -> None:
        self.cluster.observe(self.region(where))
        if now:
            self.cluster.record_observation(-1)

    @precondition(lambda self: self.cluster.pending_observations)
    @rule(which=PICK, keep=st.booleans())
    def report(self, which: int, keep: bool) -> None:
        """Report an observation that is in transit, mostly the oldest."""
        self.cluster.record_observation(max(0, which - 20) % len(self.cluster.pending_observations), keep=keep)

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
        self.cluster.send_needs_and_transfers(self.region(where))

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

    @rule(where=PICK, which=PICK, command_type=st.sampled_from([RevokeLease, CancelRequest]))
    def withdraw(self, where: int, which: int, command_type: type[RevokeLease | CancelRequest]) -> None:
        region = self.region(where)
        if leases := self.cluster.ledger(region).open_leases():
            lease = leases[which % len(leases)]
            self.cluster.apply(region, command_type(lease.name if command_type is RevokeLease else lease.request))

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
    def the_agreement_holds(self) -> None:
        assert not self.cluster.breaches, "; ".join(map(str, self.cluster.breaches))

    @invariant()
    def allowances_add_up(self) -> None:
        assert self.cluster.total_allowance() == self.cluster.agreement.max_unavailable("convert")


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
def test_drawn_runs_find_each_seeded_fault(name: str) -> None:
    machine = type("FaultyRegions", (Regions,), {"ledger_type": FAULTY_LEDGERS[name]})
    few = settings(TestRegions.settings, max_examples=2000, phases=[Phase.generate], report_multiple_bugs=False)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=few)


# One run for each seeded fault, with the agreement alone as the judge


def ignore_warm_up(cluster: Cluster) -> None:
    agent = cluster.request_and_grant("north", "r1", "n00", "n01")
    assert agent
    cluster.restart_converters(agent)
    cluster.release(agent)
    cluster.observe("north")
    cluster.record_observation(0)
    cluster.request_and_grant("north", "r2", "n02", "n10")
    cluster.request_and_grant("south", "r3", "s00", "s01")


def expiry_frees(cluster: Cluster) -> None:
    cluster.request_and_grant("north", "r1", "n00", "n01")
    cluster.apply("north", AdvanceTime(20_000))
    cluster.request_and_grant("north", "r2", "n02", "n10")
    cluster.request_and_grant("south", "r3", "s00", "s01")


def double_credit(cluster: Cluster) -> None:
    cluster.debit("south", "north", 1000)
    cluster.send_needs_and_transfers("south")
    credit = next(i for i, one in enumerate(cluster.network) if isinstance(one.command, CreditTransfer))
    cluster.deliver(credit, keep=True)
    cluster.deliver(credit)
    cluster.request_and_grant("north", "r1", "n00", "n01", "n02")
    cluster.request_and_grant("north", "r2", "n10")
    cluster.request_and_grant("south", "r3", "s00")


def borrow(cluster: Cluster) -> None:
    cluster.request_and_grant("north", "r1", "n00", "n01", "n02")
    cluster.request_and_grant("north", "r2", "n10", "n11")
    cluster.request_and_grant("south", "r3", "s00", "s01")


def forget_grant(cluster: Cluster) -> None:
    cluster.request_and_grant("north", "r1", "n00", "n01")
    cluster.checkpoint("north")
    cluster.restart("north")
    cluster.request_and_grant("north", "r2", "n02", "n10")
    cluster.request_and_grant("south", "r3", "s00", "s01")


def ignore_loss(cluster: Cluster) -> None:
    for name in ("n10", "n11", "n12"):
        cluster.lose_converter(name)
    cluster.observe("north")
    cluster.record_observation(0)
    cluster.request_and_grant("north", "r1", "n00", "n01")


def stale_observation(cluster: Cluster) -> None:
    cluster.observe("north")
    agent = cluster.request_and_grant("north", "r1", "n00", "n01")
    assert agent
    cluster.restart_converters(agent)
    cluster.release(agent)
    cluster.record_observation(0)
    cluster.request_and_grant("north", "r2", "n02", "n10")
    cluster.request_and_grant("south", "r3", "s00", "s01")


def overdraw(cluster: Cluster) -> None:
    cluster.request_and_grant("north", "r1", "n00", "n01")
    cluster.debit("north", "south", 1000)
    cluster.send_transfers("north")
    cluster.deliver_all()
    cluster.request_and_grant("south", "r2", "s00", "s01", "s02")


RUNS: dict[str, Callable[[Cluster], None]] = {
    "cold-counts": ignore_warm_up,
    "expiry-frees": expiry_frees,
    "double-credit": double_credit,
    "borrow": borrow,
    "forget-grant": forget_grant,
    "ignore-loss": ignore_loss,
    "stale-look": stale_observation,
    "overdraw": overdraw,
}


@pytest.mark.parametrize("name", FAULTY_LEDGERS)
def test_each_seeded_fault_breaches_the_agreement_where_the_ledger_keeps_it(name: str) -> None:
    sound = Cluster(small_agreement())
    RUNS[name](sound)
    assert sound.breaches == []
    faulty = Cluster(small_agreement(), FAULTY_LEDGERS[name])
    RUNS[name](faulty)
    assert faulty.breaches, f"the judge did not see {name}"


def test_the_judge_counts_independently_of_ledgers() -> None:
    agreed = small_agreement()
    taken = [CapacityChange(i, name, 1000, planned=True) for i, name in enumerate(("n00", "n01", "s00", "s01"))]
    assert list(judge.find_breaches(agreed, taken)) == []
    found = list(judge.find_breaches(agreed, [*taken, CapacityChange(9, "s02", 100, planned=True)]))
    assert [(one.at_ms, one.region, one.available) for one in found] == [(9, "", 7000)], (
        "a converter that warms up is wholly missing"
    )
    back = [*taken, CapacityChange(9, "s02", 1000, planned=True), CapacityChange(9, "n00", 0, planned=True)]
    assert list(judge.find_breaches(agreed, back)) == []
    loss = CapacityChange(2, "n02", 600, planned=False)
    assert list(judge.find_grants_during_shortage(agreed, [*taken, loss], 1)) and not list(
        judge.find_breaches(agreed, [*taken, loss])
    )
    assert not list(judge.find_grants_during_shortage(agreed, [*taken, loss], 6000)), "not known for long enough"
    survives = AGREEMENTS[3]
    regional = [CapacityChange(i, name, 1000, planned=True) for i, name in enumerate(("n00", "n01", "n02"))]
    assert [one.region for one in judge.find_breaches(survives, regional)] == ["north"]
