"""Tests of coordinator processes that are killed, suspended, or restarted with damaged or wrong log files.

The log files are torn, shortened, missing or from another replica. Other tests cover the frames and commands
that a coordinator rejects, and the command line.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest

from ryepier.maintenance.api import VERSION, ClientHello, ClientKind, Frame, PeerHello, Rejection, StatusReply
from ryepier.maintenance.client import CallError
from ryepier.maintenance.commands import (
    Command,
    DebitTransfer,
    GrantLease,
    ReleaseLease,
    Request,
    StartDrain,
    SubmitRequest,
    Transfer,
)
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.messages import AppendEntries, RequestVote
from ryepier.maintenance.results import Accepted, DrainStarted, Granted, Rejected, Released
from ryepier.maintenance.transport import MAX_FRAME_BYTES, Connection, TransportError, encode
from tests.maintenance_processes import HANG_TIMEOUT_S, REPLICAS, Coordinators
from tests.maintenance_world import request


@pytest.fixture
def north(tmp_path: Path) -> Iterator[Coordinators]:
    coordinators = Coordinators(tmp_path)
    try:
        yield coordinators
    finally:
        coordinators.close()


def run_scenario(north: Coordinators, scenario: Callable[[], Awaitable[None]]) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(2 * HANG_TIMEOUT_S):
            await north.discovery.start()
            north.start_all("--bootstrap")
            try:
                await scenario()
            finally:
                for client in north.clients:
                    client.close()

    asyncio.run(run_with_timeout())


def make_request(name: str = "r1", *converters: str) -> Request:
    return request(name, converters=converters or ("n00",), duration_ms=1_000, deadline_ms=10_000_000)


def unavailable_converters(status: StatusReply) -> list[str]:
    return sorted(name for lease in status.leases for name in lease.unavailable)


def test_lease_survives_restarts_and_is_closed_by_an_observation(north: Coordinators) -> None:
    async def scenario() -> None:
        assert await north.submit(make_request()) == Accepted("r1")
        granted_lease = await north.grant("l1")
        north.kill(await north.leader())
        assert unavailable_converters(await north.status()) == ["n00"]
        assert await north.command(StartDrain("l1", granted_lease.token)) == DrainStarted("l1")
        north.kill(*(name for name in REPLICAS if north.processes[name].poll() is None))
        north.start_all()
        status = await north.status()
        assert [(lease.name, lease.token, lease.state) for lease in status.leases] == [
            ("l1", granted_lease.token, "draining")
        ]
        assert await north.grant("l1") == granted_lease, "repeating a lease name returns the same lease"
        assert await north.command(ReleaseLease("l1", granted_lease.token)) == Released("l1", ("n00",))
        north.discovery.uids["n00"] = "n00.1"  # a new incarnation, which must warm up
        final_status = await north.wait_for_status(lambda status: not status.leases)
        assert not final_status.requests

    run_scenario(north, scenario)


def test_suspended_leader_grants_nothing_after_it_resumes(north: Coordinators) -> None:
    async def scenario() -> None:
        await north.submit(make_request())
        await north.wait_for_status(lambda status: bool(status.requests) and status.requests[0].starts_ms >= 0)
        old_leader = await north.leader()
        other_replicas = tuple(name for name in REPLICAS if name != old_leader)
        north.send_signal(old_leader, signal.SIGSTOP)
        # the call is sent to the suspended process
        stale_call = asyncio.create_task(north.client(old_leader).acquire_lease("stale", 1.5))
        lease_result = None
        client = north.client(*other_replicas)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not isinstance(lease_result, Granted):
                lease_result = await client.acquire_lease("l1", HANG_TIMEOUT_S)
                await asyncio.sleep(0.1)
        with pytest.raises(CallError):
            await stale_call
        late_call = asyncio.create_task(north.client(old_leader).acquire_lease("late", 5.0))
        await asyncio.sleep(0.3)
        north.send_signal(old_leader, signal.SIGCONT)
        with pytest.raises(CallError):  # the client retries at the deposed leader until the call times out
            await late_call
        assert [lease.name for lease in (await north.status()).leases] == ["l1"]

    run_scenario(north, scenario)


def test_torn_write_is_truncated_and_shortened_file_is_rejected(north: Coordinators) -> None:
    async def scenario() -> None:
        await north.submit(make_request())
        leader = await north.leader()
        torn_replica, shortened_replica = (name for name in REPLICAS if name != leader)
        north.kill(torn_replica)
        file_content = north.storage_path(torn_replica).read_bytes()
        north.storage_path(torn_replica).write_bytes(file_content + b"\0\0\1")
        north.start(torn_replica)
        await north.wait_for_status(lambda status: status.leader != "")
        north.kill(shortened_replica)  # from here on, a commit needs the replica with the torn file
        assert await north.submit(make_request("r2", "n01")) == Accepted("r2")
        assert "truncated 3 bytes of an unfinished write" in north.log_path(torn_replica).read_text()
        file_content = north.storage_path(shortened_replica).read_bytes()
        acknowledged_offset, _ = storage.ACKNOWLEDGED_OFFSET_FORMAT.unpack_from(
            file_content, len(storage.FILE_SIGNATURE)
        )
        # an unacknowledged write may follow the acknowledged offset, so the file is cut before that offset
        north.storage_path(shortened_replica).write_bytes(file_content[: acknowledged_offset - 5])
        process = north.start(shortened_replica)
        assert process.wait(HANG_TIMEOUT_S) == 2
        assert "bytes were acknowledged" in north.log_path(shortened_replica).read_text().splitlines()[-1]

    run_scenario(north, scenario)


def test_replica_with_an_empty_disk_votes_only_after_catching_up(north: Coordinators) -> None:
    async def scenario() -> None:
        await north.submit(make_request())
        leader = await north.leader()
        wiped_replica, other_follower = (name for name in REPLICAS if name != leader)
        north.kill(leader, wiped_replica, other_follower)
        shutil.rmtree(north.folder / wiped_replica)
        north.start(wiped_replica)
        north.start(other_follower)
        with pytest.raises(CallError):
            # two of three replicas are a majority, but the wiped replica may not vote yet
            await north.client(wiped_replica, other_follower).status(3.0)
        north.start(leader)
        status = await north.status()
        assert [open_request.name for open_request in status.requests] == ["r1"]
        await _wait_until_voter(north, wiped_replica)
        north.kill(leader)
        assert [open_request.name for open_request in (await north.status()).requests] == ["r1"], (
            "the recovered replica must vote again"
        )

    run_scenario(north, scenario)


async def _wait_until_voter(north: Coordinators, replica: str) -> None:
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while "follower in term" not in north.log_path(replica).read_text().partition("learner in term")[2]:
            await asyncio.sleep(0.1)


def test_bootstrap_over_an_existing_log_and_log_of_another_replica_are_rejected(north: Coordinators) -> None:
    async def scenario() -> None:
        await north.submit(make_request())
        north.kill("north-0", "north-1")
        assert north.start("north-0", "--bootstrap").wait(HANG_TIMEOUT_S) == 2
        assert "already exists" in north.log_path("north-0").read_text().splitlines()[-1]
        shutil.copy(north.storage_path("north-1"), north.storage_path("north-0"))
        assert north.start("north-0").wait(HANG_TIMEOUT_S) == 2
        assert "belongs to replica north-1 of region north" in north.log_path("north-0").read_text().splitlines()[-1]

    run_scenario(north, scenario)


def test_invalid_hellos_and_frames_are_rejected(north: Coordinators) -> None:
    async def rejection_reason(*frames: Frame, raw: bytes = b"") -> str:
        """Send frames and raw bytes to the leader, and return the reason with which it rejects them."""
        connection = Connection(*await asyncio.open_connection(*north.addresses[await north.leader()]))
        try:
            connection.writer.write(b"".join(encode(frame) for frame in frames) + raw)
            frame = await asyncio.wait_for(connection.receive(), HANG_TIMEOUT_S)
            assert isinstance(frame, Rejection)
            return frame.reason
        finally:
            connection.close()

    async def scenario() -> None:
        await north.submit(make_request())
        digest = north.agreement.digest
        leader = await north.leader()
        peer = next(name for name in REPLICAS if name != leader)
        peer_hello = PeerHello(VERSION, "north", peer, digest)
        status_before = await north.status()
        assert "belongs to 'north'" in await rejection_reason(ClientHello(VERSION, "south", "x", ClientKind.AGENT))
        assert "belongs to 'north'" in await rejection_reason(PeerHello(VERSION, "south", "south-0", digest))
        assert "not a peer" in await rejection_reason(PeerHello(VERSION, "north", "south-0", digest))
        assert "different agreement" in await rejection_reason(PeerHello(VERSION, "north", peer, "0" * 64))
        assert "version 2" in await rejection_reason(ClientHello(2, "north", "x", ClientKind.AGENT))
        assert "before a hello" in await rejection_reason(RequestVote(1, 0, 0))
        assert "RequestVote from a client" in await rejection_reason(
            ClientHello(VERSION, "north", "x", ClientKind.AGENT), RequestVote(1, 0, 0)
        )
        assert "claims to lead term" in await rejection_reason(
            peer_hello, AppendEntries(status_before.term, 0, 0, (), 0)
        )
        assert f"{MAX_FRAME_BYTES} bytes" in await rejection_reason(raw=(MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        assert "unreadable frame" in await rejection_reason(raw=b"\0\0\0\1\xc1")
        assert "unreadable frame" in await rejection_reason(peer_hello, raw=b"\0\0\0\7\x81\xa4type\1")
        status_after = await north.status()
        assert (status_after.leader, status_after.term, status_after.leases) == (
            status_before.leader,
            status_before.term,
            status_before.leases,
        )

    run_scenario(north, scenario)


@pytest.mark.parametrize(
    ("kind", "command"),
    [
        (ClientKind.OPERATOR, GrantLease("l1", "r1", "x", ("n00",))),
        (ClientKind.AGENT, DebitTransfer(Transfer("north", "south", 1, "convert", 1000))),
        (ClientKind.REGION, SubmitRequest(make_request("r9", "n02"))),
    ],
)
def test_client_may_send_only_the_commands_of_its_kind(north: Coordinators, kind: ClientKind, command: Command) -> None:
    async def scenario() -> None:
        with pytest.raises(CallError, match="may not send"):
            await north.command(command, kind=kind)
        assert (await north.status()).requests == ()

    run_scenario(north, scenario)


def test_command_line_submits_lists_and_cancels_requests(north: Coordinators) -> None:
    def run_ryepier(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-B", "-m", "ryepier", "maintenance", *arguments]
        return subprocess.run(
            [*command[:6], "--agreement", str(north.agreement_path), "--region", "north", *command[6:]],
            capture_output=True,
            text=True,
            check=False,
        )

    async def scenario() -> None:
        await north.status()
        common_options = ("--service", "convert", "--duration-s", "1", "--deadline-in-s", "600")
        submit_result = await asyncio.to_thread(run_ryepier, "request", "r1", "--converter", "n00", *common_options)
        assert (submit_result.returncode, submit_result.stdout) == (0, "accepted\n")
        unknown_converter_result = await asyncio.to_thread(
            run_ryepier, "request", "r2", "--converter", "n77", *common_options
        )
        assert (
            unknown_converter_result.returncode == 1
            and "converter 'n77' does not belong to service 'convert'" in unknown_converter_result.stderr
        )
        negative_at_once_result = await asyncio.to_thread(
            run_ryepier, "request", "r3", "--zone", "z0", "--at-once", "-1", *common_options
        )
        assert negative_at_once_result.returncode == 2 and "at_once" in negative_at_once_result.stderr
        list_result = await asyncio.to_thread(run_ryepier, "list")
        assert "request r1: 1 to do" in list_result.stdout and "allowance 2" in list_result.stdout
        cancel_result = await asyncio.to_thread(run_ryepier, "cancel", "r1")
        assert cancel_result.stdout == "cancelled\n"
        assert json.loads((await asyncio.to_thread(run_ryepier, "list", "--json")).stdout)["requests"] == []

    run_scenario(north, scenario)


def test_oversized_frame_is_not_sent() -> None:
    with pytest.raises(TransportError, match="exceeds the limit"):
        encode(Rejection("x" * (MAX_FRAME_BYTES + 1)))


def test_unanswered_call_fails_within_its_timeout(north: Coordinators) -> None:
    async def scenario() -> None:
        started_at_s = time.monotonic()
        with pytest.raises(CallError, match=r"no reply from region north within 0\.5 s"):
            await north.client().status(0.5)
        assert time.monotonic() - started_at_s < HANG_TIMEOUT_S

    asyncio.run(scenario())


def test_rejected_request_has_a_reason(north: Coordinators) -> None:
    async def scenario() -> None:
        result = await north.submit(make_request("r1", "n00", "n00"))
        assert isinstance(result, Rejected) and "named twice" in result.reason

    run_scenario(north, scenario)
