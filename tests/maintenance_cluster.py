"""A simulation of several regions' ledgers, their converters and agents, and late, repeated and lost messages.

Breaches are found independently of the ledgers: an `AgreementChecker` receives all grants and changes of converters.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ryepier.maintenance import commands
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.commands import (
    FULL_WARMTH,
    AcknowledgeTransfer,
    Command,
    ConverterObservation,
    CreditTransfer,
    DebitTransfer,
    GrantLease,
    RecordCapacityNeeds,
    RecordObservation,
    ReleaseLease,
    StartDrain,
    SubmitRequest,
    TakeOverLease,
    Transfer,
)
from ryepier.maintenance.judge import AgreementChecker, Breach, CapacityChange
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.results import (
    Cancelled,
    Credited,
    DrainStarted,
    Granted,
    LeaseRevoked,
    Observed,
    Rejected,
    Result,
)
from tests.maintenance_world import request

# A ledger rejects an observation that is older than the last one recorded from the same observer. With several
# observers, some late observations are recorded nevertheless.
OBSERVER_COUNT = 3


@dataclass
class ActualConverter:
    """The state of a converter, whether or not any ledger has recorded it."""

    up: bool = True
    warmth: int = FULL_WARMTH
    planned: bool = False  # a lease covers the converter, and it has not recovered yet


@dataclass
class Agent:
    """An agent that holds or held a lease."""

    region: str
    lease: str
    token: int
    converters: tuple[str, ...]
    drain_started: bool = False
    converters_restarted: bool = False  # after the maintenance
    released: bool = False
    superseded: bool = False  # the lease was revoked or taken over, so the agent's commands must be rejected


@dataclass
class Message:
    """A command in transit to another region."""

    receiver_region: str
    command: Command


@dataclass
class PendingObservation:
    """An observation that its region has not recorded yet."""

    region: str
    command: RecordObservation


@dataclass
class Replica:
    """A region's ledger, its log, and a snapshot of an earlier state from which the ledger can be restored."""

    ledger: Ledger
    log: list[tuple[int, bytes]] = field(default_factory=list)
    snapshot: bytes = b""
    snapshot_entry_count: int = 0  # number of log entries that the snapshot includes


class Cluster:
    """The simulation of all regions. `breaches` collects the breaches that the checkers find."""

    def __init__(self, agreement: Agreement, ledger_type: type[Ledger] = Ledger) -> None:
        self.agreement = agreement
        self.ledger_type = ledger_type
        self.replicas = {name: Replica(ledger_type(agreement, name)) for name in agreement.regions}
        self.actual_converters = {name: ActualConverter() for name in agreement.converters}
        self.agents: list[Agent] = []
        self.network: list[Message] = []
        self.pending_observations: list[PendingObservation] = []
        self.last_sequence = 0
        self.time_ms = 0
        self.agreement_checker = AgreementChecker(agreement)
        # one for each region, which receives all planned outages but only the losses that the region has recorded
        self.region_checkers = {name: AgreementChecker(agreement) for name in agreement.regions}
        # converter to the `as_of` index of its last recorded observation
        self.last_recorded_as_of: dict[str, int] = {}
        self.breaches: list[Breach] = []
        for name in agreement.regions:
            self.checkpoint(name)
            self.observe(name)
            self.record_observation(0)

    # the replicated log

    def ledger(self, region: str) -> Ledger:
        return self.replicas[region].ledger

    def apply(self, region: str, command: Command) -> Result:
        replica = self.replicas[region]
        index = replica.ledger.applied + 1
        data = commands.encode(command)
        replica.log.append((index, data))
        result = replica.ledger.apply(index, commands.decode(data))
        if isinstance(result, Observed | Cancelled):
            self._revoke(result.revoked)
        if isinstance(result, LeaseRevoked):
            self._revoke((result.lease,))
        return result

    def checkpoint(self, region: str) -> None:
        replica = self.replicas[region]
        replica.snapshot = replica.ledger.snapshot()
        replica.snapshot_entry_count = len(replica.log)

    def restart(self, region: str) -> None:
        replica = self.replicas[region]
        replica.ledger = self.ledger_type.restore(self.agreement, region, replica.snapshot)
        for index, data in replica.log[replica.snapshot_entry_count :]:
            replica.ledger.apply(index, commands.decode(data))

    # leases and converters

    def submit(self, region: str, name: str, converters: tuple[str, ...], max_unavailable: int) -> Result:
        new_request = request(
            name, region=region, converters=converters, max_unavailable=max_unavailable, deadline_ms=10**9
        )
        return self.apply(region, SubmitRequest(new_request))

    def grant(self, region: str, lease: str, request_name: str, converters: tuple[str, ...]) -> Result:
        result = self.apply(region, GrantLease(lease, request_name, "agent", converters))
        if isinstance(result, Granted) and not any(
            agent.lease == lease and agent.region == region for agent in self.agents
        ):
            self.agents.append(Agent(region, lease, result.token, converters))
            for name in converters:
                self.actual_converters[name].planned = True
                self._apply_change(name, FULL_WARMTH, planned=True)
        return result

    def start_drain(self, agent: Agent) -> None:
        result = self.apply(agent.region, StartDrain(agent.lease, agent.token))
        assert not (agent.superseded and isinstance(result, DrainStarted)), "a drain was started with an invalid token"
        if isinstance(result, DrainStarted) and not agent.drain_started:
            agent.drain_started = True
            for name in agent.converters:
                self.actual_converters[name].up = False

    def restart_converters(self, agent: Agent) -> None:
        """Restart the converters of a lease after their maintenance; their warmth is then 0."""
        if agent.drain_started and not agent.converters_restarted:
            agent.converters_restarted = True
            for name in agent.converters:
                self.actual_converters[name].up, self.actual_converters[name].warmth = True, 0

    def release(self, agent: Agent) -> None:
        if agent.converters_restarted or agent.superseded:
            result = self.apply(agent.region, ReleaseLease(agent.lease, agent.token))
            agent.released = not isinstance(result, Rejected)
            assert not (agent.superseded and agent.released), "a lease was released with an invalid token"

    def take_over(self, agent: Agent) -> None:
        result = self.apply(agent.region, TakeOverLease(agent.lease, f"agent-{len(self.agents)}", agent.token))
        if isinstance(result, Granted):
            assert result.token > agent.token and not agent.superseded
            agent.superseded = True
            new_agent = Agent(
                agent.region,
                agent.lease,
                result.token,
                agent.converters,
                agent.drain_started,
                agent.converters_restarted,
            )
            self.agents.append(new_agent)

    def request_grant_and_start_drain(self, region: str, request_name: str, *converters: str) -> Agent | None:
        """Submit a request, request a lease on all its converters, and start the drain if the lease is granted."""
        self.submit(region, request_name, converters, len(converters))
        if not isinstance(self.grant(region, f"{request_name}/1", request_name, converters), Granted):
            return None
        self.start_drain(self.agents[-1])
        return self.agents[-1]

    def lose_converter(self, name: str) -> None:
        if not self.actual_converters[name].planned:
            self.actual_converters[name].up, self.actual_converters[name].warmth = False, 0
            self._apply_change(name, FULL_WARMTH, planned=False)

    def restart_lost_converter(self, name: str) -> None:
        """Restart a converter that was lost outside a maintenance window."""
        if not self.actual_converters[name].planned:
            self.actual_converters[name].up = True

    def finish_warm_up(self, name: str) -> None:
        actual = self.actual_converters[name]
        if actual.up:
            actual.warmth = FULL_WARMTH
            self._apply_change(name, 0, planned=False)
            if actual.planned and any(agent.converters_restarted for agent in self._agents_of_last_lease(name)):
                actual.planned = False
                self._apply_change(name, 0, planned=True)

    def _agents_of_last_lease(self, name: str) -> list[Agent]:
        """Return all agents that have held the converter's last lease, including those from which it was taken over."""
        holders = [agent for agent in self.agents if name in agent.converters]
        return [agent for agent in holders if agent.lease == holders[-1].lease]

    def _revoke(self, leases: tuple[str, ...]) -> None:
        for agent in self.agents:
            if agent.lease in leases and not agent.superseded:
                agent.superseded = True
                assert not agent.drain_started, "a lease was revoked after its drain had started"
                for name in agent.converters:
                    self.actual_converters[name].planned = False
                    self._apply_change(name, 0, planned=True)

    # observers

    def observe(self, region: str) -> None:
        self.last_sequence += 1
        observations = tuple(
            ConverterObservation(
                name,
                self.actual_converters[name].up,
                self.actual_converters[name].warmth if self.actual_converters[name].up else 0,
            )
            for name, converter in self.agreement.converters.items()
            if converter.region == region
        )
        observer = f"watch-{self.last_sequence % OBSERVER_COUNT}"
        command = RecordObservation(observer, self.last_sequence, self.ledger(region).applied, observations)
        self.pending_observations.append(PendingObservation(region, command))

    def record_observation(self, position: int, *, keep_copy: bool = False) -> None:
        """Record a pending observation in its region's log; with `keep_copy`, it stays pending and can be repeated."""
        pending = self.pending_observations[position] if keep_copy else self.pending_observations.pop(position)
        if not isinstance(self.apply(pending.region, pending.command), Observed):
            return
        for observation in pending.command.observations:
            if self.last_recorded_as_of.get(observation.converter, 0) <= pending.command.as_of:
                self.last_recorded_as_of[observation.converter] = pending.command.as_of
                missing = FULL_WARMTH - observation.warmth if observation.ready else FULL_WARMTH
                self.region_checkers[pending.region].apply(
                    CapacityChange(self._next_time_ms(), observation.converter, missing, planned=False)
                )

    # transfers

    def debit(self, region: str, receiver: str, amount: int) -> None:
        number = self.ledger(region).state.escrow.next_number(receiver)
        self.apply(region, DebitTransfer(Transfer(region, receiver, number, "convert", amount)))

    def rebalance(self, region: str) -> None:
        for transfer in self.ledger(region).transfers_due():
            self.apply(region, DebitTransfer(transfer))

    def send_transfers(self, region: str) -> None:
        """Send all pending transfers, including those that were sent before."""
        pending = self.ledger(region).pending_transfers()
        self.network += [Message(transfer.receiver, CreditTransfer(transfer)) for transfer in pending]

    def send_needs_and_transfers(self, region: str) -> None:
        """Send the region's pending transfers, and its capacity needs to all other regions."""
        self.send_transfers(region)
        ledger = self.ledger(region)
        capacity_report = RecordCapacityNeeds(region, ledger.applied, ledger.capacity_needs())
        self.network += [
            Message(other_region, capacity_report) for other_region in self.replicas if other_region != region
        ]

    def deliver(self, position: int, *, keep_copy: bool = False) -> None:
        message = self.network[position] if keep_copy else self.network.pop(position)
        result = self.apply(message.receiver_region, message.command)
        if isinstance(result, Credited):
            self.network.append(Message(result.transfer.giver, AcknowledgeTransfer(result.transfer)))

    def deliver_all(self) -> None:
        """Deliver messages, newest first, until none is in transit."""
        while self.network:
            self.deliver(-1)

    def total_allowance(self) -> int:
        """Return the sum of all regions' allowances, including the amounts in transit between them."""
        in_transit = sum(
            transfer.amount
            for replica in self.replicas.values()
            for transfer in replica.ledger.pending_transfers()
            if not self._was_credited(transfer)
        )
        return in_transit + sum(replica.ledger.capacity("convert").allowance for replica in self.replicas.values())

    def _was_credited(self, transfer: Transfer) -> bool:
        received_numbers = self.ledger(transfer.receiver).state.escrow.received.get(transfer.giver)
        return received_numbers is not None and received_numbers.has(transfer.number)

    def _next_time_ms(self) -> int:
        self.time_ms += 1
        return self.time_ms

    def _apply_change(self, name: str, missing: int, *, planned: bool) -> None:
        change = CapacityChange(self._next_time_ms(), name, missing, planned)
        self.breaches += self.agreement_checker.apply(change)
        if not planned:
            return
        own_region = self.agreement.converters[name].region
        for region, region_checker in self.region_checkers.items():
            if region == own_region and missing:
                self.breaches += region_checker.check_grant(change, 0)
            else:
                region_checker.apply(change)
