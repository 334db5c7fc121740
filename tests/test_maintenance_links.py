"""Between regions: what is told and sent again, and the relay that experiments put between them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from ryepier.experiments.maintenance.relay import Relay
from ryepier.maintenance.address import Address
from ryepier.maintenance.api import VERSION, ClientHello, ClientKind, StatusCall
from ryepier.maintenance.client import CallError
from ryepier.maintenance.commands import (
    AcknowledgeTransfer,
    Command,
    CreditTransfer,
    DebitTransfer,
    RecordCapacityNeeds,
    Transfer,
)
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.region_link import RegionLink
from ryepier.maintenance.results import Credited, Debited, Observed, Rejected, Result
from ryepier.maintenance.state import ObservedState
from ryepier.maintenance.transport import Connection
from tests.maintenance_world import small_agreement
from tests.network_peers import HANG_TIMEOUT_S, free_port

SEEN = ObservedState(ready=True, warmth=1000, as_of=0)
TRANSFER = Transfer("north", "south", 1, "convert", 1000)


@dataclass
class South:
    """Stands for the other region; `away` calls fail first."""

    away: int = 0
    refuses: bool = False
    commands: list[Command] = field(default_factory=list)

    async def command(self, command: Command, timeout_s: float) -> Result:
        if self.away:
            self.away -= 1
            raise CallError("no answer")
        self.commands.append(command)
        if isinstance(command, CreditTransfer):
            return Rejected("no") if self.refuses else Credited(command.transfer)
        return Observed()


def link_to(south: South) -> RegionLink:
    link = RegionLink(small_agreement(), "north", "south")
    link.client = south  # type: ignore[assignment]
    return link


def ledger_with_transfer() -> Ledger:
    ledger = Ledger(small_agreement(), "north")
    for one in ledger.agreement.converters_of("convert", "north"):
        ledger.state.observed[one.name] = SEEN
    assert ledger.apply(1, DebitTransfer(TRANSFER)) == Debited(TRANSFER)
    return ledger


def exchange(link: RegionLink, ledger: Ledger) -> list[Command]:
    return asyncio.run(link.exchange(ledger))


def test_a_standing_is_told_again_only_when_it_changes_or_another_leader_may_have_told() -> None:
    south, ledger = South(), ledger_with_transfer()
    link = link_to(south)
    for _ in range(3):
        exchange(link, ledger)
    assert sum(isinstance(one, RecordCapacityNeeds) for one in south.commands) == 1
    link.reset()
    exchange(link, ledger)
    assert sum(isinstance(one, RecordCapacityNeeds) for one in south.commands) == 2


def test_a_transfer_is_sent_until_its_acknowledgement_is_committed() -> None:
    south, ledger = South(away=1), ledger_with_transfer()
    link = link_to(south)
    assert exchange(link, ledger) == []
    for _ in range(2):
        assert exchange(link, ledger) == [AcknowledgeTransfer(TRANSFER)]
    ledger.apply(2, AcknowledgeTransfer(TRANSFER))
    assert exchange(link, ledger) == []
    assert sum(isinstance(one, CreditTransfer) for one in south.commands) == 2


def test_a_transfer_that_is_refused_is_not_acknowledged() -> None:
    assert exchange(link_to(South(refuses=True)), ledger_with_transfer()) == []


def test_a_relay_doubles_calls_and_carries_nothing_while_it_is_cut() -> None:
    async def test() -> None:
        received: list[object] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connection = Connection(reader, writer)
            try:
                while True:
                    received.append(await connection.receive())
            except (OSError, EOFError):
                writer.close()

        target, listen = Address("127.0.0.1", free_port()), Address("127.0.0.1", free_port())
        server = await asyncio.start_server(serve, *target)
        relay = Relay(listen, target, seed=1)
        await relay.start()
        hello = ClientHello(VERSION, "south", "north", ClientKind.REGION)
        connection = await Connection.dial(listen, hello)
        for number in range(20):
            connection.send(StatusCall(number))
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while len(received) < 21 + relay.duplicated or relay.duplicated == 0:
                await asyncio.sleep(0.05)
        assert received[0] == hello
        assert {one.number for one in received[1:] if isinstance(one, StatusCall)} == set(range(20))
        assert received[1:21] != [StatusCall(number) for number in range(20)], "in another order"
        relay.partition()
        with pytest.raises((OSError, EOFError)):
            await connection.receive()
        refused = await Connection.dial(listen, hello)
        with pytest.raises((OSError, EOFError)):
            await refused.receive()
        relay.heal()
        count = len(received)
        again = await Connection.dial(listen, hello)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while len(received) == count:
                await asyncio.sleep(0.05)
        again.close()
        server.close()

    asyncio.run(test())
