"""Coordinators as processes: killed, stopped, restarted with torn, empty and foreign disks; and what is refused."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from ryepier.maintenance import agreement_file
from ryepier.maintenance.api import VERSION, ClientHello, ClientKind, Frame, PeerHello, Rejection, StatusReply
from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import (
    AdvanceTime,
    Command,
    ConverterObservation,
    DebitTransfer,
    GrantLease,
    ReleaseLease,
    Request,
    StartDrain,
    SubmitRequest,
    Transfer,
)
from ryepier.maintenance.observer import ListedConverter, WarmthTracker
from ryepier.maintenance.planner import Planner
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.messages import AppendEntries, RequestVote
from ryepier.maintenance.results import Accepted, DrainStarted, Granted, Rejected, Released, Result
from ryepier.maintenance.settings import addresses_of
from ryepier.maintenance.transport import MAX_FRAME_BYTES, Connection, TransportError, encode
from tests.maintenance_world import SERVICE, converters_text, request
from tests.maintenance_world import north as north_ledger
from tests.network_peers import free_port

TIMEOUT_S = 30.0  # no test waits for it on purpose: it ends one that hangs
REPLICAS = ("north-0", "north-1", "north-2")


def agreement_text(ports: list[int]) -> str:
    lines = []
    for number, region in enumerate(("north", "south")):
        lines.append(f'[[regions]]\nname = "{region}"')
        for i in range(3):
            port = ports[3 * number + i]
            lines.append(f'[[regions.replicas]]\nname = "{region}-{i}"\naddress = "127.0.0.1:{port}"')
    return SERVICE + "\n".join(lines) + "\n" + converters_text()


@dataclass
class Listing:
    """A stand-in for discovery: lists the converters of the region as this test says."""

    port: int
    uids: dict[str, str] = field(default_factory=dict)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", self.port)

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            targets = [{"uid": uid, "state": "active"} for uid in self.uids.values()]
            body = json.dumps({"rev": 1, "all": True, "targets": targets}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


class Coordinators:
    """The processes of region north; those of south are not there."""

    def __init__(self, folder: Path) -> None:
        ports = [free_port() for _ in range(7)]
        self.folder = folder
        self.path = folder / "agreement.toml"
        self.path.write_text(agreement_text(ports))
        self.agreement = agreement_file.parse(self.path.read_bytes())
        self.addresses = addresses_of(self.agreement, "north")
        self.listing = Listing(ports[6], {name: name for name in ("n00", "n01", "n02", "n10", "n11", "n12")})
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.clients: list[RegionClient] = []

    def start(self, replica: str, *more: str) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-B", "-m", "ryepier", "maintenance", "serve", "--agreement", str(self.path)]
        command += ["--region", "north", "--replica", replica, "--folder", str(self.folder / replica)]
        command += ["--discovery", f"127.0.0.1:{self.listing.port}", *more]
        with self.log(replica).open("ab") as log:
            process = self.processes[replica] = subprocess.Popen(command, stdout=log, stderr=log)
        return process

    def start_all(self, *more: str) -> None:
        for replica in REPLICAS:
            self.start(replica, *more)

    def log(self, replica: str) -> Path:
        return self.folder / f"{replica}.log"

    def file(self, replica: str) -> Path:
        return self.folder / replica / storage.FILE_NAME

    def kill(self, *replicas: str) -> None:
        for replica in replicas:
            self.processes[replica].kill()
            self.processes[replica].wait()

    def signal(self, replica: str, number: signal.Signals) -> None:
        self.processes[replica].send_signal(number)

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def client(self, *replicas: str, kind: ClientKind = ClientKind.AGENT) -> RegionClient:
        addresses = {name: self.addresses[name] for name in replicas or REPLICAS}
        client = RegionClient("north", addresses, "agent-1", kind)
        self.clients.append(client)
        return client

    async def command(self, command: Command, kind: ClientKind = ClientKind.AGENT) -> Result:
        return await self.client(kind=kind).command(command, TIMEOUT_S)

    async def status(self) -> StatusReply:
        return await self.client().status(TIMEOUT_S)

    async def leader(self) -> str:
        return (await self.status()).leader

    async def submit(self, wanted: Request) -> Result:
        return await self.command(SubmitRequest(wanted), kind=ClientKind.OPERATOR)

    async def grant(self, lease: str) -> Granted:
        """Ask until a window is due."""
        client = self.client()
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                result = await client.acquire_lease(lease, TIMEOUT_S)
                if isinstance(result, Granted):
                    return result
                await asyncio.sleep(0.1)

    async def until(self, holds: Callable[[StatusReply], bool]) -> StatusReply:
        client = self.client()
        async with asyncio.timeout(TIMEOUT_S):
            while not holds(status := await client.status(TIMEOUT_S)):
                await asyncio.sleep(0.1)
        return status


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


def a_request(name: str = "r1", *converters: str) -> Request:
    return request(name, converters=converters or ("n00",), duration_ms=1_000, deadline_ms=10_000_000)


def out(status: StatusReply) -> list[str]:
    return sorted(name for lease in status.leases for name in lease.unavailable)


def test_a_lease_outlives_its_leader_and_the_death_of_all_and_ends_only_by_what_is_seen(north: Coordinators) -> None:
    async def test() -> None:
        assert await north.submit(a_request()) == Accepted("r1")
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


def test_a_stopped_leader_that_goes_on_grants_nothing(north: Coordinators) -> None:
    async def test() -> None:
        await north.submit(a_request())
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
        with pytest.raises(CallError):  # it says that it does not lead, for as long as it is asked
            await late
        assert [lease.name for lease in (await north.status()).leases] == ["l1"]

    run(north, test)


def test_a_torn_write_is_cut_and_a_shortened_file_is_refused(north: Coordinators) -> None:
    async def test() -> None:
        await north.submit(a_request())
        leader = await north.leader()
        one, two = (name for name in REPLICAS if name != leader)
        north.kill(one)
        whole = north.file(one).read_bytes()
        north.file(one).write_bytes(whole + b"\0\0\1")
        north.start(one)
        await north.until(lambda status: status.leader != "")
        north.kill(two)  # from here on nothing is committed without the one whose file was torn
        assert await north.submit(a_request("r2", "n01")) == Accepted("r2")
        assert "3 bytes of an unfinished write were cut off" in north.log(one).read_text()
        whole = north.file(two).read_bytes()
        acknowledged, _ = storage.ACKNOWLEDGED.unpack_from(whole, len(storage.FILE_TYPE))
        north.file(two).write_bytes(whole[: acknowledged - 5])  # a write that was not acknowledged may be behind it
        process = north.start(two)
        assert process.wait(TIMEOUT_S) == 2
        assert "bytes were acknowledged" in north.log(two).read_text().splitlines()[-1]

    run(north, test)


def test_a_replica_that_comes_back_empty_does_not_vote_until_it_has_caught_up(north: Coordinators) -> None:
    async def test() -> None:
        await north.submit(a_request())
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
        await _until_voter_again(north, one)
        north.kill(leader)
        assert [wanted.name for wanted in (await north.status()).requests] == ["r1"], "it votes again"

    run(north, test)


async def _until_voter_again(north: Coordinators, replica: str) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while "follower in term" not in north.log(replica).read_text().partition("learner in term")[2]:
            await asyncio.sleep(0.1)


def test_bootstrapping_over_a_log_and_another_replicas_log_are_refused(north: Coordinators) -> None:
    async def test() -> None:
        await north.submit(a_request())
        north.kill("north-0", "north-1")
        assert north.start("north-0", "--bootstrap").wait(TIMEOUT_S) == 2
        assert "exists already" in north.log("north-0").read_text().splitlines()[-1]
        shutil.copy(north.file("north-1"), north.file("north-0"))
        assert north.start("north-0").wait(TIMEOUT_S) == 2
        assert "belongs to replica north-1 of region north" in north.log("north-0").read_text().splitlines()[-1]

    run(north, test)


def test_what_a_coordinator_refuses(north: Coordinators) -> None:
    async def refusal(*frames: Frame, raw: bytes = b"") -> str:
        """What the leader says before it closes the connection."""
        connection = Connection(*await asyncio.open_connection(*north.addresses[await north.leader()]))
        try:
            connection.writer.write(b"".join(encode(frame) for frame in frames) + raw)
            said = await asyncio.wait_for(connection.receive(), TIMEOUT_S)
            assert isinstance(said, Rejection)
            return said.reason
        finally:
            connection.close()

    async def test() -> None:
        await north.submit(a_request())
        digest = north.agreement.digest
        leader = await north.leader()
        peer = next(name for name in REPLICAS if name != leader)
        greeting = PeerHello(VERSION, "north", peer, digest)
        before = await north.status()
        assert "this is 'north'" in await refusal(ClientHello(VERSION, "south", "x", ClientKind.AGENT))
        assert "this is 'north'" in await refusal(PeerHello(VERSION, "south", "south-0", digest))
        assert "not another replica" in await refusal(PeerHello(VERSION, "north", "south-0", digest))
        assert "another agreement" in await refusal(PeerHello(VERSION, "north", peer, "0" * 64))
        assert "version 2" in await refusal(ClientHello(2, "north", "x", ClientKind.AGENT))
        assert "before any greeting" in await refusal(RequestVote(1, 0, 0))
        assert "out of turn" in await refusal(
            ClientHello(VERSION, "north", "x", ClientKind.AGENT), RequestVote(1, 0, 0)
        )
        assert "claims to lead term" in await refusal(greeting, AppendEntries(before.term, 0, 0, (), 0))
        assert f"{MAX_FRAME_BYTES} are allowed" in await refusal(raw=(MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
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
        (ClientKind.REGION, SubmitRequest(a_request("r9", "n02"))),
    ],
)
def test_a_caller_gives_only_the_commands_of_its_kind(north: Coordinators, kind: ClientKind, command: Command) -> None:
    async def test() -> None:
        with pytest.raises(CallError, match="may not give"):
            await north.command(command, kind=kind)
        assert (await north.status()).requests == ()

    run(north, test)


def test_the_command_line_hands_in_lists_and_cancels(north: Coordinators) -> None:
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
    with pytest.raises(TransportError, match="are allowed"):
        encode(Rejection("x" * (MAX_FRAME_BYTES + 1)))


def test_nobody_answers_is_said_within_its_time(north: Coordinators) -> None:
    async def test() -> None:
        started = time.monotonic()
        with pytest.raises(CallError, match=r"no answer of region north within 0\.5 s"):
            await north.client().status(0.5)
        assert time.monotonic() - started < TIMEOUT_S

    asyncio.run(test())


def test_refusals_have_a_line(north: Coordinators) -> None:
    async def test() -> None:
        refused = await north.submit(a_request("r1", "n00", "n00"))
        assert isinstance(refused, Rejected) and "named twice" in refused.reason

    run(north, test)


# What an observer makes of listings


def looks_of(tracker: WarmthTracker, now_ms: int, *uids: str, region_ms: int = 0) -> dict[str, tuple[bool, int]]:
    probes = tracker.observe(now_ms, region_ms, [ListedConverter(uid, True) for uid in uids])
    return {one.observation.converter: (one.observation.ready, one.observation.warmth) for one in probes}


def test_a_converter_of_unknown_age_is_left_out_until_it_must_be_warm() -> None:
    tracker = WarmthTracker({"a": 2000})
    assert looks_of(tracker, 0, "a") == {}
    assert looks_of(tracker, 1999, "a") == {}
    assert looks_of(tracker, 2000, "a") == {"a": (True, 1000)}


def test_a_new_life_warms_up_by_the_observers_own_clock() -> None:
    tracker = WarmthTracker({"a": 2000})
    looks_of(tracker, 0, "a")
    assert looks_of(tracker, 5000) == {"a": (False, 0)}
    assert looks_of(tracker, 6000, "a.1") == {"a": (True, 0)}
    assert looks_of(tracker, 7000, "a.1") == {"a": (True, 500)}
    assert looks_of(tracker, 7500, "a.2") == {"a": (True, 0)}, "yet another life, with no look between"
    assert looks_of(tracker, 9500, "a.2") == {"a": (True, 1000)}


def test_a_late_listing_ends_no_lease_and_an_observer_that_came_late_ends_it_in_time() -> None:
    region = north_ledger()
    granted = region.hold("r1", "n00")
    region.apply(AdvanceTime(5_000))
    planning = Planner(region.ledger)
    tracker = WarmthTracker({"n00": 2000})
    region.apply(StartDrain("r1/1", granted.token))
    region.ledger.state.leases["r1/1"].granted_ms = 5_000
    tracker.observe(0, 4_000, [ListedConverter("n00", True)])  # from before the grant
    region.apply(ReleaseLease("r1/1", granted.token))
    probes = tracker.observe(3_000, 5_000, [ListedConverter("n00", True)])
    assert planning.observation("x", region.ledger.applied, probes) is None
    assert planning.converters_to_restart(probes) == ["n00"]
    tracker.restart_warm_up("n00", 3_000, 5_000)
    early = planning.observation(
        "x", region.ledger.applied, tracker.observe(4_999, 5_000, [ListedConverter("n00", True)])
    )
    assert early is not None and early.observations[0].warmth < 1000
    told = planning.observation(
        "x", region.ledger.applied, tracker.observe(5_000, 5_000, [ListedConverter("n00", True)])
    )
    assert told is not None and told.observations == (ConverterObservation("n00", True, 1000),)
