"""File formats compared with fixtures: world files, records, and the model checker's checkpoints and recorded paths."""

from __future__ import annotations

import hashlib
import subprocess
import sys
from pathlib import Path

import msgspec
from click.testing import CliRunner

import ryepier.worlds
from ryepier.check import explore
from ryepier.check.model import Model
from ryepier.cli import main
from ryepier.emulator.records import (
    AttemptOutcome,
    ClientAttempt,
    ConnectionRecord,
    ConverterAttempt,
    EndpointNotice,
    History,
    Incarnation,
    Lateness,
    RecordedEvent,
    RequestOutcome,
    RoleRecords,
)
from ryepier.emulator.world import World
from ryepier.experiments.core.worlds import load

FIXTURES = Path(__file__).parent / "fixtures"

RECORDS = RoleRecords(
    role="clients 0",
    client_attempts=[
        ClientAttempt(
            arrival=1,
            number=0,
            request_id="0001-000001-0",
            key="k",
            request_class=2,
            tenant=1,
            sidecar=3,
            work_us=1000,
            planned_us=5,
            sent_us=6,
            deadline_us=7,
            ended_us=8,
            outcome=RequestOutcome.SERVED,
            status=200,
            retry_after_us=9,
            response_request_id="0001-000001-0",
            responder_uid="c-0001",
            trailing_bytes=10,
            may_be_unread=True,
        )
    ],
    converter_attempts=[
        ConverterAttempt(
            request_id="0001-000001-0",
            key="k",
            uid="c-0001",
            pod=1,
            first_byte_us=2,
            received_us=3,
            ended_us=4,
            outcome=AttemptOutcome.ANSWERED,
            status=200,
            not_run=False,
            started_us=5,
            finished_us=6,
            work_us=7,
        )
    ],
    connections=[ConnectionRecord(uid="c-0001", opened_us=1, closed_us=2)],
    notices=[EndpointNotice(sidecar=1, uid="c-0001", state="leaving", at_us=3)],
    events=[RecordedEvent(at_us=4, text="sidecar 1: kill")],
    overload_crashes=[(5, "c-0002")],
    lateness=Lateness(
        role="clients 0",
        measurement_count=1,
        median_us=2,
        p999_us=3,
        max_us=4,
        max_by_second_us=[5, 6],
        stalls=[(7, 8)],
    ),
)
INCARNATION = Incarnation(
    sidecar=1,
    started_us=2,
    ready_us=3,
    ended_us=4,
    killed=True,
    crashed=False,
    samples=[(5, 6, 7)],
    suspensions=[(8, 9)],
    cpu_waits=[(10, 11)],
)
MODEL = Model(
    "m",
    1,
    ("once",),
    failure_domains=(1,),
    max_attempts=1,
    client_disconnects=1,
    outcomes=("reset",),
    connects_first=True,
)


def fixture_bytes(name: str) -> bytes:
    return bytes.fromhex((FIXTURES / name).read_text())


def test_shipped_worlds_match_their_recorded_hashes() -> None:
    names = sorted(path.stem for path in Path(ryepier.worlds.__file__).parent.glob("*.toml"))
    lines = [
        f"{name} {hashlib.blake2b(msgspec.json.encode(load(name)), digest_size=16).hexdigest()}\n" for name in names
    ]
    assert "".join(lines) == (FIXTURES / "emulator_worlds.txt").read_text()


def test_world_json_matches_the_fixture() -> None:
    data = (FIXTURES / "emulator_world.json").read_bytes()
    world = msgspec.json.decode(data, type=World)
    assert world == load("slices-drain")
    assert msgspec.json.format(msgspec.json.encode(world), indent=1) + b"\n" == data


def test_records_file_matches_the_fixture() -> None:
    data = fixture_bytes("emulator_records.hex")
    assert msgspec.msgpack.decode(data, type=RoleRecords) == RECORDS
    assert msgspec.msgpack.encode(RECORDS) == data


def test_history_file_matches_the_fixture() -> None:
    data = fixture_bytes("emulator_history.hex")
    history = msgspec.msgpack.decode(data, type=History)
    assert history.incarnations == [INCARNATION] and history.client_attempts == RECORDS.client_attempts
    assert msgspec.msgpack.encode(history) == data


def test_list_of_models_and_seeded_faults_matches_the_fixture() -> None:
    result = CliRunner().invoke(main, ["check", "list"])
    assert result.exit_code == 0 and result.stdout == (FIXTURES / "sim_check_list.txt").read_text()


def test_recorded_checkpoint_can_be_loaded_and_saved(tmp_path: Path) -> None:
    path = tmp_path / "kept"
    path.write_bytes(fixture_bytes("sim_check_checkpoint.hex"))
    digests, frontier, outcome = explore.load(path, MODEL)
    assert len(digests) == outcome.states and outcome.depth == 1 and len(frontier) == 1
    explore.save(tmp_path / "again", MODEL, digests, frontier, outcome)
    assert msgspec.msgpack.decode((tmp_path / "again").read_bytes()).keys() == {
        "model",
        "seen",
        "frontier",
        "transitions",
        "ends",
        "depth",
        "seconds",
    }
    assert explore.load(tmp_path / "again", MODEL) == (digests, frontier, outcome)


def run_check(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run `ryepier check` in its own process, as a seeded fault remains in the process in which it is installed."""
    command = [sys.executable, "-m", "ryepier", "check", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_recorded_path_is_replayed_and_found_again_byte_for_byte(tmp_path: Path) -> None:
    recorded_path = FIXTURES / "sim_check_path.json"
    trace_result = run_check("trace", str(recorded_path))
    assert (
        trace_result.returncode == 0 and "BREAKS resend: attempt 1 after 0, which may have run" in trace_result.stdout
    )
    out = tmp_path / "path.json"
    arguments = "one-once --requests once --converters 1 --plant careless-resend --processes 1 --out"
    search_result = run_check("run", *arguments.split(), str(out))
    assert search_result.returncode == 1 and "BREAKS resend" in search_result.stdout
    assert out.read_bytes() == recorded_path.read_bytes()
