"""Prints an example of each kind of data that maintenance coordinators store or send, for tests/fixtures.

Each line has the name of the example and its bytes in hexadecimal.

The fixtures were written by revision f922cf1, which used other names for the types in this script.
Run: python -m tests.maintenance_fixtures > tests/fixtures/maintenance_formats.hex
"""

from __future__ import annotations

import tempfile
from pathlib import Path

import msgspec

from ryepier.maintenance import agreement_file, api, commands, fleet, results, transport
from ryepier.maintenance.commands import CapacityNeed, Command, ConverterObservation, Priority, Request, Transfer
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.replication import messages, storage
from ryepier.maintenance.replication.messages import Entry, HardState
from ryepier.maintenance.replication.model import Ready
from ryepier.maintenance.tables import LeaseState

FIXTURES_FOLDER = Path(__file__).parent / "fixtures"
AGREEMENT = agreement_file.parse((FIXTURES_FOLDER / "maintenance_agreement.toml").read_bytes())
REGION = "north"
IDENTITY = storage.Identity("north", "north-0", ("north-0", "north-1", "north-2"))
NORTH_CONVERTERS = tuple(converter.name for converter in AGREEMENT.converters_of("convert", REGION))


def request(name: str, converters: tuple[str, ...], **changes: object) -> Request:
    """Return a request in region `north`, with default values for the fields not in `changes`."""
    fields: dict[str, object] = {
        "name": name,
        "region": REGION,
        "service": "convert",
        "converters": converters,
        "max_unavailable": 1,
        "duration_ms": 10_000,
        "earliest_ms": 0,
        "deadline_ms": 100_000,
    }
    return Request(**{**fields, **changes})  # type: ignore[arg-type]


def observation_command(sequence: int, as_of: int, *observations: ConverterObservation) -> Command:
    """Return the command that records an observation by the observer `north-0`."""
    return commands.RecordObservation("north-0", sequence, as_of, observations)


def ready_observations(*names: str) -> tuple[ConverterObservation, ...]:
    """Return observations of these converters as ready and warm."""
    return tuple(ConverterObservation(name, True, commands.FULL_WARMTH) for name in names)


def example_log() -> list[Command]:
    """Return a log with every type of command, after which the ledger has a lease in every open state."""
    return [*closed_lease_commands(), *transfer_commands(), *open_lease_commands(), *loss_commands()]


def closed_lease_commands() -> list[Command]:
    """Return the commands of a lease from the request to the closing of the lease, and of two further requests."""
    return [
        commands.SubmitRequest(request("early", ("n00",))),
        commands.GrantLease("too-early", "early", "agent-1", ("n00",)),  # rejected: no converter has been observed yet
        observation_command(1, 2, *ready_observations(*NORTH_CONVERTERS, "p0", "p1")),
        commands.AdvanceTime(1_500),
        commands.GrantLease("l1", "early", "agent-1", ("n00",)),
        commands.TakeOverLease("l1", "agent-2", 1),
        commands.StartDrain("l1", 1),
        commands.StartDrain("l1", 2),
        commands.ReleaseLease("l1", 2),
        observation_command(2, 9, *ready_observations("n00")),
        commands.SubmitRequest(request("zone", (), zone="z0", max_unavailable=3, priority=Priority.URGENT)),
        commands.SubmitRequest(request("pair", ("n10", "n11"), max_unavailable=2, priority=Priority.CONVENIENT)),
    ]


def transfer_commands() -> list[Command]:
    """Return commands for reordered, repeated, acknowledged, pending and rejected transfers."""
    acknowledged_transfer = Transfer("north", "south", 1, "convert", 250)
    return [
        commands.CreditTransfer(Transfer("south", "north", 1, "convert", 500)),
        commands.CreditTransfer(Transfer("south", "north", 3, "convert", 500)),
        commands.CreditTransfer(Transfer("south", "north", 3, "convert", 500)),
        commands.DebitTransfer(acknowledged_transfer),
        commands.AcknowledgeTransfer(acknowledged_transfer),
        commands.DebitTransfer(Transfer("north", "south", 2, "convert", 250)),
        commands.DebitTransfer(Transfer("north", "south", 3, "convert", 9_000)),
    ]


def open_lease_commands() -> list[Command]:
    """Return commands for leases in every open state, and for requests that are cancelled or miss their deadline."""
    return [
        commands.GrantLease("l2", "zone", "agent-1", ("n00",)),
        commands.StartDrain("l2", 3),
        commands.GrantLease("l3", "zone", "agent-1", ("n01",)),
        commands.StartDrain("l3", 4),
        commands.ReleaseLease("l3", 4),
        commands.GrantLease("l4", "pair", "agent-1", ("n10",)),
        commands.RevokeLease("l4"),
        commands.GrantLease("l5", "pair", "agent-1", ("n11",)),
        commands.RecordCapacityNeeds("south", 7, {"convert": CapacityNeed(0, 1_000), "print": CapacityNeed()}),
        commands.RecordCapacityNeeds("south", 6, {}),
        commands.SubmitRequest(request("missed", ("p0",), service="print", duration_ms=100, deadline_ms=3_000)),
        commands.CancelRequest("early"),
        commands.CancelRequest("nobody"),
        commands.CancelRequest("pair"),
        commands.AdvanceTime(4_000),
    ]


def loss_commands() -> list[Command]:
    """Return observations that close leases, an observed loss that revokes a lease, and a new lease at the end."""
    return [
        observation_command(3, 34, *ready_observations("n10", "n11")),
        commands.GrantLease("l6", "zone", "agent-1", ("n02",)),
        observation_command(4, 36, ConverterObservation("n12", False, 0), ConverterObservation("n11", True, 400)),
        observation_command(4, 37, *ready_observations("n12")),
        observation_command(5, 38, *ready_observations("n12", "n11")),
        commands.SubmitRequest(request("open", ("n11",), earliest_ms=5_000)),
        commands.GrantLease("l7", "open", "agent-1", ("n11",)),
    ]


def results_of_log() -> list[results.Result]:
    """Return the result of each command of the example log."""
    ledger = Ledger(AGREEMENT, REGION)
    return [ledger.apply(index, command) for index, command in enumerate(example_log(), 1)]


def snapshot() -> bytes:
    """Return the snapshot of the ledger after the example log."""
    ledger = Ledger(AGREEMENT, REGION)
    for index, command in enumerate(example_log(), 1):
        ledger.apply(index, command)
    return ledger.snapshot()


def state_file() -> bytes:
    """Return a replica's state file: an entry that a later leader replaced, followed by the example log."""
    entries = tuple(Entry(3, commands.encode(command)) for command in example_log())
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        storage.create(folder, IDENTITY)
        file = storage.FileStorage(folder, IDENTITY)
        file.save(Ready(HardState(1, "north-1"), 1, (Entry(1, b""), Entry(1, b"replaced")), (), ()))
        file.save(Ready(HardState(2, "", 2), 0, (), (), ()))
        file.save(Ready(HardState(3, "north-0"), 2, entries, (), ()))
        file.close()
        return file.path.read_bytes()


def replica_frames() -> list[api.Frame]:
    """Return frames that the coordinators of a region exchange."""
    return [
        api.PeerHello(api.VERSION, "north", "north-0", AGREEMENT.digest),
        messages.RequestVote(3, 9, 2),
        messages.VoteResponse(3, True),
        messages.AppendEntries(3, 9, 2, (Entry(3, b""), Entry(3, commands.encode(example_log()[3]))), 9),
        messages.AppendEntries(3, 11, 3, (), 11),
        messages.AppendResponse(3, False, 4),
        messages.RecoveryRequest(2**62 + 1),
        messages.RecoveryResponse(2**62 + 1, 3),
    ]


def call_frames() -> list[api.Frame]:
    """Return frames from operators, agents and other regions, and the replies to them."""
    hellos: list[api.Frame] = [api.ClientHello(api.VERSION, "north", "someone", kind) for kind in api.ClientKind]
    calls: list[api.Frame] = [
        api.CommandCall(1, commands.encode(example_log()[0])),
        api.LeaseCall(2, "l1"),
        api.StatusCall(3),
    ]
    command_replies: list[api.Frame] = [
        api.CommandReply(number, result) for number, result in enumerate(results_of_log(), 1)
    ]
    other_replies: list[api.Frame] = [
        api.CommandReply(98, results.AlreadyApplied(4)),
        api.NoWindowReply(99),
        status(),
        api.NotLeaderReply(100, "north-1"),
        api.NotLeaderReply(101, ""),
        api.UncertainReply(102),
        api.Rejection("version 2; this side speaks 1"),
    ]
    return [*hellos, *calls, *command_replies, *other_replies]


def status() -> api.StatusReply:
    """Return the status that `ryepier maintenance list --json` prints."""
    return api.StatusReply(
        number=7,
        region="north",
        leader="north-2",
        term=3,
        applied=41,
        now_ms=4_000,
        requests=(
            api.RequestStatus("zone", "convert", ("n00", "n01"), 100_000, 4_500, ""),
            api.RequestStatus("open", "convert", ("n02",), 100_000, -1, "waits until 9 ms"),
        ),
        leases=(api.LeaseStatus("l2", "zone", "agent-1", 3, LeaseState.DRAINING, ("n00", "n01"), ("n00",)),),
        capacities=(api.CapacityStatus("convert", 4_000, 1_000, 1_000, 2_500),),
    )


def fleet_messages() -> list[fleet.FleetCall | fleet.FleetReply]:
    """Return messages between an agent and the fleet tooling that carries out its steps."""
    calls: list[fleet.FleetCall | fleet.FleetReply] = [
        fleet.FleetCall(action, "n00", 3, "n00.1" if action is fleet.Action.LIST else "") for action in fleet.Action
    ]
    return [*calls, fleet.FleetReply(), fleet.FleetReply("token 3 is old", 4, "n00.1")]


def fixture_bytes() -> dict[str, bytes]:
    """Return the bytes of all fixtures by name."""
    bytes_by_name = {f"log/{index}": commands.encode(command) for index, command in enumerate(example_log(), 1)}
    bytes_by_name["snapshot"] = snapshot()
    bytes_by_name["state-file"] = state_file()
    for number, frame in enumerate([*replica_frames(), *call_frames()]):
        bytes_by_name[f"frame/{number}"] = transport.encode(frame)
    for number, message in enumerate(fleet_messages()):
        bytes_by_name[f"fleet/{number}"] = msgspec.msgpack.encode(message)
    bytes_by_name["status-json"] = msgspec.json.encode(status())
    return bytes_by_name


if __name__ == "__main__":
    for name, data in fixture_bytes().items():
        print(name, data.hex())
