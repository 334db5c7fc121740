"""Coordinators as processes: killed, stopped, restarted with torn, empty and foreign disks; and what they reject."""

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
from tests.maintenance_processes import REPLICAS, TIMEOUT_S, Coordinators
from tests.maintenance_world import request


@pytest.fixture
def north(tmp_path: Path) -> Iterator[Coordinators]:
    coordinators = Coordinators(tmp_path)
    try:
        yield coordinators
    finally:
        coordinators.close()


def run(north: Coordinators, test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(2 * TIMEOUT_S):
            await north.listing.start()
            north.start_all("--bootstrap")
            try:
                await test()
            finally:
                for client in north.clients:
                    client.close()

    asyncio.run(limited())


def make_request(name: str = "r1", *converters: str) -> Request:
    return request(name, converters=converters or ("n00",), duration_ms=1_000, deadline_ms=10_000_000)


def out(status: StatusReply) -> list[str]:
    return sorted(name for lease in status.leases for name in lease.unavailable)


def test_a_lease_outlives_all_coordinators_and_is_closed_only_by_an_observation(north: Coordinators) -> None:
    async def test() -> None:
        assert await north.submit(make_request()) == Accepted("r1")
        granted = await north.grant("l1")
        north.kill(await north.leader())
        assert out(await north.status()) == ["n00"]
        assert await north.command(StartDrain("l1", granted.token)) == DrainStarted("l1")
        north.kill(*(name for name in REPLICAS if north.processes[name].poll() is None))
        north.start_all()
        status = await north.status()
        assert [(lease.name, lease.token, lease.state) for lease in status.leases] == [
            ("l1", granted.token, "draining")
        ]
        assert await north.grant("l1") == granted, "the same lease under the same name"
        assert await north.command(ReleaseLease("l1", granted.token)) == Released("l1", ("n00",))
        north.listing.uids["n00"] = "n00.1"  # its next life, which has to get warm
        last = await north.until(lambda status: not status.leases)
        assert not last.requests

    run(north, test)


def test_a_stopped_leader_that_resumes_grants_nothing(north: Coordinators) -> None:
    async def test() -> None:
        await north.submit(make_request())
        await north.until(lambda status: bool(status.requests) and status.requests[0].starts_ms >= 0)
        old = await north.leader()
        others = tuple(name for name in REPLICAS if name != old)
        north.signal(old, signal.SIGSTOP)
        waiting = asyncio.create_task(north.client(old).acquire_lease("stale", 1.5))  # written to it while it stands
        granted = None
        client = north.client(*others)
        async with asyncio.timeout(TIMEOUT_S):
            while not isinstance(granted, Granted):
                granted = await client.acquire_lease("l1", TIMEOUT_S)
                await asyncio.sleep(0.1)
        with pytest.raises(CallError):
            await waiting
        late = asyncio.create_task(north.client(old).acquire_lease("late", 5.0))
        await asyncio.sleep(0.3)
        north.signal(old, signal.SIGCONT)
        with pytest.raises(CallError):  # it answers that it does not lead until the call times out
            await late
        assert [lease.name for lease in (await north.status()).leases] == ["l1"]

    run(north, test)


def test_a_torn_write_is_truncated_and_a_shortened_file_is_rejected(north: Coordinators) -> None:
    async def test() -> None:
        await north.submit(make_request())
        leader = await north.leader()
        one, two = (name for name in REPLICAS if name != leader)
        north.kill(one)
        complete = north.file(one).read_bytes()
        north.file(one).write_bytes(complete + b"\0\0\1")
        north.start(one)
        await north.until(lambda status: status.leader != "")
        north.kill(two)  # from here on nothing is committed without the one whose file was torn
        assert await north.submit(make_request("r2", "n01")) == Accepted("r2")
        assert "truncated 3 bytes of an unfinished write" in north.log(one).read_text()
        complete = north.file(two).read_bytes()
        acknowledged, _ = storage.ACKNOWLEDGED_OFFSET.unpack_from(complete, len(storage.FILE_SIGNATURE))
        north.file(two).write_bytes(complete[: acknowledged - 5])  # a write that was not acknowledged may be behind it
        process = north.start(two)
        assert process.wait(TIMEOUT_S) == 2
        assert "bytes were acknowledged" in north.log(two).read_text().splitlines()[-1]

    run(north, test)


def test_a_replica_that_comes_back_empty_does_not_vote_until_it_has_caught_up(north: Coordinators) -> None:
    async def test() -> None:
        await north.submit(make_request())
        leader = await north.leader()
        one, two = (name for name in REPLICAS if name != leader)
        north.kill(leader, one, two)
        shutil.rmtree(north.folder / one)
        north.start(one)
        north.start(two)
        with pytest.raises(CallError):
            await north.client(one, two).status(3.0)  # two of three, but one of them knows nothing
        north.start(leader)
        status = await north.status()
        assert [wanted.name for wanted in status.requests] == ["r1"]
        await _wait_until_voter(north, one)
        north.kill(leader)
        assert [wanted.name for wanted in (await north.status()).requests] == ["r1"], "it votes again"

    run(north, test)


async def _wait_until_voter(north: Coordinators, replica: str) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while "follower in term" not in north.log(replica).read_text().partition("learner in term")[2]:
            await asyncio.sleep(0.1)


def test_bootstrapping_over_a_log_and_another_replicas_log_are_rejected(north: Coordinators) -> None:
    async def test() -> None:
        await north.submit(make_request())
        north.kill("north-0", "north-1")
        assert north.start("north-0", "--bootstrap").wait(TIMEOUT_S) == 2
        assert "already exists" in north.log("north-0").read_text().splitlines()[-1]
        shutil.copy(north.file("north-1"), north.file("north-0"))
        assert north.start("north-0").wait(TIMEOUT_S) == 2
        assert "belongs to replica north-1 of region north" in north.log("north-0").read_text().splitlines()[-1]

    run(north, test)


def test_what_a_coordinator_rejects(north: Coordinators) -> None:
    async def refusal(*frames: Frame, raw: bytes = b"") -> str:
        """Return the leader's reason for closing the connection."""
        connection = Connection(*await asyncio.open_connection(*north.addresses[await north.leader()]))
        try:
            connection.writer.write(b"".join(encode(frame) for frame in frames) + raw)
            said = await asyncio.wait_for(connection.receive(), TIMEOUT_S)
            assert isinstance(said, Rejection)
            return said.reason
        finally:
            connection.close()

    async def test() -> None:
        await north.submit(make_request())
        digest = north.agreement.digest
        leader = await north.leader()
        peer = next(name for name in REPLICAS if name != leader)
        greeting = PeerHello(VERSION, "north", peer, digest)
        before = await north.status()
        assert "belongs to 'north'" in await refusal(ClientHello(VERSION, "south", "x", ClientKind.AGENT))
        assert "belongs to 'north'" in await refusal(PeerHello(VERSION, "south", "south-0", digest))
        assert "not a peer" in await refusal(PeerHello(VERSION, "north", "south-0", digest))
        assert "different agreement" in await refusal(PeerHello(VERSION, "north", peer, "0" * 64))
        assert "version 2" in await refusal(ClientHello(2, "north", "x", ClientKind.AGENT))
        assert "before a hello" in await refusal(RequestVote(1, 0, 0))
        assert "RequestVote from a client" in await refusal(
            ClientHello(VERSION, "north", "x", ClientKind.AGENT), RequestVote(1, 0, 0)
        )
        assert "claims to lead term" in await refusal(greeting, AppendEntries(before.term, 0, 0, (), 0))
        assert f"{MAX_FRAME_BYTES} bytes" in await refusal(raw=(MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        assert "unreadable frame" in await refusal(raw=b"\0\0\0\1\xc1")
        assert "unreadable frame" in await refusal(greeting, raw=b"\0\0\0\7\x81\xa4type\1")
        after = await north.status()
        assert (after.leader, after.term, after.leases) == (before.leader, before.term, before.leases)

    run(north, test)


@pytest.mark.parametrize(
    ("kind", "command"),
    [
        (ClientKind.OPERATOR, GrantLease("l1", "r1", "x", ("n00",))),
        (ClientKind.AGENT, DebitTransfer(Transfer("north", "south", 1, "convert", 1000))),
        (ClientKind.REGION, SubmitRequest(make_request("r9", "n02"))),
    ],
)
def test_a_caller_gives_only_the_commands_of_its_kind(north: Coordinators, kind: ClientKind, command: Command) -> None:
    async def test() -> None:
        with pytest.raises(CallError, match="may not send"):
            await north.command(command, kind=kind)
        assert (await north.status()).requests == ()

    run(north, test)


def test_the_command_line_submits_lists_and_cancels(north: Coordinators) -> None:
    def ryepier(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-B", "-m", "ryepier", "maintenance", *arguments]
        return subprocess.run(
            [*command[:6], "--agreement", str(north.path), "--region", "north", *command[6:]],
            capture_output=True,
            text=True,
            check=False,
        )

    async def test() -> None:
        await north.status()
        usual = ("--service", "convert", "--duration-s", "1", "--deadline-in-s", "600")
        handed_in = await asyncio.to_thread(ryepier, "request", "r1", "--converter", "n00", *usual)
        assert (handed_in.returncode, handed_in.stdout) == (0, "accepted\n")
        unknown = await asyncio.to_thread(ryepier, "request", "r2", "--converter", "n77", *usual)
        assert unknown.returncode == 1 and "converter 'n77' is none of service 'convert'" in unknown.stderr
        negative = await asyncio.to_thread(ryepier, "request", "r3", "--zone", "z0", "--at-once", "-1", *usual)
        assert negative.returncode == 2 and "at_once" in negative.stderr
        listed = await asyncio.to_thread(ryepier, "list")
        assert "request r1: 1 to do" in listed.stdout and "allowance 2" in listed.stdout
        cancelled = await asyncio.to_thread(ryepier, "cancel", "r1")
        assert cancelled.stdout == "cancelled\n"
        assert json.loads((await asyncio.to_thread(ryepier, "list", "--json")).stdout)["requests"] == []

    run(north, test)


def test_a_frame_that_is_too_long_is_not_sent() -> None:
    with pytest.raises(TransportError, match="exceeds the limit"):
        encode(Rejection("x" * (MAX_FRAME_BYTES + 1)))


def test_a_call_that_no_replica_answers_fails_within_its_timeout(north: Coordinators) -> None:
    async def test() -> None:
        started = time.monotonic()
        with pytest.raises(CallError, match=r"no reply from region north within 0\.5 s"):
            await north.client().status(0.5)
        assert time.monotonic() - started < TIMEOUT_S

    asyncio.run(test())


def test_a_rejection_has_its_reason(north: Coordinators) -> None:
    async def test() -> None:
        rejected = await north.submit(make_request("r1", "n00", "n00"))
        assert isinstance(rejected, Rejected) and "named twice" in rejected.reason

    run(north, test)
