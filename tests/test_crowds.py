"""Requests behind a crowd of connections that hold all of a sidecar's places."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import time

import pytest

from ryepier.sidecar import system
from ryepier.sidecar.client_listener import ACCEPT_BATCH_SIZE
from tests.network_peers import (
    OK,
    Sidecar,
    Upstream,
    read_message,
    request,
    request_classes,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
)
from tests.sidecar_probes import record_servers

PLACES = 100  # of the sidecar, which may use 200 descriptors
CROWD = 9 * PLACES  # less than the listener's queue holds, with the request
DEADLINE_MS = 1_500
ERROR_LIMIT_S = 3.0  # a stranger is owed an error or a close within this time of connecting
LONG_DEADLINE_MS = 3_000
CROWD_INPUT = {"idle": b"", "half a request": request("pay", body=b"0123456789")[:-5]}


# Guards against requests that are lost in the listener's queue: a crowd kept them there for seconds, and they were then
# forwarded with their full time.
@pytest.mark.alone
@pytest.mark.parametrize("kind", CROWD_INPUT)
def test_request_behind_a_crowd_is_answered_in_time(kind: str) -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        classes = [dataclasses.replace(item, deadline_us=DEADLINE_MS * 1000) for item in request_classes()]
        async with sidecar(upstream, classes=classes) as running_sidecar:
            crowd = [await running_sidecar.connect() for _ in range(CROWD)]
            for _, writer in crowd:
                writer.write(CROWD_INPUT[kind])
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay", deadline_ms=DEADLINE_MS))
            async with asyncio.timeout(DEADLINE_MS / 1000):
                assert status_of(await read_message(reader)) == 200
            [told_ms] = [int(head.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0]) for head, _ in upstream.requests]
            assert told_ms < DEADLINE_MS - 100  # the wait in the queue counts
            for _, crowd_writer in crowd:
                crowd_writer.close()
            writer.close()

    run_async(test)


async def seconds_until_the_end(running_sidecar: Sidecar, kind: str) -> float:
    """Return how long after its connect a peer gets an answer or a close."""
    connected_at = time.monotonic()
    reader, writer = await running_sidecar.connect()
    writer.write(CROWD_INPUT[kind])
    with contextlib.suppress(ConnectionError):  # a reset is a close, too
        await reader.read(1)
    writer.close()
    return time.monotonic() - connected_at


# Guards against strangers that get no error or close in time: the wait in the listener's queue did not count.
@pytest.mark.alone
@pytest.mark.parametrize("kind", CROWD_INPUT)
def test_peers_behind_a_crowd_get_an_error_or_a_close_in_time(kind: str) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            peers = [asyncio.create_task(seconds_until_the_end(running_sidecar, kind)) for _ in range(CROWD)]
            assert max(await asyncio.gather(*peers)) < ERROR_LIMIT_S

    run_async(test)


async def keep_sending_half_a_request(running_sidecar: Sidecar, finished: asyncio.Event) -> set[bytes]:
    """Connect again whenever the sidecar ends a connection, and return the first lines of all answers."""
    answers = set()
    while not finished.is_set():
        reader, writer = await running_sidecar.connect()
        writer.write(CROWD_INPUT["half a request"])
        answers.add((await reader.read()).partition(b"\r\n")[0])
        writer.close()
    return answers


def serve_behind_a_moving_crowd() -> tuple[int, set[bytes]]:
    """Return the time (ms) that a converter is told for a request behind a moving crowd, and the crowd's answers."""
    upstream, finished = Upstream(respond_in_turn(OK)), asyncio.Event()
    answers: set[bytes] = set()

    async def test() -> None:
        classes = [dataclasses.replace(item, deadline_us=LONG_DEADLINE_MS * 1000) for item in request_classes()]
        async with sidecar(upstream, classes=classes) as running_sidecar:
            crowd = [
                asyncio.create_task(keep_sending_half_a_request(running_sidecar, finished)) for _ in range(2 * PLACES)
            ]
            await asyncio.sleep(LONG_DEADLINE_MS / 1000)
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay", deadline_ms=LONG_DEADLINE_MS))
            async with asyncio.timeout(LONG_DEADLINE_MS / 1000):
                assert status_of(await read_message(reader)) == 200
            writer.close()
            finished.set()
            answers.update(*await asyncio.gather(*crowd))

    run_async(test)
    [told_ms] = [int(head.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0]) for head, _ in upstream.requests]
    return told_ms, answers


# Guards against fresh requests that count as late: the time since the listener's queue was last empty was taken for the
# wait of each connection in it, so a crowd that keeps it short but never empty cost every request its whole time.
@pytest.mark.alone
def test_request_behind_a_moving_crowd_has_nearly_its_full_time() -> None:
    told_ms, answers = serve_behind_a_moving_crowd()
    assert told_ms > LONG_DEADLINE_MS / 2
    assert answers <= {b"HTTP/1.1 503 Service Unavailable", b"HTTP/1.1 408 Request Timeout"}


@pytest.mark.alone
def test_request_behind_a_moving_crowd_has_most_of_its_time_where_the_queue_is_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(system, "accept_queue_length", lambda sock: None)
    told_ms, _ = serve_behind_a_moving_crowd()
    assert told_ms > LONG_DEADLINE_MS / 2


# Guards against a sidecar that accepts nothing where the system reports each queue as empty.
def test_connections_are_accepted_where_the_queue_seems_empty(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(system, "accept_queue_length", lambda sock: 0)
    servers = record_servers(monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            for _ in range(3):
                assert status_of(await running_sidecar.fetch(request("pay"))) == 200
            assert not servers[0].listener.trusts_queue_length

    run_async(test)


# Guards against requests that count as late though they have just arrived, after connections that came together.
@pytest.mark.parametrize("count", [ACCEPT_BATCH_SIZE, PLACES])
def test_request_long_after_connections_that_came_together_has_its_full_time(count: int) -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            sockets = [socket.create_connection(("127.0.0.1", running_sidecar.port)) for _ in range(count)]
            await asyncio.sleep(1.0)
            sockets.append(socket.create_connection(("127.0.0.1", running_sidecar.port)))
            sockets[-1].sendall(request("pay", deadline_ms=DEADLINE_MS))  # before it is accepted
            async with asyncio.timeout(DEADLINE_MS / 1000):
                while not upstream.requests:
                    await asyncio.sleep(0.01)
            for sock in sockets:
                sock.close()
        [told_ms] = [int(head.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0]) for head, _ in upstream.requests]
        assert told_ms > DEADLINE_MS - 500

    run_async(test)


def test_long_request_that_is_rejected_unserved_gets_its_answer_and_no_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))):
            with socket.create_server(("127.0.0.1", 0)) as listener:
                client = socket.create_connection(listener.getsockname())
                accepted, _ = listener.accept()
                client.sendall(request("pay", body=b"x" * 60_000))
                accepted.setblocking(False)
                servers[0].listener.reject(accepted)
                answer = await asyncio.to_thread(client.recv, 1000)
                assert answer.startswith(b"HTTP/1.1 503 ") and client.recv(1) == b""
                client.close()

    run_async(test)
