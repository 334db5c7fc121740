"""What coordinators store and send keeps its form: what revision f922cf1 wrote is read, applied and written alike."""

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
from tests.maintenance_fixtures import AGREEMENT, FOLDER, IDENTITY, REGION

WRITTEN = {
    name: bytes.fromhex(data)
    for name, data in map(str.split, (FOLDER / "maintenance_formats.hex").read_text().splitlines())
}
OPTIONS = {
    "serve": "--agreement --region --replica --folder --discovery --freeze-s --bootstrap",
    "request": (
        "--agreement --region --service --converter --zone --at-once --duration-s --earliest-in-s --deadline-in-s "
        "--priority NAME"
    ),
    "cancel": "--agreement --region NAME",
    "list": "--agreement --region --json",
}


def written(kind: str) -> list[bytes]:
    return [data for name, data in WRITTEN.items() if name.startswith(f"{kind}/")]


def test_every_command_of_an_earlier_log_is_read_and_written_alike() -> None:
    read = [commands.decode(data) for data in written("log")]
    assert {type(command) for command in read} == set(commands.Command.__args__)
    assert [commands.encode(command) for command in read] == written("log")


def test_an_earlier_log_gives_the_same_results_and_the_same_snapshot() -> None:
    ledger = Ledger(AGREEMENT, REGION)
    replies = [frame for frame in map(_decoded, written("frame")) if isinstance(frame, CommandReply)]
    for index, data in enumerate(written("log"), 1):
        assert ledger.apply(index, commands.decode(data)) == replies[index - 1].result
    assert ledger.snapshot() == WRITTEN["snapshot"]


def test_an_earlier_snapshot_is_read_and_written_alike() -> None:
    restored = Ledger.restore(AGREEMENT, REGION, WRITTEN["snapshot"])
    assert restored.snapshot() == WRITTEN["snapshot"]
    states = {lease.name: lease.state.value for lease in restored.open_leases()}
    assert states == {"l2": "draining", "l3": "returning", "l6": "called-off", "l7": "granted"}
    assert state.encode(restored.state) == WRITTEN["snapshot"]


def test_an_earlier_state_file_is_read_with_its_log(tmp_path: Path) -> None:
    (tmp_path / storage.FILE_NAME).write_bytes(WRITTEN["state-file"])
    file = storage.FileStorage(tmp_path, IDENTITY)
    file.close()
    assert file.path.read_bytes() == WRITTEN["state-file"] and file.truncated_bytes == 0
    assert file.state.hard_state == HardState(3, "north-0")
    assert file.state.entries[0].command == b""
    assert [entry.command for entry in file.state.entries[1:]] == written("log")


@pytest.mark.parametrize("frame", written("frame"), ids=range(len(written("frame"))))
def test_an_earlier_frame_is_read_and_written_alike(frame: bytes) -> None:
    assert transport.encode(_decoded(frame)) == frame


@pytest.mark.parametrize("message", written("fleet"), ids=range(len(written("fleet"))))
def test_an_earlier_message_of_an_agent_is_read_and_written_alike(message: bytes) -> None:
    kind = FleetCall if b"action" in message else FleetReply
    assert msgspec.msgpack.encode(msgspec.msgpack.decode(message, type=kind)) == message


def test_the_status_keeps_its_texts_for_programs() -> None:
    read = msgspec.json.decode(WRITTEN["status-json"], type=StatusReply)
    assert msgspec.json.encode(read) == WRITTEN["status-json"]


def test_the_same_contents_are_written_as_before() -> None:
    assert maintenance_fixtures.formats() == WRITTEN


@pytest.mark.parametrize("name", OPTIONS)
def test_a_command_keeps_its_options(name: str) -> None:
    command = maintenance.commands[name]
    options = [one.opts[0] for one in command.params if isinstance(one, click.Option)]
    arguments = [one.make_metavar(click.Context(command)) for one in command.params if isinstance(one, click.Argument)]
    assert [*options, *arguments] == OPTIONS[name].split()


def _decoded(frame: bytes) -> Frame:
    return transport.decode(frame[transport.LENGTH_BYTES :])
