"""Tests of the maintenance agent: order of steps, fencing tokens, abandoned maintenance, retries and resumed leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from ryepier.maintenance.address import Address
from ryepier.maintenance.agent import Agent, AgentSettings
from ryepier.maintenance.api import LeaseStatus, StatusReply
from ryepier.maintenance.client import CallError
from ryepier.maintenance.commands import Command, ReleaseLease, StartDrain
from ryepier.maintenance.fleet import Action, FencingTokens, FleetCall, FleetError, FleetReply, SocketFleet
from ryepier.maintenance.results import DrainStarted, Granted, Rejected, Released, Result
from ryepier.maintenance.tables import LeaseState
from tests.loopback_ports import free_port
from tests.network_peers import wait_until

GRANTED_LEASE = Granted("l1", "agent-1", 7, ("a",))
MAINTENANCE_STEPS = ["drain", "in-flight", "stop", "remove", "start", "list"]


@dataclass
class StubCoordinators:
    """A stub of a region's coordinators that grants `leases`, after `remaining_acquire_failures` failed requests.

    `answers` has the first answers to each type of command; further commands of the type succeed.
    """

    leases: list[Granted] = field(default_factory=lambda: [GRANTED_LEASE])
    open_leases: tuple[LeaseStatus, ...] = ()
    answers: dict[type, list[Result | CallError]] = field(default_factory=dict)
    commands: list[Command] = field(default_factory=list)
    requested_lease_names: list[str] = field(default_factory=list)
    remaining_acquire_failures: int = 0

    async def status(self, timeout_s: float) -> StatusReply:
        return StatusReply(1, "north", "north-0", 1, 1, 0, (), self.open_leases, ())

    async def acquire_lease(self, lease: str, timeout_s: float) -> Result | None:
        self.requested_lease_names.append(lease)
        if self.remaining_acquire_failures:
            self.remaining_acquire_failures -= 1
            raise CallError("no answer")
        return self.leases.pop() if self.leases else None

    async def command(self, command: Command, timeout_s: float) -> Result:
        self.commands.append(command)
        remaining_answers = self.answers.get(type(command))
        if remaining_answers:
            answer = remaining_answers.pop(0)
            if isinstance(answer, CallError):
                raise answer
            return answer
        return DrainStarted("l1") if isinstance(command, StartDrain) else Released("l1", ("a",))


@dataclass
class StubFleet:
    """A stub of the fleet that records the steps, and rejects the action `rejected_action`.

    The first `remaining_busy_polls` polls of a converter report a request in flight.
    """

    rejected_action: str = ""
    remaining_busy_polls: int = 0
    steps: list[tuple[str, str, int, str]] = field(default_factory=list)
    drained_at_s: float = 0.0
    stopped_at_s: float = 0.0

    async def perform(self, action: Action, converter: str, token: int, uid: str = "") -> FleetReply:
        now_s = asyncio.get_running_loop().time()
        if action == self.rejected_action:
            raise FleetError("token 7 for a is outdated; 8 is the highest received")
        self.steps.append((action, converter, token, uid))
        if action == "drain":
            self.drained_at_s = now_s
        if action == "stop":
            self.stopped_at_s = now_s
        if action == "in-flight" and self.remaining_busy_polls:
            self.remaining_busy_polls -= 1
            return FleetReply(in_flight=1)
        return FleetReply(uid="a.1" if action == "start" else "")

    def actions(self) -> list[str]:
        return [step[0] for step in self.steps]


def run_agent_until(coordinators: StubCoordinators, fleet: StubFleet, condition: Callable[[], bool]) -> None:
    async def scenario() -> None:
        settings = AgentSettings("agent-1", drain_grace_s=0.3, work_s=0.0)
        agent = asyncio.create_task(Agent(settings, coordinators, fleet).run())  # type: ignore[arg-type]
        try:
            await wait_until(condition)
        finally:
            agent.cancel()

    asyncio.run(scenario())


def make_release_condition(coordinators: StubCoordinators) -> Callable[[], bool]:
    return lambda: any(isinstance(command, ReleaseLease) for command in coordinators.commands)


def test_maintenance_steps_run_in_order_with_the_token_of_the_lease() -> None:
    coordinators, fleet = StubCoordinators(), StubFleet(remaining_busy_polls=2)
    run_agent_until(coordinators, fleet, make_release_condition(coordinators))
    assert fleet.actions() == ["drain", *["in-flight"] * 3, "stop", "remove", "start", "list"]
    assert {step[1:3] for step in fleet.steps} == {("a", 7)} and fleet.steps[-1][3] == "a.1"
    assert fleet.stopped_at_s - fleet.drained_at_s >= 0.3
    assert coordinators.commands == [StartDrain("l1", 7), ReleaseLease("l1", 7)]


def test_unanswered_drain_start_is_retried_before_any_step() -> None:
    coordinators, fleet = StubCoordinators(answers={StartDrain: [CallError("no answer")]}), StubFleet()
    run_agent_until(coordinators, fleet, make_release_condition(coordinators))
    assert coordinators.commands[:2] == [StartDrain("l1", 7)] * 2 and fleet.actions() == MAINTENANCE_STEPS


def test_maintenance_of_a_revoked_lease_is_not_started() -> None:
    coordinators, fleet = StubCoordinators(answers={StartDrain: [Rejected("lease 'l1' is called-off")]}), StubFleet()
    run_agent_until(coordinators, fleet, lambda: len(coordinators.requested_lease_names) >= 3)
    assert fleet.steps == [] and coordinators.commands == [StartDrain("l1", 7)]


@pytest.mark.parametrize("rejected_action", ["drain", "stop", "start"])
def test_rejected_step_abandons_maintenance_without_release(rejected_action: str) -> None:
    coordinators, fleet = StubCoordinators(), StubFleet(rejected_action=rejected_action)
    run_agent_until(coordinators, fleet, lambda: len(coordinators.requested_lease_names) >= 5)
    assert rejected_action not in fleet.actions() and coordinators.commands == [StartDrain("l1", 7)]


def test_lease_request_is_retried_under_the_same_name() -> None:
    coordinators, fleet = StubCoordinators(remaining_acquire_failures=2), StubFleet()
    run_agent_until(coordinators, fleet, make_release_condition(coordinators))
    assert (
        len(set(coordinators.requested_lease_names[:3])) == 1
        and coordinators.requested_lease_names[3:4] != coordinators.requested_lease_names[:1]
    )


def test_restarted_agent_resumes_only_its_own_leases() -> None:
    def lease_status(name: str, agent: str, state: LeaseState) -> LeaseStatus:
        return LeaseStatus(name, "r1", agent, 9, state, (name,), (name,))

    draining, returning = LeaseState.DRAINING, LeaseState.RETURNING
    open_leases = (
        lease_status("b", "agent-1", draining),
        lease_status("c", "agent-2", draining),
        lease_status("d", "agent-1", returning),
    )
    coordinators, fleet = StubCoordinators(leases=[], open_leases=open_leases), StubFleet()
    run_agent_until(coordinators, fleet, make_release_condition(coordinators))
    assert coordinators.commands == [StartDrain("b", 9), ReleaseLease("b", 9)]
    assert {step[1:3] for step in fleet.steps} == {("b", 9)}


def test_only_outdated_fencing_tokens_are_rejected() -> None:
    tokens = FencingTokens()
    assert tokens.rejection_reason(FleetCall(Action.DRAIN, "a", 5)) == ""
    assert tokens.rejection_reason(FleetCall(Action.STOP, "a", 5)) == ""
    assert tokens.rejection_reason(FleetCall(Action.DRAIN, "b", 1)) == ""
    assert tokens.rejection_reason(FleetCall(Action.STOP, "a", 6)) == ""
    assert (
        tokens.rejection_reason(FleetCall(Action.START, "a", 5))
        == "token 5 for a is outdated; 6 is the highest received"
    )


def test_step_fails_if_the_tooling_is_unreachable() -> None:
    address = Address("127.0.0.1", free_port())
    with pytest.raises(FleetError, match="stop a: ConnectionRefusedError"):
        asyncio.run(SocketFleet(address, address).perform(Action.STOP, "a", 1))
