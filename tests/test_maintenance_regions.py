"""Tests of several regions' ledgers under lost, late and repeated messages, and restarts.

The agreement must hold in all runs, and a ledger with a seeded fault must breach it.
"""

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

SELECTION_NUMBERS = st.integers(0, 30)


class DrainSequence(enum.StrEnum):
    """An agent step that consists of all DRAIN_STEPS; the value says when the region is observed."""

    OBSERVED_AFTER_RELEASE = "observed after the release"
    OBSERVED_BEFORE_START = "observed before the start"
    UNOBSERVED = "unobserved"


DRAIN_STEPS = ("start_drain", "restart_converters", "release")  # methods of Cluster
# drain sequences are listed twice, so that they are drawn more often
AGENT_STEPS = (*DRAIN_STEPS, "take_over", *DrainSequence, *DrainSequence)
CONVERTER_STEPS = ("lose_converter", "restart_lost_converter", "finish_warm_up")  # methods of Cluster
ZONE_STEPS = (("lose_converter",), ("restart_lost_converter", "finish_warm_up"), ("finish_warm_up",))


class Regions(RuleBasedStateMachine):
    """A random run. Drawn numbers select among the existing objects modulo their count, so every sequence is valid."""

    ledger_type: type[Ledger] = Ledger
    cluster: Cluster

    @initialize(number=st.integers(0, len(AGREEMENTS) - 1))
    def start_cluster(self, number: int) -> None:
        self.cluster = Cluster(AGREEMENTS[number], self.ledger_type)
        self.name_count = 0

    def pick_region(self, number: int) -> str:
        regions = list(self.cluster.replicas)
        return regions[number % len(regions)]

    @rule(
        which_region=SELECTION_NUMBERS,
        first_converter=SELECTION_NUMBERS,
        count=st.integers(1, 4),
        max_unavailable=st.integers(1, 4),
    )
    def submit_and_grant(self, which_region: int, first_converter: int, count: int, max_unavailable: int) -> None:
        region = self.pick_region(which_region)
        requested_converters = {
            name for record in self.cluster.ledger(region).open_requests() for name in record.remaining_converters()
        }
        available_converters = [
            converter.name
            for converter in self.cluster.agreement.converters_of("convert", region)
            if converter.name not in requested_converters
        ]
        names = tuple(
            available_converters[(first_converter + i) % len(available_converters)]
            for i in range(min(count, len(available_converters)))
        )
        self.name_count += 1
        self.cluster.submit(region, f"r{self.name_count}", names, max_unavailable)
        self.cluster.grant(region, f"l{self.name_count}", f"r{self.name_count}", names[:max_unavailable])

    @rule(which_region=SELECTION_NUMBERS, which_request=SELECTION_NUMBERS, count=st.integers(1, 4))
    def grant(self, which_region: int, which_request: int, count: int) -> None:
        ledger = self.cluster.ledger(self.pick_region(which_region))
        unavailable_converters = {name for lease in ledger.open_leases() for name in lease.unavailable}
        requests = [
            record for record in ledger.open_requests() if set(record.remaining_converters()) - unavailable_converters
        ]
        if requests:
            record = requests[which_request % len(requests)]
            allowed_count = record.request.max_unavailable - len(unavailable_converters & set(record.converters))
            names = [name for name in record.remaining_converters() if name not in unavailable_converters][
                : max(1, min(count, allowed_count))
            ]
            self.name_count += 1
            self.cluster.grant(ledger.region, f"l{self.name_count}", record.request.name, tuple(names))

    @rule(which_region=SELECTION_NUMBERS)
    def fill_region(self, which_region: int) -> None:
        """Request a lease on each converter separately, so that as many converters as allowed become unavailable."""
        ledger = self.cluster.ledger(self.pick_region(which_region))
        requested_converters = {name for record in ledger.open_requests() for name in record.remaining_converters()}
        for converter in ledger.agreement.converters_of("convert", ledger.region):
            if converter.name not in requested_converters:
                self.name_count += 1
                self.cluster.submit(ledger.region, f"r{self.name_count}", (converter.name,), 1)
        for record in ledger.open_requests():
            for name in record.remaining_converters():
                self.name_count += 1
                self.cluster.grant(ledger.region, f"l{self.name_count}", record.request.name, (name,))

    @precondition(lambda self: self.cluster.agents)
    @rule(which_agent=SELECTION_NUMBERS)
    def grant_again(self, which_agent: int) -> None:
        agent = self.cluster.agents[-1 - which_agent % len(self.cluster.agents)]
        request_name = agent.lease.replace("l", "r", 1)
        self.cluster.grant(agent.region, agent.lease, request_name, agent.converters)

    @precondition(lambda self: self.cluster.agents)
    @rule(which_agent=SELECTION_NUMBERS, step=st.sampled_from(AGENT_STEPS))
    def agent_step(self, which_agent: int, step: str) -> None:
        agents = [
            agent for agent in self.cluster.agents if not (which_agent % 3 and (agent.superseded or agent.released))
        ]
        if not agents:
            return
        agent = agents[-1 - which_agent % len(agents)]
        if step is DrainSequence.OBSERVED_BEFORE_START:
            self.cluster.observe(agent.region)
        for name in DRAIN_STEPS if isinstance(step, DrainSequence) else (step,):
            getattr(self.cluster, name)(agent)
        if step is DrainSequence.OBSERVED_AFTER_RELEASE:
            self.cluster.observe(agent.region)
        if step in (DrainSequence.OBSERVED_AFTER_RELEASE, DrainSequence.OBSERVED_BEFORE_START):
            self.cluster.record_observation(-1)

    @rule(which_converter=SELECTION_NUMBERS, step=st.sampled_from(CONVERTER_STEPS))
    def converter_step(self, which_converter: int, step: str) -> None:
        names = list(self.cluster.actual_converters)
        getattr(self.cluster, step)(names[which_converter % len(names)])

    @rule(which_region=SELECTION_NUMBERS, zone=st.integers(0, 1), steps=st.sampled_from(ZONE_STEPS))
    def zone_step(self, which_region: int, zone: int, steps: tuple[str, ...]) -> None:
        region = self.pick_region(which_region)
        for converter in self.cluster.agreement.converters_of("convert", region):
            if converter.zone == f"z{zone}":
                for step in steps:
                    getattr(self.cluster, step)(converter.name)
        self.cluster.observe(region)
        self.cluster.record_observation(-1)

    @rule(which_region=SELECTION_NUMBERS, record_now=st.booleans())
    def observe(self, which_region: int, record_now: bool) -> None:
        self.cluster.observe(self.pick_region(which_region))
        if record_now:
            self.cluster.record_observation(-1)

    @precondition(lambda self: self.cluster.pending_observations)
    @rule(which_observation=SELECTION_NUMBERS, keep_copy=st.booleans())
    def report_observation(self, which_observation: int, keep_copy: bool) -> None:
        """Record a pending observation, in most cases the oldest one."""
        self.cluster.record_observation(
            max(0, which_observation - 20) % len(self.cluster.pending_observations), keep_copy=keep_copy
        )

    @rule(
        which_region=SELECTION_NUMBERS,
        which_receiver=SELECTION_NUMBERS,
        amount=st.integers(1, 4),
        deliver_now=st.booleans(),
    )
    def give_allowance(self, which_region: int, which_receiver: int, amount: int, deliver_now: bool) -> None:
        giver = self.pick_region(which_region)
        receiver = self.pick_region(which_region + 1 + which_receiver % (len(self.cluster.replicas) - 1))
        self.cluster.debit(giver, receiver, amount * 500)
        self.cluster.send_transfers(giver)
        if deliver_now and self.cluster.network:
            self.cluster.deliver(-1)

    @rule(which_region=SELECTION_NUMBERS)
    def rebalance(self, which_region: int) -> None:
        self.cluster.rebalance(self.pick_region(which_region))
        self.cluster.send_needs_and_transfers(self.pick_region(which_region))

    @precondition(lambda self: self.cluster.network)
    @rule(which_message=SELECTION_NUMBERS, keep_copy=st.booleans())
    def deliver(self, which_message: int, keep_copy: bool) -> None:
        self.cluster.deliver(which_message % len(self.cluster.network), keep_copy=keep_copy)

    @precondition(lambda self: self.cluster.network)
    @rule()
    def deliver_all(self) -> None:
        self.cluster.deliver_all()

    @precondition(lambda self: self.cluster.network)
    @rule(which_message=SELECTION_NUMBERS)
    def drop_message(self, which_message: int) -> None:
        self.cluster.network.pop(which_message % len(self.cluster.network))

    @rule(
        which_region=SELECTION_NUMBERS,
        which_withdrawn_lease=SELECTION_NUMBERS,
        command_type=st.sampled_from([RevokeLease, CancelRequest]),
    )
    def withdraw_lease(
        self, which_region: int, which_withdrawn_lease: int, command_type: type[RevokeLease | CancelRequest]
    ) -> None:
        region = self.pick_region(which_region)
        if leases := self.cluster.ledger(region).open_leases():
            lease = leases[which_withdrawn_lease % len(leases)]
            self.cluster.apply(region, command_type(lease.name if command_type is RevokeLease else lease.request))

    @rule(which_region=SELECTION_NUMBERS)
    def advance_time(self, which_region: int) -> None:
        region = self.pick_region(which_region)
        self.cluster.apply(region, AdvanceTime(self.cluster.ledger(region).now_ms + 20_000))

    @rule(which_region=SELECTION_NUMBERS)
    def checkpoint(self, which_region: int) -> None:
        self.cluster.checkpoint(self.pick_region(which_region))

    @rule(which_region=SELECTION_NUMBERS)
    def restart(self, which_region: int) -> None:
        region = self.pick_region(which_region)
        snapshot_before = self.cluster.ledger(region).snapshot()
        self.cluster.restart(region)
        assert self.cluster.ledger(region).snapshot() == snapshot_before, "a restart changed the state"

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
def test_random_runs_find_each_seeded_fault(name: str) -> None:
    faulty_machine = type("FaultyRegions", (Regions,), {"ledger_type": FAULTY_LEDGERS[name]})
    reduced_settings = settings(
        TestRegions.settings, max_examples=2000, phases=[Phase.generate], report_multiple_bugs=False
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(faulty_machine, settings=reduced_settings)


# Scripted runs, one for each seeded fault, which breach the agreement only if the ledgers have that fault


def grant_more_before_warm_up(cluster: Cluster) -> None:
    agent = cluster.request_grant_and_start_drain("north", "r1", "n00", "n01")
    assert agent
    cluster.restart_converters(agent)
    cluster.release(agent)
    cluster.observe("north")
    cluster.record_observation(0)
    cluster.request_grant_and_start_drain("north", "r2", "n02", "n10")
    cluster.request_grant_and_start_drain("south", "r3", "s00", "s01")


def grant_more_after_lease_duration(cluster: Cluster) -> None:
    cluster.request_grant_and_start_drain("north", "r1", "n00", "n01")
    cluster.apply("north", AdvanceTime(20_000))
    cluster.request_grant_and_start_drain("north", "r2", "n02", "n10")
    cluster.request_grant_and_start_drain("south", "r3", "s00", "s01")


def credit_transfer_twice_and_use_it(cluster: Cluster) -> None:
    cluster.debit("south", "north", 1000)
    cluster.send_needs_and_transfers("south")
    credit_position = next(
        i for i, message in enumerate(cluster.network) if isinstance(message.command, CreditTransfer)
    )
    cluster.deliver(credit_position, keep_copy=True)
    cluster.deliver(credit_position)
    cluster.request_grant_and_start_drain("north", "r1", "n00", "n01", "n02")
    cluster.request_grant_and_start_drain("north", "r2", "n10")
    cluster.request_grant_and_start_drain("south", "r3", "s00")


def grant_more_than_own_allowance(cluster: Cluster) -> None:
    cluster.request_grant_and_start_drain("north", "r1", "n00", "n01", "n02")
    cluster.request_grant_and_start_drain("north", "r2", "n10", "n11")
    cluster.request_grant_and_start_drain("south", "r3", "s00", "s01")


def restart_region_between_grants(cluster: Cluster) -> None:
    cluster.request_grant_and_start_drain("north", "r1", "n00", "n01")
    cluster.checkpoint("north")
    cluster.restart("north")
    cluster.request_grant_and_start_drain("north", "r2", "n02", "n10")
    cluster.request_grant_and_start_drain("south", "r3", "s00", "s01")


def grant_after_zone_loss(cluster: Cluster) -> None:
    for name in ("n10", "n11", "n12"):
        cluster.lose_converter(name)
    cluster.observe("north")
    cluster.record_observation(0)
    cluster.request_grant_and_start_drain("north", "r1", "n00", "n01")


def record_observation_from_before_the_grant(cluster: Cluster) -> None:
    cluster.observe("north")
    agent = cluster.request_grant_and_start_drain("north", "r1", "n00", "n01")
    assert agent
    cluster.restart_converters(agent)
    cluster.release(agent)
    cluster.record_observation(0)
    cluster.request_grant_and_start_drain("north", "r2", "n02", "n10")
    cluster.request_grant_and_start_drain("south", "r3", "s00", "s01")


def transfer_allowance_in_use(cluster: Cluster) -> None:
    cluster.request_grant_and_start_drain("north", "r1", "n00", "n01")
    cluster.debit("north", "south", 1000)
    cluster.send_transfers("north")
    cluster.deliver_all()
    cluster.request_grant_and_start_drain("south", "r2", "s00", "s01", "s02")


SCRIPTED_RUNS: dict[str, Callable[[Cluster], None]] = {
    "cold-counts": grant_more_before_warm_up,
    "expiry-frees": grant_more_after_lease_duration,
    "double-credit": credit_transfer_twice_and_use_it,
    "borrow": grant_more_than_own_allowance,
    "forget-grant": restart_region_between_grants,
    "ignore-loss": grant_after_zone_loss,
    "stale-look": record_observation_from_before_the_grant,
    "overdraw": transfer_allowance_in_use,
}


@pytest.mark.parametrize("name", FAULTY_LEDGERS)
def test_scripted_runs_breach_the_agreement_only_with_a_seeded_fault(name: str) -> None:
    correct_cluster = Cluster(small_agreement())
    SCRIPTED_RUNS[name](correct_cluster)
    assert correct_cluster.breaches == []
    faulty_cluster = Cluster(small_agreement(), FAULTY_LEDGERS[name])
    SCRIPTED_RUNS[name](faulty_cluster)
    assert faulty_cluster.breaches, f"no breach found with seeded fault {name}"


def test_breaches_are_found_with_and_without_known_losses() -> None:
    agreement = small_agreement()
    lease_changes = [CapacityChange(i, name, 1000, planned=True) for i, name in enumerate(("n00", "n01", "s00", "s01"))]
    assert list(judge.find_breaches(agreement, lease_changes)) == []
    breaches_found = list(judge.find_breaches(agreement, [*lease_changes, CapacityChange(9, "s02", 100, planned=True)]))
    assert [(breach.at_ms, breach.region, breach.available) for breach in breaches_found] == [(9, "", 7000)], (
        "a converter that is warming up counts as completely unavailable"
    )
    changes_after_recovery = [
        *lease_changes,
        CapacityChange(9, "s02", 1000, planned=True),
        CapacityChange(9, "n00", 0, planned=True),
    ]
    assert list(judge.find_breaches(agreement, changes_after_recovery)) == []
    recorded_loss = CapacityChange(2, "n02", 600, planned=False)
    assert list(judge.find_breaches_with_known_losses(agreement, [*lease_changes, recorded_loss], 1)) and not list(
        judge.find_breaches(agreement, [*lease_changes, recorded_loss])
    )
    assert not list(judge.find_breaches_with_known_losses(agreement, [*lease_changes, recorded_loss], 6000)), (
        "the loss was not known for long enough"
    )
    zone_agreement = AGREEMENTS[3]
    north_changes = [CapacityChange(i, name, 1000, planned=True) for i, name in enumerate(("n00", "n01", "n02"))]
    assert [breach.region for breach in judge.find_breaches(zone_agreement, north_changes)] == ["north"]
