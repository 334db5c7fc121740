"""Tests of region links, which repeat reports and transfers, and of the relay between regions in experiments."""

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
    """A stub of the remote region; its first `remaining_failures` calls fail."""

    remaining_failures: int = 0
    rejects_transfers: bool = False
    commands: list[Command] = field(default_factory=list)

    async def command(self, command: Command, timeout_s: float) -> Result:
        if self.remaining_failures:
            self.remaining_failures -= 1
            raise CallError("no answer")
        self.commands.append(command)
        if isinstance(command, CreditTransfer):
            return Rejected("no") if self.rejects_transfers else Credited(command.transfer)
        return Observed()


def link_to(south: StubRegion) -> RegionLink:
    link = RegionLink(small_agreement(), "north", "south")
    link.client = south  # type: ignore[assignment]
    return link


def ledger_with_transfer() -> Ledger:
    ledger = Ledger(small_agreement(), "north")
    for converter in ledger.agreement.converters_of("convert", "north"):
        ledger.state.observed[converter.name] = READY_AND_WARM
    assert ledger.apply(1, DebitTransfer(TRANSFER)) == Debited(TRANSFER)
    return ledger


def run_exchange(link: RegionLink, ledger: Ledger) -> list[Command]:
    return asyncio.run(link.exchange(ledger))


def test_unchanged_needs_are_reported_once_per_leadership() -> None:
    south, ledger = StubRegion(), ledger_with_transfer()
    link = link_to(south)
    for _ in range(3):
        run_exchange(link, ledger)
    assert sum(isinstance(command, RecordCapacityNeeds) for command in south.commands) == 1
    link.forget_last_report()
    run_exchange(link, ledger)
    assert sum(isinstance(command, RecordCapacityNeeds) for command in south.commands) == 2


def test_transfer_is_sent_until_its_acknowledgement_is_committed() -> None:
    south, ledger = StubRegion(remaining_failures=1), ledger_with_transfer()
    link = link_to(south)
    assert run_exchange(link, ledger) == []
    for _ in range(2):
        assert run_exchange(link, ledger) == [AcknowledgeTransfer(TRANSFER)]
    ledger.apply(2, AcknowledgeTransfer(TRANSFER))
    assert run_exchange(link, ledger) == []
    assert sum(isinstance(command, CreditTransfer) for command in south.commands) == 2


def test_rejected_transfer_is_not_acknowledged() -> None:
    assert run_exchange(link_to(StubRegion(rejects_transfers=True)), ledger_with_transfer()) == []


@dataclass
class RecordingCoordinator:
    """A stub of a coordinator that records the frames it receives on all connections."""

    received_frames: list[object] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        try:
            while True:
                self.received_frames.append(await connection.receive())
        except (OSError, EOFError):
            writer.close()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.05)


HELLO = ClientHello(VERSION, "south", "north", ClientKind.REGION)


async def check_duplicated_and_reordered_calls(relay: Relay, recording_coordinator: RecordingCoordinator) -> Connection:
    connection = await Connection.dial(relay.listen_address, HELLO)
    for number in range(20):
        connection.send(StatusCall(number))
    received_frames = recording_coordinator.received_frames
    await recording_coordinator.wait_for(
        lambda: len(received_frames) >= 21 + relay.duplicated_frames and relay.duplicated_frames > 0
    )
    assert received_frames[0] == HELLO
    assert {frame.number for frame in received_frames[1:] if isinstance(frame, StatusCall)} == set(range(20))
    assert received_frames[1:21] != [StatusCall(number) for number in range(20)], "the relay did not reorder the calls"
    return connection


async def check_partition(relay: Relay, connection: Connection) -> None:
    relay.partition()
    with pytest.raises((OSError, EOFError)):
        await connection.receive()
    rejected_connection = await Connection.dial(relay.listen_address, HELLO)
    with pytest.raises((OSError, EOFError)):
        await rejected_connection.receive()


def test_relay_duplicates_calls_and_closes_connections_while_partitioned() -> None:
    async def scenario() -> None:
        recording_coordinator = RecordingCoordinator()
        target_address, listen_address = Address("127.0.0.1", free_port()), Address("127.0.0.1", free_port())
        server = await asyncio.start_server(recording_coordinator.serve, *target_address)
        relay = Relay(listen_address, target_address, seed=1)
        await relay.start()
        connection = await check_duplicated_and_reordered_calls(relay, recording_coordinator)
        await check_partition(relay, connection)
        relay.heal()
        frame_count_before_dial = len(recording_coordinator.received_frames)
        new_connection = await Connection.dial(listen_address, HELLO)
        await recording_coordinator.wait_for(
            lambda: len(recording_coordinator.received_frames) != frame_count_before_dial
        )
        new_connection.close()
        server.close()

    asyncio.run(scenario())
