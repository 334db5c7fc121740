"""Clients that have gone, over loopback sockets: what is still sent for them, counted where it would come in."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from ryepier.balancer.interface import Idempotency, RequestClass
from ryepier.sidecar import system
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, ClientRequest
from tests.network_peers import (
    NOT_RUN,
    OK,
    DelayedConnections,
    Sidecar,
    Upstream,
    endpoint_entry,
    endpoint_list,
    read_message,
    request,
    run_async,
    sidecar,
    status_of,
    wait_until,
)
from tests.test_race_conditions import taken

GONE_S = 0.15  # an attempt may still begin for 0.1 s
LATE_S = 0.3  # for so long a loop is held
REST_S = 1.0  # longer than a converter that failed rests
KINDS = [
    RequestClass("pay", 10_000_000, 20_000_000, late_weight=0.5, idempotency=Idempotency.NON_IDEMPOTENT),
    RequestClass("read", 10_000_000, 20_000_000, late_weight=0.5),
]


@dataclass
class Converter(Upstream):
    """Keeps its requests while it is told to, and counts attempts by their first bytes."""

    keeps: bool = True
    started: int = 0
    kept: list[asyncio.StreamWriter] = field(default_factory=list)
    first: socket.socket | None = None  # of the client whose request it keeps

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while byte := await reader.read(1):
                self.started += 1
                head, body = await read_message(reader)
                self.requests.append((byte + head, body))
                await self.script(self, len(self.requests) - 1, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def answer(self, data: bytes) -> None:
        """To the request that it keeps, past the loop, which may be held; it keeps no other."""
        self.keeps = False
        os.write(self.kept.pop().get_extra_info("socket").fileno(), data)

    def idents(self) -> list[int]:
        return [int(head.partition(b"X-Request-Id: ")[2].split()[0]) for head, _ in self.requests]


async def by_hand(upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    assert isinstance(upstream, Converter)
    if upstream.keeps:
        upstream.kept.append(writer)
    else:
        writer.write(OK)


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def end_sending(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


Leave = Callable[[socket.socket], None]
LEAVES = [close, reset, end_sending]
# how the client goes, and how many bytes it sends ahead of its end: the most that is dropped is 65,536
ENDS = [
    (close, 0),
    (reset, 0),
    (end_sending, 0),
    (close, 1),
    (reset, 60_000),
    (close, 65_536),
    (close, 65_537),
    (end_sending, 200_000),
]


def go(sock: socket.socket, leave: Leave, behind: int) -> None:
    sock.sendall(b"x" * behind)
    leave(sock)


def late(*steps: Callable[[], object]) -> None:
    """Hold the loop: when it turns on, all that the steps bring about is there at once, the client long gone."""
    for step in steps:
        step()
        time.sleep(LATE_S / len(steps))


def connected(it: Sidecar, data: bytes = b"") -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", it.port))
    sock.sendall(data)
    return sock


async def nothing_more(it: Sidecar, converter: Converter, *idents: int) -> None:
    """Another's request goes through, and it alone."""
    await asyncio.sleep(0.05)
    assert status_of(await it.fetch(request("pay", "99"))) == 200
    await asyncio.sleep(0.05)
    assert converter.idents() == [*idents, 99] and converter.started == len(idents) + 1


async def idle_connection(it: Sidecar, converter: Converter, patch: pytest.MonkeyPatch) -> None:
    """One comes to be that the next attempt but one goes out on at once: its own client left while it came up."""
    held = DelayedConnections()
    with patch.context() as patched:
        held.delay(converter, patched)
        sock = connected(it, request("pay", "0"))
        await wait_until(lambda: held.started == 1)
        sock.close()
        await asyncio.sleep(0.05)
        first = connected(it, request("pay", "1"))
        await wait_until(lambda: held.started == 2)
        held.released.set()
        await wait_until(lambda: len(converter.kept) == 1)
    first.setblocking(False)
    converter.first = first
    await asyncio.sleep(0.05)  # what has come up just now is not used yet
    assert converter.connections == 2


async def waiting(it: Sidecar, converter: Converter, calls: list[ClientRequest]) -> socket.socket:
    """Request 1 has the only slot, and request 2 the buffer place."""
    sock = connected(it, request("pay", "2"))
    await wait_until(lambda: b"2" in [call.request_id for call in calls])
    assert converter.idents() == [1]
    return sock


# The loop sees the client go before its request's turn comes


@pytest.mark.parametrize(("leave", "behind"), ENDS)
def test_nothing_is_sent_from_the_buffer_place_for_a_client_seen_to_go(
    leave: Leave, behind: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = taken(monkeypatch)

    async def test() -> None:
        converter = Converter(by_hand)
        async with sidecar(converter, classes=KINDS) as it:
            await idle_connection(it, converter, monkeypatch)
            sock = await waiting(it, converter, calls)
            go(sock, leave, behind)
            await asyncio.sleep(GONE_S)
            converter.answer(OK)
            await nothing_more(it, converter, 1)
            sock.close()

    run_async(test)


def test_nothing_is_sent_for_a_client_whose_reading_is_paused(monkeypatch: pytest.MonkeyPatch) -> None:
    calls = taken(monkeypatch)

    async def test() -> None:
        converter = Converter(by_hand)
        async with sidecar(converter, classes=KINDS) as it:
            await idle_connection(it, converter, monkeypatch)
            with await waiting(it, converter, calls) as sock:
                await asyncio.to_thread(sock.sendall, b"x" * 500_000)
                assert sock.recv(100).startswith(b"HTTP/1.1 400 ")
                converter.answer(OK)  # it is there still, and its end could not be seen
                await nothing_more(it, converter, 1)

    run_async(test)


@pytest.mark.parametrize("leave", LEAVES)
def test_nothing_is_sent_by_a_dial_for_a_client_seen_to_go(leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    held = DelayedConnections()

    async def test() -> None:
        converter = Converter(by_hand)
        async with sidecar(converter, classes=KINDS) as it:
            held.delay(converter, monkeypatch)
            sock = connected(it, request("pay", "2"))
            await wait_until(lambda: held.started == 1)
            leave(sock)
            await asyncio.sleep(GONE_S)
            held.released.set()
            await asyncio.sleep(GONE_S)
            assert converter.connections == 1 and converter.started == 0
            sock.close()

    run_async(test)


@pytest.mark.parametrize("leave", LEAVES)
def test_nothing_is_reissued_for_a_client_seen_to_go(leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    ended: list[int] = []
    end_attempt = RequestDispatcher._end_attempt

    def seen(self: RequestDispatcher, request: Any, number: int, result: AttemptResult) -> None:
        ended.append(number)
        end_attempt(self, request, number, result)

    monkeypatch.setattr(RequestDispatcher, "_end_attempt", seen)

    async def test() -> None:
        converter = Converter(by_hand)
        async with sidecar(converter, classes=KINDS) as it:
            sock = connected(it, request("pay", "1"))
            await wait_until(lambda: len(converter.kept) == 1)
            converter.answer(NOT_RUN)
            await wait_until(lambda: ended == [0])
            assert converter.started == 1  # it rests before the reissue
            leave(sock)
            await asyncio.sleep(REST_S)
            await nothing_more(it, converter, 1)
            sock.close()

    run_async(test)


def test_what_is_written_in_part_is_not_written_on_for_a_client_that_has_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    tcp_socket = system.tcp_socket

    def narrow(family: int) -> socket.socket:
        sock = tcp_socket(family)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(system, "tcp_socket", narrow)

    async def test() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # it holds no whole request
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            known = endpoint_list(endpoint_entry("u0", listener.getsockname()[1]))
            async with sidecar(known=known, classes=KINDS) as it:
                sock = connected(it, request("pay", "2", body=b"x" * 64_000))
                converter = await asyncio.to_thread(lambda: listener.accept()[0])
                # hazard: the sidecar shares this loop, so to wait for its bytes here would keep it from writing them
                await wait_until(lambda: bool(select.select([converter], [], [], 0)[0]))
                sock.close()
                await asyncio.sleep(GONE_S)
                converter.settimeout(1)
                got = 0
                while got < 64_000 and (more := await asyncio.to_thread(converter.recv, 65_536)):
                    got += more.count(b"x")
                assert 0 < got < 64_000
                converter.close()

    run_async(test)


# A late loop: the client's end waits to be read when its request's turn comes


@pytest.mark.parametrize(("leave", "behind"), ENDS)
@pytest.mark.parametrize("slot_first", [False, True])
def test_nothing_is_sent_from_the_buffer_place_in_the_turn_that_brings_the_slot_and_the_end(
    leave: Leave, behind: int, slot_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = taken(monkeypatch)

    async def test() -> None:
        converter = Converter(by_hand)
        async with sidecar(converter, classes=KINDS) as it:
            await idle_connection(it, converter, monkeypatch)
            sock = await waiting(it, converter, calls)
            steps = [lambda: go(sock, leave, behind), lambda: converter.answer(OK)]
            late(*(steps[::-1] if slot_first else steps))
            await nothing_more(it, converter, 1)
            sock.close()

    run_async(test)


@pytest.mark.parametrize("leave", LEAVES)
@pytest.mark.parametrize("failure_first", [False, True])
def test_nothing_is_reissued_in_the_turn_that_brings_the_failure_and_the_end(leave: Leave, failure_first: bool) -> None:
    async def test() -> None:
        both = Converter(by_hand, keeps=False), Converter(by_hand, keeps=False)
        async with sidecar(*both, classes=KINDS) as it:
            while not all(converter.requests for converter in both):  # so that each has an idle connection
                assert status_of(await it.fetch(request("pay"))) == 200
            await asyncio.sleep(0.05)
            before = sum(converter.started for converter in both)
            for converter in both:
                converter.keeps = True
            sock = connected(it, request("pay", "1"))
            await wait_until(lambda: any(converter.kept for converter in both))
            failing = next(converter for converter in both if converter.kept)
            steps = [lambda: leave(sock), lambda: failing.answer(NOT_RUN)]
            late(*(steps[::-1] if failure_first else steps))
            await asyncio.sleep(0.1)
            assert sum(converter.started for converter in both) == before + 1
            sock.close()

    run_async(test)


@pytest.mark.parametrize(("leave", "behind"), ENDS)
def test_nothing_is_sent_by_a_dial_that_comes_up_in_the_turn_that_brings_the_end(
    leave: Leave, behind: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        converter = Converter(by_hand)
        connect, went = asyncio.SelectorEventLoop.sock_connect, asyncio.Event()

        async def in_a_late_turn(loop: asyncio.SelectorEventLoop, to: socket.socket, address: Any) -> None:
            if address[1] == converter.port:
                loop.call_soon(late, lambda: go(sock, leave, behind), went.set)
            await connect(loop, to, address)

        async with sidecar(converter, classes=KINDS) as it:
            monkeypatch.setattr(asyncio.SelectorEventLoop, "sock_connect", in_a_late_turn)
            sock = connected(it, request("pay", "2"))
            await went.wait()
            await asyncio.sleep(0.1)
            assert converter.started == 0
            sock.close()

    run_async(test)


@pytest.mark.parametrize(("leave", "behind"), ENDS)
@pytest.mark.parametrize("kept", [False, True])
def test_nothing_is_sent_for_a_client_that_has_come_and_gone_before_it_is_read(
    leave: Leave, behind: int, kept: bool
) -> None:
    async def test() -> None:
        converter = Converter(by_hand, keeps=False)
        async with sidecar(converter, classes=KINDS) as it:
            assert status_of(await it.fetch(request("pay", "1"))) == 200
            sock = connected(it)
            await asyncio.sleep(0.05 if kept else 0.0)
            more = request("pay", "5", body=b"x" * behind) if behind else b""
            late(lambda: sock.sendall(request("pay", "2") + more), lambda: leave(sock), lambda: None)
            await nothing_more(it, converter, 1)
            sock.close()

    run_async(test)


# What they are told, and who is not one of them


def test_a_client_that_has_sent_more_and_stays_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    calls = taken(monkeypatch)

    async def test() -> None:
        converter = Converter(by_hand)
        async with sidecar(converter, classes=KINDS) as it:
            await idle_connection(it, converter, monkeypatch)
            sock = await waiting(it, converter, calls)
            late(lambda: sock.sendall(request("pay", "3")), lambda: converter.answer(OK))
            reader, writer = await asyncio.open_connection(sock=sock)
            assert status_of(await read_message(reader)) == 200
            assert status_of(await read_message(reader)) == 400  # one request at a time
            assert await reader.read() == b""
            writer.close()
            await nothing_more(it, converter, 1, 2)

    run_async(test)


def test_a_client_that_ends_its_sending_has_gone_and_its_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    calls = taken(monkeypatch)

    async def test() -> None:
        converter = Converter(by_hand)
        async with sidecar(converter, classes=KINDS) as it:
            await idle_connection(it, converter, monkeypatch)
            out, sock = converter.first, await waiting(it, converter, calls)
            for each in (sock, out):  # the one request waits, the attempt of the other is out
                reader, writer = await asyncio.open_connection(sock=each)
                writer.write_eof()
                async with asyncio.timeout(1):
                    assert await reader.read() == b""
                writer.close()
            converter.answer(OK)
            await nothing_more(it, converter, 1)

    run_async(test)
