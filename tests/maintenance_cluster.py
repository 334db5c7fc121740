"""Several regions' ledgers, the converters as they really are, agents, and messages that are late, doubled and lost.

Nothing here asks a ledger whether the rule holds: grants and what became of the converters go to the judge.
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
from ryepier.maintenance.judge import Breach, Change, Judge
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

OBSERVERS = 3  # so that a late look is not always refused as one that its observer has surpassed


@dataclass
class Truth:
    """A converter as it is."""

    up: bool = True
    warmth: int = FULL_WARMTH
    planned: bool = False  # a lease has it and it has not come back


@dataclass
class Agent:
    """Who holds a lease, or held it."""

    region: str
    lease: str
    token: int
    converters: tuple[str, ...]
    drained: bool = False
    brought_up: bool = False
    released: bool = False
    void: bool = False  # its lease was called off or taken over: it must get nothing more


@dataclass
class Message:
    """A command on its way to another region."""

    to: str
    command: Command


@dataclass
class WarmthProbe:
    """What an observer saw and has not reported yet."""

    region: str
    command: RecordObservation


@dataclass
class Replica:
    """A region's ledger with its log, and a snapshot that was taken at some point of it."""

    ledger: Ledger
    log: list[tuple[int, bytes]] = field(default_factory=list)
    snapshot: bytes = b""
    kept_from: int = 0  # entries of the log that come after the snapshot


class Cluster:
    """All of it; `breaches` are what the judge found."""

    def __init__(self, agreement: Agreement, ledger_type: type[Ledger] = Ledger) -> None:
        self.agreement = agreement
        self.ledger_type = ledger_type
        self.replicas = {name: Replica(ledger_type(agreement, name)) for name in agreement.regions}
        self.truth = {name: Truth() for name in agreement.converters}
        self.agents: list[Agent] = []
        self.network: list[Message] = []
        self.probes: list[WarmthProbe] = []
        self.sequence = 0
        self.time = 0
        self.rule = Judge(agreement)
        self.known = {name: Judge(agreement) for name in agreement.regions}  # with the losses that a region was told
        self.told_as_of: dict[str, int] = {}
        self.breaches: list[Breach] = []
        for name in agreement.regions:
            self.checkpoint(name)
            self.look(name)
            self.report(0)

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
            self._void(result.revoked)
        if isinstance(result, LeaseRevoked):
            self._void((result.lease,))
        return result

    def checkpoint(self, region: str) -> None:
        replica = self.replicas[region]
        replica.snapshot = replica.ledger.snapshot()
        replica.kept_from = len(replica.log)

    def restart(self, region: str) -> None:
        replica = self.replicas[region]
        replica.ledger = self.ledger_type.restore(self.agreement, region, replica.snapshot)
        for index, data in replica.log[replica.kept_from :]:
            replica.ledger.apply(index, commands.decode(data))

    # leases and converters

    def submit(self, region: str, name: str, converters: tuple[str, ...], max_unavailable: int) -> Result:
        one = request(name, region=region, converters=converters, max_unavailable=max_unavailable, deadline_ms=10**9)
        return self.apply(region, SubmitRequest(one))

    def grant(self, region: str, lease: str, request_name: str, converters: tuple[str, ...]) -> Result:
        result = self.apply(region, GrantLease(lease, request_name, "agent", converters))
        if isinstance(result, Granted) and not any(one.lease == lease and one.region == region for one in self.agents):
            self.agents.append(Agent(region, lease, result.token, converters))
            for name in converters:
                self.truth[name].planned = True
                self._change(name, FULL_WARMTH, planned=True)
        return result

    def begin(self, agent: Agent) -> None:
        result = self.apply(agent.region, StartDrain(agent.lease, agent.token))
        assert not (agent.void and isinstance(result, DrainStarted)), "a void token began a drain"
        if isinstance(result, DrainStarted) and not agent.drained:
            agent.drained = True
            for name in agent.converters:
                self.truth[name].up = False

    def bring_up(self, agent: Agent) -> None:
        """The converters come back, cold."""
        if agent.drained and not agent.brought_up:
            agent.brought_up = True
            for name in agent.converters:
                self.truth[name].up, self.truth[name].warmth = True, 0

    def release(self, agent: Agent) -> None:
        if agent.brought_up or agent.void:
            result = self.apply(agent.region, ReleaseLease(agent.lease, agent.token))
            agent.released = not isinstance(result, Rejected)
            assert not (agent.void and agent.released), "a void token released a lease"

    def take_over(self, agent: Agent) -> None:
        result = self.apply(agent.region, TakeOverLease(agent.lease, f"agent-{len(self.agents)}", agent.token))
        if isinstance(result, Granted):
            assert result.token > agent.token and not agent.void
            agent.void = True
            after = Agent(agent.region, agent.lease, result.token, agent.converters, agent.drained, agent.brought_up)
            self.agents.append(after)

    def hold(self, region: str, name: str, *converters: str) -> Agent | None:
        """A request and a lease on all of its converters, drained where it is granted."""
        self.submit(region, name, converters, len(converters))
        if not isinstance(self.grant(region, f"{name}/1", name, converters), Granted):
            return None
        self.begin(self.agents[-1])
        return self.agents[-1]

    def lose(self, name: str) -> None:
        if not self.truth[name].planned:
            self.truth[name].up, self.truth[name].warmth = False, 0
            self._change(name, FULL_WARMTH, planned=False)

    def return_cold(self, name: str) -> None:
        """A converter that was lost, and not by a window, is up again."""
        if not self.truth[name].planned:
            self.truth[name].up = True

    def warm(self, name: str) -> None:
        truth = self.truth[name]
        if truth.up:
            truth.warmth = FULL_WARMTH
            self._change(name, 0, planned=False)
            if truth.planned and any(one.brought_up for one in self._holders(name)):
                truth.planned = False
                self._change(name, 0, planned=True)

    def _holders(self, name: str) -> list[Agent]:
        """The agent of the last lease of a converter, and its predecessors."""
        having = [one for one in self.agents if name in one.converters]
        return [one for one in having if one.lease == having[-1].lease]

    def _void(self, leases: tuple[str, ...]) -> None:
        for agent in self.agents:
            if agent.lease in leases and not agent.void:
                agent.void = True
                assert not agent.drained, "a drain that had begun was called off"
                for name in agent.converters:
                    self.truth[name].planned = False
                    self._change(name, 0, planned=True)

    # observers

    def look(self, region: str) -> None:
        self.sequence += 1
        observations = tuple(
            ConverterObservation(name, self.truth[name].up, self.truth[name].warmth if self.truth[name].up else 0)
            for name, one in self.agreement.converters.items()
            if one.region == region
        )
        observer = f"watch-{self.sequence % OBSERVERS}"
        command = RecordObservation(observer, self.sequence, self.ledger(region).applied, observations)
        self.probes.append(WarmthProbe(region, command))

    def report(self, number: int, *, keep: bool = False) -> None:
        """One of the looks reaches its region's log."""
        look = self.probes[number] if keep else self.probes.pop(number)
        if not isinstance(self.apply(look.region, look.command), Observed):
            return
        for observation in look.command.observations:
            if self.told_as_of.get(observation.converter, 0) <= look.command.as_of:
                self.told_as_of[observation.converter] = look.command.as_of
                missing = FULL_WARMTH - observation.warmth if observation.ready else FULL_WARMTH
                self.known[look.region].apply(Change(self._tick(), observation.converter, missing, planned=False))

    # transfers

    def debit(self, region: str, receiver: str, amount: int) -> None:
        number = self.ledger(region).state.escrow.next_number(receiver)
        self.apply(region, DebitTransfer(Transfer(region, receiver, number, "convert", amount)))

    def rebalance(self, region: str) -> None:
        for transfer in self.ledger(region).transfers_due():
            self.apply(region, DebitTransfer(transfer))

    def send_transfers(self, region: str) -> None:
        """All that is pending goes out, again."""
        pending = self.ledger(region).pending_transfers()
        self.network += [Message(one.receiver, CreditTransfer(one)) for one in pending]

    def send(self, region: str) -> None:
        """The region's standing goes out with its transfers."""
        self.send_transfers(region)
        ledger = self.ledger(region)
        need = RecordCapacityNeeds(region, ledger.applied, ledger.needs())
        self.network += [Message(other, need) for other in self.replicas if other != region]

    def deliver(self, number: int, *, keep: bool = False) -> None:
        message = self.network[number] if keep else self.network.pop(number)
        result = self.apply(message.to, message.command)
        if isinstance(result, Credited):
            self.network.append(Message(result.transfer.giver, AcknowledgeTransfer(result.transfer)))

    def deliver_all(self) -> None:
        """Until nothing is on its way; the latest go first."""
        while self.network:
            self.deliver(-1)

    def whole(self) -> int:
        """The allowances of all regions, and what is on its way between them."""
        on_its_way = sum(
            one.amount
            for replica in self.replicas.values()
            for one in replica.ledger.pending_transfers()
            if not self._was_credited(one)
        )
        return on_its_way + sum(one.ledger.capacity("convert").allowance for one in self.replicas.values())

    def _was_credited(self, transfer: Transfer) -> bool:
        numbers = self.ledger(transfer.receiver).state.escrow.received.get(transfer.giver)
        return numbers is not None and numbers.has(transfer.number)

    def _tick(self) -> int:
        self.time += 1
        return self.time

    def _change(self, name: str, missing: int, *, planned: bool) -> None:
        change = Change(self._tick(), name, missing, planned)
        self.breaches += self.rule.apply(change)
        if not planned:
            return
        own = self.agreement.converters[name].region
        for region, known in self.known.items():
            if region == own and missing:
                self.breaches += known.check_grant(change, 0)
            else:
                known.apply(change)
