"""Between regions: what is reported and sent again, and the relay that experiments put between them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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
from tests.loopback_ports import free_port
from tests.maintenance_world import small_agreement
from tests.network_peers import HANG_TIMEOUT_S

READY_AND_WARM = ObservedState(ready=True, warmth=1000, as_of=0)
TRANSFER = Transfer("north", "south", 1, "convert", 1000)


@dataclass
class StubRegion:
    """A stub of the other region; the first `failing_calls` fail."""

    failing_calls: int = 0
    rejects: bool = False
    commands: list[Command] = field(default_factory=list)

    async def command(self, command: Command, timeout_s: float) -> Result:
        if self.failing_calls:
            self.failing_calls -= 1
            raise CallError("no answer")
        self.commands.append(command)
        if isinstance(command, CreditTransfer):
            return Rejected("no") if self.rejects else Credited(command.transfer)
        return Observed()


def link_to(south: StubRegion) -> RegionLink:
    link = RegionLink(small_agreement(), "north", "south")
    link.client = south  # type: ignore[assignment]
    return link


def ledger_with_transfer() -> Ledger:
    ledger = Ledger(small_agreement(), "north")
    for one in ledger.agreement.converters_of("convert", "north"):
        ledger.state.observed[one.name] = READY_AND_WARM
    assert ledger.apply(1, DebitTransfer(TRANSFER)) == Debited(TRANSFER)
    return ledger


def exchange(link: RegionLink, ledger: Ledger) -> list[Command]:
    return asyncio.run(link.exchange(ledger))


def test_needs_are_reported_again_only_after_a_change_or_another_leader() -> None:
    south, ledger = StubRegion(), ledger_with_transfer()
    link = link_to(south)
    for _ in range(3):
        exchange(link, ledger)
    assert sum(isinstance(one, RecordCapacityNeeds) for one in south.commands) == 1
    link.forget_last_report()
    exchange(link, ledger)
    assert sum(isinstance(one, RecordCapacityNeeds) for one in south.commands) == 2


def test_a_transfer_is_sent_until_its_acknowledgement_is_committed() -> None:
    south, ledger = StubRegion(failing_calls=1), ledger_with_transfer()
    link = link_to(south)
    assert exchange(link, ledger) == []
    for _ in range(2):
        assert exchange(link, ledger) == [AcknowledgeTransfer(TRANSFER)]
    ledger.apply(2, AcknowledgeTransfer(TRANSFER))
    assert exchange(link, ledger) == []
    assert sum(isinstance(one, CreditTransfer) for one in south.commands) == 2


def test_a_transfer_that_is_rejected_is_not_acknowledged() -> None:
    assert exchange(link_to(StubRegion(rejects=True)), ledger_with_transfer()) == []


@dataclass
class Recorder:
    """A coordinator's far end that records the frames of all connections."""

    received: list[object] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        try:
            while True:
                self.received.append(await connection.receive())
        except (OSError, EOFError):
            writer.close()

    async def wait_for(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not holds():
                await asyncio.sleep(0.05)


HELLO = ClientHello(VERSION, "south", "north", ClientKind.REGION)


async def check_duplicated_calls(relay: Relay, recorder: Recorder) -> Connection:
    connection = await Connection.dial(relay.listen, HELLO)
    for number in range(20):
        connection.send(StatusCall(number))
    received = recorder.received
    await recorder.wait_for(lambda: len(received) >= 21 + relay.duplicated and relay.duplicated > 0)
    assert received[0] == HELLO
    assert {one.number for one in received[1:] if isinstance(one, StatusCall)} == set(range(20))
    assert received[1:21] != [StatusCall(number) for number in range(20)], "in another order"
    return connection


async def check_partition(relay: Relay, connection: Connection) -> None:
    relay.partition()
    with pytest.raises((OSError, EOFError)):
        await connection.receive()
    rejected = await Connection.dial(relay.listen, HELLO)
    with pytest.raises((OSError, EOFError)):
        await rejected.receive()


def test_a_relay_duplicates_calls_and_relays_nothing_while_partitioned() -> None:
    async def test() -> None:
        recorder = Recorder()
        target, listen = Address("127.0.0.1", free_port()), Address("127.0.0.1", free_port())
        server = await asyncio.start_server(recorder.serve, *target)
        relay = Relay(listen, target, seed=1)
        await relay.start()
        connection = await check_duplicated_calls(relay, recorder)
        await check_partition(relay, connection)
        relay.heal()
        count = len(recorder.received)
        again = await Connection.dial(listen, HELLO)
        await recorder.wait_for(lambda: len(recorder.received) != count)
        again.close()
        server.close()

    asyncio.run(test())
