"""Rare moments over loopback sockets: what is still owed at the instant at which something ends.

Each test makes one bad order of events happen every time: the peers' scripts hold it, or it is put between two steps
of the sidecar.
"""

from __future__ import annotations

import asyncio
import json
import socket
import time
from pathlib import Path
from urllib.parse import quote

import pytest

from ryepier.balancer.interface import Idempotency, IdempotencyScope, Outcome, RequestClass, Tenant
from ryepier.sidecar import system
from ryepier.sidecar.client_connection import ClientConnection, ClientState
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.requests import AttemptResult, ClientRequest
from ryepier.sidecar.server import FIRST_REQUEST_GRACE_S, Server
from tests.network_peers import (
    ATTEMPT_TIMEOUT_US,
    HANG_TIMEOUT_S,
    OK,
    Discovery,
    Sidecar,
    Upstream,
    endpoint_entry,
    endpoint_list,
    never_respond,
    read_message,
    request,
    respond_after,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
    write_configuration,
)
from tests.sidecar_probes import DelayedConnections, record_requests, record_servers

SHORT = [RequestClass("pay", latency_objective_us=200_000, deadline_us=400_000, idempotency=Idempotency.NON_IDEMPOTENT)]


# The stop


def test_a_stop_answers_what_is_open_however_long_its_own_time_is() -> None:
    async def test() -> None:
        upstream = Upstream(never_respond)
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", deadline_ms=20_000))
            await wait_until(lambda: len(upstream.requests) == 1)
            it.stop.set()
            head, _ = await read_message(reader)
            assert status_of((head, b"")) == 500 and b"Connection: close" in head
            assert not it.task.done()  # else the process had ended with the request open
            writer.close()
            await it.task

    run_async(test)


def test_what_comes_whole_after_a_stop_is_answered_before_the_kill_and_not_by_its_own_time() -> None:
    async def test() -> None:
        upstream = Upstream(never_respond)
        kinds = [RequestClass("pay", 1_000_000, 2_000_000, late_weight=0.5, idempotency=Idempotency.NON_IDEMPOTENT)]
        async with sidecar(upstream, classes=kinds) as it:
            whole = request("pay", body=b"ab", deadline_ms=2_000)
            reader, writer = await it.connect()
            writer.write(whole[:-1])
            loop = asyncio.get_running_loop()
            it.stop.set()
            stopped = loop.time()
            await asyncio.sleep(1.5)  # so that its own time ends 0.8 s after the soonest kill
            writer.write(whole[-1:])
            head, _ = await read_message(reader)
            assert b"Connection: close" in head and loop.time() - stopped < 3.2
            writer.close()
            await it.task

    run_async(test)


def test_what_has_not_come_whole_when_the_kill_is_near_is_turned_away() -> None:
    async def test() -> None:
        async with sidecar(Upstream(never_respond), classes=SHORT) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", body=b"ab")[:-1])
            it.stop.set()
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503 ")
            writer.close()
            await it.task

    run_async(test)


def test_a_request_on_a_connection_that_waits_to_be_taken_when_listening_stops_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    late: list[socket.socket] = []
    stop_listening = Server.stop_listening

    def crossed(self: Server) -> None:
        for _ in range(40):  # more than are taken in one turn
            late.append(socket.create_connection(self.address))
            late[-1].sendall(request())
        stop_listening(self)

    monkeypatch.setattr(Server, "stop_listening", crossed)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as it:
            it.stop.set()
            await it.task
        for sock in late:
            assert sock.recv(100).startswith(b"HTTP/1.1 ")
            sock.close()

    run_async(test)


def test_a_connection_that_has_just_come_up_when_told_to_stop_may_send_its_first_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    told = asyncio.Event()
    close_idle = Server.close_idle

    def crossed(self: Server) -> None:
        close_idle(self)
        told.set()

    monkeypatch.setattr(Server, "close_idle", crossed)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as it:
            await asyncio.sleep(0.3)  # what came to see whether it is up is young no more
            made = len(clients)
            reader, writer = await it.connect()
            await wait_until(lambda: len(clients) > made)
            it.stop.set()
            await told.wait()
            writer.write(request())
            assert status_of(await read_message(reader)) == 200
            writer.close()
            await it.task

    clients: list[ClientConnection] = []
    connection_made = ClientConnection.connection_made

    def seen(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
        clients.append(self)

    monkeypatch.setattr(ClientConnection, "connection_made", seen)
    run_async(test)


def test_an_answer_that_its_client_has_not_read_yet_is_not_cut_short_by_a_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    listen = system.listen

    def narrow(address: tuple[str, int], backlog: int) -> socket.socket:
        sock = listen(address, backlog)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(system, "listen", narrow)
    size = 60_000

    async def test() -> None:
        loop = asyncio.get_running_loop()
        upstream = Upstream(respond_in_turn(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size))
        async with sidecar(upstream) as it:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                await loop.sock_connect(sock, ("127.0.0.1", it.port))
                await loop.sock_sendall(sock, request())
                await wait_until(lambda: len(upstream.requests) == 1)
                await asyncio.sleep(0.3)  # the answer is on its way, and more than fits
                it.stop.set()
                await asyncio.sleep(0.7)
                got = b""
                while data := await loop.sock_recv(sock, 65_536):
                    got += data
            assert len(got.partition(b"\r\n\r\n")[2]) == size
            await it.task

    run_async(test)


# Connections to upstreams


def test_a_keyed_request_is_not_written_once_its_window_is_over_however_late_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    kinds = [
        RequestClass(
            "mark",
            2_000_000,
            6_000_000,
            late_weight=0.5,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            idempotency_scope=IdempotencyScope.FAILURE_DOMAIN,
            idempotency_window_us=600_000,
        )
    ]
    held = DelayedConnections()

    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            held.delay(other if upstream is one else one, monkeypatch)
            writer.transport.abort()  # it may have run, and goes again in its group
            raise ConnectionResetError

        one, other = Upstream(script), Upstream(script)
        async with sidecar(one, other, classes=kinds, hedging=False) as it:
            answer = asyncio.create_task(it.fetch(request("mark", deadline_ms=6_000)))
            await wait_until(lambda: held.started == 1)
            await asyncio.sleep(0.7)
            held.released.set()
            assert status_of(await answer) == 500
            assert len(one.requests) + len(other.requests) == 1

    run_async(test)


def test_what_was_begun_before_a_drain_was_told_is_not_sent_however_late_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held, discovery = DelayedConnections(), Discovery()

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream, discovery=discovery, polls_endpoints=False) as it:
            await discovery.watched()
            held.delay(upstream, monkeypatch)
            answer = asyncio.create_task(it.fetch(request("pay")))
            await wait_until(lambda: held.started == 1)
            discovery.line(endpoint_list(endpoint_entry("u0", upstream.port, "leaving"), rev=2, full=False))
            await asyncio.sleep(0.1)
            held.released.set()
            assert status_of(await answer) == 503
        assert upstream.requests == []

    run_async(test)


def test_what_was_begun_in_the_turn_in_which_a_drain_is_told_is_not_sent() -> None:
    async def test() -> None:
        upstream, results = Upstream(respond_in_turn(OK)), list[AttemptResult]()
        await upstream.start()
        pool = ConnectionPool(60_000_000, 10_000_000, max_connections=10)
        call = ClientRequest(b"POST", b"/pay", [], b"", 0, 0, 1)
        pool.start(1, ("127.0.0.1", upstream.port), call, ATTEMPT_TIMEOUT_US, results.append)
        pool.remove_upstream(1)  # before the dial's own first step
        assert not results
        await wait_until(lambda: bool(results))
        assert results[0].outcome is Outcome.CONNECT_FAILED
        pool.start(1, ("127.0.0.1", upstream.port), call, ATTEMPT_TIMEOUT_US, results.append)  # it is listed again
        await wait_until(lambda: len(results) == 2)
        assert results[1].outcome is Outcome.OK and len(upstream.requests) == 1
        upstream.stop()
        pool.sweeper.cancel()

    run_async(test)


def test_a_second_answer_some_milliseconds_late_is_not_taken_for_that_of_the_next_request() -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if number == 0:
                await asyncio.sleep(0.005)
                writer.write(OK.replace(b"done", b"late"))
                await reader.read()
                raise ConnectionResetError

        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            for _ in range(2):  # the second sets out the moment the first is answered
                writer.write(request("pay"))
                assert (await read_message(reader))[1] == b"done"
            writer.close()
        assert upstream.connections == 2

    run_async(test)


# The list


async def moved(it: Sidecar, new: Upstream) -> None:
    """Until a request has gone to it."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not new.requests:
            await it.fetch(request())


@pytest.mark.parametrize("cut", [1, 2, 7, 10_000])
def test_a_list_over_several_lines_is_read_wherever_its_bytes_are_split(cut: int) -> None:
    async def test() -> None:
        old, new, discovery = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery, polls_endpoints=False) as it:
            await discovery.watched()
            first = endpoint_list(endpoint_entry("u0", old.port, "leaving"), rev=2, full=False)
            second = endpoint_list(endpoint_entry('\u00fc}"\\', new.port), rev=3, full=False)
            data = "\n".join(json.dumps(each, indent=1, ensure_ascii=False) for each in (first, second)).encode()
            for i in range(0, len(data), cut):
                discovery.piece(data[i : i + cut])
                await discovery.writers[-1].drain()
                if cut > 2:
                    await asyncio.sleep(0.01)  # so that each comes by itself
            await moved(it, new)
            assert len(discovery.calls) == 1 and not old.requests
        new.stop()

    run_async(test)


@pytest.mark.parametrize(
    "spoilt",
    [
        b'{"rev": 2, "all": true, "targets": [',
        b"no list\n",
        b"}\n",
        b'{"rev": "\xff"}\n',
        b'{"rev": 2, "all": true, "targets": [{"uid": ["u"]}]}\n',
        b"[]\n",
        b"7\n",
    ],
)
def test_a_list_that_is_cut_off_or_none_leaves_the_last_sound_one_and_is_asked_for_anew(spoilt: bytes) -> None:
    async def test() -> None:
        upstream, discovery = Upstream(respond_in_turn(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery, polls_endpoints=False) as it:
            await discovery.watched()
            discovery.piece(spoilt)
            await discovery.writers[-1].drain()
            if not spoilt.endswith(b"\n"):
                discovery.writers[-1].close()
            await discovery.watched()
            assert b"since=1 " in discovery.calls[-1]
            assert status_of(await it.fetch(request())) == 200

    run_async(test)


def test_a_list_that_stays_unreadable_is_asked_for_with_growing_pauses() -> None:
    async def test() -> None:
        discovery = Discovery(first={"rev": 1, "all": True, "targets": [{"uid": "u0"}]})
        async with sidecar(Upstream(respond_in_turn(OK)), discovery=discovery, polls_endpoints=False) as it:
            await wait_until(lambda: len(discovery.calls) == 3)
            began = asyncio.get_running_loop().time()
            await wait_until(lambda: len(discovery.calls) == 4)
            assert asyncio.get_running_loop().time() - began > 0.5  # 0.2, 0.4, 0.8 s
            assert status_of(await it.fetch(request())) == 200

    run_async(test)


def test_nothing_is_served_by_an_old_list_while_the_agent_has_a_newer_one() -> None:
    async def test() -> None:
        old, new = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK))
        await old.start()
        await new.start()
        changes = endpoint_list(
            endpoint_entry("u0", old.port, "leaving"), endpoint_entry("u1", new.port), rev=2, full=False
        )
        discovery, let = Discovery(), asyncio.Event()
        serve = discovery.serve

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await let.wait()
            await serve(reader, writer)

        discovery.serve, discovery.first = slow, changes  # type: ignore[method-assign]
        known = endpoint_list(endpoint_entry("u0", old.port))

        async def early() -> None:
            """Its agent answers only then."""
            await asyncio.sleep(0.1)
            let.set()

        task = asyncio.create_task(early())
        async with sidecar(discovery=discovery, known=known, polls_endpoints=False) as it:
            assert status_of(await it.fetch(request())) == 200
        await task
        assert not old.requests and len(new.requests) == 1
        old.stop()
        new.stop()

    run_async(test)


def test_with_its_agent_silent_a_sidecar_starts_with_the_list_it_knows() -> None:
    async def test() -> None:
        discovery = Discovery()  # it takes the call and says nothing
        async with sidecar(Upstream(respond_in_turn(OK)), discovery=discovery, polls_endpoints=False) as it:
            assert status_of(await it.fetch(request())) == 200

    run_async(test)


def test_a_move_of_discovery_while_the_old_watch_dies_is_followed_from_its_own_first_version(tmp_path: Path) -> None:
    async def test() -> None:
        old, new, first, second = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK)), Discovery(), Discovery()
        await new.start()
        await second.start()
        second.first = endpoint_list(endpoint_entry("u1", new.port), rev=1)
        path = write_configuration(tmp_path, discovery=f"127.0.0.1:{second.port}")
        async with sidecar(old, discovery=first, path=str(path), polls_endpoints=False) as it:
            await first.watched()
            first.line(endpoint_list(endpoint_entry("u0", old.port), rev=900))
            first.stop()  # both in one turn of the loop
            it.reload.set()
            await second.watched()
            assert b"since=0 " in second.calls[0]
            await moved(it, new)
            before = len(old.requests)
            for _ in range(5):
                assert status_of(await it.fetch(request())) == 200
            assert len(old.requests) == before and len(second.calls) == 1
        new.stop()
        second.stop()

    run_async(test)


# Clients that leave


@pytest.mark.parametrize("behind", [0, 200_000])
def test_a_request_that_waits_is_not_sent_once_its_client_has_left_whatever_it_sent_behind(
    behind: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = record_requests(monkeypatch)

    async def test() -> None:
        let = asyncio.Event()

        upstream = Upstream(respond_after(let))  # one slot
        kinds = [RequestClass("pay", 10_000_000, 20_000_000, late_weight=0.5, idempotency=Idempotency.NON_IDEMPOTENT)]
        async with sidecar(upstream, classes=kinds) as it:
            first = asyncio.create_task(it.fetch(request("pay", "1")))
            await wait_until(lambda: len(upstream.requests) == 1)
            _, writer = await it.connect()
            writer.write(request("pay", "2"))
            await wait_until(lambda: b"2" in [call.request_id for call in calls])  # it waits for the slot
            writer.write(b"x" * behind)
            writer.write_eof()
            await asyncio.sleep(0.2)
            let.set()
            assert status_of(await first) == 200
            assert status_of(await it.fetch(request("pay", "3"))) == 200
            writer.close()
        assert [b"X-Request-Id: 2\r\n" in head for head, _ in upstream.requests] == [False, False]

    run_async(test)


def test_a_request_whose_client_left_while_its_connection_came_up_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    held = DelayedConnections()

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            held.delay(upstream, monkeypatch)
            _, writer = await it.connect()
            writer.write(request("pay", "1"))
            await wait_until(lambda: held.started == 1)
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0.1)
            held.released.set()
            assert status_of(await it.fetch(request("pay", "2"))) == 200
        assert [b"X-Request-Id: 2\r\n" in head for head, _ in upstream.requests] == [True]

    run_async(test)


# Two events in one turn of the loop


def test_an_answer_that_comes_in_the_turn_of_its_attempts_time_out_is_the_answer() -> None:
    async def test() -> None:
        kinds = [
            RequestClass("read", latency_objective_us=400_000, deadline_us=20_000_000, late_weight=0.5)
        ]  # times out after 0.4 s

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.2)
            time.sleep(0.4)  # the loop hangs over the time-out: answer and timer are both due in its next turn
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream, classes=kinds, hedging=False) as it:
            assert status_of(await it.fetch(request())) == 200
        assert len(upstream.requests) == 1  # the attempt was not given up, and nothing was sent again

    run_async(test)


async def kept(it: Sidecar, made: list[Server]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ClientConnection]:
    """A connection on which a request was answered, at both ends."""
    reader, writer = await it.connect()
    writer.write(request("pay", "1"))
    assert status_of(await read_message(reader)) == 200
    await wait_until(lambda: len(made[0].clients[ClientState.IDLE]) == 1)
    return reader, writer, next(iter(made[0].clients[ClientState.IDLE]))


def test_room_is_made_of_no_connection_on_which_a_request_has_come(monkeypatch: pytest.MonkeyPatch) -> None:
    made = record_servers(monkeypatch)

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            reader, writer, _ = await kept(it, made)
            writer.write(request("pay", "2"))
            made[0].free_capacity()  # in the same turn: its bytes are there and were not read
            assert status_of(await read_message(reader)) == 200
            writer.close()
        assert len(upstream.requests) == 2

    run_async(test)


def test_a_request_that_crosses_the_close_of_its_connection_is_sent_nowhere(monkeypatch: pytest.MonkeyPatch) -> None:
    made = record_servers(monkeypatch)

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            reader, writer, client = await kept(it, made)
            close = client.close

            def crossed() -> None:
                writer.write(request("pay", "2"))
                close()

            client.close = crossed  # type: ignore[method-assign]
            assert made[0].free_capacity()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            assert status_of(await it.fetch(request("pay", "2"))) == 200  # as the page has clients send it once more
        assert len(upstream.requests) == 2

    run_async(test)


def test_an_evicted_connection_ends_before_bytes_that_arrive_in_the_same_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    made = record_servers(monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as it:
            server = made[0]
            await wait_until(lambda: server.connection_count() == 0)
            with socket.create_connection(("127.0.0.1", it.port), timeout=HANG_TIMEOUT_S) as client:
                await wait_until(lambda: any(each.transport is not None for each in server.clients[ClientState.NEW]))
                await asyncio.sleep(FIRST_REQUEST_GRACE_S)  # from now on it may be evicted
                assert server.free_capacity()
                client.sendall(request("pay", body=b"0123456789")[:-5])  # before the loop's next turn
                await asyncio.sleep(0.05)
                assert client.recv(1) == b""  # not a reset: the end came before these bytes

    run_async(test)


# Another customer's settings


@pytest.mark.parametrize("spelt", ["utf-8", "latin-1", "percent"])
def test_names_that_are_not_plain_ascii_are_known_however_they_are_spelt(
    spelt: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = record_requests(monkeypatch)

    def spell(name: str) -> bytes:
        return quote(name).encode() if spelt == "percent" else name.encode(spelt)

    async def test() -> None:
        kinds = [RequestClass("r\u00e9servation", 1_000_000, 5_000_000), RequestClass("plain", 1_000_000, 5_000_000)]
        tenants = [Tenant("other", 1.0, 0.5), Tenant("caf\u00e9", 1.0, 0.5)]
        path = quote("r\u00e9servation").encode()  # a path has no other spelling
        async with sidecar(Upstream(respond_in_turn(OK)), classes=kinds, tenants=tenants) as it:
            for number, tenant in enumerate((b"X-Tenant: " + spell("caf\u00e9") + b"\r\n", b"X-Tenant: who\r\n", b"")):
                answer = await it.fetch(
                    b"GET /"
                    + path
                    + b"/it HTTP/1.1\r\nHost: x\r\nX-Request-Id: %d\r\n" % number
                    + b"X-Class: "
                    + spell("r\u00e9servation")
                    + b"\r\nX-Deadline-Ms: 5000\r\n"
                    + tenant
                    + b"\r\n"
                )
                assert status_of(answer) == 200
        assert [call.class_index for call in calls] == [0, 0, 0]
        assert [call.tenant for call in calls] == [1, 2, 2]  # one that is not known, or not named, is nobody's

    run_async(test)
