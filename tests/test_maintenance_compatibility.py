"""Compatibility of stored data, messages and CLI options: data of revision f922cf1 is read and written unchanged."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec
import pytest

from ryepier.commands.maintenance import maintenance
from ryepier.maintenance import commands, state, transport
from ryepier.maintenance.api import CommandReply, Frame, StatusReply
from ryepier.maintenance.fleet import FleetCall, FleetReply
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.messages import HardState
from tests import maintenance_fixtures
from tests.maintenance_fixtures import AGREEMENT, FIXTURES_FOLDER, IDENTITY, REGION

RECORDED_FIXTURES = {
    name: bytes.fromhex(data)
    for name, data in map(str.split, (FIXTURES_FOLDER / "maintenance_formats.hex").read_text().splitlines())
}
CLI_OPTIONS = {
    "serve": "--agreement --region --replica --folder --discovery --freeze-s --bootstrap",
    "request": (
        "--agreement --region --service --converter --zone --at-once --duration-s --earliest-in-s --deadline-in-s "
        "--priority NAME"
    ),
    "cancel": "--agreement --region NAME",
    "list": "--agreement --region --json",
}


def recorded_bytes(prefix: str) -> list[bytes]:
    return [data for name, data in RECORDED_FIXTURES.items() if name.startswith(f"{prefix}/")]


def test_every_command_of_an_earlier_log_round_trips() -> None:
    decoded_commands = [commands.decode(data) for data in recorded_bytes("log")]
    assert {type(command) for command in decoded_commands} == set(commands.Command.__args__)
    assert [commands.encode(command) for command in decoded_commands] == recorded_bytes("log")


def test_an_earlier_log_gives_the_same_results_and_the_same_snapshot() -> None:
    ledger = Ledger(AGREEMENT, REGION)
    replies = [frame for frame in map(_decode_frame, recorded_bytes("frame")) if isinstance(frame, CommandReply)]
    for index, data in enumerate(recorded_bytes("log"), 1):
        assert ledger.apply(index, commands.decode(data)) == replies[index - 1].result
    assert ledger.snapshot() == RECORDED_FIXTURES["snapshot"]


def test_an_earlier_snapshot_round_trips() -> None:
    restored_ledger = Ledger.restore(AGREEMENT, REGION, RECORDED_FIXTURES["snapshot"])
    assert restored_ledger.snapshot() == RECORDED_FIXTURES["snapshot"]
    states = {lease.name: lease.state.value for lease in restored_ledger.open_leases()}
    assert states == {"l2": "draining", "l3": "returning", "l6": "called-off", "l7": "granted"}
    assert state.encode(restored_ledger.state) == RECORDED_FIXTURES["snapshot"]


def test_an_earlier_state_file_is_loaded_with_its_log(tmp_path: Path) -> None:
    (tmp_path / storage.FILE_NAME).write_bytes(RECORDED_FIXTURES["state-file"])
    file = storage.FileStorage(tmp_path, IDENTITY)
    file.close()
    assert file.path.read_bytes() == RECORDED_FIXTURES["state-file"] and file.truncated_bytes == 0
    assert file.state.hard_state == HardState(3, "north-0")
    assert file.state.entries[0].command == b""
    assert [entry.command for entry in file.state.entries[1:]] == recorded_bytes("log")


@pytest.mark.parametrize("frame", recorded_bytes("frame"), ids=range(len(recorded_bytes("frame"))))
def test_an_earlier_frame_round_trips(frame: bytes) -> None:
    assert transport.encode(_decode_frame(frame)) == frame


@pytest.mark.parametrize("message", recorded_bytes("fleet"), ids=range(len(recorded_bytes("fleet"))))
def test_an_earlier_agent_message_round_trips(message: bytes) -> None:
    message_type = FleetCall if b"action" in message else FleetReply
    assert msgspec.msgpack.encode(msgspec.msgpack.decode(message, type=message_type)) == message


def test_the_status_json_round_trips() -> None:
    decoded_status = msgspec.json.decode(RECORDED_FIXTURES["status-json"], type=StatusReply)
    assert msgspec.json.encode(decoded_status) == RECORDED_FIXTURES["status-json"]


def test_current_code_writes_the_recorded_bytes() -> None:
    assert maintenance_fixtures.fixture_bytes() == RECORDED_FIXTURES


@pytest.mark.parametrize("name", CLI_OPTIONS)
def test_a_cli_command_keeps_its_options(name: str) -> None:
    command = maintenance.commands[name]
    options = [parameter.opts[0] for parameter in command.params if isinstance(parameter, click.Option)]
    arguments = [
        parameter.make_metavar(click.Context(command))
        for parameter in command.params
        if isinstance(parameter, click.Argument)
    ]
    assert [*options, *arguments] == CLI_OPTIONS[name].split()


def _decode_frame(frame: bytes) -> Frame:
    return transport.decode(frame[transport.LENGTH_BYTES :])
